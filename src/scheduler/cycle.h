/** @file
 * The leader's scheduling cycle: builds the planner's input, runs the portfolio of heuristics,
 * applies the winning plan and scales idle machines in. */
#ifndef RP_SCHEDULER_CYCLE_H
#define RP_SCHEDULER_CYCLE_H

#include "scheduler/scheduler.h"

void rp_scheduler_init(struct rp_scheduler *scheduler, struct rp_loop *loop,
                       struct rp_election *election, struct rp_cluster *cluster,
                       struct rp_jobs *jobs, struct rp_fleet *fleet, struct rp_services *services,
                       const struct rp_settings *settings, struct rp_metrics *metrics);
void rp_scheduler_start(struct rp_scheduler *scheduler);
void rp_scheduler_stop(struct rp_scheduler *scheduler);
/** One round now. */
void rp_scheduler_run_cycle(struct rp_scheduler *scheduler);

#endif
