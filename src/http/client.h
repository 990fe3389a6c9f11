/** @file
 * HTTP/1.1 client on the event loop. Owns its connections: at most `max_total` altogether and
 * `max_per_host` to one host. A host is known only while it has a connection or a call. A call that
 * finds no connection free waits; the first connection that becomes free serves it. main.c gives
 * rp_http_client_net to the modules that call other hosts. */
#ifndef RP_HTTP_CLIENT_H
#define RP_HTTP_CLIENT_H

#include <stddef.h>
#include "base/loop.h"
#include "base/net.h"
#include "http/client_host.h"

/** A client; its members are set by rp_http_client_init. */
struct rp_http_client {
    struct rp_loop *loop;
    size_t max_per_host;
    size_t max_total;
    size_t n_connections;  /**< open ones, to all hosts */
    size_t max_body_bytes; /**< of a response; a longer one fails its call */
    struct rp_http_host_table hosts;
    struct rp_http_client_connection *least_recent; /**< idle ones, idle for longest first */
    struct rp_http_client_connection *most_recent;
};

/** Makes a client without connections. The caller must close it. */
void rp_http_client_init(struct rp_http_client *client, struct rp_loop *loop, size_t max_per_host,
                         size_t max_total, size_t max_body_bytes);

/** Closes all connections. The call-backs of calls under way are not called. */
void rp_http_client_close(struct rp_http_client *client);

/** The interface by which other modules call hosts; valid as long as the client. */
struct rp_net rp_http_client_net(struct rp_http_client *client);

#endif
