/** @file
 * A new leader reads the provision requests' records: every machine that one names may hold tasks
 * (docs/safety.md, "A new leader"). Called by the fleet when a term begins. */
#ifndef RP_CLUSTER_PROVISION_LOADING_H
#define RP_CLUSTER_PROVISION_LOADING_H

#include "cluster/provisioning.h"

/** The records have been read; not `is_loaded`: a page couldn't be read, and the table is
 * incomplete. */
typedef void (*rp_provision_loaded_fn)(void *arg, bool is_loaded);

/** Reads all records into the provisioning, which must have been cleared, and their machines into
 * the cluster state. Nothing is called once the provisioning is cleared meanwhile. */
void rp_provision_load(struct rp_provisioning *provisioning, rp_provision_loaded_fn on_loaded,
                       void *arg);

#endif
