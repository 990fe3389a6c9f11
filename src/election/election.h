/** @file
 * Leader election, the leadership lease, and fencing.
 *
 * One key of the key-value store names the leader; it hangs on a lease that the leader renews. The
 * revision of the key's write is the fencing token: it grows with each term, workers drop commands
 * that carry a lower one than they have seen, and every write of a leader carries the condition
 * that the key still has that revision.
 *
 * A standby needn't wait until the lease of a silent leader has ended: it writes the key over that
 * leader's, ends the lease, and only then takes a lease of its own. From then on the earlier leader
 * can renew nothing; it may act on what it renewed before until `fenced_leader_expiry`.
 *
 * Invariants: a node acts as leader only while rp_election_is_valid, which ends before its lease
 * can end; at most one node does so, but for a fenced leader as said. docs/safety.md, "Leadership"
 * and "Failovers", has the argument.
 *
 * Every part of a node that answers workers, calls the cloud or writes as leader asks here. The
 * controller starts it, and begins and ends a term in the call-backs. */
#ifndef RP_ELECTION_ELECTION_H
#define RP_ELECTION_ELECTION_H

#include "store/kv_client.h"
#include "store/records.h"

/** Where this node stands. All changes, and what is known at each, are in set_state and
 * is_transition of election.c. */
enum rp_election_state {
    /** Reads the key now and then; another node leads, or none. */
    RP_ELECTION_FOLLOWING,
    /** The key is being written over an earlier leader's, without a lease. */
    RP_ELECTION_OVERWRITING_KEY,
    /** That leader's lease is being ended. */
    RP_ELECTION_REVOKING_LEASE,
    /** The key is free or names this node; a lease has been asked for. */
    RP_ELECTION_ACQUIRING_LEASE,
    /** The key is being written, with the lease. */
    RP_ELECTION_CLAIMING_KEY,
    /** The key is this node's; whether it may act is up to rp_election_is_valid. */
    RP_ELECTION_HOLDING_KEY
};

/** Told that a term begins or ends. */
typedef void (*rp_election_fn)(void *arg);

/** A node's election. Others may read it, and set `failover_enabled`. */
struct rp_election {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    const char *node;      /* this one */
    double ttl_s;          /* the lease's length in the settings */
    double check_s;        /* between reads of the key */
    bool failover_enabled; /* this node may fence leaders, and others may fence it */
    enum rp_election_state state;

    /* The term, or the claim under way. */
    double term_ttl_s;       /* its lease's length; shorter or longer than ttl_s */
    uint64_t fencing_token;  /* 0: this node doesn't hold the key */
    uint64_t lease;          /* that the key hangs on */
    uint64_t claim_revision; /* of the key that the claim replaces; RP_KV_ABSENT: it was free */
    struct timespec lease_requested_at;
    struct timespec valid_until;         /* on the steady clock, margins taken off */
    struct rp_fenced_lease fenced_lease; /* of the leader that was fenced, if any */
    /* When the fenced leader can act no more, margins added; zero: there is none. */
    struct timespec fenced_leader_expiry;

    /* What was read of the key last. */
    struct rp_leader_record leader_key;
    uint64_t leader_key_revision;        /* RP_KV_ABSENT: it was free */
    struct timespec leader_key_read_at;  /* when it was found */
    char leader[RP_TEXT_MAX];            /* who held it; "": nobody */
    struct timespec leader_silent_since; /* the leader doesn't answer this node; zero: it does */

    struct timespec backoff_until; /* until then a free key is left to the other nodes */
    struct rp_timer timer;
    rp_election_fn on_elected, on_lost;
    void *arg;
};

/** `node` is borrowed. `on_elected` is called when this node begins to hold the key, `on_lost` when
 * it holds it no more; it may not act between `valid_until` and `on_lost` either. */
void rp_election_init(struct rp_election *election, struct rp_loop *loop,
                      struct rp_kv_client *store, const char *node, double ttl_s, double check_s,
                      rp_election_fn on_elected, rp_election_fn on_lost, void *arg);
/** Begins to follow, and to claim the key when it is free. */
void rp_election_start(struct rp_election *election);
/** Starts nothing more. A key that is held ends with its lease. */
void rp_election_stop(struct rp_election *election);

/** Whether this node may act as leader. To be asked immediately before every answer or command that
 * needs leadership, with a fresh reading of the clock. */
bool rp_election_is_valid(const struct rp_election *election, struct timespec now);
/** The other node that leads, as far as is known now; NULL when nothing is. */
const char *rp_election_leader(const struct rp_election *election, struct timespec now);
/** Until when a lease of `ttl_s` may be trusted that was asked for, or renewed, at `sent`. */
struct timespec rp_election_trusted_until(struct timespec sent, double ttl_s);
/** Adds the condition that this node still holds the key, which makes late transactions of a former
 * leader fail. */
void rp_election_guard(const struct rp_election *election, struct rp_kv_txn *txn);

/** The leader was asked something, and answered or didn't. */
void rp_election_note_leader_answer(struct rp_election *election, bool answered);
/** Somebody shows a token above this node's, or a guarded write failed: reads the key now. */
void rp_election_verify(struct rp_election *election);

/** Takes the key from the leader read last, which may still act. False when that isn't possible
 * now: that leader's node doesn't take part in failovers, or something else is under way. */
bool rp_election_fence_leader(struct rp_election *election);
/** The watch of the open jobs shows a fence of this revision; ends the term if it is a later one's.
 */
void rp_election_note_fence(struct rp_election *election, uint64_t revision);

/** Gives the key up, and leaves it to the other nodes for `backoff_s`. */
void rp_election_resign(struct rp_election *election, double backoff_s);

#endif
