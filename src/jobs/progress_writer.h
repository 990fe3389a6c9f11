/** @file
 * Makes the progress of open jobs durable: writes progress records, many in one transaction, and
 * keeps their revisions, by which a write that is carried out late can't replace a newer one. It
 * changes jobs only by the events of job_progress.h. Called by struct rp_jobs at each tick. */
#ifndef RP_JOBS_PROGRESS_WRITER_H
#define RP_JOBS_PROGRESS_WRITER_H

#include "jobs/garbage_collector.h"
#include "jobs/job_table.h"

/** The writer. */
struct rp_progress_writer {
    const struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_garbage_collector *collector;
    size_t max_records; /* in a transaction; fewer once the store has refused so many */
};

/** A writer for the jobs of `table`; all pointers are borrowed. */
void rp_progress_writer_init(struct rp_progress_writer *writer,
                             const struct rp_jobs_context *context, struct rp_job_table *table,
                             struct rp_garbage_collector *collector);
/** Writes the progress that has waited longest, as many records together as a transaction and the
 * write budget take: the more there is, the fuller the transactions. The caller must have checked
 * that this node leads. */
void rp_progress_writer_write_back(struct rp_progress_writer *writer);

#endif
