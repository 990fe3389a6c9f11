#include "standby/leader_suspicion.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"

/* Maximum number of seconds that one tick adds to the silence, since this node itself may have been
 * stalled. Three ticks of standby.c. */
#define ELAPSED_MAX_S 0.3
/* The share of `suspect_after_s` after which the leader is suspected, and the other nodes are
 * queried about it. */
#define SUSPECT_SHARE 0.4
/* Seconds between two queries of the other nodes while the leader is suspected: two or three
 * queries fit between the suspicion and its confirmation. */
#define SUSPECT_QUERY_PERIOD_S 0.4
/* Seconds between two queries of the other nodes while the leader is not suspected, when their
 * responses only show that they are reachable. */
#define IDLE_QUERY_PERIOD_S 2.0
/* Timeout of a query of another node, in seconds. */
#define QUERY_TIMEOUT_S 0.6
/* Seconds without a response after which another node counts as down or partitioned: four queries
 * of IDLE_QUERY_PERIOD_S. */
#define PEER_UNREACHABLE_S 8.0
/* Seconds for which another node's report about the leader counts, and maximum age in seconds of
 * the leader's last response in a report that the leader responds; docs/standby.md, "Claiming". */
#define REPORT_VALID_S 1.0
/* Seconds between the confirmations of two successive followers: the time that the first one needs
 * to overwrite the key. */
#define RANK_DELAY_S 0.3
/* Seconds from a failover that was not possible, or did not complete, to the next attempt. */
#define FAILOVER_RETRY_S 0.5

void rp_leader_suspicion_init(struct rp_leader_suspicion *suspicion, struct rp_loop *loop,
                              const struct rp_settings *settings, struct rp_stream_client *client) {
    *suspicion = (struct rp_leader_suspicion){.loop = loop, .settings = settings, .client = client};
    suspicion->peers = rp_alloc(settings->n_peers + 1, sizeof *suspicion->peers);
    for (size_t i = 0; i < settings->n_peers; i++)
        suspicion->peers[i] =
            (struct rp_suspicion_peer){.suspicion = suspicion, .responded_at = rp_loop_now(loop)};
}

void rp_leader_suspicion_free(struct rp_leader_suspicion *suspicion) {
    free(suspicion->peers);
    suspicion->peers = NULL;
}

void rp_leader_suspicion_set_leader(struct rp_leader_suspicion *suspicion, const char *leader) {
    rp_string_copy(suspicion->leader, sizeof suspicion->leader, leader);
    suspicion->silent_s = 0;
}

void rp_leader_suspicion_record_response(struct rp_leader_suspicion *suspicion) {
    suspicion->silent_s = 0;
}

void rp_leader_suspicion_add_silence(struct rp_leader_suspicion *suspicion, double elapsed_s) {
    suspicion->silent_s += elapsed_s < ELAPSED_MAX_S ? elapsed_s : ELAPSED_MAX_S;
}

bool rp_leader_suspicion_is_suspected(const struct rp_leader_suspicion *suspicion) {
    return suspicion->silent_s >= SUSPECT_SHARE * suspicion->settings->tuning.suspect_after_s;
}

void rp_leader_suspicion_reset_reports(struct rp_leader_suspicion *suspicion) {
    suspicion->reported_responsive_at = suspicion->reported_silent_at = (struct timespec){0};
}

/* ---- the other nodes ---- */

static bool is_leader(const struct rp_leader_suspicion *suspicion, size_t peer) {
    return strcmp(suspicion->settings->peers[peer].name, suspicion->leader) == 0;
}

static void on_peer_response(void *arg, const struct rp_response *answer) {
    struct rp_suspicion_peer *peer = arg;
    struct rp_leader_suspicion *suspicion = peer->suspicion;
    struct timespec now = rp_loop_now(suspicion->loop);
    struct rp_stream_message message = {0};
    if (answer->status != 0) {
        peer->responded_at = now;
        peer->is_unreachable = false;
    }
    if (!rp_stream_client_read(suspicion->client, answer, &message))
        return;
    if (message.term == 0 && strcmp(message.leader, suspicion->leader) == 0) {
        if (message.silent_s < REPORT_VALID_S)
            suspicion->reported_responsive_at = now;
        else
            suspicion->reported_silent_at = now;
    }
    rp_stream_message_free(&message);
}

static void query_peers_every(struct rp_leader_suspicion *suspicion, struct timespec now,
                              double period_s) {
    if (rp_ts_since(now, suspicion->peers_queried_at) < period_s)
        return;
    suspicion->peers_queried_at = now;
    for (size_t i = 0; i < suspicion->settings->n_peers; i++)
        if (!is_leader(suspicion, i))
            rp_stream_client_request(suspicion->client, suspicion->settings->peers[i].addr, NULL,
                                     QUERY_TIMEOUT_S, on_peer_response, &suspicion->peers[i]);
}

void rp_leader_suspicion_check_peers(struct rp_leader_suspicion *suspicion, struct timespec now) {
    query_peers_every(suspicion, now, IDLE_QUERY_PERIOD_S);
    /* The leader responds to this node, which is therefore not partitioned itself: a peer that does
     * not respond is down or partitioned. */
    for (size_t i = 0; i < suspicion->settings->n_peers; i++)
        if (rp_ts_since(now, suspicion->peers[i].responded_at) > PEER_UNREACHABLE_S)
            suspicion->peers[i].is_unreachable = true;
}

void rp_leader_suspicion_query_peers(struct rp_leader_suspicion *suspicion, struct timespec now) {
    query_peers_every(suspicion, now, SUSPECT_QUERY_PERIOD_S);
}

/* ---- the confirmation ---- */

/* The number of followers whose names sort before this node's. */
static size_t rank_of(const struct rp_leader_suspicion *suspicion) {
    const struct rp_settings *settings = suspicion->settings;
    size_t rank = 0;
    for (size_t i = 0; i < settings->n_peers; i++)
        if (!is_leader(suspicion, i) && strcmp(settings->peers[i].name, settings->node) < 0)
            rank++;
    return rank;
}

static bool is_recent(struct timespec report_at, struct timespec now) {
    return !rp_ts_is_zero(report_at) && rp_ts_since(now, report_at) < REPORT_VALID_S;
}

/* Whether every node besides the leader was unreachable before the leader was suspected, so that no
 * node can confirm the silence. */
static bool has_no_reachable_peer(const struct rp_leader_suspicion *suspicion) {
    for (size_t i = 0; i < suspicion->settings->n_peers; i++)
        if (!is_leader(suspicion, i) && !suspicion->peers[i].is_unreachable)
            return false;
    return true;
}

/* Whether another node reports the leader as silent, or no node is reachable that could, and no
 * node reports a response of the leader. A node that suddenly receives no response from any node is
 * more likely partitioned itself, and has to wait for the expiry of the leader's lease. */
static bool is_silence_confirmed(const struct rp_leader_suspicion *suspicion, struct timespec now) {
    bool is_reported_silent =
        is_recent(suspicion->reported_silent_at, now) || has_no_reachable_peer(suspicion);
    return is_reported_silent && !is_recent(suspicion->reported_responsive_at, now);
}

bool rp_leader_suspicion_is_confirmed(const struct rp_leader_suspicion *suspicion,
                                      struct timespec now, double delay_s) {
    double rank_s = RANK_DELAY_S * (double)rank_of(suspicion);
    double required_s = suspicion->settings->tuning.suspect_after_s + rank_s + delay_s;
    return suspicion->silent_s >= required_s && is_silence_confirmed(suspicion, now);
}

void rp_leader_suspicion_defer(struct rp_leader_suspicion *suspicion) {
    suspicion->silent_s -= FAILOVER_RETRY_S;
}
