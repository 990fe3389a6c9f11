#include "cloud/cloud_client.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

#define ANSWER_S 5.0

struct rp_cloud_call {
    struct rp_cloud_client *client;
    struct rp_cloud_call *next;
    char *method, *target, *body;
    rp_answer_fn fn;
    void *arg;
};

static void pump_due(void *arg);

void rp_cloud_client_init(struct rp_cloud_client *client, struct rp_loop *loop, struct rp_net net,
                          const char *addr, double rps) {
    memset(client, 0, sizeof *client);
    client->loop = loop;
    client->net = net;
    client->addr = addr;
    client->pump = (struct rp_timer){.fn = pump_due, .arg = client};
    /* The rate is the cloud's for all nodes; all but the leader only read the catalog. */
    rp_token_bucket_init(&client->requests, rps * 0.8, rps, rp_loop_now(loop));
}

static void call_free(struct rp_cloud_call *call) {
    free(call->method);
    free(call->target);
    free(call->body);
    free(call);
}

void rp_cloud_client_close(struct rp_cloud_client *client) {
    rp_timer_cancel(client->loop, &client->pump);
    for (int u = 0; u < RP_CLOUD_URGENCIES; u++)
        while (client->first[u]) {
            struct rp_cloud_call *call = client->first[u];
            client->first[u] = call->next;
            call_free(call);
        }
}

static void answered(void *arg, const struct rp_answer *answer) {
    struct rp_cloud_call *call = arg;
    struct rp_cloud_client *client = call->client;
    rp_answer_fn fn = call->fn;
    void *fn_arg = call->arg;
    if (answer->status == 429)
        client->quiet_until = rp_ts_after(rp_loop_now(client->loop), 0.5);
    call_free(call);
    fn(fn_arg, answer);
}

static void pump_due(void *arg) {
    struct rp_cloud_client *client = arg;
    struct timespec now = rp_loop_now(client->loop);
    for (int u = 0; u < RP_CLOUD_URGENCIES; u++)
        while (client->first[u]) {
            struct rp_cloud_call *call = client->first[u];
            if (!rp_ts_reached(now, client->quiet_until) ||
                !rp_token_bucket_has(&client->requests, 1, now)) {
                rp_timer_set(client->loop, &client->pump, 0.05);
                return;
            }
            client->first[u] = call->next;
            if (!call->next)
                client->last[u] = NULL;
            rp_token_bucket_take(&client->requests, 1);
            client->net.call(client->net.ctx, client->addr, call->method, call->target, call->body,
                             ANSWER_S, answered, call);
        }
}

void rp_cloud_call(struct rp_cloud_client *client, enum rp_cloud_urgency urgency,
                   const char *method, const char *target, char *body, rp_answer_fn fn, void *arg) {
    struct rp_cloud_call *call = rp_alloc(1, sizeof *call);
    *call = (struct rp_cloud_call){.client = client,
                                   .method = strdup(method),
                                   .target = strdup(target),
                                   .body = body,
                                   .fn = fn,
                                   .arg = arg};
    if (client->last[urgency])
        client->last[urgency]->next = call;
    else
        client->first[urgency] = call;
    client->last[urgency] = call;
    pump_due(client);
}
