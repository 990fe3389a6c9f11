#include "cluster/failure_detection.h"

#include <string.h>

/* Number of machines below which the share of silent machines does not indicate a common cause. */
#define SILENCE_MACHINES_MIN 4
/* Share of the machines whose silence at the same time has a common cause; in comments, "most
 * machines". */
#define COMMON_CAUSE_SHARE 0.6
/* Share of the machines whose silence at the same time makes this node a suspect: no silent machine
 * is then released for its silence. */
#define NODE_SUSPECTED_SHARE 0.3
/* How long most machines must have been silent for this node, not the machines, to count as
 * partitioned. */
#define ISOLATED_AFTER_S 2.0
/* How long leadership must have been provable before this node can count as isolated. */
#define ISOLATED_PROVEN_S 10.0
/* This node counts as isolated if no heartbeat at all has arrived for ALL_SILENT_S, and for the
 * time in which ALL_SILENT_HEARTBEATS were due, in ALL_SILENT_TICKS consecutive ticks. */
#define ALL_SILENT_S 1.5
#define ALL_SILENT_HEARTBEATS 20
#define ALL_SILENT_TICKS 2
/* A machine's heartbeats arrive at intervals of at most HEARTBEAT_SPREAD times report_s; a machine
 * is silent HEARTBEAT_MARGIN_S later. */
#define HEARTBEAT_SPREAD 1.25
#define HEARTBEAT_MARGIN_S 2.5
/* Like HEARTBEAT_SPREAD and HEARTBEAT_MARGIN_S, but for decisions on a single machine that require
 * other evidence of its failure, too. */
#define SUSPECT_HEARTBEAT_SPREAD 1.5
#define SUSPECT_HEARTBEAT_MARGIN_S 0.5
/* How long answers must have been lost for a machine to count as silent. */
#define ANSWERS_LOST_CERTAIN_S 5.0
/* At least MASS_LOSS_MACHINES machines, and MASS_LOSS_SHARE of all, that are lost at the same time
 * are unlikely to have failed independently: a network partition is assumed, which ends, and the
 * cloud's list shows the machines that did fail. */
#define MASS_LOSS_MACHINES 5
#define MASS_LOSS_SHARE 0.03
/* Time within which machines report again after a network partition ends. */
#define PARTITION_RECOVERY_S 12.0

/* Number of machines counted, and number of silent machines among them. */
struct silence_count {
    size_t n_machines;
    size_t n_silent;
};

static bool has_silent_share(const struct silence_count *silence, double share) {
    return silence->n_machines >= SILENCE_MACHINES_MIN &&
           (double)silence->n_silent >= share * (double)silence->n_machines;
}

void rp_failure_detector_init(struct rp_failure_detector *detector,
                              const struct rp_fleet_context *context) {
    *detector = (struct rp_failure_detector){.context = context};
}

void rp_failure_detector_clear(struct rp_failure_detector *detector) {
    rp_failure_detector_init(detector, detector->context);
}

void rp_failure_detector_on_lease_unproven(struct rp_failure_detector *detector) {
    detector->proven_since = (struct timespec){0};
}

/* ---- one machine ---- */

bool rp_failure_is_machine_silent(const struct rp_fleet_context *context,
                                  const struct rp_machine *machine, struct timespec now) {
    double limit_s =
        SUSPECT_HEARTBEAT_SPREAD * context->settings->report_s + SUSPECT_HEARTBEAT_MARGIN_S;
    return machine->state != RP_MACHINE_BOOTING &&
           rp_ts_since(now, machine->contact.last_heartbeat_at) > limit_s;
}

double rp_failure_answers_lost_s(const struct rp_machine *machine, struct timespec now) {
    return rp_machine_is_one_way_partitioned(machine)
               ? rp_ts_since(now, machine->contact.answers_lost_since)
               : 0;
}

static double silence_limit_s(const struct rp_failure_detector *detector) {
    return detector->context->settings->report_s * HEARTBEAT_SPREAD + HEARTBEAT_MARGIN_S;
}

/* A machine that the cloud is about to reclaim, or that is being released, may fall silent without
 * a failure. */
static bool is_expected_to_stay(const struct rp_machine *machine) {
    return !machine->spot_notice.received && !rp_machine_is_releasing(machine);
}

/* ---- this node ---- */

/* Counts ticks in addition to time: a node that was suspended has not yet read the heartbeats that
 * arrived during the suspension. */
static void count_silent_ticks(struct rp_failure_detector *detector, size_t n_machines,
                               struct timespec newest_heartbeat, struct timespec now) {
    double heartbeats_due_s =
        ALL_SILENT_HEARTBEATS * detector->context->settings->report_s / (double)(n_machines + 1);
    double limit_s = fmax(ALL_SILENT_S, heartbeats_due_s);
    bool is_silent =
        n_machines >= SILENCE_MACHINES_MIN && rp_ts_since(now, newest_heartbeat) > limit_s;
    detector->n_silent_ticks = is_silent ? detector->n_silent_ticks + 1 : 0;
}

/* Whether leadership has been provable for ISOLATED_PROVEN_S, and the key-value store responds. A
 * node that can reach neither the workers nor the store cannot resign: its lease expires
 * instead. */
static bool is_leadership_proven(const struct rp_failure_detector *detector, struct timespec now) {
    return rp_kv_failing_s(detector->context->store) <= 0 &&
           rp_ts_since(now, detector->proven_since) >= ISOLATED_PROVEN_S;
}

/* A leader that is partitioned from the workers but not from the key-value store would renew its
 * lease and schedule nothing. If most machines fall silent together while leadership was provable
 * all the time, the leader resigns, since another node may reach the workers. A leader that is
 * partitioned from the workers also releases no machine, since the machines are unlikely to have
 * all been terminated. */
static void observe_node(struct rp_failure_detector *detector, struct timespec now) {
    struct silence_count silence = {0};
    double limit_s = silence_limit_s(detector);
    struct timespec newest = {0};
    for (const struct rp_machine *machine = detector->context->cluster->first; machine;
         machine = machine->next) {
        struct timespec last = machine->contact.last_heartbeat_at;
        if (machine->contact.incarnation == 0 || !is_expected_to_stay(machine))
            continue;
        silence.n_machines++;
        if (rp_ts_cmp(last, newest) > 0)
            newest = last;
        silence.n_silent += rp_failure_answers_lost_s(machine, now) > ANSWERS_LOST_CERTAIN_S ||
                            rp_ts_since(now, last) > limit_s;
    }
    detector->is_node_suspected = has_silent_share(&silence, NODE_SUSPECTED_SHARE);
    count_silent_ticks(detector, silence.n_machines, newest, now);
    if (!has_silent_share(&silence, COMMON_CAUSE_SHARE) || !is_leadership_proven(detector, now))
        detector->isolated_since = (struct timespec){0};
    else if (rp_ts_is_zero(detector->isolated_since))
        detector->isolated_since = now;
}

bool rp_failure_detector_is_leader_isolated(const struct rp_failure_detector *detector,
                                            struct timespec now) {
    if (!is_leadership_proven(detector, now))
        return false;
    /* Either most machines have been silent for ISOLATED_AFTER_S, or no heartbeat at all has
     * arrived although many were due. */
    bool are_most_silent = !rp_ts_is_zero(detector->isolated_since) &&
                           rp_ts_since(now, detector->isolated_since) > ISOLATED_AFTER_S;
    return detector->n_silent_ticks >= ALL_SILENT_TICKS || are_most_silent;
}

/* ---- zones and mass losses ---- */

/* When a partitioned zone recovers, its machines still have their images, and no tasks once their
 * leases have expired. Releasing them and provisioning new ones would cost a boot and all fetches,
 * and new machines in the zone could not report during the partition either. */
static void observe_zones(struct rp_failure_detector *detector, struct timespec now) {
    struct silence_count zones[RP_ZONES_MAX] = {{0}};
    double limit_s = silence_limit_s(detector);
    detector->silent_zones = 0;
    if (rp_ts_since(now, detector->context->led_since) < limit_s)
        return; /* soon after a failover, machines may not have reported to this leader yet */
    for (const struct rp_machine *machine = detector->context->cluster->first; machine;
         machine = machine->next) {
        if (!machine->up_recorded || machine->zone < 0 || !is_expected_to_stay(machine))
            continue;
        zones[machine->zone].n_machines++;
        zones[machine->zone].n_silent +=
            rp_ts_since(now, machine->contact.last_heartbeat_at) > limit_s;
    }
    for (int i = 0; i < RP_ZONES_MAX; i++)
        if (has_silent_share(&zones[i], COMMON_CAUSE_SHARE)) {
            detector->silent_zones |= 1U << i;
            detector->zone_silent_at[i] = now;
        }
}

/* A network partition of many machines, in one zone or several, ends like that of a whole zone.
 * Releasing them all and provisioning new ones would cost a boot and a fetch of every image. The
 * cloud's list shows within half a minute which machines have failed. */
static void observe_mass_loss(struct rp_failure_detector *detector, struct timespec now) {
    size_t n_lost = 0;
    size_t n_machines = 0;
    for (const struct rp_machine *machine = detector->context->cluster->first; machine;
         machine = machine->next) {
        n_machines += machine->state != RP_MACHINE_BOOTING && !rp_machine_is_releasing(machine);
        n_lost += machine->state == RP_MACHINE_LOST;
    }
    if (n_lost >= MASS_LOSS_MACHINES && (double)n_lost >= MASS_LOSS_SHARE * (double)n_machines)
        detector->mass_loss_at = now;
}

void rp_failure_detector_observe(struct rp_failure_detector *detector, struct timespec now) {
    if (rp_ts_is_zero(detector->proven_since))
        detector->proven_since = now;
    observe_node(detector, now);
    observe_zones(detector, now);
    observe_mass_loss(detector, now);
}

bool rp_failure_detector_is_zone_silent(const struct rp_failure_detector *detector, int zone) {
    return zone >= 0 && (detector->silent_zones >> zone & 1);
}

static bool was_within(struct timespec when, struct timespec now, double within_s) {
    return !rp_ts_is_zero(when) && rp_ts_since(now, when) < within_s;
}

bool rp_failure_detector_was_partitioned(const struct rp_failure_detector *detector,
                                         const struct rp_machine *machine, struct timespec now) {
    bool was_zone_silent = machine->zone >= 0 && was_within(detector->zone_silent_at[machine->zone],
                                                            now, PARTITION_RECOVERY_S);
    return was_zone_silent || was_within(detector->mass_loss_at, now, PARTITION_RECOVERY_S);
}
