/** @file
 * A plan: what the planner makes, portfolio.h chooses and the scheduling cycle applies. */
#ifndef RP_SCHEDULER_PLAN_H
#define RP_SCHEDULER_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Tasks of one group on one machine. */
struct rp_placement {
    size_t group;
    size_t machine; /* from n_machines on: new ones */
    uint32_t count;
    bool starts_now; /* false: it holds capacity that the machine hasn't free yet */
};

/** A placement of tasks, and the machines to provision for it. */
struct rp_plan {
    struct rp_placement *placements;
    size_t n_placements, cap_placements;
    size_t *new_machines; /* offerings of the new machines */
    size_t n_new_machines, cap_new_machines;
    uint32_t n_starting, n_waiting; /* tasks placed */
    bool short_of_capacity[2];      /* work without GPUs, and with: not all of it can be in time */
    double unplaced_work;           /* work that found no capacity, weighed by priority */
    double cost;                    /* formula (1) */
    unsigned long n_machines_examined; /* over all groups */
    bool failed;                       /* out of memory */
};

/** Frees the plan's arrays and empties it. */
void rp_plan_free(struct rp_plan *plan);

#endif
