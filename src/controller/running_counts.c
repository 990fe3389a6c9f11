#include "controller/running_counts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "api/response_status.h"
#include "protocol/codec.h"

/* Seconds between two questions: users look at counts, nothing is decided by them. */
#define ASK_PERIOD_S 2.0
/* Seconds for an answer: less than until the next question, so that one is under way at a time. */
#define ANSWER_WAIT_S 1.5
/* A question that failed sooner was refused rather than unanswered. */
#define UNANSWERED_S (ANSWER_WAIT_S / 2)

static int compare_ids(const void *a, const void *b) {
    return strcmp(((const struct rp_job_status *)a)->id, ((const struct rp_job_status *)b)->id);
}

/* Replaces what was told before by `jobs`: {ID: [done, running], ...}. */
static void read_counts(struct rp_running_counts *counts, json_t *jobs) {
    const char *id;
    json_t *pair;
    rp_running_counts_free(counts);
    counts->told = calloc(json_object_size(jobs) + 1, sizeof *counts->told);
    if (!counts->told)
        return; /* only display: zeros are shown until the next answer */
    json_object_foreach(jobs, id, pair) {
        struct rp_job_status *status = &counts->told[counts->n_told++];
        snprintf(status->id, sizeof status->id, "%s", id);
        status->done = (uint32_t)json_integer_value(json_array_get(pair, 0));
        status->running = (uint32_t)json_integer_value(json_array_get(pair, 1));
    }
    qsort(counts->told, counts->n_told, sizeof *counts->told, compare_ids);
}

static void on_counts_response(void *arg, const struct rp_answer *answer) {
    struct rp_running_counts *counts = arg;
    bool is_answered = answer->status != 0;
    /* A refused connection, told at once, doesn't prove that the leader is silent. */
    bool is_silent =
        !is_answered && rp_ts_since(rp_loop_now(counts->loop), counts->asked_at) > UNANSWERED_S;
    if (is_answered || is_silent)
        rp_election_note_leader_answer(counts->election, is_answered);
    json_t *body =
        answer->status == RP_RESPONSE_OK ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    json_t *jobs = json_object_get(body, "jobs");
    if (json_is_object(jobs))
        read_counts(counts, jobs);
    json_decref(body);
}

static void on_question_due(void *arg) {
    struct rp_running_counts *counts = arg;
    const struct rp_settings *settings = counts->settings;
    rp_timer_set(counts->loop, &counts->timer, ASK_PERIOD_S);
    counts->asked_at = rp_loop_now(counts->loop);
    if (*counts->node_state != RP_NODE_FOLLOWING)
        return;
    for (size_t i = 0; i < settings->n_peers; i++)
        if (strcmp(settings->peers[i].name, counts->election->leader) == 0)
            counts->net.call(counts->net.ctx, settings->peers[i].addr, "GET",
                             RP_PATH_RUNNING_COUNTS, NULL, ANSWER_WAIT_S, on_counts_response,
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
                                         .timer = {.fn = on_question_due, .arg = counts}};
}

void rp_running_counts_start(struct rp_running_counts *counts) {
    rp_timer_set(counts->loop, &counts->timer, ASK_PERIOD_S);
}

void rp_running_counts_stop(struct rp_running_counts *counts) {
    rp_timer_cancel(counts->loop, &counts->timer);
}

void rp_running_counts_free(struct rp_running_counts *counts) {
    free(counts->told);
    counts->told = NULL;
    counts->n_told = 0;
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
    } else if (counts->n_told > 0) {
        const struct rp_job_status *told =
            bsearch(status, counts->told, counts->n_told, sizeof *counts->told, compare_ids);
        status->done = told ? told->done : 0;
        status->running = told ? told->running : 0;
    }
    if (status->running)
        status->phase = RP_JOB_RUNNING;
}
