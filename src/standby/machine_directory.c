#include "standby/machine_directory.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"

static size_t bucket_of(const char *machine) {
    return (size_t)(rp_hash_string(machine) % RP_DIRECTORY_BUCKETS);
}

/* The pointer to the machine in its bucket, or the NULL at the end of the bucket. */
static struct rp_directory_machine **link_of(struct rp_machine_directory *directory,
                                             const char *machine) {
    struct rp_directory_machine **link = &directory->buckets[bucket_of(machine)];
    while (*link && strcmp((*link)->machine, machine) != 0)
        link = &(*link)->next;
    return link;
}

const struct rp_directory_machine *
rp_machine_directory_find(const struct rp_machine_directory *directory, const char *machine) {
    const struct rp_directory_machine *entry = directory->buckets[bucket_of(machine)];
    while (entry && strcmp(entry->machine, machine) != 0)
        entry = entry->next;
    return entry;
}

static void put(struct rp_machine_directory *directory, const struct rp_change *change) {
    struct rp_directory_machine **link = link_of(directory, change->machine);
    struct rp_directory_machine *entry = *link;
    if (!entry) {
        entry = *link = rp_alloc(1, sizeof *entry);
        rp_string_copy(entry->machine, sizeof entry->machine, change->machine);
        directory->n_machines++;
    }
    entry->is_releasing = change->kind == RP_CHANGE_MACHINE_RELEASING;
    if (entry->is_releasing)
        return; /* the change carries no address: the last one is kept */
    rp_string_copy(entry->addr, sizeof entry->addr, change->addr);
    entry->incarnation = change->incarnation;
}

static void drop(struct rp_machine_directory *directory, const char *machine) {
    struct rp_directory_machine **link = link_of(directory, machine);
    struct rp_directory_machine *terminated = *link;
    rp_tombstones_add(&directory->tombstones, machine);
    if (!terminated)
        return;
    *link = terminated->next;
    directory->n_machines--;
    free(terminated);
}

static void apply_change(struct rp_machine_directory *directory, const struct rp_change *change) {
    if (change->kind == RP_CHANGE_MACHINE_TERMINATED)
        drop(directory, change->machine);
    else
        put(directory, change);
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
    bool is_same_term = message->term == directory->term;
    bool is_not_newer = message->index <= directory->index && directory->index > 0;
    if (is_same_term && is_not_newer)
        return RP_DIRECTORY_APPLIED; /* several requests were in flight: already applied */
    uint64_t index_before = message->index - message->n_changes;
    size_t n_applied = 0;
    if (message->is_snapshot)
        rp_machine_directory_clear(directory);
    else if (!is_same_term || index_before > directory->index)
        return RP_DIRECTORY_GAP;
    else
        n_applied = (size_t)(directory->index - index_before);
    for (size_t i = n_applied; i < message->n_changes; i++)
        apply_change(directory, &message->changes[i]);
    directory->term = message->term;
    directory->index = message->index;
    return RP_DIRECTORY_APPLIED;
}
