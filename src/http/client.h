/** @file
 * HTTP/1.1 client on the event loop. Owns its connections: at most `max_total` in all and
 * `max_per_host` to one host. A host is stored only while it has a connection or a call. A call for
 * which no connection is available is queued until one is; hosts that wait because of `max_total`
 * are served in the order in which they began to wait. main.c passes rp_http_client_net to the
 * modules that call other hosts. */
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
    size_t n_connections;  /**< open connections to all hosts */
    size_t max_body_bytes; /**< limit of a response's body; a longer one fails its call */
    struct rp_http_host_table hosts;
    struct rp_http_client_connection *least_recent; /**< the connection idle for longest, or NULL */
    struct rp_http_client_connection *most_recent; /**< latest connection to become idle, or NULL */
};

/** Initializes a client without connections. The caller must close it. */
void rp_http_client_init(struct rp_http_client *client, struct rp_loop *loop, size_t max_per_host,
                         size_t max_total, size_t max_body_bytes);

/** Closes all connections. The call-backs of unfinished calls are not called. */
void rp_http_client_close(struct rp_http_client *client);

/** The interface by which other modules call hosts; valid until the client is closed. */
struct rp_net rp_http_client_net(struct rp_http_client *client);

#endif
