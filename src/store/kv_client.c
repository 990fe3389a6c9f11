#include "store/kv_client.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "protocol/codec.h"
#include "protocol/kv_codec.h"

/* Timeout of a request, in seconds. A response takes milliseconds, occasionally a few hundred. */
#define RESPONSE_TIMEOUT_S 1.5
/* Timeout of a list, in seconds, whose response can have up to 512 KiB. */
#define LIST_TIMEOUT_S 3.0
/* Maximum number of seconds that a request waits for its budget before this client refuses it.
 * Users retry at once when they are refused; the leader would only repeat its request. */
#define USER_QUEUE_WAIT_MAX_S 0.3
#define LEADER_QUEUE_WAIT_MAX_S 4.0
/* Seconds between checks of whether a budget lets a waiting request through. */
#define QUEUE_CHECK_INTERVAL_S 0.02
/* Maximum number of attempts at a request that the store refuses for its rate limit. */
#define RATE_LIMIT_ATTEMPTS_MAX 3
/* Seconds from a refusal for the rate limit to the second attempt; before the third attempt the
 * backoff is twice as long. */
#define RATE_LIMIT_BACKOFF_S 0.1
/* Number of rate-limited responses for each log line about them. */
#define RATE_LIMITED_RESPONSES_PER_LOG_LINE 100
/* Minimum number of seconds between log lines about requests shed for one budget. */
#define SHED_LOG_INTERVAL_S 5.0

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409,
    STATUS_GONE = 410,
    STATUS_TOO_MANY_REQUESTS = 429,
    STATUS_UNAVAILABLE = 503
};

struct rp_kv_call {
    struct rp_kv_client *client;
    struct rp_kv_call *next; /* next call in the same queue */
    enum rp_kv_budget budget;
    const char *method;
    char *target, *body;
    double timeout_s;
    unsigned n_writes;       /* changes that the request makes */
    unsigned n_rate_limited; /* attempts that the store refused for its rate limit */
    struct timespec queued_at;
    struct rp_timer retry_timer;
    rp_kv_fn fn;
    void *arg;
};

static void on_queue_timer(void *arg);

/* ---- the client ---- */

void rp_kv_client_init(struct rp_kv_client *client, struct rp_loop *loop, struct rp_net net,
                       const char *addr, double rps, double write_rps, size_t n_nodes,
                       double leader_write_share) {
    *client = (struct rp_kv_client){
        .loop = loop,
        .net = net,
        .addr = addr,
        .limits = {.n_nodes = n_nodes, .leader_write_share = leader_write_share},
        .queue_timer = {.fn = on_queue_timer, .arg = client}};
    rp_kv_client_set_limits(client, rps, write_rps);
}

void rp_kv_client_set_limits(struct rp_kv_client *client, double rps, double write_rps) {
    client->limits.requests_per_s = rps;
    client->limits.writes_per_s = write_rps;
    rp_kv_budgets_set_limits(&client->budgets, &client->limits, rp_loop_now(client->loop));
}

double rp_kv_write_headroom(struct rp_kv_client *client, enum rp_kv_budget budget) {
    double headroom =
        rp_kv_budgets_write_headroom(&client->budgets, budget, rp_loop_now(client->loop));
    return client->queues[budget].first ? 0 : headroom;
}

bool rp_kv_is_budget_exhausted(struct rp_kv_client *client, enum rp_kv_budget budget) {
    return client->queues[budget].first ||
           !rp_token_bucket_has(&client->budgets.requests[budget], 1, rp_loop_now(client->loop));
}

double rp_kv_failing_s(const struct rp_kv_client *client) {
    static const double just_failed_s =
        1e-3; /* keeps the result above 0 at the instant of the failure */
    if (rp_ts_is_zero(client->failing_since))
        return 0;
    return rp_ts_since(rp_loop_now(client->loop), client->failing_since) + just_failed_s;
}

/* ---- responses ---- */

static void call_free(struct rp_kv_call *call) {
    rp_timer_cancel(call->client->loop, &call->retry_timer);
    free(call->target);
    free(call->body);
    free(call);
}

static void finish(struct rp_kv_call *call, enum rp_kv_outcome outcome, json_t *body) {
    struct rp_kv_result result = {.outcome = outcome, .body = body};
    rp_kv_fn callback = call->fn;
    void *arg = call->arg;
    call_free(call);
    callback(arg, &result);
    json_decref(body);
}

static enum rp_kv_outcome outcome_of_status(int status) {
    switch (status) {
    case STATUS_OK:
        return RP_KV_OK;
    case STATUS_BAD_REQUEST:
        return RP_KV_BAD_REQUEST;
    case STATUS_NOT_FOUND:
        return RP_KV_NOT_FOUND;
    case STATUS_CONFLICT:
        return RP_KV_CONDITION_FAILED;
    case STATUS_GONE:
        return RP_KV_COMPACTED;
    case STATUS_TOO_MANY_REQUESTS:
    case STATUS_UNAVAILABLE:
        return RP_KV_REFUSED;
    default:
        return RP_KV_UNKNOWN;
    }
}

static void record_health(struct rp_kv_client *client, enum rp_kv_outcome outcome, int status) {
    if (outcome == RP_KV_UNKNOWN || status == STATUS_UNAVAILABLE) {
        if (rp_ts_is_zero(client->failing_since))
            client->failing_since = rp_loop_now(client->loop);
    } else {
        client->failing_since = (struct timespec){0};
        client->n_ok++;
    }
    client->n_refused += outcome == RP_KV_REFUSED;
    client->n_unknown += outcome == RP_KV_UNKNOWN;
}

static void record_rate_limit(struct rp_kv_client *client, const struct rp_kv_call *call) {
    if (client->n_rate_limited++ % RATE_LIMITED_RESPONSES_PER_LOG_LINE == 0)
        rp_info("key-value store refuses requests over its rate limit: budget=%s n_refused=%lu",
                rp_kv_budget_name(call->budget), client->n_rate_limited);
    rp_kv_budgets_penalize(&client->budgets, call->budget, call->n_writes);
}

static void enqueue(struct rp_kv_call *call);

static void on_retry_timer(void *arg) {
    enqueue(arg);
}

static void on_response(void *arg, const struct rp_response *answer) {
    struct rp_kv_call *call = arg;
    struct rp_kv_client *client = call->client;
    enum rp_kv_outcome outcome = outcome_of_status(answer->status);
    record_health(client, outcome, answer->status);
    if (answer->status == STATUS_TOO_MANY_REQUESTS) {
        record_rate_limit(client, call);
        if (++call->n_rate_limited < RATE_LIMIT_ATTEMPTS_MAX) {
            rp_timer_set(client->loop, &call->retry_timer,
                         RATE_LIMIT_BACKOFF_S * call->n_rate_limited);
            return;
        }
    }
    json_t *body = answer->len ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    bool is_malformed = answer->len && !body;
    if (outcome == RP_KV_OK && is_malformed)
        outcome = RP_KV_UNKNOWN;
    if (outcome == RP_KV_BAD_REQUEST) {
        client->n_rejected++;
        rp_error("key-value store rejected a request: method=%s target=%s answer=%.200s",
                 call->method, call->target, answer->body);
    }
    finish(call, outcome, body);
}

/* ---- queues ---- */

static void queue_push(struct rp_kv_queue *queue, struct rp_kv_call *call) {
    call->next = NULL;
    if (queue->last)
        queue->last->next = call;
    else
        queue->first = call;
    queue->last = call;
}

static struct rp_kv_call *queue_pop(struct rp_kv_queue *queue) {
    struct rp_kv_call *call = queue->first;
    queue->first = call->next;
    if (!queue->first)
        queue->last = NULL;
    call->next = NULL;
    return call;
}

static bool can_send(struct rp_kv_client *client, const struct rp_kv_call *call) {
    return rp_kv_budgets_can_send(&client->budgets, call->budget, call->n_writes,
                                  rp_loop_now(client->loop));
}

static void send_call(struct rp_kv_call *call) {
    struct rp_kv_client *client = call->client;
    rp_kv_budgets_spend(&client->budgets, call->budget, call->n_writes);
    client->net.call(client->net.ctx, client->addr, call->method, call->target, call->body,
                     call->timeout_s, on_response, call);
}

/* Refuses a request that has waited too long, and logs which budget is too small, at most once in
 * SHED_LOG_INTERVAL_S for each budget. */
static void shed(struct rp_kv_call *call) {
    struct rp_kv_client *client = call->client;
    struct rp_kv_queue *queue = &client->queues[call->budget];
    struct timespec now = rp_loop_now(client->loop);
    client->n_shed++;
    queue->n_shed_unlogged++;
    if (rp_ts_is_zero(queue->shed_logged_at) ||
        rp_ts_since(now, queue->shed_logged_at) >= SHED_LOG_INTERVAL_S) {
        rp_info("requests shed, request budget exhausted: budget=%s n_requests=%lu",
                rp_kv_budget_name(call->budget), queue->n_shed_unlogged);
        queue->n_shed_unlogged = 0;
        queue->shed_logged_at = now;
    }
    finish(call, RP_KV_REFUSED, NULL);
}

/* Sends or sheds requests from the front of the queue, up to the first one that has to wait longer.
 */
static void drain_queue(struct rp_kv_client *client, enum rp_kv_budget budget) {
    struct rp_kv_queue *queue = &client->queues[budget];
    double wait_max_s =
        budget == RP_KV_BUDGET_LEADER ? LEADER_QUEUE_WAIT_MAX_S : USER_QUEUE_WAIT_MAX_S;
    while (queue->first) {
        double waited_s = rp_ts_since(rp_loop_now(client->loop), queue->first->queued_at);
        if (waited_s > wait_max_s)
            shed(queue_pop(queue));
        else if (can_send(client, queue->first))
            send_call(queue_pop(queue));
        else
            return;
    }
}

static void on_queue_timer(void *arg) {
    struct rp_kv_client *client = arg;
    bool is_waiting = false;
    for (int i = 0; i < RP_KV_BUDGETS; i++) {
        drain_queue(client, (enum rp_kv_budget)i);
        is_waiting |= client->queues[i].first != NULL;
    }
    if (is_waiting)
        rp_timer_set(client->loop, &client->queue_timer, QUEUE_CHECK_INTERVAL_S);
}

/* Sends a request, or appends it to the queue when its budget does not allow it now or earlier
 * requests wait. */
static void enqueue(struct rp_kv_call *call) {
    struct rp_kv_client *client = call->client;
    struct rp_kv_queue *queue = &client->queues[call->budget];
    if (!queue->first && can_send(client, call)) {
        send_call(call);
        return;
    }
    queue_push(queue, call);
    if (!client->queue_timer.heap_index)
        rp_timer_set(client->loop, &client->queue_timer, QUEUE_CHECK_INTERVAL_S);
}

void rp_kv_client_close(struct rp_kv_client *client) {
    rp_timer_cancel(client->loop, &client->queue_timer);
    for (int i = 0; i < RP_KV_BUDGETS; i++)
        while (client->queues[i].first)
            call_free(queue_pop(&client->queues[i]));
}

/* ---- requests ---- */

/* The properties of a request that depend on its kind. `start` takes ownership of `target` and
 * `body`. */
struct request {
    const char *method;
    char *target, *body;
    double timeout_s;
    unsigned n_writes;
};

static void start(struct rp_kv_client *client, enum rp_kv_budget budget, struct request request,
                  rp_kv_fn fn, void *arg) {
    struct rp_kv_call *call = rp_alloc(1, sizeof *call);
    *call = (struct rp_kv_call){.client = client,
                                .budget = budget,
                                .method = request.method,
                                .target = request.target,
                                .body = request.body,
                                .timeout_s = request.timeout_s,
                                .n_writes = request.n_writes,
                                .queued_at = rp_loop_now(client->loop),
                                .retry_timer = {.fn = on_retry_timer, .arg = call},
                                .fn = fn,
                                .arg = arg};
    enqueue(call);
}

/* Returns the formatted text, which the caller frees. Aborts the process when memory is exhausted.
 */
static char *format(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
static char *format(const char *fmt, ...) {
    char *text = NULL;
    va_list ap;
    va_start(ap, fmt);
    int n = vasprintf(&text, fmt, ap);
    va_end(ap);
    if (n < 0)
        abort();
    return text;
}

void rp_kv_get(struct rp_kv_client *client, enum rp_kv_budget budget, const char *key, rp_kv_fn fn,
               void *arg) {
    struct request request = {
        .method = "GET", .target = format("/kv/%s", key), .timeout_s = RESPONSE_TIMEOUT_S};
    start(client, budget, request, fn, arg);
}

void rp_kv_list(struct rp_kv_client *client, enum rp_kv_budget budget, const char *prefix,
                const char *after, unsigned limit, rp_kv_fn fn, void *arg) {
    struct request request = {
        .method = "GET",
        .target = after ? format("/kv?prefix=%s&from=%s&limit=%u", prefix, after, limit)
                        : format("/kv?prefix=%s&limit=%u", prefix, limit),
        .timeout_s = LIST_TIMEOUT_S};
    start(client, budget, request, fn, arg);
}

void rp_kv_txn_submit(struct rp_kv_client *client, enum rp_kv_budget budget, struct rp_kv_txn *txn,
                      rp_kv_fn fn, void *arg) {
    struct request request = {.method = "POST",
                              .target = format("/txn"),
                              .body = rp_kv_txn_encode(txn),
                              .timeout_s = RESPONSE_TIMEOUT_S,
                              .n_writes = (unsigned)rp_kv_txn_n_ops(txn)};
    rp_kv_txn_discard(txn);
    start(client, budget, request, fn, arg);
}

void rp_kv_lease_grant(struct rp_kv_client *client, double ttl_s, rp_kv_fn fn, void *arg) {
    struct request request = {.method = "POST",
                              .target = format("/leases"),
                              .body = rp_kv_codec_write_lease_request(ttl_s),
                              .timeout_s = RESPONSE_TIMEOUT_S};
    start(client, RP_KV_BUDGET_LEADERSHIP, request, fn, arg);
}

void rp_kv_lease_renew(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg) {
    struct request request = {.method = "POST",
                              .target = format("/leases/%" PRIu64 "/touch", lease),
                              .timeout_s = RESPONSE_TIMEOUT_S};
    start(client, RP_KV_BUDGET_LEADERSHIP, request, fn, arg);
}

void rp_kv_lease_revoke(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg) {
    struct request request = {.method = "DELETE",
                              .target = format("/leases/%" PRIu64, lease),
                              .timeout_s = RESPONSE_TIMEOUT_S};
    start(client, RP_KV_BUDGET_LEADERSHIP, request, fn, arg);
}

void rp_kv_watch(struct rp_kv_client *client, const char *prefix, uint64_t from, double hold_s,
                 rp_kv_fn fn, void *arg) {
    struct request request = {.method = "GET",
                              .target = format("/follow?prefix=%s&from=%" PRIu64 "&hold_ms=%d",
                                               prefix, from, (int)(hold_s * 1000)),
                              .timeout_s = hold_s + RESPONSE_TIMEOUT_S};
    start(client, RP_KV_BUDGET_LEADERSHIP, request, fn, arg);
}
