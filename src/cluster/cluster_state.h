/** @file
 * The leader's cluster state: all machines, and counts over all of them. This module has the data,
 * the list of machines and the hash table of their names. Other directories include
 * cluster/cluster.h, which has all operations on the cluster state.
 *
 * Invariants: the list preserves the order in which machines were added, because scheduling depends
 * on it; names are unique; team_cpus and team_gpus are the sums over all counted allocations. */
#ifndef RP_CLUSTER_CLUSTER_STATE_H
#define RP_CLUSTER_CLUSTER_STATE_H

#include "cluster/machine.h"

/** Number of buckets of the hash table of names: about two for each of the at most 4,028 machines
 * expected. */
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
    /* Machines that may hold unreported tasks of an earlier leader; valid unless unreconciled_stale
     * is set. */
    struct rp_machine **unreconciled;
    size_t n_unreconciled, cap_unreconciled;
    bool unreconciled_stale;
    /* Number of machines that hold unknown tasks (unknown_tasks.h) that have not exited. */
    size_t n_machines_with_unknown_tasks;
    struct timespec phases_surveyed_at; /* newest survey (job_phase.h); zero: none */
    size_t n_phase_gaps;                /* jobs whose phase the newest survey did not show */
    double longest_phase_gap_s;
    double *team_cpus, *team_gpus; /* resources of each team's counted allocations */
    uint64_t fencing_token;
    uint64_t attempt_base, attempt_next;
    unsigned n_failed_direct_starts; /* replicas that were started directly and failed, in the term;
                                        their workers list them until its end */
    /** Called when a machine's address or incarnation has changed, when the machine's release
     * begins, and when the machine is removed (`terminated`); NULL: no call. */
    void (*on_machine_changed)(void *arg, const struct rp_machine *machine, bool terminated);
    void *on_machine_changed_arg;
};

/** The machine of this name; NULL if there is none. */
struct rp_machine *rp_machine_find(const struct rp_cluster *cluster, const char *name);
/** Appends a machine, whose name must be set and new, to the list and the hash table. */
void rp_cluster_link(struct rp_cluster *cluster, struct rp_machine *machine);
/** Removes the machine from the list and the hash table. */
void rp_cluster_unlink(struct rp_cluster *cluster, struct rp_machine *machine);

#endif
