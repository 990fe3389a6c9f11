#include "upgrade/format_upgrade.h"

#include <string.h>
#include "base/log.h"
#include "store/records.h"

#define TICK_S 0.5
#define LEASE_S 10.0 /* a node that is gone counts as old so much later */
#define TOUCH_S 2.0

static void tick(void *arg);

void rp_upgrade_init(struct rp_upgrade *upgrade, struct rp_loop *loop, struct rp_kv_client *store,
                     struct rp_election *election, const struct rp_settings *settings,
                     void (*on_change)(void *arg), void *arg) {
    memset(upgrade, 0, sizeof *upgrade);
    upgrade->loop = loop;
    upgrade->store = store;
    upgrade->election = election;
    upgrade->settings = settings;
    upgrade->on_change = on_change;
    upgrade->arg = arg;
    upgrade->timer = (struct rp_timer){.fn = tick, .arg = upgrade};
}

bool rp_upgrade_is_active(const struct rp_upgrade *upgrade) {
    return upgrade->state == RP_UPGRADE_ACTIVE;
}

const char *rp_upgrade_state_name(const struct rp_upgrade *upgrade) {
    static const char *const words[] = {"looking",   "leasing", "announcing",
                                        "announced", "active",  "too old"};
    return words[upgrade->state];
}

static void dropped(void *arg, const struct rp_kv_result *result) {
    (void)arg;
    (void)result;
}

/* The one place where it changes its state. What is active stays so. */
static void set_state(struct rp_upgrade *upgrade, enum rp_upgrade_state state) {
    if (upgrade->state == state || upgrade->state >= RP_UPGRADE_ACTIVE)
        return;
    upgrade->state = state;
    if (state < RP_UPGRADE_ACTIVE)
        return;
    rp_timer_cancel(upgrade->loop, &upgrade->timer);
    if (upgrade->lease)
        rp_kv_lease_revoke(upgrade->store, upgrade->lease, dropped, NULL);
    upgrade->lease = 0;
    if (state == RP_UPGRADE_ACTIVE)
        rp_info("format %d is active", RP_FORMAT);
    else
        rp_error("a format later than %d is active: this version keeps away", RP_FORMAT);
    upgrade->on_change(upgrade->arg);
}

void rp_upgrade_on_activation_record(struct rp_upgrade *upgrade, const json_t *record) {
    if (record && rp_record_format(record) >= RP_FORMAT)
        set_state(upgrade,
                  rp_record_format(record) > RP_FORMAT ? RP_UPGRADE_TOO_OLD : RP_UPGRADE_ACTIVE);
}

/* ---- this node's record ---- */

static void announced(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    if (upgrade->state != RP_UPGRADE_ANNOUNCING)
        return;
    if (result->outcome == RP_KV_BAD_REQUEST)
        upgrade->lease = 0; /* it has ended meanwhile */
    set_state(upgrade, result->outcome == RP_KV_OK ? RP_UPGRADE_ANNOUNCED : RP_UPGRADE_LOOKING);
}

static void announce(struct rp_upgrade *upgrade) {
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_key(key, RP_KEY_VERSION, upgrade->settings->node);
    rp_kv_txn_put(txn, key, rp_record_version(upgrade->settings->node), upgrade->lease);
    set_state(upgrade, RP_UPGRADE_ANNOUNCING);
    rp_kv_txn_submit(upgrade->store, RP_KV_BUDGET_LEADERSHIP, txn, announced, upgrade);
}

static void leased(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    if (upgrade->state != RP_UPGRADE_LEASING)
        return;
    set_state(upgrade, RP_UPGRADE_LOOKING);
    if (result->outcome != RP_KV_OK || !rp_kv_result_lease(result))
        return;
    upgrade->lease = rp_kv_result_lease(result);
    upgrade->renewed_at = rp_loop_now(upgrade->loop);
    announce(upgrade);
}

static void touched(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    if (result->outcome != RP_KV_NOT_FOUND || upgrade->state != RP_UPGRADE_ANNOUNCED)
        return;
    upgrade->lease = 0;
    set_state(upgrade, RP_UPGRADE_LOOKING);
}

/* ---- the activation ---- */

static void activated(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    upgrade->activating = false;
    if (result->outcome == RP_KV_OK) {
        rp_info("every node knows format %d: activated", RP_FORMAT);
        set_state(upgrade, RP_UPGRADE_ACTIVE);
    }
}

/* The version of the node's record among those listed, or 0: the node counts as old. */
static uint64_t known_as(const struct rp_kv_result *result, const char *node) {
    char key[RP_KEY_MAX];
    struct rp_kv_item item;
    rp_key(key, RP_KEY_VERSION, node);
    for (size_t i = 0; i < rp_kv_result_n_items(result); i++)
        if (rp_kv_result_item_at(result, i, &item) && strcmp(item.key, key) == 0 &&
            rp_record_format(item.value) >= RP_FORMAT)
            return item.revision;
    return 0;
}

/* The transaction that activates, or NULL while some node counts as old. Where the service takes
 * fewer conditions than there are nodes, the rest of them is known from the list just read. */
static struct rp_kv_txn *activation(struct rp_upgrade *upgrade, const struct rp_kv_result *result) {
    const struct rp_settings *settings = upgrade->settings;
    size_t room = 4 * settings->state_fit.txn_ops - 2;
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(upgrade->election, txn);
    rp_kv_txn_if(txn, RP_KEY_FORMAT, RP_KV_ABSENT);
    upgrade->n_known = 0;
    for (size_t i = 0; i <= settings->n_peers; i++) {
        const char *node = i < settings->n_peers ? settings->peers[i].name : settings->node;
        uint64_t version = known_as(result, node);
        upgrade->n_known += version > 0;
        rp_key(key, RP_KEY_VERSION, node);
        if (room > 0 && room-- > 0)
            rp_kv_txn_if(txn, key, version);
    }
    rp_kv_txn_put(txn, RP_KEY_FORMAT, rp_record_activation(), RP_KV_NO_LEASE);
    if (upgrade->n_known == settings->n_peers + 1)
        return txn;
    rp_kv_txn_discard(txn);
    return NULL;
}

static void listed(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    upgrade->activating = false;
    if (result->outcome != RP_KV_OK || upgrade->state != RP_UPGRADE_ANNOUNCED ||
        !rp_election_is_valid(upgrade->election, rp_loop_now(upgrade->loop)))
        return;
    struct rp_kv_txn *txn = activation(upgrade, result);
    if (!txn)
        return;
    upgrade->activating = true;
    rp_kv_txn_submit(upgrade->store, RP_KV_BUDGET_LEADERSHIP, txn, activated, upgrade);
}

static void looked(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    struct rp_kv_item item;
    bool first = !upgrade->activation_read;
    if (upgrade->state >= RP_UPGRADE_ACTIVE)
        return;
    upgrade->activation_read |= result->outcome == RP_KV_OK || result->outcome == RP_KV_NOT_FOUND;
    if (rp_kv_result_item(result, &item)) {
        rp_upgrade_on_activation_record(upgrade, item.value);
        return;
    }
    if (first && upgrade->activation_read)
        upgrade->on_change(upgrade->arg);
    /* A node that keeps to the old forms says nothing, and so counts as old. */
    if (result->outcome != RP_KV_NOT_FOUND || upgrade->settings->tuning.keep_old_forms)
        return;
    struct timespec now = rp_loop_now(upgrade->loop);
    if (upgrade->state == RP_UPGRADE_LOOKING && upgrade->lease) {
        announce(upgrade);
    } else if (upgrade->state == RP_UPGRADE_LOOKING) {
        set_state(upgrade, RP_UPGRADE_LEASING);
        rp_kv_lease_grant(upgrade->store, LEASE_S, leased, upgrade);
    } else if (upgrade->state == RP_UPGRADE_ANNOUNCED &&
               rp_ts_since(now, upgrade->renewed_at) >= TOUCH_S) {
        upgrade->renewed_at = now;
        rp_kv_lease_renew(upgrade->store, upgrade->lease, touched, upgrade);
    }
    if (upgrade->state == RP_UPGRADE_ANNOUNCED && !upgrade->activating &&
        rp_election_is_valid(upgrade->election, now)) {
        upgrade->activating = true;
        rp_kv_list(upgrade->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_VERSION, NULL, 1000, listed,
                   upgrade);
    }
}

static void tick(void *arg) {
    struct rp_upgrade *upgrade = arg;
    rp_timer_set(upgrade->loop, &upgrade->timer, TICK_S);
    rp_kv_get(upgrade->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_FORMAT, looked, upgrade);
}

void rp_upgrade_start(struct rp_upgrade *upgrade) {
    rp_timer_set(upgrade->loop, &upgrade->timer, 0);
}

void rp_upgrade_stop(struct rp_upgrade *upgrade) {
    rp_timer_cancel(upgrade->loop, &upgrade->timer);
}

json_t *rp_upgrade_mark_record(const struct rp_upgrade *upgrade, json_t *record) {
    return rp_upgrade_is_active(upgrade) ? rp_record_mark(record) : record;
}
