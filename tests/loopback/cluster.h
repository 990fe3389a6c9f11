/* Nodes as real processes on loopback addresses, and servers at which they reach the simulated
 * key-value store, cloud and workers (tests/simulation/). Each node has addresses of its own for
 * the store and, if there are proxies, for each other node, so that messages of single nodes can be
 * refused, lost, delayed or repeated. The owner advances the simulation (sim_step). */
#ifndef RP_LOOPBACK_CLUSTER_H
#define RP_LOOPBACK_CLUSTER_H

#include <sys/types.h>
#include "http/client.h"
#include "http/server.h"
#include "simulation/sim.h"

#define CLUSTER_NODES 3
#define CLUSTER_WORKERS_MAX 320
#define CLUSTER_ADDR_MAX 32

/* What happens to a request of a node. */
enum cluster_fate {
    CLUSTER_DELIVERED,
    CLUSTER_REFUSED,     /* 503, not executed */
    CLUSTER_LOST,        /* not executed, no response */
    CLUSTER_LATE,        /* executed `delay_s` later, no response */
    CLUSTER_ANSWER_LOST, /* executed, no response */
    CLUSTER_REPEATED,    /* executed and answered; a copy is executed `delay_s` later */
    CLUSTER_SLOW         /* executed and answered `delay_s` later */
};

/* The kind of service that a request is sent to. */
enum cluster_service { CLUSTER_STORE, CLUSTER_CLOUD, CLUSTER_WORKER, CLUSTER_PEER };

struct cluster_process {
    pid_t pid;         /* 0: not running */
    bool is_stopped;   /* by SIGSTOP, until SIGCONT at resumes_at */
    double resumes_at; /* when the process is restarted or continued */
    char settings_file[160];
    char client_addr[CLUSTER_ADDR_MAX], peer_addr[CLUSTER_ADDR_MAX];
};

struct cluster;

/* A server at which nodes reach a service. */
struct cluster_server {
    struct cluster *cluster;
    enum cluster_service service;
    int from; /* the node that uses it; -1: all */
    int to;   /* index of the worker or the node that it stands for */
    struct rp_http_server server;
    bool is_open;
    char addr[CLUSTER_ADDR_MAX];
};

struct cluster {
    struct rp_loop loop;
    struct rp_http_client client;
    struct cluster_server stores[CLUSTER_NODES], cloud, workers[CLUSTER_WORKERS_MAX];
    struct cluster_server proxies[CLUSTER_NODES][CLUSTER_NODES]; /* from, to */
    struct cluster_process nodes[CLUSTER_NODES];
    struct sim *sim;
    struct rp_timer timer; /* of the owner */
    struct timespec started_at;
    const char *program, *operator_file, *directory;
    unsigned long seed;
    int next_port;
    int n_workers;
    bool has_proxies;
    /* Decides what happens to a request; NULL: it is delivered. */
    enum cluster_fate (*decide_fate)(struct cluster *cluster, const struct cluster_server *server,
                                     const struct rp_request *req, double *delay_s);
    void *owner;
};

/* Opens the event loop, the servers and the simulation, and writes the nodes' settings. The members
 * without a comment, and those above `decide_fate` that it does not describe, must have been set.
 * Exits with 2 if that fails. */
void cluster_open(struct cluster *cluster, const struct sim_size *size);
void cluster_spawn_node(struct cluster *cluster, int index);
/* Kills the node with SIGKILL; it is spawned again by cluster_restore_nodes. */
void cluster_kill_node(struct cluster *cluster, int index, double downtime_s);
/* Stops the node with SIGSTOP; it is continued by cluster_restore_nodes. */
void cluster_stop_node(struct cluster *cluster, int index, double for_s);
/* Restarts killed nodes and continues stopped ones whose time is over. Returns false if a node has
 * ended by itself. */
bool cluster_restore_nodes(struct cluster *cluster);
bool cluster_are_all_running(const struct cluster *cluster);
/* Kills all nodes for good. */
void cluster_end_nodes(struct cluster *cluster);
/* The node that holds the leader's key; -1: none. */
int cluster_key_holder(const struct cluster *cluster);
/* Opens or closes the proxies: while they are closed, connections between nodes are refused. */
void cluster_set_proxies_open(struct cluster *cluster, bool is_open);
/* Seconds since the start. */
double cluster_now(const struct cluster *cluster);

#endif
