/* The course of a run: settings, node processes, users, the record. */
#include "platform.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/log.h"

#define STEP_S 0.01
#define PORT_MIN 12000
#define PORTS 18000
#define PORTS_APART 101 /* between the first ports of two processes with consecutive ids */
#define RUN_MAX_S 117
#define SUBMIT_TIMEOUT_S 5.0
#define POLL_TIMEOUT_S 2.0
#define POLL_S 2.0
#define PROBE_S 1.0       /* time between two probes of a node, and the time-out of one */
#define REMOVED_MIN_S 3.0 /* shortest time for which an unhealthy node stays removed */

static struct platform *g_platform; /* for the handlers of signals */

double platform_now(const struct platform *platform) {
    return rp_ts_since(rp_loop_now(&platform->loop), platform->started_at);
}

void platform_note(struct platform *platform, const char *format, ...) {
    va_list ap;
    fprintf(platform->record, "%8.3f ", platform_now(platform));
    va_start(ap, format);
    vfprintf(platform->record, format, ap);
    va_end(ap);
    fputc('\n', platform->record);
    fflush(platform->record);
}

/* A port that was free a moment ago, below those that the system gives to outgoing connections: a
 * node that is started again finds its port still free. */
int free_port(void) {
    static unsigned next;
    if (next == 0)
        next = (unsigned)getpid() * PORTS_APART;
    for (int tries = 0; tries < PORTS; tries++) {
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons((uint16_t)(PORT_MIN + next++ % PORTS)),
                                      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int one = 1;
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        bool is_free = fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) == 0 &&
                       bind(fd, (struct sockaddr *)&address, sizeof address) == 0;
        if (fd >= 0)
            close(fd);
        if (is_free)
            return ntohs(address.sin_port);
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

/* ---- the node processes ---- */

static void end_process(struct node *node) {
    if (node->pid <= 0)
        return;
    kill(node->pid, SIGKILL);
    while (waitpid(node->pid, NULL, 0) < 0 && errno == EINTR)
        ;
    node->pid = 0;
}

static void end_processes(struct platform *platform) {
    for (int i = 0; i < N_NODES; i++)
        end_process(&platform->nodes[i]);
}

static void on_fatal_signal(int number) {
    (void)number;
    if (g_platform)
        for (int i = 0; i < N_NODES; i++)
            if (g_platform->nodes[i].pid > 0)
                kill(g_platform->nodes[i].pid, SIGKILL);
    _exit(2);
}

_Noreturn void platform_finish(struct platform *platform, int code, const char *why) {
    for (int i = 0; i < N_NODES; i++)
        platform_note(platform, "sheave-%d: longest time without an answer to a probe %.1f s", i,
                      platform->nodes[i].longest_silence_s);
    for (int i = 0; i < platform->n_jobs; i++) {
        const struct job *job = &platform->jobs[i];
        platform_note(platform,
                      "%s: %u tasks, %lu start commands received, %lu started, %u completed, %lu "
                      "killed by the end of a lease",
                      job->ref, job->lifts, job->n_received, job->n_starts, job->n_completed,
                      job->n_killed);
    }
    platform_note(platform, "result %d (%s): %s", code,
                  code == 0   ? "the rule held"
                  : code == 1 ? "the rule was broken"
                              : "the case could not run",
                  why);
    end_processes(platform);
    fclose(platform->record);
    printf("result %d: %s\n", code, why);
    fflush(stdout);
    exit(code);
}

static void write_settings(struct platform *platform, int index) {
    const struct platform_options *options = &platform->options;
    char path[256];
    char name[32];
    json_t *seeds = json_array();
    json_t *zones = json_array();
    for (int i = 0; i < options->n_zones; i++)
        json_array_append_new(zones, json_string(options->zones[i]));
    for (int i = 0; i < N_NODES; i++) {
        snprintf(name, sizeof name, "sheave-%d", i);
        if (i != index)
            json_array_append_new(seeds, json_pack("{s:s,s:s,s:s}", "node_name", name, "location",
                                                   options->zones[i % options->n_zones], "addr",
                                                   platform->peer_addr[i]));
    }
    snprintf(name, sizeof name, "sheave-%d", index);
    json_t *workers = json_pack("{s:f,s:f,s:f,s:f,s:f}", "report_s", 2.0, "lease_s", 14.0,
                                "gang_wait_s", 40.0, "gang_peer_s", 5.0, "cancel_s", 39.0);
    json_t *state = json_pack("{s:f,s:f,s:f,s:i}", "rps", 200.0, "write_rps", 20.0, "value_kb", 8.0,
                              "txn_ops", 8);
    json_t *limits =
        json_pack("{s:f,s:f,s:i}", "cpu_share", 0.16, "mem_mb", 56.0, "max_connections", 800);
    json_t *params = json_pack("{s:i,s:o,s:o,s:[],s:o,s:o,s:{s:f,s:f},s:o,s:f}", "nodes", N_NODES,
                               "zones", zones, "teams", json_loads(options->team_settings, 0, NULL),
                               "objectives", "workers", workers, "state", state, "cloud", "rps",
                               5.0, "list_lag_s", 3.0, "machine_limits", limits, "skew_ms", 25.0);
    json_t *root = json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", name, "location",
                             options->zones[index % options->n_zones], "client_listen",
                             platform->node_addr[index], "peer_listen", platform->peer_addr[index],
                             "seeds", seeds, "external", "cloud", platform->cloud_addr, "state",
                             platform->store_addr, "params", params);
    snprintf(path, sizeof path, "%s/%s.json", platform->directory, name);
    if (!root || json_dump_file(root, path, JSON_INDENT(1)) < 0)
        platform_finish(platform, 2, "settings cannot be written");
    json_decref(root);
}

static void start_node(struct platform *platform, int index) {
    struct node *node = &platform->nodes[index];
    char settings[256];
    char log[256];
    snprintf(settings, sizeof settings, "%s/sheave-%d.json", platform->directory, index);
    snprintf(log, sizeof log, "%s/sheave-%d.log", platform->directory, index);
    node->restarts_at = 0;
    node->answered_at = platform_now(platform);
    node->pid = fork();
    if (node->pid < 0)
        platform_finish(platform, 2, "no process can be started");
    if (node->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0)
            dup2(fd, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execl(platform->options.program, platform->options.program, "--config", settings,
              (char *)NULL);
        _exit(127);
    }
    platform_note(platform, "sheave-%d started: %s --config SETTINGS, users at %s", index,
                  platform->options.program, platform->node_addr[index]);
}

void platform_crash(struct platform *platform, int index, double after_s) {
    platform_note(platform, "sheave-%d is killed, and back after %.1f s", index, after_s);
    end_process(&platform->nodes[index]);
    platform->nodes[index].restarts_at = platform_now(platform) + after_s;
}

int platform_leader(const struct platform *platform) {
    const char *name = store_leader(platform->store);
    return strncmp(name, "sheave-", 7) == 0 ? atoi(name + 7) : -1;
}

static void step_node(struct platform *platform, struct node *node, double now) {
    int status;
    if (node->pid == 0 && node->restarts_at > 0 && now >= node->restarts_at)
        start_node(platform, node->index);
    if (node->pid <= 0 || waitpid(node->pid, &status, WNOHANG) == 0)
        return;
    node->pid = 0;
    platform_note(platform, "sheave-%d ended by itself, status %d", node->index, status);
    if (WIFEXITED(status))
        platform_finish(platform, 2, "a node did not start");
    platform_finish(platform, 1, "a node crashed");
}

/* ---- the load balancer ---- */

static void on_probe_answer(void *arg, const struct rp_response *answer) {
    struct node *node = arg;
    struct platform *platform = node->platform;
    double now = platform_now(platform);
    bool is_good = answer->status == 200;
    node->is_probing = false;
    node->n_succeeded = is_good ? node->n_succeeded + 1 : 0;
    node->n_failed = is_good ? 0 : node->n_failed + 1;
    if (node->is_healthy && node->n_failed >= 2) {
        node->is_healthy = false;
        node->removed_at = now;
        platform_note(platform, "load balancer: sheave-%d is unhealthy", node->index);
    } else if (!node->is_healthy &&
               (node->removed_at == 0
                    ? node->n_succeeded >= 1
                    : node->n_succeeded >= 2 && now >= node->removed_at + REMOVED_MIN_S)) {
        node->is_healthy = true;
        platform_note(platform, "load balancer: sheave-%d is healthy", node->index);
    }
    if (answer->status == 0)
        return;
    if (now - node->answered_at > 5)
        platform_note(platform, "sheave-%d answers again, after %.1f s", node->index,
                      now - node->answered_at);
    node->answered_at = now;
}

static void probe(struct platform *platform, struct node *node, double now) {
    struct rp_net net = rp_http_client_net(&platform->client);
    if (node->pid > 0 && now - node->answered_at > node->longest_silence_s)
        node->longest_silence_s = now - node->answered_at;
    if (node->is_probing || now < node->probed_at + PROBE_S)
        return;
    node->is_probing = true;
    node->probed_at = now;
    net.call_on_own_connection(net.ctx, platform->node_addr[node->index], "GET", "/healthz", NULL,
                               PROBE_S, on_probe_answer, node);
}

/* The next healthy node; the next node if none is healthy. */
static int pick_node(struct platform *platform) {
    for (int i = 1; i <= N_NODES; i++) {
        int index = (platform->user_node + i) % N_NODES;
        if (platform->nodes[index].is_healthy)
            return index;
    }
    return (platform->user_node + 1) % N_NODES;
}

/* ---- users ---- */

struct user_call {
    struct platform *platform;
    struct job *job;
    enum { SUBMIT, POLL, CANCEL } kind;
    int node;
};

struct job *platform_add_job(struct platform *platform, const struct job_options *options) {
    struct job *job = &platform->jobs[platform->n_jobs];
    if (platform->n_jobs++ == JOBS_MAX)
        platform_finish(platform, 2, "too many jobs");
    *job = (struct job){.used = true,
                        .vcpus = options->vcpus,
                        .cards = options->cards,
                        .memory_gb = options->memory_gb,
                        .image_gb = 0.3,
                        .lifts = options->lifts,
                        .run_s = options->run_s,
                        .is_service = strcmp(options->haul, "service") == 0,
                        .submit_at = options->submit_at,
                        .cancel_at = options->cancel_at};
    snprintf(job->ref, sizeof job->ref, "j-%06d", 411 + platform->n_jobs);
    job->spec = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "ref",
        job->ref, "rig", options->rig, "crew", options->crew, "haul", options->haul, "precedence",
        options->precedence, "lifts", (int)options->lifts, "vcpus", options->vcpus, "cards",
        options->cards, "memory_gb", options->memory_gb, "payload", options->payload, "image_gb",
        job->image_gb, "frames", "yard", "one_zone", 0, "spread", 0, "loaners", 0, "run_guess_s",
        options->run_guess_s, "brace_every_s", 0.0, "brace_s", 0.0, "due_s");
    job->is_result_kept = calloc(job->lifts, sizeof(bool));
    if (!job->spec || !job->is_result_kept)
        platform_finish(platform, 2, "a job cannot be made");
    return job;
}

static void on_user_answer(void *arg, const struct rp_response *answer) {
    static const char *const kinds[] = {"submission", "question", "cancellation"};
    struct user_call call = *(struct user_call *)arg;
    struct job *job = call.job;
    struct platform *platform = call.platform;
    double now = platform_now(platform);
    free(arg);
    json_t *body = json_loadb(answer->body, answer->len, 0, NULL);
    const char *tension = json_string_value(json_object_get(body, "tension"));
    platform_note(platform, "user: %s of %s to sheave-%d: %d %s", kinds[call.kind], job->ref,
                  call.node, answer->status, answer->body);
    job->in_flight = false;
    job->next_try_at = now + 1;
    job->next_poll_at = now + POLL_S;
    bool is_ok = answer->status == 200 || (answer->status == 201 && call.kind == SUBMIT);
    if (is_ok && tension)
        job->answered_at = now;
    if (is_ok && call.kind == SUBMIT && !job->accepted) {
        job->accepted = true;
        job->accepted_at = now;
    }
    if (is_ok && tension && strcmp(tension, "done") == 0 && !job->done) {
        job->done = true;
        job->done_at = now;
    }
    if (is_ok && tension && strcmp(tension, "aborted") == 0 && !job->cancelled) {
        job->cancelled = true;
        job->cancelled_at = now;
    }
    json_decref(body);
}

static void call_node(struct platform *platform, struct job *job, int kind) {
    struct rp_net net = rp_http_client_net(&platform->client);
    struct user_call *call = calloc(1, sizeof *call);
    char target[128];
    char *body =
        kind == SUBMIT ? json_dumps(job->spec, JSON_COMPACT | JSON_REAL_PRECISION(6)) : NULL;
    *call = (struct user_call){.platform = platform, .job = job, .kind = kind};
    call->node = platform->user_node = pick_node(platform);
    job->in_flight = true;
    if (kind == SUBMIT)
        snprintf(target, sizeof target, "/v1/jobs");
    else
        snprintf(target, sizeof target, "/v1/jobs/%s%s", job->ref, kind == CANCEL ? "/cancel" : "");
    if (kind != POLL)
        platform_note(platform, "user: %s %s", kind == SUBMIT ? "submits" : "cancels",
                      kind == SUBMIT ? body : job->ref);
    net.call(net.ctx, platform->node_addr[call->node], kind == POLL ? "GET" : "POST", target, body,
             kind == POLL ? POLL_TIMEOUT_S : SUBMIT_TIMEOUT_S, on_user_answer, call);
    free(body);
}

static void step_user(struct platform *platform, struct job *job, double now) {
    if (job->in_flight || now < job->submit_at || now < job->next_try_at)
        return;
    if (!job->accepted) {
        job->submitted = true;
        call_node(platform, job, SUBMIT);
    } else if (job->cancel_at > 0 && now >= job->cancel_at && !job->cancelled && !job->done) {
        job->cancel_asked = true;
        call_node(platform, job, CANCEL);
    } else if (!job->done && !job->cancelled && now >= job->next_poll_at) {
        call_node(platform, job, POLL);
    }
}

/* ---- the run ---- */

static void on_step(void *arg) {
    struct platform *platform = arg;
    double now = platform_now(platform);
    rp_timer_set(&platform->loop, &platform->timer, STEP_S);
    for (int i = 0; i < N_NODES; i++) {
        step_node(platform, &platform->nodes[i], now);
        probe(platform, &platform->nodes[i], now);
    }
    store_step(platform->store, now);
    machines_step(platform, now);
    for (int i = 0; i < platform->n_jobs; i++)
        step_user(platform, &platform->jobs[i], now);
    platform->step(platform, now);
    if (now > RUN_MAX_S)
        platform_finish(platform, 2, "the case came to no result in its time");
}

static void open_server(struct platform *platform, struct rp_http_server *server,
                        char addr[ADDR_BYTES], rp_request_fn fn) {
    static const struct rp_http_limits limits = {.max_connections = 500,
                                                 .max_body_bytes = 1 << 20,
                                                 .idle_timeout_s = 300,
                                                 .receive_timeout_s = 10,
                                                 .send_timeout_s = 10};
    for (int tries = 0; tries < 20; tries++) {
        snprintf(addr, ADDR_BYTES, "127.0.0.1:%d", free_port());
        if (rp_http_server_open(server, &platform->loop, addr, &limits, fn, platform) == 0)
            return;
    }
    platform_finish(platform, 2, "no free port");
}

void platform_start(struct platform *platform, const struct platform_options *options,
                    void (*step)(struct platform *, double now)) {
    memset(platform, 0, sizeof *platform);
    platform->options = *options;
    platform->step = step;
    platform->record = fopen(options->record, "w");
    if (!platform->record || rp_loop_init(&platform->loop, false) < 0)
        exit(2);
    platform->started_at = rp_loop_now(&platform->loop);
    g_platform = platform;
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_fatal_signal);
    signal(SIGINT, on_fatal_signal);
    signal(SIGHUP, on_fatal_signal);
    signal(SIGALRM, on_fatal_signal);
    alarm(RUN_MAX_S + 2);
    rp_log_setup("platform", rp_log_level_named("error"));
    rp_http_client_init(&platform->client, &platform->loop, 100, 400, 1 << 20);
    platform->hires = json_object();
    platform->store = store_new(platform, options->first_revision);
    platform->cloud_tokens = 10;
    platform->directory = options->directory;
    open_server(platform, &platform->store_server, platform->store_addr, store_on_request);
    open_server(platform, &platform->cloud_server, platform->cloud_addr, cloud_on_request);
    for (int i = 0; i < N_NODES; i++) {
        snprintf(platform->node_addr[i], ADDR_BYTES, "127.0.0.1:%d", free_port());
        snprintf(platform->peer_addr[i], ADDR_BYTES, "127.0.0.1:%d", free_port());
    }
    platform_note(platform,
                  "the store's revision is %" PRIu64 ", settings and logs in a temporary folder",
                  options->first_revision);
    for (int i = 0; i < N_NODES; i++)
        write_settings(platform, i);
    for (int i = 0; i < N_NODES; i++) {
        platform->nodes[i] = (struct node){.platform = platform, .index = i};
        start_node(platform, i);
    }
    platform->timer = (struct rp_timer){.fn = on_step, .arg = platform};
    rp_timer_set(&platform->loop, &platform->timer, STEP_S);
}

bool platform_has_trouble(void) {
    const char *trouble = getenv("TROUBLE");
    return !trouble || strcmp(trouble, "0") != 0;
}

int platform_run(struct platform *platform) {
    return rp_loop_run(&platform->loop) < 0 ? 2 : 0;
}
