/** @file
 * The records that the service stores in the key-value store: the values of the keys in
 * store/keys.h.
 *
 * Each record has a function that creates its value and one that reads it. Values are JSON objects
 * that are read by later versions: a reader accepts every form that an earlier version wrote. It
 * returns false for a record of a later format (rp_record_format) and for one that lacks a required
 * member. The caller leaves such a record unchanged, and never deletes or overwrites it. Values
 * that are returned belong to the caller. */
#ifndef RP_STORE_RECORDS_H
#define RP_STORE_RECORDS_H

#include <jansson.h>
#include "base/timeutil.h"
#include "model/job_spec.h"
#include "model/job_status.h"
#include "store/keys.h"

/** The format of stored records that this version supports. 1: version 0.1.0, whose records do not
 * name their format. 2: since 0.2.0, once activated (upgrade/format_upgrade.h). */
#define RP_FORMAT 2

/** The format that a record names; 1 when it names none. */
unsigned rp_record_format(const json_t *value);
/** Marks a record with RP_FORMAT, and returns it; for use only once RP_FORMAT is activated. */
json_t *rp_record_mark(json_t *value);
/** The size in bytes of the value as it is sent, for comparison with the store's limit. */
size_t rp_record_size(const json_t *value);

/* ---- records in parts ---- */

/** Splits a record into pieces of at most `max_bytes` each; returns their number, or 0 if more than
 * `max_pieces` are needed. The first piece is stored at the record's key and holds the number of
 * the others. The caller owns the pieces. */
size_t rp_record_split(const json_t *record, size_t max_bytes, json_t **pieces, size_t max_pieces);
/** The number of further parts that belong to this piece; 0: this piece is the whole record. */
size_t rp_record_n_parts(const json_t *value);
/** The record that consists of these pieces, in order; NULL when they do not form one. */
json_t *rp_record_join(json_t *const *pieces, size_t n);

/* ---- activation of RP_FORMAT ---- */

/** The announcement record below RP_KEY_ANNOUNCEMENT: it states that the node supports RP_FORMAT.
 */
json_t *rp_record_announcement(const char *node);
/** The activation record at RP_KEY_ACTIVATION: it states that every node supports RP_FORMAT. */
json_t *rp_record_activation(void);

/* ---- jobs ---- */

/** The record below RP_KEY_OPEN: a job as it was submitted. `accepted_at` is a time of day. */
json_t *rp_record_open(const struct rp_job_spec *spec, struct timespec accepted_at);
/** Reads a job's whole record; a record in parts must have been joined. */
bool rp_record_open_read(json_t *value, struct rp_job_spec *spec, struct timespec *accepted_at);
/** The record below RP_KEY_TERMINAL: RP_JOB_DONE or RP_JOB_CANCELLED. */
json_t *rp_record_terminal(enum rp_job_phase phase);
/** Reads a terminal state. */
bool rp_record_terminal_read(json_t *value, enum rp_job_phase *phase);
/** The record below RP_KEY_PROGRESS: the set of tasks of a chunk or unit that are done, one bit for
 * each task. */
json_t *rp_record_progress(const uint8_t *bits, size_t n_bytes);
/** Adds a progress record's tasks to `bits`, a set of `n_bytes`. */
bool rp_record_progress_read(json_t *value, uint8_t *bits, size_t n_bytes);

/* ---- leadership ---- */

/** A lease of an earlier leader that a failover has to revoke. Its holder may answer workers as
 * long as it can renew the lease, and afterwards for `ttl_s` at most. */
struct rp_fenced_lease {
    uint64_t lease; /* 0: none */
    double ttl_s;
};

/** The leader's key. */
struct rp_leader_record {
    char node[RP_TEXT_MAX];
    /* Lease that a failover has to revoke; none when the leader's node does not take part in
     * failovers. */
    struct rp_fenced_lease own;
    struct rp_fenced_lease fenced; /* lease of the previous leader, when this one fenced it */
};
/** The record at RP_KEY_LEADER. Without `own` and `fenced` it equals that of version 0.1.0. */
json_t *rp_record_leader(const struct rp_leader_record *record);
/** Reads the leader's key in any format, because a leader is elected before RP_FORMAT is activated.
 */
bool rp_record_leader_read(const json_t *value, struct rp_leader_record *out);
/** The record at RP_KEY_FENCE: the node that fenced a leader. It is not marked with a format: it is
 * written whichever format the other nodes support, and no node reads its value. */
json_t *rp_record_fence(const char *node);

/* ---- provision requests ---- */

/** A request to the cloud for machines, without their names. */
struct rp_provision_record {
    char type[RP_TEXT_MAX], zone[RP_TEXT_MAX];
    bool spot;
    unsigned count;
    struct timespec requested_at; /* time of day */
    bool answered;                /* the cloud has returned the machines' names */
};
/** The record below RP_KEY_PROVISION. `names` and `is_up`, of `n` machines, are stored only once
 * the request is answered; `is_up[i]`: the machine has sent a heartbeat, and may hold tasks. */
json_t *rp_record_provision(const struct rp_provision_record *record, const char *const *names,
                            const bool *is_up, size_t n);
/** Reads a provision request; its machines are read by the functions below. */
bool rp_record_provision_read(json_t *value, struct rp_provision_record *out);
/** The number of machines that a provision request's record names. */
size_t rp_record_provision_n_names(json_t *value);
/** The name of machine `index`, borrowed from the record; NULL when it is malformed. */
const char *rp_record_provision_name(json_t *value, size_t index);
/** Whether the record lists the machine as up: the machine has sent a heartbeat, and may hold
 * tasks. */
bool rp_record_provision_is_up(json_t *value, const char *name);

/* ---- withheld answers ---- */

/** Seconds to which the times in the records below RP_KEY_WITHHELD are rounded up, so that most
 * machines share one. */
#define RP_WITHHELD_ROUNDING_S 4
/** Bytes of such a record besides the names, rounded up. */
#define RP_WITHHELD_FRAME_BYTES 192
/** Bytes of a name in the record besides its length. */
#define RP_WITHHELD_NAME_BYTES 1

/** A record without machines. */
json_t *rp_record_withheld(void);
/** Adds a machine, and the time of day in seconds at which its lease has ended. */
void rp_record_withheld_add(json_t *record, const char *machine, double lease_end_s);
/** Calls `fn` with each machine and the time of day at which its lease has ended. Returns false if
 * the record is malformed or of a later format. */
bool rp_record_withheld_read(const json_t *value,
                             void (*fn)(void *arg, const char *machine, double lease_end_s),
                             void *arg);

#endif
