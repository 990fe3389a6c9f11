#include "cluster/cluster_state.h"

#include <string.h>
#include <utlist.h>

static struct rp_machine **bucket_of(struct rp_cluster *cluster, const char *name) {
    return &cluster->buckets[rp_hash_string(name) % RP_CLUSTER_BUCKETS];
}

struct rp_machine *rp_machine_find(const struct rp_cluster *cluster, const char *name) {
    struct rp_machine *machine = cluster->buckets[rp_hash_string(name) % RP_CLUSTER_BUCKETS];
    while (machine && strcmp(machine->name, name) != 0)
        machine = machine->hash_next;
    return machine;
}

void rp_cluster_link(struct rp_cluster *cluster, struct rp_machine *machine) {
    struct rp_machine **bucket = bucket_of(cluster, machine->name);
    LL_PREPEND2(*bucket, machine, hash_next);
    machine->prev = cluster->last;
    if (cluster->last)
        cluster->last->next = machine;
    else
        cluster->first = machine;
    cluster->last = machine;
    cluster->n_machines++;
    cluster->unreconciled_stale = true;
}

void rp_cluster_unlink(struct rp_cluster *cluster, struct rp_machine *machine) {
    struct rp_machine **bucket = bucket_of(cluster, machine->name);
    LL_DELETE2(*bucket, machine, hash_next);
    if (machine->prev)
        machine->prev->next = machine->next;
    else
        cluster->first = machine->next;
    if (machine->next)
        machine->next->prev = machine->prev;
    else
        cluster->last = machine->prev;
    cluster->n_machines--;
    cluster->unreconciled_stale = true;
}
