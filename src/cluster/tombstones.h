/** @file
 * Tombstones: the names of machines that are certainly terminated, so that late messages from them
 * are ignored. A copy of a heartbeat may arrive minutes after its machine was terminated. The set
 * keeps the latest RP_TOMBSTONES_MAX names, as hashes. The fleet has one set for its own releases,
 * which is kept when a term ends; a standby's machine directory has another. */
#ifndef RP_CLUSTER_TOMBSTONES_H
#define RP_CLUSTER_TOMBSTONES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Number of names that the set keeps. With 4,000 machines that are each released after one minute,
 * the shortest time that the cloud charges, 66 machines are released per second, so the names of 16
 * minutes fit. */
#define RP_TOMBSTONES_MAX 65536

/** A set of tombstones; all zero when empty. A ring of hashes and a hash table of its positions. */
struct rp_tombstones {
    uint64_t *hashes; /* ring of RP_TOMBSTONES_MAX hashes; NULL until the first machine is added */
    uint32_t *heads;  /* heads of the hash table's chains: 1 + a position in the ring; 0: empty */
    uint32_t *next;   /* next link of each position's chain: 1 + a position in the ring; 0: none */
    size_t n;         /* number of names added so far */
};

/** Adds the machine's name, and removes the oldest name if the set is full. */
void rp_tombstones_add(struct rp_tombstones *tombstones, const char *machine);
/** Whether the machine is in the set. */
bool rp_tombstones_has(const struct rp_tombstones *tombstones, const char *machine);
/** Empties the set and frees its memory. */
void rp_tombstones_free(struct rp_tombstones *tombstones);

#endif
