/** @file
 * Names of machines that are certainly gone, so that late news of them is void. A copy of a report
 * may come minutes after its machine; the set keeps the latest RP_TOMBSTONES_MAX names, as hashes.
 */
#ifndef RP_CLUSTER_TOMBSTONES_H
#define RP_CLUSTER_TOMBSTONES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** 4,000 machines that each live for the minute that the cloud charges at least: 66 returns a
 * second, for 16 minutes. */
#define RP_TOMBSTONES_MAX 65536

struct rp_tombstones {
    uint64_t *hashes; /* a ring of RP_TOMBSTONES_MAX; NULL until the first machine is gone */
    uint32_t *heads;  /* of the hash table: 1 + a position in the ring, 0 for none */
    uint32_t *next;   /* the same, for each position of the ring */
    size_t n;         /* machines noted so far */
};

/** Remembers the name, and forgets the oldest one if the set is full. */
void rp_tombstones_add(struct rp_tombstones *tombstones, const char *machine);
bool rp_tombstones_has(const struct rp_tombstones *tombstones, const char *machine);
void rp_tombstones_free(struct rp_tombstones *tombstones);

#endif
