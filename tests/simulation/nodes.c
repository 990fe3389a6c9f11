/* Runs the simulated nodes: start, crash and upgrade. Each process has a clock with an offset and a
 * drift of its own. */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Time of day in seconds at which the simulation begins, and the error of a node's time of day:
 * that of the settings' default, in either direction. */
#define WALL_EPOCH_S 1790000000.0
#define CLOCK_SKEW_S 0.025

const struct sim_engine *sim_old_engine;

static void advance(struct sim *sim, int index, double now) {
    struct rp_loop *loop = &sim->nodes[index].loop;
    double wall_now = WALL_EPOCH_S + sim->now + (index % 3 - 1) * CLOCK_SKEW_S;
    loop->virtual_wall_offset = rp_ts_sub(rp_ts(wall_now), rp_ts(now));
    rp_loop_advance(loop, rp_ts(now));
}

void sim_node_start(struct sim *sim, int index) {
    struct sim_node *node = &sim->nodes[index];
    if (sim->remote)
        return;
    struct rp_net net = sim_network_connect(sim, index, ++node->process_number);
    node->alive = true;
    node->is_old_version = node->restarts_as_old;
    node->clock_drift = 1.0 + 0.0005 * sim_uniform(sim);
    node->clock_offset_s = 100 + 1000 * sim_uniform(sim) - sim->now * node->clock_drift;
    double now = node->clock_offset_s + sim->now * node->clock_drift;
    if (node->is_old_version && sim_old_engine) {
        node->old_node = sim_old_engine->open(node->settings, &net, now);
        if (!node->old_node)
            abort();
        return;
    }
    node->node = calloc(1, sizeof *node->node);
    if (!node->node)
        abort();
    sim->settings[index].tuning.keep_old_forms = node->is_old_version;
    rp_loop_init(&node->loop, true);
    node->loop.virtual_now = rp_ts(now);
    if (rp_node_init(node->node, &node->loop, net, &sim->settings[index]) < 0)
        abort();
    rp_node_start(node->node);
}

void sim_crash(struct sim *sim, int index, double restart_after_s) {
    struct sim_node *node = &sim->nodes[index];
    if (!node->alive)
        return;
    /* The state of the process is lost. The memory of requests in transit is leaked on purpose, as
     * the node's call-backs must never run again. */
    node->alive = false;
    node->restarts_at = sim->now + restart_after_s;
    if (node->old_node) {
        sim_old_engine->close(node->old_node);
        node->old_node = NULL;
        return;
    }
    rp_node_close(node->node);
    rp_loop_close(&node->loop);
}

void sim_upgrade(struct sim *sim, int node, double restart_after_s) {
    sim_crash(sim, node, restart_after_s);
    sim->nodes[node].restarts_as_old = sim->nodes[node].is_old_version = false;
}

void sim_start_as_old_version(struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++) {
        sim->nodes[i].restarts_as_old = true;
        sim_crash(sim, i, 0);
        sim_node_start(sim, i);
    }
}

static bool is_leading(const struct sim_node *node) {
    if (!node->alive)
        return false;
    return node->old_node ? sim_old_engine->leads(node->old_node)
                          : node->node->state == RP_NODE_LEADING;
}

int sim_leader(const struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++)
        if (is_leading(&sim->nodes[i]))
            return i;
    return -1;
}

void sim_node_step(struct sim *sim, int index) {
    struct sim_node *node = &sim->nodes[index];
    if (!node->alive) {
        if (sim->now >= node->restarts_at)
            sim_node_start(sim, index);
        return;
    }
    if (sim->now < node->paused_until)
        return;
    double now = node->clock_offset_s + sim->now * node->clock_drift;
    if (node->old_node)
        sim_old_engine->advance(node->old_node, now);
    else
        advance(sim, index, now);
}
