#include "store/kv_budget.h"

#include <math.h>

/* Parts of the store's requests a second, and of one second's worth the most at once. The leader's
 * hold for the one node that leads, the users' for all nodes together. */
#define LEADER_REQUEST_SHARE 0.3
#define LEADER_REQUEST_BURST_S 0.25
#define QUERIES_REQUEST_SHARE 0.45
#define QUERIES_REQUEST_BURST_S 0.35
#define SUBMISSIONS_REQUEST_SHARE 0.1
#define SUBMISSIONS_REQUEST_BURST_S 0.05
/* Of the leader's part of the changes (setting `leader_write_share`): some is left for what other
 * nodes write about themselves. */
#define LEADER_WRITE_SHARE 0.9
#define LEADER_WRITE_BURST_S 0.6
#define LEADER_WRITE_BURST_LEAST 2.0 /* changes: a job's move to the terminal states is two */
/* Of its even part that a node may use: balancers never spread evenly. For changes by users it is
 * more, since the leader rarely needs all of its own, and the store refuses what is too much. */
#define EVEN_SHARE 1.2
#define SUBMISSIONS_WRITE_SHARE 1.8
/* Submissions come in bursts, and no node knows of the others': a node may let a quarter of a
 * second's worth of changes go at once, however many nodes there are, and rely on the store to
 * refuse what is too much, which is then tried again. */
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
    double rps = limits->requests_per_s;
    double wps = limits->writes_per_s;
    double leader_share = limits->leader_write_share;
    double users_share = 1.0 - leader_share;
    double even_share = EVEN_SHARE / (double)limits->n_nodes;
    double submissions_share = users_share * SUBMISSIONS_WRITE_SHARE / (double)limits->n_nodes;
    set_rate(&budgets->requests[RP_KV_BUDGET_LEADER], rps * LEADER_REQUEST_SHARE,
             rps * LEADER_REQUEST_BURST_S, now);
    set_rate(&budgets->writes[RP_KV_BUDGET_LEADER], wps * leader_share * LEADER_WRITE_SHARE,
             fmax(wps * leader_share * LEADER_WRITE_BURST_S, LEADER_WRITE_BURST_LEAST), now);
    set_rate(&budgets->requests[RP_KV_BUDGET_QUERIES], rps * QUERIES_REQUEST_SHARE * even_share,
             rps * QUERIES_REQUEST_BURST_S * even_share, now);
    set_rate(&budgets->requests[RP_KV_BUDGET_SUBMISSIONS],
             rps * SUBMISSIONS_REQUEST_SHARE * even_share, rps * SUBMISSIONS_REQUEST_BURST_S, now);
    set_rate(&budgets->writes[RP_KV_BUDGET_SUBMISSIONS], wps * submissions_share,
             wps * fmax(submissions_share, SUBMISSIONS_WRITE_BURST_S), now);
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
    bool is_in_debt = writes->level <= -writes->depth; /* enough has been paid for */
    if (!is_in_debt)
        rp_token_bucket_take(writes, n_writes);
}

double rp_kv_budgets_write_headroom(struct rp_kv_budgets *budgets, enum rp_kv_budget budget,
                                    struct timespec now) {
    rp_token_bucket_refill(&budgets->writes[budget], now);
    return budgets->writes[budget].level;
}
