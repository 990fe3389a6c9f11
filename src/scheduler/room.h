/* What no plan does: gangs that lost a task, room made for work that finds none, machines drained
 * at the end of a load. */
#ifndef RP_ROOM_H
#define RP_ROOM_H

#include "scheduler/cycle_input.h"

/* The job that room is kept for on this machine, while it is still waited for. */
struct rp_job *rp_room_reserved_for(const struct rp_scheduler *scheduler,
                                    const struct rp_machine *machine);
/* Marks the jobs that room is kept for with this round's number. */
void rp_room_mark_held(const struct rp_scheduler *scheduler);
/* Machines are kept whole for it. */
bool rp_room_whole(const struct rp_job *job);
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
