/** @file
 * The start permission. A task is started only with rp_cluster_may_start's leave, which counts
 * everything that MAY be on a machine: in flight, fetching, stopping, on machines that can't be
 * reached. The argument is in docs/safety.md, "Where a task may run". Callers plan as they like;
 * they ask here before they add the allocation, in the same turn of the event loop. */
#ifndef RP_CLUSTER_START_PERMISSION_H
#define RP_CLUSTER_START_PERMISSION_H

#include "cluster/cluster_state.h"

/** What the very message that starts a task gives back before: of the machine's capacity, and of
 * what the job's team uses. */
struct rp_released_resources {
    struct rp_resources capacity, quota;
};

/** Whether this task of the job may be started on the machine now. */
bool rp_cluster_may_start(struct rp_cluster *cluster, const struct rp_job *job, uint32_t task,
                          const struct rp_machine *machine);
/** The same, with what the message gives back before. */
bool rp_cluster_may_start_after_release(struct rp_cluster *cluster, const struct rp_job *job,
                                        uint32_t task, const struct rp_machine *machine,
                                        const struct rp_released_resources *freed);
/** Whether no machine may hold tasks that this leader doesn't know of. */
bool rp_cluster_is_reconciled(struct rp_cluster *cluster);
/** Whether no machine may hold tasks of this job that this leader doesn't know of. */
bool rp_cluster_is_job_reconciled(struct rp_cluster *cluster, const struct rp_job *job);
/** Whether the job allows this type, zone and kind of machine. False for a type or zone below 0. */
bool rp_cluster_is_kind_allowed(const struct rp_cluster *cluster, const struct rp_job_spec *spec,
                                int type, int zone, bool spot);
/** How far one more task of the job would be beyond its team's limit; not above 0: it isn't.
 * INFINITY for a job without a team, and while it can't be told what the team's tasks use. */
struct rp_resources rp_cluster_quota_excess(const struct rp_cluster *cluster,
                                            const struct rp_job *job);
/** What the machine's type has, less what its counted allocations may use. */
struct rp_resources rp_machine_free_resources(const struct rp_cluster *cluster,
                                              const struct rp_machine *machine);

#endif
