#include "loopback/cluster.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/memory.h"

#define PORT_TRIES 200 /* consecutive ports that are tried, since some may be in use */
#define CALL_TIMEOUT_S 5
#define MAX_BODY_BYTES (1 << 20)
#define LOST_ANSWER_S 12.0 /* when a request that gets no response is ended */
#define UNAVAILABLE 503

/* ---- requests of nodes ---- */

/* A request in transit. The answer is sent to `req` if its sender still waits for it. */
struct transit {
    struct cluster_server *server;
    struct rp_request *req; /* NULL: no caller waits for a response */
    bool is_answer_lost;
    struct rp_timer timer;
    char *method, *target, *body;
};

static void transit_free(struct transit *transit) {
    free(transit->method);
    free(transit->target);
    free(transit->body);
    free(transit);
}

static struct transit *transit_new(struct cluster_server *server, struct rp_request *req,
                                   const struct rp_request *copied) {
    struct transit *transit = rp_alloc(1, sizeof *transit);
    transit->server = server;
    transit->req = req;
    transit->method = strdup(copied->method);
    transit->target = strdup(copied->target);
    transit->body = strdup(copied->body);
    return transit;
}

/* A request must be answered once. One without a response is ended long after its time-out. */
static void end_without_response(void *arg) {
    struct transit *transit = arg;
    transit->req->respond(transit->req, UNAVAILABLE, "{}", 0);
    transit_free(transit);
}

static void on_response(void *arg, const struct rp_response *response) {
    struct transit *transit = arg;
    int status = response->status ? response->status : UNAVAILABLE;
    if (transit->req && transit->is_answer_lost) {
        transit->timer = (struct rp_timer){.fn = end_without_response, .arg = transit};
        rp_timer_set(&transit->server->cluster->loop, &transit->timer, LOST_ANSWER_S);
        return;
    }
    if (transit->req)
        transit->req->respond(transit->req, status, response->len ? response->body : "{}", 0);
    transit_free(transit);
}

static void execute_at_worker(struct cluster *cluster, struct transit *transit) {
    static const struct rp_response unavailable = {.status = UNAVAILABLE, .body = ""};
    const struct sim_worker *worker = &cluster->sim->workers[transit->server->to];
    if (worker->used && worker->up)
        sim_remote_request(cluster->sim, worker->name, transit->method, transit->target,
                           transit->body, on_response, transit);
    else
        on_response(transit, &unavailable);
}

static void execute(void *arg) {
    struct transit *transit = arg;
    struct cluster_server *server = transit->server;
    struct cluster *cluster = server->cluster;
    struct rp_net net = rp_http_client_net(&cluster->client);
    switch (server->service) {
    case CLUSTER_STORE:
        sim_remote_request(cluster->sim, "state", transit->method, transit->target, transit->body,
                           on_response, transit);
        break;
    case CLUSTER_CLOUD:
        sim_remote_request(cluster->sim, "cloud", transit->method, transit->target, transit->body,
                           on_response, transit);
        break;
    case CLUSTER_WORKER:
        execute_at_worker(cluster, transit);
        break;
    case CLUSTER_PEER:
        net.call(net.ctx, cluster->nodes[server->to].peer_addr, transit->method, transit->target,
                 *transit->body ? transit->body : NULL, CALL_TIMEOUT_S, on_response, transit);
        break;
    }
}

static void execute_later(struct transit *transit, double delay_s) {
    transit->timer = (struct rp_timer){.fn = execute, .arg = transit};
    rp_timer_set(&transit->server->cluster->loop, &transit->timer, delay_s);
}

static void on_request(void *arg, struct rp_request *req) {
    struct cluster_server *server = arg;
    struct cluster *cluster = server->cluster;
    double delay_s = 0;
    enum cluster_fate fate = CLUSTER_DELIVERED;
    if (cluster->decide_fate)
        fate = cluster->decide_fate(cluster, server, req, &delay_s);
    if (fate == CLUSTER_REFUSED) {
        req->respond(req, UNAVAILABLE, "{}", 0);
        return;
    }
    if (fate == CLUSTER_LATE || fate == CLUSTER_REPEATED)
        execute_later(transit_new(server, NULL, req), delay_s);
    struct transit *transit = transit_new(server, req, req);
    if (fate == CLUSTER_LOST || fate == CLUSTER_LATE) {
        transit->timer = (struct rp_timer){.fn = end_without_response, .arg = transit};
        rp_timer_set(&cluster->loop, &transit->timer, LOST_ANSWER_S);
        return;
    }
    transit->is_answer_lost = fate == CLUSTER_ANSWER_LOST;
    if (fate == CLUSTER_SLOW)
        execute_later(transit, delay_s);
    else
        execute(transit);
}

/* ---- requests of simulated users and workers ---- */

static void call_node(void *ctx, int node, const char *method, const char *target, const char *body,
                      rp_response_fn on_answer, void *arg) {
    struct cluster *cluster = ctx;
    struct rp_net net = rp_http_client_net(&cluster->client);
    net.call_on_own_connection(net.ctx, cluster->nodes[node].client_addr, method, target, body,
                               CALL_TIMEOUT_S, on_answer, arg);
}

static const char *worker_addr(void *ctx, int worker) {
    struct cluster *cluster = ctx;
    return cluster->workers[worker].addr;
}

/* ---- servers ---- */

static const struct rp_http_limits limits = {.max_connections = 500,
                                             .max_body_bytes = MAX_BODY_BYTES,
                                             .idle_timeout_s = 300,
                                             .receive_timeout_s = 10,
                                             .send_timeout_s = 10};

static void open_server(struct cluster *cluster, struct cluster_server *server,
                        enum cluster_service service, int from, int to) {
    *server = (struct cluster_server){
        .cluster = cluster, .service = service, .from = from, .to = to, .is_open = true};
    for (int tries = 0; tries < PORT_TRIES; tries++) {
        snprintf(server->addr, sizeof server->addr, "127.0.0.1:%d", cluster->next_port++);
        if (rp_http_server_open(&server->server, &cluster->loop, server->addr, &limits, on_request,
                                server) == 0)
            return;
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

static void open_servers(struct cluster *cluster) {
    open_server(cluster, &cluster->cloud, CLUSTER_CLOUD, -1, -1);
    for (int i = 0; i < CLUSTER_NODES; i++)
        open_server(cluster, &cluster->stores[i], CLUSTER_STORE, i, -1);
    for (int i = 0; i < cluster->n_workers; i++)
        open_server(cluster, &cluster->workers[i], CLUSTER_WORKER, -1, i);
    for (int from = 0; cluster->has_proxies && from < CLUSTER_NODES; from++)
        for (int to = 0; to < CLUSTER_NODES; to++)
            if (from != to)
                open_server(cluster, &cluster->proxies[from][to], CLUSTER_PEER, from, to);
}

static void set_proxy_open(struct cluster_server *proxy, bool is_open) {
    if (proxy->is_open == is_open)
        return;
    if (!is_open)
        rp_http_server_close(&proxy->server);
    else if (rp_http_server_open(&proxy->server, &proxy->cluster->loop, proxy->addr, &limits,
                                 on_request, proxy) < 0)
        return; /* the port is taken for the moment; the next call tries again */
    proxy->is_open = is_open;
}

void cluster_set_proxies_open(struct cluster *cluster, bool is_open) {
    for (int from = 0; cluster->has_proxies && from < CLUSTER_NODES; from++)
        for (int to = 0; to < CLUSTER_NODES; to++)
            if (from != to)
                set_proxy_open(&cluster->proxies[from][to], is_open);
}

/* ---- settings ---- */

/* Writes a node's settings: those of the simulation, with real addresses. */
static void write_node_settings(struct cluster *cluster, int index) {
    struct cluster_process *process = &cluster->nodes[index];
    json_t *settings = json_loads(cluster->sim->nodes[index].settings, 0, NULL);
    json_t *seed;
    size_t k;
    json_object_set_new(settings, "client_listen", json_string(process->client_addr));
    json_object_set_new(settings, "peer_listen", json_string(process->peer_addr));
    json_object_set_new(
        settings, "external",
        json_pack("{s:s,s:s}", "cloud", cluster->cloud.addr, "state", cluster->stores[index].addr));
    json_array_foreach(json_object_get(settings, "seeds"), k, seed) {
        int peer = json_string_value(json_object_get(seed, "node_name"))[1] - '0';
        json_object_set_new(seed, "addr",
                            json_string(cluster->has_proxies ? cluster->proxies[index][peer].addr
                                                             : cluster->nodes[peer].peer_addr));
    }
    snprintf(process->settings_file, sizeof process->settings_file, "%s/node-%d.json",
             cluster->directory, index);
    if (json_dump_file(settings, process->settings_file, JSON_INDENT(1)) < 0) {
        perror(process->settings_file);
        exit(2);
    }
    json_decref(settings);
}

static void write_settings(struct cluster *cluster) {
    for (int i = 0; i < CLUSTER_NODES; i++) {
        struct cluster_process *process = &cluster->nodes[i];
        snprintf(process->client_addr, sizeof process->client_addr, "127.0.0.1:%d",
                 cluster->next_port++);
        snprintf(process->peer_addr, sizeof process->peer_addr, "127.0.0.1:%d",
                 cluster->next_port++);
    }
    for (int i = 0; i < CLUSTER_NODES; i++)
        write_node_settings(cluster, i);
}

/* ---- processes ---- */

void cluster_spawn_node(struct cluster *cluster, int index) {
    struct cluster_process *process = &cluster->nodes[index];
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

static void end_process(struct cluster_process *process) {
    if (process->pid == 0)
        return;
    kill(process->pid, SIGKILL);
    while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR)
        ;
    process->pid = 0;
    process->is_stopped = false;
}

void cluster_kill_node(struct cluster *cluster, int index, double downtime_s) {
    end_process(&cluster->nodes[index]);
    cluster->nodes[index].resumes_at = cluster->sim->now + downtime_s;
}

void cluster_stop_node(struct cluster *cluster, int index, double for_s) {
    struct cluster_process *process = &cluster->nodes[index];
    if (process->pid == 0)
        return;
    kill(process->pid, SIGSTOP);
    process->is_stopped = true;
    process->resumes_at = cluster->sim->now + for_s;
}

bool cluster_restore_nodes(struct cluster *cluster) {
    for (int i = 0; i < CLUSTER_NODES; i++) {
        struct cluster_process *process = &cluster->nodes[i];
        if (process->pid && !process->is_stopped &&
            waitpid(process->pid, NULL, WNOHANG) == process->pid) {
            fprintf(stderr, "node %d terminated unexpectedly\n", i);
            process->pid = 0;
            return false;
        }
        if (cluster->sim->now < process->resumes_at)
            continue;
        if (process->is_stopped) {
            kill(process->pid, SIGCONT);
            process->is_stopped = false;
        } else if (process->pid == 0) {
            cluster_spawn_node(cluster, i);
        }
    }
    return true;
}

bool cluster_are_all_running(const struct cluster *cluster) {
    for (int i = 0; i < CLUSTER_NODES; i++)
        if (!cluster->nodes[i].pid || cluster->nodes[i].is_stopped)
            return false;
    return true;
}

void cluster_end_nodes(struct cluster *cluster) {
    for (int i = 0; i < CLUSTER_NODES; i++)
        end_process(&cluster->nodes[i]);
}

int cluster_key_holder(const struct cluster *cluster) {
    const json_t *key = sim_find_record(cluster->sim, RP_KEY_LEADER);
    const char *node = json_string_value(json_object_get(key, "node"));
    return node ? node[1] - '0' : -1;
}

double cluster_now(const struct cluster *cluster) {
    return rp_ts_since(rp_loop_now(&cluster->loop), cluster->started_at);
}

void cluster_open(struct cluster *cluster, const struct sim_size *size) {
    static struct sim_remote remote = {.call = call_node, .worker_addr = worker_addr};
    remote.ctx = cluster;
    signal(SIGPIPE, SIG_IGN);
    if (rp_loop_init(&cluster->loop, false) < 0)
        exit(2);
    rp_http_client_init(&cluster->client, &cluster->loop, 64, 400, MAX_BODY_BYTES);
    cluster->sim = sim_new_remote(cluster->seed, CLUSTER_NODES, size, &remote);
    open_servers(cluster);
    write_settings(cluster);
    for (int i = 0; i < CLUSTER_NODES; i++)
        cluster_spawn_node(cluster, i);
    cluster->started_at = rp_loop_now(&cluster->loop);
}
