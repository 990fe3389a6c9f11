#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include "base/log.h"
#include "config/platform_file.h"
#include "controller/node.h"
#include "controller/node_requests.h"
#include "http/client.h"
#include "http/server.h"

#define LEAVE_S 0.5  /* for the last answers, and for giving the key up */
#define OWN_LEAST 64 /* connections for calls of this node's own, */
#define OWN_MOST 512 /* and with many allowed in all */
#define OPERATOR_FILE "/etc/ridgepulley/operator.txtpb"

/* Exit codes. */
enum { EXIT_OK = 0, EXIT_TROUBLE = 1, EXIT_USAGE = 2 };

struct options {
    const char *config;
    const char *operator_file;
    bool operator_given, check;
};

static void usage(FILE *to) {
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

static int parse_options(int argc, char **argv, struct options *options) {
    static const struct option longs[] = {
        {"config", required_argument, NULL, 'c'}, {"operator", required_argument, NULL, 'o'},
        {"check", no_argument, NULL, 'k'},        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},      {NULL, 0, NULL, 0}};
    int c;
    *options = (struct options){.operator_file = OPERATOR_FILE};
    while ((c = getopt_long(argc, argv, "c:o:hV", longs, NULL)) != -1) {
        switch (c) {
        case 'c':
            options->config = optarg;
            break;
        case 'o':
            options->operator_file = optarg;
            options->operator_given = true;
            break;
        case 'k':
            options->check = true;
            break;
        case 'h':
            usage(stdout);
            return EXIT_OK;
        case 'V':
            puts("ridgepulley " RP_VERSION);
            return EXIT_OK;
        default:
            usage(stderr);
            return EXIT_USAGE;
        }
    }
    if (!options->config || optind < argc) {
        fputs(options->config ? "ridgepulley: unexpected argument\n"
                              : "ridgepulley: --config FILE is needed\n",
              stderr);
        usage(stderr);
        return EXIT_USAGE;
    }
    return -1;
}

static char *read_file(const char *path) {
    FILE *f = fopen(path, "rb");
    char *text = NULL;
    size_t len = 0, n;
    if (!f)
        return NULL;
    do {
        char *more = realloc(text, len + 65536 + 1);
        if (!more)
            goto out;
        text = more;
        n = fread(text + len, 1, 65536, f);
        len += n;
        text[len] = '\0';
    } while (n > 0 && len < (4u << 20));
out:
    fclose(f);
    return text;
}

static int load_settings(const struct options *options, struct rp_settings *settings) {
    int mistakes = 0;
    char *text = read_file(options->config);
    if (!text) {
        fprintf(stderr, "%s: %s\n", options->config, strerror(errno));
        return EXIT_USAGE;
    }
    mistakes += rp_platform_file_parse(settings, text, options->config, stderr);
    free(text);
    errno = 0;
    text = read_file(options->operator_file);
    if (text)
        mistakes += rp_tuning_parse(&settings->tuning, text, options->operator_file, stderr);
    else if (options->operator_given || errno != ENOENT) {
        fprintf(stderr, "%s: %s\n", options->operator_file, strerror(errno));
        mistakes++;
    }
    free(text);
    rp_settings_complete(settings);
    if (mistakes == 0)
        mistakes += rp_settings_check(settings, stderr);
    return mistakes ? EXIT_USAGE : EXIT_OK;
}

/* A process that is asked to end gives the key up first, so that nobody waits for its lease. */
struct leaving {
    struct rp_loop *loop;
    struct rp_node *node;
    struct rp_watch watch;
    struct rp_timer timer;
};

static void leave_now(void *arg) {
    rp_loop_stop(((struct leaving *)arg)->loop);
}

static void leave(void *arg, uint32_t events) {
    struct leaving *leaving = arg;
    (void)events;
    rp_info("asked to end");
    rp_watch_remove(leaving->loop, &leaving->watch);
    rp_node_leave(leaving->node);
    rp_timer_set(leaving->loop, &leaving->timer, LEAVE_S);
}

static void watch_signals(struct leaving *leaving) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    leaving->watch = (struct rp_watch){.fd = -1, .fn = leave, .arg = leaving};
    leaving->timer = (struct rp_timer){.fn = leave_now, .arg = leaving};
    if (sigprocmask(SIG_BLOCK, &set, NULL) == 0)
        leaving->watch.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    /* Where signals can't be watched they keep their old effect, which nodes survive as well. */
    if (leaving->watch.fd < 0 || rp_watch_add(leaving->loop, &leaving->watch, EPOLLIN) < 0)
        sigprocmask(SIG_UNBLOCK, &set, NULL);
}

/* Connections for calls of this node's own. With thousands of machines a new leader asks them all
 * at once, and those that don't answer hold a connection each until their time is over. */
static size_t own_connections(size_t all) {
    size_t few = all / 8 < OWN_LEAST ? all / 8 : OWN_LEAST;
    size_t many = all / 16 < OWN_MOST ? all / 16 : OWN_MOST;
    return many > few ? many : few;
}

static int serve(const struct rp_settings *settings) {
    struct rp_loop loop;
    struct rp_http_client client;
    struct rp_http_server users, peers;
    struct rp_node *node = calloc(1, sizeof *node);
    struct leaving leaving = {.loop = &loop, .node = node};
    /* Sockets: calls of our own and the other nodes get a part each, a few stay free, and users and
     * workers get the rest, since after a takeover all workers may come to one node. */
    size_t own = own_connections(settings->max_connections);
    size_t peer = settings->max_connections / 16 < 64 ? settings->max_connections / 16 : 64;
    size_t spare = settings->max_connections / 16 < 32 ? settings->max_connections / 16 : 32;
    struct rp_http_limits user_limits = {.max_connections =
                                             settings->max_connections - own - peer - spare,
                                         .max_body_bytes = 65536,
                                         .idle_timeout_s = 120,
                                         .receive_timeout_s = 10,
                                         .send_timeout_s = 10};
    struct rp_http_limits peer_limits = user_limits;
    peer_limits.max_connections = peer;
    int rc = node ? rp_loop_init(&loop, false) : -ENOMEM;
    if (rc < 0)
        goto out;
    rp_http_client_init(&client, &loop, 24, own, 16u << 20);
    rc = rp_node_init(node, &loop, rp_http_client_net(&client), settings);
    if (rc < 0)
        goto out_loop;
    rc = rp_http_server_open(&users, &loop, settings->client_listen, &user_limits,
                             rp_node_client_request, node);
    if (rc < 0)
        goto out_node;
    rc = rp_http_server_open(&peers, &loop, settings->peer_listen, &peer_limits,
                             rp_node_peer_request, node);
    if (rc < 0)
        goto out_users;
    rp_info("ridgepulley " RP_VERSION " serves users on %s, peers on %s", settings->client_listen,
            settings->peer_listen);
    watch_signals(&leaving);
    rp_node_start(node);
    rc = rp_loop_run(&loop);
    rp_http_server_close(&peers);
out_users:
    rp_http_server_close(&users);
out_node:
    rp_node_close(node);
    rp_http_client_close(&client);
out_loop:
    rp_loop_close(&loop);
out:
    free(node);
    if (rc < 0)
        rp_error("ended: %s", strerror(-rc));
    return rc < 0 ? EXIT_TROUBLE : EXIT_OK;
}

int main(int argc, char **argv) {
    struct options options;
    struct rp_settings settings;
    int rc = parse_options(argc, argv, &options);
    if (rc >= 0)
        return rc;
    rc = load_settings(&options, &settings);
    if (rc == EXIT_OK && options.check)
        puts("settings are good");
    if (rc != EXIT_OK || options.check)
        goto out;
    signal(SIGPIPE, SIG_IGN);
    rp_log_setup(settings.node, rp_log_level_named(getenv("LOG_LEVEL")));
    rc = serve(&settings);
out:
    rp_settings_free(&settings);
    return rc;
}
