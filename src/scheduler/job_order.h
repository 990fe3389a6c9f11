/** @file
 * In which order a heuristic places the groups of tasks: the paper's job selection criteria (table
 * 2) and ours. The guaranteed quota comes before the priority, and this before the criterion. */
#ifndef RP_SCHEDULER_JOB_ORDER_H
#define RP_SCHEDULER_JOB_ORDER_H

#include "scheduler/packing_state.h"

/** Writes the order to `group_order`; for RP_JOB_ORDER_ESW sheds groups first. Caller has built the
 * pools and the candidate lists. */
void rp_job_order_sort(struct rp_packing *packing, enum rp_job_order order);

#endif
