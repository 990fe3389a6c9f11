/** @file
 * What the leader knows about whether a task of a job is running (docs/safety.md, "What a node
 * tells about a job"). A message of a machine describes its tasks as of its arrival. Machines that
 * may hold tasks of an earlier leader, and have not shown this leader's fencing token yet, are
 * described by no message.
 *
 * "Pending" needs a recent message of every machine with a started task of the job. Heartbeats come
 * at intervals that may be longer than a proof is valid, so that the messages of many machines are
 * never all recent. The survey marks the jobs that wait for that; worker/phase_probes.c then asks
 * their machines at the same time.
 *
 * Called by the controller, for users' queries at the leader and for the other nodes. */
#ifndef RP_CLUSTER_JOB_PHASE_H
#define RP_CLUSTER_JOB_PHASE_H

#include "cluster/cluster_state.h"
#include "model/job_status.h"

/** The age of a status, in seconds, up to which it may be sent to a user: the lag that PROTOCOL
 * allows, 3 s, less 0.2 s for the ways of the message and the response. */
#define RP_JOB_PHASE_AGE_MAX_S 2.8

/** Surveys the machines, unless the newest survey is at most `max_age_s` old. */
void rp_job_phase_survey(struct rp_cluster *cluster, double max_age_s);
/** Whether the machine has to be probed: a job's phase is not known, only because the machines'
 * messages do not arrive close enough together, and this machine's newest message describes its
 * tasks as of an instant before `since`. */
bool rp_job_phase_needs_probe(const struct rp_machine *machine, struct timespec since);
/** The name of a cause, for log lines. */
const char *rp_phase_gap_cause_name(enum rp_phase_gap_cause cause);

/** Fills in the phase, the counts and the age of the status of a job in the table. The phase is
 * RP_JOB_RUNNING or RP_JOB_QUEUED if it was known to be true `age_s` seconds ago, else
 * RP_JOB_UNDETERMINED. */
void rp_job_phase_read(struct rp_cluster *cluster, struct rp_job *job,
                       struct rp_job_status *status);

#endif
