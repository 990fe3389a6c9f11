/** @file
 * Names of the keys that the service keeps in the key-value store. Records of one kind share a
 * prefix, so that they can be listed and watched together. Names never change: nodes of two
 * versions run side by side during an upgrade. */
#ifndef RP_STORE_KEYS_H
#define RP_STORE_KEYS_H

#include <stdbool.h>
#include "model/job_spec.h"

/** All keys lie below one tenant's prefix; a hosted service would have one for each tenant. */
#define RP_KEY_ROOT "rp/main/"
/** Who leads. */
#define RP_KEY_LEADER RP_KEY_ROOT "leader"
/** Written by every failover from a leader that may still act. It lies below the open jobs so that
 * the earlier leader's watch shows it before any job that is accepted later. No job has such an id.
 */
#define RP_KEY_FENCE RP_KEY_ROOT "open/!fence"
/** Prefix of the jobs that are not in a terminal state, by id. */
#define RP_KEY_OPEN RP_KEY_ROOT "open/"
/** Prefix of the terminal states, by job id; kept for ever. */
#define RP_KEY_TERMINAL RP_KEY_ROOT "over/"
/** Prefix of the progress records, by job id and chunk or unit. */
#define RP_KEY_PROGRESS RP_KEY_ROOT "progress/"
/** Prefix of the provision requests and their machines, by the request's name. */
#define RP_KEY_PROVISION RP_KEY_ROOT "rental/"
/** Prefix of the further parts of job records that one value can't hold, by job id and part. */
#define RP_KEY_PART RP_KEY_ROOT "part/"
/** Prefix of the announcements of nodes that know the format of today, by node, while they live. */
#define RP_KEY_VERSION RP_KEY_ROOT "version/"
/** That all nodes know the format; never undone. */
#define RP_KEY_FORMAT RP_KEY_ROOT "format"
/** Machine types, for when the cloud doesn't answer. */
#define RP_KEY_CATALOG RP_KEY_ROOT "catalog"
/** Bytes that hold any key with its NUL. The store allows 200 bytes a key. */
#define RP_KEY_MAX 200

/** Tasks in a progress record of format 1. A chunk takes near 2.1 KiB: more than a key-value store
 * may take whose limits have come down. */
#define RP_CHUNK_TASKS 8192
/** Bytes of a chunk's bit set. */
#define RP_CHUNK_BYTES (RP_CHUNK_TASKS / 8)
/** Tasks in a progress record of format 2, which takes near 0.5 KiB. */
#define RP_UNIT_TASKS 2048
/** Bytes of a unit's bit set. */
#define RP_UNIT_BYTES (RP_UNIT_TASKS / 8)
/** Units that cover the tasks of one chunk. */
#define RP_CHUNK_UNITS (RP_CHUNK_TASKS / RP_UNIT_TASKS)
/** Units of the largest job. */
#define RP_UNITS_MAX ((RP_TASKS_MAX + RP_UNIT_TASKS - 1) / RP_UNIT_TASKS)
/** Chunks of the largest job. */
#define RP_CHUNKS_MAX ((RP_TASKS_MAX + RP_CHUNK_TASKS - 1) / RP_CHUNK_TASKS)
/** Pieces of a job's record: its own key's, and the further parts. They are written in one
 * transaction. */
#define RP_PARTS_MAX 64

/** The key of `name` below a prefix. */
void rp_key(char out[RP_KEY_MAX], const char *prefix, const char *name);
/** The key of a job's progress record of format 1. */
void rp_key_progress(char out[RP_KEY_MAX], const char *job, unsigned chunk);
/** The key of a job's progress record of format 2; a node of format 1 passes it over. */
void rp_key_unit(char out[RP_KEY_MAX], const char *job, unsigned unit);
/** Splits a progress key of either format; `*unit` tells which one, `*piece` is the number of the
 * chunk or unit. False when it is none. */
bool rp_key_progress_read(const char *key, char job[RP_ID_MAX], unsigned *piece, bool *unit);
/** The key of a further part of a job's record; they count from 1. */
void rp_key_part(char out[RP_KEY_MAX], const char *job, unsigned part);
/** Splits a further part's key; false when it is none. */
bool rp_key_part_read(const char *key, char job[RP_ID_MAX], unsigned *part);

#endif
