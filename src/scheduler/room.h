/** @file
 * What no plan does: gangs that lost a task, room made for work that finds none, machines drained
 * at the end of a load. */
#ifndef RP_SCHEDULER_ROOM_H
#define RP_SCHEDULER_ROOM_H

#include "scheduler/cycle_input.h"

void rp_room_mend_gangs(struct rp_scheduler *scheduler, struct timespec now);
void rp_room_prefer_holders(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                            struct rp_plan *plan, struct timespec now);
void rp_room_preempt(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                     const struct rp_plan *plan, struct timespec now);
void rp_room_gather(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                    const struct rp_plan *plan, struct timespec now);
void rp_room_drain_machines(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                            struct timespec now);

#endif
