/** @file
 * A snapshot of which jobs have running tasks, as the leader knows it, in two forms: the message to
 * nodes that poll the leader, and compact records in the key-value store for nodes that cannot
 * reach it. Jobs without a task that was started or is done are not listed. */
#ifndef RP_PROTOCOL_PHASE_CODEC_H
#define RP_PROTOCOL_PHASE_CODEC_H

#include <jansson.h>
#include "base/timeutil.h"
#include "model/job_status.h"

/** Statuses of open jobs in phase QUEUED, RUNNING or UNDETERMINED, sorted by id. */
struct rp_phase_snapshot {
    struct rp_job_status *jobs; /* owned; NULL if there is none */
    size_t n_jobs;
    bool is_complete; /* a job that is not listed has no running task; else that is undetermined */
};

/** Sorts the statuses by id, as the functions below require. */
void rp_phase_snapshot_sort(struct rp_phase_snapshot *snapshot);
/** Fills in the status of the job `status->id`. */
void rp_phase_snapshot_find(const struct rp_phase_snapshot *snapshot, struct rp_job_status *status);
/** Frees the statuses and empties the snapshot. */
void rp_phase_snapshot_free(struct rp_phase_snapshot *snapshot);

/** The message of a leader to a node. Earlier versions read the counts only. The caller frees it.
 * NULL when out of memory. */
char *rp_phase_codec_write(const char *node, const struct rp_phase_snapshot *snapshot);
/** Reads such a message of any version. The caller frees the snapshot. */
bool rp_phase_codec_parse(const char *text, size_t len, struct rp_phase_snapshot *out);

/** Writes the snapshot as records below RP_KEY_PHASES, at most `n_max` of at most `max_bytes`
 * each, all to be written in one transaction; the caller owns them. Jobs that do not fit are left
 * out, and the records then are not complete. `as_of`: time of day of the snapshot. Returns the
 * number of records. */
size_t rp_phase_codec_write_records(const struct rp_phase_snapshot *snapshot, struct timespec as_of,
                                    size_t max_bytes, json_t **records, size_t n_max);
/** Adds the jobs of one of the `n_records` records of one transaction to `out`, which is not sorted
 * yet. Returns false for a malformed record, or one of another number. */
bool rp_phase_codec_read_record(const json_t *record, size_t n_records,
                                struct rp_phase_snapshot *out, struct timespec *as_of);

#endif
