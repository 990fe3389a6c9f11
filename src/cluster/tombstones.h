/** @file
 * Tombstones: the names of machines that are terminated for certain, so that late messages of them
 * are void. A copy of a heartbeat may come minutes after its machine; the set keeps the latest
 * RP_TOMBSTONES_MAX names, as hashes. The fleet keeps one for its own releases, which outlives a
 * term; a standby's machine directory keeps another. */
#ifndef RP_CLUSTER_TOMBSTONES_H
#define RP_CLUSTER_TOMBSTONES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** 4,000 machines that each live for the minute that the cloud charges at least: 66 releases a
 * second, for 16 minutes. */
#define RP_TOMBSTONES_MAX 65536

/** The set; all zero when empty. A ring of hashes, with a hash table over its positions. */
struct rp_tombstones {
    uint64_t *hashes; /* a ring of RP_TOMBSTONES_MAX; NULL until the first machine is added */
    uint32_t *heads;  /* of the hash table: 1 + a position in the ring, 0 for none */
    uint32_t *next;   /* the same, for each position of the ring */
    size_t n;         /* machines added so far */
};

/** Remembers the name, and forgets the oldest one if the set is full. */
void rp_tombstones_add(struct rp_tombstones *tombstones, const char *machine);
/** Whether the machine is among the latest that were added. */
bool rp_tombstones_has(const struct rp_tombstones *tombstones, const char *machine);
/** Empties the set and frees what it holds. */
void rp_tombstones_free(struct rp_tombstones *tombstones);

#endif
