/** @file
 * On which machine a replica runs soonest. What speaks against a machine is summed up in seconds of
 * a later start. */
#ifndef RP_SCHEDULER_REPLICA_PLACEMENT_H
#define RP_SCHEDULER_REPLICA_PLACEMENT_H

#include "scheduler/services.h"

/** What speaks against the machine for a task of the job, in seconds; negative: it can't take one.
 */
double rp_replica_placement_penalty_s(const struct rp_services *services,
                                      struct rp_machine *machine, const struct rp_job *job,
                                      struct timespec now);
/** Plans the start of the task, which is on no machine, on the best one, where is_lower work makes
 * way for it. False: no machine can take it. */
bool rp_replica_placement_place(struct rp_services *services, struct rp_job *job, uint32_t task,
                                struct timespec now);

#endif
