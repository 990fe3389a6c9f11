/** @file
 * Reserves machines for gangs that no plan can place. Plans place a gang as a whole or not at all,
 * and capacity that becomes free while a gang waits is taken by work that needs less: on a full
 * fleet, a gang that needs several whole machines would never find them free at the same time. The
 * machines that can be free soonest are reserved for one gang at a time: all of them at once, so
 * that two gangs never each hold a part of what both need, and only for a bounded time. Called by
 * the scheduling cycle after the plan is made; the cycle's input is only read. */
#ifndef RP_SCHEDULER_GANG_RESERVATION_H
#define RP_SCHEDULER_GANG_RESERVATION_H

#include "scheduler/cycle_input.h"

/** Reserves machines for one gang of several tasks, and for some gangs of one task that have waited
 * for SINGLE_TASK_GANG_WAIT_S. */
void rp_gang_reservation_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                             const struct rp_plan *plan, struct timespec now);

#endif
