/** @file
 * Which records the key-value store holds of a job besides the job's own: progress in both formats,
 * and the further parts of a job record that one value can't hold. Plain sets; the garbage
 * collector and the transaction that finishes a job delete what they name. */
#ifndef RP_JOBS_STORED_RECORDS_H
#define RP_JOBS_STORED_RECORDS_H

#include "store/kv_txn.h"
#include "store/records.h"

/** Bit sets over the numbers of the records. */
struct rp_stored_records {
    uint64_t chunks; /* progress in chunks, the first format */
    uint64_t units;  /* progress in units */
    uint64_t parts;  /* further parts of the job record, from number 1 */
};

/** The further parts of a job record that has `n_parts` of them. */
struct rp_stored_records rp_stored_records_of_parts(size_t n_parts);
/** Whether no record is named. */
bool rp_stored_records_is_empty(const struct rp_stored_records *records);
/** Adds `added` to the set. */
void rp_stored_records_add(struct rp_stored_records *records,
                           const struct rp_stored_records *added);
/** Takes `removed` off the set. */
void rp_stored_records_remove(struct rp_stored_records *records,
                              const struct rp_stored_records *removed);
/** Adds deletions of the records to `txn` until it has `max_changes` changes, and takes them off
 * the set: what is left has to be deleted by a later transaction. */
void rp_stored_records_delete(struct rp_kv_txn *txn, const char *job_id,
                              struct rp_stored_records *records, size_t max_changes);

#endif
