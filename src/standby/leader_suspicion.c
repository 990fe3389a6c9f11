#include "standby/leader_suspicion.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"

/* Seconds that one tick adds to the silence at most: this node itself may have stood still. Three
 * ticks of standby.c. */
#define ELAPSED_MAX_S 0.3
/* The share of `suspect_after_s` after which the other nodes are asked about the leader. */
#define SUSPECT_SHARE 0.4
/* Seconds between two questions to the other nodes while the leader is suspected: two or three fit
 * between the suspicion and the verdict, */
#define PEERS_PERIOD_S 0.4
/* and while it isn't, when they only tell that they are there. */
#define PEERS_IDLE_PERIOD_S 2.0
/* Seconds for another node's answer. */
#define PEERS_WAIT_S 0.6
/* Seconds without an answer after which another node counts as down or cut off: four questions. */
#define PEER_UNREACHABLE_S 8.0
/* Seconds for which another node's word about the leader counts; docs/standby.md, "Claiming". */
#define WORD_VALID_S 1.0
/* Seconds between the verdicts of two nodes that follow: time to write the key over. */
#define RANK_S 0.3
/* Seconds from a failover that wasn't possible until the next is tried. */
#define RETRY_S 0.5

void rp_leader_suspicion_init(struct rp_leader_suspicion *suspicion, struct rp_loop *loop,
                              const struct rp_settings *settings, struct rp_stream_client *client) {
    *suspicion = (struct rp_leader_suspicion){.loop = loop, .settings = settings, .client = client};
    suspicion->peers = rp_alloc(settings->n_peers + 1, sizeof *suspicion->peers);
    for (size_t i = 0; i < settings->n_peers; i++)
        suspicion->peers[i] =
            (struct rp_suspicion_peer){.suspicion = suspicion, .answered_at = rp_loop_now(loop)};
}

void rp_leader_suspicion_free(struct rp_leader_suspicion *suspicion) {
    free(suspicion->peers);
    suspicion->peers = NULL;
}

void rp_leader_suspicion_set_leader(struct rp_leader_suspicion *suspicion, const char *leader) {
    rp_string_copy(suspicion->leader, sizeof suspicion->leader, leader);
    suspicion->silent_s = 0;
}

void rp_leader_suspicion_note_answer(struct rp_leader_suspicion *suspicion) {
    suspicion->silent_s = 0;
}

void rp_leader_suspicion_add_silence(struct rp_leader_suspicion *suspicion, double elapsed_s) {
    suspicion->silent_s += elapsed_s < ELAPSED_MAX_S ? elapsed_s : ELAPSED_MAX_S;
}

bool rp_leader_suspicion_is_suspected(const struct rp_leader_suspicion *suspicion) {
    return suspicion->silent_s >= SUSPECT_SHARE * suspicion->settings->tuning.suspect_after_s;
}

void rp_leader_suspicion_begin(struct rp_leader_suspicion *suspicion) {
    suspicion->heard_by_peer_at = suspicion->missed_by_peer_at = (struct timespec){0};
}

/* ---- the other nodes ---- */

static bool is_leader(const struct rp_leader_suspicion *suspicion, size_t peer) {
    return strcmp(suspicion->settings->peers[peer].name, suspicion->leader) == 0;
}

static void on_peer_response(void *arg, const struct rp_answer *answer) {
    struct rp_suspicion_peer *peer = arg;
    struct rp_leader_suspicion *suspicion = peer->suspicion;
    struct timespec now = rp_loop_now(suspicion->loop);
    struct rp_stream_message message = {0};
    if (answer->status != 0) {
        peer->answered_at = now;
        peer->is_unreachable = false;
    }
    if (!rp_stream_client_read(suspicion->client, answer, &message))
        return;
    if (message.term == 0 && strcmp(message.leader, suspicion->leader) == 0) {
        if (message.silent_s < WORD_VALID_S)
            suspicion->heard_by_peer_at = now;
        else
            suspicion->missed_by_peer_at = now;
    }
    rp_stream_message_free(&message);
}

static void ask_peers_every(struct rp_leader_suspicion *suspicion, struct timespec now,
                            double period_s) {
    if (rp_ts_since(now, suspicion->peers_asked_at) < period_s)
        return;
    suspicion->peers_asked_at = now;
    for (size_t i = 0; i < suspicion->settings->n_peers; i++)
        if (!is_leader(suspicion, i))
            rp_stream_client_ask(suspicion->client, suspicion->settings->peers[i].addr, NULL,
                                 PEERS_WAIT_S, on_peer_response, &suspicion->peers[i]);
}

void rp_leader_suspicion_check_peers(struct rp_leader_suspicion *suspicion, struct timespec now) {
    ask_peers_every(suspicion, now, PEERS_IDLE_PERIOD_S);
    /* The leader answers: it isn't this node that is cut off from those that don't. */
    for (size_t i = 0; i < suspicion->settings->n_peers; i++)
        if (rp_ts_since(now, suspicion->peers[i].answered_at) > PEER_UNREACHABLE_S)
            suspicion->peers[i].is_unreachable = true;
}

void rp_leader_suspicion_ask_peers(struct rp_leader_suspicion *suspicion, struct timespec now) {
    ask_peers_every(suspicion, now, PEERS_PERIOD_S);
}

/* ---- the verdict ---- */

/* How many of the nodes that don't lead come before this one. */
static size_t rank_of(const struct rp_leader_suspicion *suspicion) {
    const struct rp_settings *settings = suspicion->settings;
    size_t rank = 0;
    for (size_t i = 0; i < settings->n_peers; i++)
        if (!is_leader(suspicion, i) && strcmp(settings->peers[i].name, settings->node) < 0)
            rank++;
    return rank;
}

static bool is_recent(struct timespec word_at, struct timespec now) {
    return !rp_ts_is_zero(word_at) && rp_ts_since(now, word_at) < WORD_VALID_S;
}

/* Whether no node besides the leader has been there for a while: then none can be asked. */
static bool has_no_peers(const struct rp_leader_suspicion *suspicion) {
    for (size_t i = 0; i < suspicion->settings->n_peers; i++)
        if (!is_leader(suspicion, i) && !suspicion->peers[i].is_unreachable)
            return false;
    return true;
}

/* Another node misses the leader, too, and none has heard it. A node that hears nobody at all, all
 * of a sudden, is rather cut off itself; it has to wait for the end of the leader's lease. */
static bool is_agreed(const struct rp_leader_suspicion *suspicion, struct timespec now) {
    bool is_missed = is_recent(suspicion->missed_by_peer_at, now) || has_no_peers(suspicion);
    return is_missed && !is_recent(suspicion->heard_by_peer_at, now);
}

bool rp_leader_suspicion_is_confirmed(const struct rp_leader_suspicion *suspicion,
                                      struct timespec now, double handicap_s) {
    double rank_s = RANK_S * (double)rank_of(suspicion);
    double verdict_s = suspicion->settings->tuning.suspect_after_s + rank_s + handicap_s;
    return suspicion->silent_s >= verdict_s && is_agreed(suspicion, now);
}

void rp_leader_suspicion_defer(struct rp_leader_suspicion *suspicion) {
    suspicion->silent_s -= RETRY_S;
}
