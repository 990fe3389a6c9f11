/** @file
 * Request budgets: how many of the requests, and of the changes, that the key-value store allows a
 * second this node may use, and for whom.
 *
 * The store's limits hold for all nodes together, and nodes don't know of each other's use. Each
 * budget is a token bucket with a fixed part of a limit, so that the leader, users who submit or
 * cancel, and users who ask can't use up each other's. A request is never cut short by a budget:
 * one that costs more than a bucket holds goes once the bucket is full, and is paid back
 * afterwards. For use by store/kv_client.c, which queues what a budget doesn't let through. */
#ifndef RP_STORE_KV_BUDGET_H
#define RP_STORE_KV_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include "base/token_bucket.h"

/** Whom a request is for. */
enum rp_kv_budget {
    RP_KV_BUDGET_LEADERSHIP,  /**< elections and watches: few, never wait */
    RP_KV_BUDGET_LEADER,      /**< what the leader reads and writes */
    RP_KV_BUDGET_SUBMISSIONS, /**< users who submit or cancel */
    RP_KV_BUDGET_QUERIES,     /**< users who ask */
    RP_KV_BUDGETS             /**< how many there are */
};

/** A budget's name for log lines. */
const char *rp_kv_budget_name(enum rp_kv_budget budget);

/** The store's limits, and who may use how much of them. */
struct rp_kv_rate_limits {
    double requests_per_s; /* of all nodes together */
    double writes_per_s;   /* changes; a transaction has several */
    size_t n_nodes;        /* this one included */
    double leader_write_share;
};

/** A node's budgets. */
struct rp_kv_budgets {
    struct rp_token_bucket requests[RP_KV_BUDGETS], writes[RP_KV_BUDGETS];
};

/** Sets the rates that follow from the limits; at the first call, of zeroed budgets, the buckets
 * are filled. Later calls leave in them what they held. */
void rp_kv_budgets_set_limits(struct rp_kv_budgets *budgets, const struct rp_kv_rate_limits *limits,
                              struct timespec now);
/** Whether a request that makes `n_writes` changes may be sent now. */
bool rp_kv_budgets_can_send(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                            unsigned n_writes, struct timespec now);
/** Accounts for a request that is sent. */
void rp_kv_budgets_spend(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                         unsigned n_writes);
/** The store refused a request as one too many: its limits have come down, or other nodes used them
 * up. The refused changes are paid for once more, so that the pace goes down. */
void rp_kv_budgets_penalize(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                            unsigned n_writes);
/** The changes that the budget would let through now; negative while it is being paid back. */
double rp_kv_budgets_write_headroom(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                                    struct timespec now);

#endif
