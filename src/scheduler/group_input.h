/** @file
 * Builds the groups of the planner's input from the waiting work. The startable tasks of a job form
 * one group, or up to three: those within its team's guaranteed quota, the job's first task, and
 * the rest. */
#ifndef RP_SCHEDULER_GROUP_INPUT_H
#define RP_SCHEDULER_GROUP_INPUT_H

#include "scheduler/cycle_input.h"

/** Adds the groups to the input, higher priorities first. When memory is short, leaves `groups` or
 * `guarantees_left` NULL. */
void rp_group_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                          struct timespec now);

#endif
