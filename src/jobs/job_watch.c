#include "jobs/job_watch.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"

/* Bounds on how long the store may hold a watch request while nothing changes: seconds, and a share
 * of the allowed staleness. Each response renews the table's freshness, so several must arrive
 * within the allowed staleness. */
#define WATCH_HOLD_MAX_S 3.0
#define WATCH_HOLD_STALENESS_SHARE 0.3
/* Maximum staleness of the table in seconds at which tasks are started: a start needs a fresher
 * table than a response to a heartbeat. */
#define START_STALENESS_MAX_S 9.0
/* Seconds within which the first watch request has to be answered after the leader's lease has
 * become provable again. */
#define WATCH_CATCH_UP_S 3.0
/* Seconds for which a leader that resigned because its watch was not answered does not claim the
 * leader's key again, so that another node can. */
#define RESIGN_BACKOFF_S 5.0

/* A watch request in flight. */
struct watch_request {
    struct rp_job_watch *watch;
    unsigned long generation;
};

static void send_watch(struct rp_job_watch *watch);

void rp_job_watch_init(struct rp_job_watch *watch, const struct rp_jobs_context *context,
                       struct rp_job_table *table, struct rp_record_reader *reader,
                       struct rp_garbage_collector *collector, struct rp_deleted_records *deleted) {
    *watch = (struct rp_job_watch){.context = context,
                                   .table = table,
                                   .reader = reader,
                                   .collector = collector,
                                   .deleted = deleted};
}

void rp_job_watch_stop(struct rp_job_watch *watch) {
    watch->is_running = watch->should_return_at_once = watch->is_isolated_from_store = false;
    watch->lease_provable_since = (struct timespec){0};
}

void rp_job_watch_on_load_start(struct rp_job_watch *watch) {
    watch->revision = watch->load_revision = 0;
    watch->has_caught_up_with_load = true;
    watch->synced_at = rp_loop_now(watch->context->loop);
}

void rp_job_watch_on_list_page(struct rp_job_watch *watch, uint64_t revision, bool has_more) {
    /* The watch starts at the first page's revision, so it returns all changes made between the
     * pages. */
    if (watch->revision == 0)
        watch->revision = revision;
    if (revision > watch->load_revision)
        watch->load_revision = revision;
    /* A later page may contain jobs that were accepted after a failover from this leader, whose
     * fence was written too late for the first page: the watch returns the fence. */
    watch->should_return_at_once |= has_more;
    watch->has_caught_up_with_load &= !has_more;
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
        watch->lease_provable_since = (struct timespec){0};
        return false;
    }
    if (rp_ts_is_zero(watch->lease_provable_since))
        watch->lease_provable_since = now;
    /* A leader whose lease is renewed but that receives no cancellations answers no worker: another
     * node has to lead. After an outage the watch has WATCH_CATCH_UP_S to catch up. */
    bool is_catch_up_over = rp_ts_since(now, watch->lease_provable_since) > WATCH_CATCH_UP_S;
    if (is_catch_up_over && !rp_job_watch_may_answer_heartbeats(watch)) {
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
    return is_fresh && watch->has_caught_up_with_load && !watch->is_isolated_from_store;
}

void rp_job_watch_record_store_isolation(struct rp_job_watch *watch) {
    if (watch->is_running && !watch->is_isolated_from_store)
        rp_info("task starts suspended: reason=node_isolated_from_store");
    watch->is_isolated_from_store = watch->is_running;
}

bool rp_job_watch_is_fence(const struct rp_kv_item *item) {
    return strcmp(item->key, RP_KEY_FENCE) == 0;
}

static void collect_parts(struct rp_job_watch *watch, const char *job_id, const json_t *record) {
    struct rp_stored_records parts = rp_stored_records_of_parts(rp_record_n_parts(record));
    rp_garbage_collector_add(watch->collector, job_id, &parts);
}

static void on_record_written(struct rp_job_watch *watch, const char *job_id,
                              const struct rp_kv_item *event) {
    struct rp_job *job = rp_job_table_find(watch->table, job_id);
    struct rp_partial_record *partial = rp_record_reader_find(watch->reader, job_id);
    if (rp_deleted_records_has(watch->deleted, job_id, event->revision))
        collect_parts(watch, job_id, event->value);
    else if (job && event->revision > job->record_revision)
        job->record_revision = event->revision;
    else if (partial && event->revision > partial->revision)
        partial->revision = event->revision;
    else if (!job && !partial)
        rp_record_reader_read(watch->reader, event);
}

static void on_record_deleted(struct rp_job_watch *watch, const char *job_id, uint64_t revision) {
    struct rp_job *job = rp_job_table_find(watch->table, job_id);
    struct rp_partial_record *partial = rp_record_reader_find(watch->reader, job_id);
    rp_deleted_records_add(watch->deleted, job_id, revision);
    if (partial && revision > partial->revision) {
        partial->is_cancelled = true;
        collect_parts(watch, job_id, partial->record);
    } else if (job && job->state != RP_JOB_CLOSED && revision > job->record_revision) {
        rp_info("job closed: job=%s reason=%s", job->spec.id,
                job->state == RP_JOB_OPEN ? "cancelled" : "finished");
        /* A cancellation deletes only the job's own record, and a write of its progress that is in
         * flight may still be carried out. */
        if (job->state == RP_JOB_OPEN)
            rp_garbage_collector_add(watch->collector, job->spec.id, &job->stored);
        rp_job_table_set_state(watch->table, job, RP_JOB_CLOSED);
    }
}

static void record_fences(struct rp_job_watch *watch, const struct rp_kv_result *result,
                          size_t n_events) {
    for (size_t i = 0; i < n_events; i++) {
        struct rp_kv_item event;
        if (rp_kv_result_event_at(result, i, &event) && rp_job_watch_is_fence(&event))
            rp_election_record_fence(watch->context->election, event.revision);
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
            on_record_deleted(watch, job_id, event.revision);
    }
}

static void process_response(struct rp_job_watch *watch, unsigned long generation,
                             const struct rp_kv_result *result) {
    size_t n_events = rp_kv_result_n_events(result);
    /* Fences are processed before all other events: jobs that arrive together with a fence belong
     * to the next leader. */
    record_fences(watch, result, n_events);
    if (!rp_jobs_context_is_current(watch->context, generation))
        return;
    apply_events(watch, result, n_events);
    rp_record_reader_read_next_parts(watch->reader);
    uint64_t revision = rp_kv_result_revision(result);
    if (revision > watch->revision)
        watch->revision = revision;
    /* The response contains every change up to its revision, and the next one none of them. */
    rp_deleted_records_remove_until(watch->deleted, watch->revision);
    watch->has_caught_up_with_load |= watch->revision >= watch->load_revision;
    watch->synced_at = watch->sent_at;
    watch->should_return_at_once = !watch->has_caught_up_with_load;
    watch->is_isolated_from_store = false;
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
        process_response(watch, request->generation, result);
    } else if (result->outcome == RP_KV_COMPACTED) {
        /* The store no longer keeps the changes after the watched revision: the table has to be
         * loaded again, and with it the cluster's state of which task may be on which machine. With
         * the same fencing token, old copies of heartbeats and old attempt numbers would be
         * accepted as new, so another term has to begin. */
        rp_election_resign(watch->context->election, 0);
    } else {
        watch->sent_at = (struct timespec){0}; /* zero: the next tick sends the request again */
        watch->should_return_at_once = true;
    }
out:
    free(request);
}

/* After a failure the first watch request returns immediately, with all changes made since the
 * watch's revision: responses to workers wait for it. */
static void send_watch(struct rp_job_watch *watch) {
    const struct rp_jobs_context *context = watch->context;
    double max_staleness_s = rp_settings_max_staleness_s(context->settings);
    double hold_s = watch->should_return_at_once
                        ? 0
                        : fmin(WATCH_HOLD_MAX_S, WATCH_HOLD_STALENESS_SHARE * max_staleness_s);
    struct watch_request *request = rp_alloc(1, sizeof *request);
    request->watch = watch;
    request->generation = context->generation;
    watch->sent_at = rp_loop_now(context->loop);
    rp_kv_watch(context->store, RP_KEY_OPEN, watch->revision, hold_s, on_watch_response, request);
}
