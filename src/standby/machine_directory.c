#include "standby/machine_directory.h"

#include <stdlib.h>
#include <string.h>

static size_t bucket_of(const char *machine) {
    return (size_t)(rp_text_hash(machine) % RP_REPLICA_BUCKETS);
}

static struct rp_replica_machine **position_of(struct rp_replica *replica, const char *machine) {
    struct rp_replica_machine **link = &replica->buckets[bucket_of(machine)];
    while (*link && strcmp((*link)->machine, machine) != 0)
        link = &(*link)->next;
    return link;
}

const struct rp_replica_machine *rp_replica_find(const struct rp_replica *replica,
                                                 const char *machine) {
    const struct rp_replica_machine *m = replica->buckets[bucket_of(machine)];
    while (m && strcmp(m->machine, machine) != 0)
        m = m->next;
    return m;
}

static void put(struct rp_replica *replica, const struct rp_change *change) {
    struct rp_replica_machine **link = position_of(replica, change->machine);
    if (!*link) {
        *link = calloc(1, sizeof **link);
        if (!*link)
            abort(); /* out of memory: a restart is the honest answer */
        strcpy((*link)->machine, change->machine);
        replica->n_machines++;
    }
    (*link)->returning = change->kind == RP_CHANGE_MACHINE_RETURNING;
    if ((*link)->returning)
        return; /* where it could be reached last stays known */
    strcpy((*link)->addr, change->addr);
    (*link)->session = change->session;
}

static void drop(struct rp_replica *replica, const char *machine) {
    struct rp_replica_machine **link = position_of(replica, machine), *gone = *link;
    rp_gone_machines_add(&replica->gone, machine);
    if (!gone)
        return;
    *link = gone->next;
    replica->n_machines--;
    free(gone);
}

void rp_replica_clear(struct rp_replica *replica) {
    for (size_t i = 0; i < RP_REPLICA_BUCKETS; i++)
        while (replica->buckets[i]) {
            struct rp_replica_machine *machine = replica->buckets[i];
            replica->buckets[i] = machine->next;
            free(machine);
        }
    replica->n_machines = 0;
    replica->term = replica->index = 0;
}

void rp_replica_free(struct rp_replica *replica) {
    rp_replica_clear(replica);
    rp_gone_machines_free(&replica->gone);
}

enum rp_replica_outcome rp_replica_apply(struct rp_replica *replica,
                                         const struct rp_stream_message *message) {
    if (message->term < replica->term)
        return RP_REPLICA_OLD_TERM;
    bool same_term = message->term == replica->term;
    if (same_term && message->index <= replica->index && replica->index > 0)
        return RP_REPLICA_APPLIED; /* several questions were under way: known already */
    uint64_t first = message->index - message->n_changes;
    size_t known = 0;
    if (message->snapshot)
        rp_replica_clear(replica);
    else if (!same_term || first > replica->index)
        return RP_REPLICA_GAP;
    else
        known = (size_t)(replica->index - first);
    for (size_t i = known; i < message->n_changes; i++)
        if (message->changes[i].kind == RP_CHANGE_MACHINE_GONE)
            drop(replica, message->changes[i].machine);
        else
            put(replica, &message->changes[i]);
    replica->term = message->term;
    replica->index = message->index;
    return RP_REPLICA_APPLIED;
}
