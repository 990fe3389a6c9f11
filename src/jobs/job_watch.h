/** @file
 * Keeps the job table up to date after the load, by a watch of the open jobs, and tells how old its
 * picture may be: a cancellation that was confirmed to a user must stop the job's tasks, so that a
 * leader that hears of none may neither start tasks nor answer workers. Called by struct rp_jobs
 * and the loader.
 *
 * The watch is always under way while it runs, but for the time from a failure to the next tick.
 * Instants are on the steady clock. */
#ifndef RP_JOBS_JOB_WATCH_H
#define RP_JOBS_JOB_WATCH_H

#include "jobs/garbage_collector.h"
#include "jobs/record_reader.h"

/** Called when an answer changed something; the table is up to date, the next watch sent. */
typedef void (*rp_job_watch_fn)(void *arg);

/** The watch. */
struct rp_job_watch {
    const struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_record_reader *reader;
    struct rp_garbage_collector *collector;
    uint64_t revision;         /* the table holds everything up to here; 0: nothing listed */
    struct timespec synced_at; /* when the newest answered watch, or the load, was sent */
    struct timespec sent_at;   /* when the watch under way was sent; zero: none is */
    struct timespec
        lease_provable_since;     /* since when the leader's lease is provable without a gap */
    bool is_running;              /* the load is done, and nothing was cleared since */
    bool has_caught_up_with_load; /* what a list of several pages may have missed has come */
    bool should_return_at_once;   /* the next watch doesn't wait for changes */
    bool is_isolated_from_store;  /* the store answers other nodes but not this one */
    rp_job_watch_fn on_jobs_changed;
    void *arg; /* for the call-back */
};

/** A watch that doesn't run. All pointers are borrowed. */
void rp_job_watch_init(struct rp_job_watch *watch, const struct rp_jobs_context *context,
                       struct rp_job_table *table, struct rp_record_reader *reader,
                       struct rp_garbage_collector *collector);
/** Stops; an answer that is still to come is void by the context's generation. */
void rp_job_watch_stop(struct rp_job_watch *watch);
/** A load begins now: the watch will start from its list. */
void rp_job_watch_on_load_start(struct rp_job_watch *watch);
/** A page of the load's list came, as of `revision`. `has_more`: another page follows. */
void rp_job_watch_on_list_page(struct rp_job_watch *watch, uint64_t revision, bool has_more);
/** Starts watching from the revision of the load's list. */
void rp_job_watch_start(struct rp_job_watch *watch);
/** Sends the watch again after a failure; called at each tick. */
void rp_job_watch_resume(struct rp_job_watch *watch);
/** Whether this node may go on leading; called at each tick. Resigns when the lease is provable but
 * the watch isn't answered. */
bool rp_job_watch_check_leadership(struct rp_job_watch *watch);
/** Seconds since the last moment of which the table is known to hold all changes. */
double rp_job_watch_staleness_s(const struct rp_job_watch *watch);
/** Whether cancellations are heard of fast enough for workers to be answered. */
bool rp_job_watch_may_answer_heartbeats(const struct rp_job_watch *watch);
/** And for tasks to be started. */
bool rp_job_watch_may_start_tasks(const struct rp_job_watch *watch);
/** The store answers other nodes, but not this one. */
void rp_job_watch_record_store_isolation(struct rp_job_watch *watch);
/** Whether the item is the fence of a failover, which lies among the open jobs but is none. */
bool rp_job_watch_is_fence(const struct rp_kv_item *item);

#endif
