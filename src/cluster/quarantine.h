/** @file
 * Quarantine: whose fault a task's error is. A machine that is at fault fails whatever starts
 * there; a job that was submitted with a mistake fails wherever it starts. A machine at fault is
 * quarantined: it gets no more work and is released once it is idle. A job at fault is started with
 * a growing backoff.
 *
 * Owns `rp_machine.health`, and of a job the failed machines and the start backoff. Called by
 * worker/ with the ends of tasks, by the scheduler, and in each tick by the release policy. */
#ifndef RP_CLUSTER_QUARANTINE_H
#define RP_CLUSTER_QUARANTINE_H

#include "cluster/cluster.h"

/** A task of the job ended with an error on the machine: counts it against one or the other. */
void rp_quarantine_on_task_error(struct rp_cluster *cluster, struct rp_job *job,
                                 struct rp_machine *machine, struct timespec now);
/** A task of the job, already counted as done, ended well on the machine. */
void rp_quarantine_on_task_success(struct rp_cluster *cluster, struct rp_job *job,
                                   struct rp_machine *machine);
/** Notes that the job failed on the machine; false if it had failed there before. */
bool rp_quarantine_note_job_failure(struct rp_job *job, const struct rp_machine *machine);
/** Counts an error of the job against the machine alone. */
void rp_quarantine_count_machine_error(struct rp_cluster *cluster, const struct rp_job *job,
                                       struct rp_machine *machine, struct timespec now);
/** A machine is suspected for a while only: then it may show with another job what it is worth. */
void rp_quarantine_step(struct rp_machine *machine, struct timespec now);
/** Whether the job has failed on several machines and ended well on none: to be started with a few
 * tasks only. */
bool rp_quarantine_is_job_suspected(const struct rp_job *job);

#endif
