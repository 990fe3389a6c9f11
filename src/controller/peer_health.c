#include "controller/peer_health.h"

#include "api/response_status.h"
#include "protocol/codec.h"

/* Seconds between two checks, and seconds to wait for the response to one. */
#define CHECK_PERIOD_S 0.5
/* Seconds without a response from the store before the other nodes are queried: shorter failures
 * end without any action. */
#define STORE_FAILING_S 1.0
/* Seconds without a response from the store and from any other node before this node counts as
 * partitioned. docs/safety.md relies on this time. */
#define PARTITION_TIMEOUT_S 2.5
/* Seconds for which this node counts as isolated from the store after a check that found it
 * isolated: four checks, so that a single lost response does not make the load balancer send users
 * to this node again for a moment. */
#define STORE_ISOLATION_S (4 * CHECK_PERIOD_S)

static void record_store_isolation(struct rp_peer_health *health) {
    health->isolated_from_store_until = rp_ts_after(rp_loop_now(health->loop), STORE_ISOLATION_S);
    rp_jobs_record_store_isolation(health->jobs);
}

static void on_health_response(void *arg, const struct rp_response *answer) {
    struct rp_peer_health *health = arg;
    if (answer->status != RP_RESPONSE_OK)
        return;
    health->last_response_at = rp_loop_now(health->loop);
    json_t *body = rp_codec_parse_object(answer->body, answer->len);
    if (json_is_true(json_object_get(body, "state_answers")) &&
        rp_kv_failing_s(health->store) > STORE_FAILING_S)
        record_store_isolation(health);
    json_decref(body);
}

static void on_check_due(void *arg) {
    struct rp_peer_health *health = arg;
    const struct rp_settings *settings = health->settings;
    rp_timer_set(health->loop, &health->timer, CHECK_PERIOD_S);
    if (rp_kv_failing_s(health->store) <= STORE_FAILING_S) {
        health->last_response_at = rp_loop_now(health->loop);
        return;
    }
    bool is_partitioned =
        rp_ts_since(rp_loop_now(health->loop), health->last_response_at) > PARTITION_TIMEOUT_S;
    if (settings->n_peers > 0 && is_partitioned)
        record_store_isolation(health);
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

bool rp_peer_health_is_isolated_from_store(const struct rp_peer_health *health) {
    return !rp_ts_is_reached(rp_loop_now(health->loop), health->isolated_from_store_until);
}

bool rp_peer_health_is_store_answering(const struct rp_peer_health *health) {
    return health->store->n_ok > 0 && rp_kv_failing_s(health->store) <= 0;
}
