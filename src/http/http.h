/** @file
 * HTTP/1.1 server and client on the loop. */
#ifndef RP_HTTP_HTTP_H
#define RP_HTTP_HTTP_H

#include <stddef.h>
#include "base/loop.h"
#include "base/net.h"
#include "http/parser.h"

struct rp_http_conn;
struct rp_http_call;

struct rp_http_limits {
    size_t max_conns; /* beyond this the connection idle for longest makes room for a new one */
    size_t body_max;  /* of a request */
    double idle_s;    /* a connection without a request */
    double receive_s; /* from the first to the last byte of a request */
    double send_s;    /* a peer that takes no bytes */
};

struct rp_http_server {
    struct rp_loop *loop;
    struct rp_watch watch;
    struct rp_http_limits limits;
    rp_request_fn fn;
    void *arg;
    struct rp_http_conn *conns, *last; /* the one in use latest first */
    size_t n_conns;
    unsigned long refused, evicted;
};

int rp_http_server_open(struct rp_http_server *server, struct rp_loop *loop, const char *addr,
                        const struct rp_http_limits *limits, rp_request_fn fn, void *arg);
void rp_http_server_close(struct rp_http_server *server);

struct rp_http_host;
struct http_line;

#define RP_HTTP_HOST_BUCKETS 1024

/** Calls to any number of hosts over at most `max_total` connections. A host is known only while it
 * has a connection or a call; one that finds no connection free waits in line, and the connection
 * that falls free first serves it. */
struct rp_http_client {
    struct rp_loop *loop;
    size_t max_per_host;
    size_t max_total;
    size_t n_open;
    size_t n_hosts;
    size_t body_max; /* of a response */
    struct rp_http_host *buckets[RP_HTTP_HOST_BUCKETS];
    struct rp_http_host *waiting_first, *waiting_last;
    struct http_line *idle_first, *idle_last; /* the one idle for longest first */
};

void rp_http_client_init(struct rp_http_client *client, struct rp_loop *loop, size_t max_per_host,
                         size_t max_total, size_t body_max);
void rp_http_client_close(struct rp_http_client *client);
struct rp_net rp_http_client_net(struct rp_http_client *client);

#endif
