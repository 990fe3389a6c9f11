/** @file
 * The order in which a heuristic places the groups of tasks: the paper's job selection criteria
 * (table 2) and additional criteria of this scheduler. Groups within a guaranteed quota precede all
 * others; these are ordered by priority and, within a priority, by the criterion. */
#ifndef RP_SCHEDULER_JOB_ORDER_H
#define RP_SCHEDULER_JOB_ORDER_H

#include "scheduler/packing_state.h"

/** Writes the order to `group_order`; for RP_JOB_ORDER_ESW runs load shedding first. The caller has
 * built the pools and the candidate lists. */
void rp_job_order_sort(struct rp_packing *packing, enum rp_job_order order);

#endif
