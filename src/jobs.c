#include "jobs.h"

#include <stdlib.h>
#include <string.h>
#include "log.h"
#include "wire.h"

#define PAGE 1000
#define FOLLOW_HOLD_S 3.0
#define DEAF_S 14.0 /* without news from the watch */
#define FLUSH_EVERY_S 0.25
#define FLUSH_MOST 24   /* records of some 2.2 KB each: a transaction may have 64 KiB */
#define FLUSH_AGE_S 2.0 /* progress waits this long for company; a finished job never does */

/* A request of the table, marked with the leadership it belongs to. */
struct request {
    struct rp_jobs *t;
    unsigned long generation;
    char job[RP_ID_MAX];
    size_t n;
    struct {
        char job[RP_ID_MAX];
        unsigned chunk;
        uint8_t bits[RP_CHUNK_BYTES];
    } * saved;
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
                  struct rp_election *election, const struct rp_settings *settings) {
    memset(t, 0, sizeof *t);
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

static void job_free(struct rp_job *job) {
    rp_job_spec_free(&job->spec);
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
    if (!job->done || !job->durable) {
        job_free(job);
        return NULL;
    }
    table_insert(t, job);
    return job;
}

/* The one place where a job changes its state. */
static void job_enter(struct rp_jobs *t, struct rp_job *job, enum rp_job_state state) {
    job->state = state;
    if (state != RP_JOB_CLOSED)
        return;
    /* Dropping the last place frees a closed job: held until the stops are through. */
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

void rp_jobs_clear(struct rp_jobs *t) {
    t->generation++;
    t->active = false;
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

static void got_progress(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    bool more = false;
    struct rp_item item = {0};
    if (!page_came(r, result))
        goto out;
    size_t n = rp_wire_items(result->body, &more);
    for (size_t i = 0; i < n; i++) {
        char id[RP_ID_MAX];
        unsigned chunk;
        if (!rp_wire_items_at(result->body, i, &item) ||
            !rp_key_progress_read(item.key, id, &chunk))
            continue;
        struct rp_job *job = rp_jobs_find(t, id);
        size_t bytes = job ? (job->spec.n_tasks + 7) / 8 : 0;
        if ((size_t)chunk * RP_CHUNK_BYTES >= bytes)
            continue;
        size_t at = (size_t)chunk * RP_CHUNK_BYTES;
        size_t len = bytes - at < RP_CHUNK_BYTES ? bytes - at : RP_CHUNK_BYTES;
        rp_record_progress_read(item.value, job->durable + at, len);
        job->chunks_written |= 1u << chunk;
    }
    if (more && n > 0) {
        list_progress(t, item.key);
        goto out;
    }
    for (struct rp_job *job = t->first; job; job = job->next) {
        memcpy(job->done, job->durable, (job->spec.n_tasks + 7) / 8);
        for (uint32_t i = 0; i < job->spec.n_tasks; i++)
            job->n_done += rp_job_task_done(job, i);
        if (job->n_done == job->spec.n_tasks)
            job_enter(t, job, RP_JOB_FINISHING);
    }
    t->active = true;
    rp_timer_set(t->loop, &t->timer, FLUSH_EVERY_S);
    follow(t);
    t->on_loaded(t->arg, true);
out:
    request_free(r);
}

static void list_progress(struct rp_jobs *t, const char *after) {
    rp_state_list(t->state, RP_SHARE_LEADER, RP_KEY_PROGRESS, after, PAGE, got_progress,
                  request_new(t));
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
    for (size_t i = 0; i < n; i++)
        if (rp_wire_items_at(result->body, i, &item) &&
            !rp_jobs_find(t, item.key + strlen(RP_KEY_OPEN)) &&
            !job_add(t, item.value, item.version))
            rp_error("job record %s can't be read", item.key);
    if (more && n > 0)
        list_open(t, item.key);
    else
        list_progress(t, NULL);
out:
    request_free(r);
}

static void list_open(struct rp_jobs *t, const char *after) {
    rp_state_list(t->state, RP_SHARE_LEADER, RP_KEY_OPEN, after, PAGE, got_open, request_new(t));
}

void rp_jobs_load(struct rp_jobs *t) {
    rp_jobs_clear(t);
    t->revision = 0;
    t->synced = rp_loop_now(t->loop);
    list_open(t, NULL);
}

/* ---- the watch ---- */

static void swept(void *arg, const struct rp_state_result *result) {
    (void)arg;
    (void)result;
}

/* Progress of a cancelled job is of no more use. What a failed try leaves is a few hundred bytes
 * that no job refers to. */
static void sweep(struct rp_jobs *t, const struct rp_job *job) {
    char key[RP_KEY_MAX];
    json_t *txn = rp_wire_txn();
    rp_election_guard(t->election, txn);
    for (unsigned c = 0; c < 32 && rp_wire_txn_ops(txn) < t->settings->state_txn_ops; c++)
        if (job->chunks_written >> c & 1) {
            rp_key_progress(key, job->spec.id, c);
            rp_wire_txn_delete(txn, key);
        }
    rp_state_txn(t->state, RP_SHARE_LEADER, txn, swept, NULL);
}

static void apply(struct rp_jobs *t, const struct rp_item *event) {
    struct rp_job *job = rp_jobs_find(t, event->key + strlen(RP_KEY_OPEN));
    if (event->value && !job) {
        job = job_add(t, event->value, event->version);
        if (job)
            rp_debug("job %s known, class=%s tasks=%u", job->spec.id, job->spec.class_name,
                     job->spec.n_tasks);
        else
            rp_error("job record %s can't be read", event->key);
    } else if (event->value) {
        job->version = event->version;
    } else if (job && job->state != RP_JOB_CLOSED) {
        rp_info("job %s is over%s", job->spec.id,
                job->state == RP_JOB_FINISHING ? "" : ": cancelled");
        if (job->state == RP_JOB_OPEN && job->chunks_written)
            sweep(t, job);
        job_enter(t, job, RP_JOB_CLOSED);
    }
}

static void followed(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    if (!request_current(r) || !t->active)
        goto out;
    if (result->outcome == RP_STATE_OK && result->body) {
        size_t n = rp_wire_events(result->body);
        for (size_t i = 0; i < n; i++) {
            struct rp_item event;
            if (rp_wire_event_at(result->body, i, &event) &&
                strncmp(event.key, RP_KEY_OPEN, strlen(RP_KEY_OPEN)) == 0)
                apply(t, &event);
        }
        uint64_t revision = rp_wire_revision(result->body);
        if (revision > t->revision)
            t->revision = revision;
        t->synced = t->follow_sent;
        follow(t);
        if (n > 0 && t->on_changed)
            t->on_changed(t->arg);
    } else if (result->outcome == RP_STATE_GONE) {
        /* The watch fell too far behind: the table has to be read again, and with it the picture of
         * who may be where. Under the same token old copies of reports would pass for news there,
         * and attempt numbers for new ones: another term begins. */
        rp_election_resign(t->election, 0);
    } else {
        t->follow_sent = (struct timespec){0}; /* the tick starts it again */
    }
out:
    request_free(r);
}

static void follow(struct rp_jobs *t) {
    t->follow_sent = rp_loop_now(t->loop);
    rp_state_follow(t->state, RP_KEY_OPEN, t->revision, FOLLOW_HOLD_S, followed, request_new(t));
}

/* ---- making results durable ---- */

bool rp_job_task_done(const struct rp_job *job, uint32_t task) {
    return job->done[task / 8] >> (task % 8) & 1;
}

unsigned rp_job_places(const struct rp_job *job, uint32_t task) {
    return job->where ? job->where[task] : 0;
}

void rp_job_count_place(struct rp_job *job, uint32_t task, int sign) {
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
    return job->state == RP_JOB_CLOSED || (job->durable[task / 8] >> (task % 8) & 1);
}

static void mark_done(struct rp_jobs *t, struct rp_job *job, uint32_t task) {
    if (rp_job_task_done(job, task))
        return;
    job->done[task / 8] |= (uint8_t)(1u << (task % 8));
    job->n_done++;
    if (!job->chunks_dirty)
        job->dirty_since = rp_loop_now(t->loop);
    job->chunks_dirty |= 1u << (task / RP_CHUNK_TASKS);
}

static void finish(struct rp_jobs *t, struct rp_job *job);

void rp_jobs_task_done(struct rp_jobs *t, struct rp_job *job, uint32_t task) {
    if (job->state != RP_JOB_OPEN)
        return;
    if (job->spec.kind == RP_GANG)
        for (uint32_t i = 0; i < job->spec.n_tasks; i++)
            mark_done(t, job, i);
    else
        mark_done(t, job, task);
    if (job->n_done == job->spec.n_tasks) {
        job_enter(t, job, RP_JOB_FINISHING);
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
        job_enter(t, job, RP_JOB_CLOSED);
    } else if (result->outcome == RP_STATE_CONFLICT &&
               rp_wire_failed_key(result->body, RP_KEY_LEADER)) {
        rp_election_doubt(t->election);
    }
    /* Another conflict means that the job was cancelled, or that an unanswered try went through:
     * the watch tells. Anything else is tried again by the tick. */
out:
    request_free(r);
}

static void finish(struct rp_jobs *t, struct rp_job *job) {
    if (job->writing || !rp_election_valid(t->election, rp_loop_now(t->loop)))
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
    rp_wire_txn_put(txn, key, rp_record_over(RP_JOB_DONE), 0);
    for (unsigned c = 0; c < 32 && rp_wire_txn_ops(txn) < t->settings->state_txn_ops; c++)
        if (job->chunks_written >> c & 1) {
            rp_key_progress(key, job->spec.id, c);
            rp_wire_txn_delete(txn, key);
        }
    rp_state_txn(t->state, RP_SHARE_LEADER, txn, finished, r);
}

static void flushed(void *arg, const struct rp_state_result *result) {
    struct request *r = arg;
    struct rp_jobs *t = r->t;
    if (!request_current(r))
        goto out;
    for (size_t i = 0; i < r->n; i++) {
        struct rp_job *job = rp_jobs_find(t, r->saved[i].job);
        unsigned chunk = r->saved[i].chunk;
        if (!job)
            continue;
        job->chunks_flushing &= ~(1u << chunk);
        if (result->outcome != RP_STATE_OK) {
            job->chunks_dirty |= 1u << chunk;
            continue;
        }
        size_t at = (size_t)chunk * RP_CHUNK_BYTES;
        size_t bytes = (job->spec.n_tasks + 7) / 8;
        for (size_t b = 0; b < RP_CHUNK_BYTES && at + b < bytes; b++)
            job->durable[at + b] |= r->saved[i].bits[b];
        job->chunks_written |= 1u << chunk;
    }
    if (result->outcome == RP_STATE_CONFLICT)
        rp_election_doubt(t->election);
out:
    request_free(r);
}

static void flush_chunk(struct request *r, json_t *txn, struct rp_job *job, unsigned chunk) {
    char key[RP_KEY_MAX];
    size_t at = (size_t)chunk * RP_CHUNK_BYTES;
    size_t bytes = (job->spec.n_tasks + 7) / 8 - at;
    bytes = bytes < RP_CHUNK_BYTES ? bytes : RP_CHUNK_BYTES;
    strcpy(r->saved[r->n].job, job->spec.id);
    r->saved[r->n].chunk = chunk;
    memcpy(r->saved[r->n].bits, job->done + at, bytes);
    r->n++;
    rp_key_progress(key, job->spec.id, chunk);
    rp_wire_txn_put(txn, key, rp_record_progress(job->done + at, bytes), 0);
    job->chunks_dirty &= ~(1u << chunk);
    job->chunks_flushing |= 1u << chunk;
}

/* Writes the progress that has waited longest, as many records together as a transaction and the
 * budget take: the more there is, the fuller the transactions. */
static void flush(struct rp_jobs *t) {
    struct timespec now = rp_loop_now(t->loop);
    double room = rp_state_room(t->state, RP_SHARE_LEADER) - 3; /* left for finishing jobs */
    size_t most = t->settings->state_txn_ops < FLUSH_MOST ? t->settings->state_txn_ops : FLUSH_MOST;
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
    for (struct rp_job *job = t->first; job; job = job->next) {
        if (job->state != RP_JOB_OPEN || !job->chunks_dirty ||
            rp_ts_since(now, job->dirty_since) < FLUSH_AGE_S)
            continue;
        for (unsigned c = 0; c < 32 && r->n < most; c++)
            if ((job->chunks_dirty & ~job->chunks_flushing) >> c & 1)
                flush_chunk(r, txn, job, c);
        job->dirty_since = now;
        if (r->n == most)
            break;
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
    rp_timer_set(t->loop, &t->timer, FLUSH_EVERY_S);
    if (t->follow_sent.tv_sec == 0 && t->follow_sent.tv_nsec == 0)
        follow(t);
    if (!rp_election_valid(t->election, rp_loop_now(t->loop)))
        return;
    /* A leader whose lease is renewed but who hears of no cancellation keeps cancelled tasks
     * alive by its answers: somebody else has to lead. */
    if (rp_jobs_stale_s(t) > DEAF_S) {
        rp_election_resign(t->election, 5);
        return;
    }
    for (struct rp_job *job = t->first; job; job = next) {
        next = job->next;
        if (job->state == RP_JOB_FINISHING)
            finish(t, job);
    }
    flush(t);
}

/* ---- what run times teach ---- */

static struct rp_class_stats *class_stats(struct rp_jobs *t, const char *name) {
    for (size_t i = 0; i < t->n_classes; i++)
        if (strcmp(t->classes[i].name, name) == 0)
            return &t->classes[i];
    if (t->n_classes == RP_CLASSES_MAX)
        return NULL;
    struct rp_class_stats *c = &t->classes[t->n_classes++];
    memset(c, 0, sizeof *c);
    strcpy(c->name, name);
    return c;
}

void rp_jobs_observe(struct rp_jobs *t, struct rp_job *job, double run_s) {
    struct rp_class_stats *c = class_stats(t, job->spec.class_name);
    if (job->interrupted)
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
    double s = class_expects_s(t, job);
    if (job->n_runs > 0)
        s = (s + job->run_sum_s * 2) / (1 + job->n_runs * 2.0);
    return s > job->run_floor_s ? s : job->run_floor_s;
}
