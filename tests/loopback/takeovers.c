/* Ends the leading controller again and again, on loopback: real processes of the program, with the
 * simulated world's state service, cloud, workers and users as stand-ins around them, and its rules
 * checked after each step (tests/sim_check.c). Prints a line for each end of a leader. Not a test
 * of CI: it takes minutes, and its times are the machine's. tests/loopback/run starts several. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include "http/http.h"
#include "base/log.h"
#include "sim.h"

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
    struct world *w = arg;
    sim_remote_request(w->sim, "state", req->method, req->target, req->body, answer_request, req);
}

static void cloud_asked(void *arg, struct rp_request *req) {
    struct world *w = arg;
    sim_remote_request(w->sim, "cloud", req->method, req->target, req->body, answer_request, req);
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
    struct world *w = ctx;
    struct rp_net net = rp_http_client_net(&w->client);
    net.call_once(net.ctx, w->nodes[node].client, method, target, body, 5, answered, arg);
}

static const char *worker_addr(void *ctx, int worker) {
    struct world *w = ctx;
    return w->workers[worker].addr;
}

static void open_server(struct world *w, struct rp_http_server *server, char addr[32],
                        rp_request_fn fn, void *arg) {
    static const struct rp_http_limits limits = {
        .max_conns = 500, .body_max = 1 << 20, .idle_s = 300, .receive_s = 10, .send_s = 10};
    for (int tries = 0; tries < 200; tries++) {
        snprintf(addr, 32, "127.0.0.1:%d", w->port++);
        if (rp_http_server_open(server, &w->loop, addr, &limits, fn, arg) == 0)
            return;
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

/* ---- the processes ---- */

static void node_spawn(struct world *w, int index) {
    struct process *p = &w->nodes[index];
    char log[160];
    snprintf(log, sizeof log, "%s/node-%d.log", w->folder, index);
    p->pid = fork();
    if (p->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0)
            dup2(fd, STDERR_FILENO);
        execl(w->program, w->program, "--operator", w->operator_file, "--config", p->settings,
              (char *)NULL);
        _exit(127);
    }
    if (p->pid < 0) {
        perror("fork");
        exit(2);
    }
}

static void node_kill(struct process *p) {
    if (p->pid == 0)
        return;
    kill(p->pid, SIGKILL);
    while (waitpid(p->pid, NULL, 0) < 0 && errno == EINTR)
        ;
    p->pid = 0;
    p->stopped = false;
}

static void write_settings(struct world *w, const char *state, const char *cloud) {
    char peer[NODES][32];
    for (int i = 0; i < NODES; i++) {
        snprintf(w->nodes[i].client, sizeof w->nodes[i].client, "127.0.0.1:%d", w->port++);
        snprintf(peer[i], sizeof peer[i], "127.0.0.1:%d", w->port++);
    }
    for (int i = 0; i < NODES; i++) {
        json_t *v = json_loads(w->sim->nodes[i].settings, 0, NULL), *seed;
        size_t k;
        json_object_set_new(v, "client_listen", json_string(w->nodes[i].client));
        json_object_set_new(v, "peer_listen", json_string(peer[i]));
        json_object_set_new(v, "external", json_pack("{s:s,s:s}", "cloud", cloud, "state", state));
        json_array_foreach(json_object_get(v, "seeds"), k, seed) {
            const char *name = json_string_value(json_object_get(seed, "node_name"));
            json_object_set_new(seed, "addr", json_string(peer[name[1] - '0']));
        }
        snprintf(w->nodes[i].settings, sizeof w->nodes[i].settings, "%s/node-%d.json", w->folder,
                 i);
        if (json_dump_file(v, w->nodes[i].settings, JSON_INDENT(1)) < 0) {
            perror(w->nodes[i].settings);
            exit(2);
        }
        json_decref(v);
    }
}

/* ---- the course of a run ---- */

static int key_holder(const struct world *w) {
    const json_t *key = sim_stored(w->sim, RP_KEY_LEADER);
    const char *node = json_string_value(json_object_get(key, "node"));
    return node ? node[1] - '0' : -1;
}

static void enter(struct world *w, enum phase phase) {
    w->phase = phase;
    w->phase_since = w->sim->now;
}

static void submit_more(struct world *w) {
    struct sim *s = w->sim;
    if (s->now < w->next_job || s->n_jobs >= SIM_JOBS - 8 || w->phase == QUIET)
        return;
    w->next_job = s->now + JOB_EVERY_S;
    int n = s->n_jobs;
    double cancel_at = n % 6 == 5 ? s->now + 2 + n % 4 : 0;
    if (n == 0)
        (void)sim_submit(s, s->now, "service", 2, 1, 0, 0);
    else if (n % 9 == 4)
        (void)sim_submit(s, s->now, "ensemble", 2 + (unsigned)(n % 2), 2, 4, cancel_at);
    else
        (void)sim_submit(s, s->now, "sweep", 2 + (unsigned)(n % 4), 1, 2.5, cancel_at);
}

static void end_leader(struct world *w, int leader) {
    struct process *p = &w->nodes[leader];
    w->stop_it = w->away_s == 0 && (w->done + (int)w->seed) % 4 == 3;
    w->ended_token = w->sim->started_token;
    w->ended_at = w->sim->now;
    w->claimed_at = 0;
    if (w->stop_it) {
        kill(p->pid, SIGSTOP);
        p->stopped = true;
        p->goes_on_at = w->sim->now + 6 + w->done % 5;
        w->n_stopped++;
    } else {
        node_kill(p);
        p->goes_on_at = w->sim->now + (w->away_s > 0 ? w->away_s : 4 + w->done % 3);
    }
    enter(w, LEADERLESS);
}

/* Back after a while: a process that is started anew, or one that goes on where it stood still. */
static void bring_back(struct world *w) {
    for (int i = 0; i < NODES; i++) {
        struct process *p = &w->nodes[i];
        if (p->pid && !p->stopped && waitpid(p->pid, NULL, WNOHANG) == p->pid) {
            fprintf(stderr, "node %d ended by itself\n", i);
            exit(1);
        }
        if (w->sim->now < p->goes_on_at)
            continue;
        if (p->stopped) {
            kill(p->pid, SIGCONT);
            p->stopped = false;
        } else if (p->pid == 0) {
            node_spawn(w, i);
        }
    }
}

static bool all_back(const struct world *w) {
    for (int i = 0; i < NODES; i++)
        if (!w->nodes[i].pid || w->nodes[i].stopped)
            return false;
    return true;
}

static void finish(struct world *w, int rc) {
    for (int i = 0; i < NODES; i++) {
        if (w->nodes[i].stopped)
            kill(w->nodes[i].pid, SIGCONT);
        node_kill(&w->nodes[i]);
    }
    printf("world seed=%lu ends=%d stopped=%d jobs=%d done=%lu starts=%lu rules=%s\n", w->seed,
           w->done, w->n_stopped, w->sim->n_jobs, w->sim->n_done_jobs, w->sim->n_starts,
           *w->sim->broken ? w->sim->broken : "kept");
    fflush(stdout);
    exit(rc);
}

static void note_takeover(struct world *w) {
    struct sim *s = w->sim;
    if (w->claimed_at == 0 && key_holder(w) >= 0 && !w->nodes[key_holder(w)].stopped &&
        w->nodes[key_holder(w)].pid)
        w->claimed_at = s->now;
    if (s->started_token > w->ended_token) {
        printf("end seed=%lu n=%d how=%s claimed_s=%.2f first_start_s=%.2f\n", w->seed, w->done,
               w->stop_it ? "stop" : "kill", w->claimed_at - w->ended_at,
               s->started_at - w->ended_at);
        fflush(stdout);
        w->done++;
        enter(w, w->done == w->wanted ? QUIET : STEADY);
    } else if (s->now - w->ended_at > GIVE_UP_S) {
        printf("end seed=%lu n=%d how=%s no start for %d s\n", w->seed, w->done,
               w->stop_it ? "stop" : "kill", GIVE_UP_S);
        finish(w, 1);
    }
}

static void step(void *arg) {
    struct world *w = arg;
    struct sim *s = w->sim;
    rp_timer_set(&w->loop, &w->timer, STEP_S);
    submit_more(w);
    sim_step(s, rp_ts_since(rp_loop_now(&w->loop), w->began));
    bring_back(w);
    if (*s->broken)
        finish(w, 1);
    switch (w->phase) {
    case STARTING:
        if (s->started_token > 0 && s->now > 20)
            enter(w, STEADY);
        break;
    case STEADY:
        if (all_back(w) && s->now > w->phase_since + STEADY_S && key_holder(w) >= 0)
            end_leader(w, key_holder(w));
        break;
    case LEADERLESS:
        note_takeover(w);
        break;
    case QUIET:
        if (s->calm_since == 0) {
            sim_calm(s);
            s->jobs[0].cancel_at = s->now; /* the service ends only so */
        }
        if (!sim_all_over(s) && s->now < w->phase_since + QUIET_S)
            break;
        sim_check_served(s);
        finish(w, *s->broken ? 1 : 0);
        break;
    }
}

int main(int argc, char **argv) {
    static const struct sim_size size = {WORKERS, 6, 2, 14, 39, 200, 20, 5};
    static struct world w;
    if (argc < 7 || argc > 8) {
        fprintf(stderr, "usage: takeovers PROGRAM OPERATOR_FILE FOLDER PORT SEED ENDS [AWAY_S]\n");
        return 2;
    }
    w.program = argv[1];
    w.operator_file = argv[2];
    w.folder = argv[3];
    w.port = atoi(argv[4]);
    w.seed = strtoul(argv[5], NULL, 10);
    w.wanted = atoi(argv[6]);
    w.away_s = argc > 7 ? strtod(argv[7], NULL) : 0;
    const struct sim_remote remote = {.ctx = &w, .call = call_node, .worker_addr = worker_addr};
    char state[32], cloud[32];
    signal(SIGPIPE, SIG_IGN);
    rp_log_setup("world", rp_log_level_named("error"));
    if (rp_loop_init(&w.loop, false) < 0)
        return 2;
    rp_http_client_init(&w.client, &w.loop, 64, 400, 1 << 20);
    w.sim = sim_new_remote(w.seed, NODES, &size, &remote);
    open_server(&w, &w.state, state, state_asked, &w);
    open_server(&w, &w.cloud, cloud, cloud_asked, &w);
    for (int i = 0; i < WORKERS; i++) {
        w.workers[i].world = &w;
        open_server(&w, &w.workers[i].server, w.workers[i].addr, worker_asked, &w.workers[i]);
    }
    write_settings(&w, state, cloud);
    for (int i = 0; i < NODES; i++)
        node_spawn(&w, i);
    w.began = rp_loop_now(&w.loop);
    w.timer = (struct rp_timer){.fn = step, .arg = &w};
    rp_timer_set(&w.loop, &w.timer, STEP_S);
    return rp_loop_run(&w.loop) < 0 ? 2 : 0;
}
