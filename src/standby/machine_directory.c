#include "standby/machine_directory.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"

static size_t bucket_of(const char *machine) {
    return (size_t)(rp_hash_string(machine) % RP_DIRECTORY_BUCKETS);
}

static struct rp_directory_machine **position_of(struct rp_machine_directory *directory,
                                                 const char *machine) {
    struct rp_directory_machine **link = &directory->buckets[bucket_of(machine)];
    while (*link && strcmp((*link)->machine, machine) != 0)
        link = &(*link)->next;
    return link;
}

const struct rp_directory_machine *
rp_machine_directory_find(const struct rp_machine_directory *directory, const char *machine) {
    const struct rp_directory_machine *m = directory->buckets[bucket_of(machine)];
    while (m && strcmp(m->machine, machine) != 0)
        m = m->next;
    return m;
}

static void put(struct rp_machine_directory *directory, const struct rp_change *change) {
    struct rp_directory_machine **link = position_of(directory, change->machine);
    if (!*link) {
        *link = rp_alloc(1, sizeof **link);
        rp_string_copy((*link)->machine, sizeof(*link)->machine, change->machine);
        directory->n_machines++;
    }
    (*link)->releasing = change->kind == RP_CHANGE_MACHINE_RELEASING;
    if ((*link)->releasing)
        return; /* where it could be reached last stays known */
    rp_string_copy((*link)->addr, sizeof(*link)->addr, change->addr);
    (*link)->incarnation = change->incarnation;
}

static void drop(struct rp_machine_directory *directory, const char *machine) {
    struct rp_directory_machine **link = position_of(directory, machine), *gone = *link;
    rp_tombstones_add(&directory->tombstones, machine);
    if (!gone)
        return;
    *link = gone->next;
    directory->n_machines--;
    free(gone);
}

void rp_machine_directory_clear(struct rp_machine_directory *directory) {
    for (size_t i = 0; i < RP_DIRECTORY_BUCKETS; i++)
        while (directory->buckets[i]) {
            struct rp_directory_machine *machine = directory->buckets[i];
            directory->buckets[i] = machine->next;
            free(machine);
        }
    directory->n_machines = 0;
    directory->term = directory->index = 0;
}

void rp_machine_directory_free(struct rp_machine_directory *directory) {
    rp_machine_directory_clear(directory);
    rp_tombstones_free(&directory->tombstones);
}

enum rp_directory_outcome rp_machine_directory_apply(struct rp_machine_directory *directory,
                                                     const struct rp_stream_message *message) {
    if (message->term < directory->term)
        return RP_DIRECTORY_OLD_TERM;
    bool same_term = message->term == directory->term;
    if (same_term && message->index <= directory->index && directory->index > 0)
        return RP_DIRECTORY_APPLIED; /* several questions were under way: known already */
    uint64_t first = message->index - message->n_changes;
    size_t known = 0;
    if (message->snapshot)
        rp_machine_directory_clear(directory);
    else if (!same_term || first > directory->index)
        return RP_DIRECTORY_GAP;
    else
        known = (size_t)(directory->index - first);
    for (size_t i = known; i < message->n_changes; i++)
        if (message->changes[i].kind == RP_CHANGE_MACHINE_TERMINATED)
            drop(directory, message->changes[i].machine);
        else
            put(directory, &message->changes[i]);
    directory->term = message->term;
    directory->index = message->index;
    return RP_DIRECTORY_APPLIED;
}
