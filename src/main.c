/** @file
 * The program's entry point: parses the options, loads the settings, sets up the process and runs
 * one node until the process receives SIGTERM or SIGINT. */
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

/* Path of the operators' settings when --operator is not given. */
#define DEFAULT_OPERATOR_FILE "/etc/ridgepulley/operator.txtpb"

/* Bytes that one read of a settings file requests. */
#define READ_CHUNK_BYTES 65536
/* Size in bytes at which reading a settings file stops. The text may be up to one chunk longer. */
#define SETTINGS_MAX_BYTES (4U << 20)

/* Seconds from the termination signal until the event loop stops. In this time the last responses
 * are sent and the leader's key is deleted. */
#define SHUTDOWN_GRACE_S 0.5

/* Upper bound of the eighth of the allowed connections that is reserved for outbound calls. If the
 * sixteenth bounded by OUTBOUND_CONNECTIONS_MAX is larger, that is reserved instead. */
#define OUTBOUND_CONNECTIONS_BASE_MAX 64
/* Upper bound of the sixteenth of the allowed connections that is reserved for outbound calls if it
 * is larger than the eighth bounded by OUTBOUND_CONNECTIONS_BASE_MAX. With thousands of machines a
 * new leader sends requests to all of them at once, and each machine that does not respond occupies
 * a connection until its request times out. */
#define OUTBOUND_CONNECTIONS_MAX 512
/* Maximum number of outbound connections to one host. */
#define CONNECTIONS_PER_HOST_MAX 24
/* Maximum number of inbound connections from other nodes. */
#define PEER_CONNECTIONS_MAX 64
/* Maximum number of connections that are left unassigned, for any other use. */
#define SPARE_CONNECTIONS_MAX 32

/* Maximum size in bytes of the body of a response to this node. The cloud's list of machines is the
 * largest. */
#define RESPONSE_MAX_BYTES (16U << 20)
/* Maximum size in bytes of the body of a request to this node. */
#define REQUEST_MAX_BYTES 65536
/* Seconds after which a server closes a connection without a request. */
#define IDLE_TIMEOUT_S 120
/* Seconds that a request may take from its first to its last byte. */
#define RECEIVE_TIMEOUT_S 10
/* Seconds that the peer may take to receive a response. */
#define SEND_TIMEOUT_S 10

/* Exit codes of the process, as documented by --help. */
enum exit_code { EXIT_CODE_OK = 0, EXIT_CODE_FAILURE = 1, EXIT_CODE_USAGE = 2 };

/* ---- options ---- */

struct options {
    const char *platform_file;
    const char *operator_file;
    bool is_operator_file_given; /* --operator is given; if not, the default file may be absent */
    bool is_check_only;          /* --check is given */
};

enum option_outcome {
    OPTIONS_VALID,  /* the program continues with the parsed options */
    OPTIONS_DONE,   /* --help or --version has printed its text, and the program exits */
    OPTIONS_INVALID /* wrong usage, which has been reported on standard error */
};

static void print_usage(FILE *to) {
    fputs("Usage: ridgepulley --config FILE [--operator FILE] [--check]\n"
          "A controller node of the ridgepulley cluster scheduler.\n\n"
          "  -c, --config FILE    the platform's settings (JSON)\n"
          "  -o, --operator FILE  the operators' settings (protobuf text format);\n"
          "                       default " DEFAULT_OPERATOR_FILE ", may be absent\n"
          "      --check          check both files, report all errors, and exit\n"
          "  -h, --help           print this and exit\n"
          "  -V, --version        print the version and exit\n\n"
          "LOG_LEVEL in the environment: error, info (default) or debug.\n"
          "Exit codes: 0 success, 1 failure at run time, 2 invalid usage or settings.\n",
          to);
}

/* Prints the message, if there is one, and the usage. */
static enum option_outcome report_usage_error(const char *message) {
    if (message)
        fprintf(stderr, "ridgepulley: %s\n", message);
    print_usage(stderr);
    return OPTIONS_INVALID;
}

/* Applies one option. `letter` is '?' for an unknown option or one without its argument, which
 * getopt_long has reported on standard error. */
static enum option_outcome apply_option(int letter, struct options *options) {
    switch (letter) {
    case 'c':
        options->platform_file = optarg;
        return OPTIONS_VALID;
    case 'o':
        options->operator_file = optarg;
        options->is_operator_file_given = true;
        return OPTIONS_VALID;
    case 'k':
        options->is_check_only = true;
        return OPTIONS_VALID;
    case 'h':
        print_usage(stdout);
        return OPTIONS_DONE;
    case 'V':
        puts("ridgepulley " RP_VERSION);
        return OPTIONS_DONE;
    default:
        return report_usage_error(NULL);
    }
}

static enum option_outcome parse_options(int argc, char **argv, struct options *options) {
    static const struct option long_options[] = {
        {"config", required_argument, NULL, 'c'}, {"operator", required_argument, NULL, 'o'},
        {"check", no_argument, NULL, 'k'},        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},      {NULL, 0, NULL, 0}};
    int letter;
    *options = (struct options){.operator_file = DEFAULT_OPERATOR_FILE};
    while ((letter = getopt_long(argc, argv, "c:o:hV", long_options, NULL)) != -1) {
        enum option_outcome outcome = apply_option(letter, options);
        if (outcome != OPTIONS_VALID)
            return outcome;
    }
    if (!options->platform_file)
        return report_usage_error("--config FILE is required");
    if (optind < argc)
        return report_usage_error("unexpected argument after the options");
    return OPTIONS_VALID;
}

/* ---- settings ---- */

/* Returns the file's text, which the caller frees, or NULL with errno set when the file cannot be
 * opened. */
static char *read_file(const char *path) {
    FILE *file = fopen(path, "rb");
    char *text = NULL;
    size_t len = 0;
    size_t n;
    if (!file)
        return NULL;
    do {
        text = rp_realloc(text, len + READ_CHUNK_BYTES + 1, 1);
        n = fread(text + len, 1, READ_CHUNK_BYTES, file);
        len += n;
        text[len] = '\0';
    } while (n > 0 && len < SETTINGS_MAX_BYTES);
    fclose(file);
    return text;
}

static void print_file_error(const char *path) {
    fprintf(stderr, "%s: %s\n", path, strerror(errno));
}

/* Reads the operators' settings. The file may be absent unless --operator names it. Returns the
 * number of errors found. */
static int load_tuning(const struct options *options, struct rp_settings *settings) {
    errno = 0;
    char *text = read_file(options->operator_file);
    if (text) {
        int n_errors = rp_tuning_parse(&settings->tuning, text, options->operator_file, stderr);
        free(text);
        return n_errors;
    }
    if (!options->is_operator_file_given && errno == ENOENT)
        return 0;
    print_file_error(options->operator_file);
    return 1;
}

/* Reads both files and reports every error on standard error. */
static enum exit_code load_settings(const struct options *options, struct rp_settings *settings) {
    char *text = read_file(options->platform_file);
    if (!text) {
        print_file_error(options->platform_file);
        return EXIT_CODE_USAGE;
    }
    int n_errors = rp_platform_file_parse(settings, text, options->platform_file, stderr);
    free(text);
    n_errors += load_tuning(options, settings);
    rp_settings_complete(settings);
    if (n_errors == 0)
        n_errors = rp_settings_check(settings, stderr);
    return n_errors > 0 ? EXIT_CODE_USAGE : EXIT_CODE_OK;
}

/* ---- the process ---- */

/* The event loop, the network and the node. They refer to each other by address. */
struct process {
    struct rp_loop loop;
    struct rp_http_client client;
    struct rp_http_server user_server; /* for users and workers */
    struct rp_http_server peer_server; /* for the other nodes */
    struct rp_node *node;
    struct rp_watch signal_watch; /* watch of the descriptor that reports SIGTERM and SIGINT */
    struct rp_timer shutdown_timer;
};

static void on_shutdown_timer(void *arg) {
    struct process *process = arg;
    rp_loop_stop(&process->loop);
}

/* Begins the shutdown. The node first deletes its leader key, if it leads, so that the other nodes
 * need not wait for its lease to expire. */
static void on_signal(void *arg, uint32_t events) {
    struct process *process = arg;
    (void)events;
    rp_info("shutdown requested");
    rp_watch_remove(&process->loop, &process->signal_watch);
    rp_node_begin_shutdown(process->node);
    rp_timer_set(&process->loop, &process->shutdown_timer, SHUTDOWN_GRACE_S);
}

static void watch_signals(struct process *process) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    process->signal_watch = (struct rp_watch){.fd = -1, .fn = on_signal, .arg = process};
    process->shutdown_timer = (struct rp_timer){.fn = on_shutdown_timer, .arg = process};
    if (sigprocmask(SIG_BLOCK, &set, NULL) == 0)
        process->signal_watch.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    /* Where the signals cannot be watched they are unblocked, so that they terminate the process at
     * once. A node also tolerates an abrupt termination. */
    bool is_open = process->signal_watch.fd >= 0;
    if (!is_open || rp_watch_add(&process->loop, &process->signal_watch, EPOLLIN) < 0)
        sigprocmask(SIG_UNBLOCK, &set, NULL);
}

/* How the allowed connections are divided. Outbound calls and the other nodes get a share each, and
 * a few connections remain unassigned. Users and workers get the rest, since after a failover all
 * workers may connect to one node. */
struct connection_budget {
    size_t n_outbound;
    size_t n_from_peers;
    size_t n_from_users; /* connections from users and from workers */
};

static size_t min_size(size_t a, size_t b) {
    return a < b ? a : b;
}

static struct connection_budget divide_connections(size_t n_allowed) {
    size_t n_outbound_base = min_size(n_allowed / 8, OUTBOUND_CONNECTIONS_BASE_MAX);
    size_t n_outbound_large = min_size(n_allowed / 16, OUTBOUND_CONNECTIONS_MAX);
    size_t n_spare = min_size(n_allowed / 16, SPARE_CONNECTIONS_MAX);
    struct connection_budget budget = {
        .n_outbound = n_outbound_large > n_outbound_base ? n_outbound_large : n_outbound_base,
        .n_from_peers = min_size(n_allowed / 16, PEER_CONNECTIONS_MAX)};
    budget.n_from_users = n_allowed - budget.n_outbound - budget.n_from_peers - n_spare;
    return budget;
}

static struct rp_http_limits server_limits(size_t max_connections) {
    return (struct rp_http_limits){.max_connections = max_connections,
                                   .max_body_bytes = REQUEST_MAX_BYTES,
                                   .idle_timeout_s = IDLE_TIMEOUT_S,
                                   .receive_timeout_s = RECEIVE_TIMEOUT_S,
                                   .send_timeout_s = SEND_TIMEOUT_S};
}

/* Opens both servers, runs the event loop until the shutdown and closes the servers. Returns 0 or
 * -errno. */
static int run_servers(struct process *process, const struct rp_settings *settings,
                       const struct connection_budget *budget) {
    struct rp_http_limits user_limits = server_limits(budget->n_from_users);
    struct rp_http_limits peer_limits = server_limits(budget->n_from_peers);
    int rc = rp_http_server_open(&process->user_server, &process->loop, settings->client_listen,
                                 &user_limits, rp_node_client_request, process->node);
    if (rc < 0)
        return rc;
    rc = rp_http_server_open(&process->peer_server, &process->loop, settings->peer_listen,
                             &peer_limits, rp_node_peer_request, process->node);
    if (rc < 0)
        goto out;
    rp_info("ridgepulley " RP_VERSION " serves users on %s, peers on %s", settings->client_listen,
            settings->peer_listen);
    watch_signals(process);
    rp_node_start(process->node);
    rc = rp_loop_run(&process->loop);
    rp_http_server_close(&process->peer_server);
out:
    rp_http_server_close(&process->user_server);
    return rc;
}

/* Runs a node that uses the HTTP client as its network. Returns 0 or -errno. */
static int run_node(struct process *process, const struct rp_settings *settings) {
    struct connection_budget budget = divide_connections(settings->max_connections);
    rp_http_client_init(&process->client, &process->loop, CONNECTIONS_PER_HOST_MAX,
                        budget.n_outbound, RESPONSE_MAX_BYTES);
    int rc =
        rp_node_init(process->node, &process->loop, rp_http_client_net(&process->client), settings);
    if (rc < 0)
        return rc;
    rc = run_servers(process, settings, &budget);
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
        rp_error("node failed: error=%s", strerror(-rc));
    return rc < 0 ? EXIT_CODE_FAILURE : EXIT_CODE_OK;
}

int main(int argc, char **argv) {
    struct options options;
    struct rp_settings settings;
    enum option_outcome outcome = parse_options(argc, argv, &options);
    if (outcome != OPTIONS_VALID)
        return outcome == OPTIONS_DONE ? EXIT_CODE_OK : EXIT_CODE_USAGE;
    enum exit_code code = load_settings(&options, &settings);
    if (code == EXIT_CODE_OK && options.is_check_only) {
        puts("settings are good");
    } else if (code == EXIT_CODE_OK) {
        signal(SIGPIPE, SIG_IGN);
        rp_log_setup(settings.node, rp_log_level_named(getenv("LOG_LEVEL")));
        code = run_process(&settings);
    }
    rp_settings_free(&settings);
    return code;
}
