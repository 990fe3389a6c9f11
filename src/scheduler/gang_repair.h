/** @file
 * What is done with a gang that lost a task: it is completed if it hasn't begun, or stopped. Called
 * by the scheduling cycle before it builds the planner's input: such gangs are in no plan. */
#ifndef RP_SCHEDULER_GANG_REPAIR_H
#define RP_SCHEDULER_GANG_REPAIR_H

#include "scheduler/scheduler.h"

/** Repairs every open gang of which some tasks are allocated, and not all. */
void rp_gang_repair_run(struct rp_scheduler *scheduler, struct timespec now);

#endif
