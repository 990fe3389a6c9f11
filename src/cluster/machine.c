#include "cluster/machine.h"

#include "cluster/catalog_index.h"

const char *rp_machine_state_name(enum rp_machine_state state) {
    switch (state) {
    case RP_MACHINE_BOOTING:
        return "booting";
    case RP_MACHINE_UNRECONCILED:
        return "unreconciled";
    case RP_MACHINE_UP:
        return "up";
    case RP_MACHINE_LOST:
        return "lost";
    case RP_MACHINE_RELEASING:
        return "releasing";
    case RP_MACHINE_RELEASING_LOST:
        return "releasing_lost";
    }
    return "unknown";
}

bool rp_machine_is_releasing(const struct rp_machine *machine) {
    return machine->state == RP_MACHINE_RELEASING || machine->state == RP_MACHINE_RELEASING_LOST;
}

bool rp_machine_is_lost(const struct rp_machine *machine) {
    return machine->state == RP_MACHINE_LOST || machine->state == RP_MACHINE_RELEASING_LOST;
}

static bool is_kind_known(const struct rp_machine *machine) {
    return machine->type >= 0 && machine->zone >= 0;
}

void rp_machine_set_kind(struct rp_machine *machine, const struct rp_catalog *catalog,
                         const char *type, const char *zone, bool spot) {
    /* The zone must not change while there are allocations, which are counted by zone. */
    if (is_kind_known(machine) || machine->n_allocations > 0)
        return;
    machine->type = rp_catalog_type_index(catalog, type);
    machine->zone = rp_catalog_zone_index(catalog, zone);
    machine->spot = spot;
}

bool rp_machine_is_one_way_partitioned(const struct rp_machine *machine) {
    return !rp_ts_is_zero(machine->contact.answers_lost_since);
}

/* Whether a durable record names the machine and marks it as up. The next leader then assumes that
 * the machine may hold tasks. */
static bool is_durable(const struct rp_machine *machine) {
    return machine->recorded && machine->up_recorded;
}

static bool is_healthy(const struct rp_machine *machine) {
    return !machine->health.quarantined && !machine->health.suspected;
}

bool rp_machine_is_usable(const struct rp_machine *machine) {
    bool is_ready = machine->state == RP_MACHINE_UP && is_durable(machine) &&
                    machine->withholding == RP_WITHHOLDING_NONE &&
                    machine->contact.fencing_token_seen && is_kind_known(machine);
    bool is_retained = !machine->spot_notice.received && is_healthy(machine);
    return is_ready && is_retained && !rp_machine_is_one_way_partitioned(machine) &&
           machine->n_unknown_not_exited == 0;
}

bool rp_machine_is_idle(const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].state != RP_ALLOCATION_EXITED ||
            !machine->allocations[i].started_directly)
            return false;
    return machine->n_unknown_tasks == 0;
}
