/** @file
 * HTTP/1.1 server on the event loop. Owns its listening socket and its connections, at most
 * `max_connections` of them; each carries one request at a time, in the order in which they came.
 * The handler of a request may respond at once or later, but exactly once (base/net.h). Called by
 * main.c, once for users and workers and once for the other nodes. */
#ifndef RP_HTTP_SERVER_H
#define RP_HTTP_SERVER_H

#include <stddef.h>
#include "base/loop.h"
#include "base/net.h"

struct rp_http_server_connection;

/** What a peer may take of the server. */
struct rp_http_limits {
    size_t max_connections;   /**< beyond it the one idle for longest is closed for a new one */
    size_t max_body_bytes;    /**< of a request */
    double idle_timeout_s;    /**< of a connection without a request */
    double receive_timeout_s; /**< from the first to the last byte of a request */
    double send_timeout_s;    /**< for the peer to take a response */
};

/** A server; its members are set by rp_http_server_open. */
struct rp_http_server {
    struct rp_loop *loop;
    struct rp_watch watch; /**< of the listening socket */
    struct rp_http_limits limits;
    rp_request_fn on_request;
    void *arg;                                      /**< of on_request */
    struct rp_http_server_connection *most_recent;  /**< list of all, latest use first */
    struct rp_http_server_connection *least_recent; /**< its end */
    size_t n_connections;
    unsigned long n_refused; /**< connections answered by 503 since there were too many */
    unsigned long n_evicted; /**< idle connections closed for a new one */
};

/** Listens on `address` ("a.b.c.d:port") and calls `on_request` for each request. Returns 0, or
 * -errno (-EINVAL: not an address). The caller must close a server that was opened. */
int rp_http_server_open(struct rp_http_server *server, struct rp_loop *loop, const char *address,
                        const struct rp_http_limits *limits, rp_request_fn on_request, void *arg);

/** Closes the socket and all connections. Requests that haven't been responded to must still be:
 * each holds its memory until then. */
void rp_http_server_close(struct rp_http_server *server);

#endif
