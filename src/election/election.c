#include "election/election.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "store/records.h"

/* Margin for clock drift, as a share of a lease's length. It shortens the time for which this node
 * trusts its own lease, and lengthens the time for which it assumes that a fenced leader may still
 * act. The steady clock may run 0.05% fast against the store's clock; this is four times that. */
#define CLOCK_DRIFT_SHARE 0.002
/* Margin in seconds, in addition to CLOCK_DRIFT_SHARE, for steps of the clock and for an iteration
 * of the event loop that ends between the check of the lease and the sending of a message. */
#define CLOCK_MARGIN_S 0.15
/* Seconds beyond the lease's length for which the leader that the last read of the key found is
 * still reported as the leader. If that read is longer ago, the leader may have lost the key since.
 */
#define STALE_LEADER_TOLERANCE_S 2.0
/* Seconds beyond the lease's length during which a silent leader is presumed to have stopped. A
 * leader that is silent for longer and still has the key must be renewing its lease. */
#define SILENT_LEADER_TOLERANCE_S 0.5
/* Seconds from a failed request to the next attempt. */
#define RETRY_DELAY_S 0.25
/* Maximum number of seconds between renewals of the leader's lease. When an outage of the store
 * begins, the lease has already lost the time since its last renewal. */
#define RENEWAL_PERIOD_MAX_S 0.5
/* Minimum number of renewals within the length of a lease; shortens the renewal period of a short
 * lease. */
#define RENEWALS_PER_LEASE_MIN 8
/* Maximum length in seconds of the lease of a term that begins because the previous leader fell
 * silent. One node is then probably down, and if this leader falls silent too, workers have too few
 * nodes left to try. A worker waits 4 s for a response and a second later sends its heartbeat to
 * the next node, which holds it for up to 3.7 s (worker/heartbeat_queue.c); by then the next leader
 * has to be known. */
#define TTL_AFTER_SILENT_LEADER_MAX_S 7.5

static void on_timer(void *arg);

void rp_election_init(struct rp_election *election, struct rp_loop *loop,
                      struct rp_kv_client *store, const char *node, double ttl_s, double check_s,
                      rp_election_fn on_elected, rp_election_fn on_lost, void *arg) {
    *election = (struct rp_election){.loop = loop,
                                     .store = store,
                                     .node = node,
                                     .ttl_s = ttl_s,
                                     .term_ttl_s = ttl_s,
                                     .check_s = check_s,
                                     .on_elected = on_elected,
                                     .on_lost = on_lost,
                                     .arg = arg,
                                     .timer = {.fn = on_timer, .arg = election}};
}

/* ---- validity and the current leader ---- */

struct timespec rp_election_trusted_until(struct timespec sent, double ttl_s) {
    return rp_ts_after(sent, ttl_s * (1.0 - CLOCK_DRIFT_SHARE) - CLOCK_MARGIN_S);
}

bool rp_election_is_valid(const struct rp_election *election, struct timespec now) {
    return election->state == RP_ELECTION_HOLDING_KEY &&
           !rp_ts_is_reached(now, election->valid_until);
}

/* Whether the leader is presumed to have stalled or terminated. A leader that still has the key
 * when any lease would have ended is running, and only this node cannot reach it. */
static bool is_leader_silent(const struct rp_election *election, struct timespec now) {
    return !rp_ts_is_zero(election->leader_silent_since) &&
           rp_ts_since(now, election->leader_silent_since) <
               election->ttl_s + SILENT_LEADER_TOLERANCE_S;
}

/* Whether the last read of the key found a leader, recently enough to be reported. A node that is
 * partitioned from the store would otherwise report a leader that may have terminated long ago, and
 * workers would be redirected in circles. */
static bool has_recent_leader(const struct rp_election *election, struct timespec now) {
    double age_s = rp_ts_since(now, election->leader_key_read_at);
    return election->leader[0] && age_s <= election->ttl_s + STALE_LEADER_TOLERANCE_S;
}

const char *rp_election_leader(const struct rp_election *election, struct timespec now) {
    bool is_own =
        election->state == RP_ELECTION_HOLDING_KEY || strcmp(election->leader, election->node) == 0;
    if (is_own || !has_recent_leader(election, now) || is_leader_silent(election, now))
        return NULL;
    return election->leader;
}

void rp_election_guard(const struct rp_election *election, struct rp_kv_txn *txn) {
    rp_kv_txn_if(txn, RP_KEY_LEADER, election->fencing_token);
}

/* Whether the backoff after a resignation is over, during which this node does not claim the key
 * and the other nodes can. The backoff applies also while the key still names this node, since the
 * revocation of its lease may be carried out seconds later. */
static bool is_backoff_over(const struct rp_election *election) {
    return rp_ts_is_reached(rp_loop_now(election->loop), election->backoff_until);
}

/* ---- state transitions ---- */

struct transition {
    enum rp_election_state from, to;
};

/* All transitions, each with its event and what is known when it is made. docs/safety.md,
 * "Failovers", has the argument why that is sufficient. */
static const struct transition transitions[] = {
    /* rp_election_fence_leader was called. The key was read, names another node, and names the
     * lease by which that node, or one that it fenced, may act. Whether that node still acts is not
     * known. */
    {RP_ELECTION_FOLLOWING, RP_ELECTION_OVERWRITING_KEY},
    /* The key was read and names this node, which does not hold it: an earlier process of this node
     * wrote it when it had fenced a leader, whose lease the key names. That leader may still act.
     */
    {RP_ELECTION_FOLLOWING, RP_ELECTION_REVOKING_LEASE},
    /* The key was read. Either it is free, because the lease of its last holder has ended, or it
     * names this node and no fenced leader. In the second case it was written by an earlier
     * process, which has terminated, or by a claim whose response was lost. No node acts on that
     * claim, hence this node need not wait for its lease to end. */
    {RP_ELECTION_FOLLOWING, RP_ELECTION_ACQUIRING_LEASE},
    /* The store confirmed that the key was overwritten, at a known revision. Every guarded write of
     * the earlier leader fails from now on, but that leader may still answer workers. */
    {RP_ELECTION_OVERWRITING_KEY, RP_ELECTION_REVOKING_LEASE},
    /* Overwriting the key failed with a conflict, was refused, or received no response. If the
     * write was carried out nevertheless, the next read shows this node's name with the lease that
     * has to be revoked. */
    {RP_ELECTION_OVERWRITING_KEY, RP_ELECTION_FOLLOWING},
    /* The store did not confirm the revocation of the lease, which is requested again. */
    {RP_ELECTION_REVOKING_LEASE, RP_ELECTION_REVOKING_LEASE},
    /* The store confirmed that the lease has ended. The earlier leader can renew nothing more, and
     * its earlier renewals are valid until fenced_leader_expiry at the latest. */
    {RP_ELECTION_REVOKING_LEASE, RP_ELECTION_ACQUIRING_LEASE},
    /* The store granted a lease to this node. */
    {RP_ELECTION_ACQUIRING_LEASE, RP_ELECTION_CLAIMING_KEY},
    /* No lease was granted, or no response was received. No key is attached to a lease whose grant
     * was not received. */
    {RP_ELECTION_ACQUIRING_LEASE, RP_ELECTION_FOLLOWING},
    /* The store confirmed that the key was written, attached to the lease, on the condition that
     * it still had the revision with which the claim began. No other node has held the key since.
     * The revision of the write is the fencing token. */
    {RP_ELECTION_CLAIMING_KEY, RP_ELECTION_HOLDING_KEY},
    /* The claim failed: another node wrote the key first, or the store refused the claim or did not
     * respond. */
    {RP_ELECTION_CLAIMING_KEY, RP_ELECTION_FOLLOWING},
    /* The lease has ended, a read showed the key to be free or another node's, a fence of a later
     * revision was received, or this node gave up the key. A period in which leadership could not
     * be proven does not end the term: rp_election_is_valid keeps this node from acting meanwhile.
     */
    {RP_ELECTION_HOLDING_KEY, RP_ELECTION_FOLLOWING}};

static bool is_transition(enum rp_election_state from, enum rp_election_state to) {
    for (size_t i = 0; i < sizeof transitions / sizeof transitions[0]; i++)
        if (transitions[i].from == from && transitions[i].to == to)
            return true;
    return false;
}

/* Changes the state and calls the call-backs. No other function assigns `state`. */
static void set_state(struct rp_election *election, enum rp_election_state state) {
    bool was_holding = election->state == RP_ELECTION_HOLDING_KEY;
    bool is_expected = is_transition(election->state, state);
    assert(is_expected);
    (void)is_expected;
    election->state = state;
    if (was_holding) {
        rp_info("leadership lost: term=%" PRIu64, election->fencing_token);
        election->fencing_token = 0;
        rp_log_set_term(0);
        election->on_lost(election->arg);
    } else if (state == RP_ELECTION_HOLDING_KEY) {
        rp_string_copy(election->leader, sizeof election->leader, election->node);
        rp_log_set_term(election->fencing_token);
        rp_info("leadership taken: term=%" PRIu64 " lease=%" PRIu64, election->fencing_token,
                election->lease);
        election->on_elected(election->arg);
    }
}

static void follow(struct rp_election *election, double read_after_s) {
    set_state(election, RP_ELECTION_FOLLOWING);
    rp_timer_set(election->loop, &election->timer, read_after_s);
}

/* ---- claiming the key ---- */

static void ignore_result(void *arg, const struct rp_kv_result *result) {
    (void)arg;
    (void)result;
}

static void schedule_renewal(struct rp_election *election) {
    rp_timer_set(election->loop, &election->timer,
                 fmin(RENEWAL_PERIOD_MAX_S, election->term_ttl_s / RENEWALS_PER_LEASE_MIN));
}

static void on_key_claimed(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (result->outcome == RP_KV_OK) {
        election->fencing_token = rp_kv_result_revision(result);
        election->valid_until =
            rp_election_trusted_until(election->lease_requested_at, election->term_ttl_s);
        set_state(election, RP_ELECTION_HOLDING_KEY);
        schedule_renewal(election);
        return;
    }
    /* A claim without a response may have been carried out. Its lease is then left to expire, and
     * the next read shows this node's own name, upon which the key is claimed again. */
    if (result->outcome == RP_KV_CONDITION_FAILED)
        rp_kv_lease_revoke(election->store, election->lease, ignore_result, NULL);
    follow(election, RETRY_DELAY_S);
}

/* The key's value for this node's next term. It names the lease only if other nodes may revoke it
 * in a failover. */
static json_t *own_record(const struct rp_election *election, uint64_t lease) {
    struct rp_leader_record record = {.fenced = election->fenced_lease};
    rp_string_copy(record.node, sizeof record.node, election->node);
    if (lease != RP_KV_NO_LEASE && election->failover_enabled)
        record.own = (struct rp_fenced_lease){.lease = lease, .ttl_s = election->term_ttl_s};
    return rp_record_leader(&record);
}

static void on_lease_granted(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    uint64_t lease = rp_kv_result_lease(result);
    if (result->outcome != RP_KV_OK || lease == RP_KV_NO_LEASE) {
        follow(election, RETRY_DELAY_S);
        return;
    }
    election->lease = lease;
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_kv_txn_if(txn, RP_KEY_LEADER, election->claim_revision);
    rp_kv_txn_put(txn, RP_KEY_LEADER, own_record(election, lease), lease);
    set_state(election, RP_ELECTION_CLAIMING_KEY);
    rp_kv_txn_submit(election->store, RP_KV_BUDGET_LEADERSHIP, txn, on_key_claimed, election);
}

static double next_term_ttl_s(const struct rp_election *election) {
    /* A node that finds this node's key free has waited for this node's lease to end. With this
     * length, the lease lasts at least as long as the fenced leader may act. */
    if (election->fenced_lease.lease != RP_KV_NO_LEASE)
        return fmax(election->ttl_s, election->fenced_lease.ttl_s);
    if (!rp_ts_is_zero(election->leader_silent_since))
        return fmin(TTL_AFTER_SILENT_LEADER_MAX_S, election->ttl_s);
    return election->ttl_s;
}

static void acquire_lease(struct rp_election *election) {
    election->lease_requested_at = rp_loop_now(election->loop);
    election->term_ttl_s = next_term_ttl_s(election);
    set_state(election, RP_ELECTION_ACQUIRING_LEASE);
    rp_kv_lease_grant(election->store, election->term_ttl_s, on_lease_granted, election);
}

static void on_fenced_lease_revoked(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (election->state != RP_ELECTION_REVOKING_LEASE)
        return;
    bool has_ended = result->outcome == RP_KV_OK || result->outcome == RP_KV_NOT_FOUND;
    if (!has_ended) {
        /* No node may lead before the fenced leader's lease has ended, hence the revocation is
         * requested again. */
        rp_timer_set(election->loop, &election->timer, RETRY_DELAY_S);
        return;
    }
    /* Every renewal that the fenced leader trusts was sent before the lease ended, and the lease
     * ended before now. */
    election->fenced_leader_expiry =
        rp_ts_after(rp_loop_now(election->loop),
                    election->fenced_lease.ttl_s * (1.0 + CLOCK_DRIFT_SHARE) + CLOCK_MARGIN_S);
    acquire_lease(election);
}

static void revoke_fenced_lease(struct rp_election *election) {
    set_state(election, RP_ELECTION_REVOKING_LEASE);
    rp_kv_lease_revoke(election->store, election->fenced_lease.lease, on_fenced_lease_revoked,
                       election);
}

/* Begins a claim of the key whose current revision is `revision`. `fenced` is the lease of an
 * earlier leader that may still act; it has to end first. RP_KV_NO_LEASE in it means that no
 * earlier leader may still act. */
static void claim_key(struct rp_election *election, uint64_t revision,
                      struct rp_fenced_lease fenced) {
    election->claim_revision = revision;
    election->fenced_lease = fenced;
    election->fenced_leader_expiry = (struct timespec){0};
    if (fenced.lease != RP_KV_NO_LEASE)
        revoke_fenced_lease(election);
    else
        acquire_lease(election);
}

/* ---- fencing a leader that may still act ---- */

static void on_key_overwritten(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (result->outcome == RP_KV_OK)
        claim_key(election, rp_kv_result_revision(result), election->fenced_lease);
    else
        follow(election, RETRY_DELAY_S);
}

static bool can_fence_leader(const struct rp_election *election) {
    bool is_key_of_other = election->leader_key_revision != RP_KV_ABSENT &&
                           strcmp(election->leader_key.node, election->node) != 0;
    return election->state == RP_ELECTION_FOLLOWING && election->failover_enabled &&
           is_key_of_other && is_backoff_over(election);
}

bool rp_election_fence_leader(struct rp_election *election) {
    const struct rp_leader_record *leader = &election->leader_key;
    bool can_fence = can_fence_leader(election);
    /* A node whose own failover has stopped halfway holds no lease yet; its key names only the
     * lease of the leader that it fenced. */
    election->fenced_lease = leader->own.lease != RP_KV_NO_LEASE ? leader->own : leader->fenced;
    if (!can_fence || election->fenced_lease.lease == RP_KV_NO_LEASE)
        return false;
    rp_timer_cancel(election->loop, &election->timer);
    rp_info("fencing the leader: peer=%s key_revision=%" PRIu64, leader->node,
            election->leader_key_revision);
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_kv_txn_if(txn, RP_KEY_LEADER, election->leader_key_revision);
    rp_kv_txn_put(txn, RP_KEY_LEADER, own_record(election, RP_KV_NO_LEASE), RP_KV_NO_LEASE);
    rp_kv_txn_put(txn, RP_KEY_FENCE, rp_record_fence(election->node), RP_KV_NO_LEASE);
    set_state(election, RP_ELECTION_OVERWRITING_KEY);
    rp_kv_txn_submit(election->store, RP_KV_BUDGET_LEADERSHIP, txn, on_key_overwritten, election);
    return true;
}

void rp_election_record_fence(struct rp_election *election, uint64_t revision) {
    if (election->state != RP_ELECTION_HOLDING_KEY || revision <= election->fencing_token)
        return;
    rp_info("fenced by another node: fence_revision=%" PRIu64, revision);
    follow(election, 0);
}

/* ---- following ---- */

/* A stalled leader keeps the key until its lease ends. If its silence were not recorded, workers
 * would be redirected to it and wait there once more, and many would lose their lease before they
 * found the next leader. */
void rp_election_record_leader_response(struct rp_election *election, bool has_responded) {
    if (has_responded)
        election->leader_silent_since = (struct timespec){0};
    else if (rp_ts_is_zero(election->leader_silent_since))
        election->leader_silent_since = rp_loop_now(election->loop);
}

static void record_leader(struct rp_election *election, const struct rp_leader_record *record,
                          uint64_t revision) {
    /* The recorded silence is that of the previous leader: it does not apply to the new one. */
    if (strcmp(record->node, election->leader) != 0)
        election->leader_silent_since = (struct timespec){0};
    rp_string_copy(election->leader, sizeof election->leader, record->node);
    election->leader_key = *record;
    election->leader_key_revision = revision;
}

/* Records the result of a read of the key, and claims the key if it is free or names this node and
 * no backoff applies. Returns whether a claim has begun. */
static bool read_leader_key(struct rp_election *election, const struct rp_kv_result *result) {
    static const struct rp_fenced_lease none = {0};
    struct rp_leader_record record = {0};
    struct rp_kv_item item;
    bool may_claim = is_backoff_over(election);
    if (result->outcome == RP_KV_NOT_FOUND) {
        election->leader[0] = '\0';
        election->leader_key_revision = RP_KV_ABSENT;
        if (may_claim)
            claim_key(election, RP_KV_ABSENT, none);
        return may_claim;
    }
    if (!rp_kv_result_item(result, &item))
        return false;
    bool is_readable = rp_record_leader_read(item.value, &record);
    if (is_readable && strcmp(record.node, election->node) == 0 && may_claim) {
        claim_key(election, item.revision, record.fenced);
        return true;
    }
    record_leader(election, &record, item.revision);
    return false;
}

static void on_leader_key_read(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (election->state != RP_ELECTION_FOLLOWING)
        return; /* a failover has begun since the read was sent */
    if (result->outcome == RP_KV_OK)
        election->leader_key_read_at = rp_loop_now(election->loop);
    if (!read_leader_key(election, result))
        rp_timer_set(election->loop, &election->timer,
                     result->outcome == RP_KV_OK ? election->check_s : RETRY_DELAY_S);
}

/* ---- holding the key ---- */

/* A renewal request that was sent. */
struct renewal {
    struct rp_election *election;
    uint64_t lease;
    struct timespec sent_at;
};

static void on_lease_renewed(void *arg, const struct rp_kv_result *result) {
    struct renewal renewal = *(struct renewal *)arg;
    struct rp_election *election = renewal.election;
    free(arg);
    /* The response to a renewal of an earlier term's lease does not apply to this term's lease.
     * Without this check, it proves a lease that was not renewed, or ends a valid term. */
    if (election->state != RP_ELECTION_HOLDING_KEY || renewal.lease != election->lease)
        return;
    switch (result->outcome) {
    case RP_KV_NOT_FOUND:
        follow(election, 0);
        break;
    case RP_KV_OK:
        /* As long as the lease exists, the key is attached to it and no other node can have written
         * the key. Leadership continues even if it could not be proven for a while. */
        election->valid_until = rp_election_trusted_until(renewal.sent_at, election->term_ttl_s);
        schedule_renewal(election);
        break;
    default:
        rp_timer_set(election->loop, &election->timer, RETRY_DELAY_S);
    }
}

static void renew_lease(struct rp_election *election) {
    struct renewal *renewal = rp_alloc(1, sizeof *renewal);
    *renewal = (struct renewal){
        .election = election, .lease = election->lease, .sent_at = rp_loop_now(election->loop)};
    rp_kv_lease_renew(election->store, election->lease, on_lease_renewed, renewal);
}

static void on_own_key_read(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    struct rp_kv_item item;
    if (election->state != RP_ELECTION_HOLDING_KEY)
        return;
    /* A read that was sent in an earlier term may be answered in this one: only a newer state of
     * the key than this node's claim shows that the key was lost. */
    bool is_free = result->outcome == RP_KV_NOT_FOUND &&
                   rp_kv_result_revision(result) > election->fencing_token;
    bool is_of_other = rp_kv_result_item(result, &item) && item.revision > election->fencing_token;
    if (is_free || is_of_other)
        follow(election, 0);
}

void rp_election_verify(struct rp_election *election) {
    if (election->state == RP_ELECTION_HOLDING_KEY)
        rp_kv_get(election->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_LEADER, on_own_key_read,
                  election);
}

void rp_election_resign(struct rp_election *election, double backoff_s) {
    struct timespec now = rp_loop_now(election->loop);
    if (election->state != RP_ELECTION_HOLDING_KEY)
        return;
    rp_info("resigning leadership: backoff_s=%.1f", backoff_s);
    election->backoff_until = rp_ts_after(now, backoff_s);
    /* While a fenced leader may still act, no node may find the key free. In that case the lease is
     * left to expire; it is long enough (next_term_ttl_s). */
    if (rp_ts_is_reached(now, election->fenced_leader_expiry))
        rp_kv_lease_revoke(election->store, election->lease, ignore_result, NULL);
    follow(election, election->check_s);
}

/* ---- the timer ---- */

/* Starts the next step of the current state. In the states without a next step, this node awaits
 * the result of a request, which always arrives. */
static void on_timer(void *arg) {
    struct rp_election *election = arg;
    switch (election->state) {
    case RP_ELECTION_FOLLOWING:
        rp_kv_get(election->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_LEADER, on_leader_key_read,
                  election);
        break;
    case RP_ELECTION_REVOKING_LEASE:
        revoke_fenced_lease(election);
        break;
    case RP_ELECTION_HOLDING_KEY:
        renew_lease(election);
        break;
    case RP_ELECTION_OVERWRITING_KEY:
    case RP_ELECTION_ACQUIRING_LEASE:
    case RP_ELECTION_CLAIMING_KEY:
        break;
    }
}

void rp_election_start(struct rp_election *election) {
    rp_timer_set(election->loop, &election->timer, 0);
}

void rp_election_stop(struct rp_election *election) {
    rp_timer_cancel(election->loop, &election->timer);
}
