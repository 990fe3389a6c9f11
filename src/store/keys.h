/** @file
 * Names of the keys that the service keeps in the key-value store. Records of one kind share a
 * prefix, so that they can be listed and watched together. Names never change: nodes of two
 * versions run side by side during an upgrade. */
#ifndef RP_STORE_KEYS_H
#define RP_STORE_KEYS_H

#include <stdbool.h>
#include "model/job_spec.h"

/** Prefix of all keys, which belong to one tenant; a hosted service would have one for each tenant.
 */
#define RP_KEY_ROOT "rp/main/"
/** Key of the record that names the leader. */
#define RP_KEY_LEADER RP_KEY_ROOT "leader"
/** Key of the fence, which is written by every failover from a leader that may still act. It has
 * the prefix of the open jobs so that the earlier leader's watch receives it before any job that is
 * accepted later. No job has such an id. */
#define RP_KEY_FENCE RP_KEY_ROOT "open/!fence"
/** Prefix of the records of jobs that are not in a terminal state, by job id. */
#define RP_KEY_OPEN RP_KEY_ROOT "open/"
/** Prefix of the terminal states, by job id. These records are kept forever. */
#define RP_KEY_TERMINAL RP_KEY_ROOT "over/"
/** Prefix of the progress records, by job id and chunk or unit. */
#define RP_KEY_PROGRESS RP_KEY_ROOT "progress/"
/** Prefix of the provision requests and their machines, by the request's name. */
#define RP_KEY_PROVISION RP_KEY_ROOT "rental/"
/** Prefix of the further parts of job records that one value cannot hold, by job id and part. */
#define RP_KEY_PART RP_KEY_ROOT "part/"
/** Prefix of the announcements by which nodes state that they support RP_FORMAT, by node. An
 * announcement exists while its node runs. */
#define RP_KEY_ANNOUNCEMENT RP_KEY_ROOT "version/"
/** Key of the activation record, which states that all nodes support RP_FORMAT. It is never
 * deleted. */
#define RP_KEY_ACTIVATION RP_KEY_ROOT "format"
/** Key of the machine types, which are read when the cloud does not respond. */
#define RP_KEY_CATALOG RP_KEY_ROOT "catalog"
/** Prefix of the records of the jobs' phases, which nodes read that cannot reach the leader, by
 * number. They are attached to the leader's lease. */
#define RP_KEY_PHASES RP_KEY_ROOT "phases/"
/** Prefix of the records of machines whose heartbeats no leader answers
 * (cluster/withheld_answers.h), by number. They have the prefix of the provision requests, so that
 * a new leader reads them together. No request has such a name. They are written only in format 2,
 * and never deleted. */
#define RP_KEY_WITHHELD RP_KEY_ROOT "rental/!withheld/"
/** Maximum number of these records, whose names are the digits from 0 on. */
#define RP_WITHHELD_RECORDS_MAX 4
/** Size in bytes of a buffer that can hold any key with its NUL. The store allows 200 bytes for a
 * key. */
#define RP_KEY_MAX 200

/** Tasks in a chunk, a progress record of format 1. A chunk takes nearly 2.1 KiB, which a key-value
 * store with lowered limits may not accept. */
#define RP_CHUNK_TASKS 8192
/** Bytes of a chunk's bit set. */
#define RP_CHUNK_BYTES (RP_CHUNK_TASKS / 8)
/** Tasks in a unit, a progress record of format 2, which takes nearly 0.5 KiB. */
#define RP_UNIT_TASKS 2048
/** Bytes of a unit's bit set. */
#define RP_UNIT_BYTES (RP_UNIT_TASKS / 8)
/** Units that cover the tasks of one chunk. */
#define RP_CHUNK_UNITS (RP_CHUNK_TASKS / RP_UNIT_TASKS)
/** Units of the largest job. */
#define RP_UNITS_MAX ((RP_TASKS_MAX + RP_UNIT_TASKS - 1) / RP_UNIT_TASKS)
/** Chunks of the largest job. */
#define RP_CHUNKS_MAX ((RP_TASKS_MAX + RP_CHUNK_TASKS - 1) / RP_CHUNK_TASKS)
/** Maximum number of pieces of a job's record: the one at the job's own key, and the further parts.
 * All pieces are written in one transaction. */
#define RP_PARTS_MAX 64

/** Writes the key of `name` below `prefix`. */
void rp_key(char out[RP_KEY_MAX], const char *prefix, const char *name);
/** Writes the key of a job's progress record of format 1. */
void rp_key_progress(char out[RP_KEY_MAX], const char *job, unsigned chunk);
/** Writes the key of a job's progress record of format 2; a node of format 1 ignores it. */
void rp_key_unit(char out[RP_KEY_MAX], const char *job, unsigned unit);
/** Splits a progress key of either format. `*is_unit` is true for format 2; `*index` is the number
 * of the chunk or unit. Returns false when `key` is not a progress key. */
bool rp_key_progress_read(const char *key, char job[RP_ID_MAX], unsigned *index, bool *is_unit);
/** Writes the key of a further part of a job's record; parts are numbered from 1. */
void rp_key_part(char out[RP_KEY_MAX], const char *job, unsigned part);
/** Splits the key of a further part; returns false when `key` is not one. */
bool rp_key_part_read(const char *key, char job[RP_ID_MAX], unsigned *part);

#endif
