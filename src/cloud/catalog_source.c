#include "cloud/catalog_source.h"

#include "base/log.h"
#include "protocol/cloud_codec.h"
#include "protocol/codec.h"
#include "protocol/kv_codec.h"
#include "store/records.h"

/* Seconds from a failed request of the catalog from the cloud to the next. */
#define CLOUD_RETRY_S 0.5
/* Seconds from the start to the first read of the stored catalog, and between two reads of it. The
 * delay gives preference to the cloud's own response, if it arrives soon. */
#define STORED_CATALOG_DELAY_S 0.7
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
    rp_timer_set(source->loop, &source->stored_timer, STORED_CATALOG_DELAY_S);
}

void rp_catalog_source_close(struct rp_catalog_source *source) {
    rp_timer_cancel(source->loop, &source->cloud_timer);
    rp_timer_cancel(source->loop, &source->stored_timer);
    json_decref(source->cloud_catalog);
    source->cloud_catalog = NULL;
}

/* ---- obtaining the catalog ---- */

/* Uses the machine types in `value`, if it is a catalog and none are known yet. Returns whether the
 * machine types are known now. */
static bool accept_catalog(struct rp_catalog_source *source, const json_t *value,
                           const char *origin) {
    struct rp_catalog catalog;
    if (source->is_known || !rp_cloud_codec_read_catalog(value, &catalog))
        return source->is_known;
    *source->catalog = catalog;
    source->is_known = true;
    rp_info("machine types known: n_types=%zu source=%s", catalog.n_types, origin);
    if (catalog.n_left_out > 0)
        rp_error("machine types left out, more than can be handled: n_left_out=%zu n_types_max=%d "
                 "n_zones_max=%d",
                 catalog.n_left_out, RP_TYPES_MAX, RP_ZONES_MAX);
    source->on_known(source->arg);
    return true;
}

static void on_cloud_response(void *arg, const struct rp_response *answer) {
    struct rp_catalog_source *source = arg;
    json_t *value =
        answer->status == STATUS_OK ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    struct rp_catalog catalog;
    if (rp_cloud_codec_read_catalog(value, &catalog)) {
        source->cloud_catalog = json_incref(value);
        (void)accept_catalog(source, value, "cloud");
    } else {
        rp_timer_set(source->loop, &source->cloud_timer, CLOUD_RETRY_S);
    }
    json_decref(value);
}

static void on_cloud_timer(void *arg) {
    struct rp_catalog_source *source = arg;
    rp_cloud_call(source->cloud, RP_CLOUD_URGENT, "GET", RP_PATH_CATALOG, NULL, on_cloud_response,
                  source);
}

static void on_stored_catalog_read(void *arg, const struct rp_kv_result *result) {
    struct rp_catalog_source *source = arg;
    struct rp_kv_item item;
    bool is_readable =
        rp_kv_result_item(result, &item) && rp_record_format(item.value) <= RP_FORMAT;
    if (!is_readable || !accept_catalog(source, item.value, "store"))
        rp_timer_set(source->loop, &source->stored_timer, STORED_CATALOG_DELAY_S);
}

/* Without the stored catalog, a process that restarts while the cloud does not respond takes no
 * part in elections and accepts no submissions. If that process was the leader, its key has to
 * expire first, and workers lose their leases meanwhile. */
static void on_stored_timer(void *arg) {
    struct rp_catalog_source *source = arg;
    if (!source->is_known)
        rp_kv_get(source->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_CATALOG, on_stored_catalog_read,
                  source);
}

/* ---- storing the catalog ---- */

static void on_catalog_written(void *arg, const struct rp_kv_result *result) {
    (void)arg;
    if (result->outcome != RP_KV_OK)
        /* There is no retry: the next leader stores the machine types. */
        rp_debug("machine types not stored: reason=%s", rp_kv_outcome_name(result->outcome));
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
    bool was_read = is_stored || result->outcome == RP_KV_NOT_FOUND;
    if (!was_read || source->election->state != RP_ELECTION_HOLDING_KEY || !source->cloud_catalog)
        return;
    json_t *record = rp_record_mark(json_copy(source->cloud_catalog));
    bool is_same = is_stored && json_equal(record, item.value);
    bool is_too_large =
        rp_record_size(record) > (size_t)(source->settings->kv_limits_lowest.value_kb * 1024);
    if (is_same || is_too_large)
        json_decref(record);
    else
        store_catalog(source, record, is_stored ? item.revision : RP_KV_ABSENT);
}

/* Before the activation of RP_FORMAT, nothing is written that the previous version cannot read. */
void rp_catalog_source_store(struct rp_catalog_source *source) {
    if (source->cloud_catalog && rp_upgrade_is_active(source->upgrade))
        rp_kv_get(source->store, RP_KV_BUDGET_LEADER, RP_KEY_CATALOG, on_stored_catalog_compared,
                  source);
}
