/** @file
 * The lifecycle of a machine in the cluster state: added, up, lost, releasing, removed. Every
 * change of state is made by rp_machine_set_state. The tasks of a machine end with its lease, with
 * its incarnation or with its confirmed deletion, in every state. Changes of a machine's contact,
 * its release and its removal are sent to the standbys by `on_machine_changed`. */
#ifndef RP_CLUSTER_MACHINE_LIFECYCLE_H
#define RP_CLUSTER_MACHINE_LIFECYCLE_H

#include "cluster/task_evidence.h"

/** Adds a machine of this name, which must be new. The cluster state owns the machine. */
struct rp_machine *rp_machine_add(struct rp_cluster *cluster, const char *name,
                                  enum rp_machine_state state);
/** Drops all tasks that may be on the machine, then removes and frees the machine. `evidence` is
 * the reason why none of these tasks can run any more. */
void rp_machine_remove(struct rp_cluster *cluster, struct rp_machine *machine,
                       enum rp_task_evidence evidence);
/** The only function that changes a machine's state. */
void rp_machine_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                          enum rp_machine_state state);
/** Begins the machine's release. Starts that were planned on it and not sent are dropped. */
void rp_machine_begin_release(struct rp_cluster *cluster, struct rp_machine *machine);
/** Called when the machine's lease has expired: drops all tasks of the machine, whether it is being
 * released or not. Whether and when the cloud deletes the machine makes no difference. */
void rp_machine_on_lease_expired(struct rp_cluster *cluster, struct rp_machine *machine);
/** Extends the lease that this leader reckons for the machine's worker to its full length from
 * `from`, unless it lasts longer. */
void rp_machine_extend_lease(const struct rp_cluster *cluster, struct rp_machine *machine,
                             struct timespec from);
/** Called when a heartbeat shows this leader's fencing token, so that its list of tasks is complete
 * and belongs to the current lease. A machine that is being released remains so. */
void rp_machine_on_heartbeat_proven(struct rp_cluster *cluster, struct rp_machine *machine);
/** Sets the machine's address and incarnation to those of its newest message. */
void rp_machine_set_contact(struct rp_cluster *cluster, struct rp_machine *machine,
                            const char *addr, uint64_t incarnation);
/** Sets whether the machine's newest heartbeat shows this leader's fencing token. */
void rp_machine_set_fencing_token_seen(struct rp_cluster *cluster, struct rp_machine *machine,
                                       bool seen);
/** Called when the machine's worker shows a newer incarnation: drops all allocations, since no task
 * of the previous incarnation is on the machine any more. */
void rp_machine_end_incarnation(struct rp_cluster *cluster, struct rp_machine *machine);

#endif
