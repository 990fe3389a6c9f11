/* Measures failovers with real processes on loopback: kills or stops the leading node again and
 * again. The simulation (tests/simulation/) provides the key-value store, the cloud, the workers
 * and the users, and checks its rules after each step (rules.c). Prints a line for each end of a
 * leader. CI runs it with two ends and checks only the rules: more take minutes, and the times
 * depend on the machine. tests/loopback/run starts several. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/log.h"
#include "http/client.h"
#include "http/server.h"
#include "simulation/sim.h"

#define NODES 3
#define WORKERS 40
#define STEP_S 0.02
#define STARTUP_S 20.0        /* time before the first leader may be ended */
#define STEADY_S 3.0          /* time for which a leader leads before it is ended */
#define START_TIMEOUT_S 60    /* the run fails if no task starts under a new token in this time */
#define DRAIN_TIMEOUT_S 100.0 /* after the last end, for all jobs to finish */
#define JOB_INTERVAL_S 0.35
#define PORT_TRIES 200 /* consecutive ports that are tried, since some may be in use */
#define ADDR_MAX 32
#define CALL_TIMEOUT_S 5
#define MAX_BODY_BYTES (1 << 20)

struct process {
    pid_t pid;         /* 0: not running */
    bool is_stopped;   /* by SIGSTOP, until SIGCONT at resumes_at */
    double resumes_at; /* when the process is restarted or continued */
    char settings_file[128];
    char client_addr[ADDR_MAX];
};

/* The server at which one of the simulated workers is reached. */
struct worker_server {
    struct cluster *cluster;
    struct rp_http_server server;
    char addr[ADDR_MAX];
};

/* Phases of a run and the edges between them, each made by set_phase:
 * - STARTING -> STEADY: the first leader has started a task and STARTUP_S has passed.
 * - STEADY -> LEADERLESS: the leader was ended after STEADY_S.
 * - LEADERLESS -> STEADY: the next leader has started a task.
 * - LEADERLESS -> DRAINING: the next leader has started a task after the last end. */
enum phase {
    STARTING,   /* no leader has started a task yet */
    STEADY,     /* a leader leads and will be ended */
    LEADERLESS, /* the leader was ended and no other one has started a task */
    DRAINING    /* no more ends and no new jobs; the submitted jobs finish */
};

struct cluster {
    struct rp_loop loop;
    struct rp_http_client client;
    struct rp_http_server store;
    struct rp_http_server cloud;
    struct worker_server workers[WORKERS];
    struct process nodes[NODES];
    struct sim *sim;
    struct rp_timer timer;
    struct timespec started_at;
    const char *program;
    const char *operator_file;
    const char *directory;
    unsigned long seed;
    int next_port;
    int n_required_ends; /* ends of a leader after which the run drains */
    int n_ends;          /* ends of a leader after which another one has started a task */
    int n_stopped;
    enum phase phase;
    double phase_since;
    double ended_at;      /* time of the last end of a leader */
    double claimed_at;    /* when another node held the leader's key after that end; 0: not yet */
    uint64_t ended_token; /* fencing token of the last leader that was ended */
    double next_job_at;
    double downtime_s; /* each end is a kill with a restart after this time; 0: kills and stops */
    bool was_stopped;  /* the last leader was stopped for a while, not killed */
};

/* ---- servers of the simulated services and workers ---- */

static void on_sim_response(void *arg, const struct rp_response *answer) {
    struct rp_request *req = arg;
    req->respond(req, answer->status ? answer->status : 503, answer->len ? answer->body : "{}", 0);
}

static void on_store_request(void *arg, struct rp_request *req) {
    struct cluster *cluster = arg;
    sim_remote_request(cluster->sim, "state", req->method, req->target, req->body, on_sim_response,
                       req);
}

static void on_cloud_request(void *arg, struct rp_request *req) {
    struct cluster *cluster = arg;
    sim_remote_request(cluster->sim, "cloud", req->method, req->target, req->body, on_sim_response,
                       req);
}

static void on_worker_request(void *arg, struct rp_request *req) {
    struct worker_server *self = arg;
    const struct sim_worker *worker = &self->cluster->sim->workers[self - self->cluster->workers];
    if (worker->used && worker->up)
        sim_remote_request(self->cluster->sim, worker->name, req->method, req->target, req->body,
                           on_sim_response, req);
    else
        req->respond(req, 503, "{}", 0);
}

static void call_node(void *ctx, int node, const char *method, const char *target, const char *body,
                      rp_response_fn on_response, void *arg) {
    struct cluster *cluster = ctx;
    struct rp_net net = rp_http_client_net(&cluster->client);
    net.call_on_own_connection(net.ctx, cluster->nodes[node].client_addr, method, target, body,
                               CALL_TIMEOUT_S, on_response, arg);
}

static const char *worker_addr(void *ctx, int worker) {
    struct cluster *cluster = ctx;
    return cluster->workers[worker].addr;
}

static void open_server(struct cluster *cluster, struct rp_http_server *server, char addr[ADDR_MAX],
                        rp_request_fn fn, void *arg) {
    static const struct rp_http_limits limits = {.max_connections = 500,
                                                 .max_body_bytes = MAX_BODY_BYTES,
                                                 .idle_timeout_s = 300,
                                                 .receive_timeout_s = 10,
                                                 .send_timeout_s = 10};
    for (int tries = 0; tries < PORT_TRIES; tries++) {
        snprintf(addr, ADDR_MAX, "127.0.0.1:%d", cluster->next_port++);
        if (rp_http_server_open(server, &cluster->loop, addr, &limits, fn, arg) == 0)
            return;
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

/* ---- the processes ---- */

static void spawn_node(struct cluster *cluster, int index) {
    struct process *process = &cluster->nodes[index];
    char log[160];
    snprintf(log, sizeof log, "%s/node-%d.log", cluster->directory, index);
    process->pid = fork();
    if (process->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0)
            dup2(fd, STDERR_FILENO);
        execl(cluster->program, cluster->program, "--operator", cluster->operator_file, "--config",
              process->settings_file, (char *)NULL);
        _exit(127);
    }
    if (process->pid < 0) {
        perror("fork");
        exit(2);
    }
}

static void kill_node(struct process *process) {
    if (process->pid == 0)
        return;
    kill(process->pid, SIGKILL);
    while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR)
        ;
    process->pid = 0;
    process->is_stopped = false;
}

/* Writes a node's settings: those of the simulation, with real addresses. */
static void write_node_settings(struct cluster *cluster, int index, char peers[NODES][ADDR_MAX],
                                const char *store, const char *cloud) {
    struct process *process = &cluster->nodes[index];
    json_t *settings = json_loads(cluster->sim->nodes[index].settings, 0, NULL);
    json_t *seed;
    size_t k;
    json_object_set_new(settings, "client_listen", json_string(process->client_addr));
    json_object_set_new(settings, "peer_listen", json_string(peers[index]));
    json_object_set_new(settings, "external",
                        json_pack("{s:s,s:s}", "cloud", cloud, "state", store));
    json_array_foreach(json_object_get(settings, "seeds"), k, seed) {
        const char *name = json_string_value(json_object_get(seed, "node_name"));
        json_object_set_new(seed, "addr", json_string(peers[name[1] - '0']));
    }
    snprintf(process->settings_file, sizeof process->settings_file, "%s/node-%d.json",
             cluster->directory, index);
    if (json_dump_file(settings, process->settings_file, JSON_INDENT(1)) < 0) {
        perror(process->settings_file);
        exit(2);
    }
    json_decref(settings);
}

static void write_settings(struct cluster *cluster, const char *store, const char *cloud) {
    char peers[NODES][ADDR_MAX];
    for (int i = 0; i < NODES; i++) {
        struct process *process = &cluster->nodes[i];
        snprintf(process->client_addr, sizeof process->client_addr, "127.0.0.1:%d",
                 cluster->next_port++);
        snprintf(peers[i], sizeof peers[i], "127.0.0.1:%d", cluster->next_port++);
    }
    for (int i = 0; i < NODES; i++)
        write_node_settings(cluster, i, peers, store, cloud);
}

/* ---- the course of a run ---- */

static int key_holder(const struct cluster *cluster) {
    const json_t *key = sim_find_record(cluster->sim, RP_KEY_LEADER);
    const char *node = json_string_value(json_object_get(key, "node"));
    return node ? node[1] - '0' : -1;
}

/* The only function that changes the run's phase. */
static void set_phase(struct cluster *cluster, enum phase phase) {
    cluster->phase = phase;
    cluster->phase_since = cluster->sim->now;
}

static void submit_next_job(struct cluster *cluster) {
    struct sim *sim = cluster->sim;
    if (sim->now < cluster->next_job_at || sim->n_jobs >= SIM_JOBS - 8 ||
        cluster->phase == DRAINING)
        return;
    cluster->next_job_at = sim->now + JOB_INTERVAL_S;
    int n = sim->n_jobs;
    double cancel_at = n % 6 == 5 ? sim->now + 2 + n % 4 : 0;
    if (n == 0)
        (void)sim_submit(sim, sim->now, "service", 2, 1, 0, 0);
    else if (n % 9 == 4)
        (void)sim_submit(sim, sim->now, "ensemble", 2 + (unsigned)(n % 2), 2, 4, cancel_at);
    else
        (void)sim_submit(sim, sim->now, "sweep", 2 + (unsigned)(n % 4), 1, 2.5, cancel_at);
}

static void end_leader(struct cluster *cluster, int leader) {
    struct process *process = &cluster->nodes[leader];
    cluster->was_stopped =
        cluster->downtime_s == 0 && (cluster->n_ends + (int)cluster->seed) % 4 == 3;
    cluster->ended_token = cluster->sim->started_token;
    cluster->ended_at = cluster->sim->now;
    cluster->claimed_at = 0;
    if (cluster->was_stopped) {
        kill(process->pid, SIGSTOP);
        process->is_stopped = true;
        process->resumes_at = cluster->sim->now + 6 + cluster->n_ends % 5;
        cluster->n_stopped++;
    } else {
        kill_node(process);
        process->resumes_at =
            cluster->sim->now +
            (cluster->downtime_s > 0 ? cluster->downtime_s : 4 + cluster->n_ends % 3);
    }
    set_phase(cluster, LEADERLESS); /* STEADY -> LEADERLESS: the leader was killed or stopped */
}

/* Restarts killed nodes and continues stopped ones once their downtime is over. Exits if a node has
 * terminated by itself. */
static void restart_or_continue_nodes(struct cluster *cluster) {
    for (int i = 0; i < NODES; i++) {
        struct process *process = &cluster->nodes[i];
        if (process->pid && !process->is_stopped &&
            waitpid(process->pid, NULL, WNOHANG) == process->pid) {
            fprintf(stderr, "node %d terminated unexpectedly\n", i);
            exit(1);
        }
        if (cluster->sim->now < process->resumes_at)
            continue;
        if (process->is_stopped) {
            kill(process->pid, SIGCONT);
            process->is_stopped = false;
        } else if (process->pid == 0) {
            spawn_node(cluster, i);
        }
    }
}

static bool are_all_running(const struct cluster *cluster) {
    for (int i = 0; i < NODES; i++)
        if (!cluster->nodes[i].pid || cluster->nodes[i].is_stopped)
            return false;
    return true;
}

/* Kills the nodes, prints the result and exits with the code. */
static _Noreturn void finish(struct cluster *cluster, int exit_code) {
    for (int i = 0; i < NODES; i++) {
        if (cluster->nodes[i].is_stopped)
            kill(cluster->nodes[i].pid, SIGCONT);
        kill_node(&cluster->nodes[i]);
    }
    printf("cluster seed=%lu ends=%d stopped=%d jobs=%d done=%lu starts=%lu rules=%s\n",
           cluster->seed, cluster->n_ends, cluster->n_stopped, cluster->sim->n_jobs,
           cluster->sim->n_done_jobs, cluster->sim->n_starts,
           *cluster->sim->violation ? cluster->sim->violation : "kept");
    fflush(stdout);
    exit(exit_code);
}

static bool is_key_held_by_running_node(const struct cluster *cluster) {
    int holder = key_holder(cluster);
    return holder >= 0 && cluster->nodes[holder].pid && !cluster->nodes[holder].is_stopped;
}

/* In phase LEADERLESS: checks whether another leader has started a task, and ends the run if none
 * has within START_TIMEOUT_S. */
static void check_failover(struct cluster *cluster) {
    struct sim *sim = cluster->sim;
    if (cluster->claimed_at == 0 && is_key_held_by_running_node(cluster))
        cluster->claimed_at = sim->now;
    if (sim->started_token > cluster->ended_token) {
        printf("end seed=%lu n=%d how=%s claimed_s=%.2f first_start_s=%.2f\n", cluster->seed,
               cluster->n_ends, cluster->was_stopped ? "stop" : "kill",
               cluster->claimed_at - cluster->ended_at, sim->started_at - cluster->ended_at);
        fflush(stdout);
        cluster->n_ends++;
        /* LEADERLESS -> STEADY or DRAINING: the next leader has started a task. */
        set_phase(cluster, cluster->n_ends == cluster->n_required_ends ? DRAINING : STEADY);
    } else if (sim->now - cluster->ended_at > START_TIMEOUT_S) {
        printf("end seed=%lu n=%d how=%s no start for %d s\n", cluster->seed, cluster->n_ends,
               cluster->was_stopped ? "stop" : "kill", START_TIMEOUT_S);
        finish(cluster, 1);
    }
}

/* In phase DRAINING: ends the run once all jobs have finished or DRAIN_TIMEOUT_S has passed. */
static void finish_when_drained(struct cluster *cluster) {
    struct sim *sim = cluster->sim;
    if (sim->faults_ended_at == 0) {
        sim_end_faults(sim);
        sim->jobs[0].cancel_at = sim->now; /* the service ends only by its cancellation */
    }
    if (!sim_all_terminal(sim) && sim->now < cluster->phase_since + DRAIN_TIMEOUT_S)
        return;
    sim_check_served(sim);
    finish(cluster, *sim->violation ? 1 : 0);
}

static bool is_ready_for_next_end(const struct cluster *cluster) {
    bool has_been_steady = cluster->sim->now > cluster->phase_since + STEADY_S;
    return are_all_running(cluster) && has_been_steady && key_holder(cluster) >= 0;
}

static void on_step(void *arg) {
    struct cluster *cluster = arg;
    struct sim *sim = cluster->sim;
    rp_timer_set(&cluster->loop, &cluster->timer, STEP_S);
    submit_next_job(cluster);
    sim_step(sim, rp_ts_since(rp_loop_now(&cluster->loop), cluster->started_at));
    restart_or_continue_nodes(cluster);
    if (*sim->violation)
        finish(cluster, 1);
    switch (cluster->phase) {
    case STARTING:
        if (sim->started_token > 0 && sim->now > STARTUP_S)
            set_phase(cluster,
                      STEADY); /* STARTING -> STEADY: the first leader has started a task */
        break;
    case STEADY:
        if (is_ready_for_next_end(cluster))
            end_leader(cluster, key_holder(cluster));
        break;
    case LEADERLESS:
        check_failover(cluster);
        break;
    case DRAINING:
        finish_when_drained(cluster);
        break;
    }
}

/* Opens the servers of the simulated services and workers and writes the nodes' settings. */
static void open_cluster(struct cluster *cluster) {
    char store[ADDR_MAX];
    char cloud[ADDR_MAX];
    open_server(cluster, &cluster->store, store, on_store_request, cluster);
    open_server(cluster, &cluster->cloud, cloud, on_cloud_request, cluster);
    for (int i = 0; i < WORKERS; i++) {
        struct worker_server *worker = &cluster->workers[i];
        worker->cluster = cluster;
        open_server(cluster, &worker->server, worker->addr, on_worker_request, worker);
    }
    write_settings(cluster, store, cloud);
}

int main(int argc, char **argv) {
    static const struct sim_size size = {WORKERS, 6, 2, 14, 39, 200, 20, 5};
    static struct cluster cluster;
    if (argc < 7 || argc > 8) {
        fprintf(stderr,
                "usage: takeovers PROGRAM OPERATOR_FILE DIRECTORY PORT SEED ENDS [DOWNTIME_S]\n");
        return 2;
    }
    cluster.program = argv[1];
    cluster.operator_file = argv[2];
    cluster.directory = argv[3];
    cluster.next_port = (int)strtol(argv[4], NULL, 10);
    cluster.seed = strtoul(argv[5], NULL, 10);
    cluster.n_required_ends = (int)strtol(argv[6], NULL, 10);
    cluster.downtime_s = argc > 7 ? strtod(argv[7], NULL) : 0;
    const struct sim_remote remote = {
        .ctx = &cluster, .call = call_node, .worker_addr = worker_addr};
    signal(SIGPIPE, SIG_IGN);
    rp_log_setup("cluster", rp_log_level_named("error"));
    if (rp_loop_init(&cluster.loop, false) < 0)
        return 2;
    rp_http_client_init(&cluster.client, &cluster.loop, 64, 400, MAX_BODY_BYTES);
    cluster.sim = sim_new_remote(cluster.seed, NODES, &size, &remote);
    open_cluster(&cluster);
    for (int i = 0; i < NODES; i++)
        spawn_node(&cluster, i);
    cluster.started_at = rp_loop_now(&cluster.loop);
    cluster.timer = (struct rp_timer){.fn = on_step, .arg = &cluster};
    rp_timer_set(&cluster.loop, &cluster.timer, STEP_S);
    return rp_loop_run(&cluster.loop) < 0 ? 2 : 0;
}
