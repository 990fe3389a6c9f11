/** @file
 * Chooses the machines to drain. When the load decreases, the last long tasks are spread over many
 * machines, each of which is kept for one or two tasks. If the tasks fit on machines that are kept
 * anyway, and no work waits for the capacity, the tasks are stopped with their progress saved and
 * their machine is scaled in: one machine at a time in a small fleet, more in a large one. Replicas
 * are moved one by one by replica_moves.h. Called by the scheduling cycle after the plan is
 * applied; the cycle's input is only read. */
#ifndef RP_SCHEDULER_MACHINE_DRAINING_H
#define RP_SCHEDULER_MACHINE_DRAINING_H

#include "scheduler/cycle_input.h"

/** Begins to drain the machines whose draining saves the highest cost, until as many machines are
 * draining as may be at a time. */
void rp_machine_draining_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                             struct timespec now);

#endif
