/** @file
 * Whether the key-value store refuses this node alone. While it doesn't answer this node, the other
 * nodes are asked whether it answers them. An outage of the store is the same for every node, and
 * taking this one out of the load balancer would help nobody; but if the store answers the others,
 * users are better off with them, and what is decided there is not heard here. A node that neither
 * the store nor any other node answers is itself cut off, which counts as the same.
 *
 * The node (node.h) starts and stops the checks and asks for the verdict; node_requests.c answers
 * the other nodes' checks. */
#ifndef RP_CONTROLLER_PEER_HEALTH_H
#define RP_CONTROLLER_PEER_HEALTH_H

#include "base/net.h"
#include "config/settings.h"
#include "jobs/jobs.h"
#include "store/kv_client.h"

/** The path on the peers' port where a node tells whether the store answers it. */
#define RP_PATH_PEER_HEALTH "/peer/health"

/** The checks' state; the parts that it refers to are the node's and outlive it. */
struct rp_peer_health {
    struct rp_loop *loop;
    struct rp_net net;
    const struct rp_settings *settings;
    const struct rp_kv_client *store;
    struct rp_jobs *jobs; /* is told of each refusal: it limits what this node may still answer */
    struct rp_timer timer;
    struct timespec peer_answered_at; /* when another node last answered, or the store did */
    struct timespec refused_until;    /* until then this node counts as refused alone */
};

/** Sets the checks up without starting them. */
void rp_peer_health_init(struct rp_peer_health *health, struct rp_loop *loop, struct rp_net net,
                         const struct rp_settings *settings, const struct rp_kv_client *store,
                         struct rp_jobs *jobs);
/** Begins to check, twice a second. */
void rp_peer_health_start(struct rp_peer_health *health);
/** Ends the checks; an answer that is under way may still arrive. */
void rp_peer_health_stop(struct rp_peer_health *health);
/** Whether the store answers other nodes but not this one, or this node is cut off. */
bool rp_peer_health_is_refused_alone(const struct rp_peer_health *health);
/** Whether the store has ever answered this node, and its last answer wasn't a failure. */
bool rp_peer_health_is_store_answering(const struct rp_peer_health *health);

#endif
