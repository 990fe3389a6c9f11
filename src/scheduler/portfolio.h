/** @file
 * The portfolio of heuristics: each heuristic yields a plan, and the best plan is selected. */
#ifndef RP_SCHEDULER_PORTFOLIO_H
#define RP_SCHEDULER_PORTFOLIO_H

#include "scheduler/planner.h"

/** Whether plan `a` is better than plan `b`. The plan with less unplaced work is better; if that is
 * equal, the one with the lower cost by formula (1); if the costs are equal too, the one that
 * starts more tasks now. A failed plan is worse than any other. */
bool rp_plan_is_better(const struct rp_plan *a, const struct rp_plan *b);
/** Writes the best plan to `out`; the caller frees it with rp_plan_free. Returns the index of its
 * heuristic. `n` must not be 0. */
size_t rp_plan_best(const struct rp_plan_input *input, const struct rp_heuristic *heuristics,
                    size_t n, struct rp_plan *out);

#endif
