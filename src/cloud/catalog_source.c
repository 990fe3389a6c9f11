#include "cloud/catalog_source.h"

#include "base/log.h"
#include "protocol/cloud_codec.h"
#include "protocol/codec.h"
#include "protocol/kv_codec.h"
#include "store/records.h"

#define CLOUD_RETRY_S 0.5
#define STORED_AFTER_S 0.7 /* the cloud's own answer is preferred, if it comes soon */
#define STATUS_OK 200

static void on_cloud_timer(void *arg);
static void on_stored_timer(void *arg);

void rp_catalog_source_init(struct rp_catalog_source *source, struct rp_loop *loop,
                            struct rp_cloud_client *cloud, struct rp_kv_client *store,
                            struct rp_election *election, const struct rp_upgrade *upgrade,
                            const struct rp_settings *settings, struct rp_catalog *catalog) {
    *source = (struct rp_catalog_source){.loop = loop,
                                         .cloud = cloud,
                                         .store = store,
                                         .election = election,
                                         .upgrade = upgrade,
                                         .settings = settings,
                                         .catalog = catalog,
                                         .cloud_timer = {.fn = on_cloud_timer, .arg = source},
                                         .stored_timer = {.fn = on_stored_timer, .arg = source}};
}

void rp_catalog_source_start(struct rp_catalog_source *source) {
    rp_timer_set(source->loop, &source->cloud_timer, 0);
    rp_timer_set(source->loop, &source->stored_timer, STORED_AFTER_S);
}

void rp_catalog_source_close(struct rp_catalog_source *source) {
    rp_timer_cancel(source->loop, &source->cloud_timer);
    rp_timer_cancel(source->loop, &source->stored_timer);
    json_decref(source->from_cloud);
    source->from_cloud = NULL;
}

/* ---- reading ---- */

/* Takes the machine types over if there are none yet, and `value` has some. Returns whether they
 * are known now. */
static bool take_catalog(struct rp_catalog_source *source, const json_t *value,
                         const char *origin) {
    struct rp_catalog catalog;
    if (source->known || !rp_cloud_codec_read_catalog(value, &catalog))
        return source->known;
    *source->catalog = catalog;
    source->known = true;
    rp_info("machine types known: n_types=%zu source=%s", catalog.n_types, origin);
    if (catalog.n_left_out > 0)
        rp_error("machine types left out, more than can be handled: n_left_out=%zu n_types_max=%d "
                 "n_zones_max=%d",
                 catalog.n_left_out, RP_TYPES_MAX, RP_ZONES_MAX);
    source->on_known(source->arg);
    return true;
}

static void on_cloud_answer(void *arg, const struct rp_answer *answer) {
    struct rp_catalog_source *source = arg;
    json_t *value =
        answer->status == STATUS_OK ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    struct rp_catalog catalog;
    if (rp_cloud_codec_read_catalog(value, &catalog)) {
        source->from_cloud = json_incref(value);
        (void)take_catalog(source, value, "cloud");
    } else {
        rp_timer_set(source->loop, &source->cloud_timer, CLOUD_RETRY_S);
    }
    json_decref(value);
}

static void on_cloud_timer(void *arg) {
    struct rp_catalog_source *source = arg;
    rp_cloud_call(source->cloud, RP_CLOUD_URGENT, "GET", RP_PATH_CATALOG, NULL, on_cloud_answer,
                  source);
}

static void on_stored_catalog_read(void *arg, const struct rp_kv_result *result) {
    struct rp_catalog_source *source = arg;
    struct rp_kv_item item;
    bool is_readable =
        rp_kv_result_item(result, &item) && rp_record_format(item.value) <= RP_FORMAT;
    if (!is_readable || !take_catalog(source, item.value, "store"))
        rp_timer_set(source->loop, &source->stored_timer, STORED_AFTER_S);
}

/* A process that came back while the cloud was out took no part in elections and no submissions;
 * where it had been the leader, its key had to run out, and workers lost their leases. */
static void on_stored_timer(void *arg) {
    struct rp_catalog_source *source = arg;
    if (!source->known)
        rp_kv_get(source->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_CATALOG, on_stored_catalog_read,
                  source);
}

/* ---- storing ---- */

static void on_catalog_written(void *arg, const struct rp_kv_result *result) {
    (void)arg;
    if (result->outcome != RP_KV_OK)
        rp_debug("machine types not stored: reason=%s", /* the next leader tries again */
                 rp_kv_outcome_name(result->outcome));
}

static void store_catalog(struct rp_catalog_source *source, json_t *record, uint64_t revision) {
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(source->election, txn);
    rp_kv_txn_if(txn, RP_KEY_CATALOG, revision);
    rp_kv_txn_put(txn, RP_KEY_CATALOG, record, RP_KV_NO_LEASE);
    rp_kv_txn_submit(source->store, RP_KV_BUDGET_LEADER, txn, on_catalog_written, source);
}

static void on_stored_catalog_compared(void *arg, const struct rp_kv_result *result) {
    struct rp_catalog_source *source = arg;
    struct rp_kv_item item = {0};
    bool is_stored = rp_kv_result_item(result, &item);
    bool is_known = is_stored || result->outcome == RP_KV_NOT_FOUND;
    if (!is_known || source->election->state != RP_ELECTION_HOLDING_KEY || !source->from_cloud)
        return;
    json_t *record = rp_record_mark(json_copy(source->from_cloud));
    bool is_same = is_stored && json_equal(record, item.value);
    bool is_too_large =
        rp_record_size(record) > (size_t)(source->settings->kv_limits_lowest.value_kb * 1024);
    if (is_same || is_too_large)
        json_decref(record);
    else
        store_catalog(source, record, is_stored ? item.revision : RP_KV_ABSENT);
}

/* Before the activation nothing is written that the version before doesn't know. */
void rp_catalog_source_lead(struct rp_catalog_source *source) {
    if (source->from_cloud && rp_upgrade_is_active(source->upgrade))
        rp_kv_get(source->store, RP_KV_BUDGET_LEADER, RP_KEY_CATALOG, on_stored_catalog_compared,
                  source);
}
