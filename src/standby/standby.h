/** @file
 * Warm standby. Every node that doesn't lead follows the leader: it asks it for the stream several
 * times a second, which is the heartbeat as well, and keeps a copy of the machine directory. When
 * the leader has been silent for `suspect_after_s`, and another node says that it has missed it,
 * too, the node takes over: it deposes the leader (election.h), reads the records, leads, and shows
 * its token to every machine at once by direct commands instead of waiting for their reports.
 * docs/standby.md has the design. */
#ifndef RP_STANDBY_STANDBY_H
#define RP_STANDBY_STANDBY_H

#include "base/net.h"
#include "cluster/cluster.h"
#include "election/election.h"
#include "standby/change_log.h"
#include "standby/machine_directory.h"
#include "worker/workers.h"

#define RP_PATH_STREAM "/peer/stream"

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

/** What is known of another node. */
struct rp_standby_peer {
    struct rp_standby *standby;
    struct timespec heard; /* when it last answered */
    bool away;             /* it didn't for long, while the leader did: it is down, or cut off */
};

struct rp_standby {
    struct rp_loop *loop;
    struct rp_net net;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_workers *workers;
    const struct rp_settings *settings;
    enum rp_standby_state state;
    struct rp_change_log log;              /* while this node leads */
    struct rp_machine_directory directory; /* while another one does */
    struct rp_timer timer, fence_timer;
    struct timespec ticked;
    char leader[RP_TEXT_MAX]; /* whose silence is counted */
    struct timespec asked, peers_asked;
    double silent_s; /* in which this node ran and the leader didn't answer */
    /* When another node last said that it has heard the leader, and that it hasn't; zero: never. */
    struct timespec heard_by_another, missed_by_another;
    struct rp_standby_peer *peers; /* in the order of the settings */
    struct timespec suspected_at;  /* for the stages of a takeover */
    struct timespec entered[RP_STANDBY_STATES];
    double last_stage_s[RP_STANDBY_STATES]; /* of the last takeover */
    double last_takeover_s;                 /* from the leader's last answer to leading */
    unsigned long n_takeovers, n_withdrawn; /* done; suspicions that ended otherwise */
    unsigned long n_snapshots, n_refused[RP_STREAM_FAULTS], n_old_terms, n_gaps;
    /* Machines that are still to be shown the new token. */
    char (*to_fence)[RP_TEXT_MAX];
    size_t n_to_fence, next_to_fence, n_fencing;
    bool second_pass;
    unsigned long n_fenced, n_unfenced; /* in the last takeover */
};

int rp_standby_init(struct rp_standby *standby, struct rp_loop *loop, struct rp_net net,
                    struct rp_election *election, struct rp_cluster *cluster,
                    struct rp_workers *workers, const struct rp_settings *settings);
void rp_standby_start(struct rp_standby *standby);
void rp_standby_close(struct rp_standby *standby);
/** This node's leadership has begun: the cluster state is empty. */
void rp_standby_elected(struct rp_standby *standby);
/** The records are read: it leads. */
void rp_standby_lead(struct rp_standby *standby);
void rp_standby_lost(struct rp_standby *standby);
/** The answer to another node that asks for the stream after `target`'s term and index; the caller
 * frees it. */
char *rp_standby_answer(struct rp_standby *standby, const char *target);
json_t *rp_standby_json(const struct rp_standby *standby);

#endif
