/** @file
 * The start permission. A task is started only if rp_cluster_may_start allows it. The check counts
 * every task that MAY be on a machine: starts in flight, tasks that are fetching or stopping, and
 * tasks on unreachable machines. The proof is in docs/safety.md, "Where a task may run".
 *
 * Planning needs no permission. A caller must check the permission before it adds an allocation, in
 * the same turn of the event loop. */
#ifndef RP_CLUSTER_START_PERMISSION_H
#define RP_CLUSTER_START_PERMISSION_H

#include "cluster/cluster_state.h"

/** Resources that other commands of a message release before the message starts a task: `capacity`
 * is released on the machine, `quota` from the usage of the job's team. */
struct rp_released_resources {
    struct rp_resources capacity, quota;
};

/** Whether this task of the job may be started on the machine now. */
bool rp_cluster_may_start(struct rp_cluster *cluster, const struct rp_job *job, uint32_t task,
                          const struct rp_machine *machine);
/** Like rp_cluster_may_start, with the resources in `freed` counted as free. */
bool rp_cluster_may_start_after_release(struct rp_cluster *cluster, const struct rp_job *job,
                                        uint32_t task, const struct rp_machine *machine,
                                        const struct rp_released_resources *freed);
/** Whether no machine may hold tasks that are missing from this leader's cluster state. */
bool rp_cluster_is_reconciled(struct rp_cluster *cluster);
/** Whether no machine may hold tasks of this job that are missing from this leader's cluster state.
 * If the job's team has a limit, tasks of all jobs count. */
bool rp_cluster_is_job_reconciled(struct rp_cluster *cluster, const struct rp_job *job);
/** Whether the job specification allows this type and zone, and spot machines if `spot`. False for
 * a type or zone below 0. */
bool rp_cluster_is_kind_allowed(const struct rp_cluster *cluster, const struct rp_job_spec *spec,
                                int type, int zone, bool spot);
/** Whether one_zone and spread allow one more task of the job in the zone. */
bool rp_cluster_is_zone_allowed(const struct rp_job *job, int zone);
/** Whether the machine, which has these resources available, may take one more task of the job with
 * regard to the task slots that jobs of small tasks leave to one another. */
bool rp_cluster_leaves_task_slots(const struct rp_machine *machine, const struct rp_job *job,
                                  const struct rp_resources *available);
/** By how much one more task of the job would exceed the limit of the job's team; 0 or less if it
 * would not exceed the limit. INFINITY for a job without a team, and for a team with a limit while
 * its usage is unknown because a machine holds tasks of unknown jobs. */
struct rp_resources rp_cluster_quota_excess(const struct rp_cluster *cluster,
                                            const struct rp_job *job);
/** The capacity of the machine's type, minus the resources of its counted allocations. Each task
 * that the machine's reports list occupies a task slot, whether it has ended or not. */
struct rp_resources rp_machine_free_resources(const struct rp_cluster *cluster,
                                              const struct rp_machine *machine);

#endif
