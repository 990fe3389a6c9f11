/** @file
 * Enforces the teams' guaranteed quotas: while a team's unfinished work fits within its guaranteed
 * quota, it does not wait for any other team's work. Array tasks that other teams run beyond their
 * own guaranteed quotas are stopped for the team's work, regardless of their priority. */
#ifndef RP_SCHEDULER_QUOTA_H
#define RP_SCHEDULER_QUOTA_H

#include "scheduler/cycle_input.h"

/** Stops other teams' work for guaranteed tasks that the plan does not start now. Gangs of several
 * tasks are omitted: rp_gang_reservation_run reserves machines for one of them at a time. */
void rp_quota_enforce_guarantees(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                                 const struct rp_plan *plan, struct timespec now);

#endif
