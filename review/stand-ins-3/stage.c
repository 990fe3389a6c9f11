/* Starts the controllers, plays the users and the load balancer, and keeps the record. Usage: stage
 * CASE PROGRAM DIRECTORY RECORD. TROUBLE=0 leaves out the disruption. Exits with 0 if the rule
 * held, with 1 if it was broken and with 2 if the case could not run. */
#include "stage.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/log.h"
#include "http/socket.h"

#define STEP_S 0.02
#define SUBMIT_TIMEOUT_S 5.0
#define POLL_TIMEOUT_S 2.0
#define FORGOTTEN_S 90.0 /* PROTOCOL, "Rules" */
#define END_S 117.0

struct stage stage = {.report_s = 2,
                      .lease_s = 14,
                      .cancel_s = 39,
                      .state_rps = 200,
                      .state_write_rps = 20,
                      .cloud_rps = 5,
                      .cpu_share = 0.16,
                      .memory_mb = 56,
                      .max_connections = 800};
static struct rp_timer step_timer;
static volatile sig_atomic_t is_terminated;

double now_s(void) {
    return rp_ts_since(rp_loop_now(&stage.loop), stage.began_at);
}

static void write_line(const char *format, va_list arguments) {
    fprintf(stage.record, "%8.3f ", now_s());
    vfprintf(stage.record, format, arguments);
    fputc('\n', stage.record);
    fflush(stage.record);
}

void note(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    write_line(format, arguments);
    va_end(arguments);
}

void break_rule(const char *format, ...) {
    va_list arguments;
    if (*stage.broken)
        return;
    va_start(arguments, format);
    vsnprintf(stage.broken, sizeof stage.broken, format, arguments);
    va_end(arguments);
    note("RULE BROKEN: %s", stage.broken);
}

/* ---- addresses ---- */

bool open_server(struct rp_http_server *server, char address[ADDRESS_BYTES], rp_request_fn fn,
                 void *arg) {
    static const struct rp_http_limits limits = {.max_connections = 500,
                                                 .max_body_bytes = 1 << 20,
                                                 .idle_timeout_s = 300,
                                                 .receive_timeout_s = 10,
                                                 .send_timeout_s = 10};
    for (int tries = 0; tries < 500; tries++) {
        snprintf(address, ADDRESS_BYTES, "127.0.0.1:%d", stage.next_port++);
        if (rp_http_server_open(server, &stage.loop, address, &limits, fn, arg) == 0)
            return true;
    }
    stage.unable = "no free port";
    return false;
}

/* A free address for a controller. */
static void choose_address(char address[ADDRESS_BYTES]) {
    for (int tries = 0; tries < 500; tries++) {
        struct sockaddr_in socket_address;
        snprintf(address, ADDRESS_BYTES, "127.0.0.1:%d", stage.next_port++);
        rp_socket_parse_address(address, &socket_address);
        int fd = rp_socket_listen(&socket_address);
        if (fd < 0)
            continue;
        close(fd);
        return;
    }
    stage.unable = "no free port";
}

/* ---- controllers ---- */

static json_t *settings_of(int index) {
    static const char *const node_zones[NODES] = {"tarawera", "rimutaka", "kaikoura"};
    json_t *seeds = json_array();
    for (int i = 0; i < NODES; i++)
        if (i != index)
            json_array_append_new(seeds, json_pack("{s:s,s:s,s:s}", "node_name",
                                                   stage.nodes[i].name, "location", node_zones[i],
                                                   "addr", stage.nodes[i].peer_addr));
    json_t *team = json_pack("{s:s,s:f,s:f,s:f,s:f}", "name", "platform-crew", "cpus", 0.0,
                             "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0);
    json_t *params = json_pack(
        "{s:i,s:[sss],s:[o],s:[],s:{s:f,s:f,s:f,s:f,s:f},s:{s:f,s:f,s:f,s:i},s:{s:f,s:f},"
        "s:{s:f,s:f,s:i},s:f}",
        "nodes", NODES, "zones", "kaikoura", "rimutaka", "tarawera", "teams", team, "objectives",
        "workers", "report_s", stage.report_s, "lease_s", stage.lease_s, "gang_wait_s", 40.0,
        "gang_peer_s", 5.0, "cancel_s", stage.cancel_s, "state", "rps", stage.state_rps,
        "write_rps", stage.state_write_rps, "value_kb", 8.0, "txn_ops", 8, "cloud", "rps",
        stage.cloud_rps, "list_lag_s", 3.0, "machine_limits", "cpu_share", stage.cpu_share,
        "mem_mb", stage.memory_mb, "max_connections", stage.max_connections, "skew_ms", 25.0);
    return json_pack("{s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s},s:o}", "node_name", stage.nodes[index].name,
                     "location", node_zones[index], "client_listen", stage.nodes[index].client_addr,
                     "peer_listen", stage.nodes[index].peer_addr, "seeds", seeds, "external",
                     "cloud", stage.cloud_addr, "state", stage.store_addr, "params", params);
}

static void write_settings(void) {
    for (int i = 0; i < NODES; i++) {
        struct controller *node = &stage.nodes[i];
        snprintf(node->name, sizeof node->name, "sheave-%d", i);
        choose_address(node->client_addr);
        choose_address(node->peer_addr);
        snprintf(node->settings_file, sizeof node->settings_file, "%s/node-%d.json",
                 stage.directory, i);
    }
    for (int i = 0; i < NODES; i++) {
        json_t *settings = settings_of(i);
        if (!settings || json_dump_file(settings, stage.nodes[i].settings_file, JSON_INDENT(1)) < 0)
            stage.unable = "the settings can't be written";
        json_decref(settings);
    }
}

void start_node(int index) {
    struct controller *node = &stage.nodes[index];
    char log[300];
    if (node->pid)
        return;
    snprintf(log, sizeof log, "%s/node-%d.log", stage.directory, index);
    node->pid = fork();
    if (node->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0)
            dup2(fd, STDERR_FILENO);
        execl(stage.program, stage.program, "--config", node->settings_file, (char *)NULL);
        _exit(127);
    }
    note("controller %s started", node->name);
}

void kill_node(int index) {
    struct controller *node = &stage.nodes[index];
    if (node->pid <= 0)
        return;
    kill(node->pid, SIGKILL);
    while (waitpid(node->pid, NULL, 0) < 0 && errno == EINTR)
        ;
    node->pid = 0;
    note("controller %s killed", node->name);
}

void signal_node(int index, int signal_number) {
    if (stage.nodes[index].pid > 0)
        kill(stage.nodes[index].pid, signal_number);
    note("controller %s gets signal %d", stage.nodes[index].name, signal_number);
}

/* A controller that ends by itself can't be what the case is about. */
static void check_nodes(void) {
    for (int i = 0; i < NODES; i++) {
        int status;
        struct controller *node = &stage.nodes[i];
        if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) == node->pid) {
            node->pid = 0;
            note("controller %s ended by itself: status %d", node->name, status);
            break_rule("a controller ended by itself: %s, status %d", node->name, status);
        }
    }
}

int leading_node(void) {
    const char *name = json_string_value(json_object_get(store_value("rp/main/leader"), "node"));
    for (int i = 0; i < NODES; i++)
        if (name && strcmp(stage.nodes[i].name, name) == 0)
            return i;
    return -1;
}

/* ---- users ---- */

enum request_kind { SUBMIT, POLL, CANCEL };

struct user_request {
    struct job *job;
    enum request_kind kind;
    double sent_at;
    int node, n_tries;
};

struct job *find_job(const char *id) {
    for (size_t i = 0; i < stage.n_jobs; i++)
        if (strcmp(stage.jobs[i].id, id) == 0)
            return &stage.jobs[i];
    return NULL;
}

bool is_accepted(const struct job *job) {
    return job->accepted_at > 0;
}

struct job *add_job(const char *haul, unsigned n_tasks, double cpus, double gpus, double run_s,
                    double fetch_s, const char *frame, double poll_every_s) {
    struct job *job = &stage.jobs[stage.n_jobs++];
    *job = (struct job){.run_s = run_s, .fetch_s = fetch_s, .poll_every_s = poll_every_s};
    char image[NAME_BYTES];
    bool is_service = strcmp(haul, "service") == 0;
    snprintf(job->id, sizeof job->id, "j-%06zu", 400 + stage.n_jobs);
    snprintf(image, sizeof image, "img-%02zu", stage.n_jobs);
    job->body = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:[s],s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}",
        "ref", job->id, "rig", is_service ? "push-gateway" : "mirror-sync-array", "crew",
        "platform-crew", "haul", haul, "precedence", is_service ? "critical" : "normal", "lifts",
        (int)n_tasks, "vcpus", cpus, "cards", gpus, "memory_gb", 3.0, "payload", image, "image_gb",
        fetch_s * 0.2, "frames", frame, "yard", "one_zone", 0, "spread", 0, "loaners", 0,
        "run_guess_s", is_service ? 0.0 : run_s, "brace_every_s", 0.0, "brace_s", 0.0, "due_s");
    return job;
}

void cancel_job(struct job *job) {
    if (job->cancel_asked_at == 0)
        job->cancel_asked_at = now_s();
    job->next_cancel_at = now_s();
}

static void send_request(struct user_request *request);

static void check_forgotten(struct job *job, double sent_at) {
    double failing_s = sent_at - job->failing_since;
    size_t n_polls = 0;
    size_t n_answered = 0;
    if (failing_s > job->longest_failing_s)
        job->longest_failing_s = failing_s;
    if (failing_s < FORGOTTEN_S)
        return;
    for (size_t i = 0; i < stage.n_jobs; i++)
        if (&stage.jobs[i] != job) {
            n_polls += stage.jobs[i].n_polls;
            n_answered += stage.jobs[i].n_answered;
        }
    if (n_answered * 2 > n_polls)
        break_rule("forgotten: each of the last %u polls for %s, which is accepted, failed, for "
                   "%.1f s; of %zu polls for other jobs %zu got an answer",
                   job->n_failed_in_a_row, job->id, failing_s, n_polls, n_answered);
}

static void on_poll_answered(struct job *job, const struct user_request *request, int status,
                             const json_t *body) {
    const char *tension = json_string_value(json_object_get(body, "tension"));
    job->n_polls++;
    note("poll %s at %s: %d %s", job->id, stage.nodes[request->node].name, status,
         tension ? tension : "");
    if (status == 404)
        break_rule("forgotten: %s is accepted and gets the answer 404", job->id);
    if (status != 200) {
        if (job->failing_since == 0)
            job->failing_since = request->sent_at;
        job->n_failed_in_a_row++;
        check_forgotten(job, request->sent_at);
        return;
    }
    job->n_answered++;
    job->failing_since = 0;
    job->n_failed_in_a_row = 0;
    if (!tension)
        return;
    if ((job->done_told_at > 0 && strcmp(tension, "done") != 0) ||
        (job->cancelled_at > 0 && request->sent_at > job->cancelled_at &&
         strcmp(tension, "aborted") != 0))
        break_rule("went_back: %s is called %s", job->id, tension);
    if (strcmp(tension, "done") == 0)
        job->done_told_at = now_s();
    snprintf(job->state, sizeof job->state, "%s", tension);
}

static void on_user_answer(void *arg, const struct rp_response *answer) {
    struct user_request *request = arg;
    struct job *job = request->job;
    /* The load balancer tries another node if a node refuses a connection, up to three in all. */
    if (answer->unsent && ++request->n_tries < NODES) {
        request->node = (request->node + 1) % NODES;
        send_request(request);
        return;
    }
    job->in_flight = false;
    json_t *body = json_loadb(answer->body, answer->len, 0, NULL);
    const char *tension = json_string_value(json_object_get(body, "tension"));
    double pause_s = answer->retry_after > 1 ? answer->retry_after : 1;
    switch (request->kind) {
    case SUBMIT:
        note("submit %s at %s: %d %s", job->id, stage.nodes[request->node].name, answer->status,
             tension ? tension : "");
        job->next_try_at = now_s() + pause_s;
        if (answer->status != 200 && answer->status != 201)
            break;
        job->accepted_at = now_s();
        job->next_poll_at = now_s() + job->poll_every_s;
        if (job->cancel_asked_at < 0)
            cancel_job(job);
        break;
    case POLL:
        on_poll_answered(job, request, answer->status, body);
        break;
    case CANCEL:
        note("cancel %s at %s: %d %s", job->id, stage.nodes[request->node].name, answer->status,
             tension ? tension : "");
        if (answer->status == 200 && tension && strcmp(tension, "aborted") == 0)
            job->cancelled_at = now_s();
        job->next_cancel_at = answer->status == 200 ? 0 : now_s() + pause_s;
        break;
    }
    json_decref(body);
    free(request);
}

static void send_request(struct user_request *request) {
    struct job *job = request->job;
    char target[NAME_BYTES + 32];
    char *text = request->kind == SUBMIT ? json_dumps(job->body, JSON_COMPACT) : NULL;
    snprintf(target, sizeof target, "/v1/jobs%s%s%s", request->kind == SUBMIT ? "" : "/",
             request->kind == SUBMIT ? "" : job->id, request->kind == CANCEL ? "/cancel" : "");
    job->in_flight = true;
    stage.net.call_on_own_connection(stage.net.ctx, stage.nodes[request->node].client_addr,
                                     request->kind == POLL ? "GET" : "POST", target, text,
                                     request->kind == POLL ? POLL_TIMEOUT_S : SUBMIT_TIMEOUT_S,
                                     on_user_answer, request);
    free(text);
}

static void start_request(struct job *job, enum request_kind kind) {
    struct user_request *request = calloc(1, sizeof *request);
    *request = (struct user_request){.job = job, .kind = kind, .sent_at = now_s()};
    request->node = stage.next_node;
    stage.next_node = (stage.next_node + 1) % NODES;
    send_request(request);
}

static void users_step(void) {
    double t = now_s();
    for (size_t i = 0; i < stage.n_jobs; i++) {
        struct job *job = &stage.jobs[i];
        bool is_over = job->done_told_at > 0 || job->cancelled_at > 0;
        if (job->in_flight)
            continue;
        if (job->accepted_at == 0 && job->submitted_at > 0 && t >= job->submitted_at &&
            t >= job->next_try_at)
            start_request(job, SUBMIT);
        else if (job->accepted_at > 0 && job->next_cancel_at > 0 && t >= job->next_cancel_at)
            start_request(job, CANCEL);
        else if (job->accepted_at > 0 && job->poll_every_s > 0 && !is_over &&
                 t >= job->next_poll_at) {
            job->next_poll_at = t + job->poll_every_s;
            start_request(job, POLL);
        }
    }
}

/* ---- the course ---- */

static _Noreturn void finish(void) {
    for (int i = 0; i < NODES; i++) {
        if (stage.nodes[i].pid > 0)
            kill(stage.nodes[i].pid, SIGCONT);
        kill_node(i);
    }
    for (size_t i = 0; i < stage.n_jobs; i++)
        note("job %s: %u polls, %u answered, longest stretch without an answer %.1f s, %s",
             stage.jobs[i].id, stage.jobs[i].n_polls, stage.jobs[i].n_answered,
             stage.jobs[i].longest_failing_s, stage.jobs[i].state);
    const char *result = "the rule held";
    int code = 0;
    if (*stage.broken) {
        result = stage.broken;
        code = 1;
    } else if (stage.unable) {
        result = stage.unable;
        code = 2;
    }
    note("result: %s", result);
    printf("%s\n", result);
    fflush(stdout);
    exit(code);
}

static void on_step(void *arg) {
    (void)arg;
    rp_timer_set(&stage.loop, &step_timer, STEP_S);
    store_step();
    machines_step();
    users_step();
    check_nodes();
    case_step(now_s());
    if (is_terminated)
        stage.unable = "terminated";
    if (stage.is_over || *stage.broken || stage.unable || now_s() > END_S)
        finish();
}

static void on_termination(int signal_number) {
    (void)signal_number;
    is_terminated = 1;
}

int main(int argc, char **argv) {
    const char *trouble = getenv("TROUBLE");
    if (argc != 5)
        return 2;
    stage.program = argv[2];
    stage.directory = argv[3];
    stage.record = fopen(argv[4], "w");
    stage.has_trouble = !trouble || strcmp(trouble, "0") != 0;
    stage.next_port = 12000 + (getpid() % 180) * 100; /* below those of outgoing connections */
    if (!stage.record || !set_case(argv[1]) || rp_loop_init(&stage.loop, false) < 0)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_termination);
    signal(SIGINT, on_termination);
    srand48(getpid());
    rp_log_setup("stage", rp_log_level_named("error"));
    stage.began_at = rp_loop_now(&stage.loop);
    rp_http_client_init(&stage.client, &stage.loop, 200, 600, 1 << 22);
    stage.net = rp_http_client_net(&stage.client);
    open_server(&stage.store_server, stage.store_addr, store_request, NULL);
    open_server(&stage.cloud_server, stage.cloud_addr, cloud_request, NULL);
    write_settings();
    for (int i = 0; i < NODES; i++)
        start_node(i);
    step_timer = (struct rp_timer){.fn = on_step};
    rp_timer_set(&stage.loop, &step_timer, STEP_S);
    return rp_loop_run(&stage.loop) < 0 ? 2 : 0;
}
