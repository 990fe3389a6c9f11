#include "cloud/cloud_client.h"

#include <stdlib.h>
#include <string.h>

#define ANSWER_S 5.0

struct rp_cloud_call {
    struct rp_cloud_client *client;
    struct rp_cloud_call *next;
    char *method, *target, *body;
    rp_answer_fn fn;
    void *arg;
};

static void pump_due(void *arg);

void rp_cloud_client_init(struct rp_cloud_client *c, struct rp_loop *loop, struct rp_net net,
                          const char *addr, double rps) {
    memset(c, 0, sizeof *c);
    c->loop = loop;
    c->net = net;
    c->addr = addr;
    c->pump = (struct rp_timer){.fn = pump_due, .arg = c};
    /* The rate is the cloud's for all nodes; all but the leader only read the catalog. */
    rp_bucket_init(&c->requests, rps * 0.8, rps, rp_loop_now(loop));
}

static void call_free(struct rp_cloud_call *call) {
    free(call->method);
    free(call->target);
    free(call->body);
    free(call);
}

void rp_cloud_client_close(struct rp_cloud_client *c) {
    rp_timer_cancel(c->loop, &c->pump);
    for (int u = 0; u < RP_CLOUD_URGENCIES; u++)
        while (c->first[u]) {
            struct rp_cloud_call *call = c->first[u];
            c->first[u] = call->next;
            call_free(call);
        }
}

static void answered(void *arg, const struct rp_answer *answer) {
    struct rp_cloud_call *call = arg;
    struct rp_cloud_client *c = call->client;
    rp_answer_fn fn = call->fn;
    void *fn_arg = call->arg;
    if (answer->status == 429)
        c->quiet_until = rp_ts_after(rp_loop_now(c->loop), 0.5);
    call_free(call);
    fn(fn_arg, answer);
}

static void pump_due(void *arg) {
    struct rp_cloud_client *c = arg;
    struct timespec now = rp_loop_now(c->loop);
    for (int u = 0; u < RP_CLOUD_URGENCIES; u++)
        while (c->first[u]) {
            struct rp_cloud_call *call = c->first[u];
            if (!rp_ts_reached(now, c->quiet_until) || !rp_bucket_has(&c->requests, 1, now)) {
                rp_timer_set(c->loop, &c->pump, 0.05);
                return;
            }
            c->first[u] = call->next;
            if (!call->next)
                c->last[u] = NULL;
            rp_bucket_take(&c->requests, 1);
            c->net.call(c->net.ctx, c->addr, call->method, call->target, call->body, ANSWER_S,
                        answered, call);
        }
}

void rp_cloud_call(struct rp_cloud_client *c, enum rp_cloud_urgency urgency, const char *method,
                   const char *target, char *body, rp_answer_fn fn, void *arg) {
    struct rp_cloud_call *call = calloc(1, sizeof *call);
    if (!call)
        abort(); /* out of memory: a restart is the honest answer */
    *call = (struct rp_cloud_call){.client = c,
                                   .method = strdup(method),
                                   .target = strdup(target),
                                   .body = body,
                                   .fn = fn,
                                   .arg = arg};
    if (c->last[urgency])
        c->last[urgency]->next = call;
    else
        c->first[urgency] = call;
    c->last[urgency] = call;
    pump_due(c);
}
