/** @file
 * Whether jobs are open, looked up for many users' questions with one request to the state service.
 * A transaction without changes compares up to `batch_max` keys at once, where reading them would
 * cost a request each. It is meant for the time when the budget for questions is used up: the
 * longer questions have to wait, the more of them share a request. */
#ifndef RP_JOBS_JOB_LOOKUP_H
#define RP_JOBS_JOB_LOOKUP_H

#include "config/settings.h"
#include "store/kv_client.h"

enum rp_lookup_result {
    RP_LOOKUP_OPEN,       /* the job's record stood among the open ones after the question came */
    RP_LOOKUP_NOT_OPEN,   /* it didn't */
    RP_LOOKUP_UNAVAILABLE /* nobody knows: no budget, or no answer */
};

typedef void (*rp_lookup_fn)(void *arg, enum rp_lookup_result result);

struct rp_lookup_batch;

struct rp_job_lookup {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    size_t batch_max;
    struct rp_lookup_batch *collecting; /* not sent yet; NULL: nothing waits */
    struct timespec collecting_since;
    struct rp_timer timer;
    unsigned long n_batches, n_jobs; /* sent so far, and the jobs in them */
};

void rp_job_lookup_init(struct rp_job_lookup *lookup, struct rp_loop *loop,
                        struct rp_kv_client *store, const struct rp_settings *settings);
/** Forgets what waits, without calling back. */
void rp_job_lookup_close(struct rp_job_lookup *lookup);
/** Whether a question asked now had to wait for the budget if it were a request of its own. */
bool rp_job_lookup_pays(struct rp_job_lookup *lookup);
/** Calls `fn` once, later. The answer is never older than this call. */
void rp_job_lookup_add(struct rp_job_lookup *lookup, const char *job, rp_lookup_fn fn, void *arg);

#endif
