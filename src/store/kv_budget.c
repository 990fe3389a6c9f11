#include "store/kv_budget.h"

#include <math.h>

/* Shares of the store's requests per second, and the largest bursts, in seconds of the store's full
 * rate. The leader's values apply to the one node that leads, the users' values to all nodes
 * together; only the burst of submissions applies to each node. */
#define LEADER_REQUEST_SHARE 0.3
#define LEADER_REQUEST_BURST_S 0.25
#define QUERIES_REQUEST_SHARE 0.45
#define QUERIES_REQUEST_BURST_S 0.35
#define SUBMISSIONS_REQUEST_SHARE 0.1
#define SUBMISSIONS_REQUEST_BURST_S 0.05
/* Share that the leader uses of its part of the changes (setting `leader_write_share`); the rest is
 * reserved for what other nodes write about themselves. */
#define LEADER_WRITE_USED_SHARE 0.9
/* Largest burst of the leader's changes, in seconds of the rate of its part. */
#define LEADER_WRITE_BURST_S 0.6
/* Smallest depth of the bucket of the leader's changes: a job's move to the terminal states makes
 * two changes. */
#define LEADER_WRITE_BURST_MIN 2.0
/* Multiple of its even share of the users' requests that a node may use, since load balancers never
 * spread requests evenly. */
#define EVEN_SHARE_FACTOR 1.2
/* The same multiple for changes by users. It is larger, since the leader rarely needs all of its
 * own changes, and the store refuses those above its limit. */
#define EVEN_WRITE_SHARE_FACTOR 1.8
/* Smallest burst of changes by users on a node, in seconds of the store's full rate. Submissions
 * come in bursts, and no node has information about those of the others. A node may send a quarter
 * of a second's worth of changes at once, however many nodes there are, and relies on the store to
 * refuse those above its limit, which are then retried. */
#define SUBMISSIONS_WRITE_BURST_S 0.25

const char *rp_kv_budget_name(enum rp_kv_budget budget) {
    static const char *const names[] = {
        [RP_KV_BUDGET_LEADERSHIP] = "leadership",
        [RP_KV_BUDGET_LEADER] = "leader",
        [RP_KV_BUDGET_SUBMISSIONS] = "submissions",
        [RP_KV_BUDGET_QUERIES] = "queries",
    };
    return names[budget];
}

static void set_rate(struct rp_token_bucket *bucket, double rate, double depth,
                     struct timespec now) {
    double level = bucket->depth > 0 ? fmin(bucket->level, depth) : depth;
    rp_token_bucket_init(bucket, rate, depth, now);
    bucket->level = level;
}

void rp_kv_budgets_set_limits(struct rp_kv_budgets *budgets, const struct rp_kv_rate_limits *limits,
                              struct timespec now) {
    double requests_per_s = limits->requests_per_s;
    double writes_per_s = limits->writes_per_s;
    double leader_share = limits->leader_write_share;
    double users_share = 1.0 - leader_share;
    double even_share = EVEN_SHARE_FACTOR / (double)limits->n_nodes;
    double submissions_share = users_share * EVEN_WRITE_SHARE_FACTOR / (double)limits->n_nodes;
    set_rate(&budgets->requests[RP_KV_BUDGET_LEADER], requests_per_s * LEADER_REQUEST_SHARE,
             requests_per_s * LEADER_REQUEST_BURST_S, now);
    set_rate(&budgets->writes[RP_KV_BUDGET_LEADER],
             writes_per_s * leader_share * LEADER_WRITE_USED_SHARE,
             fmax(writes_per_s * leader_share * LEADER_WRITE_BURST_S, LEADER_WRITE_BURST_MIN), now);
    set_rate(&budgets->requests[RP_KV_BUDGET_QUERIES],
             requests_per_s * QUERIES_REQUEST_SHARE * even_share,
             requests_per_s * QUERIES_REQUEST_BURST_S * even_share, now);
    set_rate(&budgets->requests[RP_KV_BUDGET_SUBMISSIONS],
             requests_per_s * SUBMISSIONS_REQUEST_SHARE * even_share,
             requests_per_s * SUBMISSIONS_REQUEST_BURST_S, now);
    set_rate(&budgets->writes[RP_KV_BUDGET_SUBMISSIONS], writes_per_s * submissions_share,
             writes_per_s * fmax(submissions_share, SUBMISSIONS_WRITE_BURST_S), now);
}

bool rp_kv_budgets_can_send(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                            unsigned n_writes, struct timespec now) {
    if (budget == RP_KV_BUDGET_LEADERSHIP)
        return true;
    return rp_token_bucket_has(&budgets->requests[budget], 1, now) &&
           (n_writes == 0 || rp_token_bucket_has(&budgets->writes[budget], n_writes, now));
}

void rp_kv_budgets_spend(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                         unsigned n_writes) {
    rp_token_bucket_take(&budgets->requests[budget], 1);
    rp_token_bucket_take(&budgets->writes[budget], n_writes);
}

void rp_kv_budgets_penalize(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                            unsigned n_writes) {
    struct rp_token_bucket *writes = &budgets->writes[budget];
    bool is_in_debt = writes->level <= -writes->depth; /* enough has been charged */
    if (!is_in_debt)
        rp_token_bucket_take(writes, n_writes);
}

double rp_kv_budgets_write_headroom(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                                    struct timespec now) {
    rp_token_bucket_refill(&budgets->writes[budget], now);
    return budgets->writes[budget].level;
}
