#include "http/server.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/log.h"
#include "http/parser.h"
#include "http/socket.h"

#define READ_BYTES 16384          /* maximum number of bytes read from a connection for one event */
#define MAX_ACCEPTS 256           /* maximum number of connections accepted for one event */
#define RETRY_AFTER_LINE_BYTES 48 /* size of "Retry-After: SECONDS" with its line end and NUL */

/* States of a connection and the edges between them, each made by set_state:
 * - RECEIVING -> HANDLING: a request is complete and is passed to the handler.
 * - HANDLING -> SENDING: the handler has responded.
 * - RECEIVING -> SENDING: the request is malformed or too slow and is refused.
 * - SENDING -> RECEIVING: the response has been sent; the connection waits for the next request.
 * - any -> CLOSED: the peer has closed or reset the connection or has exceeded a timeout, the
 *   response was the connection's last, the connection is evicted in favour of a new one, memory is
 *   exhausted, or the server closes. */
enum connection_state {
    CONNECTION_RECEIVING,
    CONNECTION_HANDLING,
    CONNECTION_SENDING,
    CONNECTION_CLOSED
};

struct rp_http_server_connection {
    struct rp_http_server *server; /* NULL once the connection is closed */
    struct rp_http_server_connection *prev, *next;
    struct rp_watch watch;
    struct rp_timer timer;
    enum connection_state state;
    struct rp_http_parser parser;
    struct rp_send_buffer response;
    char *read_ahead; /* bytes received after the end of the request being handled */
    size_t read_ahead_len;
    struct rp_request request;
    bool is_in_handler; /* the handler is being called: the connection must not be freed */
};

static void process_received(struct rp_http_server_connection *connection);

/* ---- the list of connections ---- */

static void unlink_connection(struct rp_http_server_connection *connection) {
    struct rp_http_server *server = connection->server;
    if (connection->prev)
        connection->prev->next = connection->next;
    else
        server->most_recent = connection->next;
    if (connection->next)
        connection->next->prev = connection->prev;
    else
        server->least_recent = connection->prev;
    server->n_connections--;
}

static void link_connection(struct rp_http_server_connection *connection) {
    struct rp_http_server *server = connection->server;
    connection->prev = NULL;
    connection->next = server->most_recent;
    if (server->most_recent)
        server->most_recent->prev = connection;
    else
        server->least_recent = connection;
    server->most_recent = connection;
    server->n_connections++;
}

/* ---- states ---- */

static void release_resources(struct rp_http_server_connection *connection) {
    struct rp_loop *loop = connection->server->loop;
    rp_timer_cancel(loop, &connection->timer);
    rp_watch_remove(loop, &connection->watch);
    close(connection->watch.fd);
    unlink_connection(connection);
    connection->server = NULL;
    rp_http_parser_free(&connection->parser);
    rp_send_buffer_clear(&connection->response);
    free(connection->read_ahead);
    connection->read_ahead = NULL;
}

/* The only function that changes a connection's state. CLOSED releases the connection's resources;
 * drop_connection, on_respond or handle_request frees the struct. */
static void set_state(struct rp_http_server_connection *connection, enum connection_state state) {
    const struct rp_http_limits *limits = &connection->server->limits;
    struct rp_loop *loop = connection->server->loop;
    connection->state = state;
    switch (state) {
    case CONNECTION_RECEIVING:
        unlink_connection(connection);
        link_connection(connection);
        rp_timer_set(loop, &connection->timer, limits->idle_timeout_s);
        rp_watch_change(loop, &connection->watch, EPOLLIN);
        break;
    case CONNECTION_HANDLING:
        rp_timer_cancel(loop, &connection->timer);
        break;
    case CONNECTION_SENDING:
        rp_timer_set(loop, &connection->timer, limits->send_timeout_s);
        break;
    case CONNECTION_CLOSED:
        release_resources(connection);
        break;
    }
}

static void drop_connection(struct rp_http_server_connection *connection) {
    /* While a request is being handled, the struct is needed until the handler responds. */
    bool is_handling = connection->state == CONNECTION_HANDLING;
    if (connection->state != CONNECTION_CLOSED)
        set_state(connection, CONNECTION_CLOSED);
    if (!is_handling && !connection->is_in_handler)
        free(connection);
}

static bool is_idle(const struct rp_http_server_connection *connection) {
    return connection->state == CONNECTION_RECEIVING && rp_http_parser_is_idle(&connection->parser);
}

/* ---- responses ---- */

/* Formats the response. Returns false when memory is exhausted. */
static bool prepare_response(struct rp_http_server_connection *connection, int status,
                             const char *body, int retry_after_s) {
    char retry_after[RETRY_AFTER_LINE_BYTES] = "";
    char *text;
    if (retry_after_s > 0) {
        snprintf(retry_after, sizeof retry_after, "Retry-After: %d\r\n", retry_after_s);
        /* The connection is closed so that the retry passes through the load balancer, which may
         * select a node that can handle the request. */
        connection->parser.should_close = true;
    }
    int n =
        asprintf(&text,
                 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: "
                 "%zu\r\n%s%s\r\n%s",
                 status, rp_http_reason(status), body ? strlen(body) : 0, retry_after,
                 connection->parser.should_close ? "Connection: close\r\n" : "", body ? body : "");
    if (n < 0)
        return false;
    connection->response = (struct rp_send_buffer){.data = text, .len = (size_t)n};
    return true;
}

/* Sends the bytes of the response that the kernel accepts. Returns true if all have been sent and
 * the connection waits for the next request, false if it is still sending or has been dropped. */
static bool send_response(struct rp_http_server_connection *connection) {
    enum rp_send_outcome outcome = rp_send_buffer_send(&connection->response, connection->watch.fd);
    if (outcome == RP_SEND_INCOMPLETE) {
        rp_watch_change(connection->server->loop, &connection->watch, EPOLLOUT);
        return false;
    }
    if (outcome == RP_SEND_BROKEN || connection->parser.should_close) {
        drop_connection(connection);
        return false;
    }
    rp_http_parser_reset(&connection->parser);
    set_state(connection, CONNECTION_RECEIVING);
    return true;
}

static void on_respond(struct rp_request *request, int status, const char *body,
                       int retry_after_s) {
    struct rp_http_server_connection *connection =
        (struct rp_http_server_connection *)(void *)((char *)request -
                                                     offsetof(struct rp_http_server_connection,
                                                              request));
    if (connection->state == CONNECTION_CLOSED) {
        if (!connection->is_in_handler)
            free(connection);
        else
            connection->is_in_handler = false; /* handle_request frees the connection */
        return;
    }
    set_state(connection, CONNECTION_SENDING);
    if (!prepare_response(connection, status, body, retry_after_s)) {
        drop_connection(connection);
        return;
    }
    if (connection->is_in_handler)
        return; /* handle_request sends the response */
    if (send_response(connection))
        process_received(connection);
}

static void refuse_message(struct rp_http_server_connection *connection, int status) {
    connection->parser.should_close = true;
    set_state(connection, CONNECTION_SENDING);
    if (prepare_response(connection, status, "{\"error\":\"bad message\"}\n", 0))
        send_response(connection);
    else
        drop_connection(connection);
}

/* ---- requests ---- */

/* Passes the complete request to the handler. Returns true if the response has been sent and the
 * connection waits for the next request. */
static bool handle_request(struct rp_http_server_connection *connection) {
    struct rp_http_server *server = connection->server;
    const struct rp_http_parser *parser = &connection->parser;
    set_state(connection, CONNECTION_HANDLING);
    connection->request = (struct rp_request){.method = parser->method,
                                              .target = parser->target,
                                              .body = parser->body ? parser->body : "",
                                              .len = parser->body_len,
                                              .respond = on_respond};
    connection->is_in_handler = true;
    server->on_request(server->arg, &connection->request);
    connection->is_in_handler = false;
    if (connection->state == CONNECTION_CLOSED) {
        free(connection);
        return false;
    }
    if (connection->state == CONNECTION_SENDING)
        return send_response(connection);
    /* The handler responds later; until then the connection waits only for its peer to disconnect.
     * The events are changed here and not in set_state, since most requests are responded to
     * immediately and the change costs a system call. */
    rp_watch_change(server->loop, &connection->watch, EPOLLRDHUP);
    return false;
}

static void parse_read_ahead(struct rp_http_server_connection *connection) {
    char *data = connection->read_ahead;
    size_t len = connection->read_ahead_len;
    connection->read_ahead = NULL;
    connection->read_ahead_len = 0;
    size_t used = rp_http_parser_feed(&connection->parser, data, len);
    if (used == len) {
        free(data);
        return;
    }
    memmove(data, data + used, len - used);
    connection->read_ahead = data;
    connection->read_ahead_len = len - used;
}

/* Handles all requests that have been received completely. */
static void process_received(struct rp_http_server_connection *connection) {
    for (;;) {
        if (connection->read_ahead_len)
            parse_read_ahead(connection);
        if (connection->parser.state == RP_HTTP_FAILED) {
            refuse_message(connection, connection->parser.error);
            return;
        }
        if (connection->parser.state != RP_HTTP_DONE)
            return;
        if (!handle_request(connection) || !connection->read_ahead_len)
            return;
    }
}

/* Copies bytes that follow the current request. Returns false when memory is exhausted. */
static bool keep_read_ahead(struct rp_http_server_connection *connection, const char *data,
                            size_t len) {
    connection->read_ahead = malloc(len);
    if (!connection->read_ahead)
        return false;
    connection->read_ahead_len = len;
    memcpy(connection->read_ahead, data, len);
    return true;
}

/* Responds to Expect: 100-continue, after which the peer sends the body. Returns false if the
 * connection is broken. */
static bool send_continue(struct rp_http_server_connection *connection) {
    static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
    connection->parser.expects_continue = false;
    return send(connection->watch.fd, interim, sizeof interim - 1, MSG_NOSIGNAL) >= 0;
}

static void receive_bytes(struct rp_http_server_connection *connection) {
    char data[READ_BYTES];
    struct rp_http_parser *parser = &connection->parser;
    bool was_idle = rp_http_parser_is_idle(parser);
    ssize_t received = recv(connection->watch.fd, data, sizeof data, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (received <= 0) {
        drop_connection(connection);
        return;
    }
    size_t used = rp_http_parser_feed(parser, data, (size_t)received);
    size_t left = (size_t)received - used;
    if (left > 0 && !keep_read_ahead(connection, data + used, left)) {
        drop_connection(connection);
        return;
    }
    /* The timer is set at the first byte only: the whole request must arrive within
     * receive_timeout_s, even if the peer keeps sending bytes slowly. */
    if (was_idle)
        rp_timer_set(connection->server->loop, &connection->timer,
                     connection->server->limits.receive_timeout_s);
    bool waits_for_continue =
        parser->expects_continue && parser->state == RP_HTTP_BODY_SIZED && parser->body_len == 0;
    if (waits_for_continue && !send_continue(connection)) {
        drop_connection(connection);
        return;
    }
    process_received(connection);
}

/* ---- events ---- */

static void on_connection_event(void *arg, uint32_t events) {
    struct rp_http_server_connection *connection = arg;
    switch (connection->state) {
    case CONNECTION_RECEIVING:
        receive_bytes(connection);
        break;
    case CONNECTION_HANDLING:
        if (events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP))
            drop_connection(connection);
        break;
    case CONNECTION_SENDING:
        if (send_response(connection))
            process_received(connection);
        break;
    case CONNECTION_CLOSED:
        break;
    }
}

static void on_connection_timeout(void *arg) {
    struct rp_http_server_connection *connection = arg;
    if (connection->state == CONNECTION_RECEIVING && !is_idle(connection))
        refuse_message(connection, 408);
    else
        drop_connection(connection);
}

static void refuse_connection(struct rp_http_server *server, int fd) {
    static const char response[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\n"
                                   "Content-Length: 0\r\nConnection: close\r\n\r\n";
    server->n_refused++;
    if (send(fd, response, sizeof response - 1, MSG_NOSIGNAL) < 0)
        rp_debug("refusing a connection failed: %s", strerror(errno));
    close(fd);
}

/* Closes the connection that has been idle for longest. Workers and users that switch to another
 * node leave their connections open; without the eviction, a node at its limit refuses new
 * connections, for example those of a thousand workers after a failover, or of a health check.
 * Returns false if no connection is idle. */
static bool evict_idle_connection(struct rp_http_server *server) {
    struct rp_http_server_connection *connection = server->least_recent;
    while (connection && !is_idle(connection))
        connection = connection->prev;
    if (!connection)
        return false;
    server->n_evicted++;
    drop_connection(connection);
    return true;
}

static void accept_connection(struct rp_http_server *server, int fd) {
    bool has_capacity =
        server->n_connections < server->limits.max_connections || evict_idle_connection(server);
    struct rp_http_server_connection *connection =
        has_capacity ? calloc(1, sizeof *connection) : NULL;
    if (!connection) {
        refuse_connection(server, fd);
        return;
    }
    rp_socket_set_no_delay(fd);
    connection->server = server;
    connection->watch = (struct rp_watch){.fd = fd, .fn = on_connection_event, .arg = connection};
    connection->timer = (struct rp_timer){.fn = on_connection_timeout, .arg = connection};
    rp_http_parser_init(&connection->parser, RP_HTTP_REQUEST, server->limits.max_body_bytes);
    link_connection(connection);
    if (rp_watch_add(server->loop, &connection->watch, EPOLLIN) < 0)
        drop_connection(connection);
    else
        set_state(connection, CONNECTION_RECEIVING);
}

static void on_listen_event(void *arg, uint32_t events) {
    struct rp_http_server *server = arg;
    (void)events;
    for (int i = 0; i < MAX_ACCEPTS; i++) {
        int fd = rp_socket_accept(server->watch.fd);
        if (fd < 0)
            return;
        accept_connection(server, fd);
    }
}

/* ---- the server ---- */

int rp_http_server_open(struct rp_http_server *server, struct rp_loop *loop, const char *address,
                        const struct rp_http_limits *limits, rp_request_fn on_request, void *arg) {
    struct sockaddr_in socket_address;
    memset(server, 0, sizeof *server);
    if (!rp_socket_parse_address(address, &socket_address))
        return -EINVAL;
    int fd = rp_socket_listen(&socket_address);
    if (fd < 0)
        return fd;
    server->loop = loop;
    server->limits = *limits;
    server->on_request = on_request;
    server->arg = arg;
    server->watch = (struct rp_watch){.fd = fd, .fn = on_listen_event, .arg = server};
    int rc = rp_watch_add(loop, &server->watch, EPOLLIN);
    if (rc < 0)
        close(fd);
    return rc;
}

void rp_http_server_close(struct rp_http_server *server) {
    while (server->most_recent)
        drop_connection(server->most_recent); // NOLINT(clang-analyzer-unix.Malloc): it is unlinked
    rp_watch_remove(server->loop, &server->watch);
    close(server->watch.fd);
}
