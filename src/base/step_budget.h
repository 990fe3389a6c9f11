/** @file
 * A bound on the work of one turn of the event loop, counted in steps. A step is a visit to one
 * element of a list, such as a machine or an allocation, and takes some ten nanoseconds. Work that
 * exceeds the budget goes on in a later turn, so that heartbeats, lease renewals and requests are
 * answered in between. */
#ifndef RP_BASE_STEP_BUDGET_H
#define RP_BASE_STEP_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Steps that one activity may take in a turn. At ten nanoseconds a step this is 40 ms, or 0.25 s
 * for a process that has a sixth of a core: several activities in one turn end well within the
 * second for which load balancers wait for a health check (PROTOCOL, "Users"). */
#define RP_TURN_STEPS_MAX 4000000

/** The steps of one activity in one turn. */
struct rp_step_budget {
    uint64_t n_max;
    uint64_t n_taken;
};

/** A budget of `n_max` steps, none of which is taken. */
static inline struct rp_step_budget rp_step_budget_of(uint64_t n_max) {
    return (struct rp_step_budget){.n_max = n_max};
}

/** Counts `n` steps. The caller may exceed the budget by the unit of work that it has begun. */
static inline void rp_step_budget_take(struct rp_step_budget *budget, uint64_t n) {
    budget->n_taken += n;
}

/** Whether no further unit of work may begin in this turn. */
static inline bool rp_step_budget_is_spent(const struct rp_step_budget *budget) {
    return budget->n_taken >= budget->n_max;
}

#endif
