/** @file
 * Makes the progress of open jobs durable: writes progress records, many in one transaction, and
 * tracks their revisions, so that a write that is carried out late cannot replace a newer one. The
 * state of a job's progress is changed only by the events of job_progress.h. Called by struct
 * rp_jobs at each tick. */
#ifndef RP_JOBS_PROGRESS_WRITER_H
#define RP_JOBS_PROGRESS_WRITER_H

#include "jobs/garbage_collector.h"
#include "jobs/job_table.h"

/** The writer and its limit on the size of transactions. */
struct rp_progress_writer {
    const struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_garbage_collector *collector;
    size_t max_records; /* maximum number per transaction; halved when the store refuses a
                           transaction, raised again by 1 with each that succeeds */
};

/** Initializes a writer for the jobs of `table`; all pointers are borrowed. */
void rp_progress_writer_init(struct rp_progress_writer *writer,
                             const struct rp_jobs_context *context, struct rp_job_table *table,
                             struct rp_garbage_collector *collector);
/** Writes progress that is due, in the order of the table, in one transaction of as many records as
 * the transaction limits and the write budget allow: the more progress is due, the fuller the
 * transactions are. The caller must have checked that this node leads. */
void rp_progress_writer_write_back(struct rp_progress_writer *writer);

#endif
