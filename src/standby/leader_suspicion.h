/** @file
 * Failure suspicion: for how long the leader has been silent towards this node, and whether the
 * other nodes miss it, too. Silence is counted only while this node itself runs: one that stood
 * still, or lost the processor, must not take its own stall for the leader's.
 *
 * A silent leader is confirmed to be missing only if another node has missed it as well and none
 * has heard it. A node that all of a sudden hears nobody is rather cut off itself. The nodes that
 * follow confirm one after the other, by their names, so that mostly one of them fails over.
 *
 * standby.c owns the suspicion, passes the leader's answers on and acts on the verdict. */
#ifndef RP_STANDBY_LEADER_SUSPICION_H
#define RP_STANDBY_LEADER_SUSPICION_H

#include "base/loop.h"
#include "config/settings.h"
#include "standby/stream_client.h"

struct rp_leader_suspicion;

/** What is known of another node, in the order of the settings. */
struct rp_suspicion_peer {
    struct rp_leader_suspicion *suspicion;
    struct timespec answered_at; /* when it last answered */
    bool is_unreachable;         /* it didn't for long, while the leader did: down, or cut off */
};

/** The leader that is watched, and what speaks for its failure. */
struct rp_leader_suspicion {
    struct rp_loop *loop;
    const struct rp_settings *settings;
    struct rp_stream_client *client;
    char leader[RP_TEXT_MAX]; /* whose silence is counted; "" for none */
    double silent_s;          /* in which this node ran and the leader didn't answer */
    struct timespec peers_asked_at;
    struct timespec heard_by_peer_at;  /* another node said that it has heard the leader; 0: none */
    struct timespec missed_by_peer_at; /* or that it hasn't */
    struct rp_suspicion_peer *peers;
};

/** Sets the suspicion up, without a leader. */
void rp_leader_suspicion_init(struct rp_leader_suspicion *suspicion, struct rp_loop *loop,
                              const struct rp_settings *settings, struct rp_stream_client *client);
/** Frees what it knows of peers; no answer may arrive afterwards. */
void rp_leader_suspicion_free(struct rp_leader_suspicion *suspicion);
/** From now on the silence of this leader is counted, from zero; "" for none. */
void rp_leader_suspicion_set_leader(struct rp_leader_suspicion *suspicion, const char *leader);
/** The leader has answered. */
void rp_leader_suspicion_note_answer(struct rp_leader_suspicion *suspicion);
/** This node ran for `elapsed_s` more, and the leader hasn't answered. */
void rp_leader_suspicion_add_silence(struct rp_leader_suspicion *suspicion, double elapsed_s);
/** Whether the silence is long enough to ask the other nodes about it. */
bool rp_leader_suspicion_is_suspected(const struct rp_leader_suspicion *suspicion);
/** Forgets what other nodes said of the leader: the answers of now count. */
void rp_leader_suspicion_begin(struct rp_leader_suspicion *suspicion);
/** While nothing is suspected: asks the other nodes now and then, to know which are there. */
void rp_leader_suspicion_check_peers(struct rp_leader_suspicion *suspicion, struct timespec now);
/** While the leader is suspected: asks the other nodes about it, often. */
void rp_leader_suspicion_ask_peers(struct rp_leader_suspicion *suspicion, struct timespec now);
/** Whether the leader has been silent for long enough, and the other nodes agree. A node that knows
 * less of the machines waits longer, by `handicap_s`. */
bool rp_leader_suspicion_is_confirmed(const struct rp_leader_suspicion *suspicion,
                                      struct timespec now, double handicap_s);
/** A failover was not possible: the next one is tried a little later. */
void rp_leader_suspicion_defer(struct rp_leader_suspicion *suspicion);

#endif
