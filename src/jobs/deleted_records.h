/** @file
 * The deletions of open jobs' records that the watch may still deliver an older write of. The state
 * of a record is that of its highest revision, in whatever order and grouping its changes arrive: a
 * write that is older than the record's deletion adds no job. Without this set, a job that is
 * cancelled right after its submission would run, if both changes come in one response and the
 * deletion is listed first. Owned by struct rp_jobs; used by the watch and the finisher. */
#ifndef RP_JOBS_DELETED_RECORDS_H
#define RP_JOBS_DELETED_RECORDS_H

#include <stdbool.h>
#include <stdint.h>

/** Number of buckets of the hash table over the job ids. The set holds the deletions of one
 * response of the watch, mostly few. */
#define RP_DELETED_RECORDS_BUCKETS 256

struct rp_deleted_record;

/** The set; all zero when empty. */
struct rp_deleted_records {
    struct rp_deleted_record *buckets[RP_DELETED_RECORDS_BUCKETS];
};

/** Adds the deletion of the job's record at that store revision. */
void rp_deleted_records_add(struct rp_deleted_records *deleted, const char *job_id,
                            uint64_t revision);
/** Whether the set holds a deletion of the job's record at or after that store revision. */
bool rp_deleted_records_has(const struct rp_deleted_records *deleted, const char *job_id,
                            uint64_t revision);
/** Removes the deletions up to that store revision, once all changes up to it have arrived. */
void rp_deleted_records_remove_until(struct rp_deleted_records *deleted, uint64_t revision);
/** Empties the set. */
void rp_deleted_records_clear(struct rp_deleted_records *deleted);

#endif
