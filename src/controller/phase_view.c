#include "controller/phase_view.h"

#include <stdio.h>
#include <string.h>
#include "api/response_status.h"
#include "base/string_copy.h"
#include "cluster/job_phase.h"
#include "store/records.h"

/* Seconds between two polls of the leader that no query has requested. */
#define POLL_PERIOD_S 2.0
/* Seconds to wait for a response: less than POLL_PERIOD_S, so that one poll is in flight at a time.
 */
#define RESPONSE_TIMEOUT_S 1.5
/* Seconds after which a failed poll counts as unanswered; a poll that failed sooner was refused. */
#define UNANSWERED_MIN_S (RESPONSE_TIMEOUT_S / 2)
/* Age in seconds from which a query requests a newer snapshot. */
#define SNAPSHOT_AGE_REFRESH_S 1.8
/* Shortest time in seconds between two polls, and between two reads of the records. */
#define REFRESH_PERIOD_MIN_S 0.3
/* Seconds without a response to a poll after which the records are read, too. */
#define POLL_SLOW_S 0.25
/* Seconds without a response to a poll after which the next poll does not name this node. */
#define POLL_LATE_S 0.5
/* Records on a page of the list: at least as many as a leader writes. */
#define RECORDS_MAX 16

/* ---- polls of the leader ---- */

/* Takes over the snapshot if it is newer than the one before. */
static void take_snapshot(struct rp_phase_view *view, struct rp_phase_snapshot *snapshot,
                          struct timespec as_of) {
    if (rp_ts_cmp(as_of, view->as_of) <= 0) {
        rp_phase_snapshot_free(snapshot);
        return;
    }
    rp_phase_snapshot_free(&view->snapshot);
    view->snapshot = *snapshot;
    view->as_of = as_of;
}

/* Whether the leader is of a version that answers no poll with a name. That is forgotten when
 * another node leads. */
static bool is_old_leader(struct rp_phase_view *view) {
    if (strcmp(view->old_leader, view->election->leader) != 0)
        view->old_leader[0] = '\0';
    return *view->old_leader;
}

static void record_leader_response(const struct rp_phase_view *view, bool is_answered) {
    /* A refused connection, which is reported at once, does not prove that the leader is silent. */
    bool is_silent =
        !is_answered && rp_ts_since(rp_loop_now(view->loop), view->polled_at) > UNANSWERED_MIN_S;
    if (is_answered || is_silent)
        rp_election_record_leader_response(view->election, is_answered);
}

static void poll_leader(struct rp_phase_view *view);

static void on_poll_response(void *arg, const struct rp_response *answer) {
    struct rp_phase_view *view = arg;
    struct rp_phase_snapshot snapshot;
    bool is_answered = answer->status != 0;
    bool was_old_leader = is_old_leader(view);
    view->poll_in_flight = false;
    record_leader_response(view, is_answered);
    view->has_poll_failed = answer->status != RP_RESPONSE_OK ||
                            !rp_phase_codec_parse(answer->body, answer->len, &snapshot);
    view->was_poll_late = view->has_poll_failed ||
                          rp_ts_since(rp_loop_now(view->loop), view->polled_at) > POLL_LATE_S;
    if (!view->has_poll_failed)
        take_snapshot(view, &snapshot, view->polled_at);
    bool is_refused = answer->status == RP_RESPONSE_NOT_FOUND;
    if (was_old_leader && view->has_poll_failed)
        view->old_leader[0] = '\0';
    if (!is_refused || was_old_leader)
        return;
    rp_string_copy(view->old_leader, sizeof view->old_leader, view->election->leader);
    poll_leader(view);
}

/* Polls the leader, if this node knows one and no poll is in flight. */
static void poll_leader(struct rp_phase_view *view) {
    const struct rp_settings *settings = view->settings;
    char target[sizeof RP_PATH_PHASES RP_QUERY_PHASES_NODE + RP_NAME_MAX];
    if (view->poll_in_flight || *view->report->node_state != RP_NODE_FOLLOWING)
        return;
    /* A leader writes records while a node's polls do not come, or come without its name: their
     * responses are late. */
    bool is_named = !is_old_leader(view) && !view->was_poll_late;
    snprintf(target, sizeof target, "%s%s%s", RP_PATH_PHASES, is_named ? RP_QUERY_PHASES_NODE : "",
             is_named ? settings->node : "");
    view->polled_at = rp_loop_now(view->loop);
    view->has_poll_failed = true; /* unless the leader is known, and responds */
    for (size_t i = 0; i < settings->n_peers; i++) {
        if (strcmp(settings->peers[i].name, view->election->leader) != 0)
            continue;
        view->poll_in_flight = true;
        view->has_poll_failed = false;
        view->net.call(view->net.ctx, settings->peers[i].addr, "GET", target, NULL,
                       RESPONSE_TIMEOUT_S, on_poll_response, view);
    }
}

static void on_poll_due(void *arg) {
    struct rp_phase_view *view = arg;
    rp_timer_set(view->loop, &view->timer, POLL_PERIOD_S);
    poll_leader(view);
}

/* ---- the records ---- */

/* Takes over a snapshot that a leader wrote at this time of day. Both nodes' clocks may be wrong. A
 * write may have been carried out late: only the time of day shows how old the records are. */
static void take_written_snapshot(struct rp_phase_view *view, struct rp_phase_snapshot *snapshot,
                                  struct timespec written_at) {
    double skew_s = 2 * view->settings->clock_skew_s;
    double age_s = rp_ts_since(rp_loop_wall_now(view->loop), written_at);
    rp_phase_snapshot_sort(snapshot);
    if (age_s < -skew_s)
        rp_phase_snapshot_free(snapshot);
    else
        take_snapshot(view, snapshot, rp_ts_sub(rp_loop_now(view->loop), rp_ts(age_s + skew_s)));
}

static uint64_t newest_revision(const struct rp_kv_result *result) {
    struct rp_kv_item item;
    uint64_t newest = 0;
    for (size_t i = 0; i < rp_kv_result_n_items(result); i++)
        if (rp_kv_result_item_at(result, i, &item) && item.revision > newest)
            newest = item.revision;
    return newest;
}

/* Reads the records of the newest transaction. There may be older ones, if an earlier transaction
 * wrote more records. */
static void on_records_listed(void *arg, const struct rp_kv_result *result) {
    struct rp_phase_view *view = arg;
    struct rp_phase_snapshot snapshot = {0};
    struct rp_kv_item items[RECORDS_MAX];
    struct timespec written_at;
    uint64_t newest = newest_revision(result);
    size_t n = 0;
    view->records_read_in_flight = false;
    for (size_t i = 0; i < rp_kv_result_n_items(result) && n < RECORDS_MAX; i++)
        if (rp_kv_result_item_at(result, i, &items[n]) && items[n].revision == newest)
            n++;
    bool is_ok = n > 0;
    for (size_t i = 0; i < n; i++)
        is_ok &= rp_phase_codec_read_record(items[i].value, n, &snapshot, &written_at);
    if (is_ok)
        take_written_snapshot(view, &snapshot, written_at);
    else
        rp_phase_snapshot_free(&snapshot);
}

/* Mostly there is one record; more of them are read together. */
static void on_first_record_read(void *arg, const struct rp_kv_result *result) {
    struct rp_phase_view *view = arg;
    struct rp_phase_snapshot snapshot = {0};
    struct timespec written_at;
    struct rp_kv_item item;
    bool exists = rp_kv_result_item(result, &item);
    view->records_read_in_flight = false;
    if (exists && rp_phase_codec_read_record(item.value, 1, &snapshot, &written_at)) {
        take_written_snapshot(view, &snapshot, written_at);
        return;
    }
    rp_phase_snapshot_free(&snapshot);
    if (!exists)
        return;
    view->records_read_in_flight = true;
    rp_kv_list(view->store, RP_KV_BUDGET_QUERIES, RP_KEY_PHASES, NULL, RECORDS_MAX,
               on_records_listed, view);
}

static void read_records(struct rp_phase_view *view) {
    char key[RP_KEY_MAX];
    if (view->records_read_in_flight)
        return;
    view->records_read_at = rp_loop_now(view->loop);
    view->records_read_in_flight = true;
    rp_key(key, RP_KEY_PHASES, RP_PHASES_FIRST_RECORD);
    rp_kv_get(view->store, RP_KV_BUDGET_QUERIES, key, on_first_record_read, view);
}

/* ---- queries ---- */

/* Requests a newer snapshot, from the leader and, while it does not respond, from the store. */
static void request_snapshot(struct rp_phase_view *view) {
    struct timespec now = rp_loop_now(view->loop);
    double since_poll_s = rp_ts_since(now, view->polled_at);
    bool is_slow = view->poll_in_flight && since_poll_s > POLL_SLOW_S;
    if (since_poll_s > REFRESH_PERIOD_MIN_S)
        poll_leader(view);
    if ((is_slow || view->has_poll_failed) &&
        rp_ts_since(now, view->records_read_at) > REFRESH_PERIOD_MIN_S)
        read_records(view);
}

static void read_own(const struct rp_phase_view *view, struct rp_job_status *status) {
    struct rp_job *job = rp_jobs_find(view->cluster->jobs, status->id);
    if (!rp_phase_report_may_report(view->report))
        return;
    /* A job that is not in the table was accepted a moment ago, after this node began to lead: none
     * of its tasks has been started. */
    status->phase = RP_JOB_QUEUED;
    if (job)
        rp_job_phase_read(view->cluster, job, status);
}

static void read_received(struct rp_phase_view *view, struct rp_job_status *status) {
    double snapshot_age_s = rp_ts_since(rp_loop_now(view->loop), view->as_of);
    bool is_refresh_due = rp_ts_is_zero(view->as_of) || snapshot_age_s > SNAPSHOT_AGE_REFRESH_S;
    rp_phase_snapshot_find(&view->snapshot, status);
    status->age_s += snapshot_age_s;
    if (rp_ts_is_zero(view->as_of) || status->age_s > RP_JOB_PHASE_AGE_MAX_S)
        status->phase = RP_JOB_UNDETERMINED;
    if (is_refresh_due || status->phase == RP_JOB_UNDETERMINED)
        request_snapshot(view);
}

void rp_phase_view_read(void *view_of_api, struct rp_job_status *status) {
    struct rp_phase_view *view = view_of_api;
    status->phase = RP_JOB_UNDETERMINED;
    status->done = status->running = 0;
    if (*view->report->node_state == RP_NODE_LEADING)
        read_own(view, status);
    else
        read_received(view, status);
}

/* ---- start and stop ---- */

void rp_phase_view_init(struct rp_phase_view *view, struct rp_loop *loop, struct rp_net net,
                        struct rp_kv_client *store, const struct rp_settings *settings,
                        struct rp_election *election, struct rp_cluster *cluster,
                        const struct rp_phase_report *report) {
    *view = (struct rp_phase_view){.loop = loop,
                                   .net = net,
                                   .store = store,
                                   .settings = settings,
                                   .election = election,
                                   .cluster = cluster,
                                   .report = report,
                                   .timer = {.fn = on_poll_due, .arg = view}};
}

void rp_phase_view_start(struct rp_phase_view *view) {
    rp_timer_set(view->loop, &view->timer, POLL_PERIOD_S);
}

void rp_phase_view_close(struct rp_phase_view *view) {
    rp_timer_cancel(view->loop, &view->timer);
    rp_phase_snapshot_free(&view->snapshot);
}
