/** @file
 * Finds where the tasks of a machine could continue if it were drained, and how much longer other
 * machines would have to be kept for them. The capacity found for one task is deducted from a copy
 * of the free resources, so that it is not found again for another. Used by machine_draining.h
 * within one cycle. */
#ifndef RP_SCHEDULER_TASK_MOVES_H
#define RP_SCHEDULER_TASK_MOVES_H

#include "scheduler/scheduler.h"

/** Seconds that stopping a task on one machine and starting it on another take. */
#define RP_TASK_MOVE_S 10

/** The free resources of every machine, in the order of the cluster's list, less what tasks that
 * are to be moved take of them. */
struct rp_task_moves {
    struct rp_resources *free_resources;
    double *busy_s;  /* for each machine, seconds until its last task ends */
    bool *is_source; /* marks the machines being drained, to which no task is moved */
    size_t n_machines;
    struct rp_step_budget *steps; /* counts the machines that are considered for a task */
};

/** Fills the arrays from the cluster; the machines being drained are marked as sources. `steps` is
 * borrowed. Returns false when memory is short. The caller must call rp_task_moves_free in either
 * case. */
bool rp_task_moves_init(struct rp_task_moves *moves, const struct rp_scheduler *scheduler,
                        struct rp_step_budget *steps, struct timespec now);
/** Frees the arrays. */
void rp_task_moves_free(struct rp_task_moves *moves);
/** Whether the task may be moved: it keeps its progress when stopped, or is a replica, which has
 * none, and it has run for long enough that its start counts for an objective. */
bool rp_task_moves_is_movable(const struct rp_allocation *allocation, struct timespec now);
/** Whether the job's one_zone and spread settings allow one of its tasks to move from its machine
 * to the target machine. */
bool rp_task_moves_may_change_zone(const struct rp_machine *from, const struct rp_machine *target,
                                   const struct rp_job *job);
/** Seconds until the allocation's resources are free without the task being stopped. */
double rp_task_moves_occupied_s(const struct rp_scheduler *scheduler,
                                const struct rp_machine *machine,
                                const struct rp_allocation *allocation, struct timespec now);
/** Takes capacity on other machines for all tasks of the machine. Returns what it costs to keep
 * these machines longer for them, as hourly price times seconds, the largest amount of any task.
 * Returns a negative number if the capacity is not enough for all tasks: then nothing is taken. */
double rp_task_moves_take_capacity(const struct rp_scheduler *scheduler,
                                   struct rp_task_moves *moves, const struct rp_machine *machine,
                                   struct timespec now);
/** The cost that rp_task_moves_take_capacity would return; no capacity is taken. */
double rp_task_moves_extra_cost(const struct rp_scheduler *scheduler, struct rp_task_moves *moves,
                                const struct rp_machine *machine, struct timespec now);

#endif
