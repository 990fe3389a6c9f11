/** @file
 * A job that has not ended, as the leader keeps it: its specification, its progress, and the state
 * that the cluster and the scheduler keep for it. The job table (job_table.h) owns the job, and
 * alone changes its state and frees it; allocations hold references that keep a closed job until
 * the last reference is dropped.
 *
 * Instants are on the steady clock; an instant in wall-clock time has `wall` in its name. */
#ifndef RP_JOBS_JOB_H
#define RP_JOBS_JOB_H

#include "jobs/context.h"
#include "jobs/job_progress.h"
#include "model/catalog.h"
#include "model/job_spec.h"

/** The state of a job; changed only by rp_job_table_set_state. */
enum rp_job_state {
    RP_JOB_OPEN,      /* tasks may be started */
    RP_JOB_COMPLETE,  /* all tasks are done; the terminal state has not been written */
    RP_JOB_FINISHING, /* the transaction that writes the terminal state is in flight */
    RP_JOB_CLOSED /* the store shows that the job ended, done or cancelled; kept while references to
                     it exist */
};

/** Maximum number of machines that a job records as those on which its tasks failed. */
#define RP_JOB_FAILED_MACHINES_MAX 4

/** Number of tasks whose allocations are counted in one block of memory. */
#define RP_JOB_COUNT_BLOCK 1024

/** What the machines' messages showed of the job's tasks at the newest survey
 * (cluster/job_phase.h). An instant of zero: never, or none. */
struct rp_job_survey {
    struct timespec surveyed_at;
    struct timespec running_as_of; /* newest message that lists a running task */
    struct timespec idle_as_of;    /* oldest message of a machine with a started task that does not
                                      run; the survey's instant if there is no such task */
    uint32_t n_running;
    bool has_unknown; /* a task may be on a machine whose messages do not describe it */
    bool has_silent;  /* a started task that does not run is on a machine whose heartbeat is late */
};

/** Why the leader has no recent proof of a job's phase (cluster/job_phase.h). */
enum rp_phase_gap_cause {
    RP_PHASE_GAP_NONE,           /* the phase is known */
    RP_PHASE_GAP_UNRECONCILED,   /* a task of an earlier leader may be on an unreconciled machine */
    RP_PHASE_GAP_SILENT_MACHINE, /* a machine with a started task does not report */
    RP_PHASE_GAP_OLD_HEARTBEATS  /* all machines report, but not within the age of one proof */
};

/** The time for which a job's phase has not been known, as the surveys found it. */
struct rp_phase_gap {
    enum rp_phase_gap_cause cause;
    struct timespec since;  /* zero: the phase is known */
    struct timespec logged; /* when a line was last logged about the gap; zero: never */
    bool needs_probes;      /* heartbeats alone do not prove the phase for long */
};

/** A job. Members without a comment are counts or flags that their names explain. */
struct rp_job {
    struct rp_job_spec spec;
    enum rp_job_state state;
    /* Revision of the job's record below RP_KEY_OPEN, for compare-and-swap. */
    uint64_t record_revision;
    uint64_t accepted_revision;       /* store revision at which the job was accepted */
    struct timespec accepted_wall_at; /* wall-clock time of the accepting node */
    struct timespec first_seen_at;    /* when this leader first read the job's record */
    double age_at_first_seen_s;
    int team; /* index of the job's team in the settings */
    uint32_t n_done, n_running;
    struct rp_job_survey survey;
    struct rp_phase_gap phase_gap;
    struct timespec stopped_running_at; /* when a task was last found to have stopped running */
    uint32_t n_allocated;               /* allocations whose task may be on a machine */
    uint32_t n_allocations; /* allocations, also of ended tasks that workers still list */
    uint32_t n_refs; /* references of allocations, and one held while the job is being closed */
    /* For each task, the number of allocations in which the task may be, in blocks of
     * RP_JOB_COUNT_BLOCK tasks; NULL: no task has one, or none of the block. */
    uint8_t **task_allocation_counts;
    uint32_t n_allocated_by_zone[RP_ZONES_MAX];
    uint32_t first_startable_task; /* no task with a lower number can be started */
    struct rp_job_progress progress;
    /* The job's stored records besides the job record; deleted after the job's end. */
    struct rp_stored_records stored;
    uint64_t image_hash;
    unsigned long reserved_in_cycle; /* last scheduling cycle that reserved machines for the job */
    /* Only for a gang that has not begun: its attempt number, when that attempt was first seen
     * incomplete, and since when no machine has been available for its missing tasks (zero: a
     * machine is available, or the gang is complete). */
    uint64_t gang_attempt;
    struct timespec gang_incomplete_since, machine_missing_since;
    /* Errors of tasks. A job that fails on several machines is itself at fault, not the machines.
     */
    char failed_machines[RP_JOB_FAILED_MACHINES_MAX][RP_TEXT_MAX];
    unsigned n_failed_machines;
    unsigned n_start_backoffs; /* consecutive backoffs during which the job failed on every machine
                                  where it was started */
    struct timespec start_backoff_until;
    /* Observed run times. The tasks of one job run for about the same time, whatever run time its
     * owner estimated. */
    double run_sum_s;
    unsigned n_runs;
    double run_floor_s;   /* longest time for which one of its tasks has been seen running */
    bool was_interrupted; /* a task was stopped: run times observed afterwards may cover only parts
                             of tasks */
    unsigned n_direct_starts;         /* of a service: replicas that were started directly */
    unsigned consecutive_early_exits; /* of a service: consecutive replicas that ended by themselves
                                         soon after their start */
    struct rp_job *hash_next;         /* next job in the same bucket of the table */
    struct rp_job *prev, *next;       /* neighbours in the table, in order of acceptance */
};

/** Creates a job from its record, first seen now; NULL when the record cannot be read. The caller
 * passes the job's ownership to a table or frees it with rp_job_free. */
struct rp_job *rp_job_create(const struct rp_jobs_context *context, json_t *record,
                             uint64_t revision);
/** Frees a job that is in no table. */
void rp_job_free(struct rp_job *job);
/** Seconds since the job was accepted. */
double rp_job_age_s(const struct rp_job *job, struct timespec now);
/** Whether a worker has reported the task as done, in this leader's term or before it. */
bool rp_job_is_task_done(const struct rp_job *job, uint32_t task);
/** Whether the task's result can no longer be lost, so that a worker may forget it. */
bool rp_job_is_task_durable(const struct rp_job *job, uint32_t task);
/** Returns in how many allocations the task may be. */
unsigned rp_job_n_task_allocations(const struct rp_job *job, uint32_t task);
/** Finds the lowest-numbered task that is not done and has no allocation. Returns false if there is
 * none. The search begins at `first_startable_task` and advances it. */
bool rp_job_find_startable_task(struct rp_job *job, uint32_t *task);
/** Counts one allocation of the task more (`sign` 1) or less (-1). The counts of a block of tasks
 * take memory from the block's first allocation until no task of the job has one. */
void rp_job_count_allocation(struct rp_job *job, uint32_t task, int sign);

#endif
