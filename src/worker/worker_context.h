/** @file
 * The context that all modules of src/worker/ share: the parts of the node that these modules use,
 * their counters, and the call-back that requests a scheduling cycle. The controller fills it in,
 * struct rp_workers (workers.h) owns it, and it exists as long as the node does. */
#ifndef RP_WORKER_WORKER_CONTEXT_H
#define RP_WORKER_WORKER_CONTEXT_H

#include "base/metrics.h"
#include "base/net.h"
#include "cluster/cluster.h"
#include "cluster/fleet.h"

/** Counters since the process started, shown in /status. */
struct rp_worker_counters {
    /* Start commands sent, directly or in the answer to a heartbeat. */
    unsigned long n_starts;
    /* Heartbeats older than the newest one read from the machine. */
    unsigned long n_stale_heartbeats;
    /* POST /do messages sent, except those of worker fencing. */
    unsigned long n_direct_commands;
    /* Of the messages in n_direct_commands, those without a readable response. */
    unsigned long n_direct_unanswered;
    /* Tasks of unknown jobs beyond RP_UNKNOWN_TASKS_MAX on a machine. */
    unsigned long n_unknown_tasks_over_limit;
};

/** Passed to every function of this directory. The pointers to parts of the node are borrowed and
 * never NULL. */
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
    /** Number of array tasks that direct commands may still start in this term. */
    unsigned n_direct_array_starts_left;
    /** Called when capacity of a machine was freed. Returns true when an answer to a worker need
     * not wait for a scheduling cycle, and false when a cycle follows shortly, which calls
     * rp_workers_answer_pending. NULL: no cycle is requested, and no answer waits. */
    bool (*on_capacity_freed)(void *arg);
    void *arg; /* argument of on_capacity_freed */
};

/** Notifies the scheduler that capacity was freed. Returns whether an answer to a worker need not
 * wait for a scheduling cycle. A cycle may run inside this call and remove allocations. */
static inline bool rp_worker_notify_capacity_freed(const struct rp_worker_context *context) {
    return !context->on_capacity_freed || context->on_capacity_freed(context->arg);
}

#endif
