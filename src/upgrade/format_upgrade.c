#include "upgrade/format_upgrade.h"

#include <string.h>
#include "base/log.h"
#include "store/records.h"

#define ACTIVATION_READ_PERIOD_S 0.5
/* Length in seconds of the lease of an announcement. A node that has terminated counts as one that
 * does not support the format after this time. */
#define ANNOUNCEMENT_TTL_S 10.0
#define ANNOUNCEMENT_RENEWAL_PERIOD_S 2.0
/* Maximum number of announcements that are listed at once: as many items as the store lists in one
 * response, and more than there are nodes. */
#define ANNOUNCEMENTS_LIMIT 1000
/* Conditions that the store accepts in a transaction for each change that it allows (PROTOCOL). */
#define CONDITIONS_PER_CHANGE 4
/* Conditions of the activation besides the announcements: leadership, and that no activation exists
 * yet. */
#define OTHER_CONDITIONS 2

static void on_timer(void *arg);

void rp_upgrade_init(struct rp_upgrade *upgrade, struct rp_loop *loop, struct rp_kv_client *store,
                     struct rp_election *election, const struct rp_settings *settings,
                     rp_upgrade_fn on_change, void *arg) {
    *upgrade = (struct rp_upgrade){.loop = loop,
                                   .store = store,
                                   .election = election,
                                   .settings = settings,
                                   .on_change = on_change,
                                   .arg = arg,
                                   .timer = {.fn = on_timer, .arg = upgrade}};
}

bool rp_upgrade_is_active(const struct rp_upgrade *upgrade) {
    return upgrade->state == RP_UPGRADE_ACTIVE;
}

const char *rp_upgrade_state_name(const struct rp_upgrade *upgrade) {
    static const char *const names[] = {
        [RP_UPGRADE_UNANNOUNCED] = "looking",   [RP_UPGRADE_ACQUIRING_LEASE] = "leasing",
        [RP_UPGRADE_ANNOUNCING] = "announcing", [RP_UPGRADE_ANNOUNCED] = "announced",
        [RP_UPGRADE_ACTIVE] = "active",         [RP_UPGRADE_TOO_OLD] = "too old",
    };
    return names[upgrade->state];
}

json_t *rp_upgrade_mark_record(const struct rp_upgrade *upgrade, json_t *record) {
    return rp_upgrade_is_active(upgrade) ? rp_record_mark(record) : record;
}

static void ignore_result(void *arg, const struct rp_kv_result *result) {
    (void)arg;
    (void)result;
}

/* Whether an activation, of RP_FORMAT or of a later format, is known. This is final. */
static bool is_decided(const struct rp_upgrade *upgrade) {
    return upgrade->state >= RP_UPGRADE_ACTIVE;
}

/* Ends this node's announcement, which is not needed once the activation is known. */
static void withdraw_announcement(struct rp_upgrade *upgrade) {
    rp_timer_cancel(upgrade->loop, &upgrade->timer);
    if (upgrade->lease != RP_KV_NO_LEASE)
        rp_kv_lease_revoke(upgrade->store, upgrade->lease, ignore_result, NULL);
    upgrade->lease = RP_KV_NO_LEASE;
}

/* Changes the state; no other function assigns it. The transitions are:
 * - UNANNOUNCED to ACQUIRING_LEASE: a read showed that no activation exists, and this node has no
 *   lease for its announcement.
 * - UNANNOUNCED to ANNOUNCING: a read showed that no activation exists, and this node still has a
 *   lease from an earlier announcement whose write was not confirmed.
 * - ACQUIRING_LEASE to ANNOUNCING: the store granted a lease.
 * - ACQUIRING_LEASE to UNANNOUNCED: the store granted no lease, or did not respond.
 * - ANNOUNCING to ANNOUNCED: the store confirmed that the announcement was written.
 * - ANNOUNCING to UNANNOUNCED: the store did not confirm that the announcement was written.
 * - ANNOUNCED to UNANNOUNCED: the lease has ended, which deleted the announcement.
 * - Any state to ACTIVE or TOO_OLD: the activation was read, or written by this node as leader.
 *
 * ACTIVE and TOO_OLD are final, because the activation is never undone. */
static void set_state(struct rp_upgrade *upgrade, enum rp_upgrade_state state) {
    if (upgrade->state == state || is_decided(upgrade))
        return;
    upgrade->state = state;
    if (!is_decided(upgrade))
        return;
    withdraw_announcement(upgrade);
    if (state == RP_UPGRADE_ACTIVE)
        rp_info("record format is active: format=%d", RP_FORMAT);
    else
        rp_error("this version is too old, a later record format is active: format=%d", RP_FORMAT);
    upgrade->on_change(upgrade->arg);
}

void rp_upgrade_on_activation_record(struct rp_upgrade *upgrade, const json_t *record) {
    if (!record || rp_record_format(record) < RP_FORMAT)
        return;
    bool is_later = rp_record_format(record) > RP_FORMAT;
    set_state(upgrade, is_later ? RP_UPGRADE_TOO_OLD : RP_UPGRADE_ACTIVE);
}

/* ---- this node's announcement ---- */

static void on_announcement_written(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    if (upgrade->state != RP_UPGRADE_ANNOUNCING)
        return;
    if (result->outcome == RP_KV_BAD_REQUEST)
        upgrade->lease = RP_KV_NO_LEASE; /* the lease has ended */
    set_state(upgrade, result->outcome == RP_KV_OK ? RP_UPGRADE_ANNOUNCED : RP_UPGRADE_UNANNOUNCED);
}

static void write_announcement(struct rp_upgrade *upgrade) {
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_key(key, RP_KEY_ANNOUNCEMENT, upgrade->settings->node);
    rp_kv_txn_put(txn, key, rp_record_announcement(upgrade->settings->node), upgrade->lease);
    set_state(upgrade, RP_UPGRADE_ANNOUNCING);
    rp_kv_txn_submit(upgrade->store, RP_KV_BUDGET_LEADERSHIP, txn, on_announcement_written,
                     upgrade);
}

static void on_lease_granted(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    uint64_t lease = rp_kv_result_lease(result);
    if (upgrade->state != RP_UPGRADE_ACQUIRING_LEASE)
        return;
    if (result->outcome != RP_KV_OK || lease == RP_KV_NO_LEASE) {
        set_state(upgrade, RP_UPGRADE_UNANNOUNCED);
        return;
    }
    upgrade->lease = lease;
    upgrade->renewed_at = rp_loop_now(upgrade->loop);
    write_announcement(upgrade);
}

static void on_lease_renewed(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    if (result->outcome != RP_KV_NOT_FOUND || upgrade->state != RP_UPGRADE_ANNOUNCED)
        return;
    upgrade->lease = RP_KV_NO_LEASE;
    set_state(upgrade, RP_UPGRADE_UNANNOUNCED);
}

/* Starts the next step of the announcement, or renews its lease when that is due. */
static void advance_announcement(struct rp_upgrade *upgrade, struct timespec now) {
    if (upgrade->state == RP_UPGRADE_UNANNOUNCED && upgrade->lease != RP_KV_NO_LEASE) {
        write_announcement(upgrade);
    } else if (upgrade->state == RP_UPGRADE_UNANNOUNCED) {
        set_state(upgrade, RP_UPGRADE_ACQUIRING_LEASE);
        rp_kv_lease_grant(upgrade->store, ANNOUNCEMENT_TTL_S, on_lease_granted, upgrade);
    } else if (upgrade->state == RP_UPGRADE_ANNOUNCED &&
               rp_ts_since(now, upgrade->renewed_at) >= ANNOUNCEMENT_RENEWAL_PERIOD_S) {
        upgrade->renewed_at = now;
        rp_kv_lease_renew(upgrade->store, upgrade->lease, on_lease_renewed, upgrade);
    }
}

/* ---- the activation, by the leader ---- */

static void on_activation_written(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    upgrade->is_activating = false;
    if (result->outcome == RP_KV_OK) {
        rp_info("record format activated, every node supports it: format=%d", RP_FORMAT);
        set_state(upgrade, RP_UPGRADE_ACTIVE);
    }
}

/* The revision of the node's announcement in the list, or RP_KV_ABSENT if the node counts as one
 * that does not support the format. */
static uint64_t announcement_revision(const struct rp_kv_result *announcements, const char *node) {
    char key[RP_KEY_MAX];
    struct rp_kv_item item;
    rp_key(key, RP_KEY_ANNOUNCEMENT, node);
    for (size_t i = 0; i < rp_kv_result_n_items(announcements); i++) {
        if (!rp_kv_result_item_at(announcements, i, &item) || strcmp(item.key, key) != 0)
            continue;
        if (rp_record_format(item.value) >= RP_FORMAT)
            return item.revision;
    }
    return RP_KV_ABSENT;
}

/* The transaction that activates RP_FORMAT, on the condition that every node's announcement still
 * exists; NULL if an announcement is missing. If the store accepts fewer conditions than there are
 * nodes, the remaining announcements are checked only in the list that was just read. */
static struct rp_kv_txn *build_activation(struct rp_upgrade *upgrade,
                                          const struct rp_kv_result *announcements) {
    const struct rp_settings *settings = upgrade->settings;
    size_t n_conditions_left =
        CONDITIONS_PER_CHANGE * settings->kv_limits_lowest.txn_ops - OTHER_CONDITIONS;
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(upgrade->election, txn);
    rp_kv_txn_if(txn, RP_KEY_ACTIVATION, RP_KV_ABSENT);
    upgrade->n_nodes_announced = 0;
    for (size_t i = 0; i <= settings->n_peers; i++) {
        const char *node = i < settings->n_peers ? settings->peers[i].name : settings->node;
        uint64_t revision = announcement_revision(announcements, node);
        upgrade->n_nodes_announced += revision != RP_KV_ABSENT;
        if (n_conditions_left > 0) {
            rp_key(key, RP_KEY_ANNOUNCEMENT, node);
            rp_kv_txn_if(txn, key, revision);
            n_conditions_left--;
        }
    }
    rp_kv_txn_put(txn, RP_KEY_ACTIVATION, rp_record_activation(), RP_KV_NO_LEASE);
    if (upgrade->n_nodes_announced == settings->n_peers + 1)
        return txn;
    rp_kv_txn_discard(txn);
    return NULL;
}

/* Whether this node has announced RP_FORMAT, and leads. */
static bool can_activate(const struct rp_upgrade *upgrade) {
    return upgrade->state == RP_UPGRADE_ANNOUNCED &&
           rp_election_is_valid(upgrade->election, rp_loop_now(upgrade->loop));
}

static void on_announcements_listed(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    upgrade->is_activating = false;
    if (result->outcome != RP_KV_OK || !can_activate(upgrade))
        return;
    struct rp_kv_txn *txn = build_activation(upgrade, result);
    if (!txn)
        return;
    upgrade->is_activating = true;
    rp_kv_txn_submit(upgrade->store, RP_KV_BUDGET_LEADERSHIP, txn, on_activation_written, upgrade);
}

static void list_announcements(struct rp_upgrade *upgrade) {
    upgrade->is_activating = true;
    rp_kv_list(upgrade->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_ANNOUNCEMENT, NULL,
               ANNOUNCEMENTS_LIMIT, on_announcements_listed, upgrade);
}

/* ---- reading the activation ---- */

static void on_activation_read(void *arg, const struct rp_kv_result *result) {
    struct rp_upgrade *upgrade = arg;
    struct rp_kv_item item;
    bool was_read = upgrade->has_read_activation;
    if (is_decided(upgrade))
        return;
    upgrade->has_read_activation |=
        result->outcome == RP_KV_OK || result->outcome == RP_KV_NOT_FOUND;
    if (rp_kv_result_item(result, &item)) {
        rp_upgrade_on_activation_record(upgrade, item.value);
        return;
    }
    if (upgrade->has_read_activation && !was_read)
        upgrade->on_change(upgrade->arg);
    /* A node with the setting `keep_old_forms` announces nothing, and therefore counts as one that
     * does not support the format. */
    if (result->outcome != RP_KV_NOT_FOUND || upgrade->settings->tuning.keep_old_forms)
        return;
    advance_announcement(upgrade, rp_loop_now(upgrade->loop));
    if (!upgrade->is_activating && can_activate(upgrade))
        list_announcements(upgrade);
}

static void on_timer(void *arg) {
    struct rp_upgrade *upgrade = arg;
    rp_timer_set(upgrade->loop, &upgrade->timer, ACTIVATION_READ_PERIOD_S);
    rp_kv_get(upgrade->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_ACTIVATION, on_activation_read,
              upgrade);
}

void rp_upgrade_start(struct rp_upgrade *upgrade) {
    rp_timer_set(upgrade->loop, &upgrade->timer, 0);
}

void rp_upgrade_stop(struct rp_upgrade *upgrade) {
    rp_timer_cancel(upgrade->loop, &upgrade->timer);
}
