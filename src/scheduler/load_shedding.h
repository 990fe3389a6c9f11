/** @file
 * Which groups of tasks are shed when not all can be in time for their service-level objectives:
 * they stand behind the others of their priority. Work is shed by Moore's rule (J. M. Moore, "An n
 * job, one machine sequencing algorithm for minimizing the number of late jobs", 1968). */
#ifndef RP_SCHEDULER_LOAD_SHEDDING_H
#define RP_SCHEDULER_LOAD_SHEDDING_H

#include "scheduler/packing_state.h"

/** Counts the unfinished jobs of the most numerous class of each priority. Called once for a plan,
 * before the others. */
void rp_load_shedding_count_classes(struct rp_packing *packing);
/** Objectives count shares of a class: one job of few is a larger share of its class than one of
 * many. Returns how much the job's work counts against it, from 0 for the only unfinished job of a
 * class to 1 for the most numerous class and those with RARE_JOBS and more. */
double rp_load_shedding_class_factor(const struct rp_packing *packing,
                                     const struct rp_plan_group *group);
/** Marks the groups that are shed (`is_shed`), and in the plan whether capacity is short. */
void rp_load_shedding_run(struct rp_packing *packing);

#endif
