/** @file
 * Scale in: machines in RP_MACHINE_RELEASING are given back to the cloud, up to 100 with a call,
 * until it answers 200. Only that answer makes it certain that a machine is terminated, and with it
 * every task on it; the machine then leaves the cluster state and gets a tombstone.
 *
 * Called by the fleet, the release policy and the reconciliation. */
#ifndef RP_CLUSTER_RELEASE_H
#define RP_CLUSTER_RELEASE_H

#include "cluster/fleet_context.h"
#include "cluster/provisioning.h"

/** The release of machines. */
struct rp_release {
    struct rp_fleet_context *context;
    struct rp_provisioning *provisioning; /* borrowed */
    bool delete_in_flight;                /* one call to the cloud at a time */
    unsigned long n_released;             /* machines since the process began */
};

/** Context and provisioning are borrowed. */
void rp_release_init(struct rp_release *release, struct rp_fleet_context *context,
                     struct rp_provisioning *provisioning);
/** A term has ended; answers under way are dropped by the context's generation. */
void rp_release_clear(struct rp_release *release);
/** Gives the machine back. `reason` is a word for the log. Nothing is done for a machine that is
 * being released already. */
void rp_release_machine(struct rp_release *release, struct rp_machine *machine, const char *reason);
/** Asks the cloud to delete releasing machines that it hasn't been asked for; called in every tick.
 */
void rp_release_step(struct rp_release *release);

#endif
