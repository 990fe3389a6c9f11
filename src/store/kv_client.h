/** @file
 * The client of the key-value store, which sends requests within the node's request budgets.
 *
 * Each function makes one request and calls `fn` exactly once with its result
 * (store/kv_result.h), never before the function has returned. A request that exceeds its budget
 * waits in that budget's queue, in the order of arrival; one that has waited too long is refused by
 * the client and counted. A request that the store refuses for its rate limit (429) is queued again
 * a few times before the refusal is returned. No other request is repeated, since only the caller
 * can decide whether that is safe.
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

/** Receives a request's result, which is valid during the call only. */
typedef void (*rp_kv_fn)(void *arg, const struct rp_kv_result *result);

/** A request that waits in a queue or for its response. */
struct rp_kv_call;

/** The requests that wait for one budget. */
struct rp_kv_queue {
    struct rp_kv_call *first, *last;
    unsigned long n_shed_unlogged;  /* requests shed since the last log line about shedding */
    struct timespec shed_logged_at; /* when shedding was last logged; zero: never */
};

/** A node's client. Other modules only read the counters. */
struct rp_kv_client {
    struct rp_loop *loop;
    struct rp_net net;
    const char *addr;
    struct rp_kv_rate_limits limits;
    struct rp_kv_budgets budgets;
    struct rp_kv_queue queues[RP_KV_BUDGETS];
    struct rp_timer queue_timer;        /* set while requests wait for their budgets */
    struct timespec failing_since;      /* first failure since the last success; zero: no failure */
    unsigned long n_ok;                 /* responses of any known status except 503 */
    unsigned long n_refused, n_unknown; /* attempts that ended as RP_KV_REFUSED, RP_KV_UNKNOWN */
    unsigned long n_shed;               /* requests that this client refused for lack of budget */
    unsigned long n_rate_limited;       /* responses with status 429 */
    unsigned long n_rejected;           /* responses with status 400 */
};

/** `addr` is borrowed, and must outlive the client. */
void rp_kv_client_init(struct rp_kv_client *client, struct rp_loop *loop, struct rp_net net,
                       const char *addr, double rps, double write_rps, size_t n_nodes,
                       double leader_write_share);
/** Applies new limits of the store: requests per second and changes per second. */
void rp_kv_client_set_limits(struct rp_kv_client *client, double rps, double write_rps);
/** Discards the waiting requests without calling back. The caller must ensure that no response
 * arrives afterwards. */
void rp_kv_client_close(struct rp_kv_client *client);

/** Reads one key. The outcome is RP_KV_NOT_FOUND when the key does not exist. */
void rp_kv_get(struct rp_kv_client *client, enum rp_kv_budget budget, const char *key, rp_kv_fn fn,
               void *arg);
/** Lists at most `limit` keys that begin with `prefix`, in their order, starting with the first one
 * after `after`, or with the first one of all if `after` is NULL. */
void rp_kv_list(struct rp_kv_client *client, enum rp_kv_budget budget, const char *prefix,
                const char *after, unsigned limit, rp_kv_fn fn, void *arg);
/** Sends a transaction, and takes ownership of it. The outcome is RP_KV_CONDITION_FAILED when a
 * condition failed. */
void rp_kv_txn_submit(struct rp_kv_client *client, enum rp_kv_budget budget, struct rp_kv_txn *txn,
                      rp_kv_fn fn, void *arg);
/** Requests a lease that ends unless it is renewed within `ttl_s`. */
void rp_kv_lease_grant(struct rp_kv_client *client, double ttl_s, rp_kv_fn fn, void *arg);
/** Renews a lease for its full length. The outcome is RP_KV_NOT_FOUND when the lease has ended. */
void rp_kv_lease_renew(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg);
/** Ends a lease, which deletes all keys attached to it. The outcome is RP_KV_NOT_FOUND when the
 * lease has already ended. */
void rp_kv_lease_revoke(struct rp_kv_client *client, uint64_t lease, rp_kv_fn fn, void *arg);
/** Requests the changes of keys with `prefix` after revision `from`; the store waits up to `hold_s`
 * seconds for a change. The outcome is RP_KV_COMPACTED when the store no longer keeps the changes
 * after `from`. */
void rp_kv_watch(struct rp_kv_client *client, const char *prefix, uint64_t from, double hold_s,
                 rp_kv_fn fn, void *arg);

/** The number of changes that the budget allows now; 0 while requests wait for it. */
double rp_kv_write_headroom(struct rp_kv_client *client, enum rp_kv_budget budget);
/** Whether a request without changes would have to wait for the budget, because other requests wait
 * for it or its tokens are used up. */
bool rp_kv_is_budget_exhausted(struct rp_kv_client *client, enum rp_kv_budget budget);
/** For how many seconds requests have received no usable response, or one with status 503; 0 when
 * the latest response was good, or no request has ended yet. */
double rp_kv_failing_s(const struct rp_kv_client *client);

#endif
