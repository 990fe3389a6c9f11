#include "store/kv_client.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "protocol/codec.h"
#include "protocol/kv_codec.h"

#define ANSWER_S 1.5      /* an answer takes milliseconds, now and then a few hundred */
#define QUEUE_USERS_S 0.3 /* how long a request may wait here for its budget */
#define QUEUE_LEADER_S 4.0
#define TRIES_429 3
#define BURST_SHARE 0.25
/* Of its even part that a node may use: balancers never spread evenly. For changes by users it is
 * more, since the leader rarely needs all of its own, and the service refuses what is too much. */
#define EVEN_SHARE 1.2
#define SUBMISSIONS_SHARE 1.8
#define LEADER_BURST 2.0 /* changes at once, at least: a job's move */
#define SHED_LOG_EVERY_S 5.0

static const char *const share_names[RP_KV_BUDGETS] = {"leadership", "leader", "submissions",
                                                       "queries"};

struct rp_kv_call {
    struct rp_kv_client *client;
    struct rp_kv_call *next;
    enum rp_kv_budget share;
    char *method, *target, *body;
    double timeout_s;
    unsigned writes;
    unsigned tries;
    struct timespec queued;
    struct rp_timer again;
    rp_kv_fn fn;
    void *arg;
};

static void pump_due(void *arg);

/* What is left of a bucket stays in it. */
static void set_rate(struct rp_token_bucket *bucket, double rate, double depth,
                     struct timespec now) {
    double level = bucket->depth > 0 ? fmin(bucket->level, depth) : depth;
    rp_token_bucket_init(bucket, rate, depth, now);
    bucket->level = level;
}

void rp_kv_client_set_limits(struct rp_kv_client *client, double rps, double write_rps) {
    struct timespec now = rp_loop_now(client->loop);
    /* The shares of all nodes together stay below the service's limits: one leader, and on each
     * node its users. A node may use half as much again as its even part, since the load
     * balancer never spreads evenly. */
    double users = 1.0 - client->leader_write_share;
    double part = EVEN_SHARE / (double)client->n_nodes;
    double changes = users * SUBMISSIONS_SHARE / (double)client->n_nodes;
    set_rate(&client->requests[RP_KV_BUDGET_LEADER], rps * 0.3, rps * 0.25, now);
    set_rate(&client->writes[RP_KV_BUDGET_LEADER], write_rps * client->leader_write_share * 0.9,
             fmax(write_rps * client->leader_write_share * 0.6, LEADER_BURST), now);
    set_rate(&client->requests[RP_KV_BUDGET_QUERIES], rps * 0.45 * part, rps * 0.35 * part, now);
    set_rate(&client->requests[RP_KV_BUDGET_SUBMISSIONS], rps * 0.1 * part, rps * 0.05, now);
    /* Submissions come in bursts, and no node knows of the others': a node may let a quarter of a
     * second's worth of changes go at once, however many nodes there are, and rely on the service
     * to refuse what is too much, which is then tried again. */
    set_rate(&client->writes[RP_KV_BUDGET_SUBMISSIONS], write_rps * changes,
             write_rps * fmax(changes, BURST_SHARE), now);
}

void rp_kv_client_init(struct rp_kv_client *client, struct rp_loop *loop, struct rp_net net,
                       const char *addr, double rps, double write_rps, size_t n_nodes,
                       double leader_write_share) {
    memset(client, 0, sizeof *client);
    client->loop = loop;
    client->net = net;
    client->addr = addr;
    client->n_nodes = n_nodes;
    client->leader_write_share = leader_write_share;
    client->pump = (struct rp_timer){.fn = pump_due, .arg = client};
    rp_kv_client_set_limits(client, rps, write_rps);
}

static void call_free(struct rp_kv_call *call) {
    rp_timer_cancel(call->client->loop, &call->again);
    free(call->method);
    free(call->target);
    free(call->body);
    free(call);
}

void rp_kv_client_close(struct rp_kv_client *client) {
    rp_timer_cancel(client->loop, &client->pump);
    for (int s = 0; s < RP_KV_BUDGETS; s++)
        while (client->first[s]) {
            struct rp_kv_call *call = client->first[s];
            client->first[s] = call->next;
            call_free(call);
        }
}

static void finish(struct rp_kv_call *call, enum rp_kv_outcome outcome, json_t *body) {
    struct rp_kv_result result = {.outcome = outcome, .body = body};
    rp_kv_fn fn = call->fn;
    void *arg = call->arg;
    call_free(call);
    fn(arg, &result);
    json_decref(body);
}

static enum rp_kv_outcome outcome_of(int status) {
    switch (status) {
    case 200:
        return RP_KV_OK;
    case 400:
        return RP_KV_BAD_REQUEST;
    case 404:
        return RP_KV_NOT_FOUND;
    case 409:
        return RP_KV_CONDITION_FAILED;
    case 410:
        return RP_KV_COMPACTED;
    case 429:
    case 503:
        return RP_KV_REFUSED;
    default:
        return RP_KV_UNKNOWN;
    }
}

static void note_health(struct rp_kv_client *client, enum rp_kv_outcome outcome, int status) {
    struct timespec now = rp_loop_now(client->loop);
    if (outcome == RP_KV_UNKNOWN || status == 503) {
        if (client->failing_since.tv_sec == 0 && client->failing_since.tv_nsec == 0)
            client->failing_since = now;
    } else {
        client->failing_since = (struct timespec){0};
        client->n_ok++;
    }
    client->n_refused += outcome == RP_KV_REFUSED;
    client->n_unknown += outcome == RP_KV_UNKNOWN;
}

static void enqueue(struct rp_kv_call *call);

static void again_due(void *arg) {
    enqueue(arg);
}

/* The service took less than we thought that it would: its limits have come down, or other nodes
 * used them up. What was refused is paid for once more, so that the pace goes down with it. */
static void too_fast(struct rp_kv_client *client, const struct rp_kv_call *call) {
    struct rp_token_bucket *writes = &client->writes[call->share];
    if (client->n_too_fast++ % 100 == 0)
        rp_info("state service refuses more requests or changes a second, so far %lu times",
                client->n_too_fast);
    if (writes->level > -writes->depth)
        rp_token_bucket_take(writes, call->writes);
}

static void answered(void *arg, const struct rp_answer *answer) {
    struct rp_kv_call *call = arg;
    struct rp_kv_client *client = call->client;
    enum rp_kv_outcome outcome = outcome_of(answer->status);
    json_t *body = NULL;
    note_health(client, outcome, answer->status);
    if (answer->status == 429)
        too_fast(client, call);
    if (answer->status == 429 && ++call->tries < TRIES_429) {
        rp_timer_set(client->loop, &call->again, 0.1 * call->tries);
        return;
    }
    if (answer->len)
        body = rp_codec_parse_object(answer->body, answer->len);
    if (outcome == RP_KV_OK && answer->len && !body)
        outcome = RP_KV_UNKNOWN;
    client->n_bad += outcome == RP_KV_BAD_REQUEST;
    if (outcome == RP_KV_BAD_REQUEST)
        rp_error("state service refused %s %s: %.200s", call->method, call->target, answer->body);
    finish(call, outcome, body);
}

static void send_call(struct rp_kv_call *call) {
    struct rp_kv_client *client = call->client;
    rp_token_bucket_take(&client->requests[call->share], 1);
    rp_token_bucket_take(&client->writes[call->share], call->writes);
    client->net.call(client->net.ctx, client->addr, call->method, call->target, call->body,
                     call->timeout_s, answered, call);
}

static bool may_send(struct rp_kv_client *client, const struct rp_kv_call *call) {
    struct timespec now = rp_loop_now(client->loop);
    if (call->share == RP_KV_BUDGET_LEADERSHIP)
        return true;
    return rp_token_bucket_has(&client->requests[call->share], 1, now) &&
           (call->writes == 0 ||
            rp_token_bucket_has(&client->writes[call->share], call->writes, now));
}

/* Tells which budget is too small, at most once in SHED_LOG_EVERY_S for each share. */
static void log_shed(struct rp_kv_client *client, enum rp_kv_budget budget) {
    struct timespec now = rp_loop_now(client->loop);
    client->n_shed++;
    client->shed_unlogged[budget]++;
    if (!rp_ts_zero(client->shed_logged[budget]) &&
        rp_ts_since(now, client->shed_logged[budget]) < SHED_LOG_EVERY_S)
        return;
    rp_info("requests refused for lack of the state service's budget: share=%s requests=%lu",
            share_names[budget], client->shed_unlogged[budget]);
    client->shed_unlogged[budget] = 0;
    client->shed_logged[budget] = now;
}

static void pump_share(struct rp_kv_client *client, enum rp_kv_budget budget) {
    double patience = budget == RP_KV_BUDGET_LEADER ? QUEUE_LEADER_S : QUEUE_USERS_S;
    while (client->first[budget]) {
        struct rp_kv_call *call = client->first[budget];
        bool late = rp_ts_since(rp_loop_now(client->loop), call->queued) > patience;
        if (!late && !may_send(client, call))
            return;
        client->first[budget] = call->next;
        if (!call->next)
            client->last[budget] = NULL;
        call->next = NULL;
        if (late) {
            log_shed(client, budget);
            finish(call, RP_KV_REFUSED, NULL);
        } else {
            send_call(call);
        }
    }
}

static void pump_due(void *arg) {
    struct rp_kv_client *client = arg;
    bool waiting = false;
    for (int s = 0; s < RP_KV_BUDGETS; s++) {
        pump_share(client, (enum rp_kv_budget)s);
        waiting |= client->first[s] != NULL;
    }
    if (waiting)
        rp_timer_set(client->loop, &client->pump, 0.02);
}

static void enqueue(struct rp_kv_call *call) {
    struct rp_kv_client *client = call->client;
    if (!client->first[call->share] && may_send(client, call)) {
        send_call(call);
        return;
    }
    if (client->last[call->share])
        client->last[call->share]->next = call;
    else
        client->first[call->share] = call;
    client->last[call->share] = call;
    if (!client->pump.heap_index)
        rp_timer_set(client->loop, &client->pump, 0.02);
}

/* Takes `body` over. */
static void start(struct rp_kv_client *client, enum rp_kv_budget budget, const char *method,
                  char *target, char *body, double timeout_s, unsigned writes, rp_kv_fn fn,
                  void *arg) {
    struct rp_kv_call *call = calloc(1, sizeof *call);
    if (!call || !target)
        abort();
    *call = (struct rp_kv_call){.client = client,
                                .share = budget,
                                .method = strdup(method),
                                .target = target,
                                .body = body,
                                .timeout_s = timeout_s,
                                .writes = writes,
                                .queued = rp_loop_now(client->loop),
                                .fn = fn,
                                .arg = arg};
    call->again = (struct rp_timer){.fn = again_due, .arg = call};
    enqueue(call);
}

static char *format(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
static char *format(const char *fmt, ...) {
    char *text;
    va_list ap;
    va_start(ap, fmt);
    int n = vasprintf(&text, fmt, ap);
    va_end(ap);
    return n < 0 ? NULL : text;
}

void rp_kv_get(struct rp_kv_client *client, enum rp_kv_budget budget, const char *key, rp_kv_fn fn,
               void *arg) {
    start(client, budget, "GET", format("/kv/%s", key), NULL, ANSWER_S, 0, fn, arg);
}

void rp_kv_list(struct rp_kv_client *client, enum rp_kv_budget budget, const char *prefix,
                const char *after, unsigned limit, rp_kv_fn fn, void *arg) {
    char *target = after ? format("/kv?prefix=%s&from=%s&limit=%u", prefix, after, limit)
                         : format("/kv?prefix=%s&limit=%u", prefix, limit);
    start(client, budget, "GET", target, NULL, ANSWER_S * 2, 0, fn, arg);
}

void rp_kv_txn_submit(struct rp_kv_client *client, enum rp_kv_budget budget, struct rp_kv_txn *txn,
                      rp_kv_fn fn, void *arg) {
    unsigned writes = (unsigned)rp_kv_txn_n_ops(txn);
    char *body = rp_kv_txn_encode(txn);
    rp_kv_txn_discard(txn);
    start(client, budget, "POST", format("/txn"), body, ANSWER_S, writes, fn, arg);
}

void rp_kv_lease_grant(struct rp_kv_client *client, double ttl_s, rp_kv_fn fn, void *arg) {
    start(client, RP_KV_BUDGET_LEADERSHIP, "POST", format("/leases"),
          rp_kv_codec_write_lease_request(ttl_s), ANSWER_S, 0, fn, arg);
}

void rp_kv_lease_renew(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg) {
    start(client, RP_KV_BUDGET_LEADERSHIP, "POST",
          format("/leases/%llu/touch", (unsigned long long)lease), NULL, ANSWER_S, 0, fn, arg);
}

void rp_kv_lease_revoke(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg) {
    start(client, RP_KV_BUDGET_LEADERSHIP, "DELETE",
          format("/leases/%llu", (unsigned long long)lease), NULL, ANSWER_S, 0, fn, arg);
}

void rp_kv_watch(struct rp_kv_client *client, const char *prefix, uint64_t from, double hold_s,
                 rp_kv_fn fn, void *arg) {
    start(client, RP_KV_BUDGET_LEADERSHIP, "GET",
          format("/follow?prefix=%s&from=%llu&hold_ms=%d", prefix, (unsigned long long)from,
                 (int)(hold_s * 1000)),
          NULL, hold_s + ANSWER_S, 0, fn, arg);
}

double rp_kv_write_headroom(struct rp_kv_client *client, enum rp_kv_budget budget) {
    rp_token_bucket_refill(&client->writes[budget], rp_loop_now(client->loop));
    return client->first[budget] ? 0 : client->writes[budget].level;
}

bool rp_kv_must_wait(struct rp_kv_client *client, enum rp_kv_budget budget) {
    return client->first[budget] ||
           !rp_token_bucket_has(&client->requests[budget], 1, rp_loop_now(client->loop));
}

double rp_kv_failing_s(const struct rp_kv_client *client) {
    if (client->failing_since.tv_sec == 0 && client->failing_since.tv_nsec == 0)
        return 0;
    return rp_ts_since(rp_loop_now(client->loop), client->failing_since) + 1e-3;
}
