/** @file
 * The program: reads options and settings, sets the process up and runs one node until it is asked
 * to end. */
#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include "base/log.h"
#include "base/memory.h"
#include "config/platform_file.h"
#include "controller/node.h"
#include "controller/node_requests.h"
#include "http/client.h"
#include "http/server.h"

#define OPERATOR_FILE "/etc/ridgepulley/operator.txtpb"

/* Bytes read of a settings file at a time, and about as many at most. */
#define READ_BYTES 65536
#define SETTINGS_MAX_BYTES (4U << 20)

/* Seconds from the request to end until the process does: for the last answers, and for giving the
 * leader's key up. */
#define LEAVE_S 0.5

/* Connections for calls of this node's own: as many as this, and with many allowed in all, */
#define OWN_CONNECTIONS_FEW 64
/* up to this. With thousands of machines a new leader asks them all at once, and those that don't
 * answer hold a connection each until their time is over. */
#define OWN_CONNECTIONS_MANY 512
/* Connections for calls of this node's own to one host. */
#define HOST_CONNECTIONS_MAX 24
/* Connections of other nodes, and those that stay free for anything else, at most. */
#define PEER_CONNECTIONS_MAX 64
#define SPARE_CONNECTIONS_MAX 32

/* Bytes of the body of a response to this node: the cloud's list of machines is the largest. */
#define RESPONSE_MAX_BYTES (16U << 20)
/* Bytes of the body of a request to this node. */
#define REQUEST_MAX_BYTES 65536
/* Seconds: a connection without a request, a request's first to last byte, taking a response. */
#define IDLE_TIMEOUT_S 120
#define RECEIVE_TIMEOUT_S 10
#define SEND_TIMEOUT_S 10

/* As --help tells them. */
enum exit_code { EXIT_CODE_OK = 0, EXIT_CODE_TROUBLE = 1, EXIT_CODE_USAGE = 2 };

/* ---- options ---- */

struct options {
    const char *config;
    const char *operator_file;
    bool operator_given, check;
};

enum option_outcome {
    OPTIONS_RUN,  /* all options are read */
    OPTIONS_DONE, /* the option's whole work was to print something */
    OPTIONS_WRONG /* wrong usage, which has been told */
};

static void print_usage(FILE *to) {
    fputs("Usage: ridgepulley --config FILE [--operator FILE] [--check]\n"
          "A controller node of the ridgepulley cluster scheduler.\n\n"
          "  -c, --config FILE    the platform's settings (JSON)\n"
          "  -o, --operator FILE  the operators' settings (protobuf text format);\n"
          "                       default " OPERATOR_FILE ", may be absent\n"
          "      --check          check both files, report every mistake, and exit\n"
          "  -h, --help           print this and exit\n"
          "  -V, --version        print the version and exit\n\n"
          "LOG_LEVEL in the environment: error, info (default) or debug.\n"
          "Exit codes: 0 well, 1 trouble while running, 2 wrong usage or settings.\n",
          to);
}

static enum option_outcome refuse_usage(const char *message) {
    if (message)
        fprintf(stderr, "ridgepulley: %s\n", message);
    print_usage(stderr);
    return OPTIONS_WRONG;
}

/* Takes the option in; `letter` '?': unknown, or without its argument, as getopt has told. */
static enum option_outcome take_option(int letter, struct options *options) {
    switch (letter) {
    case 'c':
        options->config = optarg;
        return OPTIONS_RUN;
    case 'o':
        options->operator_file = optarg;
        options->operator_given = true;
        return OPTIONS_RUN;
    case 'k':
        options->check = true;
        return OPTIONS_RUN;
    case 'h':
        print_usage(stdout);
        return OPTIONS_DONE;
    case 'V':
        puts("ridgepulley " RP_VERSION);
        return OPTIONS_DONE;
    default:
        return refuse_usage(NULL);
    }
}

static enum option_outcome parse_options(int argc, char **argv, struct options *options) {
    static const struct option long_options[] = {
        {"config", required_argument, NULL, 'c'}, {"operator", required_argument, NULL, 'o'},
        {"check", no_argument, NULL, 'k'},        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},      {NULL, 0, NULL, 0}};
    int letter;
    *options = (struct options){.operator_file = OPERATOR_FILE};
    while ((letter = getopt_long(argc, argv, "c:o:hV", long_options, NULL)) != -1) {
        enum option_outcome outcome = take_option(letter, options);
        if (outcome != OPTIONS_RUN)
            return outcome;
    }
    if (!options->config)
        return refuse_usage("--config FILE is needed");
    if (optind < argc)
        return refuse_usage("unexpected argument");
    return OPTIONS_RUN;
}

/* ---- settings ---- */

/* The file's text, which the caller frees; NULL, with errno set, when it can't be opened. */
static char *read_file(const char *path) {
    FILE *file = fopen(path, "rb");
    char *text = NULL;
    size_t len = 0;
    size_t n;
    if (!file)
        return NULL;
    do {
        text = rp_realloc(text, len + READ_BYTES + 1, 1);
        n = fread(text + len, 1, READ_BYTES, file);
        len += n;
        text[len] = '\0';
    } while (n > 0 && len < SETTINGS_MAX_BYTES);
    fclose(file);
    return text;
}

static void print_file_error(const char *path) {
    fprintf(stderr, "%s: %s\n", path, strerror(errno));
}

/* Reads the operators' settings, which may be absent unless they were asked for. Returns the number
 * of mistakes. */
static int load_tuning(const struct options *options, struct rp_settings *settings) {
    errno = 0;
    char *text = read_file(options->operator_file);
    if (text) {
        int n_mistakes = rp_tuning_parse(&settings->tuning, text, options->operator_file, stderr);
        free(text);
        return n_mistakes;
    }
    if (!options->operator_given && errno == ENOENT)
        return 0;
    print_file_error(options->operator_file);
    return 1;
}

/* Reads both files and tells every mistake. */
static enum exit_code load_settings(const struct options *options, struct rp_settings *settings) {
    char *text = read_file(options->config);
    if (!text) {
        print_file_error(options->config);
        return EXIT_CODE_USAGE;
    }
    int n_mistakes = rp_platform_file_parse(settings, text, options->config, stderr);
    free(text);
    n_mistakes += load_tuning(options, settings);
    rp_settings_complete(settings);
    if (n_mistakes == 0)
        n_mistakes = rp_settings_check(settings, stderr);
    return n_mistakes > 0 ? EXIT_CODE_USAGE : EXIT_CODE_OK;
}

/* ---- the process ---- */

/* All that the process runs on; the parts refer to each other. */
struct process {
    struct rp_loop loop;
    struct rp_http_client client;
    struct rp_http_server users, peers;
    struct rp_node *node;
    struct rp_watch signals;
    struct rp_timer leave_timer;
};

static void on_leave_due(void *arg) {
    struct process *process = arg;
    rp_loop_stop(&process->loop);
}

/* A process that is asked to end gives the leader's key up first, so that nobody waits for its
 * lease. */
static void on_signal(void *arg, uint32_t events) {
    struct process *process = arg;
    (void)events;
    rp_info("asked to end");
    rp_watch_remove(&process->loop, &process->signals);
    rp_node_begin_shutdown(process->node);
    rp_timer_set(&process->loop, &process->leave_timer, LEAVE_S);
}

static void watch_signals(struct process *process) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    process->signals = (struct rp_watch){.fd = -1, .fn = on_signal, .arg = process};
    process->leave_timer = (struct rp_timer){.fn = on_leave_due, .arg = process};
    if (sigprocmask(SIG_BLOCK, &set, NULL) == 0)
        process->signals.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    /* Where signals can't be watched they keep their old effect, which nodes survive as well. */
    bool is_open = process->signals.fd >= 0;
    if (!is_open || rp_watch_add(&process->loop, &process->signals, EPOLLIN) < 0)
        sigprocmask(SIG_UNBLOCK, &set, NULL);
}

/* How the allowed connections are divided: calls of this node's own and the other nodes get a part
 * each, a few stay free, and users and workers get the rest, since after a failover all workers may
 * come to one node. */
struct connection_budget {
    size_t own, peers, users;
};

static size_t smaller(size_t a, size_t b) {
    return a < b ? a : b;
}

static struct connection_budget divide_connections(size_t n_allowed) {
    size_t few = smaller(n_allowed / 8, OWN_CONNECTIONS_FEW);
    size_t many = smaller(n_allowed / 16, OWN_CONNECTIONS_MANY);
    size_t spare = smaller(n_allowed / 16, SPARE_CONNECTIONS_MAX);
    struct connection_budget budget = {.own = many > few ? many : few,
                                       .peers = smaller(n_allowed / 16, PEER_CONNECTIONS_MAX)};
    budget.users = n_allowed - budget.own - budget.peers - spare;
    return budget;
}

static struct rp_http_limits server_limits(size_t max_connections) {
    return (struct rp_http_limits){.max_connections = max_connections,
                                   .max_body_bytes = REQUEST_MAX_BYTES,
                                   .idle_timeout_s = IDLE_TIMEOUT_S,
                                   .receive_timeout_s = RECEIVE_TIMEOUT_S,
                                   .send_timeout_s = SEND_TIMEOUT_S};
}

/* Opens both ports, serves them until the process is asked to end, and closes them. Returns 0 or
 * -errno. */
static int serve_ports(struct process *process, const struct rp_settings *settings,
                       const struct connection_budget *budget) {
    struct rp_http_limits user_limits = server_limits(budget->users);
    struct rp_http_limits peer_limits = server_limits(budget->peers);
    int rc = rp_http_server_open(&process->users, &process->loop, settings->client_listen,
                                 &user_limits, rp_node_client_request, process->node);
    if (rc < 0)
        return rc;
    rc = rp_http_server_open(&process->peers, &process->loop, settings->peer_listen, &peer_limits,
                             rp_node_peer_request, process->node);
    if (rc < 0)
        goto out;
    rp_info("ridgepulley " RP_VERSION " serves users on %s, peers on %s", settings->client_listen,
            settings->peer_listen);
    watch_signals(process);
    rp_node_start(process->node);
    rc = rp_loop_run(&process->loop);
    rp_http_server_close(&process->peers);
out:
    rp_http_server_close(&process->users);
    return rc;
}

/* Runs a node, whose network is the HTTP client. Returns 0 or -errno. */
static int run_node(struct process *process, const struct rp_settings *settings) {
    struct connection_budget budget = divide_connections(settings->max_connections);
    rp_http_client_init(&process->client, &process->loop, HOST_CONNECTIONS_MAX, budget.own,
                        RESPONSE_MAX_BYTES);
    int rc =
        rp_node_init(process->node, &process->loop, rp_http_client_net(&process->client), settings);
    if (rc < 0)
        return rc;
    rc = serve_ports(process, settings, &budget);
    rp_node_close(process->node);
    rp_http_client_close(&process->client);
    return rc;
}

static enum exit_code run_process(const struct rp_settings *settings) {
    struct process process = {.node = rp_alloc(1, sizeof *process.node)};
    int rc = rp_loop_init(&process.loop, false);
    if (rc < 0)
        goto out;
    rc = run_node(&process, settings);
    rp_loop_close(&process.loop);
out:
    free(process.node);
    if (rc < 0)
        rp_error("ended: %s", strerror(-rc));
    return rc < 0 ? EXIT_CODE_TROUBLE : EXIT_CODE_OK;
}

int main(int argc, char **argv) {
    struct options options;
    struct rp_settings settings;
    enum option_outcome outcome = parse_options(argc, argv, &options);
    if (outcome != OPTIONS_RUN)
        return outcome == OPTIONS_DONE ? EXIT_CODE_OK : EXIT_CODE_USAGE;
    enum exit_code code = load_settings(&options, &settings);
    if (code == EXIT_CODE_OK && options.check) {
        puts("settings are good");
    } else if (code == EXIT_CODE_OK) {
        signal(SIGPIPE, SIG_IGN);
        rp_log_setup(settings.node, rp_log_level_named(getenv("LOG_LEVEL")));
        code = run_process(&settings);
    }
    rp_settings_free(&settings);
    return code;
}
