/** @file
 * Routes requests that arrive at a node, by method and path, to the part that answers them. Users,
 * workers and load balancers use the client port, other nodes and operators the peers' port.
 *
 * The HTTP server (or a test) calls these functions; each request is answered exactly once, now or
 * later, through its `respond`. */
#ifndef RP_CONTROLLER_NODE_REQUESTS_H
#define RP_CONTROLLER_NODE_REQUESTS_H

#include "base/net.h"

/** Handles a request from a user, a worker or a load balancer. `node` is a struct rp_node; the
 * parameter's type is the one that rp_request_fn requires. */
void rp_node_client_request(void *node, struct rp_request *req);
/** Handles a request from another node or an operator. `node` is a struct rp_node. */
void rp_node_peer_request(void *node, struct rp_request *req);

#endif
