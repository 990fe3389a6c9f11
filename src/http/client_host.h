/** @file
 * The hosts that the HTTP client calls: a hash table by address, each host's queue of calls without
 * a connection, and the queue of hosts that wait for a connection. Part of the client and called
 * only by client.c. */
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

/** Number of buckets of the table of hosts. Chains are short, since the table holds only hosts with
 * a connection or a call. */
#define RP_HTTP_HOST_BUCKETS 1024

/** The hosts of a client; all members are zero in an empty table. */
struct rp_http_host_table {
    struct rp_http_host *buckets[RP_HTTP_HOST_BUCKETS];
    size_t n_hosts;
    struct rp_http_host *first_waiting; /**< head of the queue of hosts waiting for a connection */
    struct rp_http_host *last_waiting;
};

/** A call from its start to its response. */
struct rp_http_call {
    struct rp_http_host *host;
    struct rp_http_call *next; /**< next call in the host's queue */
    struct rp_timer timer;
    struct rp_http_client_connection *connection; /**< NULL while the call is queued */
    char *message; /**< the request's text; owned until the call is assigned to a connection */
    size_t message_len;
    bool has_own_connection; /**< made on a new connection, which is closed afterwards */
    rp_response_fn on_response;
    void *arg;
};

/** A host that has a connection or a call, or that a calling function uses. */
struct rp_http_host {
    struct rp_http_client *client;
    struct rp_http_host *next; /**< next host in the same bucket */
    struct rp_http_host *next_waiting;
    bool is_waiting; /**< is in the table's queue of hosts waiting for a connection */
    bool is_in_use;  /**< used by a function up the call stack: must not be freed */
    char address[RP_SOCKET_ADDRESS_MAX];
    struct sockaddr_in socket_address;
    struct rp_http_client_connection *connections;
    size_t n_connections;
    struct rp_http_call *first_call, *last_call; /**< queue of calls without a connection */
};

/** Finds the host with this address, or adds it with `client`. Returns NULL if `address` is invalid
 * or memory is exhausted. The host is valid until rp_http_host_release_if_unused frees it. */
struct rp_http_host *rp_http_host_find_or_add(struct rp_http_host_table *table,
                                              struct rp_http_client *client, const char *address);

/** Removes and frees the host if it is not in use, does not wait and has no connection and no call.
 */
void rp_http_host_release_if_unused(struct rp_http_host_table *table, struct rp_http_host *host);

/** Appends the host to the queue for connections, unless the queue already contains it. */
void rp_http_host_wait_for_connection(struct rp_http_host_table *table, struct rp_http_host *host);

/** Removes and returns the first host of the queue for connections, which must not be empty. */
struct rp_http_host *rp_http_host_take_first_waiting(struct rp_http_host_table *table);

/** Appends the call to its host's queue. */
void rp_http_host_queue_call(struct rp_http_call *call);

/** Removes the call from any position of its host's queue; has no effect if it is not queued. */
void rp_http_host_unqueue_call(struct rp_http_call *call);

#endif
