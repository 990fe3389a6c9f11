/** @file
 * The leader's jobs that have not ended. Struct rp_jobs owns and connects the parts, and is their
 * interface to the rest of the node:
 *
 * - job_table: the jobs by id and in order of acceptance, and their states
 * - job_loader, record_reader: the load at the beginning of a term
 * - job_watch: the changes after the load, and how stale the table may be
 * - deleted_records: deletions of which an older write may still arrive
 * - progress_writer, job_finisher: durable storage of progress and terminal states
 * - garbage_collector: deletion of stored records that no job needs
 * - run_time_estimator: expected run times
 *
 * Invariants: the table holds jobs only while this node leads or is about to lead; a response to a
 * request of an earlier leadership changes nothing; every write carries the condition that this
 * node leads. */
#ifndef RP_JOBS_JOBS_H
#define RP_JOBS_JOBS_H

#include "jobs/job_finisher.h"
#include "jobs/job_loader.h"
#include "jobs/job_watch.h"
#include "jobs/progress_writer.h"
#include "jobs/run_time_estimator.h"

/** Called when a load that rp_jobs_load started has ended. `is_complete`: the table holds all open
 * jobs; false: the load failed. */
typedef void (*rp_jobs_loaded_fn)(void *arg, bool is_complete);

/** The parts, their shared context and the owner's call-backs. The owner sets the call-backs after
 * rp_jobs_init; on_job_closed and on_open_jobs_changed may be NULL. */
struct rp_jobs {
    struct rp_jobs_context context;
    struct rp_job_table table;
    struct rp_record_reader record_reader;
    struct rp_job_loader loader;
    struct rp_job_watch watch;
    struct rp_garbage_collector garbage_collector;
    struct rp_deleted_records deleted_records;
    struct rp_progress_writer progress_writer;
    struct rp_job_finisher finisher;
    struct rp_run_time_estimator run_time_estimator;
    struct rp_timer tick_timer;
    rp_jobs_loaded_fn on_loaded;
    rp_job_closed_fn on_job_closed; /* must drop the job's allocations */
    rp_job_watch_fn on_open_jobs_changed;
    void *arg; /* passed to the call-backs */
};

/** Initializes an empty table; no request is sent before rp_jobs_load. The pointers are borrowed
 * and must outlive `jobs`, which must not be moved. */
void rp_jobs_init(struct rp_jobs *jobs, struct rp_loop *loop, struct rp_kv_client *store,
                  struct rp_election *election, const struct rp_upgrade *upgrade,
                  const struct rp_settings *settings);
/** Clears the table and loads all open jobs from the key-value store; `on_loaded` receives the
 * outcome. After a complete load the table is kept up to date, and progress and terminal states are
 * written back. */
void rp_jobs_load(struct rp_jobs *jobs);
/** Clears the table, and stops loading, watching and writing. Every allocation must have been
 * dropped before. */
void rp_jobs_clear(struct rp_jobs *jobs);
/** Finds a job by its id; NULL when the table does not contain it. */
struct rp_job *rp_jobs_find(const struct rp_jobs *jobs, const char *id);
/** Seconds since the latest instant of which the table is known to contain all changes. */
double rp_jobs_staleness_s(const struct rp_jobs *jobs);
/** Whether this node receives cancellations fast enough to answer workers' heartbeats. Every
 * response renews the worker's lease. */
bool rp_jobs_may_answer_heartbeats(const struct rp_jobs *jobs);
/** Whether this node receives cancellations fast enough to start tasks. */
bool rp_jobs_may_start_tasks(const struct rp_jobs *jobs);
/** Records that the key-value store answers other nodes but not this one: the other nodes may be
 * confirming cancellations that this node does not receive. */
void rp_jobs_record_store_isolation(struct rp_jobs *jobs);
/** A worker has reported the task as done. One report for a gang marks all tasks of the gang as
 * done. */
void rp_jobs_on_task_done(struct rp_jobs *jobs, struct rp_job *job, uint32_t task);
/** Drops an allocation's reference to the job. Frees a closed job with its last reference. */
void rp_jobs_release(struct rp_jobs *jobs, struct rp_job *job);
/** Records that one of the job's tasks was done after running for `run_s` seconds. */
void rp_jobs_record_run_time(struct rp_jobs *jobs, struct rp_job *job, double run_s);
/** The expected run time of one of the job's tasks in seconds; 0 for a service. */
double rp_jobs_expected_run_s(const struct rp_jobs *jobs, const struct rp_job *job);

#endif
