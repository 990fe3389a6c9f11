#include "cluster/tombstones.h"

#include <stdlib.h>
#include <string.h>
#include "model/model.h"

static uint32_t *head_of(const struct rp_gone_machines *gone, uint64_t hash) {
    return &gone->heads[hash % RP_GONE_KEPT];
}

static void allocate(struct rp_gone_machines *gone) {
    gone->hashes = calloc(RP_GONE_KEPT, sizeof *gone->hashes);
    gone->heads = calloc(RP_GONE_KEPT, sizeof *gone->heads);
    gone->next = calloc(RP_GONE_KEPT, sizeof *gone->next);
    if (!gone->hashes || !gone->heads || !gone->next)
        abort(); /* out of memory: a restart is the honest answer */
}

static void forget(struct rp_gone_machines *gone, uint32_t position) {
    uint32_t *at = head_of(gone, gone->hashes[position]);
    while (*at != position + 1)
        at = &gone->next[*at - 1];
    *at = gone->next[position];
}

void rp_gone_machines_add(struct rp_gone_machines *gone, const char *machine) {
    uint64_t hash = rp_text_hash(machine);
    uint32_t position = (uint32_t)(gone->n % RP_GONE_KEPT);
    if (!gone->hashes)
        allocate(gone);
    if (gone->n >= RP_GONE_KEPT)
        forget(gone, position);
    uint32_t *head = head_of(gone, hash);
    gone->hashes[position] = hash;
    gone->next[position] = *head;
    *head = position + 1;
    gone->n++;
}

bool rp_gone_machines_has(const struct rp_gone_machines *gone, const char *machine) {
    uint64_t hash = rp_text_hash(machine);
    if (!gone->hashes)
        return false;
    for (uint32_t at = *head_of(gone, hash); at; at = gone->next[at - 1])
        if (gone->hashes[at - 1] == hash)
            return true;
    return false;
}

void rp_gone_machines_free(struct rp_gone_machines *gone) {
    free(gone->hashes);
    free(gone->heads);
    free(gone->next);
    memset(gone, 0, sizeof *gone);
}
