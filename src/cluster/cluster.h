/** @file
 * The cluster state, as other directories use it: machines, the allocations on them, and the start
 * permission. Includes all its modules. Only a leader has one; it begins anew with each term and is
 * never read anew under the same fencing token (docs/safety.md, "One term, one cluster state"). */
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

/** Makes an empty cluster state. All pointers are borrowed and must outlive it. Returns 0, or -1
 * when memory is out. */
int rp_cluster_init(struct rp_cluster *cluster, struct rp_loop *loop, struct rp_jobs *jobs,
                    const struct rp_settings *settings, const struct rp_catalog *catalog);
/** Forgets everything and starts numbering attempts for this token; 0: the node doesn't lead. */
void rp_cluster_reset(struct rp_cluster *cluster, uint64_t token);
/** Frees what the cluster state holds, but not itself. */
void rp_cluster_free(struct rp_cluster *cluster);
/** An attempt's number, unique over all leaders: the token, shifted by 32 bits, and a count. */
uint64_t rp_cluster_next_attempt(struct rp_cluster *cluster);
/** Wants every task of the job stopped, wherever it may be, with `grace_s` seconds to save its
 * progress. Planned starts are dropped. */
void rp_cluster_stop_job(struct rp_cluster *cluster, struct rp_job *job, double grace_s);

#endif
