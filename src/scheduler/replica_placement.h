/** @file
 * Finds the machine on which a replica runs soonest. All disadvantages of a machine are added up as
 * a penalty, in seconds of a later start. */
#ifndef RP_SCHEDULER_REPLICA_PLACEMENT_H
#define RP_SCHEDULER_REPLICA_PLACEMENT_H

#include "scheduler/services.h"

/** The machine's penalty for a task of the job, in seconds; negative if the machine cannot take
 * such a task. */
double rp_replica_placement_penalty_s(const struct rp_services *services,
                                      const struct rp_machine *machine, const struct rp_job *job,
                                      struct timespec now);

/** The number of replicas of the service that may be started now besides those that are starting:
 * few until some are known to run, and fewer after one has ended soon after its start. */
uint32_t rp_replica_placement_n_startable(const struct rp_job *job);

/** Plans the starts of up to `n_max` missing replicas of the job, each on the best machine, where
 * lower-priority work is preempted if necessary. Begins no further replica once `services->steps`
 * is spent. Returns false if no machine can take the next missing replica. */
bool rp_replica_placement_run(struct rp_services *services, struct rp_job *job, unsigned n_max,
                              struct timespec now);

#endif
