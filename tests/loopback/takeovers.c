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
#define START_TIMEOUT_S 60    /* the run fails if no task starts under a new token within it */
#define DRAIN_TIMEOUT_S 100.0 /* after the last end, for all jobs to finish */
#define JOB_INTERVAL_S 0.35
#define PORT_TRIES 200 /* consecutive ports that are tried, since some may be in use */
#define ADDR_MAX 32
#define CALL_TIMEOUT_S 5
#define MAX_BODY_BYTES (1 << 20)

struct process {
    pid_t pid;         /* 0: not running */
    bool is_stopped;   /* by SIGSTOP, until SIGCONT at resumes_at */
    double resumes_at; /* when it is restarted or continued */
    char settings_file[128];
    char client_addr[ADDR_MAX];
};

/* The server at which one of the simulated workers is reached. */
struct worker_server {
    struct world *world;
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

struct world {
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
    double claimed_at;    /* when another node held the leader's key after it; 0: not yet */
    uint64_t ended_token; /* token of the last leader that was ended */
    double next_job_at;
    double downtime_s; /* each end is a kill with a restart after this time; 0: ends vary */
    bool was_stopped;  /* the last leader was stopped for a while, not killed */
};

/* ---- servers of the simulated services and workers ---- */

static void on_sim_response(void *arg, const struct rp_response *answer) {
    struct rp_request *req = arg;
    req->respond(req, answer->status ? answer->status : 503, answer->len ? answer->body : "{}", 0);
}

static void on_store_request(void *arg, struct rp_request *req) {
    struct world *world = arg;
    sim_remote_request(world->sim, "state", req->method, req->target, req->body, on_sim_response,
                       req);
}

static void on_cloud_request(void *arg, struct rp_request *req) {
    struct world *world = arg;
    sim_remote_request(world->sim, "cloud", req->method, req->target, req->body, on_sim_response,
                       req);
}

static void on_worker_request(void *arg, struct rp_request *req) {
    struct worker_server *self = arg;
    const struct sim_worker *worker = &self->world->sim->workers[self - self->world->workers];
    if (worker->used && worker->up)
        sim_remote_request(self->world->sim, worker->name, req->method, req->target, req->body,
                           on_sim_response, req);
    else
        req->respond(req, 503, "{}", 0);
}

static void call_node(void *ctx, int node, const char *method, const char *target, const char *body,
                      rp_response_fn on_response, void *arg) {
    struct world *world = ctx;
    struct rp_net net = rp_http_client_net(&world->client);
    net.call_on_own_connection(net.ctx, world->nodes[node].client_addr, method, target, body,
                               CALL_TIMEOUT_S, on_response, arg);
}

static const char *worker_addr(void *ctx, int worker) {
    struct world *world = ctx;
    return world->workers[worker].addr;
}

static void open_server(struct world *world, struct rp_http_server *server, char addr[ADDR_MAX],
                        rp_request_fn fn, void *arg) {
    static const struct rp_http_limits limits = {.max_connections = 500,
                                                 .max_body_bytes = MAX_BODY_BYTES,
                                                 .idle_timeout_s = 300,
                                                 .receive_timeout_s = 10,
                                                 .send_timeout_s = 10};
    for (int tries = 0; tries < PORT_TRIES; tries++) {
        snprintf(addr, ADDR_MAX, "127.0.0.1:%d", world->next_port++);
        if (rp_http_server_open(server, &world->loop, addr, &limits, fn, arg) == 0)
            return;
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

/* ---- the processes ---- */

static void spawn_node(struct world *world, int index) {
    struct process *process = &world->nodes[index];
    char log[160];
    snprintf(log, sizeof log, "%s/node-%d.log", world->directory, index);
    process->pid = fork();
    if (process->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0)
            dup2(fd, STDERR_FILENO);
        execl(world->program, world->program, "--operator", world->operator_file, "--config",
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
static void write_node_settings(struct world *world, int index, char peers[NODES][ADDR_MAX],
                                const char *store, const char *cloud) {
    struct process *process = &world->nodes[index];
    json_t *settings = json_loads(world->sim->nodes[index].settings, 0, NULL);
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
             world->directory, index);
    if (json_dump_file(settings, process->settings_file, JSON_INDENT(1)) < 0) {
        perror(process->settings_file);
        exit(2);
    }
    json_decref(settings);
}

static void write_settings(struct world *world, const char *store, const char *cloud) {
    char peers[NODES][ADDR_MAX];
    for (int i = 0; i < NODES; i++) {
        struct process *process = &world->nodes[i];
        snprintf(process->client_addr, sizeof process->client_addr, "127.0.0.1:%d",
                 world->next_port++);
        snprintf(peers[i], sizeof peers[i], "127.0.0.1:%d", world->next_port++);
    }
    for (int i = 0; i < NODES; i++)
        write_node_settings(world, i, peers, store, cloud);
}

/* ---- the course of a run ---- */

static int key_holder(const struct world *world) {
    const json_t *key = sim_find_record(world->sim, RP_KEY_LEADER);
    const char *node = json_string_value(json_object_get(key, "node"));
    return node ? node[1] - '0' : -1;
}

/* The only function that changes the run's phase. */
static void set_phase(struct world *world, enum phase phase) {
    world->phase = phase;
    world->phase_since = world->sim->now;
}

static void submit_next_job(struct world *world) {
    struct sim *sim = world->sim;
    if (sim->now < world->next_job_at || sim->n_jobs >= SIM_JOBS - 8 || world->phase == DRAINING)
        return;
    world->next_job_at = sim->now + JOB_INTERVAL_S;
    int n = sim->n_jobs;
    double cancel_at = n % 6 == 5 ? sim->now + 2 + n % 4 : 0;
    if (n == 0)
        (void)sim_submit(sim, sim->now, "service", 2, 1, 0, 0);
    else if (n % 9 == 4)
        (void)sim_submit(sim, sim->now, "ensemble", 2 + (unsigned)(n % 2), 2, 4, cancel_at);
    else
        (void)sim_submit(sim, sim->now, "sweep", 2 + (unsigned)(n % 4), 1, 2.5, cancel_at);
}

static void end_leader(struct world *world, int leader) {
    struct process *process = &world->nodes[leader];
    world->was_stopped = world->downtime_s == 0 && (world->n_ends + (int)world->seed) % 4 == 3;
    world->ended_token = world->sim->started_token;
    world->ended_at = world->sim->now;
    world->claimed_at = 0;
    if (world->was_stopped) {
        kill(process->pid, SIGSTOP);
        process->is_stopped = true;
        process->resumes_at = world->sim->now + 6 + world->n_ends % 5;
        world->n_stopped++;
    } else {
        kill_node(process);
        process->resumes_at =
            world->sim->now + (world->downtime_s > 0 ? world->downtime_s : 4 + world->n_ends % 3);
    }
    set_phase(world, LEADERLESS); /* STEADY -> LEADERLESS: the leader was killed or stopped */
}

/* Restarts killed nodes and continues stopped ones once their downtime is over. Exits if a node has
 * terminated by itself. */
static void restart_or_continue_nodes(struct world *world) {
    for (int i = 0; i < NODES; i++) {
        struct process *process = &world->nodes[i];
        if (process->pid && !process->is_stopped &&
            waitpid(process->pid, NULL, WNOHANG) == process->pid) {
            fprintf(stderr, "node %d terminated unexpectedly\n", i);
            exit(1);
        }
        if (world->sim->now < process->resumes_at)
            continue;
        if (process->is_stopped) {
            kill(process->pid, SIGCONT);
            process->is_stopped = false;
        } else if (process->pid == 0) {
            spawn_node(world, i);
        }
    }
}

static bool are_all_running(const struct world *world) {
    for (int i = 0; i < NODES; i++)
        if (!world->nodes[i].pid || world->nodes[i].is_stopped)
            return false;
    return true;
}

/* Kills the nodes, prints the result and exits with the code. */
static _Noreturn void finish(struct world *world, int exit_code) {
    for (int i = 0; i < NODES; i++) {
        if (world->nodes[i].is_stopped)
            kill(world->nodes[i].pid, SIGCONT);
        kill_node(&world->nodes[i]);
    }
    printf("world seed=%lu ends=%d stopped=%d jobs=%d done=%lu starts=%lu rules=%s\n", world->seed,
           world->n_ends, world->n_stopped, world->sim->n_jobs, world->sim->n_done_jobs,
           world->sim->n_starts, *world->sim->violation ? world->sim->violation : "kept");
    fflush(stdout);
    exit(exit_code);
}

static bool is_key_held_by_running_node(const struct world *world) {
    int holder = key_holder(world);
    return holder >= 0 && world->nodes[holder].pid && !world->nodes[holder].is_stopped;
}

/* In phase LEADERLESS: checks whether another leader has started a task, and ends the run if none
 * has within START_TIMEOUT_S. */
static void check_failover(struct world *world) {
    struct sim *sim = world->sim;
    if (world->claimed_at == 0 && is_key_held_by_running_node(world))
        world->claimed_at = sim->now;
    if (sim->started_token > world->ended_token) {
        printf("end seed=%lu n=%d how=%s claimed_s=%.2f first_start_s=%.2f\n", world->seed,
               world->n_ends, world->was_stopped ? "stop" : "kill",
               world->claimed_at - world->ended_at, sim->started_at - world->ended_at);
        fflush(stdout);
        world->n_ends++;
        /* LEADERLESS -> STEADY or DRAINING: the next leader has started a task. */
        set_phase(world, world->n_ends == world->n_required_ends ? DRAINING : STEADY);
    } else if (sim->now - world->ended_at > START_TIMEOUT_S) {
        printf("end seed=%lu n=%d how=%s no start for %d s\n", world->seed, world->n_ends,
               world->was_stopped ? "stop" : "kill", START_TIMEOUT_S);
        finish(world, 1);
    }
}

/* In phase DRAINING: ends the run once all jobs have finished or DRAIN_TIMEOUT_S has passed. */
static void finish_when_drained(struct world *world) {
    struct sim *sim = world->sim;
    if (sim->faults_ended_at == 0) {
        sim_end_faults(sim);
        sim->jobs[0].cancel_at = sim->now; /* the service ends only by its cancellation */
    }
    if (!sim_all_terminal(sim) && sim->now < world->phase_since + DRAIN_TIMEOUT_S)
        return;
    sim_check_served(sim);
    finish(world, *sim->violation ? 1 : 0);
}

static bool is_ready_for_next_end(const struct world *world) {
    bool has_been_steady = world->sim->now > world->phase_since + STEADY_S;
    return are_all_running(world) && has_been_steady && key_holder(world) >= 0;
}

static void on_step(void *arg) {
    struct world *world = arg;
    struct sim *sim = world->sim;
    rp_timer_set(&world->loop, &world->timer, STEP_S);
    submit_next_job(world);
    sim_step(sim, rp_ts_since(rp_loop_now(&world->loop), world->started_at));
    restart_or_continue_nodes(world);
    if (*sim->violation)
        finish(world, 1);
    switch (world->phase) {
    case STARTING:
        if (sim->started_token > 0 && sim->now > STARTUP_S)
            set_phase(world, STEADY); /* STARTING -> STEADY: the first leader has started a task */
        break;
    case STEADY:
        if (is_ready_for_next_end(world))
            end_leader(world, key_holder(world));
        break;
    case LEADERLESS:
        check_failover(world);
        break;
    case DRAINING:
        finish_when_drained(world);
        break;
    }
}

/* Opens the servers of the simulated services and workers and writes the nodes' settings. */
static void open_world(struct world *world) {
    char store[ADDR_MAX];
    char cloud[ADDR_MAX];
    open_server(world, &world->store, store, on_store_request, world);
    open_server(world, &world->cloud, cloud, on_cloud_request, world);
    for (int i = 0; i < WORKERS; i++) {
        struct worker_server *worker = &world->workers[i];
        worker->world = world;
        open_server(world, &worker->server, worker->addr, on_worker_request, worker);
    }
    write_settings(world, store, cloud);
}

int main(int argc, char **argv) {
    static const struct sim_size size = {WORKERS, 6, 2, 14, 39, 200, 20, 5};
    static struct world world;
    if (argc < 7 || argc > 8) {
        fprintf(stderr,
                "usage: takeovers PROGRAM OPERATOR_FILE DIRECTORY PORT SEED ENDS [DOWNTIME_S]\n");
        return 2;
    }
    world.program = argv[1];
    world.operator_file = argv[2];
    world.directory = argv[3];
    world.next_port = (int)strtol(argv[4], NULL, 10);
    world.seed = strtoul(argv[5], NULL, 10);
    world.n_required_ends = (int)strtol(argv[6], NULL, 10);
    world.downtime_s = argc > 7 ? strtod(argv[7], NULL) : 0;
    const struct sim_remote remote = {.ctx = &world, .call = call_node, .worker_addr = worker_addr};
    signal(SIGPIPE, SIG_IGN);
    rp_log_setup("world", rp_log_level_named("error"));
    if (rp_loop_init(&world.loop, false) < 0)
        return 2;
    rp_http_client_init(&world.client, &world.loop, 64, 400, MAX_BODY_BYTES);
    world.sim = sim_new_remote(world.seed, NODES, &size, &remote);
    open_world(&world);
    for (int i = 0; i < NODES; i++)
        spawn_node(&world, i);
    world.started_at = rp_loop_now(&world.loop);
    world.timer = (struct rp_timer){.fn = on_step, .arg = &world};
    rp_timer_set(&world.loop, &world.timer, STEP_S);
    return rp_loop_run(&world.loop) < 0 ? 2 : 0;
}
