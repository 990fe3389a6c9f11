/** @file
 * Selects the groups of tasks that are shed when not all can meet their service-level objectives.
 * Shed groups are placed after the others of their priority. They are selected by Moore's rule (J.
 * M. Moore, "An n job, one machine sequencing algorithm for minimizing the number of late jobs",
 * 1968).
 */
#ifndef RP_SCHEDULER_LOAD_SHEDDING_H
#define RP_SCHEDULER_LOAD_SHEDDING_H

#include "scheduler/packing_state.h"

/** Counts the unfinished jobs of the most numerous class of each priority, without and with GPUs.
 * Called once for each plan, before the other functions of this module. */
void rp_load_shedding_count_classes(struct rp_packing *packing);
/** Returns the factor by which a job's work is weighted when groups are shed or ordered, from 0 for
 * the only unfinished job of a class to 1 for the most numerous class and for classes with more
 * than RARE_CLASS_JOBS_MAX unfinished jobs. Objectives require a share of a class's jobs: one job
 * of a small class is a larger share of it than one of a large class. */
double rp_load_shedding_class_factor(const struct rp_packing *packing,
                                     const struct rp_plan_group *group);
/** Marks the groups that are shed in `is_shed`, and sets the plan's `short_of_capacity`. */
void rp_load_shedding_run(struct rp_packing *packing);

#endif
