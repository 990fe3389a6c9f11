/** @file
 * Detects whether this node is isolated from the key-value store, which means that the store fails
 * for this node alone. While the store does not respond to this node, this node checks with the
 * other nodes whether the store responds to them. An outage of the store affects all nodes alike,
 * and taking this node out of the load balancer would not help. If the store responds to the other
 * nodes, they serve users better, and this node does not receive the changes that they make. A node
 * that receives responses neither from the store nor from any other node is partitioned itself,
 * which counts as isolation from the store, too.
 *
 * The node (node.h) starts and stops the checks and reads their result; node_requests.c answers the
 * checks of the other nodes. */
#ifndef RP_CONTROLLER_PEER_HEALTH_H
#define RP_CONTROLLER_PEER_HEALTH_H

#include "base/net.h"
#include "config/settings.h"
#include "jobs/jobs.h"
#include "store/kv_client.h"

/** The path on the peers' port where a node reports whether the store responds to it. */
#define RP_PATH_PEER_HEALTH "/peer/health"

/** The state of the checks; the parts that it refers to belong to the node and outlive it. */
struct rp_peer_health {
    struct rp_loop *loop;
    struct rp_net net;
    const struct rp_settings *settings;
    const struct rp_kv_client *store;
    /* Notified while this node is isolated from the store: starts of its tasks are then
     * suspended. */
    struct rp_jobs *jobs;
    struct rp_timer timer;
    /* When another node, or the store, last responded. */
    struct timespec last_response_at;
    /* Until then this node counts as isolated from the store. */
    struct timespec isolated_from_store_until;
};

/** Initializes the checks without starting them. */
void rp_peer_health_init(struct rp_peer_health *health, struct rp_loop *loop, struct rp_net net,
                         const struct rp_settings *settings, const struct rp_kv_client *store,
                         struct rp_jobs *jobs);
/** Starts the checks, which run twice a second. */
void rp_peer_health_start(struct rp_peer_health *health);
/** Stops the checks. A response that is in flight may still arrive. */
void rp_peer_health_stop(struct rp_peer_health *health);
/** Whether the store responds to other nodes but not to this one, or this node is partitioned. */
bool rp_peer_health_is_isolated_from_store(const struct rp_peer_health *health);
/** Whether the store has ever responded to this node, and its last response was not a failure. */
bool rp_peer_health_is_store_answering(const struct rp_peer_health *health);

#endif
