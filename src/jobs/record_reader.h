/** @file
 * Reads records of open jobs into the job table, for the loader and the watch. A record too long
 * for one value names how many further parts it has: such a partial record waits here until its
 * parts are read, one job after the other. A record that can't be read is logged, counted and left
 * alone, and harms no other. */
#ifndef RP_JOBS_RECORD_READER_H
#define RP_JOBS_RECORD_READER_H

#include "jobs/job_table.h"

/** A job's record of which further parts are still to be read. */
struct rp_partial_record {
    char job_id[RP_ID_MAX];
    json_t *record;
    uint64_t revision;
    bool is_cancelled; /* the job has ended meanwhile: the record is dropped once it is first */
    struct rp_partial_record *next;
};

/** What came of reading the parts of the first partial record. */
enum rp_parts_outcome {
    RP_PARTS_FAILED,  /* no answer; the record still waits */
    RP_PARTS_READ,    /* the job is in the table, or its record can't be read */
    RP_PARTS_DROPPED, /* the job had ended meanwhile */
};

/** Called after each answer about parts; the next request has been sent if one is needed. */
typedef void (*rp_parts_fn)(void *arg, enum rp_parts_outcome outcome);

/** The reader. */
struct rp_record_reader {
    const struct rp_jobs_context *context;
    struct rp_job_table *table;
    struct rp_partial_record *first_partial;
    bool is_reading; /* a request for parts is under way */
    unsigned long n_unreadable;
    rp_parts_fn on_parts_result;
    void *arg; /* for the call-back */
};

/** A reader that fills `table`; both pointers are borrowed. */
void rp_record_reader_init(struct rp_record_reader *reader, const struct rp_jobs_context *context,
                           struct rp_job_table *table);
/** Forgets all partial records. */
void rp_record_reader_clear(struct rp_record_reader *reader);
/** Puts the job of an open record into the table, or its partial record into the queue. The job
 * must be in neither. */
void rp_record_reader_read(struct rp_record_reader *reader, const struct rp_kv_item *item);
/** The partial record that waits for the job's parts; NULL when none does. */
struct rp_partial_record *rp_record_reader_find(const struct rp_record_reader *reader,
                                                const char *job_id);
/** Whether partial records wait. */
bool rp_record_reader_has_partial(const struct rp_record_reader *reader);
/** Asks for the parts of the first partial record, unless a request is under way. */
void rp_record_reader_read_next_parts(struct rp_record_reader *reader);
/** Logs and counts a record that can't be read, or is of a later format. */
void rp_record_reader_report_unreadable(struct rp_record_reader *reader, const char *key,
                                        const json_t *value);

#endif
