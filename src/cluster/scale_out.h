/** @file
 * Scale-out: creates provision requests, for machines that are required and for existing machines
 * that no record names. Provisioning performs the requests' further steps. Called by the fleet and
 * by the reconciliation. */
#ifndef RP_CLUSTER_SCALE_OUT_H
#define RP_CLUSTER_SCALE_OUT_H

#include "cluster/provisioning.h"

/** Requests at most `count` machines of a kind of the catalog; fewer if `count` exceeds the number
 * of machines that one request or one record may have. */
void rp_scale_out(struct rp_provisioning *provisioning, int type, int zone, bool spot,
                  unsigned count);
/** Creates a request for a machine that no record names, so that the next leader loads the machine.
 * Does nothing for a machine that has a request, or whose type or zone is not in the catalog. */
void rp_scale_out_adopt(struct rp_provisioning *provisioning, struct rp_machine *machine);
/** Number of machines of the kind that have been requested and whose names are not known yet. */
unsigned rp_scale_out_n_requested(const struct rp_provisioning *provisioning, int type, int zone,
                                  bool spot);

#endif
