/** @file
 * The leader's cluster state: all machines, and the counts that are kept over them. This module has
 * the data, the list of machines and the table of their names; other directories include
 * cluster/cluster.h, which has all that may be done with it.
 *
 * Invariants: the list keeps the order in which machines were added, as scheduling depends on it;
 * names are unique; team_cpus and team_gpus are the sums over all counted allocations. */
#ifndef RP_CLUSTER_CLUSTER_STATE_H
#define RP_CLUSTER_CLUSTER_STATE_H

#include "cluster/machine.h"

/** Buckets of the table of names: about two for each of the 4,028 machines expected at most. */
#define RP_CLUSTER_BUCKETS 8192

/** The cluster state of a term. Pointers to other parts are borrowed. */
struct rp_cluster {
    struct rp_loop *loop;
    struct rp_jobs *jobs;
    const struct rp_settings *settings;
    const struct rp_catalog *catalog;
    struct rp_machine *first, *last;
    size_t n_machines;
    struct rp_machine *buckets[RP_CLUSTER_BUCKETS];
    /* The machines that may hold tasks this leader doesn't know of; found anew after a change. */
    struct rp_machine **unreconciled;
    size_t n_unreconciled, cap_unreconciled;
    bool unreconciled_stale;
    size_t n_machines_with_unknown_tasks; /* machines that hold tasks of unknown jobs, not exited */
    double *team_cpus, *team_gpus;        /* what each team's tasks may use now */
    uint64_t fencing_token;
    uint64_t attempt_base, attempt_next;
    /** A machine's address or incarnation is known anew, it is being released, or it is terminated;
     * NULL: nobody wants to know. */
    void (*on_machine_changed)(void *arg, const struct rp_machine *machine, bool terminated);
    void *on_machine_changed_arg;
};

/** The machine of this name; NULL: there is none. */
struct rp_machine *rp_machine_find(const struct rp_cluster *cluster, const char *name);
/** Appends a machine, whose name must be set and new, to the list and the table. */
void rp_cluster_link(struct rp_cluster *cluster, struct rp_machine *machine);
/** Takes the machine out of the list and the table. */
void rp_cluster_unlink(struct rp_cluster *cluster, struct rp_machine *machine);

#endif
