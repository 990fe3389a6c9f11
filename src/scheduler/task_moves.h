/** @file
 * Where the tasks of a machine could go on if it were drained, and how much longer other machines
 * would have to be kept for them. The capacity found for one task is taken, so that it isn't found
 * twice. Used by machine_draining.h within one cycle. */
#ifndef RP_SCHEDULER_TASK_MOVES_H
#define RP_SCHEDULER_TASK_MOVES_H

#include "scheduler/scheduler.h"

/** Seconds that stopping a task here and starting it there takes. */
#define RP_TASK_MOVE_S 10

/** What every machine has free, in the order of the cluster's list, as it is used up by tasks that
 * are to move. */
struct rp_task_moves {
    struct rp_resources *free;
    bool *is_source; /* machines being drained: nothing moves there */
    size_t n;        /* machines */
};

/** Fills both arrays from the cluster, where the machines being drained are the sources. Returns
 * false when memory is short. Caller calls rp_task_moves_free in either case. */
bool rp_task_moves_init(struct rp_task_moves *moves, const struct rp_scheduler *scheduler);
/** Frees the arrays. */
void rp_task_moves_free(struct rp_task_moves *moves);
/** Whether the task may be moved: it keeps its progress when stopped, or is a replica, which has
 * none, and its start counts already. */
bool rp_task_moves_is_movable(const struct rp_allocation *allocation, struct timespec now);
/** What one_zone and spread say of a task on the target machine, once it has left its own. */
bool rp_task_moves_may_change_zone(const struct rp_machine *from, const struct rp_machine *target,
                                   const struct rp_job *job);
/** Seconds until the allocation is free by itself. */
double rp_task_moves_occupied_s(const struct rp_scheduler *scheduler,
                                const struct rp_machine *machine,
                                const struct rp_allocation *allocation, struct timespec now);
/** Takes capacity on other machines for all tasks of the machine. Returns how much longer these
 * have to be kept for them, in money, or a negative number when there is no room for all: then
 * nothing is taken. */
double rp_task_moves_take(const struct rp_scheduler *scheduler, struct rp_task_moves *moves,
                          const struct rp_machine *machine, struct timespec now);
/** The same price, without taking the capacity. */
double rp_task_moves_price(const struct rp_scheduler *scheduler, struct rp_task_moves *moves,
                           const struct rp_machine *machine, struct timespec now);

#endif
