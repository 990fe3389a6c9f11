/** @file
 * The leader's table of jobs that are not over: loaded from the state service, kept up by a watch;
 * what is done is made durable from here. */
#ifndef RP_JOBS_JOBS_H
#define RP_JOBS_JOBS_H

#include "config/settings.h"
#include "election/election.h"
#include "model/model.h"
#include "store/records.h"
#include "upgrade/format_upgrade.h"

enum rp_job_state {
    RP_JOB_OPEN,
    RP_JOB_FINISHING, /* all tasks done, being written */
    RP_JOB_CLOSED     /* over by the store's word: done or cancelled */
};

#define RP_JOB_FAILED_MACHINES_MAX 4

/** What is stored of a job besides its record: swept once it is over. */
struct rp_stored_records {
    uint32_t chunks; /* progress in the first format's chunks */
    uint64_t units;  /* and in units */
    uint64_t parts;  /* of a record too long for one value */
};

/** Records that no job needs any more, deleted in small steps. */
struct rp_garbage {
    char job[RP_ID_MAX];
    struct rp_stored_records stored;
    struct rp_garbage *next;
};

/** A job whose record came in parts that are still to be read. */
struct rp_partial_record {
    char job[RP_ID_MAX];
    json_t *record;
    uint64_t version;
    bool gone; /* it was cancelled meanwhile */
    struct rp_partial_record *next;
};

struct rp_job {
    struct rp_job_spec spec;
    enum rp_job_state state;
    uint64_t version;
    uint64_t accepted_revision;    /* the revision at which it was accepted */
    struct timespec accepted_at;   /* time of day */
    struct timespec first_seen_at; /* steady: when this leader first knew it */
    double age_at_first_seen_s;
    int team;
    uint32_t n_done, n_running;
    uint32_t n_allocated;            /* allocations whose task may be on a machine */
    uint32_t n_refs;                 /* allocations that point here */
    uint8_t *done, *durable;         /* bit sets over the tasks */
    uint8_t *task_allocation_counts; /* in how many allocations each task may be; NULL: in none */
    uint32_t zone_count[RP_ZONES_MAX];
    uint32_t first_startable_task;            /* no task below it can be started */
    uint64_t dirty_units, writing_units;      /* bit sets over units of progress */
    uint64_t *progress_revisions;             /* of the records of progress: chunks, then units */
    struct rp_stored_records stored;          /* records besides its own */
    struct timespec write_back_backoff_until; /* the service didn't take its progress */
    struct timespec dirty_since;
    bool finishing; /* the finishing transaction is under way */
    uint64_t image_hash;
    unsigned long reserved_in_cycle; /* the last round in which machines were kept for it */
    /* Of a gang that hasn't begun: its attempt, when that was first seen incomplete, and since when
     * there has been no machine for what it misses; zero: there is one, or it is complete. */
    uint64_t gang_attempt;
    struct timespec gang_incomplete_since, machine_missing_since;
    /* Errors: a job that fails on several machines is itself at fault. */
    char failed_machines[RP_JOB_FAILED_MACHINES_MAX][RP_TEXT_MAX];
    unsigned n_failed_machines;
    unsigned n_start_backoffs; /* it failed wherever it was started: so many pauses in a row */
    struct timespec start_backoff_until;
    /* A job's tasks run about equally long, whatever its owner guessed. */
    double run_sum_s;
    unsigned n_runs;
    double run_floor_s;               /* some task has run this long */
    bool interrupted;                 /* later run times are of parts of tasks */
    unsigned consecutive_early_exits; /* services: replicas that ended by themselves soon, one after
                                         the other */
    struct rp_job *hash_next;
    struct rp_job *prev, *next; /* all jobs in the table, in order of acceptance */
};

#define RP_JOBS_BUCKETS 4096

/** What is learned of a class: how its real run times relate to its owners' estimates. */
struct rp_class_stats {
    char name[RP_TEXT_MAX];
    double ratio;  /* decayed mean of run time / estimate */
    double weight; /* decayed number of observations */
};
#define RP_CLASSES_MAX 256 /* beyond, a class learns nothing; counted in /status, logged */

typedef void (*rp_jobs_ready_fn)(void *arg, bool ok);

/** What all parts share. */
struct rp_jobs_context {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_settings *settings;
    const struct rp_upgrade *upgrade;
    unsigned long generation; /* answers to requests of an earlier leadership are ignored */
};

/** The jobs, by id and in order of acceptance. */
struct rp_job_table {
    struct rp_job *buckets[RP_JOBS_BUCKETS];
    struct rp_job *first, *last;
    size_t n_jobs;
    size_t n_services; /* open ones */
};

/** What the run times of tasks have taught, by class. */
struct rp_run_time_estimator {
    struct rp_class_stats classes[RP_CLASSES_MAX];
    size_t n_classes;
    unsigned long n_unclassified; /* run times of classes beyond RP_CLASSES_MAX */
};

/** Reads records of open jobs. */
struct rp_record_reader {
    unsigned long n_unreadable;
};

struct rp_jobs {
    struct rp_jobs_context context;
    struct rp_job_table table;
    uint64_t revision;         /* the table holds everything up to here */
    struct timespec synced_at; /* when the newest answered watch was sent */
    struct timespec watch_sent_at;
    bool watched;                   /* what a list of several pages may have missed has come */
    bool catching_up;               /* a watch has failed: the next one doesn't wait for news */
    bool refused;                   /* this node alone isn't answered, as far as is known */
    struct timespec provable_since; /* since when the leader's lease is provable without a gap */
    struct rp_garbage *garbage;
    struct rp_partial_record *partial_records;
    bool reading_parts, collecting_garbage, loading;
    size_t flush_most; /* records in a transaction; fewer once the service has refused so many */
    size_t ops_most;   /* changes in a transaction; fewer once the service has refused so many */
    struct rp_record_reader record_reader;
    bool active;
    struct rp_timer timer;
    struct rp_run_time_estimator run_time_estimator;
    rp_jobs_ready_fn on_loaded;
    void (*on_job_closed)(void *arg, struct rp_job *job);
    void (*on_open_jobs_changed)(void *arg);
    void *arg;
};

void rp_jobs_init(struct rp_jobs *jobs, struct rp_loop *loop, struct rp_kv_client *store,
                  struct rp_election *election, const struct rp_upgrade *upgrade,
                  const struct rp_settings *settings);
/** Loads everything; `on_loaded` tells the outcome. */
void rp_jobs_load(struct rp_jobs *jobs);
/** Empties the table; every allocation must have been dropped before. */
void rp_jobs_clear(struct rp_jobs *jobs);
struct rp_job *rp_jobs_find(const struct rp_jobs *jobs, const char *id);
/** Seconds since the last moment of which the table is known to hold all news. */
double rp_jobs_staleness_s(const struct rp_jobs *jobs);
/** Cancellations are heard of fast enough for workers to be answered: every answer renews a lease.
 */
bool rp_jobs_may_answer_heartbeats(const struct rp_jobs *jobs);
/** And for tasks to be started. */
bool rp_jobs_may_start_tasks(const struct rp_jobs *jobs);
/** The state service answers other nodes, but not this one: they may be confirming cancellations.
 */
void rp_jobs_note_store_refusal(struct rp_jobs *jobs);
double rp_job_age_s(const struct rp_job *job, struct timespec now);

bool rp_job_is_task_done(const struct rp_job *job, uint32_t task);
/** In how many allocations the task may be. */
unsigned rp_job_n_task_allocations(const struct rp_job *job, uint32_t task);
/** Counts an allocation more or less; memory is taken only while some task has one. */
void rp_job_count_allocation(struct rp_job *job, uint32_t task, int sign);
bool rp_job_is_task_durable(const struct rp_job *job, uint32_t task);
/** A worker has reported the task done (of a gang: any task). */
void rp_jobs_task_done(struct rp_jobs *jobs, struct rp_job *job, uint32_t task);
void rp_jobs_release(struct rp_jobs *jobs, struct rp_job *job);
void rp_jobs_record_run_time(struct rp_jobs *jobs, struct rp_job *job, double run_s);
/** The expected run time of one of the job's tasks. */
double rp_jobs_expected_run_s(const struct rp_jobs *jobs, const struct rp_job *job);

#endif
