/** @file
 * The leader's jobs that have not ended. This facade owns the parts, connects them, and gives the
 * rest of the node one interface:
 *
 * - job_table: the jobs by id and in order of acceptance, their states
 * - job_loader, record_reader: the load at the beginning of a term
 * - job_watch: what changes afterwards, and how old the table's picture may be
 * - progress_writer, job_finisher: what makes results durable
 * - garbage_collector: deletion of stored records that no job needs
 * - run_time_estimator: expected run times
 *
 * Invariants: a job is in the table only while this node leads or is about to; an answer to a
 * request of an earlier leadership changes nothing; every write carries the condition that this
 * node leads. */
#ifndef RP_JOBS_JOBS_H
#define RP_JOBS_JOBS_H

#include "jobs/job_finisher.h"
#include "jobs/job_loader.h"
#include "jobs/job_watch.h"
#include "jobs/progress_writer.h"
#include "jobs/run_time_estimator.h"

/** The outcome of rp_jobs_load: whether the table is complete. */
typedef void (*rp_jobs_loaded_fn)(void *arg, bool is_complete);

/** All that belongs to the jobs. The owner sets the call-backs after rp_jobs_init; the last two may
 * be NULL. */
struct rp_jobs {
    struct rp_jobs_context context;
    struct rp_job_table table;
    struct rp_record_reader record_reader;
    struct rp_job_loader loader;
    struct rp_job_watch watch;
    struct rp_garbage_collector garbage_collector;
    struct rp_progress_writer progress_writer;
    struct rp_job_finisher finisher;
    struct rp_run_time_estimator run_time_estimator;
    struct rp_timer tick_timer;
    rp_jobs_loaded_fn on_loaded;
    rp_job_closed_fn on_job_closed; /* its allocations have to be dropped */
    rp_job_watch_fn on_open_jobs_changed;
    void *arg; /* for the call-backs */
};

/** An empty table that does nothing. The pointers are borrowed and must outlive it; `jobs` must not
 * be moved. */
void rp_jobs_init(struct rp_jobs *jobs, struct rp_loop *loop, struct rp_kv_client *store,
                  struct rp_election *election, const struct rp_upgrade *upgrade,
                  const struct rp_settings *settings);
/** Empties the table and loads everything; `on_loaded` tells the outcome. From then on the table is
 * kept up to date and written back. */
void rp_jobs_load(struct rp_jobs *jobs);
/** Empties the table and stops; every allocation must have been dropped before. */
void rp_jobs_clear(struct rp_jobs *jobs);
/** Finds a job by its id; NULL when it isn't known. */
struct rp_job *rp_jobs_find(const struct rp_jobs *jobs, const char *id);
/** Seconds since the last moment of which the table is known to hold all changes. */
double rp_jobs_staleness_s(const struct rp_jobs *jobs);
/** Whether cancellations are heard of fast enough for workers to be answered: every answer renews a
 * worker's lease. */
bool rp_jobs_may_answer_heartbeats(const struct rp_jobs *jobs);
/** Whether they are heard of fast enough for tasks to be started. */
bool rp_jobs_may_start_tasks(const struct rp_jobs *jobs);
/** The key-value store answers other nodes, but not this one: they may be confirming cancellations.
 */
void rp_jobs_record_store_isolation(struct rp_jobs *jobs);
/** A worker has reported the task done (of a gang: any task). */
void rp_jobs_on_task_done(struct rp_jobs *jobs, struct rp_job *job, uint32_t task);
/** An allocation no longer refers to the job. Frees a closed job with its last reference. */
void rp_jobs_release(struct rp_jobs *jobs, struct rp_job *job);
/** One of the job's tasks was done after running for `run_s` seconds. */
void rp_jobs_record_run_time(struct rp_jobs *jobs, struct rp_job *job, double run_s);
/** The expected run time of one of the job's tasks in seconds; 0 for a service. */
double rp_jobs_expected_run_s(const struct rp_jobs *jobs, const struct rp_job *job);

#endif
