#include "jobs/job_watch.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"

/* How long the store may hold a watch back while nothing changes: an answer renews the table's
 * freshness, so that it has to come several times within the allowed staleness. */
#define WATCH_HOLD_MAX_S 3.0
#define WATCH_HOLD_STALENESS_SHARE 0.3
/* A start needs a fresher table than an answer to a heartbeat. */
#define START_STALENESS_MAX_S 9.0
/* For the first watch, once the leader's lease is provable again. */
#define CATCH_UP_S 3.0
/* For so long the others may claim the key that a leader without a watch gives up. */
#define RESIGN_BACKOFF_S 5.0

/* A watch under way. */
struct watch_request {
    struct rp_job_watch *watch;
    unsigned long generation;
};

static void send_watch(struct rp_job_watch *watch);

void rp_job_watch_init(struct rp_job_watch *watch, const struct rp_jobs_context *context,
                       struct rp_job_table *table, struct rp_record_reader *reader,
                       struct rp_garbage_collector *collector) {
    *watch = (struct rp_job_watch){
        .context = context, .table = table, .reader = reader, .collector = collector};
}

void rp_job_watch_stop(struct rp_job_watch *watch) {
    watch->is_running = watch->must_return_at_once = watch->is_refused_alone = false;
    watch->provable_since = (struct timespec){0};
}

void rp_job_watch_on_load_start(struct rp_job_watch *watch) {
    watch->revision = 0;
    watch->has_covered_load = true;
    watch->synced_at = rp_loop_now(watch->context->loop);
}

void rp_job_watch_on_list_page(struct rp_job_watch *watch, uint64_t revision, bool has_more) {
    /* The watch starts at the first page's revision: what changes between the pages comes again
     * through it, in order. */
    if (watch->revision == 0)
        watch->revision = revision;
    /* A later page may hold jobs that were accepted after a failover from this leader, whose fence
     * came too late for the first page: the watch shows it. */
    watch->must_return_at_once |= has_more;
    watch->has_covered_load &= !has_more;
}

void rp_job_watch_start(struct rp_job_watch *watch) {
    watch->is_running = true;
    send_watch(watch);
}

void rp_job_watch_resume(struct rp_job_watch *watch) {
    if (rp_ts_is_zero(watch->sent_at))
        send_watch(watch);
}

bool rp_job_watch_check_leadership(struct rp_job_watch *watch) {
    struct rp_election *election = watch->context->election;
    struct timespec now = rp_loop_now(watch->context->loop);
    if (!rp_election_is_valid(election, now)) {
        watch->provable_since = (struct timespec){0};
        return false;
    }
    if (rp_ts_is_zero(watch->provable_since))
        watch->provable_since = now;
    /* A leader whose lease is renewed but who hears of no cancellation answers no worker: somebody
     * else has to lead. After an outage it has a moment to catch up. */
    bool had_time_to_catch_up = rp_ts_since(now, watch->provable_since) > CATCH_UP_S;
    if (had_time_to_catch_up && !rp_job_watch_may_answer_heartbeats(watch)) {
        rp_election_resign(election, RESIGN_BACKOFF_S);
        return false;
    }
    return true;
}

double rp_job_watch_staleness_s(const struct rp_job_watch *watch) {
    return rp_ts_since(rp_loop_now(watch->context->loop), watch->synced_at);
}

bool rp_job_watch_may_answer_heartbeats(const struct rp_job_watch *watch) {
    return rp_job_watch_staleness_s(watch) < rp_settings_max_staleness_s(watch->context->settings);
}

bool rp_job_watch_may_start_tasks(const struct rp_job_watch *watch) {
    bool is_fresh = rp_job_watch_staleness_s(watch) < START_STALENESS_MAX_S &&
                    rp_job_watch_may_answer_heartbeats(watch);
    return is_fresh && watch->has_covered_load && !watch->is_refused_alone;
}

void rp_job_watch_note_store_refusal(struct rp_job_watch *watch) {
    if (watch->is_running && !watch->is_refused_alone)
        rp_info("no more starts: reason=store_refuses_this_node_alone");
    watch->is_refused_alone = watch->is_running;
}

bool rp_job_watch_is_fence(const struct rp_kv_item *item) {
    return strcmp(item->key, RP_KEY_FENCE) == 0;
}

static void on_record_written(struct rp_job_watch *watch, const char *job_id,
                              const struct rp_kv_item *event) {
    struct rp_job *job = rp_job_table_find(watch->table, job_id);
    struct rp_partial_record *partial = rp_record_reader_find(watch->reader, job_id);
    if (job)
        job->record_revision = event->revision;
    else if (partial)
        partial->revision = event->revision;
    else
        rp_record_reader_read(watch->reader, event);
}

static void on_record_deleted(struct rp_job_watch *watch, const char *job_id) {
    struct rp_job *job = rp_job_table_find(watch->table, job_id);
    struct rp_partial_record *partial = rp_record_reader_find(watch->reader, job_id);
    if (partial) {
        struct rp_stored_records parts =
            rp_stored_records_of_parts(rp_record_n_parts(partial->record));
        partial->is_cancelled = true;
        rp_garbage_collector_add(watch->collector, job_id, &parts);
    } else if (job && job->state != RP_JOB_CLOSED) {
        rp_info("job closed: job=%s reason=%s", job->spec.id,
                job->state == RP_JOB_OPEN ? "cancelled" : "finished");
        /* What was about to be written of its progress may still arrive. */
        if (job->state == RP_JOB_OPEN)
            rp_garbage_collector_add(watch->collector, job->spec.id, &job->stored);
        rp_job_table_set_state(watch->table, job, RP_JOB_CLOSED);
    }
}

static void note_fences(struct rp_job_watch *watch, const struct rp_kv_result *result,
                        size_t n_events) {
    for (size_t i = 0; i < n_events; i++) {
        struct rp_kv_item event;
        if (rp_kv_result_event_at(result, i, &event) && rp_job_watch_is_fence(&event))
            rp_election_note_fence(watch->context->election, event.revision);
    }
}

static void apply_events(struct rp_job_watch *watch, const struct rp_kv_result *result,
                         size_t n_events) {
    for (size_t i = 0; i < n_events; i++) {
        struct rp_kv_item event;
        if (!rp_kv_result_event_at(result, i, &event) || rp_job_watch_is_fence(&event) ||
            strncmp(event.key, RP_KEY_OPEN, strlen(RP_KEY_OPEN)) != 0)
            continue;
        const char *job_id = event.key + strlen(RP_KEY_OPEN);
        if (event.value)
            on_record_written(watch, job_id, &event);
        else
            on_record_deleted(watch, job_id);
    }
}

static void take_answer(struct rp_job_watch *watch, unsigned long generation,
                        const struct rp_kv_result *result) {
    size_t n_events = rp_kv_result_n_events(result);
    /* Before anything else of the answer: jobs that come with a fence are the next leader's. */
    note_fences(watch, result, n_events);
    if (!rp_jobs_context_is_current(watch->context, generation))
        return;
    apply_events(watch, result, n_events);
    watch->has_covered_load = true;
    rp_record_reader_read_next_parts(watch->reader);
    uint64_t revision = rp_kv_result_revision(result);
    if (revision > watch->revision)
        watch->revision = revision;
    watch->synced_at = watch->sent_at;
    watch->must_return_at_once = watch->is_refused_alone = false;
    send_watch(watch);
    if (n_events > 0)
        watch->on_jobs_changed(watch->arg);
}

static void on_watch_response(void *arg, const struct rp_kv_result *result) {
    struct watch_request *request = arg;
    struct rp_job_watch *watch = request->watch;
    if (!rp_jobs_context_is_current(watch->context, request->generation) || !watch->is_running)
        goto out;
    if (result->outcome == RP_KV_OK && result->body) {
        take_answer(watch, request->generation, result);
    } else if (result->outcome == RP_KV_COMPACTED) {
        /* The watch fell too far behind: the table has to be read again, and with it the cluster
         * state of who may be where. Under the same fencing token old copies of heartbeats would
         * pass for new ones there, and so would attempt numbers: another term begins. */
        rp_election_resign(watch->context->election, 0);
    } else {
        watch->sent_at = (struct timespec){0}; /* the tick sends it again */
        watch->must_return_at_once = true;
    }
out:
    free(request);
}

/* After a failure the first watch is answered at once, with all that was written meanwhile: workers
 * wait for it. */
static void send_watch(struct rp_job_watch *watch) {
    const struct rp_jobs_context *context = watch->context;
    double max_staleness_s = rp_settings_max_staleness_s(context->settings);
    double hold_s = watch->must_return_at_once
                        ? 0
                        : fmin(WATCH_HOLD_MAX_S, WATCH_HOLD_STALENESS_SHARE * max_staleness_s);
    struct watch_request *request = rp_alloc(1, sizeof *request);
    request->watch = watch;
    request->generation = context->generation;
    watch->sent_at = rp_loop_now(context->loop);
    rp_kv_watch(context->store, RP_KEY_OPEN, watch->revision, hold_s, on_watch_response, request);
}
