/* Tests of the HTTP parser with whole, split, malformed and random input, and of the HTTP server
 * and client over loopback sockets. */
#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gsl/gsl_rng.h>
#include "http/client.h"
#include "http/parser.h"
#include "http/server.h"

/* Parses a text fed in pieces of `step` bytes. Returns 0 if the message is complete, the error
 * status if it has failed, and -1 if it is incomplete. */
static int parse(const char *text, size_t step, enum rp_http_role role,
                 struct rp_http_parser *parser) {
    size_t len = strlen(text);
    size_t used = 0;
    rp_http_parser_init(parser, role, 1000);
    while (used < len && parser->state != RP_HTTP_DONE && parser->state != RP_HTTP_FAILED) {
        size_t n = len - used < step ? len - used : step;
        used += rp_http_parser_feed(parser, text + used, n);
    }
    return parser->state == RP_HTTP_FAILED ? parser->error : parser->state == RP_HTTP_DONE ? 0 : -1;
}

static void split_request_parses_like_whole_one(void **state) {
    static const char text[] =
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    (void)state;
    for (size_t step = 1; step <= sizeof text; step++) {
        struct rp_http_parser parser;
        assert_int_equal(parse(text, step, RP_HTTP_REQUEST, &parser), 0);
        assert_string_equal(parser.method, "POST");
        assert_string_equal(parser.target, "/v1/jobs");
        assert_string_equal(parser.body, "hello");
        assert_false(parser.should_close);
        rp_http_parser_free(&parser);
    }
}

static void chunked_body_is_joined(void **state) {
    static const char text[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "4\r\nwiki\r\nA;x=y\r\n0123456789\r\n0\r\nX: y\r\n\r\n";
    (void)state;
    for (size_t step = 1; step <= sizeof text; step++) {
        struct rp_http_parser parser;
        assert_int_equal(parse(text, step, RP_HTTP_RESPONSE, &parser), 0);
        assert_int_equal(parser.status, 200);
        assert_string_equal(parser.body, "wiki0123456789");
        rp_http_parser_free(&parser);
    }
}

static void body_without_length_ends_at_close(void **state) {
    struct rp_http_parser parser;
    (void)state;
    assert_int_equal(
        parse("HTTP/1.1 200 OK\r\nRetry-After: 7\r\n\r\nrest", 3, RP_HTTP_RESPONSE, &parser), -1);
    rp_http_parser_eof(&parser);
    assert_int_equal(parser.state, RP_HTTP_DONE);
    assert_string_equal(parser.body, "rest");
    assert_int_equal(parser.retry_after, 7);
    rp_http_parser_free(&parser);
}

static void malformed_request_is_refused(void **state) {
    static const struct {
        const char *text;
        int error;
    } cases[] = {
        {"GET\r\n\r\n", 400},
        {"GET / HTTP/2.0\r\n\r\n", 505},
        {"GET / HTTX/1.1\r\n\r\n", 400},
        {"GET x HTTP/1.1\r\n\r\n", 400},
        {"G@T / HTTP/1.1\r\n\r\n", 400},
        {"GET / HTTP/1.1 x\r\n\r\n", 400},
        {"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400},
        {"GET / HTTP/1.1\r\nA B: c\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413},
        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", 400},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n", 413},
    };
    (void)state;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
        for (size_t step = 1; step < 100; step += 13) {
            struct rp_http_parser parser;
            assert_int_equal(parse(cases[i].text, step, RP_HTTP_REQUEST, &parser), cases[i].error);
            rp_http_parser_free(&parser);
        }
}

static void oversized_request_line_or_headers_are_refused(void **state) {
    char *text = malloc(20000);
    struct rp_http_parser parser;
    (void)state;
    assert_non_null(text);
    memset(text, 'a', 19999);
    text[19999] = '\0';
    memcpy(text, "GET /", 5);
    assert_int_equal(parse(text, 512, RP_HTTP_REQUEST, &parser), 414);
    rp_http_parser_free(&parser);
    memcpy(text, "GET / HTTP/1.1\r\nX: ", 19);
    assert_int_equal(parse(text, 512, RP_HTTP_REQUEST, &parser), 431);
    rp_http_parser_free(&parser);
    /* Short header lines whose sum exceeds RP_HTTP_HEADERS_MAX are refused as well. */
    size_t n = (size_t)sprintf(text, "GET / HTTP/1.1\r\n");
    while (n < 9000)
        n += (size_t)sprintf(text + n, "X: y\r\n");
    assert_int_equal(parse(text, 512, RP_HTTP_REQUEST, &parser), 431);
    rp_http_parser_free(&parser);
    free(text);
}

/* Random sequences of valid and invalid pieces must not crash the parser, and the outcome must not
 * depend on how the input is split. */
static void random_input_parses_the_same_whole_and_split(void **state) {
    static const char pieces[][24] = {"GET / HTTP/1.1\r\n",
                                      "POST /x HTTP/1.0\r\n",
                                      "Content-Length: 4\r\n",
                                      "Transfer-Encoding: ",
                                      "chunked\r\n",
                                      "\r\n",
                                      "3\r\nabc\r\n",
                                      "0\r\n\r\n",
                                      "\n",
                                      " ",
                                      ":",
                                      "\x01",
                                      "Connection: close\r\n",
                                      "abcd"};
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 7);
    for (int trial = 0; trial < 3000; trial++) {
        char text[512] = "";
        struct rp_http_parser whole;
        struct rp_http_parser split;
        for (int k = 0; k < 12; k++)
            strcat(text, pieces[gsl_rng_uniform_int(rng, sizeof pieces / sizeof pieces[0])]);
        size_t step = 1 + gsl_rng_uniform_int(rng, 9);
        assert_int_equal(parse(text, sizeof text, RP_HTTP_REQUEST, &whole),
                         parse(text, step, RP_HTTP_REQUEST, &split));
        assert_int_equal(whole.body_len, split.body_len);
        rp_http_parser_free(&whole);
        rp_http_parser_free(&split);
    }
    gsl_rng_free(rng);
}

static void respond_and_stop(void *arg, struct rp_request *req) {
    req->respond(req, 200, "{}", 0);
    rp_loop_stop(arg);
}

static int connect_to(const char *addr) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    address.sin_port = htons((uint16_t)strtol(strchr(addr, ':') + 1, NULL, 10));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_at_least(fd, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof address), 0);
    return fd;
}

/* A node at its limit of connections closes the connection that has been idle for longest in favour
 * of a new one. Without this eviction, connections that workers and users leave open make the node
 * refuse all others, health checks included. */
static void longest_idle_connection_is_evicted_at_limit(void **state) {
    struct rp_loop loop;
    struct rp_http_server server;
    struct rp_http_limits limits = {3, 1000, 60, 60, 60};
    static const char request[] = "GET /healthz HTTP/1.1\r\n\r\n";
    char addr[32];
    char received[64] = "";
    int fds[4];
    int rc = -1;
    (void)state;
    assert_int_equal(rp_loop_init(&loop, false), 0);
    for (int port = 21000 + (int)getpid() % 20000, i = 0; rc < 0 && i < 100; i++) {
        snprintf(addr, sizeof addr, "127.0.0.1:%d", port + i);
        rc = rp_http_server_open(&server, &loop, addr, &limits, respond_and_stop, &loop);
    }
    assert_int_equal(rc, 0);
    for (int i = 0; i < 4; i++)
        fds[i] = connect_to(addr);
    assert_int_equal(send(fds[3], request, strlen(request), 0), (ssize_t)strlen(request));
    assert_int_equal(rp_loop_run(&loop), 0);
    assert_true(recv(fds[3], received, sizeof received - 1, 0) > 0);
    assert_true(strncmp(received, "HTTP/1.1 200", 12) == 0);
    assert_int_equal(recv(fds[0], received, sizeof received, 0), 0);
    assert_int_equal(recv(fds[1], received, sizeof received, MSG_DONTWAIT), -1);
    assert_int_equal(server.n_connections, 3);
    assert_int_equal(server.n_evicted, 1);
    rp_http_server_close(&server);
    rp_loop_close(&loop);
    for (int i = 0; i < 4; i++)
        close(fds[i]);
}

struct outcome {
    struct rp_loop *loop;
    int status;
    bool unsent;
};

static void record_outcome(void *arg, const struct rp_response *answer) {
    struct outcome *outcome = arg;
    outcome->status = answer->status;
    outcome->unsent = answer->unsent;
    rp_loop_stop(outcome->loop);
}

static void respond_ok(void *arg, struct rp_request *req) {
    (void)arg;
    req->respond(req, 200, "{}", 0);
}

/* Stores the request; the test responds to it after the client's time-out. */
static void defer_response(void *arg, struct rp_request *req) {
    *(struct rp_request **)arg = req;
}

static struct outcome call_on_own_connection(struct rp_loop *loop, struct rp_net net,
                                             const char *addr, double timeout_s) {
    struct outcome outcome = {.loop = loop};
    net.call_on_own_connection(net.ctx, addr, "POST", "/do", "{}", timeout_s, record_outcome,
                               &outcome);
    loop->is_stopping = false;
    assert_int_equal(rp_loop_run(loop), 0);
    return outcome;
}

/* A start command that was certainly not sent may be sent to another machine at once; one that may
 * have been received must not. A refused connection is reported as unsent, a time-out after the
 * request was sent is not. */
static void only_refused_connection_counts_as_unsent(void **state) {
    struct rp_loop loop;
    struct rp_http_server server;
    struct rp_http_client client;
    struct rp_http_limits limits = {8, 1000, 60, 60, 60};
    struct rp_request *deferred = NULL;
    char addr[32];
    int rc = -1;
    (void)state;
    assert_int_equal(rp_loop_init(&loop, false), 0);
    rp_http_client_init(&client, &loop, 2, 8, 1000);
    struct rp_net net = rp_http_client_net(&client);
    for (int port = 41000 + (int)getpid() % 20000, i = 0; rc < 0 && i < 100; i++) {
        snprintf(addr, sizeof addr, "127.0.0.1:%d", port + i);
        rc = rp_http_server_open(&server, &loop, addr, &limits, respond_ok, NULL);
    }
    assert_int_equal(rc, 0);
    struct outcome outcome = call_on_own_connection(&loop, net, addr, 30);
    assert_true(outcome.status == 200 && !outcome.unsent);
    assert_int_equal(client.n_connections, 0); /* the call's own connection was closed */
    server.on_request = defer_response;
    server.arg = &deferred;
    outcome = call_on_own_connection(&loop, net, addr, 2);
    assert_true(outcome.status == 0 && !outcome.unsent && deferred);
    // NOLINTNEXTLINE(clang-analyzer-core.NullDereference): the assertion ends the test
    deferred->respond(deferred, 200, "{}", 0);
    rp_http_server_close(&server);
    outcome = call_on_own_connection(&loop, net, addr, 30);
    assert_true(outcome.status == 0 && outcome.unsent);
    rp_http_client_close(&client);
    rp_loop_close(&loop);
}

#define N_HOSTS 600

struct response_counts {
    struct rp_loop *loop;
    int n_responses, n_ok;
};

static void count_response(void *arg, const struct rp_response *answer) {
    struct response_counts *counts = arg;
    counts->n_responses++;
    counts->n_ok += answer->status == 200;
    if (counts->n_responses == N_HOSTS)
        rp_loop_stop(counts->loop);
}

/* A new leader calls thousands of machines at once over a limited number of connections. All calls
 * must be made. If a connection that becomes available serves only queued calls to its own host,
 * calls to hosts without a connection never start. */
static void calls_to_many_hosts_share_few_connections(void **state) {
    struct rp_loop loop;
    struct rp_http_server server;
    struct rp_http_client client;
    struct rp_http_limits limits = {64, 1000, 60, 60, 60};
    struct response_counts counts = {.loop = &loop};
    char addr[32];
    int rc = -1;
    int port = 0;
    (void)state;
    assert_int_equal(rp_loop_init(&loop, false), 0);
    rp_http_client_init(&client, &loop, 2, 8, 1000);
    struct rp_net net = rp_http_client_net(&client);
    for (int i = 0; rc < 0 && i < 100; i++) {
        port = 41000 + (int)getpid() % 20000 + i;
        snprintf(addr, sizeof addr, "0.0.0.0:%d", port);
        rc = rp_http_server_open(&server, &loop, addr, &limits, respond_ok, NULL);
    }
    assert_int_equal(rc, 0);
    for (int i = 0; i < N_HOSTS; i++) {
        snprintf(addr, sizeof addr, "127.0.%d.%d:%d", 1 + i / 200, 1 + i % 200, port);
        if (i % 2)
            net.call(net.ctx, addr, "GET", "/show", NULL, 60, count_response, &counts);
        else
            net.call_on_own_connection(net.ctx, addr, "POST", "/do", "{}", 60, count_response,
                                       &counts);
        assert_at_most(client.n_connections, 8);
    }
    assert_int_equal(rp_loop_run(&loop), 0);
    assert_int_equal(counts.n_ok, N_HOSTS);
    assert_at_most(client.hosts.n_hosts, 8); /* only hosts with a connection are stored */
    rp_http_client_close(&client);
    rp_http_server_close(&server);
    rp_loop_close(&loop);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(split_request_parses_like_whole_one),
        cmocka_unit_test(chunked_body_is_joined),
        cmocka_unit_test(body_without_length_ends_at_close),
        cmocka_unit_test(malformed_request_is_refused),
        cmocka_unit_test(oversized_request_line_or_headers_are_refused),
        cmocka_unit_test(random_input_parses_the_same_whole_and_split),
        cmocka_unit_test(longest_idle_connection_is_evicted_at_limit),
        cmocka_unit_test(only_refused_connection_counts_as_unsent),
        cmocka_unit_test(calls_to_many_hosts_share_few_connections)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
