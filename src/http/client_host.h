/** @file
 * The hosts that the client talks to: a table by address, each host's queue of calls without a
 * connection, and the queue of hosts that wait for one. A part of the client, which alone calls it.
 */
#ifndef RP_HTTP_CLIENT_HOST_H
#define RP_HTTP_CLIENT_HOST_H

#include <stdbool.h>
#include <stddef.h>
#include "base/loop.h"
#include "base/net.h"
#include "http/socket.h"

struct rp_http_client;
struct rp_http_client_connection;
struct rp_http_host;

/** Buckets of the table of hosts. Only hosts with a connection or a call are in it, so chains stay
 * short. */
#define RP_HTTP_HOST_BUCKETS 1024

/** The hosts of a client; all zero when there are none. */
struct rp_http_host_table {
    struct rp_http_host *buckets[RP_HTTP_HOST_BUCKETS];
    size_t n_hosts;
    struct rp_http_host *first_waiting; /**< queue of hosts that wait for a connection */
    struct rp_http_host *last_waiting;
};

/** A call from its start to its response. */
struct rp_http_call {
    struct rp_http_host *host;
    struct rp_http_call *next; /**< in the host's queue */
    struct rp_timer timer;
    struct rp_http_client_connection *connection; /**< NULL while queued */
    char *message;                                /**< owned until it is given to a connection */
    size_t message_len;
    bool own_connection; /**< on a new connection, which is closed afterwards */
    rp_answer_fn on_response;
    void *arg;
};

/** A host that has a connection or a call, or that a function up the stack uses. */
struct rp_http_host {
    struct rp_http_client *client;
    struct rp_http_host *next; /**< in its bucket */
    struct rp_http_host *next_waiting;
    bool is_waiting; /**< in the table's queue of hosts that wait for a connection */
    bool is_in_use;  /**< by a function further up the stack: must not be freed */
    char address[RP_SOCKET_ADDRESS_MAX];
    struct sockaddr_in socket_address;
    struct rp_http_client_connection *connections;
    size_t n_connections;
    struct rp_http_call *first_call, *last_call; /**< queue of calls without a connection */
};

/** The host of an address, added with `client` if it isn't known. Returns NULL when `address` isn't
 * one or memory is out. Kept until rp_http_host_release_if_unused finds nothing that refers to it.
 */
struct rp_http_host *rp_http_host_find_or_add(struct rp_http_host_table *table,
                                              struct rp_http_client *client, const char *address);

/** Forgets and frees a host that nothing refers to any more. */
void rp_http_host_release_if_unused(struct rp_http_host_table *table, struct rp_http_host *host);

/** Puts the host at the end of the queue for connections, unless it is in it. */
void rp_http_host_wait_for_connection(struct rp_http_host_table *table, struct rp_http_host *host);

/** Takes the first host off the queue for connections, which must not be empty. */
struct rp_http_host *rp_http_host_take_first_waiting(struct rp_http_host_table *table);

/** Puts the call at the end of its host's queue. */
void rp_http_host_queue_call(struct rp_http_call *call);

/** Takes the call off its host's queue, wherever it stands. */
void rp_http_host_unqueue_call(struct rp_http_call *call);

#endif
