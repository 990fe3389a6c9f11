/** @file
 * The scheduler of a leader: what its modules share. cycle.h has the operations on it as a whole.
 */
#ifndef RP_SCHEDULER_SCHEDULER_H
#define RP_SCHEDULER_SCHEDULER_H

#include "base/metrics.h"
#include "cluster/fleet.h"
#include "scheduler/planner.h"
#include "scheduler/services.h"

/** What the scheduler keeps from cycle to cycle; owned by the node. */
struct rp_scheduler {
    struct rp_loop *loop;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    struct rp_fleet *fleet;
    struct rp_services *services;
    const struct rp_settings *settings;
    struct rp_metrics *metrics;
    struct rp_heuristic heuristics[RP_HEURISTICS_MAX];
    size_t n_heuristics;
    unsigned long wins[RP_HEURISTICS_MAX];
    unsigned long n_cycles, n_preempted;
    unsigned long n_over_bounds; /* cycles that left jobs out */
    unsigned long n_probes;      /* machines looked at by plans */
    struct timespec last_cycle_at;
    struct timespec replicas_moved_at; /* when a machine with replicas was last drained */
    struct rp_resources
        full_gpu_work[RP_TYPES_MAX]; /* what its GPU work takes of a type when full */
    bool short_of_capacity[2];       /* as the last plan said */
    double last_cycle_s;             /* the last cycle's own time */
    struct rp_timer timer;
    bool active;
};

/** The catalog of machine types. */
static inline const struct rp_catalog *rp_scheduler_catalog(const struct rp_scheduler *scheduler) {
    return scheduler->fleet->context.catalog;
}

#endif
