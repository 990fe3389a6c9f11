#include "http/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"

#define READ_SIZE 16384
#define BACKLOG 4096 /* after a takeover all workers come at once */
#define ACCEPTS 256  /* connections taken in one turn */

static int parse_addr(const char *addr, struct sockaddr_in *out) {
    char host[64];
    const char *colon = strrchr(addr, ':');
    if (!colon || (size_t)(colon - addr) >= sizeof host)
        return -EINVAL;
    memcpy(host, addr, (size_t)(colon - addr));
    host[colon - addr] = '\0';
    char *end;
    long port = strtol(colon + 1, &end, 10);
    if (*end || end == colon + 1 || port < 1 || port > 65535)
        return -EINVAL;
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

/* Bytes waiting to be sent. */
struct outbuf {
    char *data;
    size_t len, at;
};

static void outbuf_clear(struct outbuf *out) {
    free(out->data);
    memset(out, 0, sizeof *out);
}

/* 1: all sent, 0: the peer is slow, -1: the connection is gone. */
static int outbuf_send(struct outbuf *out, int fd) {
    while (out->at < out->len) {
        ssize_t n = send(fd, out->data + out->at, out->len - out->at, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK ? 0 : -1;
        out->at += (size_t)n;
    }
    outbuf_clear(out);
    return 1;
}

/* ---- server ---- */

enum conn_state { CONN_RECEIVING, CONN_HANDLING, CONN_SENDING, CONN_CLOSED };

struct rp_http_conn {
    struct rp_http_server *server;
    struct rp_http_conn *prev, *next;
    struct rp_watch watch;
    struct rp_timer timer;
    enum conn_state state;
    struct rp_http_parser parser;
    struct outbuf out;
    char *ahead; /* bytes that came behind the request being handled */
    size_t ahead_len;
    struct rp_request req;
    bool in_handler; /* the conn must outlive the handler's call */
};

static void conn_advance(struct rp_http_conn *conn);

static void conn_unlink(struct rp_http_conn *conn) {
    struct rp_http_server *server = conn->server;
    if (!server)
        return;
    if (conn->prev)
        conn->prev->next = conn->next;
    else
        server->conns = conn->next;
    if (conn->next)
        conn->next->prev = conn->prev;
    else
        server->last = conn->prev;
    server->n_conns--;
}

static void conn_link(struct rp_http_conn *conn) {
    struct rp_http_server *server = conn->server;
    conn->prev = NULL;
    conn->next = server->conns;
    if (server->conns)
        server->conns->prev = conn;
    else
        server->last = conn;
    server->conns = conn;
    server->n_conns++;
}

/* The one place where a server connection changes its state. */
static void conn_set_state(struct rp_http_conn *conn, enum conn_state state) {
    struct rp_loop *loop = conn->server->loop;
    conn->state = state;
    switch (state) {
    case CONN_RECEIVING:
        conn_unlink(conn);
        conn_link(conn);
        rp_timer_set(loop, &conn->timer, conn->server->limits.idle_s);
        rp_watch_change(loop, &conn->watch, EPOLLIN);
        break;
    case CONN_HANDLING:
        rp_timer_cancel(loop, &conn->timer);
        break;
    case CONN_SENDING:
        rp_timer_set(loop, &conn->timer, conn->server->limits.send_s);
        break;
    case CONN_CLOSED:
        rp_timer_cancel(loop, &conn->timer);
        rp_watch_remove(loop, &conn->watch);
        close(conn->watch.fd);
        conn_unlink(conn);
        conn->server = NULL;
        rp_http_parser_free(&conn->parser);
        outbuf_clear(&conn->out);
        free(conn->ahead);
        conn->ahead = NULL;
        break;
    }
}

static void conn_drop(struct rp_http_conn *conn) {
    /* A request still being handled keeps the struct until it is responded to. */
    bool handling = conn->state == CONN_HANDLING;
    if (conn->state != CONN_CLOSED)
        conn_set_state(conn, CONN_CLOSED);
    if (!handling && !conn->in_handler)
        free(conn);
}

static int conn_queue(struct rp_http_conn *conn, int status, const char *body, int retry_after) {
    char retry[48] = "";
    size_t len = body ? strlen(body) : 0;
    /* Who is told to come back is to come by the load balancer, which may know a better node. */
    if (retry_after > 0)
        conn->parser.close = true;
    if (retry_after > 0)
        snprintf(retry, sizeof retry, "Retry-After: %d\r\n", retry_after);
    char *text;
    int n = asprintf(&text,
                     "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: "
                     "%zu\r\n%s%s\r\n%s",
                     status, rp_http_reason(status), len, retry,
                     conn->parser.close ? "Connection: close\r\n" : "", body ? body : "");
    if (n < 0)
        return -ENOMEM;
    conn->out = (struct outbuf){.data = text, .len = (size_t)n};
    return 0;
}

/* Returns false when the connection is gone. */
static bool conn_flush(struct rp_http_conn *conn) {
    int sent = outbuf_send(&conn->out, conn->watch.fd);
    if (sent == 0) {
        rp_watch_change(conn->server->loop, &conn->watch, EPOLLOUT);
        return true;
    }
    if (sent < 0 || conn->parser.close) {
        conn_drop(conn);
        return false;
    }
    rp_http_parser_reset(&conn->parser);
    conn_set_state(conn, CONN_RECEIVING);
    return true;
}

static void conn_respond(struct rp_request *req, int status, const char *body, int retry_after) {
    struct rp_http_conn *conn =
        (struct rp_http_conn *)(void *)((char *)req - offsetof(struct rp_http_conn, req));
    if (conn->state == CONN_CLOSED) {
        if (!conn->in_handler)
            free(conn);
        else
            conn->in_handler = false; /* the caller of the handler frees it */
        return;
    }
    conn_set_state(conn, CONN_SENDING);
    if (conn_queue(conn, status, body, retry_after) < 0) {
        conn_drop(conn);
        return;
    }
    if (conn->in_handler)
        return; /* conn_advance goes on */
    if (conn_flush(conn) && conn->state == CONN_RECEIVING)
        conn_advance(conn);
}

static void conn_refuse(struct rp_http_conn *conn, int status) {
    conn->parser.close = true;
    conn_set_state(conn, CONN_SENDING);
    if (conn_queue(conn, status, "{\"error\":\"bad message\"}\n", 0) < 0)
        conn_drop(conn);
    else
        conn_flush(conn);
}

static bool conn_handle(struct rp_http_conn *conn) {
    struct rp_http_server *server = conn->server;
    conn_set_state(conn, CONN_HANDLING);
    conn->req = (struct rp_request){.method = conn->parser.method,
                                    .target = conn->parser.target,
                                    .body = conn->parser.body ? conn->parser.body : "",
                                    .len = conn->parser.body_len,
                                    .respond = conn_respond};
    conn->in_handler = true;
    server->fn(server->arg, &conn->req);
    conn->in_handler = false;
    if (conn->state == CONN_CLOSED) {
        free(conn);
        return false;
    }
    if (conn->state == CONN_SENDING)
        return conn_flush(conn) && conn->state == CONN_RECEIVING;
    /* Answered later: until then only the peer's going away is of interest. Changed here and not
     * on entering the state, since most requests are answered at once and a call costs time. */
    rp_watch_change(server->loop, &conn->watch, EPOLLRDHUP);
    return false;
}

/* Works through bytes that are at hand already. */
static void conn_advance(struct rp_http_conn *conn) {
    for (;;) {
        if (conn->ahead_len) {
            char *data = conn->ahead;
            size_t len = conn->ahead_len;
            conn->ahead = NULL;
            conn->ahead_len = 0;
            size_t used = rp_http_parser_feed(&conn->parser, data, len);
            if (used < len) {
                memmove(data, data + used, len - used);
                conn->ahead = data;
                conn->ahead_len = len - used;
            } else {
                free(data);
            }
        }
        if (conn->parser.state == RP_HTTP_FAILED) {
            conn_refuse(conn, conn->parser.error);
            return;
        }
        if (conn->parser.state != RP_HTTP_DONE)
            return;
        if (!conn_handle(conn) || !conn->ahead_len)
            return;
    }
}

static void conn_receive(struct rp_http_conn *conn) {
    char data[READ_SIZE];
    bool was_idle = rp_http_parser_idle(&conn->parser);
    ssize_t n = recv(conn->watch.fd, data, sizeof data, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        conn_drop(conn);
        return;
    }
    size_t used = rp_http_parser_feed(&conn->parser, data, (size_t)n);
    if (used < (size_t)n) {
        conn->ahead = malloc((size_t)n - used);
        if (!conn->ahead) {
            conn_drop(conn);
            return;
        }
        conn->ahead_len = (size_t)n - used;
        memcpy(conn->ahead, data + used, conn->ahead_len);
    }
    /* The whole request must arrive within a bound, however slowly it drips. */
    if (was_idle)
        rp_timer_set(conn->server->loop, &conn->timer, conn->server->limits.receive_s);
    if (conn->parser.expect_continue && conn->parser.state == RP_HTTP_BODY_SIZED &&
        conn->parser.body_len == 0) {
        static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
        conn->parser.expect_continue = false;
        if (send(conn->watch.fd, go_on, sizeof go_on - 1, MSG_NOSIGNAL) < 0) {
            conn_drop(conn);
            return;
        }
    }
    conn_advance(conn);
}

static void conn_event(void *arg, uint32_t events) {
    struct rp_http_conn *conn = arg;
    switch (conn->state) {
    case CONN_RECEIVING:
        conn_receive(conn);
        break;
    case CONN_HANDLING:
        if (events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP))
            conn_drop(conn);
        break;
    case CONN_SENDING:
        if (conn_flush(conn) && conn->state == CONN_RECEIVING)
            conn_advance(conn);
        break;
    case CONN_CLOSED:
        break;
    }
}

static void conn_timeout(void *arg) {
    struct rp_http_conn *conn = arg;
    if (conn->state == CONN_RECEIVING && !rp_http_parser_idle(&conn->parser))
        conn_refuse(conn, 408);
    else
        conn_drop(conn);
}

static void server_turn_away(struct rp_http_server *server, int fd) {
    static const char busy[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\n"
                               "Content-Length: 0\r\nConnection: close\r\n\r\n";
    server->refused++;
    if (send(fd, busy, sizeof busy - 1, MSG_NOSIGNAL) < 0)
        rp_debug("refusing a connection failed: %s", strerror(errno));
    close(fd);
}

/* Workers and users that have gone to another node leave their connections open: a node that a
 * thousand workers come to must not refuse them, or a health check, for the sake of those. */
static bool server_evict(struct rp_http_server *server) {
    struct rp_http_conn *conn = server->last;
    while (conn && !(conn->state == CONN_RECEIVING && rp_http_parser_idle(&conn->parser)))
        conn = conn->prev;
    if (!conn)
        return false;
    server->evicted++;
    conn_drop(conn);
    return true;
}

static void server_accept(void *arg, uint32_t events) {
    struct rp_http_server *server = arg;
    (void)events;
    for (int i = 0; i < ACCEPTS; i++) {
        int fd = accept4(server->watch.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        bool room = server->n_conns < server->limits.max_conns || server_evict(server);
        struct rp_http_conn *conn = room ? calloc(1, sizeof *conn) : NULL;
        if (!conn) {
            server_turn_away(server, fd);
            continue;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        conn->server = server;
        conn->watch = (struct rp_watch){.fd = fd, .fn = conn_event, .arg = conn};
        conn->timer = (struct rp_timer){.fn = conn_timeout, .arg = conn};
        rp_http_parser_init(&conn->parser, RP_HTTP_REQUEST, server->limits.body_max);
        conn_link(conn);
        if (rp_watch_add(server->loop, &conn->watch, EPOLLIN) < 0)
            conn_drop(conn);
        else
            conn_set_state(conn, CONN_RECEIVING);
    }
}

int rp_http_server_open(struct rp_http_server *server, struct rp_loop *loop, const char *addr,
                        const struct rp_http_limits *limits, rp_request_fn fn, void *arg) {
    struct sockaddr_in sa;
    int rc = parse_addr(addr, &sa);
    int fd = -1, one = 1;
    memset(server, 0, sizeof *server);
    if (rc < 0)
        return rc;
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -errno;
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) < 0 ||
        bind(fd, (struct sockaddr *)&sa, sizeof sa) < 0 || listen(fd, BACKLOG) < 0) {
        rc = -errno;
        close(fd);
        return rc;
    }
    server->loop = loop;
    server->limits = *limits;
    server->fn = fn;
    server->arg = arg;
    server->watch = (struct rp_watch){.fd = fd, .fn = server_accept, .arg = server};
    rc = rp_watch_add(loop, &server->watch, EPOLLIN);
    if (rc < 0)
        close(fd);
    return rc;
}

void rp_http_server_close(struct rp_http_server *server) {
    while (server->conns)
        conn_drop(server->conns); /* takes it off the list */ // NOLINT(clang-analyzer-unix.Malloc)
    rp_watch_remove(server->loop, &server->watch);
    close(server->watch.fd);
}

/* ---- client ---- */

enum line_state { LINE_CONNECTING, LINE_IDLE, LINE_SENDING, LINE_RECEIVING, LINE_CLOSED };

/* A connection to a host. */
struct http_line {
    struct rp_http_host *host;
    struct http_line *next;
    struct http_line *idle_prev, *idle_next; /* in the client's list of idle connections */
    struct rp_watch watch;
    enum line_state state;
    struct rp_http_parser parser;
    struct outbuf out;
    struct rp_http_call *call;
};

struct rp_http_call {
    struct rp_http_host *host;
    struct rp_http_call *next; /* in the host's queue */
    struct rp_timer timer;
    struct http_line *line;
    char *text;
    size_t len;
    bool once; /* on a connection of its own */
    rp_answer_fn fn;
    void *arg;
};

struct rp_http_host {
    struct rp_http_client *client;
    struct rp_http_host *next; /* in its bucket */
    struct rp_http_host *waiting_next;
    bool waiting; /* in the client's line of hosts that want a connection */
    bool in_use;  /* by a function further up: must not be freed */
    char addr[64];
    struct sockaddr_in sa;
    struct http_line *lines;
    size_t n_lines;
    struct rp_http_call *first, *last;
};

void rp_http_client_init(struct rp_http_client *client, struct rp_loop *loop, size_t max_per_host,
                         size_t max_total, size_t body_max) {
    *client = (struct rp_http_client){
        .loop = loop, .max_per_host = max_per_host, .max_total = max_total, .body_max = body_max};
}

static void host_serve(struct rp_http_host *host);
static void client_serve_waiting(struct rp_http_client *client);

static struct rp_http_host **bucket_of(struct rp_http_client *client, const char *addr) {
    size_t hash = 5381;
    for (const char *at = addr; *at; at++)
        hash = hash * 33 + (unsigned char)*at;
    return &client->buckets[hash % RP_HTTP_HOST_BUCKETS];
}

/* Forgets a host that nothing refers to any more: machines come and go by the thousand. */
static void host_release(struct rp_http_host *host) {
    if (host->in_use || host->waiting || host->lines || host->first)
        return;
    struct rp_http_host **link = bucket_of(host->client, host->addr);
    while (*link != host)
        link = &(*link)->next;
    *link = host->next;
    host->client->n_hosts--;
    free(host);
}

static void idle_link(struct http_line *line) {
    struct rp_http_client *client = line->host->client;
    line->idle_prev = client->idle_last;
    line->idle_next = NULL;
    if (client->idle_last)
        client->idle_last->idle_next = line;
    else
        client->idle_first = line;
    client->idle_last = line;
}

static void idle_unlink(struct http_line *line) {
    struct rp_http_client *client = line->host->client;
    if (line->idle_prev)
        line->idle_prev->idle_next = line->idle_next;
    else
        client->idle_first = line->idle_next;
    if (line->idle_next)
        line->idle_next->idle_prev = line->idle_prev;
    else
        client->idle_last = line->idle_prev;
    line->idle_prev = line->idle_next = NULL;
}

/* The one place where a client connection changes its state. */
static void line_set_state(struct http_line *line, enum line_state state) {
    struct rp_http_host *host = line->host;
    struct rp_loop *loop = host->client->loop;
    if (line->state == LINE_IDLE)
        idle_unlink(line);
    if (state == LINE_IDLE)
        idle_link(line);
    line->state = state;
    switch (state) {
    case LINE_CONNECTING:
    case LINE_SENDING:
        rp_watch_change(loop, &line->watch, EPOLLOUT);
        break;
    case LINE_IDLE:
    case LINE_RECEIVING:
        rp_watch_change(loop, &line->watch, EPOLLIN);
        break;
    case LINE_CLOSED:
        rp_watch_remove(loop, &line->watch);
        close(line->watch.fd);
        for (struct http_line **link = &host->lines; *link; link = &(*link)->next)
            if (*link == line) {
                *link = line->next;
                break;
            }
        host->n_lines--;
        host->client->n_open--;
        rp_http_parser_free(&line->parser);
        outbuf_clear(&line->out);
        free(line);
        break;
    }
}

static void call_free(struct rp_http_call *call) {
    rp_timer_cancel(call->host->client->loop, &call->timer);
    free(call->text);
    free(call);
}

static void call_unqueue(struct rp_http_call *call) {
    struct rp_http_host *host = call->host;
    struct rp_http_call *prev = NULL;
    for (struct rp_http_call *c = host->first; c; prev = c, c = c->next) {
        if (c != call)
            continue;
        if (prev)
            prev->next = c->next;
        else
            host->first = c->next;
        if (host->last == c)
            host->last = prev;
        return;
    }
}

static void call_finish(struct rp_http_call *call, const struct rp_answer *answer) {
    rp_answer_fn fn = call->fn;
    void *arg = call->arg;
    if (call->line)
        call->line->call = NULL;
    call_free(call);
    fn(arg, answer);
}

/* A connection of the host has ended or fallen free. */
static void line_freed(struct rp_http_host *host) {
    struct rp_http_client *client = host->client;
    host->in_use = true;
    host_serve(host);
    host->in_use = false;
    host_release(host);
    client_serve_waiting(client);
}

static void line_fail(struct http_line *line) {
    const struct rp_answer none = {.unsent = line->state == LINE_CONNECTING, .body = ""};
    struct rp_http_host *host = line->host;
    struct rp_http_call *call = line->call;
    host->in_use = true;
    line_set_state(line, LINE_CLOSED);
    if (call) {
        call->line = NULL;
        call_finish(call, &none);
    }
    line_freed(host);
}

static void call_timeout(void *arg) {
    struct rp_http_call *call = arg;
    static const struct rp_answer none = {.unsent = true, .body = ""};
    if (call->line) {
        line_fail(call->line); /* an answer may still come on it: never used again */
        return;
    }
    struct rp_http_host *host = call->host;
    call_unqueue(call);
    call_finish(call, &none);
    host_release(host);
}

static void line_done(struct http_line *line) {
    struct rp_http_host *host = line->host;
    struct rp_http_call *call = line->call;
    struct rp_http_parser parser = line->parser;
    struct rp_answer answer = {.status = parser.status,
                               .body = parser.body ? parser.body : "",
                               .len = parser.body_len,
                               .retry_after = parser.retry_after};
    bool ends = parser.close || call->once;
    line->call = NULL;
    line->parser.body = NULL;
    line->parser.body_len = line->parser.body_cap = 0;
    rp_http_parser_reset(&line->parser);
    call->line = NULL;
    line_set_state(line, ends ? LINE_CLOSED : LINE_IDLE);
    host->in_use = true;
    call_finish(call, &answer);
    rp_http_parser_free(&parser);
    line_freed(host);
}

static void line_receive(struct http_line *line) {
    char data[READ_SIZE];
    ssize_t n = recv(line->watch.fd, data, sizeof data, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (line->state == LINE_IDLE || n < 0) {
        line_fail(line); /* end of an idle connection, or bytes nobody asked for */
        return;
    }
    if (n == 0)
        rp_http_parser_eof(&line->parser);
    else
        rp_http_parser_feed(&line->parser, data, (size_t)n);
    if (line->parser.state == RP_HTTP_DONE)
        line_done(line);
    else if (line->parser.state == RP_HTTP_FAILED)
        line_fail(line);
}

static void line_send(struct http_line *line) {
    int sent = outbuf_send(&line->out, line->watch.fd);
    if (sent < 0)
        line_fail(line);
    else
        line_set_state(line, sent ? LINE_RECEIVING : LINE_SENDING);
}

static void line_event(void *arg, uint32_t events) {
    struct http_line *line = arg;
    if (line->state == LINE_CONNECTING) {
        int err = 0;
        socklen_t len = sizeof err;
        if (getsockopt(line->watch.fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0 || err ||
            (events & (EPOLLERR | EPOLLHUP)))
            line_fail(line);
        else
            line_send(line);
        return;
    }
    if (line->state == LINE_SENDING && (events & EPOLLOUT))
        line_send(line);
    else
        line_receive(line);
}

static struct http_line *line_open(struct rp_http_host *host) {
    struct rp_http_client *client = host->client;
    struct http_line *line = calloc(1, sizeof *line);
    int one = 1;
    if (!line)
        return NULL;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        goto out;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, (struct sockaddr *)&host->sa, sizeof host->sa) < 0 && errno != EINPROGRESS)
        goto out;
    line->host = host;
    line->watch = (struct rp_watch){.fd = fd, .fn = line_event, .arg = line};
    rp_http_parser_init(&line->parser, RP_HTTP_RESPONSE, client->body_max);
    if (rp_watch_add(client->loop, &line->watch, EPOLLOUT) < 0)
        goto out;
    line->next = host->lines;
    host->lines = line;
    host->n_lines++;
    client->n_open++;
    line_set_state(line, LINE_CONNECTING);
    return line;
out:
    if (fd >= 0)
        close(fd);
    free(line);
    return NULL;
}

/* Closes the connection that has been idle for longest: machines come and go, and each leaves one.
 * (An idle connection given to a call is in another state before anything else happens.) */
static bool client_evict(struct rp_http_client *client) {
    struct http_line *line = client->idle_first;
    if (!line)
        return false;
    struct rp_http_host *host = line->host;
    line_set_state(line, LINE_CLOSED);
    host_release(host);
    return true;
}

static void host_wait(struct rp_http_host *host) {
    struct rp_http_client *client = host->client;
    if (host->waiting)
        return;
    host->waiting = true;
    host->waiting_next = NULL;
    if (client->waiting_last)
        client->waiting_last->waiting_next = host;
    else
        client->waiting_first = host;
    client->waiting_last = host;
}

/* Gives connections to the hosts that wait for one, as long as there are any to give. Ends, since a
 * host that finds none waits again only when there is none. */
static void client_serve_waiting(struct rp_http_client *client) {
    while (client->waiting_first && (client->n_open < client->max_total || client->idle_first)) {
        struct rp_http_host *host = client->waiting_first;
        client->waiting_first = host->waiting_next;
        if (!client->waiting_first)
            client->waiting_last = NULL;
        host->waiting = false;
        if (host->in_use)
            continue; /* whoever uses it serves it */
        host_serve(host);
        host_release(host);
    }
}

/* Gives waiting calls to free connections, opening new ones within the limits. */
static void host_serve(struct rp_http_host *host) {
    struct rp_http_client *client = host->client;
    while (host->first) {
        struct http_line *line = host->first->once ? NULL : host->lines;
        while (line && !(line->state == LINE_IDLE && !line->call))
            line = line->next;
        bool fresh = !line;
        if (fresh && host->n_lines >= client->max_per_host)
            return;
        if (fresh && client->n_open >= client->max_total && !client_evict(client)) {
            host_wait(host);
            return;
        }
        if (fresh)
            line = line_open(host);
        if (!line)
            return; /* the calls' own time-outs answer them */
        struct rp_http_call *call = host->first;
        call_unqueue(call);
        call->next = NULL;
        call->line = line;
        line->call = call;
        line->out = (struct outbuf){.data = call->text, .len = call->len};
        call->text = NULL;
        if (!fresh)
            line_set_state(line, LINE_SENDING); /* sent from the loop: no call-back before return */
    }
}

static struct rp_http_host *client_host(struct rp_http_client *client, const char *addr) {
    struct rp_http_host **bucket = bucket_of(client, addr), *host = *bucket;
    while (host && strcmp(host->addr, addr) != 0)
        host = host->next;
    if (host)
        return host;
    host = calloc(1, sizeof *host);
    if (!host)
        return NULL;
    if (strlen(addr) >= sizeof host->addr || parse_addr(addr, &host->sa) < 0) {
        free(host);
        return NULL;
    }
    rp_string_copy(host->addr, sizeof host->addr, addr);
    host->client = client;
    host->next = *bucket;
    *bucket = host;
    client->n_hosts++;
    return host;
}

/* A call that can't even be queued is answered from the loop, as the contract says. */
struct dead_call {
    struct rp_loop *loop;
    struct rp_timer timer;
    rp_answer_fn fn;
    void *arg;
};

static void dead_call_due(void *arg) {
    struct dead_call *dead = arg;
    static const struct rp_answer none = {.unsent = true, .body = ""};
    dead->fn(dead->arg, &none);
    free(dead);
}

static void call_start(struct rp_http_client *client, bool once, const char *addr,
                       const char *method, const char *target, const char *body, double timeout_s,
                       rp_answer_fn fn, void *arg) {
    struct rp_http_host *host = client_host(client, addr);
    struct rp_http_call *call = host ? calloc(1, sizeof *call) : NULL;
    int n = call ? asprintf(&call->text,
                            "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: "
                            "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                            method, target, addr, once ? "Connection: close\r\n" : "",
                            body ? strlen(body) : 0, body ? body : "")
                 : -1;
    if (n < 0) {
        struct dead_call *dead = rp_alloc(1, sizeof *dead);
        free(call);
        *dead = (struct dead_call){.loop = client->loop, .fn = fn, .arg = arg};
        dead->timer = (struct rp_timer){.fn = dead_call_due, .arg = dead};
        rp_timer_set(client->loop, &dead->timer, 0);
        return;
    }
    call->len = (size_t)n;
    call->once = once;
    call->host = host;
    call->fn = fn;
    call->arg = arg;
    call->timer = (struct rp_timer){.fn = call_timeout, .arg = call};
    rp_timer_set(client->loop, &call->timer, timeout_s);
    if (host->last)
        host->last->next = call;
    else
        host->first = call;
    host->last = call;
    host_serve(host);
}

static void client_call(void *ctx, const char *addr, const char *method, const char *target,
                        const char *body, double timeout_s, rp_answer_fn fn, void *arg) {
    call_start(ctx, false, addr, method, target, body, timeout_s, fn, arg);
}

static void client_call_once(void *ctx, const char *addr, const char *method, const char *target,
                             const char *body, double timeout_s, rp_answer_fn fn, void *arg) {
    call_start(ctx, true, addr, method, target, body, timeout_s, fn, arg);
}

/* The analyzer doesn't see that what is closed or unqueued leaves its list. */
// NOLINTBEGIN(clang-analyzer-unix.Malloc)
static void host_close(struct rp_http_host *host) {
    while (host->first) {
        struct rp_http_call *call = host->first;
        call_unqueue(call);
        call_free(call);
    }
    while (host->lines) {
        struct rp_http_call *call = host->lines->call;
        line_set_state(host->lines, LINE_CLOSED);
        if (call)
            call_free(call);
    }
    free(host);
}

void rp_http_client_close(struct rp_http_client *client) {
    for (size_t i = 0; i < RP_HTTP_HOST_BUCKETS; i++)
        while (client->buckets[i]) {
            struct rp_http_host *host = client->buckets[i];
            client->buckets[i] = host->next;
            host_close(host);
        }
    client->waiting_first = client->waiting_last = NULL;
    client->n_hosts = 0;
}
// NOLINTEND(clang-analyzer-unix.Malloc)

struct rp_net rp_http_client_net(struct rp_http_client *client) {
    return (struct rp_net){.ctx = client, .call = client_call, .call_once = client_call_once};
}
