#include "cluster/task_evidence.h"

#include "base/log.h"
#include "cluster/allocation.h"
#include "cluster/unknown_tasks.h"

const char *rp_task_evidence_name(enum rp_task_evidence evidence) {
    switch (evidence) {
    case RP_EVIDENCE_NEW_INCARNATION:
        return "new_incarnation";
    case RP_EVIDENCE_LEASE_EXPIRED:
        return "lease_expired";
    case RP_EVIDENCE_DELETION_CONFIRMED:
        return "deletion_confirmed";
    case RP_EVIDENCE_TERM_OVER:
        return "term_over";
    }
    return "unknown";
}

void rp_machine_drop_tasks(struct rp_cluster *cluster, struct rp_machine *machine,
                           enum rp_task_evidence evidence) {
    if (machine->n_allocations > 0)
        rp_debug("allocations dropped: machine=%s evidence=%s n_allocations=%zu", machine->name,
                 rp_task_evidence_name(evidence), machine->n_allocations);
    while (machine->n_allocations > 0)
        rp_allocation_remove(cluster, machine, machine->n_allocations - 1);
    rp_machine_clear_unknown_tasks(cluster, machine);
}

bool rp_machine_is_lease_expired(const struct rp_machine *machine, struct timespec now) {
    return rp_ts_is_reached(now, machine->contact.lease_expiry);
}

bool rp_machine_has_complete_task_list(const struct rp_machine *machine) {
    if (machine->state == RP_MACHINE_UNRECONCILED)
        return false;
    /* Once the machine was lost, no earlier leader's start can be on it any more. */
    bool was_lost = !rp_ts_is_zero(machine->lost_since);
    return machine->state != RP_MACHINE_RELEASING || machine->contact.fencing_token_seen ||
           was_lost;
}
