/** @file
 * The jobs that have not ended, by id and in order of acceptance. The table owns the jobs. Every
 * change of a job's state is made through the table, since the end of a job stops its tasks, and
 * removes the job from the table after its last reference is dropped. */
#ifndef RP_JOBS_JOB_TABLE_H
#define RP_JOBS_JOB_TABLE_H

#include "jobs/job.h"

/** Number of buckets of the hash table over the job ids; some thousand jobs are open at a time. */
#define RP_JOB_TABLE_BUCKETS 4096

/** Called when a job has ended, while it and its allocations still exist. */
typedef void (*rp_job_closed_fn)(void *arg, struct rp_job *job);

/** The table. `first` and rp_job.next iterate over the jobs in order of acceptance. */
struct rp_job_table {
    struct rp_job *buckets[RP_JOB_TABLE_BUCKETS];
    struct rp_job *first, *last;
    size_t n_jobs;
    size_t n_services; /* services that have not ended */
    rp_job_closed_fn on_job_closed;
    void *arg; /* passed to the call-back */
};

/** Finds a job by its id; NULL when the table does not contain it. */
struct rp_job *rp_job_table_find(const struct rp_job_table *table, const char *id);
/** Inserts the job and takes ownership of it. The caller must have checked that the table contains
 * no job with its id. */
void rp_job_table_insert(struct rp_job_table *table, struct rp_job *job);
/** Changes a job's state. RP_JOB_CLOSED calls `on_job_closed` and may free the job. */
void rp_job_table_set_state(struct rp_job_table *table, struct rp_job *job,
                            enum rp_job_state state);
/** Drops one reference to the job; frees a closed job with its last reference. */
void rp_job_table_release(struct rp_job_table *table, struct rp_job *job);
/** Frees all jobs, whatever their state; no references to them may remain. */
void rp_job_table_clear(struct rp_job_table *table);

#endif
