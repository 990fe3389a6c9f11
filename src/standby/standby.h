/** @file
 * Warm standby. Every node that does not lead polls the leader for the stream several times a
 * second, which also serves as the heartbeat, and keeps a copy of the machine directory. When the
 * leader has been silent for `suspect_after_s` and another node confirms it, the node fails over:
 * it fences the leader (election/election.h), reads the records, leads, and sends its fencing token
 * to all machines at once by direct commands instead of waiting for their heartbeats.
 * docs/standby.md has the design, docs/safety.md the argument why it is safe.
 *
 * Invariants: the directory is never evidence of what runs on a machine; a node whose standby is
 * not enabled stays in RP_STANDBY_OFF and neither fences nor is fenced; only set_state in standby.c
 * changes the state. The node (controller/node.h) owns the standby, and reports to it when the
 * node's terms begin and end. */
#ifndef RP_STANDBY_STANDBY_H
#define RP_STANDBY_STANDBY_H

#include "base/net.h"
#include "cluster/cluster.h"
#include "election/election.h"
#include "standby/leader_suspicion.h"
#include "standby/machine_directory.h"
#include "standby/machine_fencing.h"
#include "standby/stream_client.h"
#include "standby/stream_server.h"
#include "worker/workers.h"

/** The states of a node's standby; `GET /status` shows them under the same names. */
enum rp_standby_state {
    RP_STANDBY_OFF,       /* not enabled, or some node does not support the records that it needs */
    RP_STANDBY_FOLLOWING, /* the leader responds, or no node leads */
    RP_STANDBY_SUSPECTING, /* the leader is silent: the other nodes are queried about it */
    RP_STANDBY_CLAIMING,   /* this node is overwriting the leader's key */
    RP_STANDBY_FENCING,    /* the leader's lease is being revoked, this node's is being acquired */
    RP_STANDBY_VERIFYING,  /* the records are being read as of the write of the new key */
    RP_STANDBY_LEADING,
    RP_STANDBY_STATES /* the number of states */
};

/** The duration of the last failover to this node, in total and of each stage. */
struct rp_failover_times {
    struct timespec silent_since;      /* when the leader last responded */
    double stage_s[RP_STANDBY_STATES]; /* seconds in each state */
    double total_s;                    /* from the leader's last response to leading */
};

/** A node's standby. The other parts of the node that it refers to must outlive it. */
struct rp_standby {
    struct rp_loop *loop;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_workers *workers;
    const struct rp_settings *settings;
    enum rp_standby_state state;
    struct timespec state_since;
    struct rp_timer timer;
    struct timespec last_tick_at;
    /* Used while following. */
    struct rp_stream_client client;
    struct timespec stream_requested_at;
    struct rp_machine_directory directory;
    struct rp_leader_suspicion suspicion;
    unsigned long n_old_terms; /* messages refused because their sender has been replaced */
    unsigned long n_gaps;      /* messages refused because changes before them are missing */
    /* Failovers to this node. */
    struct rp_failover_times last_failover;
    unsigned long n_failovers; /* failovers that were completed */
    unsigned long n_withdrawn; /* suspicions that ended without a claim of the leader's key */
    /* Used while leading. */
    struct rp_stream_server server;
    struct rp_machine_fencing fencing;
};

/** Initializes the standby without starting it. */
void rp_standby_init(struct rp_standby *standby, struct rp_loop *loop, struct rp_net net,
                     struct rp_election *election, struct rp_cluster *cluster,
                     struct rp_workers *workers, const struct rp_settings *settings);
/** Starts following the leader, if the settings enable the standby. */
void rp_standby_start(struct rp_standby *standby);
/** Stops the standby and frees what it owns. */
void rp_standby_close(struct rp_standby *standby);
/** Called when this node's term begins, while its cluster state is still empty. */
void rp_standby_on_elected(struct rp_standby *standby);
/** Called when this node has read the records and leads. */
void rp_standby_on_leading(struct rp_standby *standby);
/** Called when this node's term has ended. */
void rp_standby_on_leadership_lost(struct rp_standby *standby);
/** The body of the response to another node's request for the stream. `target` is the request's
 * path with its query. The caller frees the body; NULL: out of memory. */
char *rp_standby_answer(struct rp_standby *standby, const char *target);
/** The standby's part of the response to `GET /status`; the caller owns it. */
json_t *rp_standby_json(const struct rp_standby *standby);

#endif
