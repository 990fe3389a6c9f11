/** @file
 * Builds the machines of the planner's input: their capacity that is free now and later, and the
 * estimated ends of their work. */
#ifndef RP_SCHEDULER_MACHINE_INPUT_H
#define RP_SCHEDULER_MACHINE_INPUT_H

#include "scheduler/cycle_input.h"

/** Adds to the input the machines that work may be planned on, including requested ones. The caller
 * has built the offerings. When memory is short, leaves `machines` or `releases` NULL. */
void rp_machine_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                            struct timespec now);

#endif
