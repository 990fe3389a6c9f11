#include "http/client.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/memory.h"
#include "http/client_host.h"
#include "http/parser.h"
#include "http/socket.h"

#define READ_BYTES 16384 /* maximum number of bytes read from a connection for one event */

/* States of a connection and the edges between them, each made by set_state:
 * - CONNECTING -> SENDING: the connection was established and a part of the request sent.
 * - CONNECTING -> RECEIVING: the connection was established and all of the request sent.
 * - SENDING -> RECEIVING: all of the request has been sent.
 * - RECEIVING -> IDLE: the response is complete and the connection can be reused.
 * - IDLE -> SENDING: a call was assigned to the connection.
 * - any -> CLOSED: the peer has closed or reset the connection, its call has timed out, its
 *   response was malformed or the last on this connection, the connection is evicted in favour of
 *   one to another host, or the client closes. Frees the connection. */
enum connection_state {
    CONNECTION_CONNECTING,
    CONNECTION_IDLE,
    CONNECTION_SENDING,
    CONNECTION_RECEIVING,
    CONNECTION_CLOSED
};

struct rp_http_client_connection {
    struct rp_http_host *host;
    struct rp_http_client_connection *next;                  /* next connection to the same host */
    struct rp_http_client_connection *idle_prev, *idle_next; /* list of all idle connections */
    struct rp_watch watch;
    enum connection_state state;
    struct rp_http_parser parser;
    struct rp_send_buffer request;
    struct rp_http_call *call; /* NULL while idle */
};

/* The response to a call of whose request no byte was sent. */
static const struct rp_response unsent_response = {.unsent = true, .body = ""};

static void serve_host(struct rp_http_host *host);

/* Serves the hosts that wait for a connection while one can be opened or an idle one evicted. The
 * loop terminates: a host is queued again only if no connection can be opened or evicted. */
static void serve_waiting_hosts(struct rp_http_client *client) {
    while (client->hosts.first_waiting &&
           (client->n_connections < client->max_total || client->least_recent)) {
        struct rp_http_host *host = rp_http_host_take_first_waiting(&client->hosts);
        if (host->is_in_use)
            continue; /* the function that uses the host serves it before it returns */
        serve_host(host);
        rp_http_host_release_if_unused(&host->client->hosts, host);
    }
}

/* ---- states of connections ---- */

static void link_idle(struct rp_http_client_connection *connection) {
    struct rp_http_client *client = connection->host->client;
    connection->idle_prev = client->most_recent;
    connection->idle_next = NULL;
    if (client->most_recent)
        client->most_recent->idle_next = connection;
    else
        client->least_recent = connection;
    client->most_recent = connection;
}

static void unlink_idle(struct rp_http_client_connection *connection) {
    struct rp_http_client *client = connection->host->client;
    if (connection->idle_prev)
        connection->idle_prev->idle_next = connection->idle_next;
    else
        client->least_recent = connection->idle_next;
    if (connection->idle_next)
        connection->idle_next->idle_prev = connection->idle_prev;
    else
        client->most_recent = connection->idle_prev;
    connection->idle_prev = connection->idle_next = NULL;
}

static void unlink_from_host(struct rp_http_client_connection *connection) {
    struct rp_http_host *host = connection->host;
    struct rp_http_client_connection **link = &host->connections;
    while (*link != connection)
        link = &(*link)->next;
    *link = connection->next;
    host->n_connections--;
    host->client->n_connections--;
}

static void free_connection(struct rp_http_client_connection *connection) {
    rp_watch_remove(connection->host->client->loop, &connection->watch);
    close(connection->watch.fd);
    unlink_from_host(connection);
    rp_http_parser_free(&connection->parser);
    rp_send_buffer_clear(&connection->request);
    free(connection);
}

/* The only function that changes a connection's state; CLOSED frees it. */
static void set_state(struct rp_http_client_connection *connection, enum connection_state state) {
    struct rp_loop *loop = connection->host->client->loop;
    if (connection->state == CONNECTION_IDLE)
        unlink_idle(connection);
    if (state == CONNECTION_IDLE)
        link_idle(connection);
    connection->state = state;
    switch (state) {
    case CONNECTION_CONNECTING:
    case CONNECTION_SENDING:
        rp_watch_change(loop, &connection->watch, EPOLLOUT);
        break;
    case CONNECTION_IDLE:
    case CONNECTION_RECEIVING:
        rp_watch_change(loop, &connection->watch, EPOLLIN);
        break;
    case CONNECTION_CLOSED:
        free_connection(connection);
        break;
    }
}

/* ---- calls ---- */

static void free_call(struct rp_http_call *call) {
    rp_timer_cancel(call->host->client->loop, &call->timer);
    free(call->message);
    free(call);
}

/* Frees the call, then passes the response to its call-back, which may start further calls. */
static void finish_call(struct rp_http_call *call, const struct rp_response *response) {
    rp_response_fn on_response = call->on_response;
    void *arg = call->arg;
    if (call->connection)
        call->connection->call = NULL;
    free_call(call);
    on_response(arg, response);
}

/* Serves queued calls after a connection of the host was closed or became idle: first those of the
 * host itself, then those of other hosts that wait for a connection. */
static void on_connection_available(struct rp_http_host *host) {
    struct rp_http_client *client = host->client;
    host->is_in_use = true;
    serve_host(host);
    host->is_in_use = false;
    rp_http_host_release_if_unused(&host->client->hosts, host);
    serve_waiting_hosts(client);
}

/* Closes the connection and fails its call, if it has one. The call counts as unsent only if the
 * connection was not yet established. */
static void fail_connection(struct rp_http_client_connection *connection) {
    const struct rp_response failed = {.unsent = connection->state == CONNECTION_CONNECTING,
                                       .body = ""};
    struct rp_http_host *host = connection->host;
    struct rp_http_call *call = connection->call;
    host->is_in_use = true;
    set_state(connection, CONNECTION_CLOSED);
    if (call) {
        call->connection = NULL;
        finish_call(call, &failed);
    }
    on_connection_available(host);
}

static void on_call_timeout(void *arg) {
    struct rp_http_call *call = arg;
    if (call->connection) {
        /* The connection must not be reused: the response to this call may still arrive on it. */
        fail_connection(call->connection);
        return;
    }
    struct rp_http_host *host = call->host;
    rp_http_host_unqueue_call(call);
    finish_call(call, &unsent_response);
    rp_http_host_release_if_unused(&host->client->hosts, host);
}

static void on_response_complete(struct rp_http_client_connection *connection) {
    struct rp_http_host *host = connection->host;
    struct rp_http_call *call = connection->call;
    /* The body is taken out of the connection's parser: the call-back that reads it may start
     * another call on the same connection. */
    struct rp_http_parser parser = connection->parser;
    struct rp_response response = {.status = parser.status,
                                   .body = parser.body ? parser.body : "",
                                   .len = parser.body_len,
                                   .retry_after = parser.retry_after};
    bool is_last = parser.should_close || call->has_own_connection;
    connection->call = NULL;
    connection->parser.body = NULL;
    connection->parser.body_len = connection->parser.body_capacity = 0;
    rp_http_parser_reset(&connection->parser);
    call->connection = NULL;
    set_state(connection, is_last ? CONNECTION_CLOSED : CONNECTION_IDLE);
    host->is_in_use = true;
    finish_call(call, &response);
    rp_http_parser_free(&parser);
    on_connection_available(host);
}

/* ---- events of a connection ---- */

static void receive_bytes(struct rp_http_client_connection *connection) {
    char data[READ_BYTES];
    ssize_t received = recv(connection->watch.fd, data, sizeof data, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (connection->state == CONNECTION_IDLE || received < 0) {
        /* The peer closed an idle connection, or sent bytes on it without a request. */
        fail_connection(connection);
        return;
    }
    if (received == 0)
        rp_http_parser_eof(&connection->parser);
    else
        rp_http_parser_feed(&connection->parser, data, (size_t)received);
    if (connection->parser.state == RP_HTTP_DONE)
        on_response_complete(connection);
    else if (connection->parser.state == RP_HTTP_FAILED)
        fail_connection(connection);
}

static void send_request(struct rp_http_client_connection *connection) {
    switch (rp_send_buffer_send(&connection->request, connection->watch.fd)) {
    case RP_SEND_COMPLETE:
        set_state(connection, CONNECTION_RECEIVING);
        break;
    case RP_SEND_INCOMPLETE:
        set_state(connection, CONNECTION_SENDING);
        break;
    case RP_SEND_BROKEN:
        fail_connection(connection);
        break;
    }
}

static void on_connection_event(void *arg, uint32_t events) {
    struct rp_http_client_connection *connection = arg;
    switch (connection->state) {
    case CONNECTION_CONNECTING:
        if (rp_socket_is_connected(connection->watch.fd, events))
            send_request(connection);
        else
            fail_connection(connection);
        break;
    case CONNECTION_SENDING:
        if (events & EPOLLOUT)
            send_request(connection);
        else
            receive_bytes(connection);
        break;
    case CONNECTION_IDLE:
    case CONNECTION_RECEIVING:
        receive_bytes(connection);
        break;
    case CONNECTION_CLOSED:
        break;
    }
}

/* ---- connections for calls ---- */

/* Begins to connect to the host. Returns NULL if that fails. */
static struct rp_http_client_connection *open_connection(struct rp_http_host *host) {
    struct rp_http_client *client = host->client;
    struct rp_http_client_connection *connection = calloc(1, sizeof *connection);
    if (!connection)
        return NULL;
    int fd = rp_socket_connect(&host->socket_address);
    if (fd < 0)
        goto out;
    connection->host = host;
    connection->watch = (struct rp_watch){.fd = fd, .fn = on_connection_event, .arg = connection};
    rp_http_parser_init(&connection->parser, RP_HTTP_RESPONSE, client->max_body_bytes);
    if (rp_watch_add(client->loop, &connection->watch, EPOLLOUT) < 0)
        goto out;
    connection->next = host->connections;
    host->connections = connection;
    host->n_connections++;
    client->n_connections++;
    set_state(connection, CONNECTION_CONNECTING);
    return connection;
out:
    if (fd >= 0)
        close(fd);
    free(connection);
    return NULL;
}

/* Closes the connection that has been idle for longest, since each machine that has been released
 * leaves an idle connection behind. A connection that is assigned to a call is never evicted: it
 * leaves the IDLE state when it is assigned. Returns false if no connection is idle. */
static bool evict_idle_connection(struct rp_http_client *client) {
    struct rp_http_client_connection *connection = client->least_recent;
    if (!connection)
        return false;
    struct rp_http_host *host = connection->host;
    set_state(connection, CONNECTION_CLOSED);
    rp_http_host_release_if_unused(&host->client->hosts, host);
    return true;
}

static struct rp_http_client_connection *find_idle_connection(const struct rp_http_host *host) {
    struct rp_http_client_connection *connection = host->connections;
    while (connection && !(connection->state == CONNECTION_IDLE && !connection->call))
        connection = connection->next;
    return connection;
}

/* Opens a connection for a call of the host, evicting an idle one if the total is at its limit.
 * Returns NULL if a limit is reached or the system cannot open a connection. */
static struct rp_http_client_connection *open_connection_within_limits(struct rp_http_host *host) {
    struct rp_http_client *client = host->client;
    if (host->n_connections >= client->max_per_host)
        return NULL;
    if (client->n_connections >= client->max_total && !evict_idle_connection(client)) {
        rp_http_host_wait_for_connection(&client->hosts, host);
        return NULL;
    }
    /* If no connection can be opened, the host's queued calls end by their timeouts. */
    return open_connection(host);
}

static void assign_call(struct rp_http_call *call, struct rp_http_client_connection *connection) {
    rp_http_host_unqueue_call(call);
    call->connection = connection;
    connection->call = call;
    connection->request = (struct rp_send_buffer){.data = call->message, .len = call->message_len};
    call->message = NULL;
    /* The request is sent from the event loop: no call-back may run before rp_net's function has
     * returned (base/net.h). */
    if (connection->state == CONNECTION_IDLE)
        set_state(connection, CONNECTION_SENDING);
}

/* Assigns queued calls to idle connections, and opens new ones within the limits. */
static void serve_host(struct rp_http_host *host) {
    while (host->first_call) {
        struct rp_http_call *call = host->first_call;
        struct rp_http_client_connection *connection =
            call->has_own_connection ? NULL : find_idle_connection(host);
        if (!connection)
            connection = open_connection_within_limits(host);
        if (!connection)
            return;
        assign_call(call, connection);
    }
}

/* ---- the interface of base/net.h ---- */

/* A call that cannot be queued, since its address is invalid or memory is exhausted. Its call-back
 * is called from the event loop, not before rp_net's function has returned (base/net.h). */
struct failed_call {
    struct rp_timer timer;
    rp_response_fn on_response;
    void *arg;
};

static void on_failed_call_due(void *arg) {
    struct failed_call *failed = arg;
    failed->on_response(failed->arg, &unsent_response);
    free(failed);
}

static void fail_call_from_loop(struct rp_loop *loop, rp_response_fn on_response, void *arg) {
    struct failed_call *failed = rp_alloc(1, sizeof *failed);
    *failed = (struct failed_call){.on_response = on_response, .arg = arg};
    failed->timer = (struct rp_timer){.fn = on_failed_call_due, .arg = failed};
    rp_timer_set(loop, &failed->timer, 0);
}

/* Formats a call's request. Returns its length, or -1 when memory is exhausted. */
static int write_message(char **out, const struct rp_http_call *call, const char *method,
                         const char *target, const char *body) {
    return asprintf(out,
                    "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: "
                    "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                    method, target, call->host->address,
                    call->has_own_connection ? "Connection: close\r\n" : "",
                    body ? strlen(body) : 0, body ? body : "");
}

static void start_call(struct rp_http_client *client, bool has_own_connection, const char *address,
                       const char *method, const char *target, const char *body, double timeout_s,
                       rp_response_fn on_response, void *arg) {
    struct rp_http_host *host = rp_http_host_find_or_add(&client->hosts, client, address);
    struct rp_http_call *call = host ? calloc(1, sizeof *call) : NULL;
    if (!call) {
        fail_call_from_loop(client->loop, on_response, arg);
        return;
    }
    *call = (struct rp_http_call){.host = host,
                                  .has_own_connection = has_own_connection,
                                  .on_response = on_response,
                                  .arg = arg};
    int len = write_message(&call->message, call, method, target, body);
    if (len < 0) {
        free(call);
        fail_call_from_loop(client->loop, on_response, arg);
        return;
    }
    call->message_len = (size_t)len;
    call->timer = (struct rp_timer){.fn = on_call_timeout, .arg = call};
    rp_timer_set(client->loop, &call->timer, timeout_s);
    rp_http_host_queue_call(call);
    serve_host(host);
}

static void call_on_shared_connection(void *ctx, const char *address, const char *method,
                                      const char *target, const char *body, double timeout_s,
                                      rp_response_fn on_response, void *arg) {
    start_call(ctx, false, address, method, target, body, timeout_s, on_response, arg);
}

static void call_on_own_connection(void *ctx, const char *address, const char *method,
                                   const char *target, const char *body, double timeout_s,
                                   rp_response_fn on_response, void *arg) {
    start_call(ctx, true, address, method, target, body, timeout_s, on_response, arg);
}

/* ---- the client ---- */

void rp_http_client_init(struct rp_http_client *client, struct rp_loop *loop, size_t max_per_host,
                         size_t max_total, size_t max_body_bytes) {
    *client = (struct rp_http_client){.loop = loop,
                                      .max_per_host = max_per_host,
                                      .max_total = max_total,
                                      .max_body_bytes = max_body_bytes};
}

struct rp_net rp_http_client_net(struct rp_http_client *client) {
    return (struct rp_net){.ctx = client,
                           .call = call_on_shared_connection,
                           .call_on_own_connection = call_on_own_connection};
}

/* The analyzer does not detect that a closed connection and an unqueued call are removed from their
 * lists. */
// NOLINTBEGIN(clang-analyzer-unix.Malloc)
static void close_host(struct rp_http_host *host) {
    while (host->first_call) {
        struct rp_http_call *call = host->first_call;
        rp_http_host_unqueue_call(call);
        free_call(call);
    }
    while (host->connections) {
        struct rp_http_call *call = host->connections->call;
        set_state(host->connections, CONNECTION_CLOSED);
        if (call)
            free_call(call);
    }
    free(host);
}

void rp_http_client_close(struct rp_http_client *client) {
    for (size_t i = 0; i < RP_HTTP_HOST_BUCKETS; i++)
        while (client->hosts.buckets[i]) {
            struct rp_http_host *host = client->hosts.buckets[i];
            client->hosts.buckets[i] = host->next;
            close_host(host);
        }
    client->hosts.first_waiting = client->hosts.last_waiting = NULL;
    client->hosts.n_hosts = 0;
}
// NOLINTEND(clang-analyzer-unix.Malloc)
