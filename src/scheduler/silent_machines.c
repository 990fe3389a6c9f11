#include "scheduler/silent_machines.h"

#include <math.h>
#include "cluster/fleet.h"
#include "worker/probes.h"

/* Multiple of the heartbeat period after which a heartbeat is late. */
#define LATE_HEARTBEAT_FACTOR 1.25
/* Seconds after a heartbeat is late until the machine counts as silent. */
#define SILENT_MARGIN_S 0.6
/* Seconds after a heartbeat is late until the machine is probed. */
#define PROBE_MARGIN_S 0.15
/* Number of consecutive probes without a response before a machine is scaled in. */
#define FAILED_PROBES_MIN 2
/* If a greater share of all machines than this is silent, the cause is a network partition, which
 * is temporary. */
#define PARTITION_SHARE 0.2
/* If a greater share of a zone's machines than this is silent, the cause is a network partition,
 * which is temporary. */
#define ZONE_PARTITION_SHARE 0.4
/* Seconds from the beginning of leadership, beyond the time after which a heartbeat is late, within
 * which a new leader has received a message from every machine that is running. */
#define NEW_LEADER_GRACE_S 3.0

bool rp_silent_machines_is_reporting(const struct rp_services *services,
                                     const struct rp_machine *machine, struct timespec now) {
    return !machine->contact.unreachable &&
           rp_ts_since(now, machine->contact.last_message_at) <
               LATE_HEARTBEAT_FACTOR * services->settings->report_s + SILENT_MARGIN_S;
}

/* The zones, as a bit set, in which more than one machine and more than ZONE_PARTITION_SHARE of the
 * machines are silent: the cause is a temporary network partition, rather than machines that hang
 * or have died. Returns all zones if more than one machine and more than PARTITION_SHARE of all
 * machines are silent. When a zone's partition begins, its machines become silent within one
 * heartbeat period, before the first of them is scaled in. */
static uint32_t find_partitioned_zones(const struct rp_services *services, struct timespec now) {
    double n_machines[RP_ZONES_MAX] = {0};
    double n_silent[RP_ZONES_MAX] = {0};
    double n_machines_all = 0;
    double n_silent_all = 0;
    uint32_t zones = 0;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next) {
        if (machine->contact.incarnation == 0 || machine->zone < 0 ||
            rp_machine_is_releasing(machine))
            continue;
        n_machines[machine->zone]++;
        n_silent[machine->zone] += !rp_silent_machines_is_reporting(services, machine, now);
    }
    for (int z = 0; z < RP_ZONES_MAX; z++) {
        n_machines_all += n_machines[z];
        n_silent_all += n_silent[z];
        if (n_silent[z] > fmax(1, ZONE_PARTITION_SHARE * n_machines[z]))
            zones |= UINT32_C(1) << z;
    }
    return n_silent_all > fmax(1, PARTITION_SHARE * n_machines_all) ? UINT32_MAX : zones;
}

static void check_machine(struct rp_services *services, struct rp_machine *machine,
                          uint32_t partitioned_zones, struct timespec now) {
    if (machine->state != RP_MACHINE_UP || !rp_services_has_replicas(machine))
        return;
    double silent_s = rp_ts_since(now, machine->contact.last_message_at) -
                      LATE_HEARTBEAT_FACTOR * services->settings->report_s;
    if (silent_s < PROBE_MARGIN_S) {
        machine->contact.n_probes_failed = 0;
        return;
    }
    bool is_partitioned = machine->zone >= 0 && (partitioned_zones >> machine->zone & 1);
    if (machine->contact.n_probes_failed >= FAILED_PROBES_MIN && !is_partitioned &&
        !rp_fleet_is_zone_silent(services->fleet, machine->zone) &&
        rp_ts_since(now, services->fleet->context.led_since) >
            services->settings->report_s * LATE_HEARTBEAT_FACTOR + NEW_LEADER_GRACE_S)
        rp_fleet_scale_in(services->fleet, machine, "replicas_wait");
    else
        rp_probe_send(&services->workers->context, machine);
}

void rp_silent_machines_step(struct rp_services *services, struct timespec now) {
    uint32_t partitioned_zones = find_partitioned_zones(services, now);
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next)
        check_machine(services, machine, partitioned_zones, now);
}
