/** @file
 * The remaining time of an allocation, by the run-time estimates. */
#ifndef RP_SCHEDULER_REMAINING_TIME_H
#define RP_SCHEDULER_REMAINING_TIME_H

#include "scheduler/scheduler.h"

/** Seconds until the task's estimated end, or until the end of its machine's billing unit if there
 * is no estimate. */
double rp_allocation_remaining_s(const struct rp_scheduler *scheduler,
                                 const struct rp_machine *machine,
                                 const struct rp_allocation *allocation, struct timespec now);

#endif
