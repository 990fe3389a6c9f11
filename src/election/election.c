#include "election/election.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "store/records.h"
#include "protocol/wire.h"

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
 * to 3.7 s (workers.c); by then the next leader has to be known. */
#define SILENT_TTL_S 7.5

static void tick(void *arg);

void rp_election_init(struct rp_election *e, struct rp_loop *loop, struct rp_state_client *state,
                      const char *node, double ttl_s, double check_s, rp_election_fn on_elected,
                      rp_election_fn on_lost, void *arg) {
    memset(e, 0, sizeof *e);
    e->loop = loop;
    e->state = state;
    e->node = node;
    e->ttl_s = e->term_ttl_s = ttl_s;
    e->check_s = check_s;
    e->on_elected = on_elected;
    e->on_lost = on_lost;
    e->arg = arg;
    e->timer = (struct rp_timer){.fn = tick, .arg = e};
}

struct timespec rp_election_trust(struct timespec sent, double ttl_s) {
    return rp_ts_after(sent, ttl_s * (1.0 - DRIFT) - MARGIN_S);
}

bool rp_election_valid(const struct rp_election *e, struct timespec now) {
    return e->at == RP_HOLDING && !rp_ts_reached(now, e->valid_until);
}

/* Stands still, or has gone. Where the key is still its own when any lease would have ended, it
 * lives, and only this node can't reach it. */
static bool silent(const struct rp_election *e, struct timespec now) {
    return !rp_ts_zero(e->silent_since) &&
           rp_ts_since(now, e->silent_since) < e->ttl_s + SILENT_SLACK_S;
}

/* A node that is cut from the state service knows of a leader that may be long gone: workers must
 * not be sent round in circles on such knowledge. */
const char *rp_election_leader(const struct rp_election *e, struct timespec now) {
    if (e->at == RP_HOLDING || !e->leader[0] || silent(e, now) || strcmp(e->leader, e->node) == 0 ||
        rp_ts_since(now, e->looked_at) > e->ttl_s + STALE_SLACK_S)
        return NULL;
    return e->leader;
}

/* A leader that stands still keeps the key until its lease ends: workers that were sent back to it
 * waited there once more, and many lost their lease before they found the next one. */
void rp_election_note_answer(struct rp_election *e, bool answered) {
    if (answered)
        e->silent_since = (struct timespec){0};
    else if (rp_ts_zero(e->silent_since))
        e->silent_since = rp_loop_now(e->loop);
}

void rp_election_guard(const struct rp_election *e, json_t *txn) {
    rp_wire_txn_if(txn, RP_KEY_LEADER, e->token);
}

/* The one place where the election changes its state. */
static void set_state(struct rp_election *e, enum rp_election_state at) {
    enum rp_election_state was = e->at;
    e->at = at;
    if (was == RP_HOLDING && at != RP_HOLDING) {
        rp_info("leadership lost, token=%llu", (unsigned long long)e->token);
        e->token = 0;
        rp_log_term(0);
        e->on_lost(e->arg);
    }
    if (at == RP_HOLDING && was != RP_HOLDING) {
        snprintf(e->leader, sizeof e->leader, "%s", e->node);
        rp_log_term(e->token);
        rp_info("leadership taken, token=%llu lease=%llu", (unsigned long long)e->token,
                (unsigned long long)e->lease);
        e->on_elected(e->arg);
    }
}

static void follow_again(struct rp_election *e, double after_s) {
    set_state(e, RP_FOLLOWING);
    rp_timer_set(e->loop, &e->timer, after_s);
}

static void dropped(void *arg, const struct rp_state_result *r) {
    (void)arg;
    (void)r;
}

static void claimed(void *arg, const struct rp_state_result *r) {
    struct rp_election *e = arg;
    if (r->outcome == RP_STATE_OK) {
        e->token = rp_wire_revision(r->body);
        e->valid_until = rp_election_trust(e->asked, e->term_ttl_s);
        set_state(e, RP_HOLDING);
        rp_timer_set(e->loop, &e->timer, fmin(TOUCH_S, e->term_ttl_s / 8));
        return;
    }
    /* An unanswered claim may still hold: the next look shows our own name, and a holder of our
     * name that isn't us now is claimed over. */
    if (r->outcome == RP_STATE_CONFLICT)
        rp_state_lease_end(e->state, e->lease, dropped, NULL);
    follow_again(e, RETRY_S);
}

/* The key's value for this node's next term. */
static json_t *own_record(const struct rp_election *e, uint64_t lease) {
    struct rp_leader_record record = {.deposed = e->deposed};
    snprintf(record.node, sizeof record.node, "%s", e->node);
    if (lease && e->fenced_terms)
        record.own = (struct rp_deposed_lease){.lease = lease, .ttl_s = e->term_ttl_s};
    return rp_record_leader(&record);
}

static void leased(void *arg, const struct rp_state_result *r) {
    struct rp_election *e = arg;
    if (r->outcome != RP_STATE_OK || !rp_wire_lease(r->body)) {
        follow_again(e, RETRY_S);
        return;
    }
    e->lease = rp_wire_lease(r->body);
    json_t *txn = rp_wire_txn();
    rp_wire_txn_if(txn, RP_KEY_LEADER, e->claim_over);
    rp_wire_txn_put(txn, RP_KEY_LEADER, own_record(e, e->lease), e->lease);
    set_state(e, RP_CLAIMING);
    rp_state_txn(e->state, RP_SHARE_LEADERSHIP, txn, claimed, e);
}

static void ask_lease(struct rp_election *e) {
    e->asked = rp_loop_now(e->loop);
    e->term_ttl_s = rp_ts_zero(e->silent_since) ? e->ttl_s : fmin(SILENT_TTL_S, e->ttl_s);
    /* Whoever finds our key gone has waited at least as long as the deposed leader may act. */
    if (e->deposed.lease)
        e->term_ttl_s = fmax(e->ttl_s, e->deposed.ttl_s);
    set_state(e, RP_LEASING);
    rp_state_lease(e->state, e->term_ttl_s, leased, e);
}

/* ---- taking over from a leader that may still act ---- */

static void fence(struct rp_election *e);

static void fenced(void *arg, const struct rp_state_result *r) {
    struct rp_election *e = arg;
    if (e->at != RP_FENCING)
        return;
    if (r->outcome != RP_STATE_OK && r->outcome != RP_STATE_MISSING) {
        rp_timer_set(e->loop, &e->timer, RETRY_S); /* nobody leads before it has ended */
        return;
    }
    /* Whatever renewal it trusts was sent before the lease's end, and that was before now. */
    e->cleared_at = rp_ts_after(rp_loop_now(e->loop), e->deposed.ttl_s * (1.0 + DRIFT) + MARGIN_S);
    ask_lease(e);
}

static void fence(struct rp_election *e) {
    set_state(e, RP_FENCING);
    rp_state_lease_end(e->state, e->deposed.lease, fenced, e);
}

static void claim(struct rp_election *e, uint64_t over, struct rp_deposed_lease deposed) {
    e->claim_over = over;
    e->deposed = deposed;
    e->cleared_at = (struct timespec){0};
    if (deposed.lease)
        fence(e);
    else
        ask_lease(e);
}

static void deposed(void *arg, const struct rp_state_result *r) {
    struct rp_election *e = arg;
    if (r->outcome == RP_STATE_OK)
        claim(e, rp_wire_revision(r->body), e->deposed);
    else
        follow_again(e, RETRY_S); /* carried out all the same, the next look shows our name */
}

bool rp_election_depose(struct rp_election *e) {
    const struct rp_leader_record *seen = &e->seen;
    bool possible = e->at == RP_FOLLOWING && e->fenced_terms && e->seen_version > 0 &&
                    strcmp(seen->node, e->node) != 0 &&
                    rp_ts_reached(rp_loop_now(e->loop), e->stand_back);
    /* A node whose own takeover has stopped halfway holds no lease yet. */
    e->deposed = seen->own.lease ? seen->own : seen->deposed;
    if (!possible || !e->deposed.lease)
        return false;
    rp_timer_cancel(e->loop, &e->timer);
    rp_info("taking over from %s, key=%llu", seen->node, (unsigned long long)e->seen_version);
    json_t *txn = rp_wire_txn();
    rp_wire_txn_if(txn, RP_KEY_LEADER, e->seen_version);
    rp_wire_txn_put(txn, RP_KEY_LEADER, own_record(e, 0), 0);
    rp_wire_txn_put(txn, RP_KEY_FENCE, rp_record_fence(e->node), 0);
    set_state(e, RP_DEPOSING);
    rp_state_txn(e->state, RP_SHARE_LEADERSHIP, txn, deposed, e);
    return true;
}

void rp_election_note_fence(struct rp_election *e, uint64_t version) {
    if (e->at != RP_HOLDING || version <= e->token)
        return;
    rp_info("another node has taken over, fence=%llu", (unsigned long long)version);
    follow_again(e, 0);
}

/* ---- looking who leads ---- */

static void looked(void *arg, const struct rp_state_result *r) {
    struct rp_election *e = arg;
    static const struct rp_deposed_lease none = {0};
    struct rp_leader_record record = {0};
    struct rp_item item;
    if (e->at != RP_FOLLOWING)
        return; /* a takeover has begun meanwhile */
    if (r->outcome == RP_STATE_OK)
        e->looked_at = rp_loop_now(e->loop);
    /* A key that was given up is left to the others, also while the end of its lease, which may be
     * carried out seconds later, hasn't taken our name away yet. */
    bool may_claim = rp_ts_reached(rp_loop_now(e->loop), e->stand_back);
    if (r->outcome == RP_STATE_MISSING) {
        e->leader[0] = '\0';
        e->seen_version = 0;
        if (may_claim) {
            claim(e, 0, none);
            return;
        }
    }
    if (r->outcome == RP_STATE_OK && rp_wire_item(r->body, &item)) {
        bool read = rp_record_leader_read(item.value, &record);
        if (read && strcmp(record.node, e->node) == 0 && may_claim) {
            /* Our own name, though we don't hold: an earlier process of this node, which has
             * ended, or a claim whose answer was lost. Nobody acts on it, so there is no need to
             * wait for its lease; but a leader that it had deposed may still act. */
            claim(e, item.version, record.deposed);
            return;
        }
        if (strcmp(record.node, e->leader) != 0)
            e->silent_since = (struct timespec){0}; /* another one */
        snprintf(e->leader, sizeof e->leader, "%.63s", record.node);
        e->seen = record;
        e->seen_version = item.version;
    }
    rp_timer_set(e->loop, &e->timer, r->outcome == RP_STATE_OK ? e->check_s : RETRY_S);
}

/* A renewal under way: of this lease, asked for at this moment. */
struct renewal {
    struct rp_election *e;
    uint64_t lease;
    struct timespec asked;
};

static void touched(void *arg, const struct rp_state_result *r) {
    struct renewal renewal = *(struct renewal *)arg;
    struct rp_election *e = renewal.e;
    free(arg);
    /* The answer to a renewal of an earlier term's lease says nothing of this one's: taken for it,
     * it proved a lease that nobody had renewed, or ended a term that was sound. */
    if (e->at != RP_HOLDING || renewal.lease != e->lease)
        return;
    if (r->outcome == RP_STATE_MISSING) {
        follow_again(e, 0);
        return;
    }
    if (r->outcome == RP_STATE_OK) {
        /* While the lease lives, the key is attached to it and nobody else can have written it:
         * leadership goes on even if it could not be proven for a while. */
        e->valid_until = rp_election_trust(renewal.asked, e->term_ttl_s);
        rp_timer_set(e->loop, &e->timer, fmin(TOUCH_S, e->term_ttl_s / 8));
        return;
    }
    rp_timer_set(e->loop, &e->timer, RETRY_S);
}

static void renew(struct rp_election *e) {
    struct renewal *renewal = calloc(1, sizeof *renewal);
    if (!renewal)
        abort(); /* out of memory: a restart is the honest answer */
    *renewal = (struct renewal){.e = e, .lease = e->lease, .asked = rp_loop_now(e->loop)};
    rp_state_touch(e->state, e->lease, touched, renewal);
}

static void doubted(void *arg, const struct rp_state_result *r) {
    struct rp_election *e = arg;
    struct rp_item item;
    if (e->at != RP_HOLDING)
        return;
    if (r->outcome == RP_STATE_MISSING ||
        (r->outcome == RP_STATE_OK && rp_wire_item(r->body, &item) && item.version != e->token))
        follow_again(e, 0);
}

void rp_election_doubt(struct rp_election *e) {
    if (e->at == RP_HOLDING)
        rp_state_get(e->state, RP_SHARE_LEADERSHIP, RP_KEY_LEADER, doubted, e);
}

void rp_election_resign(struct rp_election *e, double stand_back_s) {
    if (e->at != RP_HOLDING)
        return;
    rp_info("resigning");
    e->stand_back = rp_ts_after(rp_loop_now(e->loop), stand_back_s);
    /* While a leader that was deposed may still act, the key must not be found free. */
    if (rp_ts_reached(rp_loop_now(e->loop), e->cleared_at))
        rp_state_lease_end(e->state, e->lease, dropped, NULL);
    follow_again(e, e->check_s);
}

static void tick(void *arg) {
    struct rp_election *e = arg;
    if (e->at == RP_HOLDING) {
        renew(e);
    } else if (e->at == RP_FENCING) {
        fence(e);
    } else if (e->at == RP_FOLLOWING) {
        rp_state_get(e->state, RP_SHARE_LEADERSHIP, RP_KEY_LEADER, looked, e);
    }
}

void rp_election_start(struct rp_election *e) {
    rp_timer_set(e->loop, &e->timer, 0);
}

void rp_election_stop(struct rp_election *e) {
    rp_timer_cancel(e->loop, &e->timer);
}
