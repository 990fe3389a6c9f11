/** @file
 * Planning: a pure function of a snapshot of the cluster. No I/O, no clock; randomness comes in as
 * a seed. One heuristic makes one plan; portfolio.h chooses among them. Called by the scheduling
 * cycle and the plan tests. */
#ifndef RP_SCHEDULER_PLANNER_H
#define RP_SCHEDULER_PLANNER_H

#include "scheduler/plan.h"
#include "scheduler/plan_input.h"

/** Makes the plan of one heuristic; the caller frees it with rp_plan_free. When memory is short
 * `failed` is set and the plan is not to be applied. */
void rp_plan_build(const struct rp_plan_input *input, struct rp_heuristic heuristic,
                   struct rp_plan *plan);

#endif
