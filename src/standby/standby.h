/** @file
 * Warm standby. Every node that doesn't lead follows the leader: it asks it for the stream several
 * times a second, which is the heartbeat as well, and keeps a copy of the machine directory. When
 * the leader has been silent for `suspect_after_s`, and another node has missed it, too, the node
 * fails over: it fences the leader (election/election.h), reads the records, leads, and shows its
 * token to every machine at once by direct commands instead of waiting for their heartbeats.
 * docs/standby.md has the design, docs/safety.md the argument why it is safe.
 *
 * Invariants: the copy of the directory proves nothing about what runs on a machine; a node that
 * isn't enabled stays in RP_STANDBY_OFF and neither fences nor is fenced. The state is changed by
 * one function, set_state in standby.c, where each change is explained. The node
 * (controller/node.h) owns the standby and tells it of its terms. */
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

/** Where a node's standby stands; the names in `GET /status` are the same. */
enum rp_standby_state {
    RP_STANDBY_OFF,        /* not enabled, or not every node knows the records that it needs */
    RP_STANDBY_FOLLOWING,  /* the leader answers, or nobody leads */
    RP_STANDBY_SUSPECTING, /* it has been silent for a while: the other nodes are asked */
    RP_STANDBY_CLAIMING,   /* the key is being written over the leader's */
    RP_STANDBY_FENCING,    /* its lease is being ended, ours is being taken */
    RP_STANDBY_VERIFYING,  /* the records are being read at the state that the new key fixes */
    RP_STANDBY_LEADING,
    RP_STANDBY_STATES
};

/** The last failover to this node, by the stages that it went through. */
struct rp_failover_times {
    struct timespec suspected_at; /* when the leader last answered */
    double stage_s[RP_STANDBY_STATES];
    double total_s; /* from the leader's last answer to leading */
};

/** A node's standby; the other parts of the node outlive it. */
struct rp_standby {
    struct rp_loop *loop;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_workers *workers;
    const struct rp_settings *settings;
    enum rp_standby_state state;
    struct timespec state_since;
    struct rp_timer timer;
    struct timespec ticked_at;
    /* Following. */
    struct rp_stream_client client;
    struct timespec leader_asked_at;
    struct rp_machine_directory directory;
    struct rp_leader_suspicion suspicion;
    unsigned long n_old_terms, n_gaps; /* messages of fenced leaders; with changes missing */
    /* Failing over. */
    struct rp_failover_times last_failover;
    unsigned long n_failovers; /* completed */
    unsigned long n_withdrawn; /* suspicions that ended otherwise */
    /* Leading. */
    struct rp_stream_server server;
    struct rp_machine_fencing fencing;
};

/** Sets the standby up without starting it. */
void rp_standby_init(struct rp_standby *standby, struct rp_loop *loop, struct rp_net net,
                     struct rp_election *election, struct rp_cluster *cluster,
                     struct rp_workers *workers, const struct rp_settings *settings);
/** Begins to follow, if the settings enable it. */
void rp_standby_start(struct rp_standby *standby);
/** Stops, and frees what the standby owns. */
void rp_standby_close(struct rp_standby *standby);
/** This node's leadership has begun: the cluster state is empty. */
void rp_standby_elected(struct rp_standby *standby);
/** The records are read: this node leads. */
void rp_standby_lead(struct rp_standby *standby);
/** This node's leadership has ended. */
void rp_standby_lost(struct rp_standby *standby);
/** The answer to another node's request for the stream, given its path with the query; the caller
 * frees it. NULL: out of memory. */
char *rp_standby_answer(struct rp_standby *standby, const char *target);
/** The standby's part of `GET /status`; the caller owns it. */
json_t *rp_standby_json(const struct rp_standby *standby);

#endif
