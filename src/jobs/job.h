/** @file
 * One job that has not ended, as the leader knows it: its specification, its progress, and what the
 * cluster and the scheduler note about it. A job belongs to the job table (job_table.h), which
 * alone changes its state and frees it; allocations hold references that keep it until the last is
 * dropped.
 *
 * Instants are on the steady clock; one on the clock of the day says `wall` in its name. */
#ifndef RP_JOBS_JOB_H
#define RP_JOBS_JOB_H

#include "jobs/context.h"
#include "jobs/job_progress.h"
#include "model/catalog.h"
#include "model/job_spec.h"

/** How far a job is; changed by rp_job_table_set_state only. */
enum rp_job_state {
    RP_JOB_OPEN,      /* tasks may be started */
    RP_JOB_COMPLETE,  /* all tasks are done; the terminal state is still to be written */
    RP_JOB_FINISHING, /* the transaction that writes the terminal state is under way */
    RP_JOB_CLOSED     /* ended by the store's word, done or cancelled: kept for its references */
};

/** Machines that a job remembers having failed on. */
#define RP_JOB_FAILED_MACHINES_MAX 4

/** A job. Members without a comment are counts or bits that their names explain. */
struct rp_job {
    struct rp_job_spec spec;
    enum rp_job_state state;
    uint64_t record_revision;         /* of its record among the open jobs, for compare-and-swap */
    uint64_t accepted_revision;       /* the revision at which it was accepted */
    struct timespec accepted_wall_at; /* clock of the day, as the accepting node had it */
    struct timespec first_seen_at;    /* when this leader first knew it */
    double age_at_first_seen_s;
    int team; /* index into the settings' teams */
    uint32_t n_done, n_running;
    uint32_t n_allocated;            /* allocations whose task may be on a machine */
    uint32_t n_refs;                 /* allocations that point here */
    uint8_t *task_allocation_counts; /* in how many allocations each task may be; NULL: in none */
    uint32_t n_allocated_by_zone[RP_ZONES_MAX];
    uint32_t first_startable_task; /* no task below it can be started */
    struct rp_job_progress progress;
    struct rp_stored_records stored; /* records besides its own, deleted once it has ended */
    uint64_t image_hash;
    unsigned long reserved_in_cycle; /* the last cycle in which machines were reserved for it */
    /* Of a gang that hasn't begun: its attempt, when that was first seen incomplete, and since when
     * there has been no machine for what it misses; zero: there is one, or it is complete. */
    uint64_t gang_attempt;
    struct timespec gang_incomplete_since, machine_missing_since;
    /* Errors: a job that fails on several machines is itself at fault. */
    char failed_machines[RP_JOB_FAILED_MACHINES_MAX][RP_TEXT_MAX];
    unsigned n_failed_machines;
    unsigned n_start_backoffs; /* it failed wherever it was started: so many backoffs in a row */
    struct timespec start_backoff_until;
    /* A job's tasks run about equally long, whatever its owner guessed. */
    double run_sum_s;
    unsigned n_runs;
    double run_floor_s;               /* some task has run this long */
    bool was_interrupted;             /* later run times are of parts of tasks */
    unsigned consecutive_early_exits; /* services: replicas that ended by themselves soon, one after
                                         the other */
    struct rp_job *hash_next;         /* in the table's bucket */
    struct rp_job *prev, *next;       /* all jobs in the table, in order of acceptance */
};

/** A job from its record, first seen now; NULL when the record can't be read. The caller hands it
 * to a table or frees it with rp_job_free. */
struct rp_job *rp_job_create(const struct rp_jobs_context *context, json_t *record,
                             uint64_t revision);
/** Frees a job that no table holds. */
void rp_job_free(struct rp_job *job);
/** Seconds since the job was accepted. */
double rp_job_age_s(const struct rp_job *job, struct timespec now);
/** Whether a worker has reported the task done, now or before this leader's term. */
bool rp_job_is_task_done(const struct rp_job *job, uint32_t task);
/** Whether the task's result can't be lost any more: a worker may forget it. */
bool rp_job_is_task_durable(const struct rp_job *job, uint32_t task);
/** In how many allocations the task may be. */
unsigned rp_job_n_task_allocations(const struct rp_job *job, uint32_t task);
/** Counts one allocation of the task more (`sign` 1) or less (-1); memory is taken only while some
 * task has one. */
void rp_job_count_allocation(struct rp_job *job, uint32_t task, int sign);

#endif
