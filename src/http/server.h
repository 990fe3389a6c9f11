/** @file
 * HTTP/1.1 server on the event loop. Owns its listening socket and at most `max_connections`
 * connections. The requests of a connection are handled one at a time, in the order of their
 * arrival. The handler of a request responds exactly once, immediately or later (base/net.h).
 * main.c opens one server for users and workers and one for the other nodes. */
#ifndef RP_HTTP_SERVER_H
#define RP_HTTP_SERVER_H

#include <stddef.h>
#include "base/loop.h"
#include "base/net.h"

struct rp_http_server_connection;

/** Limits of a server, by which peers cannot exhaust its resources. */
struct rp_http_limits {
    size_t max_connections; /**< at this number, a new connection evicts the one idle for longest */
    size_t max_body_bytes;  /**< maximum length of a request's body */
    double idle_timeout_s;  /**< time after which a connection without a request is closed */
    double receive_timeout_s; /**< maximum time from the first to the last byte of a request */
    double send_timeout_s;    /**< maximum time that the peer may take to receive a response */
};

/** A server; its members are set by rp_http_server_open. */
struct rp_http_server {
    struct rp_loop *loop;
    struct rp_watch watch; /**< watch of the listening socket */
    struct rp_http_limits limits;
    rp_request_fn on_request;
    void *arg;                                      /**< argument of on_request */
    struct rp_http_server_connection *most_recent;  /**< most recently used: head of the list */
    struct rp_http_server_connection *least_recent; /**< least recently used: tail of the list */
    size_t n_connections;
    unsigned long n_refused; /**< connections refused with 503 because of max_connections */
    unsigned long n_evicted; /**< idle connections closed in favour of a new one */
};

/** Listens on `address` ("a.b.c.d:port") and calls `on_request` for each request. Returns 0 or
 * -errno (-EINVAL: invalid address). The caller must close a server that was opened. */
int rp_http_server_open(struct rp_http_server *server, struct rp_loop *loop, const char *address,
                        const struct rp_http_limits *limits, rp_request_fn on_request, void *arg);

/** Closes the socket and all connections. The handler must still respond to each open request,
 * whose memory is freed only then. */
void rp_http_server_close(struct rp_http_server *server);

#endif
