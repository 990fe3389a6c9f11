/** @file
 * Allocations: the tasks that may be on a machine, in any state. They are stored in the machine's
 * array. Each change updates the counts of the task's job, zone and team, on which the start
 * permission relies. An allocation is removed only when it is certain that the task is not on the
 * machine (task_evidence.h). */
#ifndef RP_CLUSTER_ALLOCATION_H
#define RP_CLUSTER_ALLOCATION_H

#include "cluster/cluster_state.h"

/** Adds an allocation to the machine. The returned pointer is valid until the machine's allocations
 * change. */
struct rp_allocation *rp_allocation_add(struct rp_cluster *cluster, struct rp_machine *machine,
                                        struct rp_job *job, uint32_t task, uint64_t attempt,
                                        enum rp_allocation_state state);
/** The only function that changes an allocation's state; updates all counts. */
void rp_allocation_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                             struct rp_allocation *allocation, enum rp_allocation_state state);
/** Removes the machine's allocation at `index`; the machine's last allocation moves to that index.
 * The caller must ensure that the task is not on the machine. The job may be freed with its last
 * allocation. */
void rp_allocation_remove(struct rp_cluster *cluster, struct rp_machine *machine, size_t index);
/** Requests that the task be stopped, with `grace_s` seconds to save its progress. A request with a
 * shorter grace period replaces an earlier request for the same task. */
void rp_allocation_request_stop(struct rp_allocation *allocation, double grace_s);

#endif
