/** @file
 * Loads the jobs at the beginning of a term: all records of open jobs, with the further parts of
 * long ones, then all progress records. Each step begins when the step before it is complete: a job
 * that is missing from the table when its machines send heartbeats has its tasks stopped. Called by
 * struct rp_jobs. */
#ifndef RP_JOBS_JOB_LOADER_H
#define RP_JOBS_JOB_LOADER_H

#include "jobs/garbage_collector.h"
#include "jobs/job_watch.h"
#include "jobs/record_reader.h"

/** Called once at the end of each load. `is_complete`: the table contains all open jobs; false: the
 * load failed. */
typedef void (*rp_job_loader_fn)(void *arg, bool is_complete);

/** The state of the loader. */
struct rp_job_loader {
    struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_record_reader *reader;
    struct rp_job_watch *watch;
    struct rp_garbage_collector *collector;
    bool is_loading;
    rp_job_loader_fn on_loaded;
    void *arg; /* passed to the call-back */
};

/** Initializes a loader that fills `table` and gives `watch` the revision to start at. All pointers
 * are borrowed; the caller sets the call-back. */
void rp_job_loader_init(struct rp_job_loader *loader, struct rp_jobs_context *context,
                        struct rp_job_table *table, struct rp_record_reader *reader,
                        struct rp_job_watch *watch, struct rp_garbage_collector *collector);
/** Starts a load into the empty table. */
void rp_job_loader_start(struct rp_job_loader *loader);
/** Abandons a load in progress without calling back; the caller changes the context's generation.
 */
void rp_job_loader_stop(struct rp_job_loader *loader);
/** Handles the outcome of the reader's request for the further parts of one record. */
void rp_job_loader_on_parts_result(struct rp_job_loader *loader, enum rp_parts_outcome outcome);

#endif
