#include "cluster/fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "cluster/quarantine.h"
#include "base/log.h"
#include "protocol/wire.h"
#include "worker/workers.h"

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
    enum rp_rental_state wrote; /* the rental's state when its record was written */
    size_t n;
    char (*names)[RP_TEXT_MAX];
};

static struct request *request_new(struct rp_fleet *f, const char *rental) {
    struct request *r = calloc(1, sizeof *r);
    if (!r)
        abort(); /* out of memory: a restart is the honest answer */
    r->f = f;
    r->generation = f->generation;
    if (rental)
        snprintf(r->rental, sizeof r->rental, "%s", rental);
    return r;
}

static void request_free(struct request *r) {
    free(r->names);
    free(r);
}

static bool request_current(const struct request *r) {
    return r->generation == r->f->generation;
}

static void tick(void *arg);
static void rental_step(struct rp_fleet *f, struct rp_rental *rental);

void rp_fleet_init(struct rp_fleet *f, struct rp_loop *loop, struct rp_cloud_client *cloud,
                   struct rp_state_client *state, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs,
                   const struct rp_settings *settings, struct rp_catalog *catalog) {
    memset(f, 0, sizeof *f);
    f->loop = loop;
    f->cloud = cloud;
    f->state = state;
    f->election = election;
    f->cluster = cluster;
    f->jobs = jobs;
    f->settings = settings;
    f->catalog = catalog;
    f->value_most = (size_t)(settings->state_fit.value_kb * 1024);
    f->timer = (struct rp_timer){.fn = tick, .arg = f};
}

double rp_fleet_price(const struct rp_catalog *c, int type, bool spot) {
    return spot ? c->types[type].spot_price : c->types[type].price;
}

static int type_index(const struct rp_catalog *c, const char *name) {
    for (size_t i = 0; i < c->n_types; i++)
        if (strcmp(c->types[i].name, name) == 0)
            return (int)i;
    return -1;
}

static int zone_index(const struct rp_catalog *c, const char *name) {
    for (size_t i = 0; i < c->n_zones; i++)
        if (strcmp(c->zones[i], name) == 0)
            return (int)i;
    return -1;
}

void rp_fleet_describe(struct rp_fleet *f, struct rp_machine *m, const char *type, const char *zone,
                       bool spot) {
    /* A zone never changes under a machine's tasks: they are counted by it. */
    if (m->type >= 0 && m->zone >= 0)
        return;
    if (m->n_allocations > 0)
        return;
    m->type = type_index(f->catalog, type);
    m->zone = zone_index(f->catalog, zone);
    m->spot = spot;
}

/* ---- rentals ---- */

static struct rp_rental *rental_find(const struct rp_fleet *f, const char *name) {
    struct rp_rental *r = f->rentals;
    while (r && strcmp(r->name, name) != 0)
        r = r->next;
    return r;
}

static struct rp_rental *rental_add(struct rp_fleet *f, const char *name) {
    struct rp_rental *r = calloc(1, sizeof *r);
    if (!r)
        abort();
    snprintf(r->name, sizeof r->name, "%s", name);
    r->version_known = true;
    r->next = f->rentals;
    f->rentals = r;
    return r;
}

static void rental_free(struct rp_fleet *f, struct rp_rental *rental) {
    struct rp_rental **at = &f->rentals;
    while (*at != rental)
        at = &(*at)->next;
    *at = rental->next;
    free(rental);
}

/* The one place where a rental changes its state. */
static void rental_set_state(struct rp_fleet *f, struct rp_rental *rental,
                             enum rp_rental_state state) {
    rental->state = state;
    rental->retry = (struct timespec){0};
    if (state == RP_RENTAL_LIVE) {
        for (struct rp_machine *m = f->cluster->first; m; m = m->next)
            if (m->rental == rental)
                m->recorded = true;
        if (f->on_changed)
            f->on_changed(f->arg);
    }
}

static void rental_later(struct rp_fleet *f, struct rp_rental *rental, double after_s) {
    rental->retry = rp_ts_after(rp_loop_now(f->loop), after_s);
}

static size_t rental_names(const struct rp_fleet *f, const struct rp_rental *rental,
                           const char **names, size_t max) {
    size_t n = 0;
    for (const struct rp_machine *m = f->cluster->first; m && n < max; m = m->next)
        if (m->rental == rental)
            names[n++] = m->name;
    return n;
}

/* What a record says that has been written: these machines are up. */
static void note_recorded(struct rp_fleet *f, const struct rp_rental *rental,
                          const struct request *r) {
    for (size_t i = 0; i < r->n; i++) {
        struct rp_machine *m = *r->names[i] ? rp_machine_find(f->cluster, r->names[i]) : NULL;
        if (m && m->rental == rental)
            m->up_recorded = true;
    }
}

void rp_fleet_came_up(struct rp_fleet *f, struct rp_machine *m) {
    if (m->up_recorded || !m->rental || m->rental->changed)
        return;
    m->rental->changed = true;
    rental_step(f, m->rental);
}

static void rental_written(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_fleet *f = r->f;
    struct rp_rental *rental = request_current(r) ? rental_find(f, r->rental) : NULL;
    enum rp_rental_state wrote = r->wrote;
    if (!rental) {
        request_free(r);
        return;
    }
    if (result->outcome == RP_STATE_OK)
        note_recorded(f, rental, r);
    request_free(r);
    rental->busy = false;
    if (result->outcome == RP_STATE_CONFLICT && rp_wire_failed_key(result->body, RP_KEY_LEADER)) {
        rp_election_doubt(f->election);
        rental_later(f, rental, 1);
        return;
    }
    if (result->outcome == RP_STATE_BAD && f->value_most > VALUE_LEAST) {
        /* Larger than the limits told: smaller pieces, at a slower pace. */
        f->value_most = f->value_most * 3 / 4;
        rental->changed = true;
        rental_later(f, rental, 1);
        return;
    }
    if (result->outcome != RP_STATE_OK) {
        /* Each write carries the version that it replaces, so that a copy which arrives late can't
         * take names away again. After a lost answer, or a conflict with a write whose answer was
         * lost, the version has to be read. */
        rental->changed = true;
        rental->version_known = false;
        rental_later(f, rental, 0.2);
        return;
    }
    rental->version = rp_wire_revision(result->body);
    if (wrote == RP_RENTAL_ENDED) {
        rental_free(f, rental);
        return;
    }
    rental->stored = true;
    /* The state may have moved on while the write was under way: its machines can be gone. */
    if (wrote == RP_RENTAL_WRITING && rental->state == wrote)
        rental_set_state(f, rental, RP_RENTAL_ASKING);
    else if (wrote == RP_RENTAL_RECORDING && rental->state == wrote)
        rental_set_state(f, rental, RP_RENTAL_LIVE);
    else if (wrote == RP_RENTAL_LIVE && f->on_changed)
        f->on_changed(f->arg);
    rental_step(f, rental);
}

static void rental_read(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_fleet *f = r->f;
    struct rp_rental *rental = request_current(r) ? rental_find(f, r->rental) : NULL;
    struct rp_item item;
    request_free(r);
    if (!rental)
        return;
    rental->busy = false;
    if (result->outcome == RP_STATE_MISSING) {
        rental->version = 0;
        rental->version_known = true;
    } else if (result->outcome == RP_STATE_OK && rp_wire_item(result->body, &item)) {
        rental->version = item.version;
        rental->version_known = true;
    } else {
        rental_later(f, rental, 0.3);
        return;
    }
    rental_step(f, rental);
}

/* The record as it stands; with a request, the names that it says are up are noted there. */
static json_t *rental_record(struct rp_fleet *f, const struct rp_rental *rental,
                             struct request *r) {
    const char *names[NAMES_MAX];
    bool up[NAMES_MAX];
    size_t n = 0;
    for (struct rp_machine *m = f->cluster->first; m && n < NAMES_MAX; m = m->next)
        if (m->rental == rental) {
            names[n] = m->name;
            up[n] = m->up_recorded || m->session > 0;
            if (r)
                strcpy(r->names[n], up[n] ? m->name : "");
            n++;
        }
    if (r)
        r->n = n;
    return rp_jobs_mark(f->jobs, rp_record_rental(&rental->record, names, up, n));
}

/* A record that names more machines than a value may hold (the version before wrote up to 50, and
 * the limit came down) is split: a new one takes over the second half of the names and is written
 * first, then the old one without them. Whoever reads both in between takes the first that names a
 * machine. */
static bool rental_split(struct rp_fleet *f, struct rp_rental *rental) {
    json_t *v = rental_record(f, rental, NULL);
    size_t size = rp_record_size(v), n = rp_record_rental_names(v), k = 0;
    char name[RP_TEXT_MAX];
    json_decref(v);
    if (size <= f->value_most || n < 2 || !rental->record.answered)
        return false;
    snprintf(name, sizeof name, "s-%llu-%lu", (unsigned long long)f->election->token,
             ++f->next_name);
    struct rp_rental *second = rental_add(f, name);
    second->record = rental->record;
    for (struct rp_machine *m = f->cluster->first; m; m = m->next)
        if (m->rental == rental && k++ >= n / 2)
            m->rental = second;
    second->record.count = (unsigned)(n - n / 2);
    rental->record.count = (unsigned)(n / 2);
    strcpy(rental->after, name);
    rental->changed = true;
    rp_info("rental %s names machines=%zu, too many for a value: split with %s", rental->name, n,
            name);
    rental_set_state(f, second, RP_RENTAL_RECORDING);
    rental_step(f, second);
    return true;
}

static void rental_write(struct rp_fleet *f, struct rp_rental *rental) {
    if (rental->state != RP_RENTAL_ENDED && rental_split(f, rental))
        return;
    struct request *r = request_new(f, rental->name);
    char key[RP_KEY_MAX];
    rp_key(key, RP_KEY_RENTAL, rental->name);
    rental->busy = true;
    if (!rental->version_known) {
        rp_state_get(f->state, RP_SHARE_LEADER, key, rental_read, r);
        return;
    }
    json_t *txn = rp_wire_txn();
    rp_election_guard(f->election, txn);
    rp_wire_txn_if(txn, key, rental->version);
    if (rental->state == RP_RENTAL_ENDED) {
        rp_wire_txn_delete(txn, key);
    } else {
        r->names = calloc(NAMES_MAX, sizeof *r->names);
        if (!r->names)
            abort();
        rp_wire_txn_put(txn, key, rental_record(f, rental, r), 0);
    }
    r->wrote = rental->state;
    rental->changed = false;
    rp_state_txn(f->state, RP_SHARE_LEADER, txn, rental_written, r);
}

static struct rp_refusal *refusal_of(struct rp_fleet *f, int type, int zone, bool spot) {
    return type < 0 || zone < 0 ? NULL : &f->refusals[type][zone][spot];
}

/* Each try costs a call to the cloud and two changes of the state service, and until it is answered
 * its machines hold tasks: a kind that goes on being refused is tried ever more rarely. */
static void refuse(struct rp_fleet *f, const struct rp_rental *rental) {
    int type = type_index(f->catalog, rental->record.type);
    int zone = zone_index(f->catalog, rental->record.zone);
    double base = f->settings->tuning.refused_pause_s;
    struct timespec now = rp_loop_now(f->loop);
    struct rp_refusal *found = refusal_of(f, type, zone, rental->record.spot);
    if (!found)
        return;
    bool again = found->pause_s > 0 && rp_ts_since(now, found->until) < found->pause_s;
    found->pause_s = again ? fmin(found->pause_s * 2, base * REFUSED_PAUSES) : base;
    found->until = rp_ts_after(now, found->pause_s);
    f->n_refused++;
    rp_debug("kind %s/%s%s refused for lack of capacity", rental->record.type, rental->record.zone,
             rental->record.spot ? " (spot)" : "");
}

bool rp_fleet_refused(const struct rp_fleet *f, int type, int zone, bool spot) {
    return !rp_ts_reached(rp_loop_now(f->loop), f->refusals[type][zone][spot].until);
}

/* A machine of the kind is gone: the cloud may have one again. */
static void refusal_over(struct rp_fleet *f, const struct rp_machine *m) {
    struct rp_refusal *found = refusal_of(f, m->type, m->zone, m->spot);
    if (found)
        *found = (struct rp_refusal){0};
}

static void rented(struct rp_fleet *f, struct rp_rental *rental, const struct rp_answer *answer) {
    size_t n;
    char(*names)[RP_TEXT_MAX] = rp_wire_rented(answer->body, answer->len, &n);
    if (!names) {
        rental_later(f, rental, 1);
        return;
    }
    rental->record.answered = true;
    for (size_t i = 0; i < n; i++) {
        struct rp_machine *m = rp_machine_find(f->cluster, names[i]);
        if ((m && m->rental) || rp_fleet_gone(f, names[i]))
            continue;
        if (!m)
            m = rp_machine_add(f->cluster, names[i], RP_MACHINE_BOOTING);
        m->rental = rental;
        rp_fleet_describe(f, m, rental->record.type, rental->record.zone, rental->record.spot);
    }
    f->n_rented += n;
    rp_info("rented %zu of %u %s in %s%s, request=%s", n, rental->record.count, rental->record.type,
            rental->record.zone, rental->record.spot ? " (spot)" : "", rental->name);
    if (n < rental->record.count)
        refuse(f, rental);
    free(names);
    rental_set_state(f, rental, n ? RP_RENTAL_RECORDING : RP_RENTAL_ENDED);
    rental_step(f, rental);
    if (f->on_changed)
        f->on_changed(f->arg);
}

static void rental_answered(void *arg, const struct rp_answer *answer) {
    struct request *r = arg;
    struct rp_fleet *f = r->f;
    struct rp_rental *rental = request_current(r) ? rental_find(f, r->rental) : NULL;
    request_free(r);
    if (!rental || rental->state != RP_RENTAL_ASKING)
        return;
    rental->busy = false;
    if (answer->status == 200) {
        rented(f, rental, answer);
    } else if (answer->status == 503 && rp_wire_no_capacity(answer->body, answer->len)) {
        refuse(f, rental);
        rental_set_state(f, rental, RP_RENTAL_ENDED);
        rental_step(f, rental);
        if (f->on_changed)
            f->on_changed(f->arg);
    } else if (answer->status == 400) {
        rp_error("the cloud refused request %s: %.200s", rental->name, answer->body);
        rental_set_state(f, rental, RP_RENTAL_ENDED);
        rental_step(f, rental);
    } else {
        /* It may have been carried out: only the same name again tells. */
        rental_later(f, rental, answer->status == 429 ? 0.5 : 1);
    }
}

static void rental_ask(struct rp_fleet *f, struct rp_rental *rental) {
    const struct rp_rental_record *rec = &rental->record;
    rental->busy = true;
    rp_cloud_call(f->cloud, RP_CLOUD_URGENT, "POST", RP_PATH_MACHINES,
                  rp_wire_rent(rental->name, rec->type, rec->zone, rec->spot, rec->count),
                  rental_answered, request_new(f, rental->name));
}

/* Does what the rental's state asks for, unless something is under way or has to wait. */
static void rental_step(struct rp_fleet *f, struct rp_rental *rental) {
    struct timespec now = rp_loop_now(f->loop);
    if (rental->busy || !rp_ts_reached(now, rental->retry) || !rp_election_valid(f->election, now))
        return;
    const struct rp_rental *first = *rental->after ? rental_find(f, rental->after) : NULL;
    if (first && !first->stored)
        return;
    rental->after[0] = '\0';
    switch (rental->state) {
    case RP_RENTAL_WRITING:
    case RP_RENTAL_RECORDING:
        rental_write(f, rental);
        break;
    case RP_RENTAL_ASKING:
        rental_ask(f, rental);
        break;
    case RP_RENTAL_LIVE:
        if (rental->changed)
            rental_write(f, rental);
        break;
    case RP_RENTAL_ENDED:
        if (rental->stored)
            rental_write(f, rental);
        else
            rental_free(f, rental);
        break;
    }
}

/* As many machines as one request may ask for, and one record may name, twice each. */
static unsigned rental_most(const struct rp_fleet *f) {
    double fit = ((double)f->value_most - RECORD_HEAD) / (2 * RECORD_NAME);
    return fit < 1 ? 1 : fit < RENT_MAX ? (unsigned)fit : RENT_MAX;
}

void rp_fleet_rent(struct rp_fleet *f, int type, int zone, bool spot, unsigned count) {
    char name[RP_TEXT_MAX];
    snprintf(name, sizeof name, "r-%llu-%lu", (unsigned long long)f->election->token,
             ++f->next_name);
    struct rp_rental *rental = rental_add(f, name);
    strcpy(rental->record.type, f->catalog->types[type].name);
    strcpy(rental->record.zone, f->catalog->zones[zone]);
    rental->record.spot = spot;
    rental->record.count = count < rental_most(f) ? count : rental_most(f);
    clock_gettime(CLOCK_REALTIME, &rental->record.asked);
    rental_set_state(f, rental, RP_RENTAL_WRITING);
    rental_step(f, rental);
}

unsigned rp_fleet_pending(const struct rp_fleet *f, int type, int zone, bool spot) {
    unsigned n = 0;
    for (const struct rp_rental *r = f->rentals; r; r = r->next)
        if ((r->state == RP_RENTAL_WRITING || r->state == RP_RENTAL_ASKING) &&
            r->record.spot == spot && type_index(f->catalog, r->record.type) == type &&
            zone_index(f->catalog, r->record.zone) == zone)
            n += r->record.count;
    return n;
}

void rp_fleet_adopt(struct rp_fleet *f, struct rp_machine *m) {
    char name[RP_TEXT_MAX + 8];
    if (m->rental || m->type < 0 || m->zone < 0)
        return;
    snprintf(name, sizeof name, "a-%s", m->name);
    if (strlen(name) >= RP_TEXT_MAX || rental_find(f, name))
        return;
    struct rp_rental *rental = rental_add(f, name);
    strcpy(rental->record.type, f->catalog->types[m->type].name);
    strcpy(rental->record.zone, f->catalog->zones[m->zone]);
    rental->record.spot = m->spot;
    rental->record.count = 1;
    rental->record.answered = true;
    clock_gettime(CLOCK_REALTIME, &rental->record.asked);
    m->rental = rental;
    rental_set_state(f, rental, RP_RENTAL_RECORDING);
    rental_step(f, rental);
}

/* ---- returning ---- */

bool rp_fleet_gone(const struct rp_fleet *f, const char *machine) {
    return rp_gone_machines_has(&f->gone, machine);
}

/* The machine is certainly gone. */
static void machine_gone(struct rp_fleet *f, struct rp_machine *m) {
    struct rp_rental *rental = m->rental;
    refusal_over(f, m);
    rp_gone_machines_add(&f->gone, m->name);
    rp_machine_remove(f->cluster, m);
    if (!rental)
        return;
    const char *names[1];
    if (rental_names(f, rental, names, 1) == 0 &&
        (rental->state == RP_RENTAL_LIVE || rental->state == RP_RENTAL_RECORDING))
        rental_set_state(f, rental, RP_RENTAL_ENDED);
    else
        rental->changed = true;
}

static void deleted(void *arg, const struct rp_answer *answer) {
    struct request *r = arg;
    struct rp_fleet *f = r->f;
    if (!request_current(r))
        goto out;
    f->deleting = false;
    for (size_t i = 0; i < r->n; i++) {
        struct rp_machine *m = rp_machine_find(f->cluster, r->names[i]);
        if (!m)
            continue;
        m->delete_sent = false;
        if (answer->status != 200)
            continue; /* asked again by the tick */
        f->n_returned++;
        machine_gone(f, m);
    }
    if (answer->status == 200 && f->on_changed)
        f->on_changed(f->arg);
out:
    request_free(r);
}

/* The standbys hear of a return before the cloud does: of a machine that is gone without their
 * knowing a new leader would have to think for seconds that tasks may be there. */
static bool may_delete(const struct rp_fleet *f, const struct rp_machine *m, struct timespec now) {
    bool told = !f->settings->tuning.standby || rp_ts_since(now, m->returning_since) > TOLD_S ||
                rp_ts_since(now, f->led_since) < LED_LATELY_S;
    return m->state == RP_MACHINE_RETURNING && !m->delete_sent && told;
}

static void delete_some(struct rp_fleet *f) {
    const char *names[DELETE_MAX];
    struct timespec now = rp_loop_now(f->loop);
    size_t n = 0;
    if (f->deleting || !rp_election_valid(f->election, now))
        return;
    for (struct rp_machine *m = f->cluster->first; m && n < DELETE_MAX; m = m->next)
        if (may_delete(f, m, now)) {
            m->delete_sent = true;
            names[n++] = m->name;
        }
    if (n == 0)
        return;
    struct request *r = request_new(f, NULL);
    r->names = calloc(n, sizeof *r->names);
    if (!r->names)
        abort();
    for (size_t i = 0; i < n; i++)
        strcpy(r->names[i], names[i]);
    r->n = n;
    f->deleting = true;
    rp_cloud_call(f->cloud, RP_CLOUD_URGENT, "POST", RP_PATH_DELETE, rp_wire_delete(names, n),
                  deleted, r);
}

void rp_fleet_return(struct rp_fleet *f, struct rp_machine *m, const char *why) {
    if (m->state == RP_MACHINE_RETURNING)
        return;
    rp_info("machine %s goes back: %s, rented %.0fs ago", m->name, why,
            rp_ts_since(rp_loop_now(f->loop), m->rented));
    rp_machine_set_state(f->cluster, m, RP_MACHINE_RETURNING);
    delete_some(f);
}

/* ---- the cloud's list ---- */

static void list_entry(struct rp_fleet *f, const struct rp_listed *l) {
    struct rp_machine *m = rp_machine_find(f->cluster, l->machine);
    struct timespec now = rp_loop_now(f->loop);
    if (!m && rp_fleet_gone(f, l->machine))
        return;
    if (!m) {
        /* A machine just returned is listed a while longer; a real stray stays. It is adopted once
         * it reports, or returned if it is in no rental under way for long. */
        if (l->age_s > 4 * f->settings->list_lag_s + 60 && rp_ts_since(now, f->led_since) > 30 &&
            l->state != RP_LISTED_FAILED) {
            m = rp_machine_add(f->cluster, l->machine, RP_MACHINE_BOOTING);
            rp_fleet_describe(f, m, l->type, l->zone, l->spot);
            m->rented = rp_ts_sub(now, rp_ts(l->age_s));
            rp_fleet_adopt(f, m);
        }
        return;
    }
    m->list_missing = 0;
    m->listed_failed = l->state == RP_LISTED_FAILED;
    rp_fleet_describe(f, m, l->type, l->zone, l->spot);
    /* The age at the list's time bounds the rental's time from below. */
    struct timespec rented = rp_ts_sub(now, rp_ts(l->age_s + f->settings->list_lag_s));
    if (m->state != RP_MACHINE_BOOTING && rp_ts_cmp(rented, m->rented) < 0 &&
        rp_ts_since(m->rented, rented) > 3 * f->settings->list_lag_s + 2)
        m->rented = rented;
}

static bool silent(const struct rp_fleet *f, const struct rp_machine *m) {
    return m->state != RP_MACHINE_BOOTING &&
           rp_ts_since(rp_loop_now(f->loop), m->last_report) > 1.5 * f->settings->report_s + 0.5;
}

static void list_ended(struct rp_fleet *f) {
    struct timespec now = rp_loop_now(f->loop);
    for (struct rp_machine *m = f->cluster->first; m; m = m->next) {
        /* A machine that has been listed stays listed until it is gone, and an old one has been,
         * but lists come out of order: two in a row must lack it, and the deletion's answer makes
         * it certain. */
        bool missing =
            ++m->list_missing > 2 && rp_ts_since(now, m->rented) > 4 * f->settings->list_lag_s + 5;
        if (m->listed_failed)
            rp_fleet_return(f, m, "failed by the cloud's list");
        else if (missing && (m->state == RP_MACHINE_BOOTING || silent(f, m)))
            rp_fleet_return(f, m, "gone by the cloud's list");
    }
}

static void list_page(struct rp_fleet *f);

static void listed(void *arg, const struct rp_answer *answer) {
    struct request *r = arg;
    struct rp_fleet *f = r->f;
    bool more = false;
    size_t n = 0;
    if (!request_current(r))
        goto out;
    f->listing = false;
    if (answer->status != 200)
        goto out;
    struct rp_listed *list = rp_wire_listed(answer->body, answer->len, &n, &more);
    for (size_t i = 0; list && i < n; i++)
        list_entry(f, &list[i]);
    if (list && n > 0)
        strcpy(f->list_after, list[n - 1].machine);
    free(list);
    if (more && n > 0)
        list_page(f);
    else
        list_ended(f);
out:
    request_free(r);
}

static void list_page(struct rp_fleet *f) {
    char target[RP_TEXT_MAX + 64];
    if (*f->list_after)
        snprintf(target, sizeof target, "%s?from=%s&limit=%d", RP_PATH_MACHINES, f->list_after,
                 LIST_PAGE);
    else
        snprintf(target, sizeof target, "%s?limit=%d", RP_PATH_MACHINES, LIST_PAGE);
    f->listing = true;
    rp_cloud_call(f->cloud, RP_CLOUD_ROUTINE, "GET", target, NULL, listed, request_new(f, NULL));
}

static void list_again(struct rp_fleet *f) {
    struct timespec now = rp_loop_now(f->loop);
    if (f->listing || !rp_ts_reached(now, f->next_list))
        return;
    bool any_silent = false;
    for (const struct rp_machine *m = f->cluster->first; m; m = m->next)
        any_silent |= silent(f, m);
    double pages = ceil((double)(f->cluster->n_machines + 1) / LIST_PAGE);
    double pause =
        fmax(any_silent ? LIST_SILENT_S : LIST_S, pages / (f->settings->cloud_rps * LIST_SHARE));
    f->next_list = rp_ts_after(now, pause);
    f->list_after[0] = '\0';
    list_page(f);
}

static void catalog_came(void *arg, const struct rp_answer *answer) {
    struct request *r = arg;
    struct rp_fleet *f = r->f;
    struct rp_catalog *fresh = calloc(1, sizeof *fresh);
    if (fresh && request_current(r) && answer->status == 200 &&
        rp_wire_catalog(answer->body, answer->len, fresh))
        /* Types keep their indexes, which machines refer to: only prices are taken over. */
        for (size_t i = 0; i < fresh->n_types; i++) {
            int at = type_index(f->catalog, fresh->types[i].name);
            if (at < 0)
                continue;
            f->catalog->types[at].price = fresh->types[i].price;
            f->catalog->types[at].spot_price = fresh->types[i].spot_price;
        }
    free(fresh);
    request_free(r);
}

static void catalog_again(struct rp_fleet *f) {
    struct timespec now = rp_loop_now(f->loop);
    if (!rp_ts_reached(now, f->next_catalog))
        return;
    f->next_catalog = rp_ts_after(now, 30);
    rp_cloud_call(f->cloud, RP_CLOUD_ROUTINE, "GET", RP_PATH_TYPES, NULL, catalog_came,
                  request_new(f, NULL));
}

/* ---- what time does to machines ---- */

/* How long nothing has shown that the machine gets our answers. */
static double answers_lost_for_s(const struct rp_machine *m, struct timespec now) {
    return rp_machine_misses_answers(m) ? rp_ts_since(now, m->answers_lost_since) : 0;
}

/* A leader that the workers can't reach, though the state service can, renews its lease and does
 * nothing for anybody. When most machines fall silent together while leadership was provable all
 * along, it gives the key up: another node may be better placed. It also returns no machine then:
 * they are hardly all gone. */
static void note_newest(struct rp_fleet *f, size_t known, struct timespec newest,
                        struct timespec now) {
    double due = fmax(MUTE_S, MUTE_REPORTS * f->settings->report_s / (double)(known + 1));
    /* Counted in ticks as well: a node that stood still hasn't read what came meanwhile. */
    bool mute = known >= 4 && rp_ts_since(now, newest) > due;
    f->mute_ticks = mute ? f->mute_ticks + 1 : 0;
}

static bool isolated(struct rp_fleet *f, struct timespec now) {
    size_t known = 0, quiet = 0;
    double limit = f->settings->report_s * 1.25 + 2.5;
    struct timespec newest = {0};
    for (const struct rp_machine *m = f->cluster->first; m; m = m->next) {
        if (m->session == 0 || m->noticed || m->state == RP_MACHINE_RETURNING)
            continue;
        known++;
        if (rp_ts_cmp(m->last_report, newest) > 0)
            newest = m->last_report;
        quiet += answers_lost_for_s(m, now) > ANSWERS_LOST_SURE_S ||
                 rp_ts_since(now, m->last_report) > limit;
    }
    bool most = known >= 4 && (double)quiet >= ISOLATED_SHARE * (double)known;
    bool many = known >= 4 && (double)quiet >= DOUBTFUL_SHARE * (double)known;
    note_newest(f, known, newest, now);
    /* A node cut off from everything can't give the key up either: its lease does that. */
    if (!most || rp_state_failing_s(f->state) > 0 ||
        rp_ts_since(now, f->proven_since) < ISOLATED_PROVEN_S)
        f->isolated_since = (struct timespec){0};
    else if (rp_ts_zero(f->isolated_since))
        f->isolated_since = now;
    return many;
}

/* Most machines have been silent for a while, or no report has come at all where twenty were due.
 */
static bool gives_way(const struct rp_fleet *f, struct timespec now) {
    if (rp_state_failing_s(f->state) > 0 || rp_ts_since(now, f->proven_since) < ISOLATED_PROVEN_S)
        return false;
    return f->mute_ticks >= MUTE_TICKS ||
           (!rp_ts_zero(f->isolated_since) && rp_ts_since(now, f->isolated_since) > ISOLATED_S);
}

/* A zone that is cut off comes back with its machines, their images and, after the lease, nothing
 * on them: giving them back and renting anew costs a boot and all fetches, and in the meantime new
 * ones there could not report either. */
static void note_zones(struct rp_fleet *f, struct timespec now) {
    size_t known[RP_ZONES_MAX] = {0}, quiet[RP_ZONES_MAX] = {0};
    double limit = f->settings->report_s * 1.25 + 2.5;
    f->zones_out = 0;
    if (rp_ts_since(now, f->led_since) < limit)
        return; /* after a takeover all are heard of anew */
    for (const struct rp_machine *m = f->cluster->first; m; m = m->next) {
        if (!m->up_recorded || m->zone < 0 || m->noticed || m->state == RP_MACHINE_RETURNING)
            continue;
        known[m->zone]++;
        quiet[m->zone] += rp_ts_since(now, m->last_report) > limit;
    }
    for (int z = 0; z < RP_ZONES_MAX; z++)
        if (known[z] >= 4 && (double)quiet[z] >= ISOLATED_SHARE * (double)known[z]) {
            f->zones_out |= 1u << z;
            f->zone_out_seen[z] = now;
        }
}

/* How long a lost machine is waited for. After a cut its zone's machines come back one by one: the
 * first of them are no reason to give the rest back. */
static double lost_grace_s(const struct rp_fleet *f, const struct rp_machine *m,
                           struct timespec now) {
    bool out = m->zone >= 0 && !rp_ts_zero(f->zone_out_seen[m->zone]) &&
               rp_ts_since(now, f->zone_out_seen[m->zone]) < ZONE_BACK_S;
    bool many = !rp_ts_zero(f->many_lost_seen) && rp_ts_since(now, f->many_lost_seen) < ZONE_BACK_S;
    return out || many ? ZONE_GRACE_S : LOST_GRACE_S;
}

bool rp_fleet_zone_out(const struct rp_fleet *f, int zone) {
    return zone >= 0 && (f->zones_out >> zone & 1);
}

/* A cut of many machines, of one zone or not, passes like a zone's: to give them all back and rent
 * anew costs a boot and every image. What has died is told by the cloud's list within half a
 * minute. */
static void note_many_lost(struct rp_fleet *f, struct timespec now) {
    size_t lost = 0, known = 0;
    for (const struct rp_machine *m = f->cluster->first; m; m = m->next) {
        known += m->state != RP_MACHINE_BOOTING && m->state != RP_MACHINE_RETURNING;
        lost += m->state == RP_MACHINE_LOST;
    }
    if (lost >= MANY_LOST && (double)lost >= MANY_LOST_SHARE * (double)known)
        f->many_lost_seen = now;
}

static void watch_machine(struct rp_fleet *f, struct rp_machine *m, bool cut_off,
                          struct timespec now) {
    double led = rp_ts_since(now, f->led_since);
    double boot = m->type >= 0 ? f->catalog->types[m->type].boot_s : 60;
    rp_task_errors_step(m, now);
    switch (m->state) {
    case RP_MACHINE_UNKNOWN:
    case RP_MACHINE_UP:
        if (rp_ts_reached(now, m->held_until)) {
            rp_machine_set_state(f->cluster, m, RP_MACHINE_LOST);
            f->news = true;
        } else if (!cut_off && rp_machine_misses_answers(m) &&
                   rp_ts_since(now, m->answers_lost_since) > ANSWERS_LOST_RETURN_S)
            rp_fleet_return(f, m, "gets no answers");
        else if (m->noticed && rp_ts_since(now, m->notice_end) > 1 && silent(f, m))
            rp_fleet_return(f, m, "taken back");
        else if (m->state == RP_MACHINE_UP && (m->faulty || m->noticed || m->draining) &&
                 rp_machine_idle(m))
            rp_fleet_return(f, m,
                            m->faulty    ? "faulty"
                            : m->noticed ? "taken back soon"
                                         : "its work fits elsewhere");
        break;
    case RP_MACHINE_LOST:
        if (!cut_off && answers_lost_for_s(m, now) > ANSWERS_LOST_RETURN_S)
            rp_fleet_return(f, m, "gets no answers");
        else if (!cut_off && rp_ts_since(now, m->lost_since) > lost_grace_s(f, m, now) &&
                 led > LOST_GRACE_S)
            rp_fleet_return(f, m, "lost");
        break;
    case RP_MACHINE_BOOTING:
        if (rp_ts_since(now, m->rented) > boot * f->settings->tuning.boot_patience + 5 &&
            led > LOST_GRACE_S)
            rp_fleet_return(f, m, "not up in time");
        break;
    case RP_MACHINE_RETURNING:
        break;
    }
}

/* What ran on a lost machine runs elsewhere from the moment on when its lease is over. */
static double until_lost_s(const struct rp_fleet *f, struct timespec now) {
    double next = TICK_S;
    for (const struct rp_machine *m = f->cluster->first; m; m = m->next) {
        double left = rp_ts_since(m->held_until, now);
        if ((m->state == RP_MACHINE_UP || m->state == RP_MACHINE_UNKNOWN) && left > 0)
            next = fmin(next, left + TICK_LEAST_S / 10);
    }
    return fmax(next, TICK_LEAST_S);
}

static void tick(void *arg) {
    struct rp_fleet *f = arg;
    struct timespec now = rp_loop_now(f->loop);
    rp_timer_set(f->loop, &f->timer, until_lost_s(f, now));
    if (!rp_election_valid(f->election, now)) {
        f->proven_since = (struct timespec){0};
        return;
    }
    if (rp_ts_zero(f->proven_since))
        f->proven_since = now;
    bool cut_off = isolated(f, now);
    note_zones(f, now);
    note_many_lost(f, now);
    if (gives_way(f, now)) {
        rp_info("most machines are silent: another node may reach them");
        rp_election_resign(f->election, STAND_BACK_S);
        return;
    }
    for (struct rp_machine *m = f->cluster->first; m; m = m->next)
        watch_machine(f, m, cut_off, now);
    if (f->news && f->on_changed)
        f->on_changed(f->arg);
    f->news = false;
    delete_some(f);
    for (struct rp_rental *r = f->rentals, *next; r; r = next) {
        next = r->next;
        rental_step(f, r);
    }
    list_again(f);
    catalog_again(f);
}

/* ---- loading ---- */

static void load_page(struct rp_fleet *f, const char *after);

static void load_rental(struct rp_fleet *f, const struct rp_item *item) {
    struct timespec now = rp_loop_now(f->loop), wall;
    struct rp_rental *rental = rental_add(f, item->key + strlen(RP_KEY_RENTAL));
    if (!rp_record_rental_read(item->value, &rental->record)) {
        rp_error("rental record %s can't be read: left alone", item->key);
        rental_free(f, rental);
        return;
    }
    rental->stored = true;
    rental->version = item->version;
    rental->version_known = true;
    if (!rental->record.answered) {
        rental_set_state(f, rental, RP_RENTAL_ASKING);
        return;
    }
    clock_gettime(CLOCK_REALTIME, &wall);
    double age = f->loop->is_virtual ? 0 : rp_ts_since(wall, rental->record.asked);
    for (size_t i = 0; i < rp_record_rental_names(item->value); i++) {
        const char *name = rp_record_rental_name(item->value, i);
        if (!name || rp_machine_find(f->cluster, name))
            continue;
        /* No leader starts anything on a machine before its record says that it is up. */
        bool up = rp_record_rental_up(item->value, name);
        struct rp_machine *m =
            rp_machine_add(f->cluster, name, up ? RP_MACHINE_UNKNOWN : RP_MACHINE_BOOTING);
        m->up_recorded = up;
        m->rental = rental;
        rp_fleet_describe(f, m, rental->record.type, rental->record.zone, rental->record.spot);
        m->rented = rp_ts_sub(now, rp_ts(age > 0 ? age : 0));
        /* No earlier leader can have answered the machine after this node got the key, or, if it
         * was deposed, after the end of what it had renewed. */
        struct timespec last =
            rp_ts_cmp(f->election->cleared_at, now) > 0 ? f->election->cleared_at : now;
        m->held_until = rp_ts_after(last, rp_workers_lease_s(f->settings));
    }
    /* What a split that was cut short has left names nothing that another doesn't. */
    const char *name;
    rental_set_state(f, rental,
                     rental_names(f, rental, &name, 1) ? RP_RENTAL_LIVE : RP_RENTAL_ENDED);
}

static void loaded(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_fleet *f = r->f;
    struct rp_item item = {0};
    bool more = false;
    if (!request_current(r))
        goto out;
    if (result->outcome != RP_STATE_OK) {
        f->on_loaded(f->arg, false);
        goto out;
    }
    size_t n = rp_wire_items(result->body, &more);
    for (size_t i = 0; i < n; i++)
        if (rp_wire_items_at(result->body, i, &item))
            load_rental(f, &item);
    if (more && n > 0) {
        load_page(f, item.key);
        goto out;
    }
    f->led_since = rp_loop_now(f->loop);
    rp_timer_set(f->loop, &f->timer, 0);
    f->on_loaded(f->arg, true);
out:
    request_free(r);
}

static void load_page(struct rp_fleet *f, const char *after) {
    rp_state_list(f->state, RP_SHARE_LEADER, RP_KEY_RENTAL, after, LOAD_PAGE, loaded,
                  request_new(f, NULL));
}

void rp_fleet_load(struct rp_fleet *f) {
    rp_fleet_clear(f);
    f->next_list = (struct timespec){0};
    load_page(f, NULL);
}

void rp_fleet_clear(struct rp_fleet *f) {
    f->generation++;
    f->listing = f->deleting = false;
    f->zones_out = 0;
    f->many_lost_seen = (struct timespec){0};
    memset(f->zone_out_seen, 0, sizeof f->zone_out_seen);
    f->proven_since = f->isolated_since = (struct timespec){0};
    f->mute_ticks = 0;
    memset(f->refusals, 0, sizeof f->refusals);
    rp_timer_cancel(f->loop, &f->timer);
    for (struct rp_machine *m = f->cluster->first; m; m = m->next)
        m->rental = NULL;
    while (f->rentals)
        rental_free(f, f->rentals);
}

void rp_fleet_close(struct rp_fleet *f) {
    rp_fleet_clear(f);
    rp_gone_machines_free(&f->gone);
}
