/** @file
 * Which machines are drained. Where a load falls, the last long tasks sit on many machines, each
 * kept for a task or two. Where they fit on machines that are kept anyway, and nothing waits for
 * the capacity, they are stopped with their progress saved, and the machine is scaled in: one at a
 * time of a small fleet, more of a large one. Replicas are moved one by one by replica_moves.h.
 * Called by the scheduling cycle after the plan is applied; the cycle's input is only read. */
#ifndef RP_SCHEDULER_MACHINE_DRAINING_H
#define RP_SCHEDULER_MACHINE_DRAINING_H

#include "scheduler/cycle_input.h"

/** Begins to drain the machines that save most, as many as may be draining at a time. */
void rp_machine_draining_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                             struct timespec now);

#endif
