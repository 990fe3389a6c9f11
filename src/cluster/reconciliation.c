#include "cluster/reconciliation.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "cluster/catalog_index.h"
#include "cluster/failure_detection.h"
#include "cluster/scale_out.h"
#include "protocol/cloud_codec.h"

/* Number of machines requested in one page of the cloud's list. */
#define MACHINES_PER_PAGE 500
/* Time between two requests for the cloud's list; the shorter time applies while any machine is
 * silent. */
#define LIST_INTERVAL_S 4.0
#define LIST_INTERVAL_SILENT_S 1.5
/* Largest share of the cloud's permitted requests per second that may be used for lists. */
#define LIST_RATE_SHARE 0.5
/* Time between two requests for the catalog's prices. */
#define PRICES_INTERVAL_S 30.0
/* The list shows a machine's start or end up to list_lag_s seconds late. Each limit below is a
 * number of such lags plus a margin in seconds. */
/* Age above which a listed machine that no record names is an orphan. */
#define ORPHAN_LAGS 4
#define ORPHAN_MARGIN_S 60
/* How long this node must have led before a listed machine that no record names is an orphan, since
 * until then the machine may send a heartbeat. */
#define ORPHAN_LEADING_S 30
/* Time since a machine was requested after which the cloud must have listed the machine. */
#define MISSING_LAGS 4
#define MISSING_MARGIN_S 5
/* Value of n_lists_missing above which a machine is missing: lists are received out of order, so
 * several in a row must lack it. */
#define MISSING_LISTS 2
/* Difference between the recorded request time of a machine and the one that its age in the list
 * implies, above which the recorded time is corrected. */
#define AGE_LAGS 3
#define AGE_MARGIN_S 2

struct cloud_call {
    struct rp_reconciliation *reconciliation;
    unsigned long generation;
};

void rp_reconciliation_init(struct rp_reconciliation *reconciliation,
                            struct rp_fleet_context *context, struct rp_provisioning *provisioning,
                            struct rp_release *release) {
    *reconciliation = (struct rp_reconciliation){
        .context = context, .provisioning = provisioning, .release = release};
}

void rp_reconciliation_clear(struct rp_reconciliation *reconciliation) {
    reconciliation->list_in_flight = false;
}

void rp_reconciliation_start(struct rp_reconciliation *reconciliation) {
    reconciliation->next_list_at = (struct timespec){0};
}

static struct cloud_call *cloud_call_new(struct rp_reconciliation *reconciliation) {
    struct cloud_call *call = rp_alloc(1, sizeof *call);
    *call = (struct cloud_call){reconciliation, reconciliation->context->generation};
    return call;
}

static bool is_current(const struct cloud_call *call) {
    return call->generation == call->reconciliation->context->generation;
}

/* ---- the cloud's list of machines ---- */

/* Whether the listed machine, which no record names, is an orphan. A machine that was just released
 * is still listed for a while, so only an old machine counts. */
static bool is_orphan(const struct rp_fleet_context *context,
                      const struct rp_listed_machine *listed, struct timespec now) {
    return listed->age_s > ORPHAN_LAGS * context->settings->list_lag_s + ORPHAN_MARGIN_S &&
           rp_ts_since(now, context->led_since) > ORPHAN_LEADING_S &&
           listed->state != RP_LISTED_FAILED;
}

/* Adopts an orphan as a booting machine; it is released if it does not report in time. */
static void adopt_orphan(struct rp_reconciliation *reconciliation,
                         const struct rp_listed_machine *listed, struct timespec now) {
    const struct rp_fleet_context *context = reconciliation->context;
    struct rp_machine *machine =
        rp_machine_add(context->cluster, listed->machine, RP_MACHINE_BOOTING);
    rp_machine_set_kind(machine, context->catalog, listed->type, listed->zone, listed->spot);
    machine->requested_at = rp_ts_sub(now, rp_ts(listed->age_s));
    rp_scale_out_adopt(reconciliation->provisioning, machine);
}

/* Moves the machine's request time back to the earliest instant that its age in the list allows, if
 * it is earlier by more than the list's lag explains. */
static void correct_request_time(const struct rp_fleet_context *context, struct rp_machine *machine,
                                 const struct rp_listed_machine *listed, struct timespec now) {
    double lag_s = context->settings->list_lag_s;
    struct timespec requested_at = rp_ts_sub(now, rp_ts(listed->age_s + lag_s));
    bool is_earlier =
        rp_ts_cmp(requested_at, machine->requested_at) < 0 &&
        rp_ts_since(machine->requested_at, requested_at) > AGE_LAGS * lag_s + AGE_MARGIN_S;
    if (machine->state != RP_MACHINE_BOOTING && is_earlier)
        machine->requested_at = requested_at;
}

static void reconcile_entry(struct rp_reconciliation *reconciliation,
                            const struct rp_listed_machine *listed) {
    const struct rp_fleet_context *context = reconciliation->context;
    struct rp_machine *machine = rp_machine_find(context->cluster, listed->machine);
    struct timespec now = rp_loop_now(context->loop);
    if (!machine) {
        if (!rp_tombstones_has(&context->tombstones, listed->machine) &&
            is_orphan(context, listed, now))
            adopt_orphan(reconciliation, listed, now);
        return;
    }
    machine->scale_in.n_lists_missing = 0;
    machine->scale_in.listed_failed = listed->state == RP_LISTED_FAILED;
    rp_machine_set_kind(machine, context->catalog, listed->type, listed->zone, listed->spot);
    correct_request_time(context, machine, listed, now);
}

/* Whether the machine has probably been terminated, since the lists lack it. A machine that has
 * been listed is listed until it is terminated, and every machine of this age has been listed.
 * Since lists are received out of order, several in a row must lack the machine; the response to
 * its deletion then proves that it is terminated. */
static bool is_missing(const struct rp_fleet_context *context, const struct rp_machine *machine,
                       struct timespec now) {
    return machine->scale_in.n_lists_missing > MISSING_LISTS &&
           rp_ts_since(now, machine->requested_at) >
               MISSING_LAGS * context->settings->list_lag_s + MISSING_MARGIN_S;
}

static void on_list_complete(struct rp_reconciliation *reconciliation) {
    const struct rp_fleet_context *context = reconciliation->context;
    struct timespec now = rp_loop_now(context->loop);
    for (struct rp_machine *machine = context->cluster->first; machine; machine = machine->next) {
        machine->scale_in.n_lists_missing++;
        bool is_booting_or_silent = machine->state == RP_MACHINE_BOOTING ||
                                    rp_failure_is_machine_silent(context, machine, now);
        if (machine->scale_in.listed_failed)
            rp_release_machine(reconciliation->release, machine, "listed_as_failed");
        else if (is_booting_or_silent && is_missing(context, machine, now))
            rp_release_machine(reconciliation->release, machine, "not_listed");
    }
}

static void request_page(struct rp_reconciliation *reconciliation);

static void on_page(void *arg, const struct rp_response *answer) {
    struct cloud_call *call = arg;
    struct rp_reconciliation *reconciliation = call->reconciliation;
    bool has_more = false;
    size_t n = 0;
    if (!is_current(call))
        goto out;
    reconciliation->list_in_flight = false;
    rp_fleet_context_on_cloud_status(reconciliation->context, answer->status);
    if (answer->status != 200)
        goto out;
    struct rp_listed_machine *list =
        rp_cloud_codec_parse_machine_list(answer->body, answer->len, &n, &has_more);
    for (size_t i = 0; list && i < n; i++)
        reconcile_entry(reconciliation, &list[i]);
    if (list && n > 0)
        rp_string_copy(reconciliation->list_after, sizeof reconciliation->list_after,
                       list[n - 1].machine);
    free(list);
    if (has_more && n > 0)
        request_page(reconciliation);
    else
        on_list_complete(reconciliation);
out:
    free(call);
}

static void request_page(struct rp_reconciliation *reconciliation) {
    char target[RP_TEXT_MAX + 64];
    if (*reconciliation->list_after)
        snprintf(target, sizeof target, "%s?from=%s&limit=%d", RP_PATH_MACHINES,
                 reconciliation->list_after, MACHINES_PER_PAGE);
    else
        snprintf(target, sizeof target, "%s?limit=%d", RP_PATH_MACHINES, MACHINES_PER_PAGE);
    reconciliation->list_in_flight = true;
    rp_cloud_call(reconciliation->context->cloud, RP_CLOUD_ROUTINE, "GET", target, NULL, on_page,
                  cloud_call_new(reconciliation));
}

static bool is_any_machine_silent(const struct rp_fleet_context *context, struct timespec now) {
    for (const struct rp_machine *machine = context->cluster->first; machine;
         machine = machine->next)
        if (rp_failure_is_machine_silent(context, machine, now))
            return true;
    return false;
}

static void list_when_due(struct rp_reconciliation *reconciliation, struct timespec now) {
    const struct rp_fleet_context *context = reconciliation->context;
    if (reconciliation->list_in_flight || !rp_ts_is_reached(now, reconciliation->next_list_at))
        return;
    double n_pages = ceil((double)(context->cluster->n_machines + 1) / MACHINES_PER_PAGE);
    double interval_s =
        is_any_machine_silent(context, now) ? LIST_INTERVAL_SILENT_S : LIST_INTERVAL_S;
    double interval_min_s = n_pages / (context->settings->cloud_rps * LIST_RATE_SHARE);
    reconciliation->next_list_at = rp_ts_after(now, fmax(interval_s, interval_min_s));
    reconciliation->list_after[0] = '\0';
    request_page(reconciliation);
}

/* ---- prices ---- */

/* Copies only the prices: machines refer to types by their indices, which must not change. */
static void update_prices(struct rp_catalog *catalog, const struct rp_catalog *fresh) {
    for (size_t i = 0; i < fresh->n_types; i++) {
        int type = rp_catalog_type_index(catalog, fresh->types[i].name);
        if (type == RP_CATALOG_NONE)
            continue;
        catalog->types[type].price = fresh->types[i].price;
        catalog->types[type].spot_price = fresh->types[i].spot_price;
    }
}

static void on_catalog(void *arg, const struct rp_response *answer) {
    struct cloud_call *call = arg;
    struct rp_catalog *fresh = rp_alloc(1, sizeof *fresh);
    if (is_current(call) && answer->status == 200 &&
        rp_cloud_codec_parse_catalog(answer->body, answer->len, fresh))
        update_prices(call->reconciliation->context->catalog, fresh);
    free(fresh);
    free(call);
}

static void request_prices_when_due(struct rp_reconciliation *reconciliation, struct timespec now) {
    if (!rp_ts_is_reached(now, reconciliation->next_prices_at))
        return;
    reconciliation->next_prices_at = rp_ts_after(now, PRICES_INTERVAL_S);
    rp_cloud_call(reconciliation->context->cloud, RP_CLOUD_ROUTINE, "GET", RP_PATH_CATALOG, NULL,
                  on_catalog, cloud_call_new(reconciliation));
}

void rp_reconciliation_step(struct rp_reconciliation *reconciliation) {
    struct timespec now = rp_loop_now(reconciliation->context->loop);
    list_when_due(reconciliation, now);
    request_prices_when_due(reconciliation, now);
}
