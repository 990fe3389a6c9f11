/** @file
 * Looks up whether jobs are open, for many users' queries with one request to the key-value store.
 * A transaction without changes compares up to `batch_max` keys at once, while reading them costs
 * one request each. It is used when the request budget for queries is exhausted: the longer queries
 * have to wait, the more of them share a request. Called by the users' API. */
#ifndef RP_JOBS_JOB_LOOKUP_H
#define RP_JOBS_JOB_LOOKUP_H

#include "config/settings.h"
#include "store/kv_client.h"

/** The result of a lookup. */
enum rp_lookup_result {
    RP_LOOKUP_OPEN,       /* the job's record was among the open jobs after the query arrived */
    RP_LOOKUP_NOT_OPEN,   /* the job's record was not among them after the query arrived */
    RP_LOOKUP_UNAVAILABLE /* undetermined: the budget is exhausted, or no response was received */
};

/** Called once for each query. */
typedef void (*rp_lookup_fn)(void *arg, enum rp_lookup_result result);

/** The queries that share a request. */
struct rp_lookup_batch;

/** Collects queries into batches. Instants are on the steady clock. */
struct rp_job_lookup {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    size_t batch_max;                   /* queries that one transaction can compare */
    struct rp_lookup_batch *collecting; /* the batch that has not been sent; NULL: no query waits */
    struct timespec collecting_since;
    struct rp_timer timer;           /* set while queries wait */
    unsigned long n_batches, n_jobs; /* batches sent, and the queries in them */
};

/** Initializes a lookup without queries. The pointers are borrowed. */
void rp_job_lookup_init(struct rp_job_lookup *lookup, struct rp_loop *loop,
                        struct rp_kv_client *store, const struct rp_settings *settings);
/** Drops the queries that wait, without calling back. */
void rp_job_lookup_close(struct rp_job_lookup *lookup);
/** Whether a query that arrives now should share a request: a request of its own would have to wait
 * for the budget, or other queries already wait. */
bool rp_job_lookup_should_batch(struct rp_job_lookup *lookup);
/** Looks up whether the job is open, and calls `on_result` once, later. The result is never older
 * than this call. */
void rp_job_lookup_add(struct rp_job_lookup *lookup, const char *job_id, rp_lookup_fn on_result,
                       void *arg);

#endif
