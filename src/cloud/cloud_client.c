#include "cloud/cloud_client.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

/* Timeout of a request, in seconds. */
#define RESPONSE_TIMEOUT_S 5.0
/* The share of the cloud's rate limit that this node uses. The limit is for all nodes together, and
 * all nodes but the leader only read the catalog. */
#define RATE_SHARE 0.8
/* Depth of the rate limiter, in seconds of the cloud's rate limit. The cloud permits bursts of two
 * seconds of its limit. */
#define BURST_S 1.0
/* Seconds for which no request is sent after a response of status 429. */
#define RATE_LIMIT_BACKOFF_S 0.5
/* Seconds between two checks whether a waiting request may be sent. */
#define QUEUE_CHECK_PERIOD_S 0.05
#define STATUS_TOO_MANY_REQUESTS 429

struct rp_cloud_call {
    struct rp_cloud_client *client;
    struct rp_cloud_call *next; /* next call in the same queue */
    char *method, *target, *body;
    rp_response_fn fn;
    void *arg;
};

static void on_queue_timer(void *arg);

void rp_cloud_client_init(struct rp_cloud_client *client, struct rp_loop *loop, struct rp_net net,
                          const char *addr, double rps) {
    *client = (struct rp_cloud_client){.loop = loop,
                                       .net = net,
                                       .addr = addr,
                                       .queue_timer = {.fn = on_queue_timer, .arg = client}};
    rp_token_bucket_init(&client->rate_limiter, rps * RATE_SHARE, rps * BURST_S, rp_loop_now(loop));
}

static void free_call(struct rp_cloud_call *call) {
    free(call->method);
    free(call->target);
    free(call->body);
    free(call);
}

/* ---- queues ---- */

static void push_call(struct rp_cloud_queue *queue, struct rp_cloud_call *call) {
    if (queue->last)
        queue->last->next = call;
    else
        queue->first = call;
    queue->last = call;
}

static struct rp_cloud_call *pop_call(struct rp_cloud_queue *queue) {
    struct rp_cloud_call *call = queue->first;
    queue->first = call->next;
    if (!queue->first)
        queue->last = NULL;
    return call;
}

void rp_cloud_client_close(struct rp_cloud_client *client) {
    rp_timer_cancel(client->loop, &client->queue_timer);
    for (int i = 0; i < RP_CLOUD_URGENCIES; i++)
        while (client->queues[i].first)
            free_call(pop_call(&client->queues[i]));
}

/* ---- requests ---- */

static void on_response(void *arg, const struct rp_response *answer) {
    struct rp_cloud_call *call = arg;
    struct rp_cloud_client *client = call->client;
    rp_response_fn callback = call->fn;
    void *callback_arg = call->arg;
    if (answer->status == STATUS_TOO_MANY_REQUESTS)
        client->backoff_until = rp_ts_after(rp_loop_now(client->loop), RATE_LIMIT_BACKOFF_S);
    free_call(call);
    callback(callback_arg, answer);
}

static void send_call(struct rp_cloud_call *call) {
    struct rp_cloud_client *client = call->client;
    rp_token_bucket_take(&client->rate_limiter, 1);
    client->net.call(client->net.ctx, client->addr, call->method, call->target, call->body,
                     RESPONSE_TIMEOUT_S, on_response, call);
}

/* Sends the waiting requests that the rate limit permits, urgent ones first. */
static void drain_queues(struct rp_cloud_client *client) {
    struct timespec now = rp_loop_now(client->loop);
    for (int i = 0; i < RP_CLOUD_URGENCIES; i++)
        while (client->queues[i].first) {
            bool can_send = rp_ts_is_reached(now, client->backoff_until) &&
                            rp_token_bucket_has(&client->rate_limiter, 1, now);
            if (!can_send) {
                rp_timer_set(client->loop, &client->queue_timer, QUEUE_CHECK_PERIOD_S);
                return;
            }
            send_call(pop_call(&client->queues[i]));
        }
}

static void on_queue_timer(void *arg) {
    drain_queues(arg);
}

void rp_cloud_call(struct rp_cloud_client *client, enum rp_cloud_urgency urgency,
                   const char *method, const char *target, char *body, rp_response_fn fn,
                   void *arg) {
    struct rp_cloud_call *call = rp_alloc(1, sizeof *call);
    *call = (struct rp_cloud_call){.client = client,
                                   .method = strdup(method),
                                   .target = strdup(target),
                                   .body = body,
                                   .fn = fn,
                                   .arg = arg};
    push_call(&client->queues[urgency], call);
    drain_queues(client);
}
