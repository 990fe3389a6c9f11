#include "cluster/tombstones.h"

#include <stdlib.h>
#include <string.h>
#include "model/names.h"

static uint32_t *head_of(const struct rp_tombstones *tombstones, uint64_t hash) {
    return &tombstones->heads[hash % RP_TOMBSTONES_MAX];
}

static void allocate(struct rp_tombstones *tombstones) {
    tombstones->hashes = calloc(RP_TOMBSTONES_MAX, sizeof *tombstones->hashes);
    tombstones->heads = calloc(RP_TOMBSTONES_MAX, sizeof *tombstones->heads);
    tombstones->next = calloc(RP_TOMBSTONES_MAX, sizeof *tombstones->next);
    if (!tombstones->hashes || !tombstones->heads || !tombstones->next)
        abort();
}

static void forget(struct rp_tombstones *tombstones, uint32_t position) {
    uint32_t *at = head_of(tombstones, tombstones->hashes[position]);
    while (*at != position + 1)
        at = &tombstones->next[*at - 1];
    *at = tombstones->next[position];
}

void rp_tombstones_add(struct rp_tombstones *tombstones, const char *machine) {
    uint64_t hash = rp_hash_string(machine);
    uint32_t position = (uint32_t)(tombstones->n % RP_TOMBSTONES_MAX);
    if (!tombstones->hashes)
        allocate(tombstones);
    if (tombstones->n >= RP_TOMBSTONES_MAX)
        forget(tombstones, position);
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
    for (uint32_t at = *head_of(tombstones, hash); at; at = tombstones->next[at - 1])
        if (tombstones->hashes[at - 1] == hash)
            return true;
    return false;
}

void rp_tombstones_free(struct rp_tombstones *tombstones) {
    free(tombstones->hashes);
    free(tombstones->heads);
    free(tombstones->next);
    memset(tombstones, 0, sizeof *tombstones);
}
