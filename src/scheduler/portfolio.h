/** @file
 * The portfolio: every heuristic makes a plan, and the best is applied. */
#ifndef RP_SCHEDULER_PORTFOLIO_H
#define RP_SCHEDULER_PORTFOLIO_H

#include "scheduler/planner.h"

/** Whether plan `a` is better than plan `b`: it leaves less without capacity, or, where both leave
 * the same, costs less by formula (1), or, at the same cost, starts more tasks now. */
bool rp_plan_is_better(const struct rp_plan *a, const struct rp_plan *b);
/** Writes the best plan to `out`; the caller frees it. Returns the index of its heuristic. `n` must
 * not be 0. */
size_t rp_plan_best(const struct rp_plan_input *input, const struct rp_heuristic *heuristics,
                    size_t n, struct rp_plan *out);

#endif
