/** @file
 * Which tasks of a job are done, and which of these results are durable. Progress is written back
 * in units of RP_UNIT_TASKS tasks; a progress record covers one unit or, in the first format, one
 * chunk of several units. The module owns the bit sets and the state of each unit. It sends no
 * requests: the progress writer sends them and reports their outcome here.
 *
 * A unit is in one of the states of enum rp_progress_unit_state. Only rp_job_progress_apply changes
 * the state; an event applies to all units of a record. */
#ifndef RP_JOBS_JOB_PROGRESS_H
#define RP_JOBS_JOB_PROGRESS_H

#include "jobs/stored_records.h"

/** Identifies a progress record by its number and its format. */
struct rp_progress_record {
    unsigned index;
    bool is_unit; /* false: a chunk of the first format */
};

/** The state of a unit of progress. */
enum rp_progress_unit_state {
    RP_PROGRESS_CLEAN, /* nothing to write: all results of the unit are durable */
    RP_PROGRESS_DIRTY, /* tasks of the unit are done that no successful write or write in flight has
                          carried */
    RP_PROGRESS_IN_FLIGHT, /* a write or read of the unit's record is in flight; nothing else is to
                              be written */
    RP_PROGRESS_IN_FLIGHT_DIRTY /* a write or read of the unit's record is in flight, which does not
                                   carry all done tasks of the unit */
};

/** The events that change the state of units. */
enum rp_progress_event {
    RP_PROGRESS_TASK_DONE,
    RP_PROGRESS_WRITE_SENT,
    RP_PROGRESS_WRITE_SUCCEEDED,
    RP_PROGRESS_WRITE_FAILED,
    RP_PROGRESS_READ_SENT, /* a read of the record's revision was sent */
    RP_PROGRESS_READ_RETURNED
};

/** Placeholder for the revision of a progress record, if it has to be read before the record is
 * written again. */
#define RP_PROGRESS_REVISION_UNKNOWN UINT64_MAX

/** A job's progress. Instants are on the steady clock. */
struct rp_job_progress {
    uint32_t n_tasks;
    /* Bit sets over the tasks; once loaded, durable is a subset of done. NULL: empty, since there
     * may be many jobs of which no task is done. */
    uint8_t *done, *durable;
    uint64_t dirty_units, in_flight_units; /* bit sets over the units */
    uint64_t *revisions; /* revisions of the progress records: of the chunks, then of the units */
    struct timespec dirty_since; /* when the oldest change was made that no write has carried */
    /* No write is sent before this instant; set when the store refuses a write. */
    struct timespec write_back_backoff_until;
};

/** Writes the key of a job's progress record to `key`. */
void rp_progress_record_key(char key[RP_KEY_MAX], const char *job_id,
                            struct rp_progress_record record);
/** Parses the key of a progress record; false when it is not one. */
bool rp_progress_record_read_key(const char *key, char job_id[RP_ID_MAX],
                                 struct rp_progress_record *record);
/** The set of stored records that contains only this record. */
struct rp_stored_records rp_progress_record_as_set(struct rp_progress_record record);
/** The offset of the record's bits in a job's bit set, in bytes. */
size_t rp_progress_record_offset(struct rp_progress_record record);

/** Initializes the progress of a job of which no task is done and nothing is stored. The caller
 * frees it with rp_job_progress_free. */
void rp_job_progress_init(struct rp_job_progress *progress, uint32_t n_tasks);
/** Frees the bit sets and the revisions. */
void rp_job_progress_free(struct rp_job_progress *progress);
/** How many bytes of the job's bit set the record covers; 0 when it begins beyond the last task. */
size_t rp_job_progress_record_bytes(const struct rp_job_progress *progress,
                                    struct rp_progress_record record);
/** Whether the task is done. */
static inline bool rp_job_progress_is_done(const struct rp_job_progress *progress, uint32_t task) {
    return progress->done && (progress->done[task / 8] >> (task % 8) & 1);
}
/** Whether a stored record marks the task as done. */
static inline bool rp_job_progress_is_durable(const struct rp_job_progress *progress,
                                              uint32_t task) {
    return progress->durable && (progress->durable[task / 8] >> (task % 8) & 1);
}
/** Marks a task as done; returns false when it already was. */
bool rp_job_progress_mark_done(struct rp_job_progress *progress, uint32_t task,
                               struct timespec now);
/** Marks the tasks as done that the loaded records mark as done, and returns how many there are. */
uint32_t rp_job_progress_restore(struct rp_job_progress *progress);
/** Applies `event` to all of the job's units that the record covers. */
void rp_job_progress_apply(struct rp_job_progress *progress, struct rp_progress_record record,
                           enum rp_progress_event event);
/** Whether the record holds changes, and no request for any of its units is in flight. */
bool rp_job_progress_can_write(const struct rp_job_progress *progress,
                               struct rp_progress_record record);
/** The bit set of durable results, which is created if it is empty. The loader adds stored records
 * to it. */
uint8_t *rp_job_progress_durable_bits(struct rp_job_progress *progress);
/** Marks as durable the bits that a successful write of the record carried. */
void rp_job_progress_mark_durable(struct rp_job_progress *progress,
                                  struct rp_progress_record record, const uint8_t *bits);
/** Whether writes may be sent: no backoff after a refusal by the store is running. */
bool rp_job_progress_may_write(const struct rp_job_progress *progress, struct timespec now);
/** Starts a backoff after the store refused a write as too large, so that the same write is not
 * sent again at once. */
void rp_job_progress_back_off(struct rp_job_progress *progress, struct timespec now);
/** The revision of the record as last written or read. 0: the record does not exist;
 * RP_PROGRESS_REVISION_UNKNOWN: the revision has to be read. */
uint64_t rp_job_progress_revision(const struct rp_job_progress *progress,
                                  struct rp_progress_record record);
/** Sets the record's revision. */
void rp_job_progress_set_revision(struct rp_job_progress *progress,
                                  struct rp_progress_record record, uint64_t revision);

#endif
