#include "cluster/failure_detection.h"

#include <string.h>

/* Fewer machines say nothing about what they have in common. */
#define SAMPLE_MIN 4
/* Of the machines, silent at the same time: they share a cause. */
#define COMMON_CAUSE_SHARE 0.6
/* So many silent at once: the fault may be ours, and none is released for it. */
#define NODE_SUSPECTED_SHARE 0.3
#define ISOLATED_S 2.0         /* for so long: this node is cut off rather than they */
#define ISOLATED_PROVEN_S 10.0 /* leadership was provable for so long */
/* No heartbeat at all, for so long, and where so many were due, in so many ticks. */
#define ALL_SILENT_S 1.5
#define ALL_SILENT_HEARTBEATS 20
#define ALL_SILENT_TICKS 2
/* A machine's heartbeats come within report_s and a quarter; so much more is a silence. */
#define HEARTBEAT_SPREAD 1.25
#define HEARTBEAT_MARGIN_S 2.5
/* For a single machine that other evidence speaks against. */
#define SUSPECT_HEARTBEAT_SPREAD 1.5
#define SUSPECT_HEARTBEAT_MARGIN_S 0.5
#define ANSWERS_LOST_CERTAIN_S 5.0
/* So many machines lost at the same time, and such a share of all, were hardly lost one by one: a
 * cut ends, those that died are listed. */
#define MASS_LOSS_MACHINES 5
#define MASS_LOSS_SHARE 0.03
/* After a cut its machines come back within this. */
#define CUT_RECOVERY_S 12.0

/* How many machines were counted, and how many of them are silent. */
struct silence {
    size_t n_machines;
    size_t n_silent;
};

static bool has_silent_share(const struct silence *silence, double share) {
    return silence->n_machines >= SAMPLE_MIN &&
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

/* A machine that is about to be taken away, or to be released, may fall silent by itself. */
static bool is_expected_to_stay(const struct rp_machine *machine) {
    return !machine->spot_notice.received && machine->state != RP_MACHINE_RELEASING;
}

/* ---- this node ---- */

/* Counted in ticks as well: a node that stood still hasn't read what came meanwhile. */
static void count_silent_ticks(struct rp_failure_detector *detector, size_t n_machines,
                               struct timespec newest_heartbeat, struct timespec now) {
    double heartbeats_due_s =
        ALL_SILENT_HEARTBEATS * detector->context->settings->report_s / (double)(n_machines + 1);
    double limit_s = fmax(ALL_SILENT_S, heartbeats_due_s);
    bool is_silent = n_machines >= SAMPLE_MIN && rp_ts_since(now, newest_heartbeat) > limit_s;
    detector->silent_ticks = is_silent ? detector->silent_ticks + 1 : 0;
}

/* A node cut off from everything can't give the key up either: its lease does that. */
static bool is_leadership_proven(const struct rp_failure_detector *detector, struct timespec now) {
    return rp_kv_failing_s(detector->context->store) <= 0 &&
           rp_ts_since(now, detector->proven_since) >= ISOLATED_PROVEN_S;
}

/* A leader that the workers can't reach, though the key-value store can, renews its lease and does
 * nothing for anybody. When most machines fall silent together while leadership was provable all
 * along, it gives the key up: another node may be better placed. It also releases no machine then:
 * they are hardly all terminated. */
static void observe_node(struct rp_failure_detector *detector, struct timespec now) {
    struct silence silence = {0};
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
    else if (rp_ts_zero(detector->isolated_since))
        detector->isolated_since = now;
}

bool rp_failure_detector_is_leader_isolated(const struct rp_failure_detector *detector,
                                            struct timespec now) {
    if (!is_leadership_proven(detector, now))
        return false;
    /* Most machines have been silent for a while, or no heartbeat has come at all where many were
     * due. */
    bool are_most_silent = !rp_ts_zero(detector->isolated_since) &&
                           rp_ts_since(now, detector->isolated_since) > ISOLATED_S;
    return detector->silent_ticks >= ALL_SILENT_TICKS || are_most_silent;
}

/* ---- zones, and many machines at once ---- */

/* A zone that is cut off comes back with its machines, their images and, after the lease, nothing
 * on them: releasing them and provisioning anew costs a boot and all fetches, and in the meantime
 * new ones there could not report either. */
static void observe_zones(struct rp_failure_detector *detector, struct timespec now) {
    struct silence zones[RP_ZONES_MAX] = {{0}};
    double limit_s = silence_limit_s(detector);
    detector->silent_zones = 0;
    if (rp_ts_since(now, detector->context->led_since) < limit_s)
        return; /* after a failover all are heard of anew */
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

/* A cut of many machines, of one zone or not, passes like a zone's: to release them all and
 * provision anew costs a boot and every image. What has died is told by the cloud's list within
 * half a minute. */
static void observe_mass_loss(struct rp_failure_detector *detector, struct timespec now) {
    size_t n_lost = 0;
    size_t n_machines = 0;
    for (const struct rp_machine *machine = detector->context->cluster->first; machine;
         machine = machine->next) {
        n_machines +=
            machine->state != RP_MACHINE_BOOTING && machine->state != RP_MACHINE_RELEASING;
        n_lost += machine->state == RP_MACHINE_LOST;
    }
    if (n_lost >= MASS_LOSS_MACHINES && (double)n_lost >= MASS_LOSS_SHARE * (double)n_machines)
        detector->mass_loss_at = now;
}

void rp_failure_detector_observe(struct rp_failure_detector *detector, struct timespec now) {
    if (rp_ts_zero(detector->proven_since))
        detector->proven_since = now;
    observe_node(detector, now);
    observe_zones(detector, now);
    observe_mass_loss(detector, now);
}

bool rp_failure_detector_is_zone_silent(const struct rp_failure_detector *detector, int zone) {
    return zone >= 0 && (detector->silent_zones >> zone & 1);
}

static bool was_within(struct timespec when, struct timespec now, double within_s) {
    return !rp_ts_zero(when) && rp_ts_since(now, when) < within_s;
}

bool rp_failure_detector_was_partitioned(const struct rp_failure_detector *detector,
                                         const struct rp_machine *machine, struct timespec now) {
    bool is_zone_cut = machine->zone >= 0 &&
                       was_within(detector->zone_silent_at[machine->zone], now, CUT_RECOVERY_S);
    return is_zone_cut || was_within(detector->mass_loss_at, now, CUT_RECOVERY_S);
}
