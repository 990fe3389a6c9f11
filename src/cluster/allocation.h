/** @file
 * Allocations: tasks that may be on a machine, whatever is known of them. They are kept in the
 * machine's array; each change keeps the counts of the task's job, its zone and its team, which the
 * start permission relies on. An allocation is only dropped when it is certain that the task isn't
 * there (task_evidence.h). */
#ifndef RP_CLUSTER_ALLOCATION_H
#define RP_CLUSTER_ALLOCATION_H

#include "cluster/cluster_state.h"

/** Adds an allocation to the machine. The pointer holds until the machine's allocations change. */
struct rp_allocation *rp_allocation_add(struct rp_cluster *cluster, struct rp_machine *machine,
                                        struct rp_job *job, uint32_t task, uint64_t attempt,
                                        enum rp_allocation_state state);
/** The one place where an allocation changes its state; keeps all counts. */
void rp_allocation_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                             struct rp_allocation *allocation, enum rp_allocation_state state);
/** Drops the machine's allocation at `index`; the last one takes its place. Caller must know for
 * certain that the task isn't on the machine. The job may be freed with its last allocation. */
void rp_allocation_remove(struct rp_cluster *cluster, struct rp_machine *machine, size_t index);
/** Wants the task stopped, with `grace_s` seconds to save its progress. A stop that leaves less
 * time replaces an earlier one. */
void rp_allocation_request_stop(struct rp_allocation *allocation, double grace_s);

#endif
