#include "jobs/job_lookup.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"
#include "store/records.h"

/* Conditions that the store accepts in a transaction for each change that it allows (PROTOCOL). */
#define CONDITIONS_PER_CHANGE 4
/* Maximum number of queries in a batch: bounds the memory of a batch and the number of users who
 * wait for one response. */
#define BATCH_QUERIES_MAX 64
/* Seconds between two checks whether the request budget for queries has headroom again. */
#define POLL_PERIOD_S 0.02
/* Seconds after which a batch is queued for the budget, however few queries it has. */
#define COLLECT_MAX_S 0.3

struct lookup_query {
    char job_id[RP_ID_MAX];
    rp_lookup_fn on_result;
    void *arg;
};

struct rp_lookup_batch {
    size_t n;
    struct lookup_query queries[BATCH_QUERIES_MAX];
};

static void on_poll_timer(void *arg);

void rp_job_lookup_init(struct rp_job_lookup *lookup, struct rp_loop *loop,
                        struct rp_kv_client *store, const struct rp_settings *settings) {
    size_t n_conditions = CONDITIONS_PER_CHANGE * settings->kv_limits_lowest.txn_ops;
    memset(lookup, 0, sizeof *lookup);
    lookup->loop = loop;
    lookup->store = store;
    lookup->batch_max = n_conditions < BATCH_QUERIES_MAX ? n_conditions : BATCH_QUERIES_MAX;
    lookup->timer = (struct rp_timer){.fn = on_poll_timer, .arg = lookup};
}

void rp_job_lookup_close(struct rp_job_lookup *lookup) {
    rp_timer_cancel(lookup->loop, &lookup->timer);
    free(lookup->collecting);
    lookup->collecting = NULL;
}

bool rp_job_lookup_should_batch(struct rp_job_lookup *lookup) {
    return lookup->collecting || rp_kv_is_budget_exhausted(lookup->store, RP_KV_BUDGET_QUERIES);
}

static enum rp_lookup_result lookup_result(const struct rp_kv_result *result, const char *job_id) {
    char key[RP_KEY_MAX];
    if (result->outcome == RP_KV_OK)
        return RP_LOOKUP_NOT_OPEN; /* every condition held: none of the keys exists */
    if (result->outcome != RP_KV_CONDITION_FAILED)
        return RP_LOOKUP_UNAVAILABLE;
    rp_key(key, RP_KEY_OPEN, job_id);
    return rp_kv_result_has_failed_condition(result, key) ? RP_LOOKUP_OPEN : RP_LOOKUP_NOT_OPEN;
}

static void on_batch_response(void *arg, const struct rp_kv_result *result) {
    struct rp_lookup_batch *batch = arg;
    for (size_t i = 0; i < batch->n; i++) {
        const struct lookup_query *query = &batch->queries[i];
        query->on_result(query->arg, lookup_result(result, query->job_id));
    }
    free(batch);
}

/* Whether an earlier query of the batch is for the same job. */
static bool is_repeated(const struct rp_lookup_batch *batch, size_t index) {
    for (size_t i = 0; i < index; i++)
        if (strcmp(batch->queries[i].job_id, batch->queries[index].job_id) == 0)
            return true;
    return false;
}

/* The transaction's conditions are that none of the batch's jobs is open: the conditions that fail
 * name the open jobs. */
static void send_batch(struct rp_job_lookup *lookup) {
    struct rp_lookup_batch *batch = lookup->collecting;
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    lookup->collecting = NULL;
    for (size_t i = 0; i < batch->n; i++) {
        char key[RP_KEY_MAX];
        rp_key(key, RP_KEY_OPEN, batch->queries[i].job_id);
        if (!is_repeated(batch, i))
            rp_kv_txn_if(txn, key, RP_KV_ABSENT);
    }
    lookup->n_batches++;
    lookup->n_jobs += batch->n;
    rp_kv_txn_submit(lookup->store, RP_KV_BUDGET_QUERIES, txn, on_batch_response, batch);
}

static void on_poll_timer(void *arg) {
    struct rp_job_lookup *lookup = arg;
    struct timespec now = rp_loop_now(lookup->loop);
    if (!lookup->collecting)
        return;
    bool has_waited = rp_ts_since(now, lookup->collecting_since) >= COLLECT_MAX_S;
    if (has_waited || !rp_kv_is_budget_exhausted(lookup->store, RP_KV_BUDGET_QUERIES))
        send_batch(lookup);
    else
        rp_timer_set(lookup->loop, &lookup->timer, POLL_PERIOD_S);
}

void rp_job_lookup_add(struct rp_job_lookup *lookup, const char *job_id, rp_lookup_fn on_result,
                       void *arg) {
    if (!lookup->collecting) {
        lookup->collecting = rp_alloc(1, sizeof *lookup->collecting);
        lookup->collecting_since = rp_loop_now(lookup->loop);
        rp_timer_set(lookup->loop, &lookup->timer, POLL_PERIOD_S);
    }
    struct lookup_query *query = &lookup->collecting->queries[lookup->collecting->n++];
    rp_string_copy(query->job_id, sizeof query->job_id, job_id);
    query->on_result = on_result;
    query->arg = arg;
    if (lookup->collecting->n >= lookup->batch_max)
        send_batch(lookup);
}
