/** @file
 * The leader's scheduling cycle: builds the planner's input, runs the portfolio of heuristics,
 * applies the winning plan and scales idle machines in. */
#ifndef RP_SCHEDULER_CYCLE_H
#define RP_SCHEDULER_CYCLE_H

#include "scheduler/scheduler.h"

/** Prepares the scheduler with the heuristics that the settings name; no cycle runs before
 * rp_scheduler_start. The objects that the parameters point to must outlive the scheduler. */
void rp_scheduler_init(struct rp_scheduler *scheduler, struct rp_loop *loop,
                       struct rp_election *election, struct rp_cluster *cluster,
                       struct rp_jobs *jobs, struct rp_fleet *fleet, struct rp_services *services,
                       const struct rp_settings *settings, struct rp_metrics *metrics);
/** Called when this node becomes the leader: cycles run periodically from then on. */
void rp_scheduler_start(struct rp_scheduler *scheduler);
/** Called when this node is no longer the leader: no cycle runs after this call. */
void rp_scheduler_stop(struct rp_scheduler *scheduler);
/** Runs one cycle now, unless this node's leadership cannot be proven or no tasks may be started
 * yet. */
void rp_scheduler_run_cycle(struct rp_scheduler *scheduler);

#endif
