/** @file
 * Deletes stored records that no job needs any more, in small steps: records that did not fit into
 * a finishing transaction, records of cancelled jobs, and records that a load found without their
 * job. Records are deleted only on the condition that their job is not open and that this node
 * leads. Records that are not deleted in a term are found again by the next leader's load. */
#ifndef RP_JOBS_GARBAGE_COLLECTOR_H
#define RP_JOBS_GARBAGE_COLLECTOR_H

#include "jobs/context.h"
#include "jobs/stored_records.h"

/** Records of one job that can be deleted. */
struct rp_garbage {
    char job_id[RP_ID_MAX];
    struct rp_stored_records records;
    struct rp_garbage *next;
};

/** The collector and its queue of garbage. */
struct rp_garbage_collector {
    const struct rp_jobs_context *context;
    struct rp_garbage *first_garbage;
    bool is_deleting;   /* a transaction of deletions is in flight */
    size_t max_changes; /* maximum number per transaction; halved when the store refuses a
                           transaction as too long */
};

/** Initializes an empty collector. `context` is borrowed. */
void rp_garbage_collector_init(struct rp_garbage_collector *collector,
                               const struct rp_jobs_context *context);
/** Drops all garbage; the response to a transaction in flight is ignored, because the caller
 * changes the context's generation. */
void rp_garbage_collector_clear(struct rp_garbage_collector *collector);
/** Queues records of the job for deletion. */
void rp_garbage_collector_add(struct rp_garbage_collector *collector, const char *job_id,
                              const struct rp_stored_records *records);
/** Sends one transaction of deletions, if there is garbage, none is in flight, and the write budget
 * has headroom. */
void rp_garbage_collector_collect(struct rp_garbage_collector *collector);
/** Adds deletions of a job's records to a transaction of the caller's, as many as fit, and removes
 * them from the set `records`. */
void rp_garbage_collector_delete_within(const struct rp_garbage_collector *collector,
                                        struct rp_kv_txn *txn, const char *job_id,
                                        struct rp_stored_records *records);
/** Reduces the changes of later transactions after the store refused one as too long. */
void rp_garbage_collector_on_txn_refused(struct rp_garbage_collector *collector);

#endif
