#include "controller/running_counts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "api/response_status.h"
#include "protocol/codec.h"

/* Seconds between two polls of the leader: the counts are only displayed, and no decision depends
 * on them. */
#define POLL_PERIOD_S 2.0
/* Seconds to wait for a response: less than POLL_PERIOD_S, so that one poll is in flight at a time.
 */
#define RESPONSE_TIMEOUT_S 1.5
/* Seconds after which a failed poll counts as unanswered; a poll that failed sooner was refused. */
#define UNANSWERED_MIN_S (RESPONSE_TIMEOUT_S / 2)

static int compare_ids(const void *a, const void *b) {
    return strcmp(((const struct rp_job_status *)a)->id, ((const struct rp_job_status *)b)->id);
}

/* Replaces the counts received before by `jobs`: {ID: [done, running], ...}. */
static void read_counts(struct rp_running_counts *counts, json_t *jobs) {
    const char *id;
    json_t *pair;
    rp_running_counts_free(counts);
    counts->received = calloc(json_object_size(jobs) + 1, sizeof *counts->received);
    if (!counts->received)
        return; /* only for display: zeros are shown until the next response */
    json_object_foreach(jobs, id, pair) {
        struct rp_job_status *status = &counts->received[counts->n_received++];
        snprintf(status->id, sizeof status->id, "%s", id);
        status->done = (uint32_t)json_integer_value(json_array_get(pair, 0));
        status->running = (uint32_t)json_integer_value(json_array_get(pair, 1));
    }
    qsort(counts->received, counts->n_received, sizeof *counts->received, compare_ids);
}

static void on_counts_response(void *arg, const struct rp_response *answer) {
    struct rp_running_counts *counts = arg;
    bool is_answered = answer->status != 0;
    /* A refused connection, which is reported at once, does not prove that the leader is silent. */
    bool is_silent = !is_answered &&
                     rp_ts_since(rp_loop_now(counts->loop), counts->polled_at) > UNANSWERED_MIN_S;
    if (is_answered || is_silent)
        rp_election_record_leader_response(counts->election, is_answered);
    json_t *body =
        answer->status == RP_RESPONSE_OK ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    json_t *jobs = json_object_get(body, "jobs");
    if (json_is_object(jobs))
        read_counts(counts, jobs);
    json_decref(body);
}

static void on_poll_due(void *arg) {
    struct rp_running_counts *counts = arg;
    const struct rp_settings *settings = counts->settings;
    rp_timer_set(counts->loop, &counts->timer, POLL_PERIOD_S);
    counts->polled_at = rp_loop_now(counts->loop);
    if (*counts->node_state != RP_NODE_FOLLOWING)
        return;
    for (size_t i = 0; i < settings->n_peers; i++)
        if (strcmp(settings->peers[i].name, counts->election->leader) == 0)
            counts->net.call(counts->net.ctx, settings->peers[i].addr, "GET",
                             RP_PATH_RUNNING_COUNTS, NULL, RESPONSE_TIMEOUT_S, on_counts_response,
                             counts);
}

void rp_running_counts_init(struct rp_running_counts *counts, struct rp_loop *loop,
                            struct rp_net net, const struct rp_settings *settings,
                            const enum rp_node_state *node_state, struct rp_election *election,
                            const struct rp_jobs *jobs) {
    *counts = (struct rp_running_counts){.loop = loop,
                                         .net = net,
                                         .settings = settings,
                                         .node_state = node_state,
                                         .election = election,
                                         .jobs = jobs,
                                         .timer = {.fn = on_poll_due, .arg = counts}};
}

void rp_running_counts_start(struct rp_running_counts *counts) {
    rp_timer_set(counts->loop, &counts->timer, POLL_PERIOD_S);
}

void rp_running_counts_stop(struct rp_running_counts *counts) {
    rp_timer_cancel(counts->loop, &counts->timer);
}

void rp_running_counts_free(struct rp_running_counts *counts) {
    free(counts->received);
    counts->received = NULL;
    counts->n_received = 0;
}

char *rp_running_counts_json(const struct rp_running_counts *counts) {
    json_t *jobs = json_object();
    for (const struct rp_job *job = counts->jobs->table.first; job; job = job->next) {
        bool has_counts = job->n_done > 0 || job->n_running > 0;
        if (has_counts && job->state != RP_JOB_CLOSED)
            json_object_set_new(jobs, job->spec.id,
                                json_pack("[i,i]", (int)job->n_done, (int)job->n_running));
    }
    json_t *value = json_pack("{s:s,s:o}", "node", counts->settings->node, "jobs", jobs);
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}

void rp_running_counts_fill(void *running_counts, struct rp_job_status *status) {
    const struct rp_running_counts *counts = running_counts;
    status->phase = RP_JOB_QUEUED;
    status->done = status->running = 0;
    if (*counts->node_state == RP_NODE_LEADING) {
        const struct rp_job *job = rp_jobs_find(counts->jobs, status->id);
        status->done = job ? job->n_done : 0;
        status->running = job ? job->n_running : 0;
    } else if (counts->n_received > 0) {
        const struct rp_job_status *received = bsearch(status, counts->received, counts->n_received,
                                                       sizeof *counts->received, compare_ids);
        status->done = received ? received->done : 0;
        status->running = received ? received->running : 0;
    }
    if (status->running)
        status->phase = RP_JOB_RUNNING;
}
