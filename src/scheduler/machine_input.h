/** @file
 * The machines as the planner sees them: what they have free now and later, and when their work
 * ends. */
#ifndef RP_SCHEDULER_MACHINE_INPUT_H
#define RP_SCHEDULER_MACHINE_INPUT_H

#include "scheduler/cycle_input.h"

/** Adds the machines that can be planned on, and those that are requested. Caller has built the
 * offerings. When memory is short `machines` or `releases` stays NULL. */
void rp_machine_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                            struct timespec now);

#endif
