/** @file
 * Which tasks of a job are done, and how far that is durable. Progress is written back in units of
 * RP_UNIT_TASKS tasks; a progress record covers one unit, or one chunk of several units in the
 * first format. The module owns the bit sets and the state of each unit and sends nothing: the
 * progress writer does, and tells here what became of its requests.
 *
 * A unit is in one of the states of enum rp_progress_unit_state. Only rp_job_progress_apply changes
 * it; an event concerns all units of a record. */
#ifndef RP_JOBS_JOB_PROGRESS_H
#define RP_JOBS_JOB_PROGRESS_H

#include "jobs/stored_records.h"

/** A progress record, by its number and its format. */
struct rp_progress_record {
    unsigned index;
    bool is_unit; /* or a chunk of the first format */
};

/** The state of a unit of progress. */
enum rp_progress_unit_state {
    RP_PROGRESS_CLEAN,          /* nothing to write: all that is done is durable */
    RP_PROGRESS_DIRTY,          /* tasks are done that no request has carried */
    RP_PROGRESS_IN_FLIGHT,      /* a request for its record is under way */
    RP_PROGRESS_IN_FLIGHT_DIRTY /* the same, and further tasks were done since it was sent */
};

/** What changes the state of units. */
enum rp_progress_event {
    RP_PROGRESS_TASK_DONE,
    RP_PROGRESS_WRITE_SENT,
    RP_PROGRESS_WRITE_SUCCEEDED,
    RP_PROGRESS_WRITE_FAILED,
    RP_PROGRESS_READ_SENT, /* the record's revision is being read */
    RP_PROGRESS_READ_RETURNED
};

/** The revision of a progress record that has to be read before the record is written again. */
#define RP_PROGRESS_REVISION_UNKNOWN UINT64_MAX

/** A job's progress. Instants are on the steady clock. */
struct rp_job_progress {
    uint32_t n_tasks;
    uint8_t *done, *durable; /* bit sets over the tasks; durable is part of done once loaded */
    uint64_t dirty_units, in_flight_units;    /* bit sets over the units */
    uint64_t *revisions;                      /* of the progress records: chunks, then units */
    struct timespec dirty_since;              /* the oldest change that no request has carried */
    struct timespec write_back_backoff_until; /* the store refused a write: none before */
};

/** The key of a job's progress record. */
void rp_progress_record_key(char key[RP_KEY_MAX], const char *job_id,
                            struct rp_progress_record record);
/** Reads the key of a progress record; false when it is none. */
bool rp_progress_record_read_key(const char *key, char job_id[RP_ID_MAX],
                                 struct rp_progress_record *record);
/** The record as a set of stored records. */
struct rp_stored_records rp_progress_record_as_set(struct rp_progress_record record);
/** Where the record's bits begin in a job's bit set, in bytes. */
size_t rp_progress_record_offset(struct rp_progress_record record);

/** Nothing done, nothing stored. The caller frees it with rp_job_progress_free. */
void rp_job_progress_init(struct rp_job_progress *progress, uint32_t n_tasks);
/** Frees the bit sets. */
void rp_job_progress_free(struct rp_job_progress *progress);
/** How many bytes of the job's bit set the record covers; 0 when it lies beyond the last task. */
size_t rp_job_progress_record_bytes(const struct rp_job_progress *progress,
                                    struct rp_progress_record record);
/** Whether the task is done. */
static inline bool rp_job_progress_is_done(const struct rp_job_progress *progress, uint32_t task) {
    return progress->done[task / 8] >> (task % 8) & 1;
}
/** Whether a stored record says that the task is done. */
static inline bool rp_job_progress_is_durable(const struct rp_job_progress *progress,
                                              uint32_t task) {
    return progress->durable[task / 8] >> (task % 8) & 1;
}
/** Marks a task done; false when it was before. */
bool rp_job_progress_mark_done(struct rp_job_progress *progress, uint32_t task,
                               struct timespec now);
/** Takes over as done what the records just read say, and returns how many tasks that is. */
uint32_t rp_job_progress_restore(struct rp_job_progress *progress);
/** Applies `event` to all units of the record that the job has. */
void rp_job_progress_apply(struct rp_job_progress *progress, struct rp_progress_record record,
                           enum rp_progress_event event);
/** Whether the record holds changes, and no request concerns any of its units. */
bool rp_job_progress_can_write(const struct rp_job_progress *progress,
                               struct rp_progress_record record);
/** Marks as durable the bits that a successful write of the record carried. */
void rp_job_progress_mark_durable(struct rp_job_progress *progress,
                                  struct rp_progress_record record, const uint8_t *bits);
/** Whether writes may be sent: the store hasn't refused one a moment ago. */
bool rp_job_progress_may_write(const struct rp_job_progress *progress, struct timespec now);
/** The store refused a write as too large: none for a while, so that the same isn't sent again at
 * once. */
void rp_job_progress_back_off(struct rp_job_progress *progress, struct timespec now);
/** The revision of the record as last written or read; 0: there is none;
 * RP_PROGRESS_REVISION_UNKNOWN: it has to be read. */
uint64_t rp_job_progress_revision(const struct rp_job_progress *progress,
                                  struct rp_progress_record record);
/** Notes the record's revision. */
void rp_job_progress_set_revision(struct rp_job_progress *progress,
                                  struct rp_progress_record record, uint64_t revision);

#endif
