/** @file
 * Requests that arrive at a node, routed by method and path to the part that answers them. Users,
 * workers and load balancers come to the client port, other nodes and operators to the peers' port.
 *
 * The HTTP server (or a test) calls these functions; each request is answered exactly once, now or
 * later, by its `respond`. */
#ifndef RP_CONTROLLER_NODE_REQUESTS_H
#define RP_CONTROLLER_NODE_REQUESTS_H

#include "base/net.h"

/** A request from a user, a worker or a load balancer. `node` is a struct rp_node: the type is that
 * of rp_request_fn. */
void rp_node_client_request(void *node, struct rp_request *req);
/** A request from another node or an operator. `node` is a struct rp_node. */
void rp_node_peer_request(void *node, struct rp_request *req);

#endif
