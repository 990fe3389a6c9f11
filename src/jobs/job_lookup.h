/** @file
 * Whether jobs are open, looked up for many users' queries with one request to the key-value store.
 * A transaction without changes compares up to `batch_max` keys at once, where reading them would
 * cost a request each. It is meant for the time when the request budget for queries is used up: the
 * longer queries have to wait, the more of them share a request. Called by the users' API. */
#ifndef RP_JOBS_JOB_LOOKUP_H
#define RP_JOBS_JOB_LOOKUP_H

#include "config/settings.h"
#include "store/kv_client.h"

/** What a lookup has found. */
enum rp_lookup_result {
    RP_LOOKUP_OPEN,       /* the job's record stood among the open ones after the query came */
    RP_LOOKUP_NOT_OPEN,   /* it didn't */
    RP_LOOKUP_UNAVAILABLE /* nobody knows: no budget, or no answer */
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
    struct rp_lookup_batch *collecting; /* not sent yet; NULL: no query waits */
    struct timespec collecting_since;
    struct rp_timer timer;           /* set while queries wait */
    unsigned long n_batches, n_jobs; /* sent so far, and the jobs in them */
};

/** Nothing waits. The pointers are borrowed. */
void rp_job_lookup_init(struct rp_job_lookup *lookup, struct rp_loop *loop,
                        struct rp_kv_client *store, const struct rp_settings *settings);
/** Forgets the queries that wait, without calling back. */
void rp_job_lookup_close(struct rp_job_lookup *lookup);
/** Whether a query that comes now should share a request: one of its own had to wait for the
 * budget, or others wait already. */
bool rp_job_lookup_should_batch(struct rp_job_lookup *lookup);
/** Looks up whether the job is open, and calls `on_result` once, later. The result is never older
 * than this call. */
void rp_job_lookup_add(struct rp_job_lookup *lookup, const char *job_id, rp_lookup_fn on_result,
                       void *arg);

#endif
