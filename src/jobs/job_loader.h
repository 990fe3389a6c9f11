/** @file
 * The load at the beginning of a term: all records of open jobs, with the parts of long ones, then
 * all progress records. Each step begins when the one before is complete: a job that isn't known
 * when its machines report has its tasks stopped. Called by struct rp_jobs. */
#ifndef RP_JOBS_JOB_LOADER_H
#define RP_JOBS_JOB_LOADER_H

#include "jobs/garbage_collector.h"
#include "jobs/job_watch.h"
#include "jobs/record_reader.h"

/** The outcome of a load, told once for each: whether the table is complete. */
typedef void (*rp_job_loader_fn)(void *arg, bool is_complete);

/** The loader. */
struct rp_job_loader {
    struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_record_reader *reader;
    struct rp_job_watch *watch;
    struct rp_garbage_collector *collector;
    bool is_loading;
    rp_job_loader_fn on_loaded;
    void *arg; /* for the call-back */
};

/** A loader that fills `table`, and tells `watch` where to go on. All pointers are borrowed; the
 * caller sets the call-back. */
void rp_job_loader_init(struct rp_job_loader *loader, struct rp_jobs_context *context,
                        struct rp_job_table *table, struct rp_record_reader *reader,
                        struct rp_job_watch *watch, struct rp_garbage_collector *collector);
/** Begins a load into the empty table. */
void rp_job_loader_start(struct rp_job_loader *loader);
/** Forgets a load under way without calling back; the caller changes the context's generation. */
void rp_job_loader_stop(struct rp_job_loader *loader);
/** The reader has read the parts of one record, or failed to. */
void rp_job_loader_on_parts_result(struct rp_job_loader *loader, enum rp_parts_outcome outcome);

#endif
