/** @file
 * Builds a plan from a snapshot of the cluster, as a pure function: it does no I/O and reads no
 * clock, and random numbers come from a seed in the input. Each heuristic yields one plan;
 * portfolio.h selects the best. Called by the scheduling cycle and the plan tests. */
#ifndef RP_SCHEDULER_PLANNER_H
#define RP_SCHEDULER_PLANNER_H

#include "scheduler/plan.h"
#include "scheduler/plan_input.h"

/** Builds the plan of one heuristic; the caller frees it with rp_plan_free. When memory is short,
 * `failed` is set and the plan must not be applied. */
void rp_plan_build(const struct rp_plan_input *input, struct rp_heuristic heuristic,
                   struct rp_plan *plan);

#endif
