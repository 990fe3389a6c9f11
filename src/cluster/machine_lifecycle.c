#include "cluster/machine_lifecycle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "cluster/allocation.h"
#include "cluster/catalog_index.h"

static void notify(const struct rp_cluster *cluster, const struct rp_machine *machine,
                   bool is_terminated) {
    if (cluster->on_machine_changed)
        cluster->on_machine_changed(cluster->on_machine_changed_arg, machine, is_terminated);
}

struct rp_machine *rp_machine_add(struct rp_cluster *cluster, const char *name,
                                  enum rp_machine_state state) {
    struct rp_machine *machine = rp_alloc(1, sizeof *machine);
    snprintf(machine->name, sizeof machine->name, "%s", name);
    machine->state = state;
    machine->type = machine->zone = RP_CATALOG_NONE;
    machine->requested_at = rp_loop_now(cluster->loop);
    rp_cluster_link(cluster, machine);
    return machine;
}

void rp_machine_remove(struct rp_cluster *cluster, struct rp_machine *machine,
                       enum rp_task_evidence evidence) {
    rp_machine_drop_tasks(cluster, machine, evidence);
    /* A machine that has sent no message and is not being released was never announced to the
     * standbys. */
    if (machine->contact.incarnation > 0 || rp_machine_is_releasing(machine))
        notify(cluster, machine, true);
    rp_cluster_unlink(cluster, machine);
    free(machine->allocations);
    free(machine->unknown_tasks);
    free(machine->images);
    free(machine);
}

static void on_lost(struct rp_cluster *cluster, struct rp_machine *machine) {
    machine->lost_since = rp_loop_now(cluster->loop);
    machine->contact.lost_incarnation = machine->contact.incarnation;
    if (!rp_machine_is_releasing(machine))
        rp_info("machine lost: machine=%s n_allocations=%zu", machine->name,
                machine->n_allocations);
    else if (machine->n_allocations > 0)
        rp_info("lease expired before the deletion was confirmed: machine=%s n_allocations=%zu",
                machine->name, machine->n_allocations);
    rp_machine_drop_tasks(cluster, machine, RP_EVIDENCE_LEASE_EXPIRED);
}

/* No start command was sent for these allocations, hence no evidence is needed. */
static void drop_planned(struct rp_cluster *cluster, struct rp_machine *machine) {
    for (size_t i = machine->n_allocations; i-- > 0;)
        if (machine->allocations[i].state == RP_ALLOCATION_PLANNED)
            rp_allocation_remove(cluster, machine, i);
}

static void on_release_begun(struct rp_cluster *cluster, struct rp_machine *machine) {
    machine->scale_in.since = rp_loop_now(cluster->loop);
    drop_planned(cluster, machine);
    notify(cluster, machine, false);
}

/* The edges:
 * - (new) -> BOOTING: the cloud has provisioned the machine;
 * - (new) -> BOOTING: an earlier leader's record names the machine but does not mark it as up;
 * - (new) -> BOOTING: no record names the machine, but it reports or the cloud lists it;
 * - (new) -> UNRECONCILED: an earlier leader's record names the machine and marks it as up;
 * - BOOTING -> UNRECONCILED: of two records that name the machine, only the second marks it as up;
 * - BOOTING, UNRECONCILED, LOST -> UP: a heartbeat shows this leader's fencing token, which proves
 *   that its list of tasks is complete;
 * - UP, UNRECONCILED -> LOST: the machine was silent until its lease expired;
 * - UP, UNRECONCILED -> RELEASING: the machine is to be returned to the cloud; no edge leads back;
 * - BOOTING, LOST -> RELEASING_LOST: the same, for a machine that holds no task;
 * - RELEASING -> RELEASING_LOST: the machine was silent until its lease expired, and the cloud has
 *   not confirmed its deletion;
 * - RELEASING_LOST -> RELEASING: as LOST -> UP;
 * - RELEASING, RELEASING_LOST -> (removed): the cloud has confirmed its deletion. */
void rp_machine_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                          enum rp_machine_state state) {
    bool was_lost = rp_machine_is_lost(machine);
    bool was_releasing = rp_machine_is_releasing(machine);
    if (machine->state == state)
        return;
    rp_debug("machine state changed: machine=%s from=%s to=%s", machine->name,
             rp_machine_state_name(machine->state), rp_machine_state_name(state));
    if (state == RP_MACHINE_UP && rp_ts_is_zero(machine->up_at))
        machine->up_at = rp_loop_now(cluster->loop);
    machine->state = state;
    cluster->unreconciled_stale = true;
    if (rp_machine_is_lost(machine) && !was_lost)
        on_lost(cluster, machine);
    if (rp_machine_is_releasing(machine) && !was_releasing)
        on_release_begun(cluster, machine);
}

void rp_machine_begin_release(struct rp_cluster *cluster, struct rp_machine *machine) {
    bool was_never_up = machine->state == RP_MACHINE_BOOTING && rp_machine_is_idle(machine);
    bool holds_no_task = rp_machine_is_lost(machine) || was_never_up;
    rp_machine_set_state(cluster, machine,
                         holds_no_task ? RP_MACHINE_RELEASING_LOST : RP_MACHINE_RELEASING);
}

void rp_machine_on_lease_expired(struct rp_cluster *cluster, struct rp_machine *machine) {
    rp_machine_set_state(cluster, machine,
                         rp_machine_is_releasing(machine) ? RP_MACHINE_RELEASING_LOST
                                                          : RP_MACHINE_LOST);
}

void rp_machine_extend_lease(const struct rp_cluster *cluster, struct rp_machine *machine,
                             struct timespec from) {
    struct timespec expiry = rp_ts_after(from, rp_settings_worker_lease_s(cluster->settings));
    if (rp_ts_cmp(expiry, machine->contact.lease_expiry) > 0)
        machine->contact.lease_expiry = expiry;
}

void rp_machine_on_heartbeat_proven(struct rp_cluster *cluster, struct rp_machine *machine) {
    rp_machine_set_state(cluster, machine,
                         rp_machine_is_releasing(machine) ? RP_MACHINE_RELEASING : RP_MACHINE_UP);
}

void rp_machine_set_contact(struct rp_cluster *cluster, struct rp_machine *machine,
                            const char *addr, uint64_t incarnation) {
    bool is_changed =
        machine->contact.incarnation != incarnation || strcmp(machine->addr, addr) != 0;
    machine->contact.incarnation = incarnation;
    snprintf(machine->addr, sizeof machine->addr, "%s", addr);
    if (is_changed)
        notify(cluster, machine, false);
}

void rp_machine_set_fencing_token_seen(struct rp_cluster *cluster, struct rp_machine *machine,
                                       bool seen) {
    if (machine->contact.fencing_token_seen != seen)
        cluster->unreconciled_stale = true;
    machine->contact.fencing_token_seen = seen;
}

void rp_machine_end_incarnation(struct rp_cluster *cluster, struct rp_machine *machine) {
    rp_machine_drop_tasks(cluster, machine, RP_EVIDENCE_NEW_INCARNATION);
}
