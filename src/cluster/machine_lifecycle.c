#include "cluster/machine_lifecycle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
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
    if (machine->contact.incarnation > 0 || machine->state == RP_MACHINE_RELEASING)
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
    rp_info("machine lost: machine=%s n_allocations=%zu", machine->name, machine->n_allocations);
    rp_machine_drop_tasks(cluster, machine, RP_EVIDENCE_LEASE_EXPIRED);
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
 * - any -> RELEASING: the machine is to be returned to the cloud; no edge leads back;
 * - RELEASING -> (removed): the cloud has confirmed its deletion. */
void rp_machine_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                          enum rp_machine_state state) {
    struct timespec now = rp_loop_now(cluster->loop);
    if (machine->state == state)
        return;
    rp_debug("machine state changed: machine=%s from=%s to=%s", machine->name,
             rp_machine_state_name(machine->state), rp_machine_state_name(state));
    if (state == RP_MACHINE_UP && rp_ts_is_zero(machine->up_at))
        machine->up_at = now;
    if (state == RP_MACHINE_LOST)
        on_lost(cluster, machine);
    machine->state = state;
    cluster->unreconciled_stale = true;
    if (state == RP_MACHINE_RELEASING) {
        machine->scale_in.since = now;
        notify(cluster, machine, false);
    }
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
