/* Adapter by which the simulation runs a node of the version in production. tests/mixed/run
 * compiles it together with that version's own headers and sources. */
#include <stdio.h>
#include <stdlib.h>
#include "../simulation/engine.h"
#include "log.h"
#include "node.h"

struct old_node {
    struct rp_loop loop;
    struct rp_settings settings;
    struct rp_node node;
};

static void *old_open(const char *settings, const void *net, double now) {
    struct old_node *o = calloc(1, sizeof *o);
    if (!o || rp_settings_parse(&o->settings, settings, "settings", stderr) != 0)
        abort();
    rp_settings_complete(&o->settings);
    o->settings.tuning.round_period_s = 2;
    rp_log_setup("old", rp_log_level_named(getenv("LOG_LEVEL")));
    rp_loop_init(&o->loop, true);
    o->loop.virtual_now = rp_ts(now);
    if (rp_node_init(&o->node, &o->loop, *(const struct rp_net *)net, &o->settings) < 0)
        abort();
    rp_node_start(&o->node);
    return o;
}

static void old_advance(void *node, double to) {
    rp_loop_advance(&((struct old_node *)node)->loop, rp_ts(to));
}

static void old_client(void *node, struct rp_request *req) {
    rp_node_client_request(&((struct old_node *)node)->node, req);
}

static void old_peer(void *node, struct rp_request *req) {
    rp_node_peer_request(&((struct old_node *)node)->node, req);
}

static bool old_leads(void *node) {
    return ((struct old_node *)node)->node.at == RP_NODE_LEADING;
}

/* Closes the node without freeing its memory: call-backs of unfinished requests may still point to
 * it. */
static void old_close(void *node) {
    struct old_node *o = node;
    rp_node_close(&o->node);
    rp_loop_close(&o->loop);
}

__attribute__((visibility("default"))) const struct sim_engine sim_engine_of_production = {
    old_open, old_advance, old_client, old_peer, old_leads, old_close};
