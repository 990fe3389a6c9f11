#include "jobs/jobs.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "protocol/wire.h"

#define PAGE 1000
#define FOLLOW_HOLD_S 3.0
#define FOLLOW_HOLD_SHARE 0.3 /* of what news may be old */
#define START_NEWS_S 9.0      /* news may be so old for a start */
#define CATCH_UP_S 3.0        /* for the first watch, once the leader's lease is provable again */
#define FLUSH_EVERY_S 0.25
#define FLUSH_MOST 24   /* records of some 2.2 KB each: a transaction may have 64 KiB */
#define FLUSH_AGE_S 2.0 /* progress waits this long for company; a finished job never does */
#define FINISH_ROOM 3.0
#define FINISH_SHARE 0.1
#define FLUSH_HOLD_S 5.0  /* after the service has refused a single record as too large */
#define PROGRESS_FRAME 16 /* bytes of a progress record besides its digits */
#define REV_UNKNOWN UINT64_MAX

/* A request of the table, marked with the leadership it belongs to. */
struct request {
    struct rp_jobs *t;
    unsigned long generation;
    char job[RP_ID_MAX];
    size_t n;
    struct {
        char job[RP_ID_MAX];
        unsigned piece;
        bool unit; /* or a chunk of the first format */
        uint8_t bits[RP_CHUNK_BYTES];
    } * saved;
    struct rp_stored left; /* of a finished job's records, after its own transaction */
    struct rp_stored swept;
};

static struct request *request_new(struct rp_jobs *t) {
    struct request *r = calloc(1, sizeof *r);
    if (!r)
        abort(); /* out of memory: a restart is the honest answer */
    r->t = t;
    r->generation = t->generation;
    return r;
}

static void request_free(struct request *r) {
    free(r->saved);
    free(r);
}

static void tick(void *arg);
static void follow(struct rp_jobs *t);

void rp_jobs_init(struct rp_jobs *t, struct rp_loop *loop, struct rp_state_client *state,
                  struct rp_election *election, const struct rp_upgrade *upgrade,
                  const struct rp_settings *settings) {
    memset(t, 0, sizeof *t);
    t->upgrade = upgrade;
    t->flush_most = FLUSH_MOST;
    t->ops_most = settings->state_fit.txn_ops;
    t->loop = loop;
    t->state = state;
    t->election = election;
    t->settings = settings;
    t->timer = (struct rp_timer){.fn = tick, .arg = t};
}

/* ---- the table ---- */

static size_t bucket_of(const char *id) {
    return (size_t)(rp_text_hash(id) % RP_JOBS_BUCKETS);
}

struct rp_job *rp_jobs_find(const struct rp_jobs *t, const char *id) {
    struct rp_job *job = t->buckets[bucket_of(id)];
    while (job && strcmp(job->spec.id, id) != 0)
        job = job->hash_next;
    return job;
}

static size_t n_chunks(const struct rp_job *job) {
    return (job->spec.n_tasks + RP_CHUNK_TASKS - 1) / RP_CHUNK_TASKS;
}

static size_t n_units(const struct rp_job *job) {
    return (job->spec.n_tasks + RP_UNIT_TASKS - 1) / RP_UNIT_TASKS;
}

/* All units of progress that the job has. (It has at most RP_UNITS_MAX, so they fit a bit set.) */
static uint64_t all_units(const struct rp_job *job) {
    return (UINT64_C(1) << n_units(job)) - 1;
}

/* The revision of a record of progress as last written or read; 0: there is none. */
static uint64_t *saved_rev(struct rp_job *job, unsigned piece, bool unit) {
    return &job->saved_revs[unit ? n_chunks(job) + piece : piece];
}

static void job_free(struct rp_job *job) {
    rp_job_spec_free(&job->spec);
    free(job->saved_revs);
    free(job->done);
    free(job->durable);
    free(job->where);
    free(job);
}

static void table_insert(struct rp_jobs *t, struct rp_job *job) {
    struct rp_job **bucket = &t->buckets[bucket_of(job->spec.id)];
    job->hash_next = *bucket;
    *bucket = job;
    struct rp_job *after = t->last;
    while (after && rp_ts_cmp(after->accepted, job->accepted) > 0)
        after = after->prev;
    job->prev = after;
    job->next = after ? after->next : t->first;
    if (job->next)
        job->next->prev = job;
    else
        t->last = job;
    if (after)
        after->next = job;
    else
        t->first = job;
    t->n_jobs++;
}

static void table_remove(struct rp_jobs *t, struct rp_job *job) {
    struct rp_job **at = &t->buckets[bucket_of(job->spec.id)];
    while (*at != job)
        at = &(*at)->hash_next;
    *at = job->hash_next;
    if (job->prev)
        job->prev->next = job->next;
    else
        t->first = job->next;
    if (job->next)
        job->next->prev = job->prev;
    else
        t->last = job->prev;
    t->n_jobs--;
}

static struct rp_job *job_add(struct rp_jobs *t, json_t *value, uint64_t version) {
    struct rp_job *job = calloc(1, sizeof *job);
    struct timespec wall;
    if (!job || !rp_record_open_read(value, &job->spec, &job->accepted)) {
        free(job);
        return NULL;
    }
    size_t bytes = (job->spec.n_tasks + 7) / 8;
    clock_gettime(CLOCK_REALTIME, &wall);
    job->version = job->created = version;
    job->known = rp_loop_now(t->loop);
    job->age_at_known_s = t->loop->is_virtual ? 0 : rp_ts_since(wall, job->accepted);
    if (job->age_at_known_s < 0)
        job->age_at_known_s = 0;
    job->image_hash = rp_text_hash(job->spec.image);
    job->team = rp_settings_team(t->settings, job->spec.team);
    job->done = calloc(1, bytes);
    job->durable = calloc(1, bytes);
    job->saved_revs = calloc(n_chunks(job) + n_units(job), sizeof *job->saved_revs);
    if (!job->done || !job->durable || !job->saved_revs) {
        job_free(job);
        return NULL;
    }
    table_insert(t, job);
    t->n_services += job->spec.kind == RP_SERVICE;
    return job;
}

/* The one place where a job changes its state. */
static void job_set_state(struct rp_jobs *t, struct rp_job *job, enum rp_job_state state) {
    job->state = state;
    if (state != RP_JOB_CLOSED)
        return;
    t->n_services -= job->spec.kind == RP_SERVICE;
    /* Dropping the last allocation frees a closed job: held until the stops are through. */
    job->n_refs++;
    if (t->on_closed)
        t->on_closed(t->arg, job);
    rp_jobs_release(t, job);
}

void rp_jobs_release(struct rp_jobs *t, struct rp_job *job) {
    job->n_refs--;
    if (job->state == RP_JOB_CLOSED && job->n_refs == 0) {
        table_remove(t, job);
        job_free(job);
    }
}

static void pending_free(struct rp_pending *p) {
    json_decref(p->record);
    free(p);
}

void rp_jobs_clear(struct rp_jobs *t) {
    t->generation++;
    t->active = t->reading_parts = t->sweeping = t->loading = false;
    t->catching_up = t->refused = false;
    t->provable_since = (struct timespec){0};
    t->n_services = 0;
    while (t->sweeps) {
        struct rp_sweep *sweep = t->sweeps;
        t->sweeps = sweep->next;
        free(sweep);
    }
    while (t->pending) {
        struct rp_pending *p = t->pending;
        t->pending = p->next;
        pending_free(p);
    }
    rp_timer_cancel(t->loop, &t->timer);
    for (struct rp_job *job = t->first, *next; job; job = next) {
        next = job->next;
        job_free(job);
    }
    memset(t->buckets, 0, sizeof t->buckets);
    t->first = t->last = NULL;
    t->n_jobs = 0;
}

double rp_jobs_stale_s(const struct rp_jobs *t) {
    return rp_ts_since(rp_loop_now(t->loop), t->synced);
}

bool rp_jobs_may_answer(const struct rp_jobs *t) {
    return rp_jobs_stale_s(t) < rp_settings_news_s(t->settings);
}

bool rp_jobs_may_start(const struct rp_jobs *t) {
    return t->watched && !t->refused && rp_jobs_stale_s(t) < START_NEWS_S && rp_jobs_may_answer(t);
}

void rp_jobs_note_refused(struct rp_jobs *t) {
    if (t->active && !t->refused)
        rp_info("the state service answers other nodes, not this one: no more starts");
    t->refused = t->active;
}

double rp_job_age_s(const struct rp_job *job, struct timespec now) {
    return job->age_at_known_s + rp_ts_since(now, job->known);
}

/* ---- loading ---- */

static void list_open(struct rp_jobs *t, const char *after);
static void list_progress(struct rp_jobs *t, const char *after);

static bool request_current(const struct request *r) {
    return r->generation == r->t->generation;
}

static void load_failed(struct rp_jobs *t) {
    t->generation++;
    t->on_loaded(t->arg, false);
}

/* Whether a page of a list came, and is still wanted. */
static bool page_came(const struct request *r, const struct rp_state_result *result) {
    if (!request_current(r))
        return false;
    if (result->outcome != RP_STATE_OK)
        load_failed(r->t);
    return result->outcome == RP_STATE_OK;
}

/* ---- records that no job needs any more ---- */

static bool stored_any(const struct rp_stored *s) {
    return s->chunks || s->units || s->parts;
}

static void sweep_later(struct rp_jobs *t, const char *job, const struct rp_stored *stored) {
    struct rp_sweep **at = &t->sweeps;
    if (!stored_any(stored))
        return;
    for (; *at; at = &(*at)->next)
        if (strcmp((*at)->job, job) == 0)
            break;
    if (!*at) {
        *at = calloc(1, sizeof **at);
        if (!*at)
            abort(); /* out of memory: a restart is the honest answer */
        strcpy((*at)->job, job);
    }
    (*at)->stored.chunks |= stored->chunks;
    (*at)->stored.units |= stored->units;
    (*at)->stored.parts |= stored->parts;
}

/* Adds deletions up to the transaction's limit, and takes them off the set. */
static void delete_stored(json_t *txn, const char *job, struct rp_stored *stored, size_t most) {
    char key[RP_KEY_MAX];
    for (unsigned i = 0; i < 64 && rp_wire_txn_ops(txn) < most; i++)
        if (i < 32 && (stored->chunks >> i & 1)) {
            rp_key_progress(key, job, i);
            rp_wire_txn_delete(txn, key);
            stored->chunks &= ~(UINT32_C(1) << i);
        }
    for (unsigned i = 0; i < 64 && rp_wire_txn_ops(txn) < most; i++)
        if (stored->units >> i & 1) {
            rp_key_unit(key, job, i);
            rp_wire_txn_delete(txn, key);
            stored->units &= ~(UINT64_C(1) << i);
        }
    for (unsigned i = 0; i < 64 && rp_wire_txn_ops(txn) < most; i++)
        if (stored->parts >> i & 1) {
            rp_key_part(key, job, i);
            rp_wire_txn_delete(txn, key);
            stored->parts &= ~(UINT64_C(1) << i);
        }
}

/* The service refused a transaction whose values are none or tiny: fewer changes in the next. What
 * has to be atomic, a job's move, takes two, and always goes. */
static void fewer_ops(struct rp_jobs *t) {
    t->ops_most = t->ops_most > 2 ? t->ops_most / 2 : 1;
    rp_error("state service takes fewer changes at once than told: now %zu", t->ops_most);
}

static void swept(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    struct rp_sweep *sweep = t->sweeps;
    if (!request_current(r))
        goto out;
    t->sweeping = false;
    if (!sweep || strcmp(sweep->job, r->job) != 0)
        goto out;
    if (result->outcome == RP_STATE_OK) {
        sweep->stored.chunks &= ~r->swept.chunks;
        sweep->stored.units &= ~r->swept.units;
        sweep->stored.parts &= ~r->swept.parts;
    } else if (result->outcome == RP_STATE_BAD) {
        fewer_ops(t);
    } else if (result->outcome == RP_STATE_CONFLICT) {
        /* The job is there after all, or somebody else leads: nothing of it may go. */
        sweep->stored = (struct rp_stored){0};
    }
    if (!stored_any(&sweep->stored)) {
        t->sweeps = sweep->next;
        free(sweep);
    }
out:
    request_free(r);
}

/* One transaction of deletions, on the condition that the job is not open. */
static void sweep_some(struct rp_jobs *t) {
    struct rp_sweep *sweep = t->sweeps;
    char key[RP_KEY_MAX];
    double room = rp_state_room(t->state, RP_SHARE_LEADER);
    if (!sweep || t->sweeping || room < 1)
        return;
    struct request *r = request_new(t);
    json_t *txn = rp_wire_txn();
    struct rp_stored left = sweep->stored;
    strcpy(r->job, sweep->job);
    rp_election_guard(t->election, txn);
    rp_key(key, RP_KEY_OPEN, sweep->job);
    rp_wire_txn_if(txn, key, 0);
    delete_stored(txn, sweep->job, &left, room < (double)t->ops_most ? (size_t)room : t->ops_most);
    r->swept = (struct rp_stored){.chunks = sweep->stored.chunks & ~left.chunks,
                                  .units = sweep->stored.units & ~left.units,
                                  .parts = sweep->stored.parts & ~left.parts};
    t->sweeping = true;
    rp_state_txn(t->state, RP_SHARE_LEADER, txn, swept, r);
}

/* ---- loading, continued ---- */

/* Whether a record may be read; one that can't be is logged, left alone, and harms no other. */
static void unreadable(struct rp_jobs *t, const char *key, const json_t *v) {
    t->n_unreadable++;
    if (rp_record_format(v) > RP_FORMAT)
        rp_error("record %s is of format %u, later than %d: left alone", key, rp_record_format(v),
                 RP_FORMAT);
    else
        rp_error("record %s can't be read: left alone", key);
}

static void read_progress(struct rp_jobs *t, const struct rp_item *item) {
    char id[RP_ID_MAX];
    unsigned piece;
    bool unit;
    if (!rp_key_progress_read(item->key, id, &piece, &unit))
        return;
    struct rp_job *job = rp_jobs_find(t, id);
    struct rp_stored stored = {.chunks = unit ? 0 : UINT32_C(1) << piece,
                               .units = unit ? UINT64_C(1) << piece : 0};
    if (!job) {
        sweep_later(t, id, &stored);
        return;
    }
    size_t span = unit ? RP_UNIT_BYTES : RP_CHUNK_BYTES;
    size_t bytes = (job->spec.n_tasks + 7) / 8, at = piece * span;
    if (at >= bytes)
        return;
    size_t len = bytes - at < span ? bytes - at : span;
    if (!rp_record_progress_read(item->value, job->durable + at, len)) {
        unreadable(t, item->key, item->value);
        return;
    }
    *saved_rev(job, piece, unit) = item->version;
    job->stored.chunks |= stored.chunks;
    job->stored.units |= stored.units;
}

static void loaded(struct rp_jobs *t) {
    for (struct rp_job *job = t->first; job; job = job->next) {
        /* A replica is never done, whatever a node of the first format has written. */
        if (job->spec.kind == RP_SERVICE)
            continue;
        memcpy(job->done, job->durable, (job->spec.n_tasks + 7) / 8);
        for (uint32_t i = 0; i < job->spec.n_tasks; i++)
            job->n_done += rp_job_task_done(job, i);
        if (job->n_done == job->spec.n_tasks)
            job_set_state(t, job, RP_JOB_FINISHING);
    }
    t->active = true;
    t->loading = false;
    rp_timer_set(t->loop, &t->timer, FLUSH_EVERY_S);
    follow(t);
    t->on_loaded(t->arg, true);
}

static void got_progress(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    bool more = false;
    struct rp_item item = {0};
    if (!page_came(r, result))
        goto out;
    size_t n = rp_wire_items(result->body, &more);
    for (size_t i = 0; i < n; i++)
        if (rp_wire_items_at(result->body, i, &item))
            read_progress(t, &item);
    if (more && n > 0)
        list_progress(t, item.key);
    else
        loaded(t);
out:
    request_free(r);
}

static void list_progress(struct rp_jobs *t, const char *after) {
    rp_state_list(t->state, RP_SHARE_LEADER, RP_KEY_PROGRESS, after, PAGE, got_progress,
                  request_new(t));
}

/* ---- records in parts ---- */

static void read_next_parts(struct rp_jobs *t);

static void later_parts(struct rp_jobs *t, const struct rp_item *item) {
    struct rp_pending **at = &t->pending, *p = calloc(1, sizeof *p);
    if (!p)
        abort(); /* out of memory: a restart is the honest answer */
    snprintf(p->job, sizeof p->job, "%s", item->key + strlen(RP_KEY_OPEN));
    p->record = json_incref(item->value);
    p->version = item->version;
    while (*at)
        at = &(*at)->next;
    *at = p;
}

static struct rp_pending *pending_find(const struct rp_jobs *t, const char *job) {
    struct rp_pending *p = t->pending;
    while (p && (p->gone || strcmp(p->job, job) != 0))
        p = p->next;
    return p;
}

/* The job's record from its first piece and the parts listed, or NULL. */
static json_t *put_together(const struct rp_pending *p, json_t *body) {
    json_t *pieces[RP_PARTS_MAX] = {p->record};
    size_t want = rp_record_parts(p->record), found = 0;
    bool more;
    size_t n = rp_wire_items(body, &more);
    for (size_t i = 0; i < n; i++) {
        char id[RP_ID_MAX];
        unsigned part;
        struct rp_item item;
        if (rp_wire_items_at(body, i, &item) && rp_key_part_read(item.key, id, &part) &&
            strcmp(id, p->job) == 0 && part >= 1 && part <= want && !pieces[part]) {
            pieces[part] = item.value;
            found++;
        }
    }
    return found == want ? rp_record_join(pieces, want + 1) : NULL;
}

static void take_pending(struct rp_jobs *t, struct rp_pending *p, json_t *body) {
    char key[RP_KEY_MAX];
    json_t *whole = put_together(p, body);
    struct rp_job *job = whole ? job_add(t, whole, p->version) : NULL;
    json_decref(whole);
    if (job) {
        job->stored.parts = ((UINT64_C(1) << rp_record_parts(p->record)) - 1) << 1;
        return;
    }
    rp_key(key, RP_KEY_OPEN, p->job);
    unreadable(t, key, p->record);
}

static void got_parts(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    if (!request_current(r))
        goto out;
    t->reading_parts = false;
    if (result->outcome != RP_STATE_OK) {
        if (t->loading)
            load_failed(t); /* else the tick tries again */
        goto out;
    }
    struct rp_pending *p = t->pending;
    t->pending = p->next;
    bool news = !p->gone;
    if (!p->gone)
        take_pending(t, p, result->body);
    pending_free(p);
    read_next_parts(t);
    if (news && t->active && t->on_changed)
        t->on_changed(t->arg);
out:
    request_free(r);
}

/* While loading, the progress comes once all parts are there: a job that isn't known when its
 * machines report has its tasks stopped. */
static void read_next_parts(struct rp_jobs *t) {
    char prefix[RP_KEY_MAX];
    if (t->reading_parts)
        return;
    if (!t->pending) {
        if (t->loading)
            list_progress(t, NULL);
        return;
    }
    snprintf(prefix, sizeof prefix, "%s%s/", RP_KEY_PART, t->pending->job);
    t->reading_parts = true;
    rp_state_list(t->state, RP_SHARE_LEADER, prefix, NULL, RP_PARTS_MAX, got_parts, request_new(t));
}

/* ---- jobs that are open ---- */

static void take_open(struct rp_jobs *t, const struct rp_item *item) {
    if (rp_record_format(item->value) <= RP_FORMAT && rp_record_parts(item->value)) {
        later_parts(t, item);
        return;
    }
    struct rp_job *job = job_add(t, item->value, item->version);
    if (job)
        rp_debug("job %s known, class=%s tasks=%u", job->spec.id, job->spec.class_name,
                 job->spec.n_tasks);
    else
        unreadable(t, item->key, item->value);
}

static bool is_fence(const struct rp_item *item) {
    return strcmp(item->key, RP_KEY_FENCE) == 0;
}

static void got_open(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    bool more = false;
    struct rp_item item = {0};
    if (!page_came(r, result))
        goto out;
    /* The watch starts at the first page's revision: what changes between the pages comes again
     * through it, in order. */
    if (t->revision == 0)
        t->revision = rp_wire_revision(result->body);
    size_t n = rp_wire_items(result->body, &more);
    for (size_t i = 0; i < n; i++) {
        if (!rp_wire_items_at(result->body, i, &item))
            continue;
        if (is_fence(&item))
            rp_election_note_fence(t->election, item.version);
        else if (!rp_jobs_find(t, item.key + strlen(RP_KEY_OPEN)))
            take_open(t, &item);
    }
    if (!request_current(r))
        goto out;
    /* A later page may hold jobs that were accepted after a takeover from this leader, whose fence
     * came too late for the first page: the watch shows it. */
    t->catching_up |= more;
    t->watched &= !more;
    if (more && n > 0)
        list_open(t, item.key);
    else
        read_next_parts(t);
out:
    request_free(r);
}

static void list_open(struct rp_jobs *t, const char *after) {
    rp_state_list(t->state, RP_SHARE_LEADER, RP_KEY_OPEN, after, PAGE, got_open, request_new(t));
}

void rp_jobs_load(struct rp_jobs *t) {
    rp_jobs_clear(t);
    t->revision = 0;
    t->loading = t->watched = true;
    t->synced = rp_loop_now(t->loop);
    list_open(t, NULL);
}

/* ---- the watch ---- */

static void apply(struct rp_jobs *t, const struct rp_item *event) {
    const char *id = event->key + strlen(RP_KEY_OPEN);
    struct rp_job *job = rp_jobs_find(t, id);
    struct rp_pending *p = pending_find(t, id);
    if (event->value && !job && !p) {
        take_open(t, event);
    } else if (event->value) {
        *(job ? &job->version : &p->version) = event->version;
    } else if (p) {
        struct rp_stored parts = {.parts = ((UINT64_C(1) << rp_record_parts(p->record)) - 1) << 1};
        p->gone = true;
        sweep_later(t, id, &parts);
    } else if (job && job->state != RP_JOB_CLOSED) {
        rp_info("job %s is over%s", job->spec.id,
                job->state == RP_JOB_FINISHING ? "" : ": cancelled");
        /* What was about to be written of its progress may still arrive. */
        if (job->state == RP_JOB_OPEN)
            sweep_later(t, job->spec.id, &job->stored);
        job_set_state(t, job, RP_JOB_CLOSED);
    }
}

static void followed(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    if (!request_current(r) || !t->active)
        goto out;
    if (result->outcome == RP_STATE_OK && result->body) {
        size_t n = rp_wire_events(result->body);
        /* Before anything else of the answer: jobs that come with a fence are the next leader's. */
        for (size_t i = 0; i < n; i++) {
            struct rp_item event;
            if (rp_wire_event_at(result->body, i, &event) && is_fence(&event))
                rp_election_note_fence(t->election, event.version);
        }
        if (!request_current(r))
            goto out;
        for (size_t i = 0; i < n; i++) {
            struct rp_item event;
            if (rp_wire_event_at(result->body, i, &event) && !is_fence(&event) &&
                strncmp(event.key, RP_KEY_OPEN, strlen(RP_KEY_OPEN)) == 0)
                apply(t, &event);
        }
        t->watched = true;
        read_next_parts(t);
        uint64_t revision = rp_wire_revision(result->body);
        if (revision > t->revision)
            t->revision = revision;
        t->synced = t->follow_sent;
        t->catching_up = t->refused = false;
        follow(t);
        if (n > 0 && t->on_changed)
            t->on_changed(t->arg);
    } else if (result->outcome == RP_STATE_GONE) {
        /* The watch fell too far behind: the table has to be read again, and with it the cluster
         * state of who may be where. Under the same token old copies of reports would pass for news
         * there, and attempt numbers for new ones: another term begins. */
        rp_election_resign(t->election, 0);
    } else {
        t->follow_sent = (struct timespec){0}; /* the tick starts it again */
        t->catching_up = true;
    }
out:
    request_free(r);
}

/* After a failure the first watch is answered at once, with all that was written meanwhile: workers
 * wait for it. */
static void follow(struct rp_jobs *t) {
    double hold = fmin(FOLLOW_HOLD_S, FOLLOW_HOLD_SHARE * rp_settings_news_s(t->settings));
    t->follow_sent = rp_loop_now(t->loop);
    rp_state_follow(t->state, RP_KEY_OPEN, t->revision, t->catching_up ? 0 : hold, followed,
                    request_new(t));
}

/* ---- making results durable ---- */

bool rp_job_task_done(const struct rp_job *job, uint32_t task) {
    return job->done[task / 8] >> (task % 8) & 1;
}

unsigned rp_job_allocations(const struct rp_job *job, uint32_t task) {
    return job->where ? job->where[task] : 0;
}

void rp_job_count_allocation(struct rp_job *job, uint32_t task, int sign) {
    if (!job->where)
        job->where = calloc(1, job->spec.n_tasks);
    if (!job->where)
        abort(); /* out of memory: a restart is the honest answer */
    job->where[task] = (uint8_t)(job->where[task] + sign);
    job->n_counted += (uint32_t)sign;
    /* Jobs that wait may have 100,000 tasks each, and there may be many of them. */
    if (job->n_counted == 0) {
        free(job->where);
        job->where = NULL;
    }
}

bool rp_job_task_durable(const struct rp_job *job, uint32_t task) {
    return job->state == RP_JOB_CLOSED || job->spec.kind == RP_SERVICE ||
           (job->durable[task / 8] >> (task % 8) & 1);
}

static void mark_done(struct rp_jobs *t, struct rp_job *job, uint32_t task) {
    if (rp_job_task_done(job, task))
        return;
    job->done[task / 8] |= (uint8_t)(1u << (task % 8));
    job->n_done++;
    if (!job->dirty)
        job->dirty_since = rp_loop_now(t->loop);
    job->dirty |= UINT64_C(1) << (task / RP_UNIT_TASKS);
}

static void finish(struct rp_jobs *t, struct rp_job *job);

void rp_jobs_task_done(struct rp_jobs *t, struct rp_job *job, uint32_t task) {
    /* A service's replica is never done, whatever it says when it ends. */
    if (job->state != RP_JOB_OPEN || job->spec.kind == RP_SERVICE)
        return;
    if (job->spec.kind == RP_GANG)
        for (uint32_t i = 0; i < job->spec.n_tasks; i++)
            mark_done(t, job, i);
    else
        mark_done(t, job, task);
    if (job->n_done == job->spec.n_tasks) {
        job_set_state(t, job, RP_JOB_FINISHING);
        finish(t, job);
    }
}

static void finished(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    struct rp_job *job = request_current(r) ? rp_jobs_find(t, r->job) : NULL;
    if (!job || job->state != RP_JOB_FINISHING)
        goto out;
    job->writing = false;
    if (result->outcome == RP_STATE_OK) {
        rp_info("job %s is done, tasks=%u age=%.1fs", job->spec.id, job->spec.n_tasks,
                rp_job_age_s(job, rp_loop_now(t->loop)));
        sweep_later(t, job->spec.id, &r->left);
        job_set_state(t, job, RP_JOB_CLOSED);
    } else if (result->outcome == RP_STATE_CONFLICT &&
               rp_wire_failed_key(result->body, RP_KEY_LEADER)) {
        rp_election_doubt(t->election);
    } else if (result->outcome == RP_STATE_BAD) {
        fewer_ops(t);
        job->flush_held = rp_ts_after(rp_loop_now(t->loop), FLUSH_HOLD_S);
    }
    /* Another conflict means that the job was cancelled, or that an unanswered try went through:
     * the watch tells. Anything else is tried again by the tick. */
out:
    request_free(r);
}

static void finish(struct rp_jobs *t, struct rp_job *job) {
    struct timespec now = rp_loop_now(t->loop);
    if (job->writing || !rp_election_valid(t->election, now) ||
        !rp_ts_reached(now, job->flush_held))
        return;
    struct request *r = request_new(t);
    char key[RP_KEY_MAX];
    json_t *txn = rp_wire_txn();
    strcpy(r->job, job->spec.id);
    job->writing = true;
    rp_election_guard(t->election, txn);
    rp_key(key, RP_KEY_OPEN, job->spec.id);
    rp_wire_txn_if(txn, key, job->version);
    rp_wire_txn_delete(txn, key);
    rp_key(key, RP_KEY_OVER, job->spec.id);
    rp_wire_txn_put(txn, key, rp_jobs_mark(t, rp_record_over(RP_JOB_DONE)), 0);
    /* The move itself is atomic; the records that nobody reads any more go as they fit, with it or
     * after it. */
    r->left = job->stored;
    delete_stored(txn, job->spec.id, &r->left, t->ops_most);
    rp_state_txn(t->state, RP_SHARE_LEADER, txn, finished, r);
}

json_t *rp_jobs_mark(const struct rp_jobs *t, json_t *record) {
    return rp_upgrade_active(t->upgrade) ? rp_record_mark(record) : record;
}

/* The units that a piece covers. */
static uint64_t units_of(unsigned piece, bool unit) {
    return unit ? UINT64_C(1) << piece
                : ((UINT64_C(1) << RP_CHUNK_UNITS) - 1) << (piece * RP_CHUNK_UNITS);
}

/* A record was refused for its size, or a transaction for its length, though all should fit: the
 * limits are lower than told. Less at a time, and never the same again at once. */
static void refused_as_large(struct rp_jobs *t, const struct request *r) {
    struct timespec now = rp_loop_now(t->loop);
    if (r->n > 1) {
        t->flush_most = r->n / 2;
        return;
    }
    struct rp_job *job = rp_jobs_find(t, r->saved[0].job);
    if (job)
        job->flush_held = rp_ts_after(now, FLUSH_HOLD_S);
}

static void piece_key(char key[RP_KEY_MAX], const char *job, unsigned piece, bool unit) {
    if (unit)
        rp_key_unit(key, job, piece);
    else
        rp_key_progress(key, job, piece);
}

/* Each write carries the revision of what it replaces: carried out seconds late, after a newer one,
 * it took results away whose workers had forgotten them. After a lost answer, or a conflict with a
 * write whose answer was lost, the revision has to be read. */
static void doubt_saved(struct rp_job *job, unsigned piece, bool unit,
                        const struct rp_state_result *result) {
    char key[RP_KEY_MAX];
    piece_key(key, job->spec.id, piece, unit);
    if (result->outcome == RP_STATE_UNKNOWN ||
        (result->outcome == RP_STATE_CONFLICT && rp_wire_failed_key(result->body, key)))
        *saved_rev(job, piece, unit) = REV_UNKNOWN;
}

static void note_stored(struct rp_job *job, unsigned piece, bool unit) {
    if (unit)
        job->stored.units |= UINT64_C(1) << piece;
    else
        job->stored.chunks |= UINT32_C(1) << piece;
}

static void saved_read(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    struct rp_job *job = request_current(r) ? rp_jobs_find(t, r->saved[0].job) : NULL;
    struct rp_item item;
    if (!job || job->state == RP_JOB_CLOSED)
        goto out;
    unsigned piece = r->saved[0].piece;
    bool unit = r->saved[0].unit;
    job->flushing &= ~units_of(piece, unit);
    if (result->outcome == RP_STATE_MISSING)
        *saved_rev(job, piece, unit) = 0;
    else if (result->outcome == RP_STATE_OK && rp_wire_item(result->body, &item))
        *saved_rev(job, piece, unit) = item.version;
    note_stored(job, piece, unit);
    job->dirty_since = (struct timespec){0}; /* it has waited long enough */
out:
    request_free(r);
}

static void read_saved(struct rp_jobs *t, struct rp_job *job, unsigned piece, bool unit) {
    struct request *r = request_new(t);
    char key[RP_KEY_MAX];
    r->saved = calloc(1, sizeof *r->saved);
    if (!r->saved)
        abort(); /* out of memory: a restart is the honest answer */
    strcpy(r->saved[0].job, job->spec.id);
    r->saved[0].piece = piece;
    r->saved[0].unit = unit;
    job->flushing |= units_of(piece, unit);
    piece_key(key, job->spec.id, piece, unit);
    rp_state_get(t->state, RP_SHARE_LEADER, key, saved_read, r);
}

static void flushed(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    if (!request_current(r))
        goto out;
    for (size_t i = 0; i < r->n; i++) {
        struct rp_job *job = rp_jobs_find(t, r->saved[i].job);
        unsigned piece = r->saved[i].piece;
        bool unit = r->saved[i].unit;
        struct rp_stored stored = {.chunks = unit ? 0 : UINT32_C(1) << piece,
                                   .units = unit ? UINT64_C(1) << piece : 0};
        if (!job || job->state == RP_JOB_CLOSED) {
            if (result->outcome == RP_STATE_OK || result->outcome == RP_STATE_UNKNOWN)
                sweep_later(t, r->saved[i].job, &stored);
            continue;
        }
        job->flushing &= ~units_of(piece, unit);
        if (result->outcome != RP_STATE_OK) {
            /* A chunk covers units that a small job doesn't have: written as such after the
             * activation, they were read and written beyond the job's memory. */
            job->dirty |= units_of(piece, unit) & all_units(job);
            doubt_saved(job, piece, unit, result);
            if (result->outcome == RP_STATE_UNKNOWN)
                note_stored(job, piece, unit); /* it may have been written */
            continue;
        }
        *saved_rev(job, piece, unit) = rp_wire_revision(result->body);
        size_t span = unit ? RP_UNIT_BYTES : RP_CHUNK_BYTES;
        size_t at = piece * span, bytes = (job->spec.n_tasks + 7) / 8;
        for (size_t b = 0; b < span && at + b < bytes; b++)
            job->durable[at + b] |= r->saved[i].bits[b];
        note_stored(job, piece, unit);
    }
    if (result->outcome == RP_STATE_CONFLICT && rp_wire_failed_key(result->body, RP_KEY_LEADER))
        rp_election_doubt(t->election);
    if (result->outcome == RP_STATE_BAD)
        refused_as_large(t, r);
    else if (result->outcome == RP_STATE_OK && t->flush_most < FLUSH_MOST)
        t->flush_most++;
out:
    request_free(r);
}

static void flush_piece(struct rp_jobs *t, struct request *r, json_t *txn, struct rp_job *job,
                        unsigned piece, bool unit) {
    char key[RP_KEY_MAX];
    size_t span = unit ? RP_UNIT_BYTES : RP_CHUNK_BYTES, at = piece * span;
    size_t bytes = (job->spec.n_tasks + 7) / 8 - at;
    bytes = bytes < span ? bytes : span;
    strcpy(r->saved[r->n].job, job->spec.id);
    r->saved[r->n].piece = piece;
    r->saved[r->n].unit = unit;
    memcpy(r->saved[r->n].bits, job->done + at, bytes);
    r->n++;
    piece_key(key, job->spec.id, piece, unit);
    rp_wire_txn_if(txn, key, *saved_rev(job, piece, unit));
    rp_wire_txn_put(txn, key, rp_jobs_mark(t, rp_record_progress(job->done + at, bytes)), 0);
    job->dirty &= ~units_of(piece, unit);
    job->flushing |= units_of(piece, unit);
}

/* Until every node reads units, progress goes into the chunks that all of them know; where one
 * doesn't fit, it waits for the activation. */
static void flush_job(struct rp_jobs *t, struct request *r, json_t *txn, struct rp_job *job,
                      size_t most) {
    bool unit = rp_upgrade_active(t->upgrade);
    unsigned n = unit ? RP_UNITS_MAX : (RP_UNITS_MAX + RP_CHUNK_UNITS - 1) / RP_CHUNK_UNITS;
    uint64_t due = job->dirty & ~job->flushing;
    size_t bytes = (job->spec.n_tasks + 7) / 8;
    if (!unit && (double)(2 * (bytes < RP_CHUNK_BYTES ? bytes : RP_CHUNK_BYTES) + PROGRESS_FRAME) >
                     t->settings->state.value_kb * 1024)
        return;
    for (unsigned p = 0; p < n && r->n < most; p++)
        if (!(due & units_of(p, unit)) || job->flushing & units_of(p, unit))
            continue;
        else if (*saved_rev(job, p, unit) == REV_UNKNOWN)
            read_saved(t, job, p, unit);
        else
            flush_piece(t, r, txn, job, p, unit);
}

/* Writes the progress that has waited longest, as many records together as a transaction and the
 * budget take: the more there is, the fuller the transactions. */
static void flush(struct rp_jobs *t) {
    struct timespec now = rp_loop_now(t->loop);
    /* Some is left for finishing jobs; where few changes a second are allowed, less of it. */
    double room = rp_state_room(t->state, RP_SHARE_LEADER) -
                  fmin(FINISH_ROOM, t->settings->state_fit.write_rps * FINISH_SHARE);
    size_t limit = t->settings->state_fit.txn_ops;
    size_t most = limit < t->flush_most ? limit : t->flush_most;
    if (room < 1)
        return;
    if ((double)most > room)
        most = (size_t)room;
    struct request *r = request_new(t);
    json_t *txn = rp_wire_txn();
    r->saved = calloc(most, sizeof *r->saved);
    if (!r->saved)
        abort();
    rp_election_guard(t->election, txn);
    for (struct rp_job *job = t->first; job && r->n < most; job = job->next) {
        if (job->state != RP_JOB_OPEN || !job->dirty || !rp_ts_reached(now, job->flush_held) ||
            rp_ts_since(now, job->dirty_since) < FLUSH_AGE_S)
            continue;
        flush_job(t, r, txn, job, most);
        job->dirty_since = now;
    }
    if (r->n > 0) {
        rp_state_txn(t->state, RP_SHARE_LEADER, txn, flushed, r);
    } else {
        json_decref(txn);
        request_free(r);
    }
}

static void tick(void *arg) {
    struct rp_jobs *t = arg;
    struct rp_job *next;
    struct timespec now = rp_loop_now(t->loop);
    rp_timer_set(t->loop, &t->timer, FLUSH_EVERY_S);
    if (t->follow_sent.tv_sec == 0 && t->follow_sent.tv_nsec == 0)
        follow(t);
    if (!rp_election_valid(t->election, now)) {
        t->provable_since = (struct timespec){0};
        return;
    }
    if (rp_ts_zero(t->provable_since))
        t->provable_since = now;
    /* A leader whose lease is renewed but who hears of no cancellation answers no worker: somebody
     * else has to lead. After an outage it has a moment to catch up. */
    if (!rp_jobs_may_answer(t) && rp_ts_since(now, t->provable_since) > CATCH_UP_S) {
        rp_election_resign(t->election, 5);
        return;
    }
    for (struct rp_job *job = t->first; job; job = next) {
        next = job->next;
        if (job->state == RP_JOB_FINISHING)
            finish(t, job);
    }
    flush(t);
    sweep_some(t);
    read_next_parts(t);
}

/* ---- what run times teach ---- */

static struct rp_class_stats *class_stats(struct rp_jobs *t, const char *name) {
    for (size_t i = 0; i < t->n_classes; i++)
        if (strcmp(t->classes[i].name, name) == 0)
            return &t->classes[i];
    if (t->n_classes == RP_CLASSES_MAX) {
        if (t->n_over_bounds++ == 0)
            rp_error("over %d classes of jobs: class %s learns nothing", RP_CLASSES_MAX, name);
        return NULL;
    }
    struct rp_class_stats *c = &t->classes[t->n_classes++];
    memset(c, 0, sizeof *c);
    strcpy(c->name, name);
    return c;
}

void rp_jobs_observe(struct rp_jobs *t, struct rp_job *job, double run_s) {
    struct rp_class_stats *c = class_stats(t, job->spec.class_name);
    if (job->interrupted || job->spec.kind == RP_SERVICE)
        return;
    job->run_sum_s += run_s;
    job->n_runs++;
    if (!c || job->spec.estimate_s <= 0)
        return;
    double share = 1.0 / (job->spec.kind == RP_GANG ? 1 : job->spec.n_tasks);
    c->ratio = (c->ratio * c->weight + run_s / job->spec.estimate_s * share) / (c->weight + share);
    c->weight = c->weight + share > 20 ? 20 : c->weight + share;
}

static double class_expects_s(const struct rp_jobs *t, const struct rp_job *job) {
    for (size_t i = 0; i < t->n_classes; i++)
        if (strcmp(t->classes[i].name, job->spec.class_name) == 0)
            return job->spec.estimate_s * (t->classes[i].ratio * t->classes[i].weight + 2.0) /
                   (t->classes[i].weight + 2.0);
    return job->spec.estimate_s;
}

double rp_jobs_expect_s(const struct rp_jobs *t, const struct rp_job *job) {
    if (job->spec.kind == RP_SERVICE)
        return 0; /* no end is expected */
    double s = class_expects_s(t, job);
    if (job->n_runs > 0)
        s = (s + job->run_sum_s * 2) / (1 + job->n_runs * 2.0);
    return s > job->run_floor_s ? s : job->run_floor_s;
}
