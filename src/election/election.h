/** @file
 * Who leads: a key on a lease of the state service. The token is the revision of the key's write,
 * so it grows with each change of leader, and every write of a leader carries the condition that
 * the key still has that revision.
 *
 * A standby needn't wait until the lease of a silent leader has ended: it writes the key over that
 * leader's (deposing), ends the lease (fencing), and only then takes a lease of its own. From then
 * on the earlier leader can renew nothing; it may act on what it renewed before until
 * `fenced_leader_expiry`. docs/safety.md, "Takeovers", has the argument. */
#ifndef RP_ELECTION_ELECTION_H
#define RP_ELECTION_ELECTION_H

#include "store/kv_client.h"
#include "store/records.h"

enum rp_election_state {
    RP_ELECTION_FOLLOWING,       /* looks at the key now and then */
    RP_ELECTION_OVERWRITING_KEY, /* the key is being written over an earlier leader's, without a
                                    lease */
    RP_ELECTION_REVOKING_LEASE,  /* that leader's lease is being ended */
    RP_ELECTION_ACQUIRING_LEASE, /* the key is free, or says our name: a lease has been asked for */
    RP_ELECTION_CLAIMING_KEY,    /* the key's write is on its way */
    RP_ELECTION_HOLDING_KEY      /* the key is ours; whether we may act is rp_election_is_valid */
};

typedef void (*rp_election_fn)(void *arg);

struct rp_election {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    const char *node;
    double ttl_s, check_s; /* as the settings have them */
    double term_ttl_s;     /* the length of this term's lease, at most ttl_s */
    enum rp_election_state state;
    uint64_t fencing_token, lease, claim_revision;
    struct timespec valid_until; /* on the steady clock, margins taken off */
    /* An earlier leader that was deposed may answer workers until then; zero: none can. */
    struct timespec fenced_leader_expiry;
    struct rp_fenced_lease fenced_lease; /* its lease; of the claim under way, then of this term */
    struct rp_leader_record
        leader_key; /* the key as last looked at, and its revision; 0: it was free */
    uint64_t leader_key_revision;
    bool failover_enabled;               /* this node's terms can be ended by a takeover */
    struct timespec backoff_until;       /* until then only the others may claim a free key */
    struct timespec lease_requested_at;  /* when the claim's lease was asked for */
    char leader[64];                     /* who held the key when we last looked, "" for nobody */
    struct timespec leader_key_read_at;  /* when that was */
    struct timespec leader_silent_since; /* the leader doesn't answer this node; zero: it does */
    struct rp_timer timer;
    rp_election_fn on_elected, on_lost;
    void *arg;
};

void rp_election_init(struct rp_election *election, struct rp_loop *loop,
                      struct rp_kv_client *store, const char *node, double ttl_s, double check_s,
                      rp_election_fn on_elected, rp_election_fn on_lost, void *arg);
void rp_election_start(struct rp_election *election);
void rp_election_stop(struct rp_election *election);
/** To be asked immediately before every answer or command that needs leadership. */
bool rp_election_is_valid(const struct rp_election *election, struct timespec now);
/** The other node that leads, as far as is known now; NULL when nothing is. */
const char *rp_election_leader(const struct rp_election *election, struct timespec now);
/** Whether that node answered when it was asked something. */
void rp_election_note_leader_answer(struct rp_election *election, bool answered);
/** Until when a lease may be trusted that was asked for, or touched, at `sent`. */
struct timespec rp_election_trusted_until(struct timespec sent, double ttl_s);
/** The condition that makes a leader's late transactions die. */
void rp_election_guard(const struct rp_election *election, struct rp_kv_txn *txn);
/** Somebody shows a token above ours, or a guarded write failed: look at the key now. */
void rp_election_verify(struct rp_election *election);

/** Takes the key from the leader last seen, which may still be alive. False: that isn't possible
 * now, since that leader's node doesn't take part in takeovers, or something else is under way. */
bool rp_election_fence_leader(struct rp_election *election);
/** Our watch shows a takeover's fence of this revision. */
void rp_election_note_fence(struct rp_election *election, uint64_t version);

/** Gives the key up, and leaves it to the others for a while. */
void rp_election_resign(struct rp_election *election, double stand_back_s);

#endif
