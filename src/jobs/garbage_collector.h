/** @file
 * Deletes stored records that no job needs any more, in small steps: what a finishing transaction
 * had no place for, what belongs to cancelled jobs, and what a load found without its job. Records
 * are deleted only on the condition that their job is not open and that this node leads. What is
 * not deleted in a term is found again by the next leader's load. */
#ifndef RP_JOBS_GARBAGE_COLLECTOR_H
#define RP_JOBS_GARBAGE_COLLECTOR_H

#include "jobs/context.h"
#include "jobs/stored_records.h"

/** Records of one job that can go. */
struct rp_garbage {
    char job_id[RP_ID_MAX];
    struct rp_stored_records records;
    struct rp_garbage *next;
};

/** The collector. */
struct rp_garbage_collector {
    const struct rp_jobs_context *context;
    struct rp_garbage *first_garbage;
    bool is_deleting;   /* a transaction is under way */
    size_t max_changes; /* in a transaction; fewer once the store has refused so many */
};

/** An empty collector. `context` is borrowed. */
void rp_garbage_collector_init(struct rp_garbage_collector *collector,
                               const struct rp_jobs_context *context);
/** Forgets all garbage; the answer of a transaction under way is void by the context's generation.
 */
void rp_garbage_collector_clear(struct rp_garbage_collector *collector);
/** The job's records can go. */
void rp_garbage_collector_add(struct rp_garbage_collector *collector, const char *job_id,
                              const struct rp_stored_records *records);
/** Sends one transaction of deletions, if there is garbage and the write budget has headroom. */
void rp_garbage_collector_collect(struct rp_garbage_collector *collector);
/** Adds deletions of a job's records to a transaction of the caller's, as many as fit, and takes
 * them off the set. */
void rp_garbage_collector_delete_within(const struct rp_garbage_collector *collector,
                                        struct rp_kv_txn *txn, const char *job_id,
                                        struct rp_stored_records *records);
/** The store refused a transaction as too long: later ones get fewer changes. */
void rp_garbage_collector_on_txn_refused(struct rp_garbage_collector *collector);

#endif
