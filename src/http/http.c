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

static void conn_advance(struct rp_http_conn *c);

static void conn_unlink(struct rp_http_conn *c) {
    struct rp_http_server *s = c->server;
    if (!s)
        return;
    if (c->prev)
        c->prev->next = c->next;
    else
        s->conns = c->next;
    if (c->next)
        c->next->prev = c->prev;
    else
        s->last = c->prev;
    s->n_conns--;
}

static void conn_link(struct rp_http_conn *c) {
    struct rp_http_server *s = c->server;
    c->prev = NULL;
    c->next = s->conns;
    if (s->conns)
        s->conns->prev = c;
    else
        s->last = c;
    s->conns = c;
    s->n_conns++;
}

/* The one place where a server connection changes its state. */
static void conn_set_state(struct rp_http_conn *c, enum conn_state state) {
    struct rp_loop *loop = c->server->loop;
    c->state = state;
    switch (state) {
    case CONN_RECEIVING:
        conn_unlink(c);
        conn_link(c);
        rp_timer_set(loop, &c->timer, c->server->limits.idle_s);
        rp_watch_change(loop, &c->watch, EPOLLIN);
        break;
    case CONN_HANDLING:
        rp_timer_cancel(loop, &c->timer);
        break;
    case CONN_SENDING:
        rp_timer_set(loop, &c->timer, c->server->limits.send_s);
        break;
    case CONN_CLOSED:
        rp_timer_cancel(loop, &c->timer);
        rp_watch_remove(loop, &c->watch);
        close(c->watch.fd);
        conn_unlink(c);
        c->server = NULL;
        rp_http_parser_free(&c->parser);
        outbuf_clear(&c->out);
        free(c->ahead);
        c->ahead = NULL;
        break;
    }
}

static void conn_drop(struct rp_http_conn *c) {
    /* A request still being handled keeps the struct until it is responded to. */
    bool handling = c->state == CONN_HANDLING;
    if (c->state != CONN_CLOSED)
        conn_set_state(c, CONN_CLOSED);
    if (!handling && !c->in_handler)
        free(c);
}

static int conn_queue(struct rp_http_conn *c, int status, const char *body, int retry_after) {
    char retry[48] = "";
    size_t len = body ? strlen(body) : 0;
    /* Who is told to come back is to come by the load balancer, which may know a better node. */
    if (retry_after > 0)
        c->parser.close = true;
    if (retry_after > 0)
        snprintf(retry, sizeof retry, "Retry-After: %d\r\n", retry_after);
    char *text;
    int n = asprintf(&text,
                     "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: "
                     "%zu\r\n%s%s\r\n%s",
                     status, rp_http_reason(status), len, retry,
                     c->parser.close ? "Connection: close\r\n" : "", body ? body : "");
    if (n < 0)
        return -ENOMEM;
    c->out = (struct outbuf){.data = text, .len = (size_t)n};
    return 0;
}

/* Returns false when the connection is gone. */
static bool conn_flush(struct rp_http_conn *c) {
    int sent = outbuf_send(&c->out, c->watch.fd);
    if (sent == 0) {
        rp_watch_change(c->server->loop, &c->watch, EPOLLOUT);
        return true;
    }
    if (sent < 0 || c->parser.close) {
        conn_drop(c);
        return false;
    }
    rp_http_parser_reset(&c->parser);
    conn_set_state(c, CONN_RECEIVING);
    return true;
}

static void conn_respond(struct rp_request *req, int status, const char *body, int retry_after) {
    struct rp_http_conn *c =
        (struct rp_http_conn *)(void *)((char *)req - offsetof(struct rp_http_conn, req));
    if (c->state == CONN_CLOSED) {
        if (!c->in_handler)
            free(c);
        else
            c->in_handler = false; /* the caller of the handler frees it */
        return;
    }
    conn_set_state(c, CONN_SENDING);
    if (conn_queue(c, status, body, retry_after) < 0) {
        conn_drop(c);
        return;
    }
    if (c->in_handler)
        return; /* conn_advance goes on */
    if (conn_flush(c) && c->state == CONN_RECEIVING)
        conn_advance(c);
}

static void conn_refuse(struct rp_http_conn *c, int status) {
    c->parser.close = true;
    conn_set_state(c, CONN_SENDING);
    if (conn_queue(c, status, "{\"error\":\"bad message\"}\n", 0) < 0)
        conn_drop(c);
    else
        conn_flush(c);
}

static bool conn_handle(struct rp_http_conn *c) {
    struct rp_http_server *s = c->server;
    conn_set_state(c, CONN_HANDLING);
    c->req = (struct rp_request){.method = c->parser.method,
                                 .target = c->parser.target,
                                 .body = c->parser.body ? c->parser.body : "",
                                 .len = c->parser.body_len,
                                 .respond = conn_respond};
    c->in_handler = true;
    s->fn(s->arg, &c->req);
    c->in_handler = false;
    if (c->state == CONN_CLOSED) {
        free(c);
        return false;
    }
    if (c->state == CONN_SENDING)
        return conn_flush(c) && c->state == CONN_RECEIVING;
    /* Answered later: until then only the peer's going away is of interest. Changed here and not
     * on entering the state, since most requests are answered at once and a call costs time. */
    rp_watch_change(s->loop, &c->watch, EPOLLRDHUP);
    return false;
}

/* Works through bytes that are at hand already. */
static void conn_advance(struct rp_http_conn *c) {
    for (;;) {
        if (c->ahead_len) {
            char *data = c->ahead;
            size_t len = c->ahead_len;
            c->ahead = NULL;
            c->ahead_len = 0;
            size_t used = rp_http_parser_feed(&c->parser, data, len);
            if (used < len) {
                memmove(data, data + used, len - used);
                c->ahead = data;
                c->ahead_len = len - used;
            } else {
                free(data);
            }
        }
        if (c->parser.state == RP_HTTP_FAILED) {
            conn_refuse(c, c->parser.error);
            return;
        }
        if (c->parser.state != RP_HTTP_DONE)
            return;
        if (!conn_handle(c) || !c->ahead_len)
            return;
    }
}

static void conn_receive(struct rp_http_conn *c) {
    char data[READ_SIZE];
    bool was_idle = rp_http_parser_idle(&c->parser);
    ssize_t n = recv(c->watch.fd, data, sizeof data, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        conn_drop(c);
        return;
    }
    size_t used = rp_http_parser_feed(&c->parser, data, (size_t)n);
    if (used < (size_t)n) {
        c->ahead = malloc((size_t)n - used);
        if (!c->ahead) {
            conn_drop(c);
            return;
        }
        c->ahead_len = (size_t)n - used;
        memcpy(c->ahead, data + used, c->ahead_len);
    }
    /* The whole request must arrive within a bound, however slowly it drips. */
    if (was_idle)
        rp_timer_set(c->server->loop, &c->timer, c->server->limits.receive_s);
    if (c->parser.expect_continue && c->parser.state == RP_HTTP_BODY_SIZED &&
        c->parser.body_len == 0) {
        static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
        c->parser.expect_continue = false;
        if (send(c->watch.fd, go_on, sizeof go_on - 1, MSG_NOSIGNAL) < 0) {
            conn_drop(c);
            return;
        }
    }
    conn_advance(c);
}

static void conn_event(void *arg, uint32_t events) {
    struct rp_http_conn *c = arg;
    switch (c->state) {
    case CONN_RECEIVING:
        conn_receive(c);
        break;
    case CONN_HANDLING:
        if (events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP))
            conn_drop(c);
        break;
    case CONN_SENDING:
        if (conn_flush(c) && c->state == CONN_RECEIVING)
            conn_advance(c);
        break;
    case CONN_CLOSED:
        break;
    }
}

static void conn_timeout(void *arg) {
    struct rp_http_conn *c = arg;
    if (c->state == CONN_RECEIVING && !rp_http_parser_idle(&c->parser))
        conn_refuse(c, 408);
    else
        conn_drop(c);
}

static void server_turn_away(struct rp_http_server *s, int fd) {
    static const char busy[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\n"
                               "Content-Length: 0\r\nConnection: close\r\n\r\n";
    s->refused++;
    if (send(fd, busy, sizeof busy - 1, MSG_NOSIGNAL) < 0)
        rp_debug("refusing a connection failed: %s", strerror(errno));
    close(fd);
}

/* Workers and users that have gone to another node leave their connections open: a node that a
 * thousand workers come to must not refuse them, or a health check, for the sake of those. */
static bool server_evict(struct rp_http_server *s) {
    struct rp_http_conn *c = s->last;
    while (c && !(c->state == CONN_RECEIVING && rp_http_parser_idle(&c->parser)))
        c = c->prev;
    if (!c)
        return false;
    s->evicted++;
    conn_drop(c);
    return true;
}

static void server_accept(void *arg, uint32_t events) {
    struct rp_http_server *s = arg;
    (void)events;
    for (int i = 0; i < ACCEPTS; i++) {
        int fd = accept4(s->watch.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        bool room = s->n_conns < s->limits.max_conns || server_evict(s);
        struct rp_http_conn *c = room ? calloc(1, sizeof *c) : NULL;
        if (!c) {
            server_turn_away(s, fd);
            continue;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        c->server = s;
        c->watch = (struct rp_watch){.fd = fd, .fn = conn_event, .arg = c};
        c->timer = (struct rp_timer){.fn = conn_timeout, .arg = c};
        rp_http_parser_init(&c->parser, RP_HTTP_REQUEST, s->limits.body_max);
        conn_link(c);
        if (rp_watch_add(s->loop, &c->watch, EPOLLIN) < 0)
            conn_drop(c);
        else
            conn_set_state(c, CONN_RECEIVING);
    }
}

int rp_http_server_open(struct rp_http_server *s, struct rp_loop *loop, const char *addr,
                        const struct rp_http_limits *limits, rp_request_fn fn, void *arg) {
    struct sockaddr_in sa;
    int rc = parse_addr(addr, &sa);
    int fd = -1, one = 1;
    memset(s, 0, sizeof *s);
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
    s->loop = loop;
    s->limits = *limits;
    s->fn = fn;
    s->arg = arg;
    s->watch = (struct rp_watch){.fd = fd, .fn = server_accept, .arg = s};
    rc = rp_watch_add(loop, &s->watch, EPOLLIN);
    if (rc < 0)
        close(fd);
    return rc;
}

void rp_http_server_close(struct rp_http_server *s) {
    while (s->conns)
        conn_drop(s->conns); /* takes it off the list */ // NOLINT(clang-analyzer-unix.Malloc)
    rp_watch_remove(s->loop, &s->watch);
    close(s->watch.fd);
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

void rp_http_client_init(struct rp_http_client *c, struct rp_loop *loop, size_t max_per_host,
                         size_t max_total, size_t body_max) {
    *c = (struct rp_http_client){
        .loop = loop, .max_per_host = max_per_host, .max_total = max_total, .body_max = body_max};
}

static void host_serve(struct rp_http_host *h);
static void client_serve_waiting(struct rp_http_client *c);

static struct rp_http_host **bucket_of(struct rp_http_client *c, const char *addr) {
    size_t hash = 5381;
    for (const char *at = addr; *at; at++)
        hash = hash * 33 + (unsigned char)*at;
    return &c->buckets[hash % RP_HTTP_HOST_BUCKETS];
}

/* Forgets a host that nothing refers to any more: machines come and go by the thousand. */
static void host_release(struct rp_http_host *h) {
    if (h->in_use || h->waiting || h->lines || h->first)
        return;
    struct rp_http_host **at = bucket_of(h->client, h->addr);
    while (*at != h)
        at = &(*at)->next;
    *at = h->next;
    h->client->n_hosts--;
    free(h);
}

static void idle_link(struct http_line *l) {
    struct rp_http_client *c = l->host->client;
    l->idle_prev = c->idle_last;
    l->idle_next = NULL;
    if (c->idle_last)
        c->idle_last->idle_next = l;
    else
        c->idle_first = l;
    c->idle_last = l;
}

static void idle_unlink(struct http_line *l) {
    struct rp_http_client *c = l->host->client;
    if (l->idle_prev)
        l->idle_prev->idle_next = l->idle_next;
    else
        c->idle_first = l->idle_next;
    if (l->idle_next)
        l->idle_next->idle_prev = l->idle_prev;
    else
        c->idle_last = l->idle_prev;
    l->idle_prev = l->idle_next = NULL;
}

/* The one place where a client connection changes its state. */
static void line_set_state(struct http_line *l, enum line_state state) {
    struct rp_http_host *h = l->host;
    struct rp_loop *loop = h->client->loop;
    if (l->state == LINE_IDLE)
        idle_unlink(l);
    if (state == LINE_IDLE)
        idle_link(l);
    l->state = state;
    switch (state) {
    case LINE_CONNECTING:
    case LINE_SENDING:
        rp_watch_change(loop, &l->watch, EPOLLOUT);
        break;
    case LINE_IDLE:
    case LINE_RECEIVING:
        rp_watch_change(loop, &l->watch, EPOLLIN);
        break;
    case LINE_CLOSED:
        rp_watch_remove(loop, &l->watch);
        close(l->watch.fd);
        for (struct http_line **at = &h->lines; *at; at = &(*at)->next)
            if (*at == l) {
                *at = l->next;
                break;
            }
        h->n_lines--;
        h->client->n_open--;
        rp_http_parser_free(&l->parser);
        outbuf_clear(&l->out);
        free(l);
        break;
    }
}

static void call_free(struct rp_http_call *call) {
    rp_timer_cancel(call->host->client->loop, &call->timer);
    free(call->text);
    free(call);
}

static void call_unqueue(struct rp_http_call *call) {
    struct rp_http_host *h = call->host;
    struct rp_http_call *prev = NULL;
    for (struct rp_http_call *c = h->first; c; prev = c, c = c->next) {
        if (c != call)
            continue;
        if (prev)
            prev->next = c->next;
        else
            h->first = c->next;
        if (h->last == c)
            h->last = prev;
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
static void line_freed(struct rp_http_host *h) {
    struct rp_http_client *c = h->client;
    h->in_use = true;
    host_serve(h);
    h->in_use = false;
    host_release(h);
    client_serve_waiting(c);
}

static void line_fail(struct http_line *l) {
    const struct rp_answer none = {.unsent = l->state == LINE_CONNECTING, .body = ""};
    struct rp_http_host *h = l->host;
    struct rp_http_call *call = l->call;
    h->in_use = true;
    line_set_state(l, LINE_CLOSED);
    if (call) {
        call->line = NULL;
        call_finish(call, &none);
    }
    line_freed(h);
}

static void call_timeout(void *arg) {
    struct rp_http_call *call = arg;
    static const struct rp_answer none = {.unsent = true, .body = ""};
    if (call->line) {
        line_fail(call->line); /* an answer may still come on it: never used again */
        return;
    }
    struct rp_http_host *h = call->host;
    call_unqueue(call);
    call_finish(call, &none);
    host_release(h);
}

static void line_done(struct http_line *l) {
    struct rp_http_host *h = l->host;
    struct rp_http_call *call = l->call;
    struct rp_http_parser parser = l->parser;
    struct rp_answer answer = {.status = parser.status,
                               .body = parser.body ? parser.body : "",
                               .len = parser.body_len,
                               .retry_after = parser.retry_after};
    bool ends = parser.close || call->once;
    l->call = NULL;
    l->parser.body = NULL;
    l->parser.body_len = l->parser.body_cap = 0;
    rp_http_parser_reset(&l->parser);
    call->line = NULL;
    line_set_state(l, ends ? LINE_CLOSED : LINE_IDLE);
    h->in_use = true;
    call_finish(call, &answer);
    rp_http_parser_free(&parser);
    line_freed(h);
}

static void line_receive(struct http_line *l) {
    char data[READ_SIZE];
    ssize_t n = recv(l->watch.fd, data, sizeof data, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (l->state == LINE_IDLE || n < 0) {
        line_fail(l); /* end of an idle connection, or bytes nobody asked for */
        return;
    }
    if (n == 0)
        rp_http_parser_eof(&l->parser);
    else
        rp_http_parser_feed(&l->parser, data, (size_t)n);
    if (l->parser.state == RP_HTTP_DONE)
        line_done(l);
    else if (l->parser.state == RP_HTTP_FAILED)
        line_fail(l);
}

static void line_send(struct http_line *l) {
    int sent = outbuf_send(&l->out, l->watch.fd);
    if (sent < 0)
        line_fail(l);
    else
        line_set_state(l, sent ? LINE_RECEIVING : LINE_SENDING);
}

static void line_event(void *arg, uint32_t events) {
    struct http_line *l = arg;
    if (l->state == LINE_CONNECTING) {
        int err = 0;
        socklen_t len = sizeof err;
        if (getsockopt(l->watch.fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0 || err ||
            (events & (EPOLLERR | EPOLLHUP)))
            line_fail(l);
        else
            line_send(l);
        return;
    }
    if (l->state == LINE_SENDING && (events & EPOLLOUT))
        line_send(l);
    else
        line_receive(l);
}

static struct http_line *line_open(struct rp_http_host *h) {
    struct rp_http_client *c = h->client;
    struct http_line *l = calloc(1, sizeof *l);
    int one = 1;
    if (!l)
        return NULL;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        goto out;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, (struct sockaddr *)&h->sa, sizeof h->sa) < 0 && errno != EINPROGRESS)
        goto out;
    l->host = h;
    l->watch = (struct rp_watch){.fd = fd, .fn = line_event, .arg = l};
    rp_http_parser_init(&l->parser, RP_HTTP_RESPONSE, c->body_max);
    if (rp_watch_add(c->loop, &l->watch, EPOLLOUT) < 0)
        goto out;
    l->next = h->lines;
    h->lines = l;
    h->n_lines++;
    c->n_open++;
    line_set_state(l, LINE_CONNECTING);
    return l;
out:
    if (fd >= 0)
        close(fd);
    free(l);
    return NULL;
}

/* Closes the connection that has been idle for longest: machines come and go, and each leaves one.
 * (An idle connection given to a call is in another state before anything else happens.) */
static bool client_evict(struct rp_http_client *c) {
    struct http_line *l = c->idle_first;
    if (!l)
        return false;
    struct rp_http_host *h = l->host;
    line_set_state(l, LINE_CLOSED);
    host_release(h);
    return true;
}

static void host_wait(struct rp_http_host *h) {
    struct rp_http_client *c = h->client;
    if (h->waiting)
        return;
    h->waiting = true;
    h->waiting_next = NULL;
    if (c->waiting_last)
        c->waiting_last->waiting_next = h;
    else
        c->waiting_first = h;
    c->waiting_last = h;
}

/* Gives connections to the hosts that wait for one, as long as there are any to give. Ends, since a
 * host that finds none waits again only when there is none. */
static void client_serve_waiting(struct rp_http_client *c) {
    while (c->waiting_first && (c->n_open < c->max_total || c->idle_first)) {
        struct rp_http_host *h = c->waiting_first;
        c->waiting_first = h->waiting_next;
        if (!c->waiting_first)
            c->waiting_last = NULL;
        h->waiting = false;
        if (h->in_use)
            continue; /* whoever uses it serves it */
        host_serve(h);
        host_release(h);
    }
}

/* Gives waiting calls to free connections, opening new ones within the limits. */
static void host_serve(struct rp_http_host *h) {
    struct rp_http_client *c = h->client;
    while (h->first) {
        struct http_line *l = h->first->once ? NULL : h->lines;
        while (l && !(l->state == LINE_IDLE && !l->call))
            l = l->next;
        bool fresh = !l;
        if (fresh && h->n_lines >= c->max_per_host)
            return;
        if (fresh && c->n_open >= c->max_total && !client_evict(c)) {
            host_wait(h);
            return;
        }
        if (fresh)
            l = line_open(h);
        if (!l)
            return; /* the calls' own time-outs answer them */
        struct rp_http_call *call = h->first;
        call_unqueue(call);
        call->next = NULL;
        call->line = l;
        l->call = call;
        l->out = (struct outbuf){.data = call->text, .len = call->len};
        call->text = NULL;
        if (!fresh)
            line_set_state(l, LINE_SENDING); /* sent from the loop: no call-back before return */
    }
}

static struct rp_http_host *client_host(struct rp_http_client *c, const char *addr) {
    struct rp_http_host **bucket = bucket_of(c, addr), *h = *bucket;
    while (h && strcmp(h->addr, addr) != 0)
        h = h->next;
    if (h)
        return h;
    h = calloc(1, sizeof *h);
    if (!h)
        return NULL;
    if (strlen(addr) >= sizeof h->addr || parse_addr(addr, &h->sa) < 0) {
        free(h);
        return NULL;
    }
    strcpy(h->addr, addr);
    h->client = c;
    h->next = *bucket;
    *bucket = h;
    c->n_hosts++;
    return h;
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

static void call_start(struct rp_http_client *c, bool once, const char *addr, const char *method,
                       const char *target, const char *body, double timeout_s, rp_answer_fn fn,
                       void *arg) {
    struct rp_http_host *h = client_host(c, addr);
    struct rp_http_call *call = h ? calloc(1, sizeof *call) : NULL;
    int n = call ? asprintf(&call->text,
                            "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: "
                            "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                            method, target, addr, once ? "Connection: close\r\n" : "",
                            body ? strlen(body) : 0, body ? body : "")
                 : -1;
    if (n < 0) {
        struct dead_call *dead = calloc(1, sizeof *dead);
        free(call);
        if (!dead)
            abort(); /* no memory for even this: a restart is the honest answer */
        *dead = (struct dead_call){.loop = c->loop, .fn = fn, .arg = arg};
        dead->timer = (struct rp_timer){.fn = dead_call_due, .arg = dead};
        rp_timer_set(c->loop, &dead->timer, 0);
        return;
    }
    call->len = (size_t)n;
    call->once = once;
    call->host = h;
    call->fn = fn;
    call->arg = arg;
    call->timer = (struct rp_timer){.fn = call_timeout, .arg = call};
    rp_timer_set(c->loop, &call->timer, timeout_s);
    if (h->last)
        h->last->next = call;
    else
        h->first = call;
    h->last = call;
    host_serve(h);
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
static void host_close(struct rp_http_host *h) {
    while (h->first) {
        struct rp_http_call *call = h->first;
        call_unqueue(call);
        call_free(call);
    }
    while (h->lines) {
        struct rp_http_call *call = h->lines->call;
        line_set_state(h->lines, LINE_CLOSED);
        if (call)
            call_free(call);
    }
    free(h);
}

void rp_http_client_close(struct rp_http_client *c) {
    for (size_t i = 0; i < RP_HTTP_HOST_BUCKETS; i++)
        while (c->buckets[i]) {
            struct rp_http_host *h = c->buckets[i];
            c->buckets[i] = h->next;
            host_close(h);
        }
    c->waiting_first = c->waiting_last = NULL;
    c->n_hosts = 0;
}
// NOLINTEND(clang-analyzer-unix.Malloc)

struct rp_net rp_http_client_net(struct rp_http_client *c) {
    return (struct rp_net){.ctx = c, .call = client_call, .call_once = client_call_once};
}
