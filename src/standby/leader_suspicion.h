/** @file
 * Failure suspicion: for how long the leader has not responded to this node, and whether it does
 * not respond to the other nodes either. Silence is counted only while this node itself runs: a
 * node that was paused or lost the processor must not take its own stall for the leader's.
 *
 * The leader's failure is confirmed only if another node reports it as silent and no node reports a
 * response of it. A node that suddenly receives no response from any node is more likely
 * partitioned itself. Followers confirm one after the other, in the order of their names, so that
 * usually only one of them fails over. standby.c owns the suspicion, passes on the leader's
 * responses, and fails over when the failure is confirmed. */
#ifndef RP_STANDBY_LEADER_SUSPICION_H
#define RP_STANDBY_LEADER_SUSPICION_H

#include "base/loop.h"
#include "config/settings.h"
#include "standby/stream_client.h"

struct rp_leader_suspicion;

/** The reachability of one peer. Peers are in the order of the settings. */
struct rp_suspicion_peer {
    struct rp_leader_suspicion *suspicion;
    struct timespec responded_at; /* when the peer last responded */
    bool is_unreachable;          /* the peer is down or partitioned: it was silent while the leader
                                     responded */
};

/** The followed leader, and the evidence of its failure. */
struct rp_leader_suspicion {
    struct rp_loop *loop;
    const struct rp_settings *settings;
    struct rp_stream_client *client;
    char leader[RP_TEXT_MAX]; /* the node whose silence is counted; "" for none */
    double silent_s; /* seconds for which this node has run without a response of the leader */
    struct timespec peers_queried_at;
    /* When a peer last reported that the leader responds; zero: none did. */
    struct timespec reported_responsive_at;
    /* When a peer last reported that the leader is silent; zero: none did. */
    struct timespec reported_silent_at;
    struct rp_suspicion_peer *peers;
};

/** Initializes the suspicion without a leader. */
void rp_leader_suspicion_init(struct rp_leader_suspicion *suspicion, struct rp_loop *loop,
                              const struct rp_settings *settings, struct rp_stream_client *client);
/** Frees the state of the peers; no response may arrive afterwards. */
void rp_leader_suspicion_free(struct rp_leader_suspicion *suspicion);
/** Sets the leader whose silence is counted, and resets the silence to 0; "" for none. */
void rp_leader_suspicion_set_leader(struct rp_leader_suspicion *suspicion, const char *leader);
/** Records a response of the leader, which ends its silence. */
void rp_leader_suspicion_record_response(struct rp_leader_suspicion *suspicion);
/** Adds the time since the last call, in which the leader has not responded, to its silence. The
 * time added is bounded, since this node itself may have been stalled. */
void rp_leader_suspicion_add_silence(struct rp_leader_suspicion *suspicion, double elapsed_s);
/** Whether the leader's silence is long enough to query the other nodes about the leader. */
bool rp_leader_suspicion_is_suspected(const struct rp_leader_suspicion *suspicion);
/** Discards the other nodes' earlier reports about the leader: only reports received from now on
 * count. */
void rp_leader_suspicion_reset_reports(struct rp_leader_suspicion *suspicion);
/** While the leader is not suspected: queries the other nodes at a low rate and records which of
 * them are unreachable. */
void rp_leader_suspicion_check_peers(struct rp_leader_suspicion *suspicion, struct timespec now);
/** While the leader is suspected: queries the other nodes about it at a high rate. */
void rp_leader_suspicion_query_peers(struct rp_leader_suspicion *suspicion, struct timespec now);
/** Whether the leader has been silent for long enough and the other nodes confirm it. `delay_s` is
 * added to the seconds of silence required, for a node that has no copy of the machine directory.
 */
bool rp_leader_suspicion_is_confirmed(const struct rp_leader_suspicion *suspicion,
                                      struct timespec now, double delay_s);
/** Delays this node's next failover after a failover that was not possible or did not complete. */
void rp_leader_suspicion_defer(struct rp_leader_suspicion *suspicion);

#endif
