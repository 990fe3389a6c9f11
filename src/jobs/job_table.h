/** @file
 * The jobs that have not ended, by id and in order of acceptance. The table owns the jobs; every
 * change of a job's state goes through it, since the end of a job stops its tasks and drops it from
 * the table once nothing refers to it any more. */
#ifndef RP_JOBS_JOB_TABLE_H
#define RP_JOBS_JOB_TABLE_H

#include "jobs/job.h"

/** Buckets of the hash over the ids; some thousand jobs are open at a time. */
#define RP_JOB_TABLE_BUCKETS 4096

/** Called when a job has ended; it and its allocations are still there. */
typedef void (*rp_job_closed_fn)(void *arg, struct rp_job *job);

/** The table. `first` and rp_job.next go through it in order of acceptance. */
struct rp_job_table {
    struct rp_job *buckets[RP_JOB_TABLE_BUCKETS];
    struct rp_job *first, *last;
    size_t n_jobs;
    size_t n_services; /* that have not ended */
    rp_job_closed_fn on_job_closed;
    void *arg; /* for the call-back */
};

/** Finds a job by its id; NULL when the table hasn't got it. */
struct rp_job *rp_job_table_find(const struct rp_job_table *table, const char *id);
/** Takes the job over. The caller must have checked that its id isn't there. */
void rp_job_table_insert(struct rp_job_table *table, struct rp_job *job);
/** Changes a job's state. RP_JOB_CLOSED calls `on_job_closed` and may free the job. */
void rp_job_table_set_state(struct rp_job_table *table, struct rp_job *job,
                            enum rp_job_state state);
/** Drops one reference; frees a closed job with the last one. */
void rp_job_table_release(struct rp_job_table *table, struct rp_job *job);
/** Frees all jobs, whatever their state; nothing may refer to them. */
void rp_job_table_clear(struct rp_job_table *table);

#endif
