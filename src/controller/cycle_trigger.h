/** @file
 * When the leader runs a scheduling cycle because capacity was freed or work arrived. The scheduler
 * runs one every `round_period_s` by its own timer (scheduler/cycle.h); here are those in between.
 * They keep a distance that grows with the time a cycle takes, so that scheduling uses a bounded
 * share of the processor, and one cycle serves everything that happened since the one before.
 *
 * The node (node.h) calls on_capacity_freed when a module reports a change, and stops the trigger
 * with each change of its state. No cycle is run unless the node leads. */
#ifndef RP_CONTROLLER_CYCLE_TRIGGER_H
#define RP_CONTROLLER_CYCLE_TRIGGER_H

#include "controller/node_state.h"
#include "scheduler/scheduler.h"
#include "worker/workers.h"

/** The parts that a cycle touches; all of them are the node's and outlive the trigger. */
struct rp_cycle_trigger {
    struct rp_loop *loop;
    const struct rp_settings *settings;
    const enum rp_node_state *node_state;
    struct rp_scheduler *scheduler;
    struct rp_services *services;
    struct rp_workers *workers;
    struct rp_timer timer; /* set while a cycle is due but has to keep its distance */
};

/** Sets the trigger up, without a timer; it refers to parts of the node that outlive it. */
void rp_cycle_trigger_init(struct rp_cycle_trigger *trigger, struct rp_loop *loop,
                           const struct rp_settings *settings, const enum rp_node_state *node_state,
                           struct rp_scheduler *scheduler, struct rp_services *services,
                           struct rp_workers *workers);
/** Something changed that a cycle could use: places replicas of services at once, and runs a cycle
 * now or as soon as its distance to the last one allows. Returns true when answers to workers have
 * no cycle to wait for: one was run, none will be, or it is too far off. */
bool rp_cycle_trigger_on_capacity_freed(struct rp_cycle_trigger *trigger);
/** Cancels the cycle that is due, if any. */
void rp_cycle_trigger_stop(struct rp_cycle_trigger *trigger);

#endif
