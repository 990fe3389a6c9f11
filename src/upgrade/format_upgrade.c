#include "upgrade/format_upgrade.h"

#include <string.h>
#include "base/log.h"
#include "store/records.h"
#include "protocol/wire.h"

#define TICK_S 0.5
#define LEASE_S 10.0 /* a node that is gone counts as old so much later */
#define TOUCH_S 2.0

static void tick(void *arg);

void rp_upgrade_init(struct rp_upgrade *u, struct rp_loop *loop, struct rp_state_client *state,
                     struct rp_election *election, const struct rp_settings *settings,
                     void (*on_change)(void *arg), void *arg) {
    memset(u, 0, sizeof *u);
    u->loop = loop;
    u->state = state;
    u->election = election;
    u->settings = settings;
    u->on_change = on_change;
    u->arg = arg;
    u->timer = (struct rp_timer){.fn = tick, .arg = u};
}

bool rp_upgrade_active(const struct rp_upgrade *u) {
    return u->at == RP_UPGRADE_ACTIVE;
}

const char *rp_upgrade_word(const struct rp_upgrade *u) {
    static const char *const words[] = {"looking",   "leasing", "announcing",
                                        "announced", "active",  "too old"};
    return words[u->at];
}

static void dropped(void *arg, const struct rp_state_result *r) {
    (void)arg;
    (void)r;
}

/* The one place where it changes its state. What is active stays so. */
static void set_state(struct rp_upgrade *u, enum rp_upgrade_state at) {
    if (u->at == at || u->at >= RP_UPGRADE_ACTIVE)
        return;
    u->at = at;
    if (at < RP_UPGRADE_ACTIVE)
        return;
    rp_timer_cancel(u->loop, &u->timer);
    if (u->lease)
        rp_state_lease_end(u->state, u->lease, dropped, NULL);
    u->lease = 0;
    if (at == RP_UPGRADE_ACTIVE)
        rp_info("format %d is active", RP_FORMAT);
    else
        rp_error("a format later than %d is active: this version keeps away", RP_FORMAT);
    u->on_change(u->arg);
}

void rp_upgrade_read(struct rp_upgrade *u, const json_t *record) {
    if (record && rp_record_format(record) >= RP_FORMAT)
        set_state(u, rp_record_format(record) > RP_FORMAT ? RP_UPGRADE_TOO_OLD : RP_UPGRADE_ACTIVE);
}

/* ---- this node's record ---- */

static void announced(void *arg, const struct rp_state_result *r) {
    struct rp_upgrade *u = arg;
    if (u->at != RP_UPGRADE_ANNOUNCING)
        return;
    if (r->outcome == RP_STATE_BAD)
        u->lease = 0; /* it has ended meanwhile */
    set_state(u, r->outcome == RP_STATE_OK ? RP_UPGRADE_ANNOUNCED : RP_UPGRADE_LOOKING);
}

static void announce(struct rp_upgrade *u) {
    char key[RP_KEY_MAX];
    json_t *txn = rp_wire_txn();
    rp_key(key, RP_KEY_VERSION, u->settings->node);
    rp_wire_txn_put(txn, key, rp_record_version(u->settings->node), u->lease);
    set_state(u, RP_UPGRADE_ANNOUNCING);
    rp_state_txn(u->state, RP_SHARE_LEADERSHIP, txn, announced, u);
}

static void leased(void *arg, const struct rp_state_result *r) {
    struct rp_upgrade *u = arg;
    if (u->at != RP_UPGRADE_LEASING)
        return;
    set_state(u, RP_UPGRADE_LOOKING);
    if (r->outcome != RP_STATE_OK || !rp_wire_lease(r->body))
        return;
    u->lease = rp_wire_lease(r->body);
    u->touched = rp_loop_now(u->loop);
    announce(u);
}

static void touched(void *arg, const struct rp_state_result *r) {
    struct rp_upgrade *u = arg;
    if (r->outcome != RP_STATE_MISSING || u->at != RP_UPGRADE_ANNOUNCED)
        return;
    u->lease = 0;
    set_state(u, RP_UPGRADE_LOOKING);
}

/* ---- the activation ---- */

static void activated(void *arg, const struct rp_state_result *r) {
    struct rp_upgrade *u = arg;
    u->activating = false;
    if (r->outcome == RP_STATE_OK) {
        rp_info("every node knows format %d: activated", RP_FORMAT);
        set_state(u, RP_UPGRADE_ACTIVE);
    }
}

/* The version of the node's record among those listed, or 0: the node counts as old. */
static uint64_t known_as(json_t *body, size_t n, const char *node) {
    char key[RP_KEY_MAX];
    struct rp_item item;
    rp_key(key, RP_KEY_VERSION, node);
    for (size_t i = 0; i < n; i++)
        if (rp_wire_items_at(body, i, &item) && strcmp(item.key, key) == 0 &&
            rp_record_format(item.value) >= RP_FORMAT)
            return item.version;
    return 0;
}

/* The transaction that activates, or NULL while some node counts as old. Where the service takes
 * fewer conditions than there are nodes, the rest of them is known from the list just read. */
static json_t *activation(struct rp_upgrade *u, json_t *body) {
    const struct rp_settings *s = u->settings;
    bool more;
    size_t n = rp_wire_items(body, &more), room = 4 * s->state_fit.txn_ops - 2;
    char key[RP_KEY_MAX];
    json_t *txn = rp_wire_txn();
    rp_election_guard(u->election, txn);
    rp_wire_txn_if(txn, RP_KEY_FORMAT, 0);
    u->n_known = 0;
    for (size_t i = 0; i <= s->n_peers; i++) {
        const char *node = i < s->n_peers ? s->peers[i].name : s->node;
        uint64_t version = known_as(body, n, node);
        u->n_known += version > 0;
        rp_key(key, RP_KEY_VERSION, node);
        if (room > 0 && room-- > 0)
            rp_wire_txn_if(txn, key, version);
    }
    rp_wire_txn_put(txn, RP_KEY_FORMAT, rp_record_activation(), 0);
    if (u->n_known == s->n_peers + 1)
        return txn;
    json_decref(txn);
    return NULL;
}

static void listed(void *arg, const struct rp_state_result *r) {
    struct rp_upgrade *u = arg;
    u->activating = false;
    if (r->outcome != RP_STATE_OK || u->at != RP_UPGRADE_ANNOUNCED ||
        !rp_election_valid(u->election, rp_loop_now(u->loop)))
        return;
    json_t *txn = activation(u, r->body);
    if (!txn)
        return;
    u->activating = true;
    rp_state_txn(u->state, RP_SHARE_LEADERSHIP, txn, activated, u);
}

static void looked(void *arg, const struct rp_state_result *r) {
    struct rp_upgrade *u = arg;
    struct rp_item item;
    bool first = !u->looked;
    if (u->at >= RP_UPGRADE_ACTIVE)
        return;
    u->looked |= r->outcome == RP_STATE_OK || r->outcome == RP_STATE_MISSING;
    if (r->outcome == RP_STATE_OK && rp_wire_item(r->body, &item)) {
        rp_upgrade_read(u, item.value);
        return;
    }
    if (first && u->looked)
        u->on_change(u->arg);
    /* A node that keeps to the old forms says nothing, and so counts as old. */
    if (r->outcome != RP_STATE_MISSING || u->settings->tuning.keep_old_forms)
        return;
    struct timespec now = rp_loop_now(u->loop);
    if (u->at == RP_UPGRADE_LOOKING && u->lease) {
        announce(u);
    } else if (u->at == RP_UPGRADE_LOOKING) {
        set_state(u, RP_UPGRADE_LEASING);
        rp_state_lease(u->state, LEASE_S, leased, u);
    } else if (u->at == RP_UPGRADE_ANNOUNCED && rp_ts_since(now, u->touched) >= TOUCH_S) {
        u->touched = now;
        rp_state_touch(u->state, u->lease, touched, u);
    }
    if (u->at == RP_UPGRADE_ANNOUNCED && !u->activating && rp_election_valid(u->election, now)) {
        u->activating = true;
        rp_state_list(u->state, RP_SHARE_LEADERSHIP, RP_KEY_VERSION, NULL, 1000, listed, u);
    }
}

static void tick(void *arg) {
    struct rp_upgrade *u = arg;
    rp_timer_set(u->loop, &u->timer, TICK_S);
    rp_state_get(u->state, RP_SHARE_LEADERSHIP, RP_KEY_FORMAT, looked, u);
}

void rp_upgrade_start(struct rp_upgrade *u) {
    rp_timer_set(u->loop, &u->timer, 0);
}

void rp_upgrade_stop(struct rp_upgrade *u) {
    rp_timer_cancel(u->loop, &u->timer);
}
