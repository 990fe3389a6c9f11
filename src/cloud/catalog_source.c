#include "cloud/catalog_source.h"

#include <string.h>
#include "base/log.h"
#include "protocol/cloud_codec.h"
#include "protocol/codec.h"
#include "protocol/kv_codec.h"
#include "store/records.h"

#define CLOUD_RETRY_S 0.5
#define STORED_AFTER_S 0.7 /* the cloud's own word is preferred, if it comes soon */

static void cloud_due(void *arg);
static void stored_due(void *arg);

void rp_catalog_source_init(struct rp_catalog_source *source, struct rp_loop *loop,
                            struct rp_cloud_client *cloud, struct rp_kv_client *store,
                            struct rp_election *election, const struct rp_upgrade *upgrade,
                            const struct rp_settings *settings, struct rp_catalog *catalog) {
    memset(source, 0, sizeof *source);
    source->loop = loop;
    source->cloud = cloud;
    source->store = store;
    source->election = election;
    source->upgrade = upgrade;
    source->settings = settings;
    source->catalog = catalog;
    source->cloud_timer = (struct rp_timer){.fn = cloud_due, .arg = source};
    source->stored_timer = (struct rp_timer){.fn = stored_due, .arg = source};
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

/* Takes the types over if there are none yet, and `v` has some. */
static bool take(struct rp_catalog_source *source, const json_t *value, const char *origin) {
    struct rp_catalog fresh;
    if (source->known || !rp_cloud_codec_read_catalog(value, &fresh))
        return source->known;
    *source->catalog = fresh;
    source->known = true;
    rp_info("machine types known: %zu, from %s", fresh.n_types, origin);
    if (fresh.n_left_out > 0)
        rp_error("over %d machine types or %d zones: left out %zu", RP_TYPES_MAX, RP_ZONES_MAX,
                 fresh.n_left_out);
    source->on_known(source->arg);
    return true;
}

static void cloud_came(void *arg, const struct rp_answer *answer) {
    struct rp_catalog_source *source = arg;
    json_t *value = answer->status == 200 ? rp_codec_parse_object(answer->body, answer->len) : NULL;
    struct rp_catalog read;
    if (rp_cloud_codec_read_catalog(value, &read)) {
        source->from_cloud = json_incref(value);
        (void)take(source, value, "the cloud");
    } else {
        rp_timer_set(source->loop, &source->cloud_timer, CLOUD_RETRY_S);
    }
    json_decref(value);
}

static void cloud_due(void *arg) {
    struct rp_catalog_source *source = arg;
    rp_cloud_call(source->cloud, RP_CLOUD_URGENT, "GET", RP_PATH_CATALOG, NULL, cloud_came, source);
}

static void stored_came(void *arg, const struct rp_kv_result *result) {
    struct rp_catalog_source *source = arg;
    struct rp_kv_item item;
    bool read = rp_kv_result_item(result, &item) && rp_record_format(item.value) <= RP_FORMAT;
    if (!read || !take(source, item.value, "the state service"))
        rp_timer_set(source->loop, &source->stored_timer, STORED_AFTER_S);
}

/* A process that came back while the cloud was out took no part in elections and no submissions;
 * where it had been the leader, its key had to run out, and workers lost their leases. */
static void stored_due(void *arg) {
    struct rp_catalog_source *source = arg;
    if (!source->known)
        rp_kv_get(source->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_CATALOG, stored_came, source);
}

/* ---- storing ---- */

static void written(void *arg, const struct rp_kv_result *result) {
    (void)arg;
    if (result->outcome != RP_KV_OK)
        rp_debug("the machine types could not be stored"); /* the next leader tries again */
}

static void compare_came(void *arg, const struct rp_kv_result *result) {
    struct rp_catalog_source *source = arg;
    struct rp_kv_item item = {0};
    bool found = rp_kv_result_item(result, &item);
    if ((!found && result->outcome != RP_KV_NOT_FOUND) ||
        source->election->state != RP_ELECTION_HOLDING_KEY || !source->from_cloud)
        return;
    json_t *record = rp_record_mark(json_copy(source->from_cloud));
    if ((found && json_equal(record, item.value)) ||
        rp_record_size(record) > (size_t)(source->settings->state_fit.value_kb * 1024)) {
        json_decref(record);
        return;
    }
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(source->election, txn);
    rp_kv_txn_if(txn, RP_KEY_CATALOG, found ? item.revision : RP_KV_ABSENT);
    rp_kv_txn_put(txn, RP_KEY_CATALOG, record, RP_KV_NO_LEASE);
    rp_kv_txn_submit(source->store, RP_KV_BUDGET_LEADER, txn, written, source);
}

/* Before the activation nothing is written that the version before doesn't know. */
void rp_catalog_source_lead(struct rp_catalog_source *source) {
    if (source->from_cloud && rp_upgrade_is_active(source->upgrade))
        rp_kv_get(source->store, RP_KV_BUDGET_LEADER, RP_KEY_CATALOG, compare_came, source);
}
