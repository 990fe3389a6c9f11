/** @file
 * Tasks on machines whose jobs this leader doesn't know (any more): they are stopped and forgotten.
 * While one of them may run, its machine is not usable, and teams with a limit start nothing, since
 * it is counted against nobody's limit. */
#ifndef RP_CLUSTER_UNKNOWN_TASKS_H
#define RP_CLUSTER_UNKNOWN_TASKS_H

#include "cluster/cluster_state.h"

/** Forgets the machine's unknown tasks; called before each heartbeat's list is read. */
void rp_machine_clear_unknown_tasks(struct rp_cluster *cluster, struct rp_machine *machine);
/** Adds one. False: the machine has RP_UNKNOWN_TASKS_MAX already; this one is only counted, as one
 * that may run. */
bool rp_machine_add_unknown_task(struct rp_cluster *cluster, struct rp_machine *machine,
                                 const struct rp_unknown_task *unknown_task);

#endif
