/** @file
 * Unknown tasks: tasks on machines, of jobs that this leader has no record of, or no longer has.
 * Unknown tasks are stopped and forgotten. While one of them may run, its machine is not usable,
 * and teams with a limit start no tasks, since the unknown task is counted against no team's
 * limit. */
#ifndef RP_CLUSTER_UNKNOWN_TASKS_H
#define RP_CLUSTER_UNKNOWN_TASKS_H

#include "cluster/cluster_state.h"

/** Removes the machine's unknown tasks; called before each heartbeat's list of tasks is read. */
void rp_machine_clear_unknown_tasks(struct rp_cluster *cluster, struct rp_machine *machine);
/** Adds an unknown task to the machine. Returns false if the machine has RP_UNKNOWN_TASKS_MAX
 * unknown tasks already; the task is then only counted, as one that may run. */
bool rp_machine_add_unknown_task(struct rp_cluster *cluster, struct rp_machine *machine,
                                 const struct rp_unknown_task *unknown_task);

#endif
