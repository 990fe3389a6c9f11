/** @file
 * Scale out: makes provision requests, for machines that are wanted and for machines that are there
 * without a record. What becomes of a request is up to the provisioning. Called by the fleet and by
 * the reconciliation. */
#ifndef RP_CLUSTER_SCALE_OUT_H
#define RP_CLUSTER_SCALE_OUT_H

#include "cluster/provisioning.h"

/** Asks for at most `count` machines of a kind of the catalog; fewer than wanted when one request,
 * or its record, can't take as many. */
void rp_scale_out(struct rp_provisioning *provisioning, int type, int zone, bool spot,
                  unsigned count);
/** Gives a machine that no record names a request of its own, so that the next leader knows of it.
 * Nothing is done for one that has a request, or is of no type and zone of the catalog. */
void rp_scale_out_adopt(struct rp_provisioning *provisioning, struct rp_machine *machine);
/** Machines asked for whose names aren't known yet. */
unsigned rp_scale_out_n_requested(const struct rp_provisioning *provisioning, int type, int zone,
                                  bool spot);

#endif
