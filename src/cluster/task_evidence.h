/** @file
 * The evidence that no task of a machine can run any more, in one place. Allocations are dropped
 * all at once only with a piece of it; a single one goes by what its machine lists (worker/ reads
 * heartbeats). The argument is in docs/safety.md, "Where a task may run". */
#ifndef RP_CLUSTER_TASK_EVIDENCE_H
#define RP_CLUSTER_TASK_EVIDENCE_H

#include "cluster/cluster_state.h"

/** Why no task of a machine can run any more. */
enum rp_task_evidence {
    /** The machine's worker shows a newer incarnation: it has killed all tasks of the one before
     * when its lease expired. */
    RP_EVIDENCE_NEW_INCARNATION,
    /** The machine has been silent beyond its lease: no heartbeat has been answered since, so its
     * worker has killed all tasks by itself. The lease is reckoned from the answered heartbeat's
     * arrival, with margins for the drift of clocks (rp_settings_worker_lease_s), while the worker
     * reckons from its sending, which was before; an earlier leader's answers are bounded when the
     * records are loaded. */
    RP_EVIDENCE_LEASE_EXPIRED,
    /** The cloud has answered 200 to the machine's deletion. Neither a machine's absence from the
     * cloud's list, nor its silence, is as much. */
    RP_EVIDENCE_DELETION_CONFIRMED,
    /** No evidence of this kind: the term is over, and what is known goes with it. The next leader
     * reads all machines from the records, and takes each for one that may hold tasks. */
    RP_EVIDENCE_TERM_OVER
};

/** The evidence's name for log lines, such as "lease_expired". */
const char *rp_task_evidence_name(enum rp_task_evidence evidence);
/** Drops all that may be on the machine. Its images stay: what has been fetched is on its disk, and
 * a cut or a hang takes the tasks only. */
void rp_machine_drop_tasks(struct rp_cluster *cluster, struct rp_machine *machine,
                           enum rp_task_evidence evidence);
/** Whether the lease of the machine's worker has expired, unless an answer has renewed it that this
 * leader didn't send. Caller must know that there was none: while it leads, there isn't. */
bool rp_machine_is_lease_expired(const struct rp_machine *machine, struct timespec now);
/** Whether the machine holds no task of an earlier leader that it hasn't told of: a heartbeat has
 * shown our token, so no older start can be accepted any more, and its list is complete; or nothing
 * was ever started there before. */
bool rp_machine_has_complete_task_list(const struct rp_machine *machine);
/** Whether the machine may hold tasks of an earlier leader that it hasn't told of: neither has it
 * told all, nor is its lease over. */
bool rp_machine_is_unreconciled(const struct rp_machine *machine, struct timespec now);

#endif
