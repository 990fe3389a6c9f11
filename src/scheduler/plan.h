/** @file
 * A plan, which the planner builds, portfolio.h selects and the scheduling cycle applies. */
#ifndef RP_SCHEDULER_PLAN_H
#define RP_SCHEDULER_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Tasks of one group on one machine. */
struct rp_placement {
    size_t group;
    size_t machine; /* index of an existing machine, or the number of existing machines plus the
                       index in `new_machines` */
    uint32_t count;
    bool starts_now; /* false: the tasks wait, and hold capacity that is not free yet */
};

/** A placement of tasks, and the machines to provision for it. */
struct rp_plan {
    struct rp_placement *placements;
    size_t n_placements, cap_placements;
    size_t *new_machines; /* for each new machine, the index of its offering */
    size_t n_new_machines, cap_new_machines;
    uint32_t n_starting, n_waiting; /* placed tasks that start now, and that wait */
    bool short_of_capacity[2]; /* [0] for work without GPUs, [1] with GPUs: whether some of the work
                                  cannot meet its objectives */
    double unplaced_work;      /* work for which the plan has no capacity, weighted by priority */
    double cost;               /* formula (1) of the paper */
    unsigned long n_machines_examined; /* sum of the machines examined for each group */
    bool failed;                       /* out of memory; the plan must not be applied */
};

/** Frees the plan's arrays and empties it. */
void rp_plan_free(struct rp_plan *plan);

#endif
