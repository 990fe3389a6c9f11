#include "cluster/tombstones.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "model/names.h"

/* The head of the chain of links for the hash. A link is 1 + a position in the ring; 0 ends the
 * chain. */
static uint32_t *head_of(const struct rp_tombstones *tombstones, uint64_t hash) {
    return &tombstones->heads[hash % RP_TOMBSTONES_MAX];
}

static void allocate(struct rp_tombstones *tombstones) {
    tombstones->hashes = rp_alloc(RP_TOMBSTONES_MAX, sizeof *tombstones->hashes);
    tombstones->heads = rp_alloc(RP_TOMBSTONES_MAX, sizeof *tombstones->heads);
    tombstones->next = rp_alloc(RP_TOMBSTONES_MAX, sizeof *tombstones->next);
}

/* Removes the position from its chain. */
static void unlink_position(struct rp_tombstones *tombstones, uint32_t position) {
    uint32_t *link = head_of(tombstones, tombstones->hashes[position]);
    while (*link != position + 1)
        link = &tombstones->next[*link - 1];
    *link = tombstones->next[position];
}

void rp_tombstones_add(struct rp_tombstones *tombstones, const char *machine) {
    uint64_t hash = rp_hash_string(machine);
    uint32_t position = (uint32_t)(tombstones->n % RP_TOMBSTONES_MAX);
    if (!tombstones->hashes)
        allocate(tombstones);
    if (tombstones->n >= RP_TOMBSTONES_MAX)
        unlink_position(tombstones, position);
    uint32_t *head = head_of(tombstones, hash);
    tombstones->hashes[position] = hash;
    tombstones->next[position] = *head;
    *head = position + 1;
    tombstones->n++;
}

bool rp_tombstones_has(const struct rp_tombstones *tombstones, const char *machine) {
    uint64_t hash = rp_hash_string(machine);
    if (!tombstones->hashes)
        return false;
    for (uint32_t link = *head_of(tombstones, hash); link; link = tombstones->next[link - 1])
        if (tombstones->hashes[link - 1] == hash)
            return true;
    return false;
}

void rp_tombstones_free(struct rp_tombstones *tombstones) {
    free(tombstones->hashes);
    free(tombstones->heads);
    free(tombstones->next);
    memset(tombstones, 0, sizeof *tombstones);
}
