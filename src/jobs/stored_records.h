/** @file
 * Which records the key-value store holds of a job besides the job record: progress in both
 * formats, and the further parts of a job record that does not fit into one value. The module only
 * computes with these sets; the garbage collector and the transaction that finishes a job delete
 * the records in them. */
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

/** The set of the further parts of a job record that has `n_parts` of them. */
struct rp_stored_records rp_stored_records_of_parts(size_t n_parts);
/** Whether the set names no record. */
bool rp_stored_records_is_empty(const struct rp_stored_records *records);
/** Adds `added` to the set. */
void rp_stored_records_add(struct rp_stored_records *records,
                           const struct rp_stored_records *added);
/** Removes `removed` from the set. */
void rp_stored_records_remove(struct rp_stored_records *records,
                              const struct rp_stored_records *removed);
/** Adds deletions of the records to `txn` until it has `max_changes` changes, and removes them from
 * the set: the records that remain in it have to be deleted by a later transaction. */
void rp_stored_records_delete(struct rp_kv_txn *txn, const char *job_id,
                              struct rp_stored_records *records, size_t max_changes);

#endif
