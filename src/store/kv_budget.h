/** @file
 * Request budgets: how many of the requests per second and changes per second that the key-value
 * store allows this node may use, and for which purpose.
 *
 * The store's limits apply to all nodes together, and no node has information about the use of the
 * others. Each budget is a token bucket with a fixed share of a limit, so that the leader, users
 * who submit or cancel, and users who query cannot exhaust each other's budgets. No request is too
 * large for its budget: one that costs more than a bucket holds is sent once the bucket is full,
 * and the tokens are paid back afterwards. Called by store/kv_client.c, which queues the requests
 * that a budget does not let through. */
#ifndef RP_STORE_KV_BUDGET_H
#define RP_STORE_KV_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include "base/token_bucket.h"

/** The purpose of a request. */
enum rp_kv_budget {
    RP_KV_BUDGET_LEADERSHIP,  /**< elections and watches: few requests, which never wait */
    RP_KV_BUDGET_LEADER,      /**< reads and writes of the leader */
    RP_KV_BUDGET_SUBMISSIONS, /**< users who submit or cancel */
    RP_KV_BUDGET_QUERIES,     /**< users who query */
    RP_KV_BUDGETS             /**< number of budgets */
};

/** A budget's name for log lines. */
const char *rp_kv_budget_name(enum rp_kv_budget budget);

/** The store's limits, and how the nodes share them. */
struct rp_kv_rate_limits {
    double requests_per_s; /* limit for all nodes together */
    double writes_per_s;   /* limit of changes for all nodes together; a transaction makes several
                              changes */
    size_t n_nodes;        /* number of nodes, this one included */
    double leader_write_share;
};

/** A node's budgets. */
struct rp_kv_budgets {
    struct rp_token_bucket requests[RP_KV_BUDGETS], writes[RP_KV_BUDGETS];
};

/** Sets the rates that follow from the limits. The first call, with zeroed budgets, fills the
 * buckets; later calls keep the tokens that they hold. */
void rp_kv_budgets_set_limits(struct rp_kv_budgets *budgets, const struct rp_kv_rate_limits *limits,
                              struct timespec now);
/** Whether a request that makes `n_writes` changes may be sent now. */
bool rp_kv_budgets_can_send(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                            unsigned n_writes, struct timespec now);
/** Accounts for a request that is sent. */
void rp_kv_budgets_spend(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                         unsigned n_writes);
/** Accounts for a request that the store refused for its rate limit, because its limits were
 * lowered or other nodes used them up. The refused changes are charged once more, so that this
 * node's rate falls. */
void rp_kv_budgets_penalize(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                            unsigned n_writes);
/** The number of changes that the budget allows now; negative while tokens are paid back. */
double rp_kv_budgets_write_headroom(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                                    struct timespec now);

#endif
