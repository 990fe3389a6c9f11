/** @file
 * The client of the key-value store: requests within the node's budgets.
 *
 * Each function makes one request and calls `fn` exactly once with its result
 * (store/kv_result.h), never before it has returned. A request that its budget doesn't let through
 * waits in that budget's queue, in the order of arrival; what has waited too long is refused here,
 * and counted. A request that the store refuses as one too many (429) is queued again a few times
 * before its caller is told. Nothing else is repeated: whether that is safe only the caller knows.
 *
 * Invariant: requests for RP_KV_BUDGET_LEADERSHIP are sent at once. */
#ifndef RP_STORE_KV_CLIENT_H
#define RP_STORE_KV_CLIENT_H

#include <jansson.h>
#include "base/loop.h"
#include "base/net.h"
#include "store/kv_budget.h"
#include "store/kv_result.h"
#include "store/kv_txn.h"

/** Gets a request's result, which is valid during the call only. */
typedef void (*rp_kv_fn)(void *arg, const struct rp_kv_result *result);

/** A request that waits in a queue, or whose answer is awaited. */
struct rp_kv_call;

/** The requests that wait for one budget. */
struct rp_kv_queue {
    struct rp_kv_call *first, *last;
    unsigned long n_shed_unlogged;  /* requests shed since the last log line about it */
    struct timespec shed_logged_at; /* zero: never */
};

/** A node's client. Others read the counters only. */
struct rp_kv_client {
    struct rp_loop *loop;
    struct rp_net net;
    const char *addr;
    struct rp_kv_rate_limits limits;
    struct rp_kv_budgets budgets;
    struct rp_kv_queue queues[RP_KV_BUDGETS];
    struct rp_timer queue_timer;   /* runs while requests wait */
    struct timespec failing_since; /* the first of the failures without success since; zero: none */
    unsigned long n_ok;            /* answers, whatever they say, except 503 */
    unsigned long n_refused, n_unknown;
    unsigned long n_shed;     /* refused here, for lack of budget */
    unsigned long n_too_fast; /* 429 */
    unsigned long n_bad;      /* 400 */
};

/** `addr` is borrowed, and has to live as long as the client. */
void rp_kv_client_init(struct rp_kv_client *client, struct rp_loop *loop, struct rp_net net,
                       const char *addr, double rps, double write_rps, size_t n_nodes,
                       double leader_write_share);
/** Other limits of the store hold from now on: requests and changes a second. */
void rp_kv_client_set_limits(struct rp_kv_client *client, double rps, double write_rps);
/** Drops what waits, without calling back. The caller must see to it that no answer arrives any
 * more. */
void rp_kv_client_close(struct rp_kv_client *client);

/** Reads one key. RP_KV_NOT_FOUND when it doesn't exist. */
void rp_kv_get(struct rp_kv_client *client, enum rp_kv_budget budget, const char *key, rp_kv_fn fn,
               void *arg);
/** Lists at most `limit` keys that begin with `prefix`, in their order, from the first one behind
 * `after` on; NULL: from the first. */
void rp_kv_list(struct rp_kv_client *client, enum rp_kv_budget budget, const char *prefix,
                const char *after, unsigned limit, rp_kv_fn fn, void *arg);
/** Sends a transaction, and takes it over. RP_KV_CONDITION_FAILED when a condition failed. */
void rp_kv_txn_submit(struct rp_kv_client *client, enum rp_kv_budget budget, struct rp_kv_txn *txn,
                      rp_kv_fn fn, void *arg);
/** Asks for a lease that ends unless it is renewed within `ttl_s`. */
void rp_kv_lease_grant(struct rp_kv_client *client, double ttl_s, rp_kv_fn fn, void *arg);
/** Renews a lease from now on. RP_KV_NOT_FOUND when it has ended. */
void rp_kv_lease_renew(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg);
/** Ends a lease, and so deletes all keys attached to it. RP_KV_NOT_FOUND when it has ended. */
void rp_kv_lease_revoke(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg);
/** Asks for the changes of keys with `prefix` after revision `from`; the store waits up to `hold_s`
 * for one. RP_KV_COMPACTED when that revision is too old. */
void rp_kv_watch(struct rp_kv_client *client, const char *prefix, uint64_t from, double hold_s,
                 rp_kv_fn fn, void *arg);

/** The changes that the budget would let through now; 0 while requests wait for it. */
double rp_kv_write_headroom(struct rp_kv_client *client, enum rp_kv_budget budget);
/** Whether a request without changes would have to wait for the budget. */
bool rp_kv_must_wait(struct rp_kv_client *client, enum rp_kv_budget budget);
/** For how long the store has not been answering; 0 when its last answer was good, or none was
 * awaited yet. */
double rp_kv_failing_s(const struct rp_kv_client *client);

#endif
