#include "cluster/fleet.h"

#include <math.h>
#include <string.h>
#include "base/log.h"
#include "cluster/provision_loading.h"
#include "cluster/release_policy.h"
#include "cluster/scale_out.h"

/* Longest and shortest time between two ticks of the fleet. */
#define TICK_INTERVAL_S 0.5
#define TICK_INTERVAL_MIN_S 0.02
/* How long after a lease's expiry a tick is set, so that the lease has expired for certain. */
#define TICK_LEASE_MARGIN_S (TICK_INTERVAL_MIN_S / 10)
/* How long an isolated leader does not claim the leader's key after it has resigned, so that
 * another node can claim it. */
#define ISOLATED_BACKOFF_S 12.0

static void on_tick(void *arg);

void rp_fleet_init(struct rp_fleet *fleet, struct rp_loop *loop, struct rp_cloud_client *cloud,
                   struct rp_kv_client *store, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs,
                   const struct rp_settings *settings, struct rp_catalog *catalog) {
    memset(fleet, 0, sizeof *fleet);
    fleet->context = (struct rp_fleet_context){.loop = loop,
                                               .cloud = cloud,
                                               .store = store,
                                               .election = election,
                                               .cluster = cluster,
                                               .jobs = jobs,
                                               .settings = settings,
                                               .catalog = catalog};
    rp_provisioning_init(&fleet->provisioning, &fleet->context);
    fleet->provisioning.withheld_answers = &fleet->withheld_answers;
    rp_release_init(&fleet->release, &fleet->context, &fleet->provisioning);
    rp_reconciliation_init(&fleet->reconciliation, &fleet->context, &fleet->provisioning,
                           &fleet->release);
    rp_failure_detector_init(&fleet->failure_detector, &fleet->context);
    rp_withheld_answers_init(&fleet->withheld_answers, &fleet->context);
    fleet->timer = (struct rp_timer){.fn = on_tick, .arg = fleet};
}

/* ---- a term ---- */

static void on_records_loaded(void *arg, bool is_loaded) {
    struct rp_fleet *fleet = arg;
    if (is_loaded) {
        fleet->context.led_since = rp_loop_now(fleet->context.loop);
        rp_timer_set(fleet->context.loop, &fleet->timer, 0);
    }
    fleet->on_loaded(fleet->on_loaded_arg, is_loaded);
}

void rp_fleet_load(struct rp_fleet *fleet) {
    rp_fleet_clear(fleet);
    rp_reconciliation_start(&fleet->reconciliation);
    rp_provision_load(&fleet->provisioning, on_records_loaded, fleet);
}

void rp_fleet_clear(struct rp_fleet *fleet) {
    fleet->context.generation++;
    fleet->context.is_cloud_responding = false;
    rp_timer_cancel(fleet->context.loop, &fleet->timer);
    rp_reconciliation_clear(&fleet->reconciliation);
    rp_release_clear(&fleet->release);
    rp_failure_detector_clear(&fleet->failure_detector);
    rp_provisioning_clear(&fleet->provisioning);
    rp_withheld_answers_clear(&fleet->withheld_answers);
}

void rp_fleet_close(struct rp_fleet *fleet) {
    rp_fleet_clear(fleet);
    rp_tombstones_free(&fleet->context.tombstones);
}

/* ---- the tick ---- */

/* The time until the next tick. The tasks of a lost machine can be started on other machines as
 * soon as its lease has expired, so a tick is due right after the next expiry of a lease. */
static double until_next_tick_s(const struct rp_cluster *cluster, struct timespec now) {
    double next_s = TICK_INTERVAL_S;
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next) {
        double left_s = rp_ts_since(machine->contact.lease_expiry, now);
        bool has_lease = !rp_machine_is_lost(machine) && machine->state != RP_MACHINE_BOOTING;
        if (has_lease && left_s > 0)
            next_s = fmin(next_s, left_s + TICK_LEASE_MARGIN_S);
    }
    return fmax(next_s, TICK_INTERVAL_MIN_S);
}

static void on_tick(void *arg) {
    struct rp_fleet *fleet = arg;
    const struct rp_fleet_context *context = &fleet->context;
    struct timespec now = rp_loop_now(context->loop);
    rp_timer_set(context->loop, &fleet->timer, until_next_tick_s(context->cluster, now));
    if (!rp_election_is_valid(context->election, now)) {
        rp_failure_detector_on_lease_unproven(&fleet->failure_detector);
        return;
    }
    rp_failure_detector_observe(&fleet->failure_detector, now);
    if (rp_failure_detector_is_leader_isolated(&fleet->failure_detector, now)) {
        rp_info("leader isolated from the workers, resigning");
        rp_election_resign(context->election, ISOLATED_BACKOFF_S);
        return;
    }
    if (rp_release_policy_apply(&fleet->failure_detector, &fleet->release, now))
        rp_fleet_context_notify(context);
    rp_release_step(&fleet->release);
    rp_withheld_answers_step(&fleet->withheld_answers);
    rp_provisioning_step_all(&fleet->provisioning);
    rp_reconciliation_step(&fleet->reconciliation);
}

/* ---- interface for other directories ---- */

void rp_fleet_scale_out(struct rp_fleet *fleet, int type, int zone, bool spot, unsigned count) {
    rp_scale_out(&fleet->provisioning, type, zone, spot, count);
}

void rp_fleet_scale_in(struct rp_fleet *fleet, struct rp_machine *machine, const char *reason) {
    rp_release_machine(&fleet->release, machine, reason);
}

unsigned rp_fleet_n_requested(const struct rp_fleet *fleet, int type, int zone, bool spot) {
    return rp_scale_out_n_requested(&fleet->provisioning, type, zone, spot);
}

bool rp_fleet_is_refused(const struct rp_fleet *fleet, int type, int zone, bool spot) {
    return rp_capacity_refusals_has(&fleet->provisioning.refusals, type, zone, spot,
                                    rp_loop_now(fleet->context.loop));
}

bool rp_fleet_is_zone_silent(const struct rp_fleet *fleet, int zone) {
    return rp_failure_detector_is_zone_silent(&fleet->failure_detector, zone);
}

bool rp_fleet_may_scale_in_idle(const struct rp_fleet *fleet) {
    return fleet->context.is_cloud_responding;
}

bool rp_fleet_is_terminated(const struct rp_fleet *fleet, const char *machine) {
    return rp_tombstones_has(&fleet->context.tombstones, machine);
}

void rp_fleet_record_up(struct rp_fleet *fleet, struct rp_machine *machine) {
    rp_provisioning_record_up(&fleet->provisioning, machine);
}

bool rp_fleet_may_answer(struct rp_fleet *fleet, struct rp_machine *machine) {
    if (machine->withholding != RP_WITHHOLDING_NONE)
        rp_withheld_answers_release(&fleet->withheld_answers, machine);
    return machine->withholding == RP_WITHHOLDING_NONE;
}

void rp_fleet_adopt(struct rp_fleet *fleet, struct rp_machine *machine) {
    rp_scale_out_adopt(&fleet->provisioning, machine);
}

void rp_fleet_set_machine_kind(struct rp_fleet *fleet, struct rp_machine *machine, const char *type,
                               const char *zone, bool spot) {
    rp_machine_set_kind(machine, fleet->context.catalog, type, zone, spot);
}

double rp_fleet_hourly_price(const struct rp_catalog *catalog, int type, bool spot) {
    return spot ? catalog->types[type].spot_price : catalog->types[type].price;
}
