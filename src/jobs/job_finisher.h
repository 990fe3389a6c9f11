/** @file
 * Writes the terminal state of jobs whose tasks are all done. One transaction moves a job from the
 * open jobs to its terminal state, and deletes as many of its other records as fit. Called by
 * struct rp_jobs. */
#ifndef RP_JOBS_JOB_FINISHER_H
#define RP_JOBS_JOB_FINISHER_H

#include "jobs/deleted_records.h"
#include "jobs/garbage_collector.h"
#include "jobs/job_table.h"

/** The finisher; all pointers are borrowed. */
struct rp_job_finisher {
    const struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_garbage_collector *collector;
    struct rp_deleted_records *deleted;
};

/** Initializes a finisher for the jobs of `table`. */
void rp_job_finisher_init(struct rp_job_finisher *finisher, const struct rp_jobs_context *context,
                          struct rp_job_table *table, struct rp_garbage_collector *collector,
                          struct rp_deleted_records *deleted);
/** Sends the finishing transaction of a complete job, unless this node does not lead or the job
 * backs off after the store refused a write. */
void rp_job_finisher_finish(struct rp_job_finisher *finisher, struct rp_job *job);
/** Sends the finishing transactions of all complete jobs; called at each tick. */
void rp_job_finisher_finish_all(struct rp_job_finisher *finisher);

#endif
