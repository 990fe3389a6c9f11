/** @file
 * The state of a leader's scheduler that its modules share. cycle.h has the operations on the
 * scheduler as a whole. */
#ifndef RP_SCHEDULER_SCHEDULER_H
#define RP_SCHEDULER_SCHEDULER_H

#include "base/metrics.h"
#include "cluster/fleet.h"
#include "scheduler/activity.h"
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
    unsigned long n_wins[RP_HEURISTICS_MAX];
    unsigned long n_cycles, n_preempted;
    unsigned long n_over_bounds; /* cycles whose jobs may have needed more groups than the input may
                                    hold, so that some were left out */
    unsigned long n_machines_examined; /* machines examined by the winning plans */
    struct timespec last_cycle_at;
    struct timespec replicas_moved_at; /* when draining of a machine with replicas last began */
    /* For each machine type, the resources that GPU work takes of a machine that it fills. */
    struct rp_resources full_gpu_work[RP_TYPES_MAX];
    /* Whether some work cannot meet its objectives, as of the last plan: [0] without GPUs, [1] with
     * GPUs. */
    bool short_of_capacity[2];
    struct rp_activity activities[RP_ACTIVITY_KINDS];
    double last_cycle_duration_s; /* duration of the last cycle that applied a plan */
    struct rp_timer timer;
    bool active;
};

/** The catalog of machine types. */
static inline const struct rp_catalog *rp_scheduler_catalog(const struct rp_scheduler *scheduler) {
    return scheduler->fleet->context.catalog;
}

#endif
