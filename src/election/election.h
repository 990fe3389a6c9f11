/** @file
 * Leader election: the leader's key in the key-value store, the leadership lease, and fencing.
 *
 * The key names the leader and is attached to a lease that the leader renews. The revision of the
 * key's write is the fencing token: it grows with each term, workers drop commands with a lower
 * token than they have seen, and every write of a leader is conditional on that revision.
 *
 * Invariants: a node acts as leader only while rp_election_is_valid, which ends before its lease
 * can end; at most one node does so, except that a fenced leader may act until
 * `fenced_leader_expiry`. docs/safety.md, "Leadership" and "Failovers", has the argument.
 *
 * Modules that answer workers, call the cloud or write as leader check rp_election_is_valid. The
 * controller starts the election, and begins and ends a term in the call-backs. */
#ifndef RP_ELECTION_ELECTION_H
#define RP_ELECTION_ELECTION_H

#include "store/kv_client.h"
#include "store/records.h"

/** State of this node in the election. The transitions, and what is known at each, are listed at
 * set_state and is_transition of election.c. */
enum rp_election_state {
    /** This node reads the key periodically; another node leads, or none. */
    RP_ELECTION_FOLLOWING,
    /** A transaction that overwrites an earlier leader's key, and attaches the key to no lease, is
     * in progress. */
    RP_ELECTION_OVERWRITING_KEY,
    /** The revocation of the earlier leader's lease is in progress. */
    RP_ELECTION_REVOKING_LEASE,
    /** The leader's key is free or names this node, which has requested a lease. */
    RP_ELECTION_ACQUIRING_LEASE,
    /** A transaction that writes the leader's key, attached to this node's lease, is in flight. */
    RP_ELECTION_CLAIMING_KEY,
    /** This node holds the key; rp_election_is_valid decides whether it may act as leader. */
    RP_ELECTION_HOLDING_KEY
};

/** Called when a term begins or ends. */
typedef void (*rp_election_fn)(void *arg);

/** A node's election. Other modules may read all members, and set `failover_enabled`. */
struct rp_election {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    const char *node;      /* name of this node */
    double ttl_s;          /* length of a lease in seconds, from the settings */
    double check_s;        /* seconds between reads of the leader's key */
    bool failover_enabled; /* this node may fence leaders, and other nodes may fence it */
    enum rp_election_state state;

    /* The current term, or the claim in progress. */
    double term_ttl_s;      /* length of this term's lease in seconds; can be shorter or longer than
                               ttl_s */
    uint64_t fencing_token; /* 0: this node does not hold the key */
    uint64_t lease;         /* this node's lease, to which the leader's key is attached */
    uint64_t claim_revision; /* revision of the leader's key when the claim began; RP_KV_ABSENT: the
                                key was free */
    struct timespec lease_requested_at;
    struct timespec valid_until; /* when this node must stop acting as leader, on the steady clock:
                                    the end of its lease less the margins */
    struct rp_fenced_lease fenced_lease; /* lease of the leader that was fenced, if any */
    /* When the fenced leader can no longer act, including margins; zero: no leader was fenced. */
    struct timespec fenced_leader_expiry;

    /* Result of the latest reads of the key. */
    struct rp_leader_record leader_key;
    uint64_t leader_key_revision;       /* RP_KV_ABSENT: the key was free */
    struct timespec leader_key_read_at; /* when a read last found the key */
    char leader[RP_TEXT_MAX]; /* node that held the key when last read or written; "": none */
    struct timespec
        leader_silent_since; /* when the leader was first recorded as silent; zero: it responds */

    struct timespec backoff_until; /* this node does not claim the key before this instant */
    struct rp_timer timer;
    rp_election_fn on_elected, on_lost;
    void *arg;
};

/** `node` is borrowed. `on_elected` is called when this node begins to hold the key, `on_lost` when
 * it no longer holds it. Between the end of `valid_until` and the call of `on_lost` this node must
 * not act as leader. */
void rp_election_init(struct rp_election *election, struct rp_loop *loop,
                      struct rp_kv_client *store, const char *node, double ttl_s, double check_s,
                      rp_election_fn on_elected, rp_election_fn on_lost, void *arg);
/** Begins to read the key periodically, and to claim it when it is free. */
void rp_election_start(struct rp_election *election);
/** Starts no further reads or renewals. A key that this node holds is deleted when its lease ends.
 */
void rp_election_stop(struct rp_election *election);

/** Whether this node may act as leader. Callers must check it immediately before every response or
 * command that needs leadership, with a fresh reading of the clock. */
bool rp_election_is_valid(const struct rp_election *election, struct timespec now);
/** The other node that leads, according to the latest reads of the key; NULL when this node holds
 * the key, or no current leader is known. */
const char *rp_election_leader(const struct rp_election *election, struct timespec now);
/** The instant until which a lease of `ttl_s` that was requested or renewed at `sent` may be
 * trusted. */
struct timespec rp_election_trusted_until(struct timespec sent, double ttl_s);
/** Adds to `txn` the condition that this node still holds the leader's key, which makes late
 * transactions of a former leader fail. */
void rp_election_guard(const struct rp_election *election, struct rp_kv_txn *txn);

/** Records whether the leader has responded to this node, or has fallen silent. While a leader is
 * silent, rp_election_leader does not name it until a lease would have ended since the silence was
 * first recorded. */
void rp_election_record_leader_response(struct rp_election *election, bool has_responded);
/** Reads the key now, and ends the term if this node no longer holds it. For use when a fencing
 * token above this node's was received, or a guarded write failed. */
void rp_election_verify(struct rp_election *election);

/** Takes the key from the leader that the last read of the key found, and that may still act,
 * without waiting for its lease to end: overwrites the key, revokes that lease, and only then
 * requests a lease for this node. After the revocation the earlier leader cannot renew its lease;
 * it may act on earlier renewals until `fenced_leader_expiry`. Returns false when that is not
 * possible now, for example because that leader's node does not take part in failovers, or another
 * step is in progress. */
bool rp_election_fence_leader(struct rp_election *election);
/** Records a fence that a list or the watch of the open jobs has returned: ends the term if
 * `revision`, the revision of the fence, is later than the term's fencing token. */
void rp_election_record_fence(struct rp_election *election, uint64_t revision);

/** Gives up the key, and does not claim it again for `backoff_s`, so that another node can. */
void rp_election_resign(struct rp_election *election, double backoff_s);

#endif
