/* Ends the leading controller again and again, on loopback: real processes of the program, with the
 * simulated world's state service, cloud, workers and users as stand-ins around them, and its rules
 * checked after each step (tests/simulation/rules.c). Prints a line for each end of a leader.
 * Not a test of CI: it takes minutes, and its times are the machine's. tests/loopback/run starts
 * several. */
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
#define STEADY_S 3.0  /* a leader has led for so long before it is ended */
#define GIVE_UP_S 60  /* without a start under a new token */
#define QUIET_S 100.0 /* after the last end, for all jobs to come to theirs */
#define JOB_EVERY_S 0.35

struct process {
    pid_t pid;         /* 0: not running */
    bool stopped;      /* by a signal, to go on later */
    double goes_on_at; /* is started again, or goes on */
    char settings[128], client[32];
};

struct slot {
    struct world *world;
    struct rp_http_server server;
    char addr[32];
};

enum phase { STARTING, STEADY, LEADERLESS, QUIET };

struct world {
    struct rp_loop loop;
    struct rp_http_client client;
    struct rp_http_server state, cloud;
    struct slot workers[WORKERS];
    struct process nodes[NODES];
    struct sim *sim;
    struct rp_timer timer;
    struct timespec began;
    const char *program, *operator_file, *folder;
    unsigned long seed;
    int port, wanted, done, n_stopped;
    enum phase phase;
    double phase_since, ended_at, claimed_at;
    uint64_t ended_token;
    double next_job;
    double away_s; /* all ends are kills, and the process is back after so long; 0: as it comes */
    bool stop_it;  /* the leader is stopped for a while rather than killed */
};

/* ---- the world's servers ---- */

static void answer_request(void *arg, const struct rp_answer *answer) {
    struct rp_request *req = arg;
    req->respond(req, answer->status ? answer->status : 503, answer->len ? answer->body : "{}", 0);
}

static void state_asked(void *arg, struct rp_request *req) {
    struct world *world = arg;
    sim_remote_request(world->sim, "state", req->method, req->target, req->body, answer_request,
                       req);
}

static void cloud_asked(void *arg, struct rp_request *req) {
    struct world *world = arg;
    sim_remote_request(world->sim, "cloud", req->method, req->target, req->body, answer_request,
                       req);
}

static void worker_asked(void *arg, struct rp_request *req) {
    struct slot *slot = arg;
    const struct sim_worker *worker = &slot->world->sim->workers[slot - slot->world->workers];
    if (worker->used && worker->up)
        sim_remote_request(slot->world->sim, worker->name, req->method, req->target, req->body,
                           answer_request, req);
    else
        req->respond(req, 503, "{}", 0);
}

static void call_node(void *ctx, int node, const char *method, const char *target, const char *body,
                      rp_answer_fn answered, void *arg) {
    struct world *world = ctx;
    struct rp_net net = rp_http_client_net(&world->client);
    net.call_once(net.ctx, world->nodes[node].client, method, target, body, 5, answered, arg);
}

static const char *worker_addr(void *ctx, int worker) {
    struct world *world = ctx;
    return world->workers[worker].addr;
}

static void open_server(struct world *world, struct rp_http_server *server, char addr[32],
                        rp_request_fn fn, void *arg) {
    static const struct rp_http_limits limits = {.max_connections = 500,
                                                 .max_body_bytes = 1 << 20,
                                                 .idle_timeout_s = 300,
                                                 .receive_timeout_s = 10,
                                                 .send_timeout_s = 10};
    for (int tries = 0; tries < 200; tries++) {
        snprintf(addr, 32, "127.0.0.1:%d", world->port++);
        if (rp_http_server_open(server, &world->loop, addr, &limits, fn, arg) == 0)
            return;
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

/* ---- the processes ---- */

static void node_spawn(struct world *world, int index) {
    struct process *process = &world->nodes[index];
    char log[160];
    snprintf(log, sizeof log, "%s/node-%d.log", world->folder, index);
    process->pid = fork();
    if (process->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0)
            dup2(fd, STDERR_FILENO);
        execl(world->program, world->program, "--operator", world->operator_file, "--config",
              process->settings, (char *)NULL);
        _exit(127);
    }
    if (process->pid < 0) {
        perror("fork");
        exit(2);
    }
}

static void node_kill(struct process *process) {
    if (process->pid == 0)
        return;
    kill(process->pid, SIGKILL);
    while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR)
        ;
    process->pid = 0;
    process->stopped = false;
}

static void write_settings(struct world *world, const char *state, const char *cloud) {
    char peer[NODES][32];
    for (int i = 0; i < NODES; i++) {
        snprintf(world->nodes[i].client, sizeof world->nodes[i].client, "127.0.0.1:%d",
                 world->port++);
        snprintf(peer[i], sizeof peer[i], "127.0.0.1:%d", world->port++);
    }
    for (int i = 0; i < NODES; i++) {
        json_t *value = json_loads(world->sim->nodes[i].settings, 0, NULL), *seed;
        size_t k;
        json_object_set_new(value, "client_listen", json_string(world->nodes[i].client));
        json_object_set_new(value, "peer_listen", json_string(peer[i]));
        json_object_set_new(value, "external",
                            json_pack("{s:s,s:s}", "cloud", cloud, "state", state));
        json_array_foreach(json_object_get(value, "seeds"), k, seed) {
            const char *name = json_string_value(json_object_get(seed, "node_name"));
            json_object_set_new(seed, "addr", json_string(peer[name[1] - '0']));
        }
        snprintf(world->nodes[i].settings, sizeof world->nodes[i].settings, "%s/node-%d.json",
                 world->folder, i);
        if (json_dump_file(value, world->nodes[i].settings, JSON_INDENT(1)) < 0) {
            perror(world->nodes[i].settings);
            exit(2);
        }
        json_decref(value);
    }
}

/* ---- the course of a run ---- */

static int key_holder(const struct world *world) {
    const json_t *key = sim_find_record(world->sim, RP_KEY_LEADER);
    const char *node = json_string_value(json_object_get(key, "node"));
    return node ? node[1] - '0' : -1;
}

static void enter(struct world *world, enum phase phase) {
    world->phase = phase;
    world->phase_since = world->sim->now;
}

static void submit_more(struct world *world) {
    struct sim *sim = world->sim;
    if (sim->now < world->next_job || sim->n_jobs >= SIM_JOBS - 8 || world->phase == QUIET)
        return;
    world->next_job = sim->now + JOB_EVERY_S;
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
    world->stop_it = world->away_s == 0 && (world->done + (int)world->seed) % 4 == 3;
    world->ended_token = world->sim->started_token;
    world->ended_at = world->sim->now;
    world->claimed_at = 0;
    if (world->stop_it) {
        kill(process->pid, SIGSTOP);
        process->stopped = true;
        process->goes_on_at = world->sim->now + 6 + world->done % 5;
        world->n_stopped++;
    } else {
        node_kill(process);
        process->goes_on_at =
            world->sim->now + (world->away_s > 0 ? world->away_s : 4 + world->done % 3);
    }
    enter(world, LEADERLESS);
}

/* Back after a while: a process that is started anew, or one that goes on where it stood still. */
static void bring_back(struct world *world) {
    for (int i = 0; i < NODES; i++) {
        struct process *process = &world->nodes[i];
        if (process->pid && !process->stopped &&
            waitpid(process->pid, NULL, WNOHANG) == process->pid) {
            fprintf(stderr, "node %d ended by itself\n", i);
            exit(1);
        }
        if (world->sim->now < process->goes_on_at)
            continue;
        if (process->stopped) {
            kill(process->pid, SIGCONT);
            process->stopped = false;
        } else if (process->pid == 0) {
            node_spawn(world, i);
        }
    }
}

static bool all_back(const struct world *world) {
    for (int i = 0; i < NODES; i++)
        if (!world->nodes[i].pid || world->nodes[i].stopped)
            return false;
    return true;
}

static void finish(struct world *world, int rc) {
    for (int i = 0; i < NODES; i++) {
        if (world->nodes[i].stopped)
            kill(world->nodes[i].pid, SIGCONT);
        node_kill(&world->nodes[i]);
    }
    printf("world seed=%lu ends=%d stopped=%d jobs=%d done=%lu starts=%lu rules=%s\n", world->seed,
           world->done, world->n_stopped, world->sim->n_jobs, world->sim->n_done_jobs,
           world->sim->n_starts, *world->sim->violation ? world->sim->violation : "kept");
    fflush(stdout);
    exit(rc);
}

static void note_takeover(struct world *world) {
    struct sim *sim = world->sim;
    if (world->claimed_at == 0 && key_holder(world) >= 0 &&
        !world->nodes[key_holder(world)].stopped && world->nodes[key_holder(world)].pid)
        world->claimed_at = sim->now;
    if (sim->started_token > world->ended_token) {
        printf("end seed=%lu n=%d how=%s claimed_s=%.2f first_start_s=%.2f\n", world->seed,
               world->done, world->stop_it ? "stop" : "kill", world->claimed_at - world->ended_at,
               sim->started_at - world->ended_at);
        fflush(stdout);
        world->done++;
        enter(world, world->done == world->wanted ? QUIET : STEADY);
    } else if (sim->now - world->ended_at > GIVE_UP_S) {
        printf("end seed=%lu n=%d how=%s no start for %d s\n", world->seed, world->done,
               world->stop_it ? "stop" : "kill", GIVE_UP_S);
        finish(world, 1);
    }
}

static void step(void *arg) {
    struct world *world = arg;
    struct sim *sim = world->sim;
    rp_timer_set(&world->loop, &world->timer, STEP_S);
    submit_more(world);
    sim_step(sim, rp_ts_since(rp_loop_now(&world->loop), world->began));
    bring_back(world);
    if (*sim->violation)
        finish(world, 1);
    switch (world->phase) {
    case STARTING:
        if (sim->started_token > 0 && sim->now > 20)
            enter(world, STEADY);
        break;
    case STEADY:
        if (all_back(world) && sim->now > world->phase_since + STEADY_S && key_holder(world) >= 0)
            end_leader(world, key_holder(world));
        break;
    case LEADERLESS:
        note_takeover(world);
        break;
    case QUIET:
        if (sim->faults_ended_at == 0) {
            sim_end_faults(sim);
            sim->jobs[0].cancel_at = sim->now; /* the service ends only so */
        }
        if (!sim_all_terminal(sim) && sim->now < world->phase_since + QUIET_S)
            break;
        sim_check_served(sim);
        finish(world, *sim->violation ? 1 : 0);
        break;
    }
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
    world.port = atoi(argv[4]);
    world.seed = strtoul(argv[5], NULL, 10);
    world.wanted = atoi(argv[6]);
    world.away_s = argc > 7 ? strtod(argv[7], NULL) : 0;
    const struct sim_remote remote = {.ctx = &world, .call = call_node, .worker_addr = worker_addr};
    char state[32], cloud[32];
    signal(SIGPIPE, SIG_IGN);
    rp_log_setup("world", rp_log_level_named("error"));
    if (rp_loop_init(&world.loop, false) < 0)
        return 2;
    rp_http_client_init(&world.client, &world.loop, 64, 400, 1 << 20);
    world.sim = sim_new_remote(world.seed, NODES, &size, &remote);
    open_server(&world, &world.state, state, state_asked, &world);
    open_server(&world, &world.cloud, cloud, cloud_asked, &world);
    for (int i = 0; i < WORKERS; i++) {
        world.workers[i].world = &world;
        open_server(&world, &world.workers[i].server, world.workers[i].addr, worker_asked,
                    &world.workers[i]);
    }
    write_settings(&world, state, cloud);
    for (int i = 0; i < NODES; i++)
        node_spawn(&world, i);
    world.began = rp_loop_now(&world.loop);
    world.timer = (struct rp_timer){.fn = step, .arg = &world};
    rp_timer_set(&world.loop, &world.timer, STEP_S);
    return rp_loop_run(&world.loop) < 0 ? 2 : 0;
}
