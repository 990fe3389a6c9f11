/** @file
 * What the parts of the fleet share: whom they talk to, and the term that they work for. The fleet
 * (fleet.h) owns it; provisioning, release, reconciliation and failure detection keep a pointer. */
#ifndef RP_CLUSTER_FLEET_CONTEXT_H
#define RP_CLUSTER_FLEET_CONTEXT_H

#include "cloud/cloud_client.h"
#include "cluster/cluster.h"
#include "cluster/tombstones.h"

/** The fleet's surroundings; all pointers are borrowed. */
struct rp_fleet_context {
    struct rp_loop *loop;
    struct rp_cloud_client *cloud;
    struct rp_kv_client *store;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    const struct rp_settings *settings;
    struct rp_catalog *catalog;
    struct rp_tombstones tombstones; /* outlive a term */
    /* Grows whenever the fleet is cleared: answers to calls of an earlier one are dropped. */
    unsigned long generation;
    struct timespec led_since; /* when this term's records had been loaded */
    /** Machines or capacity have changed; NULL: nobody wants to know. */
    void (*on_changed)(void *arg);
    void *on_changed_arg;
};

/** Tells the fleet's owner that machines or capacity have changed. */
static inline void rp_fleet_context_notify(const struct rp_fleet_context *context) {
    if (context->on_changed)
        context->on_changed(context->on_changed_arg);
}

#endif
