/* Names of machines that are certainly gone, so that late news of them is void. A copy of a report
 * may come minutes after its machine; the set keeps the latest RP_GONE_KEPT names, as hashes. */
#ifndef RP_GONE_MACHINES_H
#define RP_GONE_MACHINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* 4,000 machines that each live for the minute that the cloud charges at least: 66 returns a
 * second, for 16 minutes. */
#define RP_GONE_KEPT 65536

struct rp_gone_machines {
    uint64_t *hashes; /* a ring of RP_GONE_KEPT; NULL until the first machine is gone */
    uint32_t *heads;  /* of the hash table: 1 + a position in the ring, 0 for none */
    uint32_t *next;   /* the same, for each position of the ring */
    size_t n;         /* machines noted so far */
};

/* Remembers the name, and forgets the oldest one if the set is full. */
void rp_gone_machines_add(struct rp_gone_machines *gone, const char *machine);
bool rp_gone_machines_has(const struct rp_gone_machines *gone, const char *machine);
void rp_gone_machines_free(struct rp_gone_machines *gone);

#endif
