/** @file
 * The waiting work as the planner sees it: a job's n_startable tasks as a group, or as up to three,
 * of which one is within its team's guaranteed quota and one is the job's first task. */
#ifndef RP_SCHEDULER_GROUP_INPUT_H
#define RP_SCHEDULER_GROUP_INPUT_H

#include "scheduler/cycle_input.h"

/** Adds the groups, higher priorities first. When memory is short `groups` or `guarantees_left`
 * stays NULL. */
void rp_group_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                          struct timespec now);

#endif
