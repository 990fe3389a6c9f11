/** @file
 * Which is_lower work makes way for a replica, and at what cost. Only array tasks of a is_lower
 * priority do; they are stopped without time to save, in the message that starts the replica. */
#ifndef RP_SCHEDULER_REPLICA_PREEMPTION_H
#define RP_SCHEDULER_REPLICA_PREEMPTION_H

#include "scheduler/services.h"

/** Whether the task is being stopped without time to save: it is over by the time when a start that
 * follows is carried out. */
bool rp_replica_preemption_is_ending(const struct rp_allocation *allocation);
/** Seconds of work that are lost if the machine makes way for one task of the job; negative: it
 * can't. */
double rp_replica_preemption_cost_s(const struct rp_services *services, struct rp_machine *machine,
                                    const struct rp_job *job, struct timespec now);
/** Stops as much is_lower work on the machine as one task of the job needs. Returns what is given
 * back by the time of the start. */
struct rp_released_resources rp_replica_preemption_free_machine(struct rp_services *services,
                                                                struct rp_machine *machine,
                                                                const struct rp_job *job,
                                                                struct timespec now);
/** Stops is_lower work of the job's team, wherever it is, until its missing replicas are within the
 * team's limit. A team at its limit, whose is_lower work sits where a replica can't go (on spot
 * machines, say), would have no machine provisioned for it either. */
void rp_replica_preemption_free_quota(struct rp_services *services, const struct rp_job *job,
                                      struct timespec now);

#endif
