/* Ends the leading controller again and again, on loopback: real processes of the program, with the
 * simulated world's key-value store, cloud, workers and users as stand-ins around them, and its
 * rules checked after each step (tests/simulation/rules.c). Prints a line for each end of a
 * leader. Not a test of CI: it takes minutes, and its times are the machine's. tests/loopback/run
 * starts several. */
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
#define STARTING_S 20.0 /* until the first leader may be ended */
#define STEADY_S 3.0    /* a leader has led for so long before it is ended */
#define GIVE_UP_S 60    /* without a start under a new token */
#define QUIET_S 100.0   /* after the last end, for all jobs to come to theirs */
#define JOB_EVERY_S 0.35
#define PORT_TRIES 200 /* ports in use are passed over */
#define ADDR_MAX 32
#define CALL_TIMEOUT_S 5
#define MAX_BODY_BYTES (1 << 20)

struct process {
    pid_t pid;         /* 0: not running */
    bool is_stopped;   /* by a signal, to go on later */
    double resumes_at; /* is started again, or goes on */
    char settings_file[128];
    char client_addr[ADDR_MAX];
};

/* Where one of the simulated workers is reached. */
struct worker_server {
    struct world *world;
    struct rp_http_server server;
    char addr[ADDR_MAX];
};

enum phase {
    STARTING,   /* until the first leader has started work */
    STEADY,     /* a leader leads, and is ended after a while */
    LEADERLESS, /* it was ended, and no other one has started work */
    QUIET       /* no more ends and jobs: all jobs come to their end */
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
    struct timespec began;
    const char *program;
    const char *operator_file;
    const char *folder;
    unsigned long seed;
    int next_port;
    int n_wanted; /* ends of a leader, in all */
    int n_ended;  /* after which another one has started work */
    int n_stopped;
    enum phase state;
    double phase_since;
    double ended_at;   /* the last end of a leader */
    double claimed_at; /* when another node held the leader's key after it, 0: not yet */
    uint64_t ended_token;
    double next_job_at;
    double away_s;    /* all ends are kills, and the process is back after so long; 0: it varies */
    bool was_stopped; /* the leader was stopped for a while rather than killed */
};

/* ---- the world's servers ---- */

static void on_sim_answer(void *arg, const struct rp_answer *answer) {
    struct rp_request *req = arg;
    req->respond(req, answer->status ? answer->status : 503, answer->len ? answer->body : "{}", 0);
}

static void on_store_request(void *arg, struct rp_request *req) {
    struct world *world = arg;
    sim_remote_request(world->sim, "state", req->method, req->target, req->body, on_sim_answer,
                       req);
}

static void on_cloud_request(void *arg, struct rp_request *req) {
    struct world *world = arg;
    sim_remote_request(world->sim, "cloud", req->method, req->target, req->body, on_sim_answer,
                       req);
}

static void on_worker_request(void *arg, struct rp_request *req) {
    struct worker_server *self = arg;
    const struct sim_worker *worker = &self->world->sim->workers[self - self->world->workers];
    if (worker->used && worker->up)
        sim_remote_request(self->world->sim, worker->name, req->method, req->target, req->body,
                           on_sim_answer, req);
    else
        req->respond(req, 503, "{}", 0);
}

static void call_node(void *ctx, int node, const char *method, const char *target, const char *body,
                      rp_answer_fn answered, void *arg) {
    struct world *world = ctx;
    struct rp_net net = rp_http_client_net(&world->client);
    net.call_on_own_connection(net.ctx, world->nodes[node].client_addr, method, target, body,
                               CALL_TIMEOUT_S, answered, arg);
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
    snprintf(log, sizeof log, "%s/node-%d.log", world->folder, index);
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

/* One node's settings: those of the simulated world, with real addresses. */
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
             world->folder, index);
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

/* Every change of the run's phase. */
static void set_state(struct world *world, enum phase phase) {
    world->state = phase;
    world->phase_since = world->sim->now;
}

static void submit_next_job(struct world *world) {
    struct sim *sim = world->sim;
    if (sim->now < world->next_job_at || sim->n_jobs >= SIM_JOBS - 8 || world->state == QUIET)
        return;
    world->next_job_at = sim->now + JOB_EVERY_S;
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
    world->was_stopped = world->away_s == 0 && (world->n_ended + (int)world->seed) % 4 == 3;
    world->ended_token = world->sim->started_token;
    world->ended_at = world->sim->now;
    world->claimed_at = 0;
    if (world->was_stopped) {
        kill(process->pid, SIGSTOP);
        process->is_stopped = true;
        process->resumes_at = world->sim->now + 6 + world->n_ended % 5;
        world->n_stopped++;
    } else {
        kill_node(process);
        process->resumes_at =
            world->sim->now + (world->away_s > 0 ? world->away_s : 4 + world->n_ended % 3);
    }
    set_state(world, LEADERLESS); /* STEADY -> LEADERLESS */
}

/* Nodes come back after a while: a process that is started anew, or one that goes on where it stood
 * still. */
static void resume_nodes(struct world *world) {
    for (int i = 0; i < NODES; i++) {
        struct process *process = &world->nodes[i];
        if (process->pid && !process->is_stopped &&
            waitpid(process->pid, NULL, WNOHANG) == process->pid) {
            fprintf(stderr, "node %d ended by itself\n", i);
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

/* Ends the nodes, prints the result and ends this program with the exit code. */
static _Noreturn void finish(struct world *world, int exit_code) {
    for (int i = 0; i < NODES; i++) {
        if (world->nodes[i].is_stopped)
            kill(world->nodes[i].pid, SIGCONT);
        kill_node(&world->nodes[i]);
    }
    printf("world seed=%lu ends=%d stopped=%d jobs=%d done=%lu starts=%lu rules=%s\n", world->seed,
           world->n_ended, world->n_stopped, world->sim->n_jobs, world->sim->n_done_jobs,
           world->sim->n_starts, *world->sim->violation ? world->sim->violation : "kept");
    fflush(stdout);
    exit(exit_code);
}

static bool is_key_held_by_running_node(const struct world *world) {
    int holder = key_holder(world);
    return holder >= 0 && world->nodes[holder].pid && !world->nodes[holder].is_stopped;
}

/* Without a leader: whether another one has started work, or it takes too long. */
static void check_failover(struct world *world) {
    struct sim *sim = world->sim;
    if (world->claimed_at == 0 && is_key_held_by_running_node(world))
        world->claimed_at = sim->now;
    if (sim->started_token > world->ended_token) {
        printf("end seed=%lu n=%d how=%s claimed_s=%.2f first_start_s=%.2f\n", world->seed,
               world->n_ended, world->was_stopped ? "stop" : "kill",
               world->claimed_at - world->ended_at, sim->started_at - world->ended_at);
        fflush(stdout);
        world->n_ended++;
        /* LEADERLESS -> STEADY or QUIET: the next leader has started work. */
        set_state(world, world->n_ended == world->n_wanted ? QUIET : STEADY);
    } else if (sim->now - world->ended_at > GIVE_UP_S) {
        printf("end seed=%lu n=%d how=%s no start for %d s\n", world->seed, world->n_ended,
               world->was_stopped ? "stop" : "kill", GIVE_UP_S);
        finish(world, 1);
    }
}

/* After the last end: finishes once all jobs have come to theirs, or the time for it is over. */
static void finish_when_served(struct world *world) {
    struct sim *sim = world->sim;
    if (sim->faults_ended_at == 0) {
        sim_end_faults(sim);
        sim->jobs[0].cancel_at = sim->now; /* the service ends only so */
    }
    if (!sim_all_terminal(sim) && sim->now < world->phase_since + QUIET_S)
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
    sim_step(sim, rp_ts_since(rp_loop_now(&world->loop), world->began));
    resume_nodes(world);
    if (*sim->violation)
        finish(world, 1);
    switch (world->state) {
    case STARTING:
        if (sim->started_token > 0 && sim->now > STARTING_S)
            set_state(world, STEADY); /* STARTING -> STEADY: the first leader has started work */
        break;
    case STEADY:
        if (is_ready_for_next_end(world))
            end_leader(world, key_holder(world));
        break;
    case LEADERLESS:
        check_failover(world);
        break;
    case QUIET:
        finish_when_served(world);
        break;
    }
}

/* Opens the stand-ins' servers and writes the settings that name them. */
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
        fprintf(stderr, "usage: takeovers PROGRAM OPERATOR_FILE FOLDER PORT SEED ENDS [AWAY_S]\n");
        return 2;
    }
    world.program = argv[1];
    world.operator_file = argv[2];
    world.folder = argv[3];
    world.next_port = (int)strtol(argv[4], NULL, 10);
    world.seed = strtoul(argv[5], NULL, 10);
    world.n_wanted = (int)strtol(argv[6], NULL, 10);
    world.away_s = argc > 7 ? strtod(argv[7], NULL) : 0;
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
    world.began = rp_loop_now(&world.loop);
    world.timer = (struct rp_timer){.fn = on_step, .arg = &world};
    rp_timer_set(&world.loop, &world.timer, STEP_S);
    return rp_loop_run(&world.loop) < 0 ? 2 : 0;
}
