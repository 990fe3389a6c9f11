/** @file
 * Builds the planner's input from the leader's state. This module builds the cloud's offerings and
 * the teams; machine_input.h, group_input.h and image_input.h build the rest. Called once for each
 * cycle. */
#ifndef RP_SCHEDULER_CYCLE_INPUT_BUILD_H
#define RP_SCHEDULER_CYCLE_INPUT_BUILD_H

#include "scheduler/cycle_input.h"

/** Builds the input. Returns false when memory is short; the caller calls rp_cycle_input_free in
 * either case. */
bool rp_cycle_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                          struct timespec now);

#endif
