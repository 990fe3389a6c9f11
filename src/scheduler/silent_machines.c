#include "scheduler/silent_machines.h"

#include <math.h>
#include "cluster/fleet.h"
#include "worker/probes.h"

#define REPORT_FACTOR 1.25 /* times a heartbeat's period until it is late */
#define SILENT_SLACK_S 0.6
#define PROBE_SLACK_S 0.15 /* a heartbeat later than this is asked for */
#define PROBES 2           /* so many probes without an answer, one after the other */
#define SILENT_SHARE 0.2   /* of the machines: where more are silent, it is a cut that ends */
#define ZONE_SHARE 0.4     /* the same of a zone's */
#define LED_S 3.0          /* a new leader has heard of every machine that is there by then */

bool rp_silent_machines_is_heard(const struct rp_services *services,
                                 const struct rp_machine *machine, struct timespec now) {
    return !machine->contact.unreachable &&
           rp_ts_since(now, machine->contact.last_message_at) <
               REPORT_FACTOR * services->settings->report_s + SILENT_SLACK_S;
}

/* The zones (bit set) in which so many machines are silent that it is a cut that ends, rather than
 * machines that hang or have died; all of them where that holds for the whole fleet. At the
 * beginning of a zone's cut its machines fall silent within one heartbeat's time, before the first
 * is scaled in. */
static uint32_t partitioned_zones(const struct rp_services *services, struct timespec now) {
    double n_known[RP_ZONES_MAX] = {0};
    double n_silent[RP_ZONES_MAX] = {0};
    double n_known_all = 0;
    double n_silent_all = 0;
    uint32_t zones = 0;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next) {
        if (machine->contact.incarnation == 0 || machine->zone < 0 ||
            machine->state == RP_MACHINE_RELEASING)
            continue;
        n_known[machine->zone]++;
        n_silent[machine->zone] += !rp_silent_machines_is_heard(services, machine, now);
    }
    for (int z = 0; z < RP_ZONES_MAX; z++) {
        n_known_all += n_known[z];
        n_silent_all += n_silent[z];
        if (n_silent[z] > fmax(1, ZONE_SHARE * n_known[z]))
            zones |= UINT32_C(1) << z;
    }
    return n_silent_all > fmax(1, SILENT_SHARE * n_known_all) ? UINT32_MAX : zones;
}

static void watch_machine(struct rp_services *services, struct rp_machine *machine,
                          uint32_t cut_zones, struct timespec now) {
    if (machine->state != RP_MACHINE_UP || !rp_services_has_replicas(machine))
        return;
    double silent_s = rp_ts_since(now, machine->contact.last_message_at) -
                      REPORT_FACTOR * services->settings->report_s;
    if (silent_s < PROBE_SLACK_S) {
        machine->contact.n_probes_failed = 0;
        return;
    }
    bool is_cut_off = machine->zone >= 0 && (cut_zones >> machine->zone & 1);
    if (machine->contact.n_probes_failed >= PROBES && !is_cut_off &&
        !rp_fleet_is_zone_silent(services->fleet, machine->zone) &&
        rp_ts_since(now, services->fleet->context.led_since) >
            services->settings->report_s * REPORT_FACTOR + LED_S)
        rp_fleet_scale_in(services->fleet, machine, "replicas_wait");
    else
        rp_probe_send(&services->workers->context, machine);
}

void rp_silent_machines_step(struct rp_services *services, struct timespec now) {
    uint32_t cut_zones = partitioned_zones(services, now);
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next)
        watch_machine(services, machine, cut_zones, now);
}
