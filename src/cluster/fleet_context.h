/** @file
 * Data shared by the parts of the fleet: the modules that they call, and the current term. The
 * fleet (fleet.h) owns it; provisioning, release, reconciliation and failure detection keep a
 * pointer. */
#ifndef RP_CLUSTER_FLEET_CONTEXT_H
#define RP_CLUSTER_FLEET_CONTEXT_H

#include "cloud/cloud_client.h"
#include "cluster/cluster.h"
#include "cluster/tombstones.h"
#include "upgrade/format_upgrade.h"

/** The shared data; all pointers are borrowed. */
struct rp_fleet_context {
    struct rp_loop *loop;
    struct rp_cloud_client *cloud;
    struct rp_kv_client *store;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    const struct rp_settings *settings;
    struct rp_catalog *catalog;
    struct rp_tombstones tombstones; /* names of machines released by this process, in any term */
    /* Incremented whenever the fleet is cleared; responses to calls of an earlier generation are
     * discarded. */
    unsigned long generation;
    struct timespec led_since; /* when the loading of this term's records was complete */
    bool is_cloud_responding;  /* the newest list or deletion of this term got a response other than
                                  that of an outage; false until the first response */
    /** Called when machines or capacity have changed; NULL: no call. */
    void (*on_changed)(void *arg);
    void *on_changed_arg;
};

/** Records the status of the response to a list or a deletion; 0: none. */
static inline void rp_fleet_context_on_cloud_status(struct rp_fleet_context *context, int status) {
    context->is_cloud_responding = status != 0 && status != RP_CLOUD_STATUS_OUTAGE;
}

/** Notifies the fleet's owner that machines or capacity have changed. */
static inline void rp_fleet_context_notify(const struct rp_fleet_context *context) {
    if (context->on_changed)
        context->on_changed(context->on_changed_arg);
}

#endif
