/** @file
 * Quarantine: attributes each error of a task to its machine or to its job. On a faulty machine the
 * tasks of all jobs fail; a faulty job fails on all machines. A faulty machine is quarantined: no
 * more tasks are started on it and it is released once it is idle. A faulty job is started with a
 * growing backoff.
 *
 * Owns `rp_machine.health`, and the failed machines and the start backoff of each job. Called by
 * worker/ when tasks end, by the scheduler, and by the release policy in each tick. */
#ifndef RP_CLUSTER_QUARANTINE_H
#define RP_CLUSTER_QUARANTINE_H

#include "cluster/cluster.h"

/** Called when a task of the job ended with an error on the machine: counts the error against
 * either the machine or the job. */
void rp_quarantine_on_task_error(struct rp_cluster *cluster, struct rp_job *job,
                                 struct rp_machine *machine, struct timespec now);
/** Called when a task of the job succeeded on the machine; the task is already counted as done. */
void rp_quarantine_on_task_success(struct rp_cluster *cluster, struct rp_job *job,
                                   struct rp_machine *machine);
/** Records that the job failed on the machine. Returns false if it had failed there before. */
bool rp_quarantine_record_job_failure(struct rp_job *job, const struct rp_machine *machine);
/** Counts an error of the job against the machine alone. */
void rp_quarantine_count_machine_error(struct rp_cluster *cluster, const struct rp_job *job,
                                       struct rp_machine *machine, struct timespec now);
/** Ends the suspicion of the machine when suspected_until is reached, so that another job can be
 * started on the machine and show whether the machine is faulty. */
void rp_quarantine_step(struct rp_machine *machine, struct timespec now);
/** Whether the job has failed on several machines and succeeded on none. Only a few tasks of a
 * suspected job are started. */
bool rp_quarantine_is_job_suspected(const struct rp_job *job);

#endif
