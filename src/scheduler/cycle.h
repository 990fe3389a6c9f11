/* The leader's round: builds the planner's input, runs the portfolio, applies the winner,
 * returns idle machines. */
#ifndef RP_ROUND_H
#define RP_ROUND_H

#include "cluster/fleet.h"
#include "base/metrics.h"
#include "scheduler/planner.h"
#include "scheduler/services.h"

struct rp_round {
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
    unsigned long n_rounds, n_preempted;
    unsigned long n_over_bounds; /* rounds that left jobs out */
    unsigned long n_looks;       /* machines looked at by plans */
    struct timespec last;
    struct timespec replicas_moved;          /* when a machine with replicas was last drained */
    struct rp_resources whole[RP_TYPES_MAX]; /* what its GPU work takes of a type when full */
    bool short_of_room[2];                   /* as the last plan said */
    double took_s;                           /* the last round's own time */
    struct rp_timer timer;
    bool active;
};

void rp_round_init(struct rp_round *scheduler, struct rp_loop *loop, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs, struct rp_fleet *fleet,
                   struct rp_services *services, const struct rp_settings *settings,
                   struct rp_metrics *metrics);
void rp_round_start(struct rp_round *scheduler);
void rp_round_stop(struct rp_round *scheduler);
/* One round now. */
void rp_round_run(struct rp_round *scheduler);
/* Seconds until the task's estimated end. */
double rp_allocation_left_s(const struct rp_round *scheduler, const struct rp_machine *machine,
                            const struct rp_allocation *allocation, struct timespec now);

#endif
