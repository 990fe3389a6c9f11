/** @file
 * Repairs gangs that have lost a task: a gang that has not begun to run is completed, any other is
 * stopped. Called by the scheduling cycle before it builds the planner's input: such gangs are in
 * no plan. */
#ifndef RP_SCHEDULER_GANG_REPAIR_H
#define RP_SCHEDULER_GANG_REPAIR_H

#include "scheduler/scheduler.h"

/** Repairs every open gang of which some but not all tasks are allocated. */
void rp_gang_repair_run(struct rp_scheduler *scheduler, struct timespec now);

#endif
