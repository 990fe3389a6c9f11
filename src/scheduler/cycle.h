/** @file
 * The leader's scheduling cycle: builds the planner's input, runs the portfolio of heuristics,
 * applies the winning plan and scales idle machines in. */
#ifndef RP_SCHEDULER_CYCLE_H
#define RP_SCHEDULER_CYCLE_H

#include "scheduler/scheduler.h"

/** Prepares the scheduler, with the heuristics that the settings name; no cycle runs before
 * rp_scheduler_start. What the parameters point to must outlive it. */
void rp_scheduler_init(struct rp_scheduler *scheduler, struct rp_loop *loop,
                       struct rp_election *election, struct rp_cluster *cluster,
                       struct rp_jobs *jobs, struct rp_fleet *fleet, struct rp_services *services,
                       const struct rp_settings *settings, struct rp_metrics *metrics);
/** This node leads: cycles run periodically. */
void rp_scheduler_start(struct rp_scheduler *scheduler);
/** This node leads no more. */
void rp_scheduler_stop(struct rp_scheduler *scheduler);
/** Runs one cycle now, if this node may act. */
void rp_scheduler_run_cycle(struct rp_scheduler *scheduler);

#endif
