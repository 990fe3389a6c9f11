#include "cluster/fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "cluster/quarantine.h"
#include "protocol/wire.h"

#define TICK_S 0.5
#define TICK_LEAST_S 0.02
#define LIST_PAGE 500
#define LIST_S 4.0        /* between lists, */
#define LIST_SILENT_S 1.5 /* and while a machine is silent, */
#define LIST_SHARE 0.5    /* but of the cloud's requests a second no more than this share */
#define LOAD_PAGE 1000
#define DELETE_MAX 100
#define RENT_MAX 50      /* machines in a request (PROTOCOL) */
#define RECORD_HEAD 320  /* bytes of a rental's record besides its machines' names */
#define RECORD_NAME 16   /* a machine's name in it, as a rule; what is longer is split */
#define NAMES_MAX 64     /* machines of a rental: at most 50 are asked for at once */
#define VALUE_LEAST 256  /* bytes of a record that no limit is expected to refuse */
#define REFUSED_PAUSES 6 /* a refused kind is left alone for at most so many first pauses */
/* A machine that lost its lease through our absence comes back within this. */
#define LOST_GRACE_S 16.0
#define MANY_LOST 5 /* so many machines lost at the same time, and such a share of all, */
#define MANY_LOST_SHARE                                                                            \
    0.03 /* were hardly lost one by one: a cut ends, those that died are listed */
#define ZONE_BACK_S 12.0
#define ZONE_GRACE_S 75.0 /* when most of its zone fell silent with it */
/* A machine that reports but gets no answers has had its lease's time, and more, to recover. */
#define ANSWERS_LOST_RETURN_S 32.0
#define ANSWERS_LOST_SURE_S 5.0
#define ISOLATED_SHARE 0.6 /* of the machines, silent at the same time */
#define DOUBTFUL_SHARE 0.3 /* so many at once: the fault may be ours, and none goes back for it */
#define ISOLATED_S 2.0     /* for so long: this node is cut off rather than they */
#define ISOLATED_PROVEN_S 10.0
#define MUTE_S 1.5      /* without any report */
#define MUTE_REPORTS 20 /* that were due meanwhile */
#define MUTE_TICKS 2
#define STAND_BACK_S 12.0
#define TOLD_S 0.4       /* standbys ask for news more often */
#define LED_LATELY_S 2.0 /* what the leader before has given back is given back again at once */

struct request {
    struct rp_fleet *f;
    unsigned long generation;
    char rental[RP_TEXT_MAX];
    enum rp_provision_state wrote; /* the rental's state when its record was written */
    size_t n;
    char (*names)[RP_TEXT_MAX];
};

static struct request *request_new(struct rp_fleet *fleet, const char *rental) {
    struct request *request = rp_alloc(1, sizeof *request);
    request->f = fleet;
    request->generation = fleet->generation;
    if (rental)
        snprintf(request->rental, sizeof request->rental, "%s", rental);
    return request;
}

static void request_free(struct request *request) {
    free(request->names);
    free(request);
}

static bool request_current(const struct request *request) {
    return request->generation == request->f->generation;
}

static void tick(void *arg);
static void rental_step(struct rp_fleet *fleet, struct rp_provision_request *request);

void rp_fleet_init(struct rp_fleet *fleet, struct rp_loop *loop, struct rp_cloud_client *cloud,
                   struct rp_kv_client *store, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs,
                   const struct rp_settings *settings, struct rp_catalog *catalog) {
    memset(fleet, 0, sizeof *fleet);
    fleet->loop = loop;
    fleet->cloud = cloud;
    fleet->store = store;
    fleet->election = election;
    fleet->cluster = cluster;
    fleet->jobs = jobs;
    fleet->settings = settings;
    fleet->catalog = catalog;
    fleet->value_max_bytes = (size_t)(settings->state_fit.value_kb * 1024);
    fleet->timer = (struct rp_timer){.fn = tick, .arg = fleet};
}

double rp_fleet_hourly_price(const struct rp_catalog *catalog, int type, bool spot) {
    return spot ? catalog->types[type].spot_price : catalog->types[type].price;
}

static int type_index(const struct rp_catalog *catalog, const char *name) {
    for (size_t i = 0; i < catalog->n_types; i++)
        if (strcmp(catalog->types[i].name, name) == 0)
            return (int)i;
    return -1;
}

static int zone_index(const struct rp_catalog *catalog, const char *name) {
    for (size_t i = 0; i < catalog->n_zones; i++)
        if (strcmp(catalog->zones[i], name) == 0)
            return (int)i;
    return -1;
}

void rp_fleet_describe_machine(struct rp_fleet *fleet, struct rp_machine *machine, const char *type,
                               const char *zone, bool spot) {
    /* A zone never changes under a machine's tasks: they are counted by it. */
    if (machine->type >= 0 && machine->zone >= 0)
        return;
    if (machine->n_allocations > 0)
        return;
    machine->type = type_index(fleet->catalog, type);
    machine->zone = zone_index(fleet->catalog, zone);
    machine->spot = spot;
}

/* ---- rentals ---- */

static struct rp_provision_request *rental_find(const struct rp_fleet *fleet, const char *name) {
    struct rp_provision_request *request = fleet->provision_requests;
    while (request && strcmp(request->name, name) != 0)
        request = request->next;
    return request;
}

static struct rp_provision_request *rental_add(struct rp_fleet *fleet, const char *name) {
    struct rp_provision_request *request = rp_alloc(1, sizeof *request);
    snprintf(request->name, sizeof request->name, "%s", name);
    request->version_known = true;
    request->next = fleet->provision_requests;
    fleet->provision_requests = request;
    return request;
}

static void rental_free(struct rp_fleet *fleet, struct rp_provision_request *request) {
    struct rp_provision_request **link = &fleet->provision_requests;
    while (*link != request)
        link = &(*link)->next;
    *link = request->next;
    free(request);
}

/* The one place where a rental changes its state. */
static void rental_set_state(struct rp_fleet *fleet, struct rp_provision_request *request,
                             enum rp_provision_state state) {
    request->state = state;
    request->retry = (struct timespec){0};
    if (state == RP_PROVISION_LIVE) {
        for (struct rp_machine *machine = fleet->cluster->first; machine; machine = machine->next)
            if (machine->provision_request == request)
                machine->recorded = true;
        if (fleet->on_changed)
            fleet->on_changed(fleet->arg);
    }
}

static void rental_later(struct rp_fleet *fleet, struct rp_provision_request *request,
                         double after_s) {
    request->retry = rp_ts_after(rp_loop_now(fleet->loop), after_s);
}

static size_t rental_names(const struct rp_fleet *fleet, const struct rp_provision_request *request,
                           const char **names, size_t max) {
    size_t n = 0;
    for (const struct rp_machine *machine = fleet->cluster->first; machine && n < max;
         machine = machine->next)
        if (machine->provision_request == request)
            names[n++] = machine->name;
    return n;
}

/* What a record says that has been written: these machines are up. */
static void note_recorded(struct rp_fleet *fleet, const struct rp_provision_request *rental,
                          const struct request *request) {
    for (size_t i = 0; i < request->n; i++) {
        struct rp_machine *machine =
            *request->names[i] ? rp_machine_find(fleet->cluster, request->names[i]) : NULL;
        if (machine && machine->provision_request == rental)
            machine->up_recorded = true;
    }
}

void rp_fleet_record_up(struct rp_fleet *fleet, struct rp_machine *machine) {
    if (machine->up_recorded || !machine->provision_request || machine->provision_request->changed)
        return;
    machine->provision_request->changed = true;
    rental_step(fleet, machine->provision_request);
}

static void rental_written(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_fleet *fleet = request->f;
    struct rp_provision_request *rental =
        request_current(request) ? rental_find(fleet, request->rental) : NULL;
    enum rp_provision_state wrote = request->wrote;
    if (!rental) {
        request_free(request);
        return;
    }
    if (result->outcome == RP_KV_OK)
        note_recorded(fleet, rental, request);
    request_free(request);
    rental->busy = false;
    if (result->outcome == RP_KV_CONDITION_FAILED &&
        rp_kv_result_failed_on(result, RP_KEY_LEADER)) {
        rp_election_verify(fleet->election);
        rental_later(fleet, rental, 1);
        return;
    }
    if (result->outcome == RP_KV_BAD_REQUEST && fleet->value_max_bytes > VALUE_LEAST) {
        /* Larger than the limits told: smaller pieces, at a slower pace. */
        fleet->value_max_bytes = fleet->value_max_bytes * 3 / 4;
        rental->changed = true;
        rental_later(fleet, rental, 1);
        return;
    }
    if (result->outcome != RP_KV_OK) {
        /* Each write carries the version that it replaces, so that a copy which arrives late can't
         * take names away again. After a lost answer, or a conflict with a write whose answer was
         * lost, the version has to be read. */
        rental->changed = true;
        rental->version_known = false;
        rental_later(fleet, rental, 0.2);
        return;
    }
    rental->version = rp_kv_result_revision(result);
    if (wrote == RP_PROVISION_ENDED) {
        rental_free(fleet, rental);
        return;
    }
    rental->stored = true;
    /* The state may have moved on while the write was under way: its machines can be gone. */
    if (wrote == RP_PROVISION_RECORDING_INTENT && rental->state == wrote)
        rental_set_state(fleet, rental, RP_PROVISION_REQUESTING);
    else if (wrote == RP_PROVISION_RECORDING_NAMES && rental->state == wrote)
        rental_set_state(fleet, rental, RP_PROVISION_LIVE);
    else if (wrote == RP_PROVISION_LIVE && fleet->on_changed)
        fleet->on_changed(fleet->arg);
    rental_step(fleet, rental);
}

static void rental_read(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_fleet *fleet = request->f;
    struct rp_provision_request *rental =
        request_current(request) ? rental_find(fleet, request->rental) : NULL;
    struct rp_kv_item item;
    request_free(request);
    if (!rental)
        return;
    rental->busy = false;
    if (result->outcome == RP_KV_NOT_FOUND) {
        rental->version = 0;
        rental->version_known = true;
    } else if (rp_kv_result_item(result, &item)) {
        rental->version = item.revision;
        rental->version_known = true;
    } else {
        rental_later(fleet, rental, 0.3);
        return;
    }
    rental_step(fleet, rental);
}

/* The record as it stands; with a request, the names that it says are up are noted there. */
static json_t *rental_record(struct rp_fleet *fleet, const struct rp_provision_request *rental,
                             struct request *request) {
    const char *names[NAMES_MAX];
    bool up[NAMES_MAX];
    size_t n = 0;
    for (struct rp_machine *machine = fleet->cluster->first; machine && n < NAMES_MAX;
         machine = machine->next)
        if (machine->provision_request == rental) {
            names[n] = machine->name;
            up[n] = machine->up_recorded || machine->contact.incarnation > 0;
            if (request)
                rp_string_copy(request->names[n], sizeof request->names[n],
                               up[n] ? machine->name : "");
            n++;
        }
    if (request)
        request->n = n;
    return rp_upgrade_mark_record(fleet->jobs->context.upgrade,
                                  rp_record_provision(&rental->record, names, up, n));
}

/* A record that names more machines than a value may hold (the version before wrote up to 50, and
 * the limit came down) is split: a new one takes over the second half of the names and is written
 * first, then the old one without them. Whoever reads both in between takes the first that names a
 * machine. */
static bool rental_split(struct rp_fleet *fleet, struct rp_provision_request *request) {
    json_t *value = rental_record(fleet, request, NULL);
    size_t size = rp_record_size(value), n = rp_record_provision_n_names(value), k = 0;
    char name[RP_TEXT_MAX];
    json_decref(value);
    if (size <= fleet->value_max_bytes || n < 2 || !request->record.answered)
        return false;
    snprintf(name, sizeof name, "s-%llu-%lu", (unsigned long long)fleet->election->fencing_token,
             ++fleet->next_name);
    struct rp_provision_request *second = rental_add(fleet, name);
    second->record = request->record;
    for (struct rp_machine *machine = fleet->cluster->first; machine; machine = machine->next)
        if (machine->provision_request == request && k++ >= n / 2)
            machine->provision_request = second;
    second->record.count = (unsigned)(n - n / 2);
    request->record.count = (unsigned)(n / 2);
    rp_string_copy(request->after, sizeof request->after, name);
    request->changed = true;
    rp_info("rental %s names machines=%zu, too many for a value: split with %s", request->name, n,
            name);
    rental_set_state(fleet, second, RP_PROVISION_RECORDING_NAMES);
    rental_step(fleet, second);
    return true;
}

static void rental_write(struct rp_fleet *fleet, struct rp_provision_request *rental) {
    if (rental->state != RP_PROVISION_ENDED && rental_split(fleet, rental))
        return;
    struct request *request = request_new(fleet, rental->name);
    char key[RP_KEY_MAX];
    rp_key(key, RP_KEY_PROVISION, rental->name);
    rental->busy = true;
    if (!rental->version_known) {
        rp_kv_get(fleet->store, RP_KV_BUDGET_LEADER, key, rental_read, request);
        return;
    }
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(fleet->election, txn);
    rp_kv_txn_if(txn, key, rental->version);
    if (rental->state == RP_PROVISION_ENDED) {
        rp_kv_txn_delete(txn, key);
    } else {
        request->names = rp_alloc(NAMES_MAX, sizeof *request->names);
        rp_kv_txn_put(txn, key, rental_record(fleet, rental, request), RP_KV_NO_LEASE);
    }
    request->wrote = rental->state;
    rental->changed = false;
    rp_kv_txn_submit(fleet->store, RP_KV_BUDGET_LEADER, txn, rental_written, request);
}

static struct rp_capacity_refusal *refusal_of(struct rp_fleet *fleet, int type, int zone,
                                              bool spot) {
    return type < 0 || zone < 0 ? NULL : &fleet->refusals[type][zone][spot];
}

/* Each try costs a call to the cloud and two changes of the state service, and until it is answered
 * its machines hold tasks: a kind that goes on being refused is tried ever more rarely. */
static void refuse(struct rp_fleet *fleet, const struct rp_provision_request *request) {
    int type = type_index(fleet->catalog, request->record.type);
    int zone = zone_index(fleet->catalog, request->record.zone);
    double base = fleet->settings->tuning.refused_pause_s;
    struct timespec now = rp_loop_now(fleet->loop);
    struct rp_capacity_refusal *found = refusal_of(fleet, type, zone, request->record.spot);
    if (!found)
        return;
    bool again = found->pause_s > 0 && rp_ts_since(now, found->until) < found->pause_s;
    found->pause_s = again ? fmin(found->pause_s * 2, base * REFUSED_PAUSES) : base;
    found->until = rp_ts_after(now, found->pause_s);
    fleet->n_refused++;
    rp_debug("kind %s/%s%s refused for lack of capacity", request->record.type,
             request->record.zone, request->record.spot ? " (spot)" : "");
}

bool rp_fleet_is_refused(const struct rp_fleet *fleet, int type, int zone, bool spot) {
    return !rp_ts_reached(rp_loop_now(fleet->loop), fleet->refusals[type][zone][spot].until);
}

/* A machine of the kind is gone: the cloud may have one again. */
static void refusal_over(struct rp_fleet *fleet, const struct rp_machine *machine) {
    struct rp_capacity_refusal *found =
        refusal_of(fleet, machine->type, machine->zone, machine->spot);
    if (found)
        *found = (struct rp_capacity_refusal){0};
}

static void rented(struct rp_fleet *fleet, struct rp_provision_request *request,
                   const struct rp_answer *answer) {
    size_t n;
    char(*names)[RP_TEXT_MAX] = rp_cloud_codec_parse_provisioned(answer->body, answer->len, &n);
    if (!names) {
        rental_later(fleet, request, 1);
        return;
    }
    request->record.answered = true;
    for (size_t i = 0; i < n; i++) {
        struct rp_machine *machine = rp_machine_find(fleet->cluster, names[i]);
        if ((machine && machine->provision_request) || rp_fleet_is_terminated(fleet, names[i]))
            continue;
        if (!machine)
            machine = rp_machine_add(fleet->cluster, names[i], RP_MACHINE_BOOTING);
        machine->provision_request = request;
        rp_fleet_describe_machine(fleet, machine, request->record.type, request->record.zone,
                                  request->record.spot);
    }
    fleet->n_provisioned += n;
    rp_info("rented %zu of %u %s in %s%s, request=%s", n, request->record.count,
            request->record.type, request->record.zone, request->record.spot ? " (spot)" : "",
            request->name);
    if (n < request->record.count)
        refuse(fleet, request);
    free(names);
    rental_set_state(fleet, request, n ? RP_PROVISION_RECORDING_NAMES : RP_PROVISION_ENDED);
    rental_step(fleet, request);
    if (fleet->on_changed)
        fleet->on_changed(fleet->arg);
}

static void rental_answered(void *arg, const struct rp_answer *answer) {
    struct request *request = arg;
    struct rp_fleet *fleet = request->f;
    struct rp_provision_request *rental =
        request_current(request) ? rental_find(fleet, request->rental) : NULL;
    request_free(request);
    if (!rental || rental->state != RP_PROVISION_REQUESTING)
        return;
    rental->busy = false;
    if (answer->status == 200) {
        rented(fleet, rental, answer);
    } else if (answer->status == 503 && rp_cloud_codec_is_no_capacity(answer->body, answer->len)) {
        refuse(fleet, rental);
        rental_set_state(fleet, rental, RP_PROVISION_ENDED);
        rental_step(fleet, rental);
        if (fleet->on_changed)
            fleet->on_changed(fleet->arg);
    } else if (answer->status == 400) {
        rp_error("the cloud refused request %s: %.200s", rental->name, answer->body);
        rental_set_state(fleet, rental, RP_PROVISION_ENDED);
        rental_step(fleet, rental);
    } else {
        /* It may have been carried out: only the same name again tells. */
        rental_later(fleet, rental, answer->status == 429 ? 0.5 : 1);
    }
}

static void rental_ask(struct rp_fleet *fleet, struct rp_provision_request *request) {
    const struct rp_provision_record *rec = &request->record;
    request->busy = true;
    rp_cloud_call(fleet->cloud, RP_CLOUD_URGENT, "POST", RP_PATH_MACHINES,
                  rp_cloud_codec_write_provision_request(request->name, rec->type, rec->zone,
                                                         rec->spot, rec->count),
                  rental_answered, request_new(fleet, request->name));
}

/* Does what the rental's state asks for, unless something is under way or has to wait. */
static void rental_step(struct rp_fleet *fleet, struct rp_provision_request *request) {
    struct timespec now = rp_loop_now(fleet->loop);
    if (request->busy || !rp_ts_reached(now, request->retry) ||
        !rp_election_is_valid(fleet->election, now))
        return;
    const struct rp_provision_request *first =
        *request->after ? rental_find(fleet, request->after) : NULL;
    if (first && !first->stored)
        return;
    request->after[0] = '\0';
    switch (request->state) {
    case RP_PROVISION_RECORDING_INTENT:
    case RP_PROVISION_RECORDING_NAMES:
        rental_write(fleet, request);
        break;
    case RP_PROVISION_REQUESTING:
        rental_ask(fleet, request);
        break;
    case RP_PROVISION_LIVE:
        if (request->changed)
            rental_write(fleet, request);
        break;
    case RP_PROVISION_ENDED:
        if (request->stored)
            rental_write(fleet, request);
        else
            rental_free(fleet, request);
        break;
    }
}

/* As many machines as one request may ask for, and one record may name, twice each. */
static unsigned rental_most(const struct rp_fleet *fleet) {
    double fit = ((double)fleet->value_max_bytes - RECORD_HEAD) / (2 * RECORD_NAME);
    return fit < 1 ? 1 : fit < RENT_MAX ? (unsigned)fit : RENT_MAX;
}

void rp_fleet_scale_out(struct rp_fleet *fleet, int type, int zone, bool spot, unsigned count) {
    char name[RP_TEXT_MAX];
    snprintf(name, sizeof name, "r-%llu-%lu", (unsigned long long)fleet->election->fencing_token,
             ++fleet->next_name);
    struct rp_provision_request *request = rental_add(fleet, name);
    rp_string_copy(request->record.type, sizeof request->record.type,
                   fleet->catalog->types[type].name);
    rp_string_copy(request->record.zone, sizeof request->record.zone, fleet->catalog->zones[zone]);
    request->record.spot = spot;
    request->record.count = count < rental_most(fleet) ? count : rental_most(fleet);
    clock_gettime(CLOCK_REALTIME, &request->record.requested_at);
    rental_set_state(fleet, request, RP_PROVISION_RECORDING_INTENT);
    rental_step(fleet, request);
}

unsigned rp_fleet_n_requested(const struct rp_fleet *fleet, int type, int zone, bool spot) {
    unsigned n = 0;
    for (const struct rp_provision_request *request = fleet->provision_requests; request;
         request = request->next)
        if ((request->state == RP_PROVISION_RECORDING_INTENT ||
             request->state == RP_PROVISION_REQUESTING) &&
            request->record.spot == spot &&
            type_index(fleet->catalog, request->record.type) == type &&
            zone_index(fleet->catalog, request->record.zone) == zone)
            n += request->record.count;
    return n;
}

void rp_fleet_adopt(struct rp_fleet *fleet, struct rp_machine *machine) {
    char name[RP_TEXT_MAX + 8];
    if (machine->provision_request || machine->type < 0 || machine->zone < 0)
        return;
    snprintf(name, sizeof name, "a-%s", machine->name);
    if (strlen(name) >= RP_TEXT_MAX || rental_find(fleet, name))
        return;
    struct rp_provision_request *request = rental_add(fleet, name);
    rp_string_copy(request->record.type, sizeof request->record.type,
                   fleet->catalog->types[machine->type].name);
    rp_string_copy(request->record.zone, sizeof request->record.zone,
                   fleet->catalog->zones[machine->zone]);
    request->record.spot = machine->spot;
    request->record.count = 1;
    request->record.answered = true;
    clock_gettime(CLOCK_REALTIME, &request->record.requested_at);
    machine->provision_request = request;
    rental_set_state(fleet, request, RP_PROVISION_RECORDING_NAMES);
    rental_step(fleet, request);
}

/* ---- returning ---- */

bool rp_fleet_is_terminated(const struct rp_fleet *fleet, const char *machine) {
    return rp_tombstones_has(&fleet->tombstones, machine);
}

/* The machine is certainly gone. */
static void machine_gone(struct rp_fleet *fleet, struct rp_machine *machine) {
    struct rp_provision_request *request = machine->provision_request;
    refusal_over(fleet, machine);
    rp_tombstones_add(&fleet->tombstones, machine->name);
    rp_machine_remove(fleet->cluster, machine);
    if (!request)
        return;
    const char *names[1];
    if (rental_names(fleet, request, names, 1) == 0 &&
        (request->state == RP_PROVISION_LIVE || request->state == RP_PROVISION_RECORDING_NAMES))
        rental_set_state(fleet, request, RP_PROVISION_ENDED);
    else
        request->changed = true;
}

static void deleted(void *arg, const struct rp_answer *answer) {
    struct request *request = arg;
    struct rp_fleet *fleet = request->f;
    if (!request_current(request))
        goto out;
    fleet->deleting = false;
    for (size_t i = 0; i < request->n; i++) {
        struct rp_machine *machine = rp_machine_find(fleet->cluster, request->names[i]);
        if (!machine)
            continue;
        machine->scale_in.delete_sent = false;
        if (answer->status != 200)
            continue; /* asked again by the tick */
        fleet->n_released++;
        machine_gone(fleet, machine);
    }
    if (answer->status == 200 && fleet->on_changed)
        fleet->on_changed(fleet->arg);
out:
    request_free(request);
}

/* The standbys hear of a return before the cloud does: of a machine that is gone without their
 * knowing a new leader would have to think for seconds that tasks may be there. */
static bool may_delete(const struct rp_fleet *fleet, const struct rp_machine *machine,
                       struct timespec now) {
    bool told = !fleet->settings->tuning.standby ||
                rp_ts_since(now, machine->scale_in.since) > TOLD_S ||
                rp_ts_since(now, fleet->led_since) < LED_LATELY_S;
    return machine->state == RP_MACHINE_RELEASING && !machine->scale_in.delete_sent && told;
}

static void delete_some(struct rp_fleet *fleet) {
    const char *names[DELETE_MAX];
    struct timespec now = rp_loop_now(fleet->loop);
    size_t n = 0;
    if (fleet->deleting || !rp_election_is_valid(fleet->election, now))
        return;
    for (struct rp_machine *machine = fleet->cluster->first; machine && n < DELETE_MAX;
         machine = machine->next)
        if (may_delete(fleet, machine, now)) {
            machine->scale_in.delete_sent = true;
            names[n++] = machine->name;
        }
    if (n == 0)
        return;
    struct request *request = request_new(fleet, NULL);
    request->names = rp_alloc(n, sizeof *request->names);
    for (size_t i = 0; i < n; i++)
        rp_string_copy(request->names[i], sizeof request->names[i], names[i]);
    request->n = n;
    fleet->deleting = true;
    rp_cloud_call(fleet->cloud, RP_CLOUD_URGENT, "POST", RP_PATH_RELEASE,
                  rp_cloud_codec_write_release(names, n), deleted, request);
}

void rp_fleet_scale_in(struct rp_fleet *fleet, struct rp_machine *machine, const char *why) {
    if (machine->state == RP_MACHINE_RELEASING)
        return;
    rp_info("machine %s goes back: %s, rented %.0fs ago", machine->name, why,
            rp_ts_since(rp_loop_now(fleet->loop), machine->requested_at));
    rp_machine_set_state(fleet->cluster, machine, RP_MACHINE_RELEASING);
    delete_some(fleet);
}

/* ---- the cloud's list ---- */

static void list_entry(struct rp_fleet *fleet, const struct rp_listed_machine *listed) {
    struct rp_machine *machine = rp_machine_find(fleet->cluster, listed->machine);
    struct timespec now = rp_loop_now(fleet->loop);
    if (!machine && rp_fleet_is_terminated(fleet, listed->machine))
        return;
    if (!machine) {
        /* A machine just returned is listed a while longer; a real stray stays. It is adopted once
         * it reports, or returned if it is in no rental under way for long. */
        if (listed->age_s > 4 * fleet->settings->list_lag_s + 60 &&
            rp_ts_since(now, fleet->led_since) > 30 && listed->state != RP_LISTED_FAILED) {
            machine = rp_machine_add(fleet->cluster, listed->machine, RP_MACHINE_BOOTING);
            rp_fleet_describe_machine(fleet, machine, listed->type, listed->zone, listed->spot);
            machine->requested_at = rp_ts_sub(now, rp_ts(listed->age_s));
            rp_fleet_adopt(fleet, machine);
        }
        return;
    }
    machine->scale_in.n_lists_missing = 0;
    machine->scale_in.listed_failed = listed->state == RP_LISTED_FAILED;
    rp_fleet_describe_machine(fleet, machine, listed->type, listed->zone, listed->spot);
    /* The age at the list's time bounds the rental's time from below. */
    struct timespec rented = rp_ts_sub(now, rp_ts(listed->age_s + fleet->settings->list_lag_s));
    if (machine->state != RP_MACHINE_BOOTING && rp_ts_cmp(rented, machine->requested_at) < 0 &&
        rp_ts_since(machine->requested_at, rented) > 3 * fleet->settings->list_lag_s + 2)
        machine->requested_at = rented;
}

static bool silent(const struct rp_fleet *fleet, const struct rp_machine *machine) {
    return machine->state != RP_MACHINE_BOOTING &&
           rp_ts_since(rp_loop_now(fleet->loop), machine->contact.last_heartbeat) >
               1.5 * fleet->settings->report_s + 0.5;
}

static void list_ended(struct rp_fleet *fleet) {
    struct timespec now = rp_loop_now(fleet->loop);
    for (struct rp_machine *machine = fleet->cluster->first; machine; machine = machine->next) {
        /* A machine that has been listed stays listed until it is gone, and an old one has been,
         * but lists come out of order: two in a row must lack it, and the deletion's answer makes
         * it certain. */
        bool missing =
            ++machine->scale_in.n_lists_missing > 2 &&
            rp_ts_since(now, machine->requested_at) > 4 * fleet->settings->list_lag_s + 5;
        if (machine->scale_in.listed_failed)
            rp_fleet_scale_in(fleet, machine, "failed by the cloud's list");
        else if (missing && (machine->state == RP_MACHINE_BOOTING || silent(fleet, machine)))
            rp_fleet_scale_in(fleet, machine, "gone by the cloud's list");
    }
}

static void list_page(struct rp_fleet *fleet);

static void listed(void *arg, const struct rp_answer *answer) {
    struct request *request = arg;
    struct rp_fleet *fleet = request->f;
    bool more = false;
    size_t n = 0;
    if (!request_current(request))
        goto out;
    fleet->listing = false;
    if (answer->status != 200)
        goto out;
    struct rp_listed_machine *list =
        rp_cloud_codec_parse_machine_list(answer->body, answer->len, &n, &more);
    for (size_t i = 0; list && i < n; i++)
        list_entry(fleet, &list[i]);
    if (list && n > 0)
        rp_string_copy(fleet->list_after, sizeof fleet->list_after, list[n - 1].machine);
    free(list);
    if (more && n > 0)
        list_page(fleet);
    else
        list_ended(fleet);
out:
    request_free(request);
}

static void list_page(struct rp_fleet *fleet) {
    char target[RP_TEXT_MAX + 64];
    if (*fleet->list_after)
        snprintf(target, sizeof target, "%s?from=%s&limit=%d", RP_PATH_MACHINES, fleet->list_after,
                 LIST_PAGE);
    else
        snprintf(target, sizeof target, "%s?limit=%d", RP_PATH_MACHINES, LIST_PAGE);
    fleet->listing = true;
    rp_cloud_call(fleet->cloud, RP_CLOUD_ROUTINE, "GET", target, NULL, listed,
                  request_new(fleet, NULL));
}

static void list_again(struct rp_fleet *fleet) {
    struct timespec now = rp_loop_now(fleet->loop);
    if (fleet->listing || !rp_ts_reached(now, fleet->next_list))
        return;
    bool any_silent = false;
    for (const struct rp_machine *machine = fleet->cluster->first; machine; machine = machine->next)
        any_silent |= silent(fleet, machine);
    double pages = ceil((double)(fleet->cluster->n_machines + 1) / LIST_PAGE);
    double pause = fmax(any_silent ? LIST_SILENT_S : LIST_S,
                        pages / (fleet->settings->cloud_rps * LIST_SHARE));
    fleet->next_list = rp_ts_after(now, pause);
    fleet->list_after[0] = '\0';
    list_page(fleet);
}

static void catalog_came(void *arg, const struct rp_answer *answer) {
    struct request *request = arg;
    struct rp_fleet *fleet = request->f;
    struct rp_catalog *fresh = calloc(1, sizeof *fresh);
    if (fresh && request_current(request) && answer->status == 200 &&
        rp_cloud_codec_parse_catalog(answer->body, answer->len, fresh))
        /* Types keep their indexes, which machines refer to: only prices are taken over. */
        for (size_t i = 0; i < fresh->n_types; i++) {
            int at = type_index(fleet->catalog, fresh->types[i].name);
            if (at < 0)
                continue;
            fleet->catalog->types[at].price = fresh->types[i].price;
            fleet->catalog->types[at].spot_price = fresh->types[i].spot_price;
        }
    free(fresh);
    request_free(request);
}

static void catalog_again(struct rp_fleet *fleet) {
    struct timespec now = rp_loop_now(fleet->loop);
    if (!rp_ts_reached(now, fleet->next_catalog))
        return;
    fleet->next_catalog = rp_ts_after(now, 30);
    rp_cloud_call(fleet->cloud, RP_CLOUD_ROUTINE, "GET", RP_PATH_CATALOG, NULL, catalog_came,
                  request_new(fleet, NULL));
}

/* ---- what time does to machines ---- */

/* How long nothing has shown that the machine gets our answers. */
static double answers_lost_for_s(const struct rp_machine *machine, struct timespec now) {
    return rp_machine_is_one_way_partitioned(machine)
               ? rp_ts_since(now, machine->contact.answers_lost_since)
               : 0;
}

/* A leader that the workers can't reach, though the state service can, renews its lease and does
 * nothing for anybody. When most machines fall silent together while leadership was provable all
 * along, it gives the key up: another node may be better placed. It also returns no machine then:
 * they are hardly all gone. */
static void note_newest(struct rp_fleet *fleet, size_t known, struct timespec newest,
                        struct timespec now) {
    double due = fmax(MUTE_S, MUTE_REPORTS * fleet->settings->report_s / (double)(known + 1));
    /* Counted in ticks as well: a node that stood still hasn't read what came meanwhile. */
    bool mute = known >= 4 && rp_ts_since(now, newest) > due;
    fleet->silent_ticks = mute ? fleet->silent_ticks + 1 : 0;
}

static bool isolated(struct rp_fleet *fleet, struct timespec now) {
    size_t known = 0, quiet = 0;
    double limit = fleet->settings->report_s * 1.25 + 2.5;
    struct timespec newest = {0};
    for (const struct rp_machine *machine = fleet->cluster->first; machine;
         machine = machine->next) {
        if (machine->contact.incarnation == 0 || machine->spot_notice.received ||
            machine->state == RP_MACHINE_RELEASING)
            continue;
        known++;
        if (rp_ts_cmp(machine->contact.last_heartbeat, newest) > 0)
            newest = machine->contact.last_heartbeat;
        quiet += answers_lost_for_s(machine, now) > ANSWERS_LOST_SURE_S ||
                 rp_ts_since(now, machine->contact.last_heartbeat) > limit;
    }
    bool most = known >= 4 && (double)quiet >= ISOLATED_SHARE * (double)known;
    bool many = known >= 4 && (double)quiet >= DOUBTFUL_SHARE * (double)known;
    note_newest(fleet, known, newest, now);
    /* A node cut off from everything can't give the key up either: its lease does that. */
    if (!most || rp_kv_failing_s(fleet->store) > 0 ||
        rp_ts_since(now, fleet->proven_since) < ISOLATED_PROVEN_S)
        fleet->isolated_since = (struct timespec){0};
    else if (rp_ts_zero(fleet->isolated_since))
        fleet->isolated_since = now;
    return many;
}

/* Most machines have been silent for a while, or no report has come at all where twenty were due.
 */
static bool gives_way(const struct rp_fleet *fleet, struct timespec now) {
    if (rp_kv_failing_s(fleet->store) > 0 ||
        rp_ts_since(now, fleet->proven_since) < ISOLATED_PROVEN_S)
        return false;
    return fleet->silent_ticks >= MUTE_TICKS ||
           (!rp_ts_zero(fleet->isolated_since) &&
            rp_ts_since(now, fleet->isolated_since) > ISOLATED_S);
}

/* A zone that is cut off comes back with its machines, their images and, after the lease, nothing
 * on them: giving them back and renting anew costs a boot and all fetches, and in the meantime new
 * ones there could not report either. */
static void note_zones(struct rp_fleet *fleet, struct timespec now) {
    size_t known[RP_ZONES_MAX] = {0}, quiet[RP_ZONES_MAX] = {0};
    double limit = fleet->settings->report_s * 1.25 + 2.5;
    fleet->silent_zones = 0;
    if (rp_ts_since(now, fleet->led_since) < limit)
        return; /* after a takeover all are heard of anew */
    for (const struct rp_machine *machine = fleet->cluster->first; machine;
         machine = machine->next) {
        if (!machine->up_recorded || machine->zone < 0 || machine->spot_notice.received ||
            machine->state == RP_MACHINE_RELEASING)
            continue;
        known[machine->zone]++;
        quiet[machine->zone] += rp_ts_since(now, machine->contact.last_heartbeat) > limit;
    }
    for (int z = 0; z < RP_ZONES_MAX; z++)
        if (known[z] >= 4 && (double)quiet[z] >= ISOLATED_SHARE * (double)known[z]) {
            fleet->silent_zones |= 1u << z;
            fleet->zone_silent_at[z] = now;
        }
}

/* How long a lost machine is waited for. After a cut its zone's machines come back one by one: the
 * first of them are no reason to give the rest back. */
static double lost_grace_s(const struct rp_fleet *fleet, const struct rp_machine *machine,
                           struct timespec now) {
    bool out = machine->zone >= 0 && !rp_ts_zero(fleet->zone_silent_at[machine->zone]) &&
               rp_ts_since(now, fleet->zone_silent_at[machine->zone]) < ZONE_BACK_S;
    bool many =
        !rp_ts_zero(fleet->mass_loss_at) && rp_ts_since(now, fleet->mass_loss_at) < ZONE_BACK_S;
    return out || many ? ZONE_GRACE_S : LOST_GRACE_S;
}

bool rp_fleet_is_zone_silent(const struct rp_fleet *fleet, int zone) {
    return zone >= 0 && (fleet->silent_zones >> zone & 1);
}

/* A cut of many machines, of one zone or not, passes like a zone's: to give them all back and rent
 * anew costs a boot and every image. What has died is told by the cloud's list within half a
 * minute. */
static void note_many_lost(struct rp_fleet *fleet, struct timespec now) {
    size_t lost = 0, known = 0;
    for (const struct rp_machine *machine = fleet->cluster->first; machine;
         machine = machine->next) {
        known += machine->state != RP_MACHINE_BOOTING && machine->state != RP_MACHINE_RELEASING;
        lost += machine->state == RP_MACHINE_LOST;
    }
    if (lost >= MANY_LOST && (double)lost >= MANY_LOST_SHARE * (double)known)
        fleet->mass_loss_at = now;
}

static void watch_machine(struct rp_fleet *fleet, struct rp_machine *machine, bool cut_off,
                          struct timespec now) {
    double led = rp_ts_since(now, fleet->led_since);
    double boot = machine->type >= 0 ? fleet->catalog->types[machine->type].boot_s : 60;
    rp_quarantine_step(machine, now);
    switch (machine->state) {
    case RP_MACHINE_UNRECONCILED:
    case RP_MACHINE_UP:
        if (rp_ts_reached(now, machine->contact.lease_expiry)) {
            rp_machine_set_state(fleet->cluster, machine, RP_MACHINE_LOST);
            fleet->machine_lost = true;
        } else if (!cut_off && rp_machine_is_one_way_partitioned(machine) &&
                   rp_ts_since(now, machine->contact.answers_lost_since) > ANSWERS_LOST_RETURN_S)
            rp_fleet_scale_in(fleet, machine, "gets no answers");
        else if (machine->spot_notice.received &&
                 rp_ts_since(now, machine->spot_notice.ends_at) > 1 && silent(fleet, machine))
            rp_fleet_scale_in(fleet, machine, "taken back");
        else if (machine->state == RP_MACHINE_UP &&
                 (machine->health.quarantined || machine->spot_notice.received ||
                  machine->scale_in.draining) &&
                 rp_machine_is_idle(machine))
            rp_fleet_scale_in(fleet, machine,
                              machine->health.quarantined     ? "faulty"
                              : machine->spot_notice.received ? "taken back soon"
                                                              : "its work fits elsewhere");
        break;
    case RP_MACHINE_LOST:
        if (!cut_off && answers_lost_for_s(machine, now) > ANSWERS_LOST_RETURN_S)
            rp_fleet_scale_in(fleet, machine, "gets no answers");
        else if (!cut_off &&
                 rp_ts_since(now, machine->lost_since) > lost_grace_s(fleet, machine, now) &&
                 led > LOST_GRACE_S)
            rp_fleet_scale_in(fleet, machine, "lost");
        break;
    case RP_MACHINE_BOOTING:
        if (rp_ts_since(now, machine->requested_at) >
                boot * fleet->settings->tuning.boot_patience + 5 &&
            led > LOST_GRACE_S)
            rp_fleet_scale_in(fleet, machine, "not up in time");
        break;
    case RP_MACHINE_RELEASING:
        break;
    }
}

/* What ran on a lost machine runs elsewhere from the moment on when its lease is over. */
static double until_lost_s(const struct rp_fleet *fleet, struct timespec now) {
    double next = TICK_S;
    for (const struct rp_machine *machine = fleet->cluster->first; machine;
         machine = machine->next) {
        double left = rp_ts_since(machine->contact.lease_expiry, now);
        if ((machine->state == RP_MACHINE_UP || machine->state == RP_MACHINE_UNRECONCILED) &&
            left > 0)
            next = fmin(next, left + TICK_LEAST_S / 10);
    }
    return fmax(next, TICK_LEAST_S);
}

static void tick(void *arg) {
    struct rp_fleet *fleet = arg;
    struct timespec now = rp_loop_now(fleet->loop);
    rp_timer_set(fleet->loop, &fleet->timer, until_lost_s(fleet, now));
    if (!rp_election_is_valid(fleet->election, now)) {
        fleet->proven_since = (struct timespec){0};
        return;
    }
    if (rp_ts_zero(fleet->proven_since))
        fleet->proven_since = now;
    bool cut_off = isolated(fleet, now);
    note_zones(fleet, now);
    note_many_lost(fleet, now);
    if (gives_way(fleet, now)) {
        rp_info("most machines are silent: another node may reach them");
        rp_election_resign(fleet->election, STAND_BACK_S);
        return;
    }
    for (struct rp_machine *machine = fleet->cluster->first; machine; machine = machine->next)
        watch_machine(fleet, machine, cut_off, now);
    if (fleet->machine_lost && fleet->on_changed)
        fleet->on_changed(fleet->arg);
    fleet->machine_lost = false;
    delete_some(fleet);
    for (struct rp_provision_request *request = fleet->provision_requests, *next; request;
         request = next) {
        next = request->next;
        rental_step(fleet, request);
    }
    list_again(fleet);
    catalog_again(fleet);
}

/* ---- loading ---- */

static void load_page(struct rp_fleet *fleet, const char *after);

static void load_rental(struct rp_fleet *fleet, const struct rp_kv_item *item) {
    struct timespec now = rp_loop_now(fleet->loop), wall;
    struct rp_provision_request *request = rental_add(fleet, item->key + strlen(RP_KEY_PROVISION));
    if (!rp_record_provision_read(item->value, &request->record)) {
        rp_error("rental record %s can't be read: left alone", item->key);
        rental_free(fleet, request);
        return;
    }
    request->stored = true;
    request->version = item->revision;
    request->version_known = true;
    if (!request->record.answered) {
        rental_set_state(fleet, request, RP_PROVISION_REQUESTING);
        return;
    }
    clock_gettime(CLOCK_REALTIME, &wall);
    double age = fleet->loop->is_virtual ? 0 : rp_ts_since(wall, request->record.requested_at);
    for (size_t i = 0; i < rp_record_provision_n_names(item->value); i++) {
        const char *name = rp_record_provision_name(item->value, i);
        if (!name || rp_machine_find(fleet->cluster, name))
            continue;
        /* No leader starts anything on a machine before its record says that it is up. */
        bool up = rp_record_provision_is_up(item->value, name);
        struct rp_machine *machine =
            rp_machine_add(fleet->cluster, name, up ? RP_MACHINE_UNRECONCILED : RP_MACHINE_BOOTING);
        machine->up_recorded = up;
        machine->provision_request = request;
        rp_fleet_describe_machine(fleet, machine, request->record.type, request->record.zone,
                                  request->record.spot);
        machine->requested_at = rp_ts_sub(now, rp_ts(age > 0 ? age : 0));
        /* No earlier leader can have answered the machine after this node got the key, or, if it
         * was deposed, after the end of what it had renewed. */
        struct timespec last = rp_ts_cmp(fleet->election->fenced_leader_expiry, now) > 0
                                   ? fleet->election->fenced_leader_expiry
                                   : now;
        machine->contact.lease_expiry =
            rp_ts_after(last, rp_settings_worker_lease_s(fleet->settings));
    }
    /* What a split that was cut short has left names nothing that another doesn't. */
    const char *name;
    rental_set_state(fleet, request,
                     rental_names(fleet, request, &name, 1) ? RP_PROVISION_LIVE
                                                            : RP_PROVISION_ENDED);
}

static void loaded(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_fleet *fleet = request->f;
    struct rp_kv_item item = {0};
    if (!request_current(request))
        goto out;
    if (result->outcome != RP_KV_OK) {
        fleet->on_loaded(fleet->arg, false);
        goto out;
    }
    size_t n = rp_kv_result_n_items(result);
    bool more = rp_kv_result_has_more(result);
    for (size_t i = 0; i < n; i++)
        if (rp_kv_result_item_at(result, i, &item))
            load_rental(fleet, &item);
    if (more && n > 0) {
        load_page(fleet, item.key);
        goto out;
    }
    fleet->led_since = rp_loop_now(fleet->loop);
    rp_timer_set(fleet->loop, &fleet->timer, 0);
    fleet->on_loaded(fleet->arg, true);
out:
    request_free(request);
}

static void load_page(struct rp_fleet *fleet, const char *after) {
    rp_kv_list(fleet->store, RP_KV_BUDGET_LEADER, RP_KEY_PROVISION, after, LOAD_PAGE, loaded,
               request_new(fleet, NULL));
}

void rp_fleet_load(struct rp_fleet *fleet) {
    rp_fleet_clear(fleet);
    fleet->next_list = (struct timespec){0};
    load_page(fleet, NULL);
}

void rp_fleet_clear(struct rp_fleet *fleet) {
    fleet->generation++;
    fleet->listing = fleet->deleting = false;
    fleet->silent_zones = 0;
    fleet->mass_loss_at = (struct timespec){0};
    memset(fleet->zone_silent_at, 0, sizeof fleet->zone_silent_at);
    fleet->proven_since = fleet->isolated_since = (struct timespec){0};
    fleet->silent_ticks = 0;
    memset(fleet->refusals, 0, sizeof fleet->refusals);
    rp_timer_cancel(fleet->loop, &fleet->timer);
    for (struct rp_machine *machine = fleet->cluster->first; machine; machine = machine->next)
        machine->provision_request = NULL;
    while (fleet->provision_requests)
        rental_free(fleet, fleet->provision_requests);
}

void rp_fleet_close(struct rp_fleet *fleet) {
    rp_fleet_clear(fleet);
    rp_tombstones_free(&fleet->tombstones);
}
