/** @file
 * The state service as the rest of the node sees it: requests within budgets, plain outcomes. */
#ifndef RP_STORE_KV_CLIENT_H
#define RP_STORE_KV_CLIENT_H

#include <jansson.h>
#include "base/loop.h"
#include "base/net.h"
#include "base/token_bucket.h"
#include "store/kv_result.h"
#include "store/kv_txn.h"

typedef void (*rp_kv_fn)(void *arg, const struct rp_kv_result *result);

/** Whose budget a request counts against, and who is served first when budgets run short:
 * leadership never waits; the leader, users who submit or cancel, and users who ask each have their
 * own part and queue, so that none waits behind another's; what waits too long is refused and
 * counted. */
enum rp_kv_budget {
    RP_KV_BUDGET_LEADERSHIP,
    RP_KV_BUDGET_LEADER,
    RP_KV_BUDGET_SUBMISSIONS, /* cancellations as well */
    RP_KV_BUDGET_QUERIES,
    RP_KV_BUDGETS
};

struct rp_kv_call;

struct rp_kv_client {
    struct rp_loop *loop;
    struct rp_net net;
    const char *addr;
    size_t n_nodes;
    double leader_write_share;
    struct rp_token_bucket requests[RP_KV_BUDGETS], writes[RP_KV_BUDGETS];
    struct rp_kv_call *first[RP_KV_BUDGETS], *last[RP_KV_BUDGETS];
    struct rp_timer pump;
    struct timespec failing_since; /* zero while the last outcome was good */
    unsigned long n_ok, n_refused, n_unknown, n_shed;
    unsigned long n_too_fast;                   /* 429 */
    unsigned long n_bad;                        /* 400 */
    unsigned long shed_unlogged[RP_KV_BUDGETS]; /* since the share's last line in the log */
    struct timespec shed_logged[RP_KV_BUDGETS]; /* when that was; zero: never */
};

void rp_kv_client_init(struct rp_kv_client *client, struct rp_loop *loop, struct rp_net net,
                       const char *addr, double rps, double write_rps, size_t n_nodes,
                       double leader_write_share);
/** Other limits of the service hold from now on. */
void rp_kv_client_set_limits(struct rp_kv_client *client, double rps, double write_rps);
void rp_kv_client_close(struct rp_kv_client *client);

void rp_kv_get(struct rp_kv_client *client, enum rp_kv_budget budget, const char *key, rp_kv_fn fn,
               void *arg);
void rp_kv_list(struct rp_kv_client *client, enum rp_kv_budget budget, const char *prefix,
                const char *after, unsigned limit, rp_kv_fn fn, void *arg);
/** Sends a transaction, and takes it over. */
void rp_kv_txn_submit(struct rp_kv_client *client, enum rp_kv_budget budget, struct rp_kv_txn *txn,
                      rp_kv_fn fn, void *arg);
void rp_kv_lease_grant(struct rp_kv_client *client, double ttl_s, rp_kv_fn fn, void *arg);
void rp_kv_lease_renew(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg);
void rp_kv_lease_revoke(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg);
void rp_kv_watch(struct rp_kv_client *client, const char *prefix, uint64_t from, double hold_s,
                 rp_kv_fn fn, void *arg);
/** Changes that the leader's budget would let through now. */
double rp_kv_write_headroom(struct rp_kv_client *client, enum rp_kv_budget budget);
/** Whether a request that changes nothing would have to wait for the share's budget. */
bool rp_kv_must_wait(struct rp_kv_client *client, enum rp_kv_budget budget);
/** How long requests have failed without a good one in between; 0 when they do not. */
double rp_kv_failing_s(const struct rp_kv_client *client);

#endif
