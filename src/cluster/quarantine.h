/** @file
 * Whose fault an error is: the machine's, which fails whatever starts there, or the job's, which
 * was submitted with a mistake and fails wherever it starts. */
#ifndef RP_CLUSTER_QUARANTINE_H
#define RP_CLUSTER_QUARANTINE_H

#include "cluster/cluster.h"

/** Notes that the job failed on the machine; false if it had failed there before. */
bool rp_quarantine_note_job_failure(struct rp_job *job, const struct rp_machine *machine);
/** A task of the job ended with an error on the machine. */
void rp_quarantine_on_task_error(struct rp_cluster *cluster, struct rp_job *job,
                                 struct rp_machine *machine, struct timespec now);
/** The machine's part in it alone. */
void rp_quarantine_count_machine_error(struct rp_cluster *cluster, const struct rp_job *job,
                                       struct rp_machine *machine, struct timespec now);
/** A task of the job, already counted as done, ended well on the machine. */
void rp_quarantine_on_task_success(struct rp_cluster *cluster, struct rp_job *job,
                                   struct rp_machine *machine);
/** A machine under suspicion may show with another job what it is worth. */
void rp_quarantine_step(struct rp_machine *machine, struct timespec now);
/** It has failed on several machines and ended well on none: started with a few tasks only. */
bool rp_quarantine_is_job_suspected(const struct rp_job *job);

#endif
