/** @file
 * What the service keeps in the key-value store: the values of the keys in store/keys.h.
 *
 * Each record has a function that makes its value and one that reads it. Values are JSON objects
 * that outlive versions: a reader takes every form that an earlier version wrote, and refuses, by
 * returning false, a record of a later format (rp_record_format tells which) and one that lacks
 * what it must have. Such a record is left alone by its caller, never deleted or written over.
 * Values that are returned belong to the caller. */
#ifndef RP_STORE_RECORDS_H
#define RP_STORE_RECORDS_H

#include <jansson.h>
#include "base/timeutil.h"
#include "model/job_spec.h"
#include "model/job_status.h"
#include "store/keys.h"

/** The format of what is stored. 1: version 0.1.0, whose records don't name it. 2: since 0.2.0,
 * once activated (upgrade/format_upgrade.h). */
#define RP_FORMAT 2

/** The format that a record names; 1 when it names none. */
unsigned rp_record_format(const json_t *value);
/** Marks a record with the format of today, and returns it; for use once that is activated. */
json_t *rp_record_mark(json_t *value);
/** Bytes of the value as it is sent, for comparison with the store's limit. */
size_t rp_record_size(const json_t *value);

/* ---- records in parts ---- */

/** Cuts a record into pieces of at most `most` bytes; returns how many, 0 if `max` aren't enough.
 * The first takes the record's key and tells how many others there are. The caller owns the pieces.
 */
size_t rp_record_cut(const json_t *record, size_t most, json_t **pieces, size_t max);
/** How many further parts belong to this one; 0: the record is complete. */
size_t rp_record_parts(const json_t *value);
/** The record from all its pieces, in order; NULL when they don't make one. */
json_t *rp_record_join(json_t *const *pieces, size_t n);

/* ---- the format's activation ---- */

/** Below RP_KEY_VERSION: the node knows RP_FORMAT. */
json_t *rp_record_version(const char *node);
/** At RP_KEY_FORMAT: every node knows RP_FORMAT. */
json_t *rp_record_activation(void);

/* ---- jobs ---- */

/** Below RP_KEY_OPEN: a job as it was submitted. `accepted` is the time of day. */
json_t *rp_record_open(const struct rp_job_spec *spec, struct timespec accepted);
/** Reads a job's record, which must be complete. */
bool rp_record_open_read(json_t *value, struct rp_job_spec *spec, struct timespec *accepted);
/** Below RP_KEY_TERMINAL: RP_JOB_DONE or RP_JOB_CANCELLED. */
json_t *rp_record_terminal(enum rp_job_phase phase);
/** Reads a terminal state. */
bool rp_record_terminal_read(json_t *value, enum rp_job_phase *phase);
/** Below RP_KEY_PROGRESS: the set of tasks of a chunk or unit that are done, one bit each. */
json_t *rp_record_progress(const uint8_t *bits, size_t n_bytes);
/** Adds a progress record's tasks to `bits`, a set of `n_bytes`. */
bool rp_record_progress_read(json_t *value, uint8_t *bits, size_t n_bytes);

/* ---- leadership ---- */

/** A lease of an earlier leader that a failover has to end: while its holder could renew it, it
 * could go on answering workers, and afterwards for `ttl_s` at the most. */
struct rp_fenced_lease {
    uint64_t lease; /* 0: none */
    double ttl_s;
};

/** The leader's key. */
struct rp_leader_record {
    char node[RP_TEXT_MAX];
    /* What a failover has to end; none when the leader's node doesn't take part in failovers. */
    struct rp_fenced_lease own;
    struct rp_fenced_lease fenced; /* of the leader before, when this one fenced it */
};
/** At RP_KEY_LEADER. Without `own` and `fenced` the record is that of version 0.1.0. */
json_t *rp_record_leader(const struct rp_leader_record *record);
/** Reads the leader's key, of whatever format: the election comes before the activation. */
bool rp_record_leader_read(const json_t *value, struct rp_leader_record *out);
/** At RP_KEY_FENCE: the node that fenced a leader. Not marked with a format: it is written whatever
 * the other nodes know, and its value is read by nobody. */
json_t *rp_record_fence(const char *node);

/* ---- provision requests ---- */

/** A request to the cloud for machines, without their names. */
struct rp_provision_record {
    char type[RP_TEXT_MAX], zone[RP_TEXT_MAX];
    bool spot;
    unsigned count;
    struct timespec requested_at; /* time of day */
    bool answered;                /* the names are known */
};
/** Below RP_KEY_PROVISION. `names` and `is_up`, of `n` machines, count once the request is
 * answered; `is_up[i]`: the machine has sent a heartbeat, and may hold tasks. */
json_t *rp_record_provision(const struct rp_provision_record *record, const char *const *names,
                            const bool *is_up, size_t n);
/** Reads a provision request; its machines are read by the functions below. */
bool rp_record_provision_read(json_t *value, struct rp_provision_record *out);
/** The number of machines that a provision request's record names. */
size_t rp_record_provision_n_names(json_t *value);
/** The name of machine `index`, borrowed from the record; NULL when it is malformed. */
const char *rp_record_provision_name(json_t *value, size_t index);
/** Whether the record says that the machine is up. */
bool rp_record_provision_is_up(json_t *value, const char *name);

#endif
