/** @file
 * The interface of the cluster state for other directories: machines, the allocations on them, and
 * the start permission. Includes the headers of the modules that operate on it. Only a leader has a
 * cluster state; each term starts with an empty cluster state, which is never loaded twice under
 * the same fencing token (docs/safety.md, "One term, one cluster state"). */
#ifndef RP_CLUSTER_CLUSTER_H
#define RP_CLUSTER_CLUSTER_H

#include "cluster/allocation.h"
#include "cluster/cluster_state.h"
#include "cluster/machine.h"
#include "cluster/machine_images.h"
#include "cluster/machine_lifecycle.h"
#include "cluster/start_permission.h"
#include "cluster/task_evidence.h"
#include "cluster/unknown_tasks.h"

/** Initializes an empty cluster state. All pointers are borrowed and must outlive the cluster
 * state. Returns 0, or -1 if out of memory. */
int rp_cluster_init(struct rp_cluster *cluster, struct rp_loop *loop, struct rp_jobs *jobs,
                    const struct rp_settings *settings, const struct rp_catalog *catalog);
/** Empties the cluster state and restarts the numbering of attempts for the fencing token `token`,
 * which is 0 when the node does not lead. */
void rp_cluster_reset(struct rp_cluster *cluster, uint64_t token);
/** Frees what the cluster state holds, but not `cluster` itself. */
void rp_cluster_free(struct rp_cluster *cluster);
/** A new attempt number, below 2^63. It differs from those of all terms whose fencing tokens are
 * less than 2^31 changes of the store older. */
uint64_t rp_cluster_next_attempt(struct rp_cluster *cluster);
/** Whether the term's attempt numbers are nearly used up: the next term has new ones. */
bool rp_cluster_is_short_of_attempts(const struct rp_cluster *cluster);
/** Requests that every task of the job be stopped, on any machine where the task may be, with
 * `grace_s` seconds to save its progress. Planned starts of the job are removed. */
void rp_cluster_stop_job(struct rp_cluster *cluster, struct rp_job *job, double grace_s);

#endif
