#include "jobs/jobs.h"
#include "protocol/job_codec.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"

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
    struct rp_stored_records left; /* of a finished job's records, after its own transaction */
    struct rp_stored_records swept;
};

static struct request *request_new(struct rp_jobs *jobs) {
    struct request *request = rp_alloc(1, sizeof *request);
    request->t = jobs;
    request->generation = jobs->generation;
    return request;
}

static void request_free(struct request *request) {
    free(request->saved);
    free(request);
}

static void tick(void *arg);
static void follow(struct rp_jobs *jobs);

void rp_jobs_init(struct rp_jobs *jobs, struct rp_loop *loop, struct rp_kv_client *store,
                  struct rp_election *election, const struct rp_upgrade *upgrade,
                  const struct rp_settings *settings) {
    memset(jobs, 0, sizeof *jobs);
    jobs->upgrade = upgrade;
    jobs->flush_most = FLUSH_MOST;
    jobs->ops_most = settings->state_fit.txn_ops;
    jobs->loop = loop;
    jobs->store = store;
    jobs->election = election;
    jobs->settings = settings;
    jobs->timer = (struct rp_timer){.fn = tick, .arg = jobs};
}

/* ---- the table ---- */

static size_t bucket_of(const char *id) {
    return (size_t)(rp_hash_string(id) % RP_JOBS_BUCKETS);
}

struct rp_job *rp_jobs_find(const struct rp_jobs *jobs, const char *id) {
    struct rp_job *job = jobs->buckets[bucket_of(id)];
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
    return &job->progress_revisions[unit ? n_chunks(job) + piece : piece];
}

static void job_free(struct rp_job *job) {
    rp_job_spec_free(&job->spec);
    free(job->progress_revisions);
    free(job->done);
    free(job->durable);
    free(job->task_allocation_counts);
    free(job);
}

static void table_insert(struct rp_jobs *jobs, struct rp_job *job) {
    struct rp_job **bucket = &jobs->buckets[bucket_of(job->spec.id)];
    job->hash_next = *bucket;
    *bucket = job;
    struct rp_job *after = jobs->last;
    while (after && rp_ts_cmp(after->accepted_at, job->accepted_at) > 0)
        after = after->prev;
    job->prev = after;
    job->next = after ? after->next : jobs->first;
    if (job->next)
        job->next->prev = job;
    else
        jobs->last = job;
    if (after)
        after->next = job;
    else
        jobs->first = job;
    jobs->n_jobs++;
}

static void table_remove(struct rp_jobs *jobs, struct rp_job *job) {
    struct rp_job **link = &jobs->buckets[bucket_of(job->spec.id)];
    while (*link != job)
        link = &(*link)->hash_next;
    *link = job->hash_next;
    if (job->prev)
        job->prev->next = job->next;
    else
        jobs->first = job->next;
    if (job->next)
        job->next->prev = job->prev;
    else
        jobs->last = job->prev;
    jobs->n_jobs--;
}

static struct rp_job *job_add(struct rp_jobs *jobs, json_t *value, uint64_t version) {
    struct rp_job *job = calloc(1, sizeof *job);
    struct timespec wall;
    if (!job || !rp_record_open_read(value, &job->spec, &job->accepted_at)) {
        free(job);
        return NULL;
    }
    size_t bytes = (job->spec.n_tasks + 7) / 8;
    clock_gettime(CLOCK_REALTIME, &wall);
    job->version = job->accepted_revision = version;
    job->first_seen_at = rp_loop_now(jobs->loop);
    job->age_at_first_seen_s = jobs->loop->is_virtual ? 0 : rp_ts_since(wall, job->accepted_at);
    if (job->age_at_first_seen_s < 0)
        job->age_at_first_seen_s = 0;
    job->image_hash = rp_hash_string(job->spec.image);
    job->team = rp_settings_team(jobs->settings, job->spec.team);
    job->done = calloc(1, bytes);
    job->durable = calloc(1, bytes);
    job->progress_revisions = calloc(n_chunks(job) + n_units(job), sizeof *job->progress_revisions);
    if (!job->done || !job->durable || !job->progress_revisions) {
        job_free(job);
        return NULL;
    }
    table_insert(jobs, job);
    jobs->n_services += job->spec.kind == RP_JOB_SERVICE;
    return job;
}

/* The one place where a job changes its state. */
static void job_set_state(struct rp_jobs *jobs, struct rp_job *job, enum rp_job_state state) {
    job->state = state;
    if (state != RP_JOB_CLOSED)
        return;
    jobs->n_services -= job->spec.kind == RP_JOB_SERVICE;
    /* Dropping the last allocation frees a closed job: held until the stops are through. */
    job->n_refs++;
    if (jobs->on_closed)
        jobs->on_closed(jobs->arg, job);
    rp_jobs_release(jobs, job);
}

void rp_jobs_release(struct rp_jobs *jobs, struct rp_job *job) {
    job->n_refs--;
    if (job->state == RP_JOB_CLOSED && job->n_refs == 0) {
        table_remove(jobs, job);
        job_free(job);
    }
}

static void pending_free(struct rp_partial_record *partial) {
    json_decref(partial->record);
    free(partial);
}

void rp_jobs_clear(struct rp_jobs *jobs) {
    jobs->generation++;
    jobs->active = jobs->reading_parts = jobs->collecting_garbage = jobs->loading = false;
    jobs->catching_up = jobs->refused = false;
    jobs->provable_since = (struct timespec){0};
    jobs->n_services = 0;
    while (jobs->garbage) {
        struct rp_garbage *garbage = jobs->garbage;
        jobs->garbage = garbage->next;
        free(garbage);
    }
    while (jobs->partial_records) {
        struct rp_partial_record *partial = jobs->partial_records;
        jobs->partial_records = partial->next;
        pending_free(partial);
    }
    rp_timer_cancel(jobs->loop, &jobs->timer);
    for (struct rp_job *job = jobs->first, *next; job; job = next) {
        next = job->next;
        job_free(job);
    }
    memset(jobs->buckets, 0, sizeof jobs->buckets);
    jobs->first = jobs->last = NULL;
    jobs->n_jobs = 0;
}

double rp_jobs_staleness_s(const struct rp_jobs *jobs) {
    return rp_ts_since(rp_loop_now(jobs->loop), jobs->synced_at);
}

bool rp_jobs_may_answer_heartbeats(const struct rp_jobs *jobs) {
    return rp_jobs_staleness_s(jobs) < rp_settings_max_staleness_s(jobs->settings);
}

bool rp_jobs_may_start_tasks(const struct rp_jobs *jobs) {
    return jobs->watched && !jobs->refused && rp_jobs_staleness_s(jobs) < START_NEWS_S &&
           rp_jobs_may_answer_heartbeats(jobs);
}

void rp_jobs_note_store_refusal(struct rp_jobs *jobs) {
    if (jobs->active && !jobs->refused)
        rp_info("the state service answers other nodes, not this one: no more starts");
    jobs->refused = jobs->active;
}

double rp_job_age_s(const struct rp_job *job, struct timespec now) {
    return job->age_at_first_seen_s + rp_ts_since(now, job->first_seen_at);
}

/* ---- loading ---- */

static void list_open(struct rp_jobs *jobs, const char *after);
static void list_progress(struct rp_jobs *jobs, const char *after);

static bool request_current(const struct request *request) {
    return request->generation == request->t->generation;
}

static void load_failed(struct rp_jobs *jobs) {
    jobs->generation++;
    jobs->on_loaded(jobs->arg, false);
}

/* Whether a page of a list came, and is still wanted. */
static bool page_came(const struct request *request, const struct rp_kv_result *result) {
    if (!request_current(request))
        return false;
    if (result->outcome != RP_KV_OK)
        load_failed(request->t);
    return result->outcome == RP_KV_OK;
}

/* ---- records that no job needs any more ---- */

static bool stored_any(const struct rp_stored_records *stored) {
    return stored->chunks || stored->units || stored->parts;
}

static void sweep_later(struct rp_jobs *jobs, const char *job,
                        const struct rp_stored_records *stored) {
    struct rp_garbage **link = &jobs->garbage;
    if (!stored_any(stored))
        return;
    for (; *link; link = &(*link)->next)
        if (strcmp((*link)->job, job) == 0)
            break;
    if (!*link) {
        *link = rp_alloc(1, sizeof **link);
        rp_string_copy((*link)->job, sizeof(*link)->job, job);
    }
    (*link)->stored.chunks |= stored->chunks;
    (*link)->stored.units |= stored->units;
    (*link)->stored.parts |= stored->parts;
}

/* Adds deletions up to the transaction's limit, and takes them off the set. */
static void delete_stored(struct rp_kv_txn *txn, const char *job, struct rp_stored_records *stored,
                          size_t most) {
    char key[RP_KEY_MAX];
    for (unsigned i = 0; i < 64 && rp_kv_txn_n_ops(txn) < most; i++)
        if (i < 32 && (stored->chunks >> i & 1)) {
            rp_key_progress(key, job, i);
            rp_kv_txn_delete(txn, key);
            stored->chunks &= ~(UINT32_C(1) << i);
        }
    for (unsigned i = 0; i < 64 && rp_kv_txn_n_ops(txn) < most; i++)
        if (stored->units >> i & 1) {
            rp_key_unit(key, job, i);
            rp_kv_txn_delete(txn, key);
            stored->units &= ~(UINT64_C(1) << i);
        }
    for (unsigned i = 0; i < 64 && rp_kv_txn_n_ops(txn) < most; i++)
        if (stored->parts >> i & 1) {
            rp_key_part(key, job, i);
            rp_kv_txn_delete(txn, key);
            stored->parts &= ~(UINT64_C(1) << i);
        }
}

/* The service refused a transaction whose values are none or tiny: fewer changes in the next. What
 * has to be atomic, a job's move, takes two, and always goes. */
static void fewer_ops(struct rp_jobs *jobs) {
    jobs->ops_most = jobs->ops_most > 2 ? jobs->ops_most / 2 : 1;
    rp_error("state service takes fewer changes at once than told: now %zu", jobs->ops_most);
}

static void swept(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    struct rp_garbage *garbage = jobs->garbage;
    if (!request_current(request))
        goto out;
    jobs->collecting_garbage = false;
    if (!garbage || strcmp(garbage->job, request->job) != 0)
        goto out;
    if (result->outcome == RP_KV_OK) {
        garbage->stored.chunks &= ~request->swept.chunks;
        garbage->stored.units &= ~request->swept.units;
        garbage->stored.parts &= ~request->swept.parts;
    } else if (result->outcome == RP_KV_BAD_REQUEST) {
        fewer_ops(jobs);
    } else if (result->outcome == RP_KV_CONDITION_FAILED) {
        /* The job is there after all, or somebody else leads: nothing of it may go. */
        garbage->stored = (struct rp_stored_records){0};
    }
    if (!stored_any(&garbage->stored)) {
        jobs->garbage = garbage->next;
        free(garbage);
    }
out:
    request_free(request);
}

/* One transaction of deletions, on the condition that the job is not open. */
static void sweep_some(struct rp_jobs *jobs) {
    struct rp_garbage *garbage = jobs->garbage;
    char key[RP_KEY_MAX];
    double room = rp_kv_write_headroom(jobs->store, RP_KV_BUDGET_LEADER);
    if (!garbage || jobs->collecting_garbage || room < 1)
        return;
    struct request *request = request_new(jobs);
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    struct rp_stored_records left = garbage->stored;
    rp_string_copy(request->job, sizeof request->job, garbage->job);
    rp_election_guard(jobs->election, txn);
    rp_key(key, RP_KEY_OPEN, garbage->job);
    rp_kv_txn_if(txn, key, RP_KV_ABSENT);
    delete_stored(txn, garbage->job, &left,
                  room < (double)jobs->ops_most ? (size_t)room : jobs->ops_most);
    request->swept = (struct rp_stored_records){.chunks = garbage->stored.chunks & ~left.chunks,
                                                .units = garbage->stored.units & ~left.units,
                                                .parts = garbage->stored.parts & ~left.parts};
    jobs->collecting_garbage = true;
    rp_kv_txn_submit(jobs->store, RP_KV_BUDGET_LEADER, txn, swept, request);
}

/* ---- loading, continued ---- */

/* Whether a record may be read; one that can't be is logged, left alone, and harms no other. */
static void unreadable(struct rp_jobs *jobs, const char *key, const json_t *value) {
    jobs->n_unreadable++;
    if (rp_record_format(value) > RP_FORMAT)
        rp_error("record %s is of format %u, later than %d: left alone", key,
                 rp_record_format(value), RP_FORMAT);
    else
        rp_error("record %s can't be read: left alone", key);
}

static void read_progress(struct rp_jobs *jobs, const struct rp_kv_item *item) {
    char id[RP_ID_MAX];
    unsigned piece;
    bool unit;
    if (!rp_key_progress_read(item->key, id, &piece, &unit))
        return;
    struct rp_job *job = rp_jobs_find(jobs, id);
    struct rp_stored_records stored = {.chunks = unit ? 0 : UINT32_C(1) << piece,
                                       .units = unit ? UINT64_C(1) << piece : 0};
    if (!job) {
        sweep_later(jobs, id, &stored);
        return;
    }
    size_t span = unit ? RP_UNIT_BYTES : RP_CHUNK_BYTES;
    size_t bytes = (job->spec.n_tasks + 7) / 8, at = piece * span;
    if (at >= bytes)
        return;
    size_t len = bytes - at < span ? bytes - at : span;
    if (!rp_record_progress_read(item->value, job->durable + at, len)) {
        unreadable(jobs, item->key, item->value);
        return;
    }
    *saved_rev(job, piece, unit) = item->revision;
    job->stored.chunks |= stored.chunks;
    job->stored.units |= stored.units;
}

static void loaded(struct rp_jobs *jobs) {
    for (struct rp_job *job = jobs->first; job; job = job->next) {
        /* A replica is never done, whatever a node of the first format has written. */
        if (job->spec.kind == RP_JOB_SERVICE)
            continue;
        memcpy(job->done, job->durable, (job->spec.n_tasks + 7) / 8);
        for (uint32_t i = 0; i < job->spec.n_tasks; i++)
            job->n_done += rp_job_is_task_done(job, i);
        if (job->n_done == job->spec.n_tasks)
            job_set_state(jobs, job, RP_JOB_FINISHING);
    }
    jobs->active = true;
    jobs->loading = false;
    rp_timer_set(jobs->loop, &jobs->timer, FLUSH_EVERY_S);
    follow(jobs);
    jobs->on_loaded(jobs->arg, true);
}

static void got_progress(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    struct rp_kv_item item = {0};
    if (!page_came(request, result))
        goto out;
    size_t n = rp_kv_result_n_items(result);
    bool more = rp_kv_result_has_more(result);
    for (size_t i = 0; i < n; i++)
        if (rp_kv_result_item_at(result, i, &item))
            read_progress(jobs, &item);
    if (more && n > 0)
        list_progress(jobs, item.key);
    else
        loaded(jobs);
out:
    request_free(request);
}

static void list_progress(struct rp_jobs *jobs, const char *after) {
    rp_kv_list(jobs->store, RP_KV_BUDGET_LEADER, RP_KEY_PROGRESS, after, PAGE, got_progress,
               request_new(jobs));
}

/* ---- records in parts ---- */

static void read_next_parts(struct rp_jobs *jobs);

static void later_parts(struct rp_jobs *jobs, const struct rp_kv_item *item) {
    struct rp_partial_record **link = &jobs->partial_records,
                             *partial = rp_alloc(1, sizeof *partial);
    snprintf(partial->job, sizeof partial->job, "%s", item->key + strlen(RP_KEY_OPEN));
    partial->record = json_incref(item->value);
    partial->version = item->revision;
    while (*link)
        link = &(*link)->next;
    *link = partial;
}

static struct rp_partial_record *pending_find(const struct rp_jobs *jobs, const char *job) {
    struct rp_partial_record *partial = jobs->partial_records;
    while (partial && (partial->gone || strcmp(partial->job, job) != 0))
        partial = partial->next;
    return partial;
}

/* The job's record from its first piece and the parts listed, or NULL. */
static json_t *put_together(const struct rp_partial_record *partial,
                            const struct rp_kv_result *result) {
    json_t *pieces[RP_PARTS_MAX] = {partial->record};
    size_t want = rp_record_parts(partial->record), found = 0;
    size_t n = rp_kv_result_n_items(result);
    for (size_t i = 0; i < n; i++) {
        char id[RP_ID_MAX];
        unsigned part;
        struct rp_kv_item item;
        if (rp_kv_result_item_at(result, i, &item) && rp_key_part_read(item.key, id, &part) &&
            strcmp(id, partial->job) == 0 && part >= 1 && part <= want && !pieces[part]) {
            pieces[part] = item.value;
            found++;
        }
    }
    return found == want ? rp_record_join(pieces, want + 1) : NULL;
}

static void take_pending(struct rp_jobs *jobs, struct rp_partial_record *partial,
                         const struct rp_kv_result *result) {
    char key[RP_KEY_MAX];
    json_t *whole = put_together(partial, result);
    struct rp_job *job = whole ? job_add(jobs, whole, partial->version) : NULL;
    json_decref(whole);
    if (job) {
        job->stored.parts = ((UINT64_C(1) << rp_record_parts(partial->record)) - 1) << 1;
        return;
    }
    rp_key(key, RP_KEY_OPEN, partial->job);
    unreadable(jobs, key, partial->record);
}

static void got_parts(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    if (!request_current(request))
        goto out;
    jobs->reading_parts = false;
    if (result->outcome != RP_KV_OK) {
        if (jobs->loading)
            load_failed(jobs); /* else the tick tries again */
        goto out;
    }
    struct rp_partial_record *partial = jobs->partial_records;
    jobs->partial_records = partial->next;
    bool news = !partial->gone;
    if (!partial->gone)
        take_pending(jobs, partial, result);
    pending_free(partial);
    read_next_parts(jobs);
    if (news && jobs->active && jobs->on_changed)
        jobs->on_changed(jobs->arg);
out:
    request_free(request);
}

/* While loading, the progress comes once all parts are there: a job that isn't known when its
 * machines report has its tasks stopped. */
static void read_next_parts(struct rp_jobs *jobs) {
    char prefix[RP_KEY_MAX];
    if (jobs->reading_parts)
        return;
    if (!jobs->partial_records) {
        if (jobs->loading)
            list_progress(jobs, NULL);
        return;
    }
    snprintf(prefix, sizeof prefix, "%s%s/", RP_KEY_PART, jobs->partial_records->job);
    jobs->reading_parts = true;
    rp_kv_list(jobs->store, RP_KV_BUDGET_LEADER, prefix, NULL, RP_PARTS_MAX, got_parts,
               request_new(jobs));
}

/* ---- jobs that are open ---- */

static void take_open(struct rp_jobs *jobs, const struct rp_kv_item *item) {
    if (rp_record_format(item->value) <= RP_FORMAT && rp_record_parts(item->value)) {
        later_parts(jobs, item);
        return;
    }
    struct rp_job *job = job_add(jobs, item->value, item->revision);
    if (job)
        rp_debug("job %s known, class=%s tasks=%u", job->spec.id, job->spec.class_name,
                 job->spec.n_tasks);
    else
        unreadable(jobs, item->key, item->value);
}

static bool is_fence(const struct rp_kv_item *item) {
    return strcmp(item->key, RP_KEY_FENCE) == 0;
}

static void got_open(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    struct rp_kv_item item = {0};
    if (!page_came(request, result))
        goto out;
    /* The watch starts at the first page's revision: what changes between the pages comes again
     * through it, in order. */
    if (jobs->revision == 0)
        jobs->revision = rp_kv_result_revision(result);
    size_t n = rp_kv_result_n_items(result);
    bool more = rp_kv_result_has_more(result);
    for (size_t i = 0; i < n; i++) {
        if (!rp_kv_result_item_at(result, i, &item))
            continue;
        if (is_fence(&item))
            rp_election_note_fence(jobs->election, item.revision);
        else if (!rp_jobs_find(jobs, item.key + strlen(RP_KEY_OPEN)))
            take_open(jobs, &item);
    }
    if (!request_current(request))
        goto out;
    /* A later page may hold jobs that were accepted after a takeover from this leader, whose fence
     * came too late for the first page: the watch shows it. */
    jobs->catching_up |= more;
    jobs->watched &= !more;
    if (more && n > 0)
        list_open(jobs, item.key);
    else
        read_next_parts(jobs);
out:
    request_free(request);
}

static void list_open(struct rp_jobs *jobs, const char *after) {
    rp_kv_list(jobs->store, RP_KV_BUDGET_LEADER, RP_KEY_OPEN, after, PAGE, got_open,
               request_new(jobs));
}

void rp_jobs_load(struct rp_jobs *jobs) {
    rp_jobs_clear(jobs);
    jobs->revision = 0;
    jobs->loading = jobs->watched = true;
    jobs->synced_at = rp_loop_now(jobs->loop);
    list_open(jobs, NULL);
}

/* ---- the watch ---- */

static void apply(struct rp_jobs *jobs, const struct rp_kv_item *event) {
    const char *id = event->key + strlen(RP_KEY_OPEN);
    struct rp_job *job = rp_jobs_find(jobs, id);
    struct rp_partial_record *partial = pending_find(jobs, id);
    if (event->value && !job && !partial) {
        take_open(jobs, event);
    } else if (event->value) {
        *(job ? &job->version : &partial->version) = event->revision;
    } else if (partial) {
        struct rp_stored_records parts = {
            .parts = ((UINT64_C(1) << rp_record_parts(partial->record)) - 1) << 1};
        partial->gone = true;
        sweep_later(jobs, id, &parts);
    } else if (job && job->state != RP_JOB_CLOSED) {
        rp_info("job %s is over%s", job->spec.id,
                job->state == RP_JOB_FINISHING ? "" : ": cancelled");
        /* What was about to be written of its progress may still arrive. */
        if (job->state == RP_JOB_OPEN)
            sweep_later(jobs, job->spec.id, &job->stored);
        job_set_state(jobs, job, RP_JOB_CLOSED);
    }
}

static void followed(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    if (!request_current(request) || !jobs->active)
        goto out;
    if (result->outcome == RP_KV_OK && result->body) {
        size_t n = rp_kv_result_n_events(result);
        /* Before anything else of the answer: jobs that come with a fence are the next leader's. */
        for (size_t i = 0; i < n; i++) {
            struct rp_kv_item event;
            if (rp_kv_result_event_at(result, i, &event) && is_fence(&event))
                rp_election_note_fence(jobs->election, event.revision);
        }
        if (!request_current(request))
            goto out;
        for (size_t i = 0; i < n; i++) {
            struct rp_kv_item event;
            if (rp_kv_result_event_at(result, i, &event) && !is_fence(&event) &&
                strncmp(event.key, RP_KEY_OPEN, strlen(RP_KEY_OPEN)) == 0)
                apply(jobs, &event);
        }
        jobs->watched = true;
        read_next_parts(jobs);
        uint64_t revision = rp_kv_result_revision(result);
        if (revision > jobs->revision)
            jobs->revision = revision;
        jobs->synced_at = jobs->watch_sent_at;
        jobs->catching_up = jobs->refused = false;
        follow(jobs);
        if (n > 0 && jobs->on_changed)
            jobs->on_changed(jobs->arg);
    } else if (result->outcome == RP_KV_COMPACTED) {
        /* The watch fell too far behind: the table has to be read again, and with it the cluster
         * state of who may be where. Under the same token old copies of reports would pass for news
         * there, and attempt numbers for new ones: another term begins. */
        rp_election_resign(jobs->election, 0);
    } else {
        jobs->watch_sent_at = (struct timespec){0}; /* the tick starts it again */
        jobs->catching_up = true;
    }
out:
    request_free(request);
}

/* After a failure the first watch is answered at once, with all that was written meanwhile: workers
 * wait for it. */
static void follow(struct rp_jobs *jobs) {
    double hold =
        fmin(FOLLOW_HOLD_S, FOLLOW_HOLD_SHARE * rp_settings_max_staleness_s(jobs->settings));
    jobs->watch_sent_at = rp_loop_now(jobs->loop);
    rp_kv_watch(jobs->store, RP_KEY_OPEN, jobs->revision, jobs->catching_up ? 0 : hold, followed,
                request_new(jobs));
}

/* ---- making results durable ---- */

bool rp_job_is_task_done(const struct rp_job *job, uint32_t task) {
    return job->done[task / 8] >> (task % 8) & 1;
}

unsigned rp_job_n_task_allocations(const struct rp_job *job, uint32_t task) {
    return job->task_allocation_counts ? job->task_allocation_counts[task] : 0;
}

void rp_job_count_allocation(struct rp_job *job, uint32_t task, int sign) {
    if (!job->task_allocation_counts)
        job->task_allocation_counts = rp_alloc(1, job->spec.n_tasks);
    job->task_allocation_counts[task] = (uint8_t)(job->task_allocation_counts[task] + sign);
    job->n_allocated += (uint32_t)sign;
    /* Jobs that wait may have 100,000 tasks each, and there may be many of them. */
    if (job->n_allocated == 0) {
        free(job->task_allocation_counts);
        job->task_allocation_counts = NULL;
    }
}

bool rp_job_is_task_durable(const struct rp_job *job, uint32_t task) {
    return job->state == RP_JOB_CLOSED || job->spec.kind == RP_JOB_SERVICE ||
           (job->durable[task / 8] >> (task % 8) & 1);
}

static void mark_done(struct rp_jobs *jobs, struct rp_job *job, uint32_t task) {
    if (rp_job_is_task_done(job, task))
        return;
    job->done[task / 8] |= (uint8_t)(1u << (task % 8));
    job->n_done++;
    if (!job->dirty_units)
        job->dirty_since = rp_loop_now(jobs->loop);
    job->dirty_units |= UINT64_C(1) << (task / RP_UNIT_TASKS);
}

static void finish(struct rp_jobs *jobs, struct rp_job *job);

void rp_jobs_task_done(struct rp_jobs *jobs, struct rp_job *job, uint32_t task) {
    /* A service's replica is never done, whatever it says when it ends. */
    if (job->state != RP_JOB_OPEN || job->spec.kind == RP_JOB_SERVICE)
        return;
    if (job->spec.kind == RP_JOB_GANG)
        for (uint32_t i = 0; i < job->spec.n_tasks; i++)
            mark_done(jobs, job, i);
    else
        mark_done(jobs, job, task);
    if (job->n_done == job->spec.n_tasks) {
        job_set_state(jobs, job, RP_JOB_FINISHING);
        finish(jobs, job);
    }
}

static void finished(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    struct rp_job *job = request_current(request) ? rp_jobs_find(jobs, request->job) : NULL;
    if (!job || job->state != RP_JOB_FINISHING)
        goto out;
    job->finishing = false;
    if (result->outcome == RP_KV_OK) {
        rp_info("job %s is done, tasks=%u age=%.1fs", job->spec.id, job->spec.n_tasks,
                rp_job_age_s(job, rp_loop_now(jobs->loop)));
        sweep_later(jobs, job->spec.id, &request->left);
        job_set_state(jobs, job, RP_JOB_CLOSED);
    } else if (result->outcome == RP_KV_CONDITION_FAILED &&
               rp_kv_result_failed_on(result, RP_KEY_LEADER)) {
        rp_election_verify(jobs->election);
    } else if (result->outcome == RP_KV_BAD_REQUEST) {
        fewer_ops(jobs);
        job->write_back_backoff_until = rp_ts_after(rp_loop_now(jobs->loop), FLUSH_HOLD_S);
    }
    /* Another conflict means that the job was cancelled, or that an unanswered try went through:
     * the watch tells. Anything else is tried again by the tick. */
out:
    request_free(request);
}

static void finish(struct rp_jobs *jobs, struct rp_job *job) {
    struct timespec now = rp_loop_now(jobs->loop);
    if (job->finishing || !rp_election_is_valid(jobs->election, now) ||
        !rp_ts_reached(now, job->write_back_backoff_until))
        return;
    struct request *request = request_new(jobs);
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_string_copy(request->job, sizeof request->job, job->spec.id);
    job->finishing = true;
    rp_election_guard(jobs->election, txn);
    rp_key(key, RP_KEY_OPEN, job->spec.id);
    rp_kv_txn_if(txn, key, job->version);
    rp_kv_txn_delete(txn, key);
    rp_key(key, RP_KEY_TERMINAL, job->spec.id);
    rp_kv_txn_put(txn, key, rp_upgrade_mark_record(jobs->upgrade, rp_record_terminal(RP_JOB_DONE)),
                  RP_KV_NO_LEASE);
    /* The move itself is atomic; the records that nobody reads any more go as they fit, with it or
     * after it. */
    request->left = job->stored;
    delete_stored(txn, job->spec.id, &request->left, jobs->ops_most);
    rp_kv_txn_submit(jobs->store, RP_KV_BUDGET_LEADER, txn, finished, request);
}

/* The units that a piece covers. */
static uint64_t units_of(unsigned piece, bool unit) {
    return unit ? UINT64_C(1) << piece
                : ((UINT64_C(1) << RP_CHUNK_UNITS) - 1) << (piece * RP_CHUNK_UNITS);
}

/* A record was refused for its size, or a transaction for its length, though all should fit: the
 * limits are lower than told. Less at a time, and never the same again at once. */
static void refused_as_large(struct rp_jobs *jobs, const struct request *request) {
    struct timespec now = rp_loop_now(jobs->loop);
    if (request->n > 1) {
        jobs->flush_most = request->n / 2;
        return;
    }
    struct rp_job *job = rp_jobs_find(jobs, request->saved[0].job);
    if (job)
        job->write_back_backoff_until = rp_ts_after(now, FLUSH_HOLD_S);
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
                        const struct rp_kv_result *result) {
    char key[RP_KEY_MAX];
    piece_key(key, job->spec.id, piece, unit);
    if (result->outcome == RP_KV_UNKNOWN ||
        (result->outcome == RP_KV_CONDITION_FAILED && rp_kv_result_failed_on(result, key)))
        *saved_rev(job, piece, unit) = REV_UNKNOWN;
}

static void note_stored(struct rp_job *job, unsigned piece, bool unit) {
    if (unit)
        job->stored.units |= UINT64_C(1) << piece;
    else
        job->stored.chunks |= UINT32_C(1) << piece;
}

static void saved_read(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    struct rp_job *job =
        request_current(request) ? rp_jobs_find(jobs, request->saved[0].job) : NULL;
    struct rp_kv_item item;
    if (!job || job->state == RP_JOB_CLOSED)
        goto out;
    unsigned piece = request->saved[0].piece;
    bool unit = request->saved[0].unit;
    job->writing_units &= ~units_of(piece, unit);
    if (result->outcome == RP_KV_NOT_FOUND)
        *saved_rev(job, piece, unit) = 0;
    else if (rp_kv_result_item(result, &item))
        *saved_rev(job, piece, unit) = item.revision;
    note_stored(job, piece, unit);
    job->dirty_since = (struct timespec){0}; /* it has waited long enough */
out:
    request_free(request);
}

static void read_saved(struct rp_jobs *jobs, struct rp_job *job, unsigned piece, bool unit) {
    struct request *request = request_new(jobs);
    char key[RP_KEY_MAX];
    request->saved = rp_alloc(1, sizeof *request->saved);
    rp_string_copy(request->saved[0].job, sizeof request->saved[0].job, job->spec.id);
    request->saved[0].piece = piece;
    request->saved[0].unit = unit;
    job->writing_units |= units_of(piece, unit);
    piece_key(key, job->spec.id, piece, unit);
    rp_kv_get(jobs->store, RP_KV_BUDGET_LEADER, key, saved_read, request);
}

static void flushed(void *arg, const struct rp_kv_result *result) {
    struct request *request = arg;
    struct rp_jobs *jobs = request->t;
    if (!request_current(request))
        goto out;
    for (size_t i = 0; i < request->n; i++) {
        struct rp_job *job = rp_jobs_find(jobs, request->saved[i].job);
        unsigned piece = request->saved[i].piece;
        bool unit = request->saved[i].unit;
        struct rp_stored_records stored = {.chunks = unit ? 0 : UINT32_C(1) << piece,
                                           .units = unit ? UINT64_C(1) << piece : 0};
        if (!job || job->state == RP_JOB_CLOSED) {
            if (result->outcome == RP_KV_OK || result->outcome == RP_KV_UNKNOWN)
                sweep_later(jobs, request->saved[i].job, &stored);
            continue;
        }
        job->writing_units &= ~units_of(piece, unit);
        if (result->outcome != RP_KV_OK) {
            /* A chunk covers units that a small job doesn't have: written as such after the
             * activation, they were read and written beyond the job's memory. */
            job->dirty_units |= units_of(piece, unit) & all_units(job);
            doubt_saved(job, piece, unit, result);
            if (result->outcome == RP_KV_UNKNOWN)
                note_stored(job, piece, unit); /* it may have been written */
            continue;
        }
        *saved_rev(job, piece, unit) = rp_kv_result_revision(result);
        size_t span = unit ? RP_UNIT_BYTES : RP_CHUNK_BYTES;
        size_t at = piece * span, bytes = (job->spec.n_tasks + 7) / 8;
        for (size_t b = 0; b < span && at + b < bytes; b++)
            job->durable[at + b] |= request->saved[i].bits[b];
        note_stored(job, piece, unit);
    }
    if (result->outcome == RP_KV_CONDITION_FAILED && rp_kv_result_failed_on(result, RP_KEY_LEADER))
        rp_election_verify(jobs->election);
    if (result->outcome == RP_KV_BAD_REQUEST)
        refused_as_large(jobs, request);
    else if (result->outcome == RP_KV_OK && jobs->flush_most < FLUSH_MOST)
        jobs->flush_most++;
out:
    request_free(request);
}

static void flush_piece(struct rp_jobs *jobs, struct request *request, struct rp_kv_txn *txn,
                        struct rp_job *job, unsigned piece, bool unit) {
    char key[RP_KEY_MAX];
    size_t span = unit ? RP_UNIT_BYTES : RP_CHUNK_BYTES, at = piece * span;
    size_t bytes = (job->spec.n_tasks + 7) / 8 - at;
    bytes = bytes < span ? bytes : span;
    rp_string_copy(request->saved[request->n].job, sizeof request->saved[request->n].job,
                   job->spec.id);
    request->saved[request->n].piece = piece;
    request->saved[request->n].unit = unit;
    memcpy(request->saved[request->n].bits, job->done + at, bytes);
    request->n++;
    piece_key(key, job->spec.id, piece, unit);
    rp_kv_txn_if(txn, key, *saved_rev(job, piece, unit));
    rp_kv_txn_put(txn, key,
                  rp_upgrade_mark_record(jobs->upgrade, rp_record_progress(job->done + at, bytes)),
                  RP_KV_NO_LEASE);
    job->dirty_units &= ~units_of(piece, unit);
    job->writing_units |= units_of(piece, unit);
}

/* Until every node reads units, progress goes into the chunks that all of them know; where one
 * doesn't fit, it waits for the activation. */
static void flush_job(struct rp_jobs *jobs, struct request *request, struct rp_kv_txn *txn,
                      struct rp_job *job, size_t most) {
    bool unit = rp_upgrade_is_active(jobs->upgrade);
    unsigned n = unit ? RP_UNITS_MAX : (RP_UNITS_MAX + RP_CHUNK_UNITS - 1) / RP_CHUNK_UNITS;
    uint64_t due = job->dirty_units & ~job->writing_units;
    size_t bytes = (job->spec.n_tasks + 7) / 8;
    if (!unit && (double)(2 * (bytes < RP_CHUNK_BYTES ? bytes : RP_CHUNK_BYTES) + PROGRESS_FRAME) >
                     jobs->settings->state.value_kb * 1024)
        return;
    for (unsigned p = 0; p < n && request->n < most; p++)
        if (!(due & units_of(p, unit)) || job->writing_units & units_of(p, unit))
            continue;
        else if (*saved_rev(job, p, unit) == REV_UNKNOWN)
            read_saved(jobs, job, p, unit);
        else
            flush_piece(jobs, request, txn, job, p, unit);
}

/* Writes the progress that has waited longest, as many records together as a transaction and the
 * budget take: the more there is, the fuller the transactions. */
static void flush(struct rp_jobs *jobs) {
    struct timespec now = rp_loop_now(jobs->loop);
    /* Some is left for finishing jobs; where few changes a second are allowed, less of it. */
    double room = rp_kv_write_headroom(jobs->store, RP_KV_BUDGET_LEADER) -
                  fmin(FINISH_ROOM, jobs->settings->state_fit.write_rps * FINISH_SHARE);
    size_t limit = jobs->settings->state_fit.txn_ops;
    size_t most = limit < jobs->flush_most ? limit : jobs->flush_most;
    if (room < 1)
        return;
    if ((double)most > room)
        most = (size_t)room;
    struct request *request = request_new(jobs);
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    request->saved = rp_alloc(most, sizeof *request->saved);
    rp_election_guard(jobs->election, txn);
    for (struct rp_job *job = jobs->first; job && request->n < most; job = job->next) {
        if (job->state != RP_JOB_OPEN || !job->dirty_units ||
            !rp_ts_reached(now, job->write_back_backoff_until) ||
            rp_ts_since(now, job->dirty_since) < FLUSH_AGE_S)
            continue;
        flush_job(jobs, request, txn, job, most);
        job->dirty_since = now;
    }
    if (request->n > 0) {
        rp_kv_txn_submit(jobs->store, RP_KV_BUDGET_LEADER, txn, flushed, request);
    } else {
        rp_kv_txn_discard(txn);
        request_free(request);
    }
}

static void tick(void *arg) {
    struct rp_jobs *jobs = arg;
    struct rp_job *next;
    struct timespec now = rp_loop_now(jobs->loop);
    rp_timer_set(jobs->loop, &jobs->timer, FLUSH_EVERY_S);
    if (jobs->watch_sent_at.tv_sec == 0 && jobs->watch_sent_at.tv_nsec == 0)
        follow(jobs);
    if (!rp_election_is_valid(jobs->election, now)) {
        jobs->provable_since = (struct timespec){0};
        return;
    }
    if (rp_ts_zero(jobs->provable_since))
        jobs->provable_since = now;
    /* A leader whose lease is renewed but who hears of no cancellation answers no worker: somebody
     * else has to lead. After an outage it has a moment to catch up. */
    if (!rp_jobs_may_answer_heartbeats(jobs) &&
        rp_ts_since(now, jobs->provable_since) > CATCH_UP_S) {
        rp_election_resign(jobs->election, 5);
        return;
    }
    for (struct rp_job *job = jobs->first; job; job = next) {
        next = job->next;
        if (job->state == RP_JOB_FINISHING)
            finish(jobs, job);
    }
    flush(jobs);
    sweep_some(jobs);
    read_next_parts(jobs);
}

/* ---- what run times teach ---- */

static struct rp_class_stats *class_stats(struct rp_jobs *jobs, const char *name) {
    for (size_t i = 0; i < jobs->n_classes; i++)
        if (strcmp(jobs->classes[i].name, name) == 0)
            return &jobs->classes[i];
    if (jobs->n_classes == RP_CLASSES_MAX) {
        if (jobs->n_over_bounds++ == 0)
            rp_error("over %d classes of jobs: class %s learns nothing", RP_CLASSES_MAX, name);
        return NULL;
    }
    struct rp_class_stats *stats = &jobs->classes[jobs->n_classes++];
    memset(stats, 0, sizeof *stats);
    rp_string_copy(stats->name, sizeof stats->name, name);
    return stats;
}

void rp_jobs_record_run_time(struct rp_jobs *jobs, struct rp_job *job, double run_s) {
    struct rp_class_stats *stats = class_stats(jobs, job->spec.class_name);
    if (job->interrupted || job->spec.kind == RP_JOB_SERVICE)
        return;
    job->run_sum_s += run_s;
    job->n_runs++;
    if (!stats || job->spec.estimate_s <= 0)
        return;
    double share = 1.0 / (job->spec.kind == RP_JOB_GANG ? 1 : job->spec.n_tasks);
    stats->ratio = (stats->ratio * stats->weight + run_s / job->spec.estimate_s * share) /
                   (stats->weight + share);
    stats->weight = stats->weight + share > 20 ? 20 : stats->weight + share;
}

static double class_expects_s(const struct rp_jobs *jobs, const struct rp_job *job) {
    for (size_t i = 0; i < jobs->n_classes; i++)
        if (strcmp(jobs->classes[i].name, job->spec.class_name) == 0)
            return job->spec.estimate_s * (jobs->classes[i].ratio * jobs->classes[i].weight + 2.0) /
                   (jobs->classes[i].weight + 2.0);
    return job->spec.estimate_s;
}

double rp_jobs_expected_run_s(const struct rp_jobs *jobs, const struct rp_job *job) {
    if (job->spec.kind == RP_JOB_SERVICE)
        return 0; /* no end is expected */
    double s = class_expects_s(jobs, job);
    if (job->n_runs > 0)
        s = (s + job->run_sum_s * 2) / (1 + job->n_runs * 2.0);
    return s > job->run_floor_s ? s : job->run_floor_s;
}
