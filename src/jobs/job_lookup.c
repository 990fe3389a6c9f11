#include "jobs/job_lookup.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "store/records.h"

#define CONDITIONS_PER_CHANGE 4 /* of a transaction (PROTOCOL) */
#define BATCH_MOST 64
#define POLL_BUDGET_S 0.02 /* between looks whether the budget has room again */
#define COLLECT_MOST_S 0.3 /* then the batch queues for the budget, whatever is in it */

struct question {
    char job[RP_ID_MAX];
    rp_lookup_fn fn;
    void *arg;
};

struct rp_lookup_batch {
    size_t n;
    struct question questions[BATCH_MOST];
};

static void budget_due(void *arg);

void rp_job_lookup_init(struct rp_job_lookup *lookup, struct rp_loop *loop,
                        struct rp_kv_client *store, const struct rp_settings *settings) {
    size_t conditions = CONDITIONS_PER_CHANGE * settings->state_fit.txn_ops;
    memset(lookup, 0, sizeof *lookup);
    lookup->loop = loop;
    lookup->store = store;
    lookup->batch_max = conditions < BATCH_MOST ? conditions : BATCH_MOST;
    lookup->timer = (struct rp_timer){.fn = budget_due, .arg = lookup};
}

void rp_job_lookup_close(struct rp_job_lookup *lookup) {
    rp_timer_cancel(lookup->loop, &lookup->timer);
    free(lookup->collecting);
    lookup->collecting = NULL;
}

bool rp_job_lookup_pays(struct rp_job_lookup *lookup) {
    return lookup->collecting || rp_kv_must_wait(lookup->store, RP_KV_BUDGET_QUERIES);
}

static enum rp_lookup_result result_of(const struct rp_kv_result *result, const char *job) {
    char key[RP_KEY_MAX];
    if (result->outcome == RP_KV_OK)
        return RP_LOOKUP_NOT_OPEN; /* every condition held: none of the keys exists */
    if (result->outcome != RP_KV_CONDITION_FAILED)
        return RP_LOOKUP_UNAVAILABLE;
    rp_key(key, RP_KEY_OPEN, job);
    return rp_kv_result_failed_on(result, key) ? RP_LOOKUP_OPEN : RP_LOOKUP_NOT_OPEN;
}

static void compared(void *arg, const struct rp_kv_result *result) {
    struct rp_lookup_batch *batch = arg;
    for (size_t i = 0; i < batch->n; i++) {
        const struct question *question = &batch->questions[i];
        question->fn(question->arg, result_of(result, question->job));
    }
    free(batch);
}

static bool asked_before(const struct rp_lookup_batch *batch, size_t index) {
    for (size_t i = 0; i < index; i++)
        if (strcmp(batch->questions[i].job, batch->questions[index].job) == 0)
            return true;
    return false;
}

/* The conditions say that none of the jobs is open: those that fail name the open ones. */
static void send_batch(struct rp_job_lookup *lookup) {
    struct rp_lookup_batch *batch = lookup->collecting;
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    lookup->collecting = NULL;
    for (size_t i = 0; i < batch->n; i++) {
        char key[RP_KEY_MAX];
        rp_key(key, RP_KEY_OPEN, batch->questions[i].job);
        if (!asked_before(batch, i))
            rp_kv_txn_if(txn, key, RP_KV_ABSENT);
    }
    lookup->n_batches++;
    lookup->n_jobs += batch->n;
    rp_kv_txn_submit(lookup->store, RP_KV_BUDGET_QUERIES, txn, compared, batch);
}

static void budget_due(void *arg) {
    struct rp_job_lookup *lookup = arg;
    struct timespec now = rp_loop_now(lookup->loop);
    if (!lookup->collecting)
        return;
    bool waited = rp_ts_since(now, lookup->collecting_since) >= COLLECT_MOST_S;
    if (waited || !rp_kv_must_wait(lookup->store, RP_KV_BUDGET_QUERIES))
        send_batch(lookup);
    else
        rp_timer_set(lookup->loop, &lookup->timer, POLL_BUDGET_S);
}

void rp_job_lookup_add(struct rp_job_lookup *lookup, const char *job, rp_lookup_fn fn, void *arg) {
    if (!lookup->collecting) {
        lookup->collecting = rp_alloc(1, sizeof *lookup->collecting);
        lookup->collecting_since = rp_loop_now(lookup->loop);
        rp_timer_set(lookup->loop, &lookup->timer, POLL_BUDGET_S);
    }
    struct question *question = &lookup->collecting->questions[lookup->collecting->n++];
    snprintf(question->job, sizeof question->job, "%s", job);
    question->fn = fn;
    question->arg = arg;
    if (lookup->collecting->n >= lookup->batch_max)
        send_batch(lookup);
}
