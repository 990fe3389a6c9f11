/** @file
 * Enforces the teams' guarantees: while a team's unfinished work fits within its guarantee, it does
 * not wait for any other team's work. Array tasks that other teams run beyond their own guarantees
 * are stopped for it, regardless of their priority. */
#ifndef RP_SCHEDULER_QUOTA_H
#define RP_SCHEDULER_QUOTA_H

#include "scheduler/cycle_input.h"

/** Stops other teams' work for guaranteed tasks that the plan does not start now. Gangs of several
 * tasks are left to rp_gang_reservation_run, which reserves machines for one of them at a time. */
void rp_quota_enforce_guarantees(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                                 const struct rp_plan *plan, struct timespec now);

#endif
