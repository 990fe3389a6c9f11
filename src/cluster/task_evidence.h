/** @file
 * The kinds of evidence that no task of a machine can run any more. All allocations of a machine
 * are dropped at once only with such evidence; a single allocation is dropped according to what its
 * machine lists (worker/ reads heartbeats). The proof is in docs/safety.md, "Where a task may
 * run". */
#ifndef RP_CLUSTER_TASK_EVIDENCE_H
#define RP_CLUSTER_TASK_EVIDENCE_H

#include "cluster/cluster_state.h"

/** Why no task of a machine can run any more. */
enum rp_task_evidence {
    /** The machine's worker shows a newer incarnation: the worker killed all tasks of the previous
     * incarnation when its lease expired. */
    RP_EVIDENCE_NEW_INCARNATION,
    /** The machine has been silent until its lease expired: no heartbeat has been answered since,
     * so its worker has killed all tasks. The leader counts the lease from the arrival of the
     * answered heartbeat, with margins for clock drift (rp_settings_worker_lease_s), while the
     * worker counts it from the earlier instant when it sent that heartbeat. For answers of an
     * earlier leader, the bound is set when the records are loaded. */
    RP_EVIDENCE_LEASE_EXPIRED,
    /** The cloud has responded with 200 to the machine's deletion. Neither the machine's absence
     * from the cloud's list nor its silence proves that it is terminated. */
    RP_EVIDENCE_DELETION_CONFIRMED,
    /** No evidence that the tasks have ended: the term has ended, and the cluster state is
     * discarded. The next leader loads all machines from the records, and assumes that each machine
     * that was up may hold tasks. */
    RP_EVIDENCE_TERM_OVER
};

/** The evidence's name for log lines, such as "lease_expired". */
const char *rp_task_evidence_name(enum rp_task_evidence evidence);
/** Drops all allocations and unknown tasks of the machine. The machine's images are kept: they
 * remain on its disk, and a network partition or a hang ends only the tasks. */
void rp_machine_drop_tasks(struct rp_cluster *cluster, struct rp_machine *machine,
                           enum rp_task_evidence evidence);
/** Whether the lease of the machine's worker has expired, as far as this leader's answers renew it.
 * The caller must ensure that no other node has renewed the lease; no other node renews it while
 * this node leads. */
bool rp_machine_is_lease_expired(const struct rp_machine *machine, struct timespec now);
/** Whether the machine holds no unreported task of an earlier leader. Either a heartbeat has shown
 * this leader's fencing token, so that the worker accepts no older start and its list is complete;
 * or no earlier leader has started a task on the machine. */
bool rp_machine_has_complete_task_list(const struct rp_machine *machine);

#endif
