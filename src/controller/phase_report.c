#include "controller/phase_report.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"
#include "cluster/job_phase.h"
#include "protocol/phase_codec.h"
#include "store/records.h"

/* Seconds between two records. */
#define PUBLISH_PERIOD_S 1.0
/* Seconds without a poll after which a peer counts as one that cannot reach this node: longer than
 * the period of the polls (phase_view.c). */
#define PEER_UNSERVED_S 3.0
#define BYTES_PER_KB 1024
/* Maximum number of records. */
#define RECORDS_MAX 4
/* Changes that the leader's write budget keeps for other writes. */
#define WRITE_RESERVE_CHANGES 1.0

static void take_snapshot(struct rp_phase_report *report, struct rp_phase_snapshot *snapshot) {
    struct rp_cluster *cluster = report->cluster;
    *snapshot = (struct rp_phase_snapshot){.is_complete = true};
    snapshot->jobs = rp_alloc(cluster->jobs->table.n_jobs + 1, sizeof *snapshot->jobs);
    for (struct rp_job *job = cluster->jobs->table.first; job; job = job->next) {
        struct rp_job_status status = {0};
        rp_job_phase_read(cluster, job, &status);
        if (status.phase == RP_JOB_QUEUED && job->n_done == 0 && job->n_allocated == 0)
            continue;
        rp_string_copy(status.id, sizeof status.id, job->spec.id);
        snapshot->jobs[snapshot->n_jobs++] = status;
    }
    rp_phase_snapshot_sort(snapshot);
}

bool rp_phase_report_may_report(const struct rp_phase_report *report) {
    return *report->node_state == RP_NODE_LEADING &&
           rp_election_is_valid(report->election, rp_loop_now(report->loop));
}

static void record_poll(struct rp_phase_report *report, const char *query) {
    const struct rp_settings *settings = report->settings;
    if (strncmp(query, RP_QUERY_PHASES_NODE, strlen(RP_QUERY_PHASES_NODE)) != 0)
        return;
    for (size_t i = 0; i < settings->n_peers; i++)
        if (strcmp(settings->peers[i].name, query + strlen(RP_QUERY_PHASES_NODE)) == 0)
            report->polled_at[i] = rp_loop_now(report->loop);
}

char *rp_phase_report_answer(struct rp_phase_report *report, const char *query) {
    struct rp_phase_snapshot snapshot;
    record_poll(report, query);
    take_snapshot(report, &snapshot);
    char *text = rp_phase_codec_write(report->settings->node, &snapshot);
    rp_phase_snapshot_free(&snapshot);
    return text;
}

/* ---- records ---- */

static bool is_any_peer_unserved(const struct rp_phase_report *report) {
    struct timespec now = rp_loop_now(report->loop);
    if (rp_ts_since(now, report->reporting_since) <= PEER_UNSERVED_S)
        return false;
    for (size_t i = 0; i < report->settings->n_peers; i++)
        if (rp_ts_since(now, report->polled_at[i]) > PEER_UNSERVED_S)
            return true;
    return false;
}

static void on_published(void *arg, const struct rp_kv_result *result) {
    struct rp_phase_report *report = arg;
    /* There is no retry: the next record is newer. */
    if (result->outcome == RP_KV_OK)
        report->n_published++;
}

/* Writes at most `n_max` records. */
static void publish(struct rp_phase_report *report, size_t n_max) {
    const struct rp_kv_limits *limits = &report->settings->kv_limits_lowest;
    size_t max_bytes = (size_t)(limits->value_kb * BYTES_PER_KB);
    struct rp_phase_snapshot snapshot;
    json_t *records[RECORDS_MAX];
    char name[sizeof RP_PHASES_FIRST_RECORD];
    char key[RP_KEY_MAX];
    take_snapshot(report, &snapshot);
    size_t n = rp_phase_codec_write_records(&snapshot, rp_loop_wall_now(report->loop), max_bytes,
                                            records, n_max);
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(report->election, txn);
    for (size_t i = 0; i < n; i++) {
        rp_string_copy(name, sizeof name, RP_PHASES_FIRST_RECORD);
        name[0] = (char)(name[0] + i);
        rp_key(key, RP_KEY_PHASES, name);
        rp_kv_txn_put(txn, key, records[i], report->election->lease);
    }
    rp_phase_snapshot_free(&snapshot);
    rp_kv_txn_submit(report->store, RP_KV_BUDGET_LEADER, txn, on_published, report);
}

/* How many records may be written now without delaying the leader's other writes. */
static size_t n_records_max(const struct rp_phase_report *report) {
    double headroom =
        rp_kv_write_headroom(report->store, RP_KV_BUDGET_LEADER) - WRITE_RESERVE_CHANGES;
    size_t n_max = report->settings->kv_limits_lowest.txn_ops;
    if (n_max > RECORDS_MAX)
        n_max = RECORDS_MAX;
    if (headroom < (double)n_max)
        n_max = headroom > 0 ? (size_t)headroom : 0;
    return n_max;
}

static void on_publish_due(void *arg) {
    struct rp_phase_report *report = arg;
    rp_timer_set(report->loop, &report->timer, PUBLISH_PERIOD_S);
    if (!rp_phase_report_may_report(report)) {
        report->reporting_since = (struct timespec){0};
        return;
    }
    if (rp_ts_is_zero(report->reporting_since))
        report->reporting_since = rp_loop_now(report->loop);
    size_t n_max = is_any_peer_unserved(report) ? n_records_max(report) : 0;
    if (n_max > 0)
        publish(report, n_max);
}

void rp_phase_report_init(struct rp_phase_report *report, struct rp_loop *loop,
                          struct rp_kv_client *store, const struct rp_settings *settings,
                          const enum rp_node_state *node_state, struct rp_election *election,
                          struct rp_cluster *cluster) {
    *report = (struct rp_phase_report){.loop = loop,
                                       .store = store,
                                       .settings = settings,
                                       .node_state = node_state,
                                       .election = election,
                                       .cluster = cluster,
                                       .timer = {.fn = on_publish_due, .arg = report}};
    report->polled_at = rp_alloc(settings->n_peers + 1, sizeof *report->polled_at);
}

void rp_phase_report_start(struct rp_phase_report *report) {
    rp_timer_set(report->loop, &report->timer, PUBLISH_PERIOD_S);
}

void rp_phase_report_close(struct rp_phase_report *report) {
    rp_timer_cancel(report->loop, &report->timer);
    free(report->polled_at);
    report->polled_at = NULL;
}
