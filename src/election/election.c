#include "election/election.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "store/records.h"

/* The steady clock may run 0.05% fast against the service's: four times that, and a little for
 * the clock's steps and a turn that ends between the check and the sending. */
#define DRIFT 0.002
#define MARGIN_S 0.15
#define STALE_SLACK_S 2.0 /* beyond the lease's length, after which a leader seen may be gone */
#define SILENT_SLACK_S 0.5
#define RETRY_S 0.25
#define TOUCH_S 0.5 /* between renewals: what they are apart is lost when an outage begins */
/* The lease's length, at most, in a term that begins because the leader before fell silent: one
 * node is likely down, and where this leader falls silent too, workers have too few nodes left to
 * try. Each waits 4 s for an answer, tries the next node a second later, and is held there for up
 * to 3.7 s (worker/heartbeat_queue.c); by then the next leader has to be known. */
#define SILENT_TTL_S 7.5

static void tick(void *arg);

void rp_election_init(struct rp_election *election, struct rp_loop *loop,
                      struct rp_kv_client *store, const char *node, double ttl_s, double check_s,
                      rp_election_fn on_elected, rp_election_fn on_lost, void *arg) {
    memset(election, 0, sizeof *election);
    election->loop = loop;
    election->store = store;
    election->node = node;
    election->ttl_s = election->term_ttl_s = ttl_s;
    election->check_s = check_s;
    election->on_elected = on_elected;
    election->on_lost = on_lost;
    election->arg = arg;
    election->timer = (struct rp_timer){.fn = tick, .arg = election};
}

struct timespec rp_election_trusted_until(struct timespec sent, double ttl_s) {
    return rp_ts_after(sent, ttl_s * (1.0 - DRIFT) - MARGIN_S);
}

bool rp_election_is_valid(const struct rp_election *election, struct timespec now) {
    return election->state == RP_ELECTION_HOLDING_KEY && !rp_ts_reached(now, election->valid_until);
}

/* Stands still, or has gone. Where the key is still its own when any lease would have ended, it
 * lives, and only this node can't reach it. */
static bool silent(const struct rp_election *election, struct timespec now) {
    return !rp_ts_zero(election->leader_silent_since) &&
           rp_ts_since(now, election->leader_silent_since) < election->ttl_s + SILENT_SLACK_S;
}

/* A node that is cut from the state service knows of a leader that may be long gone: workers must
 * not be sent round in circles on such knowledge. */
const char *rp_election_leader(const struct rp_election *election, struct timespec now) {
    if (election->state == RP_ELECTION_HOLDING_KEY || !election->leader[0] ||
        silent(election, now) || strcmp(election->leader, election->node) == 0 ||
        rp_ts_since(now, election->leader_key_read_at) > election->ttl_s + STALE_SLACK_S)
        return NULL;
    return election->leader;
}

/* A leader that stands still keeps the key until its lease ends: workers that were sent back to it
 * waited there once more, and many lost their lease before they found the next one. */
void rp_election_note_leader_answer(struct rp_election *election, bool answered) {
    if (answered)
        election->leader_silent_since = (struct timespec){0};
    else if (rp_ts_zero(election->leader_silent_since))
        election->leader_silent_since = rp_loop_now(election->loop);
}

void rp_election_guard(const struct rp_election *election, struct rp_kv_txn *txn) {
    rp_kv_txn_if(txn, RP_KEY_LEADER, election->fencing_token);
}

/* The one place where the election changes its state. */
static void set_state(struct rp_election *election, enum rp_election_state state) {
    enum rp_election_state was = election->state;
    election->state = state;
    if (was == RP_ELECTION_HOLDING_KEY && state != RP_ELECTION_HOLDING_KEY) {
        rp_info("leadership lost, token=%llu", (unsigned long long)election->fencing_token);
        election->fencing_token = 0;
        rp_log_set_term(0);
        election->on_lost(election->arg);
    }
    if (state == RP_ELECTION_HOLDING_KEY && was != RP_ELECTION_HOLDING_KEY) {
        snprintf(election->leader, sizeof election->leader, "%s", election->node);
        rp_log_set_term(election->fencing_token);
        rp_info("leadership taken, token=%llu lease=%llu",
                (unsigned long long)election->fencing_token, (unsigned long long)election->lease);
        election->on_elected(election->arg);
    }
}

static void follow_again(struct rp_election *election, double after_s) {
    set_state(election, RP_ELECTION_FOLLOWING);
    rp_timer_set(election->loop, &election->timer, after_s);
}

static void dropped(void *arg, const struct rp_kv_result *result) {
    (void)arg;
    (void)result;
}

static void claimed(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (result->outcome == RP_KV_OK) {
        election->fencing_token = rp_kv_result_revision(result);
        election->valid_until =
            rp_election_trusted_until(election->lease_requested_at, election->term_ttl_s);
        set_state(election, RP_ELECTION_HOLDING_KEY);
        rp_timer_set(election->loop, &election->timer, fmin(TOUCH_S, election->term_ttl_s / 8));
        return;
    }
    /* An unanswered claim may still hold: the next look shows our own name, and a holder of our
     * name that isn't us now is claimed over. */
    if (result->outcome == RP_KV_CONDITION_FAILED)
        rp_kv_lease_revoke(election->store, election->lease, dropped, NULL);
    follow_again(election, RETRY_S);
}

/* The key's value for this node's next term. */
static json_t *own_record(const struct rp_election *election, uint64_t lease) {
    struct rp_leader_record record = {.fenced = election->fenced_lease};
    snprintf(record.node, sizeof record.node, "%s", election->node);
    if (lease && election->failover_enabled)
        record.own = (struct rp_fenced_lease){.lease = lease, .ttl_s = election->term_ttl_s};
    return rp_record_leader(&record);
}

static void leased(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (result->outcome != RP_KV_OK || !rp_kv_result_lease(result)) {
        follow_again(election, RETRY_S);
        return;
    }
    election->lease = rp_kv_result_lease(result);
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_kv_txn_if(txn, RP_KEY_LEADER, election->claim_revision);
    rp_kv_txn_put(txn, RP_KEY_LEADER, own_record(election, election->lease), election->lease);
    set_state(election, RP_ELECTION_CLAIMING_KEY);
    rp_kv_txn_submit(election->store, RP_KV_BUDGET_LEADERSHIP, txn, claimed, election);
}

static void ask_lease(struct rp_election *election) {
    election->lease_requested_at = rp_loop_now(election->loop);
    election->term_ttl_s = rp_ts_zero(election->leader_silent_since)
                               ? election->ttl_s
                               : fmin(SILENT_TTL_S, election->ttl_s);
    /* Whoever finds our key gone has waited at least as long as the deposed leader may act. */
    if (election->fenced_lease.lease)
        election->term_ttl_s = fmax(election->ttl_s, election->fenced_lease.ttl_s);
    set_state(election, RP_ELECTION_ACQUIRING_LEASE);
    rp_kv_lease_grant(election->store, election->term_ttl_s, leased, election);
}

/* ---- taking over from a leader that may still act ---- */

static void fence(struct rp_election *election);

static void fenced(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (election->state != RP_ELECTION_REVOKING_LEASE)
        return;
    if (result->outcome != RP_KV_OK && result->outcome != RP_KV_NOT_FOUND) {
        rp_timer_set(election->loop, &election->timer,
                     RETRY_S); /* nobody leads before it has ended */
        return;
    }
    /* Whatever renewal it trusts was sent before the lease's end, and that was before now. */
    election->fenced_leader_expiry = rp_ts_after(
        rp_loop_now(election->loop), election->fenced_lease.ttl_s * (1.0 + DRIFT) + MARGIN_S);
    ask_lease(election);
}

static void fence(struct rp_election *election) {
    set_state(election, RP_ELECTION_REVOKING_LEASE);
    rp_kv_lease_revoke(election->store, election->fenced_lease.lease, fenced, election);
}

static void claim(struct rp_election *election, uint64_t over, struct rp_fenced_lease deposed) {
    election->claim_revision = over;
    election->fenced_lease = deposed;
    election->fenced_leader_expiry = (struct timespec){0};
    if (deposed.lease)
        fence(election);
    else
        ask_lease(election);
}

static void deposed(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    if (result->outcome == RP_KV_OK)
        claim(election, rp_kv_result_revision(result), election->fenced_lease);
    else
        follow_again(election,
                     RETRY_S); /* carried out all the same, the next look shows our name */
}

bool rp_election_fence_leader(struct rp_election *election) {
    const struct rp_leader_record *seen = &election->leader_key;
    bool possible = election->state == RP_ELECTION_FOLLOWING && election->failover_enabled &&
                    election->leader_key_revision > 0 && strcmp(seen->node, election->node) != 0 &&
                    rp_ts_reached(rp_loop_now(election->loop), election->backoff_until);
    /* A node whose own takeover has stopped halfway holds no lease yet. */
    election->fenced_lease = seen->own.lease ? seen->own : seen->fenced;
    if (!possible || !election->fenced_lease.lease)
        return false;
    rp_timer_cancel(election->loop, &election->timer);
    rp_info("taking over from %s, key=%llu", seen->node,
            (unsigned long long)election->leader_key_revision);
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_kv_txn_if(txn, RP_KEY_LEADER, election->leader_key_revision);
    rp_kv_txn_put(txn, RP_KEY_LEADER, own_record(election, 0), RP_KV_NO_LEASE);
    rp_kv_txn_put(txn, RP_KEY_FENCE, rp_record_fence(election->node), RP_KV_NO_LEASE);
    set_state(election, RP_ELECTION_OVERWRITING_KEY);
    rp_kv_txn_submit(election->store, RP_KV_BUDGET_LEADERSHIP, txn, deposed, election);
    return true;
}

void rp_election_note_fence(struct rp_election *election, uint64_t version) {
    if (election->state != RP_ELECTION_HOLDING_KEY || version <= election->fencing_token)
        return;
    rp_info("another node has taken over, fence=%llu", (unsigned long long)version);
    follow_again(election, 0);
}

/* ---- looking who leads ---- */

static void looked(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    static const struct rp_fenced_lease none = {0};
    struct rp_leader_record record = {0};
    struct rp_kv_item item;
    if (election->state != RP_ELECTION_FOLLOWING)
        return; /* a takeover has begun meanwhile */
    if (result->outcome == RP_KV_OK)
        election->leader_key_read_at = rp_loop_now(election->loop);
    /* A key that was given up is left to the others, also while the end of its lease, which may be
     * carried out seconds later, hasn't taken our name away yet. */
    bool may_claim = rp_ts_reached(rp_loop_now(election->loop), election->backoff_until);
    if (result->outcome == RP_KV_NOT_FOUND) {
        election->leader[0] = '\0';
        election->leader_key_revision = 0;
        if (may_claim) {
            claim(election, 0, none);
            return;
        }
    }
    if (rp_kv_result_item(result, &item)) {
        bool read = rp_record_leader_read(item.value, &record);
        if (read && strcmp(record.node, election->node) == 0 && may_claim) {
            /* Our own name, though we don't hold: an earlier process of this node, which has
             * ended, or a claim whose answer was lost. Nobody acts on it, so there is no need to
             * wait for its lease; but a leader that it had deposed may still act. */
            claim(election, item.revision, record.fenced);
            return;
        }
        if (strcmp(record.node, election->leader) != 0)
            election->leader_silent_since = (struct timespec){0}; /* another one */
        snprintf(election->leader, sizeof election->leader, "%.63s", record.node);
        election->leader_key = record;
        election->leader_key_revision = item.revision;
    }
    rp_timer_set(election->loop, &election->timer,
                 result->outcome == RP_KV_OK ? election->check_s : RETRY_S);
}

/* A renewal under way: of this lease, asked for at this moment. */
struct renewal {
    struct rp_election *e;
    uint64_t lease;
    struct timespec asked;
};

static void touched(void *arg, const struct rp_kv_result *result) {
    struct renewal renewal = *(struct renewal *)arg;
    struct rp_election *election = renewal.e;
    free(arg);
    /* The answer to a renewal of an earlier term's lease says nothing of this one's: taken for it,
     * it proved a lease that nobody had renewed, or ended a term that was sound. */
    if (election->state != RP_ELECTION_HOLDING_KEY || renewal.lease != election->lease)
        return;
    if (result->outcome == RP_KV_NOT_FOUND) {
        follow_again(election, 0);
        return;
    }
    if (result->outcome == RP_KV_OK) {
        /* While the lease lives, the key is attached to it and nobody else can have written it:
         * leadership goes on even if it could not be proven for a while. */
        election->valid_until = rp_election_trusted_until(renewal.asked, election->term_ttl_s);
        rp_timer_set(election->loop, &election->timer, fmin(TOUCH_S, election->term_ttl_s / 8));
        return;
    }
    rp_timer_set(election->loop, &election->timer, RETRY_S);
}

static void renew(struct rp_election *election) {
    struct renewal *renewal = rp_alloc(1, sizeof *renewal);
    *renewal = (struct renewal){
        .e = election, .lease = election->lease, .asked = rp_loop_now(election->loop)};
    rp_kv_lease_renew(election->store, election->lease, touched, renewal);
}

static void doubted(void *arg, const struct rp_kv_result *result) {
    struct rp_election *election = arg;
    struct rp_kv_item item;
    if (election->state != RP_ELECTION_HOLDING_KEY)
        return;
    if (result->outcome == RP_KV_NOT_FOUND ||
        (rp_kv_result_item(result, &item) && item.revision != election->fencing_token))
        follow_again(election, 0);
}

void rp_election_verify(struct rp_election *election) {
    if (election->state == RP_ELECTION_HOLDING_KEY)
        rp_kv_get(election->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_LEADER, doubted, election);
}

void rp_election_resign(struct rp_election *election, double stand_back_s) {
    if (election->state != RP_ELECTION_HOLDING_KEY)
        return;
    rp_info("resigning");
    election->backoff_until = rp_ts_after(rp_loop_now(election->loop), stand_back_s);
    /* While a leader that was deposed may still act, the key must not be found free. */
    if (rp_ts_reached(rp_loop_now(election->loop), election->fenced_leader_expiry))
        rp_kv_lease_revoke(election->store, election->lease, dropped, NULL);
    follow_again(election, election->check_s);
}

static void tick(void *arg) {
    struct rp_election *election = arg;
    if (election->state == RP_ELECTION_HOLDING_KEY) {
        renew(election);
    } else if (election->state == RP_ELECTION_REVOKING_LEASE) {
        fence(election);
    } else if (election->state == RP_ELECTION_FOLLOWING) {
        rp_kv_get(election->store, RP_KV_BUDGET_LEADERSHIP, RP_KEY_LEADER, looked, election);
    }
}

void rp_election_start(struct rp_election *election) {
    rp_timer_set(election->loop, &election->timer, 0);
}

void rp_election_stop(struct rp_election *election) {
    rp_timer_cancel(election->loop, &election->timer);
}
