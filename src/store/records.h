/** @file
 * What the service keeps in the state service: keys and values of its own making. */
#ifndef RP_STORE_RECORDS_H
#define RP_STORE_RECORDS_H

#include <jansson.h>
#include "base/timeutil.h"
#include "model/job_spec.h"
#include "model/job_status.h"

/** All keys lie below one tenant's prefix; a hosted service would have one for each tenant. */
#define RP_KEY_ROOT "rp/main/"
#define RP_KEY_LEADER RP_KEY_ROOT "leader"
/** Written by every takeover from a leader that may still act. It lies below the open jobs so that
 * the earlier leader's watch shows it before any job that is accepted later. No job has such an id.
 */
#define RP_KEY_FENCE RP_KEY_ROOT "open/!fence"
#define RP_KEY_OPEN RP_KEY_ROOT "open/"         /* jobs that are not over, by id */
#define RP_KEY_TERMINAL RP_KEY_ROOT "over/"     /* how a job ended, kept for ever */
#define RP_KEY_PROGRESS RP_KEY_ROOT "progress/" /* tasks done, by id and chunk */
#define RP_KEY_PROVISION RP_KEY_ROOT "rental/"  /* rental requests and their machines */
#define RP_KEY_PART RP_KEY_ROOT "part/" /* the rest of job records that one value can't hold */
#define RP_KEY_VERSION                                                                             \
    RP_KEY_ROOT "version/"                   /* nodes that know the format below, while they live */
#define RP_KEY_FORMAT RP_KEY_ROOT "format"   /* that all nodes do; never undone */
#define RP_KEY_CATALOG RP_KEY_ROOT "catalog" /* machine types, for when the cloud is out */
#define RP_KEY_MAX 200

/** The format of what is stored. 1: version 0.1.0, whose records don't name it. 2: since 0.2.0,
 * once activated (upgrade.h). Records of a later one are left alone. */
#define RP_FORMAT 2

/** Tasks in one progress record. Format 1 had chunks of 8192, near 2.1 KiB: more than a state
 * service may take whose limits have come down. Format 2 has units of 2048, near 0.5 KiB. */
#define RP_CHUNK_TASKS 8192
#define RP_CHUNK_BYTES (RP_CHUNK_TASKS / 8)
#define RP_UNIT_TASKS 2048
#define RP_UNIT_BYTES (RP_UNIT_TASKS / 8)
#define RP_CHUNK_UNITS (RP_CHUNK_TASKS / RP_UNIT_TASKS)
#define RP_UNITS_MAX ((RP_TASKS_MAX + RP_UNIT_TASKS - 1) / RP_UNIT_TASKS)
#define RP_PARTS_MAX 64

void rp_key(char out[RP_KEY_MAX], const char *prefix, const char *name);
void rp_key_progress(char out[RP_KEY_MAX], const char *job, unsigned chunk);
/** Of format 2; a node of format 1 passes it over. */
void rp_key_unit(char out[RP_KEY_MAX], const char *job, unsigned unit);
/** Splits a progress key of either format; false when it is none. */
bool rp_key_progress_read(const char *key, char job[RP_ID_MAX], unsigned *piece, bool *unit);
void rp_key_part(char out[RP_KEY_MAX], const char *job, unsigned part);
bool rp_key_part_read(const char *key, char job[RP_ID_MAX], unsigned *part);

/** The format that a record names; 1 when it names none. */
unsigned rp_record_format(const json_t *value);
/** Marks a record with the format of today; for use once it is activated. */
json_t *rp_record_mark(json_t *value);
size_t rp_record_size(const json_t *value);
/** Cuts a record into pieces of at most `most` bytes; returns how many, 0 if `max` aren't enough.
 * The first takes the record's key and tells how many others there are. */
size_t rp_record_cut(const json_t *record, size_t most, json_t **pieces, size_t max);
/** How many other pieces belong to this one; 0: it is whole. */
size_t rp_record_parts(const json_t *value);
json_t *rp_record_join(json_t *const *pieces, size_t n);

json_t *rp_record_open(const struct rp_job_spec *spec, struct timespec accepted);
bool rp_record_open_read(json_t *value, struct rp_job_spec *spec, struct timespec *accepted);
json_t *rp_record_terminal(enum rp_job_phase phase);
bool rp_record_terminal_read(json_t *value, enum rp_job_phase *phase);
json_t *rp_record_progress(const uint8_t *bits, size_t n_bytes);
bool rp_record_progress_read(json_t *value, uint8_t *bits, size_t n_bytes);
json_t *rp_record_version(const char *node);
json_t *rp_record_activation(void);

/** A lease of an earlier leader that a takeover has to end: while its holder could renew it, it
 * could go on answering workers, and afterwards for `ttl_s` at the most. */
struct rp_fenced_lease {
    uint64_t lease; /* 0: none */
    double ttl_s;
};

struct rp_leader_record {
    char node[RP_TEXT_MAX];
    /* What a takeover has to end; none when the leader's node doesn't take part in takeovers. */
    struct rp_fenced_lease own;
    struct rp_fenced_lease fenced; /* of the leader before, when this one took over from it */
};
/** Without `own` and `deposed` the record is that of the version in production. */
json_t *rp_record_leader(const struct rp_leader_record *record);
bool rp_record_leader_read(const json_t *value, struct rp_leader_record *out);
json_t *rp_record_fence(const char *node);

struct rp_provision_record {
    char type[RP_TEXT_MAX], zone[RP_TEXT_MAX];
    bool spot;
    unsigned count;
    struct timespec requested_at; /* time of day */
    bool answered;                /* the names are known */
};
/** `up[i]`: the machine has reported, and may hold tasks. */
json_t *rp_record_provision(const struct rp_provision_record *record, const char *const *names,
                            const bool *up, size_t n);
bool rp_record_provision_read(json_t *value, struct rp_provision_record *out);
size_t rp_record_provision_n_names(json_t *value);
const char *rp_record_provision_name(json_t *value, size_t i);
bool rp_record_provision_is_up(json_t *value, const char *name);

#endif
