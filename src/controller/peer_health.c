#include "controller/peer_health.h"

#include "api/response_status.h"
#include "protocol/codec.h"

/* Seconds between two checks, and for an answer to one. */
#define CHECK_PERIOD_S 0.5
/* Seconds without an answer of the store before the other nodes are asked: shorter failures pass by
 * themselves. */
#define STORE_FAILING_S 1.0
/* Seconds without an answer of the store and of any other node before this node counts as cut off.
 * docs/safety.md counts on it. */
#define CUT_OFF_S 2.5
/* Seconds for which a verdict holds unless it is renewed: four checks, so that a lost answer
 * doesn't bring users back for a moment. */
#define REFUSAL_S (4 * CHECK_PERIOD_S)

static void note_refused_alone(struct rp_peer_health *health) {
    health->refused_until = rp_ts_after(rp_loop_now(health->loop), REFUSAL_S);
    rp_jobs_record_store_isolation(health->jobs);
}

static void on_health_response(void *arg, const struct rp_answer *answer) {
    struct rp_peer_health *health = arg;
    if (answer->status != RP_RESPONSE_OK)
        return;
    health->peer_answered_at = rp_loop_now(health->loop);
    json_t *body = rp_codec_parse_object(answer->body, answer->len);
    if (json_is_true(json_object_get(body, "state_answers")) &&
        rp_kv_failing_s(health->store) > STORE_FAILING_S)
        note_refused_alone(health);
    json_decref(body);
}

static void on_check_due(void *arg) {
    struct rp_peer_health *health = arg;
    const struct rp_settings *settings = health->settings;
    rp_timer_set(health->loop, &health->timer, CHECK_PERIOD_S);
    if (rp_kv_failing_s(health->store) <= STORE_FAILING_S) {
        health->peer_answered_at = rp_loop_now(health->loop);
        return;
    }
    bool is_cut_off = rp_ts_since(rp_loop_now(health->loop), health->peer_answered_at) > CUT_OFF_S;
    if (settings->n_peers > 0 && is_cut_off)
        note_refused_alone(health);
    for (size_t i = 0; i < settings->n_peers; i++)
        health->net.call(health->net.ctx, settings->peers[i].addr, "GET", RP_PATH_PEER_HEALTH, NULL,
                         CHECK_PERIOD_S, on_health_response, health);
}

void rp_peer_health_init(struct rp_peer_health *health, struct rp_loop *loop, struct rp_net net,
                         const struct rp_settings *settings, const struct rp_kv_client *store,
                         struct rp_jobs *jobs) {
    *health = (struct rp_peer_health){.loop = loop,
                                      .net = net,
                                      .settings = settings,
                                      .store = store,
                                      .jobs = jobs,
                                      .timer = {.fn = on_check_due, .arg = health}};
}

void rp_peer_health_start(struct rp_peer_health *health) {
    rp_timer_set(health->loop, &health->timer, CHECK_PERIOD_S);
}

void rp_peer_health_stop(struct rp_peer_health *health) {
    rp_timer_cancel(health->loop, &health->timer);
}

bool rp_peer_health_is_refused_alone(const struct rp_peer_health *health) {
    return !rp_ts_reached(rp_loop_now(health->loop), health->refused_until);
}

bool rp_peer_health_is_store_answering(const struct rp_peer_health *health) {
    return health->store->n_ok > 0 && rp_kv_failing_s(health->store) <= 0;
}
