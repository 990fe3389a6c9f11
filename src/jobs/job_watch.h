/** @file
 * Keeps the job table up to date after the load, by a watch of the open jobs, and measures how
 * stale the table may be. A cancellation that was confirmed to a user must stop the job's tasks, so
 * a leader that does not receive cancellations may neither start tasks nor answer workers. Changes
 * are applied by their revisions, since neither their order in a response nor their grouping in
 * responses is specified. Called by struct rp_jobs and the loader.
 *
 * While the watch runs, a request is always in flight, except from a failure to the next tick.
 * Instants are on the steady clock. */
#ifndef RP_JOBS_JOB_WATCH_H
#define RP_JOBS_JOB_WATCH_H

#include "jobs/deleted_records.h"
#include "jobs/garbage_collector.h"
#include "jobs/record_reader.h"

/** Called after a watch response that contained changes: the table is up to date, and the next
 * watch request has been sent. */
typedef void (*rp_job_watch_fn)(void *arg);

/** The state of the watch. */
struct rp_job_watch {
    const struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_record_reader *reader;
    struct rp_garbage_collector *collector;
    struct rp_deleted_records *deleted;
    uint64_t load_revision; /* of the newest list page of the load */
    uint64_t revision; /* the table contains all changes up to this store revision; 0: no list page
                          was received */
    struct timespec synced_at; /* when the latest answered watch request was sent; until one is
                                  answered, when the load began */
    struct timespec sent_at;   /* send time of the request in flight; zero: there is none */
    struct timespec lease_provable_since; /* since when the leader's lease has been provable without
                                             a gap; zero: it is not provable */
    bool is_running;              /* the load is complete, and the table was not cleared since */
    bool has_caught_up_with_load; /* changes that a list of several pages may have missed have been
                                     received */
    bool should_return_at_once;   /* the next watch request does not wait for changes */
    bool is_isolated_from_store;  /* the store answers other nodes but not this one */
    rp_job_watch_fn on_jobs_changed;
    void *arg; /* passed to the call-back */
};

/** Initializes a watch that does not run. All pointers are borrowed. */
void rp_job_watch_init(struct rp_job_watch *watch, const struct rp_jobs_context *context,
                       struct rp_job_table *table, struct rp_record_reader *reader,
                       struct rp_garbage_collector *collector, struct rp_deleted_records *deleted);
/** Stops the watch. The caller changes the context's generation, so that a response that arrives
 * later is ignored. */
void rp_job_watch_stop(struct rp_job_watch *watch);
/** A load begins: the watch will start at the revision of the load's list. */
void rp_job_watch_on_load_start(struct rp_job_watch *watch);
/** A page of the load's list was received, as of `revision`. `has_more`: another page follows. */
void rp_job_watch_on_list_page(struct rp_job_watch *watch, uint64_t revision, bool has_more);
/** Starts the watch at the revision of the load's list. */
void rp_job_watch_start(struct rp_job_watch *watch);
/** Sends the watch request again after a failure; called at each tick. */
void rp_job_watch_resume(struct rp_job_watch *watch);
/** Whether this node may continue to lead; called at each tick. Resigns when the lease is provable
 * but the watch is not answered. */
bool rp_job_watch_check_leadership(struct rp_job_watch *watch);
/** Seconds since the latest instant of which the table is known to contain all changes. */
double rp_job_watch_staleness_s(const struct rp_job_watch *watch);
/** Whether cancellations are received fast enough to answer workers' heartbeats. */
bool rp_job_watch_may_answer_heartbeats(const struct rp_job_watch *watch);
/** Whether cancellations are received fast enough to start tasks. */
bool rp_job_watch_may_start_tasks(const struct rp_job_watch *watch);
/** Records that the store answers other nodes but not this one: no task is started until the watch
 * is answered again. */
void rp_job_watch_record_store_isolation(struct rp_job_watch *watch);
/** Whether the item is the fence of a failover. Its key has the prefix of the open jobs, but it is
 * not a job. */
bool rp_job_watch_is_fence(const struct rp_kv_item *item);

#endif
