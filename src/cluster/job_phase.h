/** @file
 * What the leader knows about whether a task of a job is running (docs/safety.md, "What a node
 * tells about a job"). A message of a machine describes its tasks as of its arrival. Machines that
 * may hold tasks of an earlier leader, and have not shown this leader's fencing token yet, are
 * described by no message.
 *
 * Called by the controller, for users' queries at the leader and for the other nodes. */
#ifndef RP_CLUSTER_JOB_PHASE_H
#define RP_CLUSTER_JOB_PHASE_H

#include "cluster/cluster_state.h"
#include "model/job_status.h"

/** The age of a status, in seconds, up to which it may be sent to a user: the lag that PROTOCOL
 * allows, 3 s, less 0.2 s for the ways of the message and the response. */
#define RP_JOB_PHASE_AGE_MAX_S 2.8

/** Fills in the phase, the counts and the age of the status of a job in the table. The phase is
 * RP_JOB_RUNNING or RP_JOB_QUEUED if it was known to be true `age_s` seconds ago, else
 * RP_JOB_UNDETERMINED. */
void rp_job_phase_read(struct rp_cluster *cluster, struct rp_job *job,
                       struct rp_job_status *status);

#endif
