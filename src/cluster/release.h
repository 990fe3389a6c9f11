/** @file
 * Scale-in: machines in RP_MACHINE_RELEASING are deleted in the cloud, up to 100 per call; a
 * deletion is repeated until the cloud responds with 200. Only that response proves that a machine
 * is terminated, and with it every task on it; the machine is then removed from the cluster state
 * and gets a tombstone.
 *
 * Called by the fleet, the release policy and the reconciliation. */
#ifndef RP_CLUSTER_RELEASE_H
#define RP_CLUSTER_RELEASE_H

#include "cluster/fleet_context.h"
#include "cluster/provisioning.h"

/** The state of releasing machines. */
struct rp_release {
    struct rp_fleet_context *context;
    struct rp_provisioning *provisioning; /* borrowed */
    bool delete_in_flight;                /* at most one deletion call is in flight at a time */
    unsigned long n_released;             /* machines terminated since the process started */
};

/** Initializes the release of machines; context and provisioning are borrowed. */
void rp_release_init(struct rp_release *release, struct rp_fleet_context *context,
                     struct rp_provisioning *provisioning);
/** Called when a term ends. Responses to calls in flight are discarded because the context's
 * generation has changed. */
void rp_release_clear(struct rp_release *release);
/** Starts releasing the machine. `reason` is written to the log. Does nothing for a machine that is
 * being released already. */
void rp_release_machine(struct rp_release *release, struct rp_machine *machine, const char *reason);
/** Sends the cloud a deletion of the releasing machines for which no deletion is in flight; called
 * in every tick. */
void rp_release_step(struct rp_release *release);

#endif
