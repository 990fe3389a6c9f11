/** @file
 * What all modules of this directory share: the parts of the node that they use, their counters,
 * and the call-back that asks for a scheduling cycle. Filled by the controller, owned by struct
 * rp_workers (workers.h), alive as long as the node. */
#ifndef RP_WORKER_WORKER_CONTEXT_H
#define RP_WORKER_WORKER_CONTEXT_H

#include "base/metrics.h"
#include "base/net.h"
#include "cluster/cluster.h"
#include "cluster/fleet.h"

/** Counted since the process began; shown in /status. */
struct rp_worker_counters {
    unsigned long n_starts;              /* start commands, directly or with an answer */
    unsigned long n_stale_heartbeats;    /* heartbeats older than what is known */
    unsigned long n_direct_commands;     /* messages to POST /do, without those that fence */
    unsigned long n_direct_unanswered;   /* of them those without a readable response */
    unsigned long n_unknown_tasks_above; /* tasks beyond RP_UNKNOWN_TASKS_MAX on a machine */
};

/** Passed to every function of this directory. The pointers are borrowed and never NULL. */
struct rp_worker_context {
    struct rp_loop *loop;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    struct rp_fleet *fleet;
    const struct rp_settings *settings;
    struct rp_metrics *metrics;
    struct rp_net net;
    struct rp_worker_counters counters;
    /** Tasks of arrays that may still be started by direct commands in this term. */
    unsigned n_direct_array_starts_left;
    /** Capacity was freed. True: there is no cycle to wait for; false: one comes within a moment,
     * and calls rp_workers_answer_pending. NULL: nobody wants to know. */
    bool (*on_capacity_freed)(void *arg);
    void *arg; /* of on_capacity_freed */
};

/** Tells the scheduler that capacity was freed. Returns whether there is no cycle to wait for.
 * A cycle may run inside this call and remove allocations. */
static inline bool rp_worker_notify_capacity_freed(const struct rp_worker_context *context) {
    return !context->on_capacity_freed || context->on_capacity_freed(context->arg);
}

#endif
