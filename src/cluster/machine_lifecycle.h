/** @file
 * A machine's life in the cluster state: added, up, lost, releasing, removed. Every change of state
 * goes through rp_machine_set_state; standbys hear of those that concern them
 * (`on_machine_changed`). */
#ifndef RP_CLUSTER_MACHINE_LIFECYCLE_H
#define RP_CLUSTER_MACHINE_LIFECYCLE_H

#include "cluster/task_evidence.h"

/** Adds a machine of this name, which must be new. It belongs to the cluster state. */
struct rp_machine *rp_machine_add(struct rp_cluster *cluster, const char *name,
                                  enum rp_machine_state state);
/** Removes and frees the machine, with all that may be on it. */
void rp_machine_remove(struct rp_cluster *cluster, struct rp_machine *machine,
                       enum rp_task_evidence evidence);
/** The one place where a machine changes its state. */
void rp_machine_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                          enum rp_machine_state state);
/** Where it can be reached, and in which incarnation, as its newest message says. */
void rp_machine_note_contact(struct rp_cluster *cluster, struct rp_machine *machine,
                             const char *addr, uint64_t incarnation);
/** Whether its newest heartbeat shows our token. */
void rp_machine_note_fencing_token(struct rp_cluster *cluster, struct rp_machine *machine,
                                   bool seen);
/** The worker shows a newer incarnation: no task of the one before is on the machine any more. */
void rp_machine_end_incarnation(struct rp_cluster *cluster, struct rp_machine *machine);

#endif
