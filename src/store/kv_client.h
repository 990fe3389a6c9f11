/* The state service as the rest of the node sees it: requests within budgets, plain outcomes. */
#ifndef RP_STATE_CLIENT_H
#define RP_STATE_CLIENT_H

#include <jansson.h>
#include "base/token_bucket.h"
#include "base/loop.h"
#include "base/net.h"

enum rp_state_outcome {
    RP_STATE_OK,
    RP_STATE_MISSING,  /* 404 */
    RP_STATE_CONFLICT, /* 409: a condition failed, nothing was changed */
    RP_STATE_GONE,     /* 410: a watch from too old a revision */
    RP_STATE_BAD,      /* 400, also: no such lease */
    RP_STATE_REFUSED,  /* certainly not executed: 429, 503, or no budget here */
    RP_STATE_UNKNOWN   /* no answer: may have been executed, or may be later */
};

struct rp_state_result {
    enum rp_state_outcome outcome;
    json_t *body; /* borrowed; NULL when there is none */
};

typedef void (*rp_state_fn)(void *arg, const struct rp_state_result *result);

/* Whose budget a request counts against, and who is served first when budgets run short: leadership
 * never waits; the leader, users who submit or cancel, and users who ask each have their own part
 * and queue, so that none waits behind another's; what waits too long is refused and counted. */
enum rp_state_share {
    RP_SHARE_LEADERSHIP,
    RP_SHARE_LEADER,
    RP_SHARE_SUBMISSIONS, /* cancellations as well */
    RP_SHARE_QUERIES,
    RP_SHARES
};

struct rp_state_call;

struct rp_state_client {
    struct rp_loop *loop;
    struct rp_net net;
    const char *addr;
    size_t n_nodes;
    double leader_write_share;
    struct rp_bucket requests[RP_SHARES], writes[RP_SHARES];
    struct rp_state_call *first[RP_SHARES], *last[RP_SHARES];
    struct rp_timer pump;
    struct timespec failing_since; /* zero while the last outcome was good */
    unsigned long n_ok, n_refused, n_unknown, n_shed;
    unsigned long n_too_fast;               /* 429 */
    unsigned long n_bad;                    /* 400 */
    unsigned long shed_unlogged[RP_SHARES]; /* since the share's last line in the log */
    struct timespec shed_logged[RP_SHARES]; /* when that was; zero: never */
};

void rp_state_client_init(struct rp_state_client *client, struct rp_loop *loop, struct rp_net net,
                          const char *addr, double rps, double write_rps, size_t n_nodes,
                          double leader_write_share);
/* Other limits of the service hold from now on. */
void rp_state_client_limits(struct rp_state_client *client, double rps, double write_rps);
void rp_state_client_close(struct rp_state_client *client);

void rp_state_get(struct rp_state_client *client, enum rp_state_share share, const char *key,
                  rp_state_fn fn, void *arg);
void rp_state_list(struct rp_state_client *client, enum rp_state_share share, const char *prefix,
                   const char *after, unsigned limit, rp_state_fn fn, void *arg);
/* Takes the transaction over. */
void rp_state_txn(struct rp_state_client *client, enum rp_state_share share, json_t *txn,
                  rp_state_fn fn, void *arg);
void rp_state_lease(struct rp_state_client *client, double ttl_s, rp_state_fn fn, void *arg);
void rp_state_touch(struct rp_state_client *client, uint64_t lease, rp_state_fn fn, void *arg);
void rp_state_lease_end(struct rp_state_client *client, uint64_t lease, rp_state_fn fn, void *arg);
void rp_state_follow(struct rp_state_client *client, const char *prefix, uint64_t from,
                     double hold_s, rp_state_fn fn, void *arg);
/* Changes that the leader's budget would let through now. */
double rp_state_room(struct rp_state_client *client, enum rp_state_share share);
/* Whether a request that changes nothing would have to wait for the share's budget. */
bool rp_state_must_wait(struct rp_state_client *client, enum rp_state_share share);
/* How long requests have failed without a good one in between; 0 when they do not. */
double rp_state_failing_s(const struct rp_state_client *client);

#endif
