/** @file
 * Loads the provision requests' records for a new leader: every machine that a record names may
 * hold tasks (docs/safety.md, "A new leader"). Called by the fleet when a term begins. */
#ifndef RP_CLUSTER_PROVISION_LOADING_H
#define RP_CLUSTER_PROVISION_LOADING_H

#include "cluster/provisioning.h"

/** Called when the loading ends; `is_loaded` is false if a page of records could not be read, so
 * that the list of requests is incomplete. */
typedef void (*rp_provision_loaded_fn)(void *arg, bool is_loaded);

/** Loads all records into the provisioning, which must have been cleared, and their machines into
 * the cluster state. `on_loaded` is not called if the provisioning is cleared before the loading
 * ends. */
void rp_provision_load(struct rp_provisioning *provisioning, rp_provision_loaded_fn on_loaded,
                       void *arg);

#endif
