/** @file
 * Decides when the leader runs a scheduling cycle because capacity was freed or work arrived. The
 * scheduler runs a cycle every `round_period_s` seconds by its own timer (scheduler/cycle.h); this
 * module runs additional cycles in between. The interval between cycles grows with the time that a
 * cycle takes, so that scheduling uses a bounded share of the processor, and one cycle handles all
 * changes since the previous cycle.
 *
 * The node (node.h) calls rp_cycle_trigger_on_capacity_freed when a module reports a change, and
 * stops the trigger whenever the node's state changes. No cycle is run unless the node leads. */
#ifndef RP_CONTROLLER_CYCLE_TRIGGER_H
#define RP_CONTROLLER_CYCLE_TRIGGER_H

#include "controller/node_state.h"
#include "scheduler/scheduler.h"
#include "worker/workers.h"

/** The trigger, with the parts of the node that a cycle uses, which outlive the trigger. */
struct rp_cycle_trigger {
    struct rp_loop *loop;
    const struct rp_settings *settings;
    const enum rp_node_state *node_state;
    struct rp_scheduler *scheduler;
    struct rp_services *services;
    struct rp_workers *workers;
    /* Set while a requested cycle waits until the required interval since the last cycle has
     * passed. */
    struct rp_timer timer;
};

/** Initializes the trigger without setting its timer. The parts of the node that it refers to must
 * outlive it. */
void rp_cycle_trigger_init(struct rp_cycle_trigger *trigger, struct rp_loop *loop,
                           const struct rp_settings *settings, const enum rp_node_state *node_state,
                           struct rp_scheduler *scheduler, struct rp_services *services,
                           struct rp_workers *workers);
/** Handles a change that a cycle could use: places replicas of services at once, and runs a cycle
 * now or as soon as the required interval since the last cycle has passed. Returns true when
 * answers to workers need not wait for a cycle: a cycle was run, no cycle will be run, or the next
 * cycle would run too late. */
bool rp_cycle_trigger_on_capacity_freed(struct rp_cycle_trigger *trigger);
/** Cancels the requested cycle, if any. */
void rp_cycle_trigger_stop(struct rp_cycle_trigger *trigger);

#endif
