/** @file
 * Teams' guarantees: while a team's unfinished work fits within its guarantee it waits for no other
 * team. What others run beyond their own guarantees is stopped for it, whatever its priority. */
#ifndef RP_SCHEDULER_QUOTA_H
#define RP_SCHEDULER_QUOTA_H

#include "scheduler/cycle_input.h"

/** Stops other teams' work for guaranteed tasks that the plan has no room for now. Gangs of several
 * tasks are left to rp_gang_reservation_run, which keeps machines for one at a time. */
void rp_quota_enforce_guarantees(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                                 const struct rp_plan *plan, struct timespec now);

#endif
