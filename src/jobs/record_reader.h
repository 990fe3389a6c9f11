/** @file
 * Reads records of open jobs into the job table, for the loader and the watch. A record too long
 * for one value names how many further parts it has: such a partial record is queued here until its
 * parts are read, one job after the other. A record that cannot be read is logged, counted and left
 * unchanged in the store, and does not affect any other record. */
#ifndef RP_JOBS_RECORD_READER_H
#define RP_JOBS_RECORD_READER_H

#include "jobs/job_table.h"

/** A job's record whose further parts have not been read yet. */
struct rp_partial_record {
    char job_id[RP_ID_MAX];
    json_t *record;
    uint64_t revision;
    bool is_cancelled; /* the job ended while the record was queued: the record is dropped once it
                          is first in the queue */
    struct rp_partial_record *next;
};

/** The outcome of reading the parts of the first partial record. */
enum rp_parts_outcome {
    RP_PARTS_FAILED, /* the request failed; the record remains in the queue */
    RP_PARTS_READ, /* the parts were read: the job is in the table, or its record cannot be read */
    RP_PARTS_DROPPED, /* the job had ended while its record was queued */
};

/** Called after each response about parts. After a success the next request, if one is needed, has
 * already been sent. */
typedef void (*rp_parts_fn)(void *arg, enum rp_parts_outcome outcome);

/** The reader with its queue of partial records. */
struct rp_record_reader {
    const struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_partial_record *first_partial;
    bool is_reading; /* a request for parts is in flight */
    unsigned long n_unreadable;
    rp_parts_fn on_parts_result;
    void *arg; /* passed to the call-back */
};

/** Initializes a reader that fills `table`; both pointers are borrowed. */
void rp_record_reader_init(struct rp_record_reader *reader, const struct rp_jobs_context *context,
                           struct rp_job_table *table);
/** Drops all partial records. */
void rp_record_reader_clear(struct rp_record_reader *reader);
/** Inserts the job of an open record into the table, or appends its partial record to the queue.
 * The job must be in neither. */
void rp_record_reader_read(struct rp_record_reader *reader, const struct rp_kv_item *item);
/** Finds the queued partial record of the job; NULL when there is none, or when the job has ended.
 */
struct rp_partial_record *rp_record_reader_find(const struct rp_record_reader *reader,
                                                const char *job_id);
/** Whether partial records are queued. */
bool rp_record_reader_has_partial(const struct rp_record_reader *reader);
/** Requests the parts of the first partial record, unless a request is in flight. */
void rp_record_reader_read_next_parts(struct rp_record_reader *reader);
/** Logs and counts a record that cannot be read, or that is of a later format. */
void rp_record_reader_report_unreadable(struct rp_record_reader *reader, const char *key,
                                        const json_t *value);

#endif
