/** @file
 * Which lower-priority work is preempted for a replica, and at what cost. Only array tasks of a
 * lower priority are preempted. On the replica's machine they are stopped without time to save, in
 * the message that starts the replica. */
#ifndef RP_SCHEDULER_REPLICA_PREEMPTION_H
#define RP_SCHEDULER_REPLICA_PREEMPTION_H

#include "scheduler/services.h"

/** Whether the task is being stopped without time to save: it has ended by the time that a
 * subsequent start is executed. */
bool rp_replica_preemption_is_ending(const struct rp_allocation *allocation);
/** Seconds of run time that are lost if capacity for one task of the job is freed on the machine;
 * negative if it cannot be freed. */
double rp_replica_preemption_cost_s(const struct rp_services *services,
                                    const struct rp_machine *machine, const struct rp_job *job,
                                    struct timespec now);
/** Stops as many lower-priority tasks on the machine as one task of the job needs. Returns the
 * resources that are released by the time of the start. */
struct rp_released_resources rp_replica_preemption_free_machine(struct rp_services *services,
                                                                struct rp_machine *machine,
                                                                const struct rp_job *job,
                                                                struct timespec now);
/** Stops lower-priority work of the job's team, on any machine, until the job's missing replicas
 * are within the team's limit. Otherwise, no machine would be provisioned for a replica of a team
 * at its limit if the team's lower-priority work runs where the replica cannot run (such as on spot
 * machines). Stops at least one task and, once `services->steps` is spent, no more: the next call
 * counts what is being stopped and goes on. */
void rp_replica_preemption_free_quota(struct rp_services *services, const struct rp_job *job,
                                      struct timespec now);

#endif
