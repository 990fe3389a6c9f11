/** @file
 * Reconciliation with the cloud. The cloud's list of machines shows which machines failed or were
 * terminated, and which orphans exist that no record names; the cloud's catalog has the current
 * prices. The list lags behind and versions of the list arrive out of order, so a machine's absence
 * alone proves nothing: a machine that the list lacks is released, and only the response to its
 * deletion proves that it is terminated.
 *
 * Called by the fleet in each tick of a provable leadership. */
#ifndef RP_CLUSTER_RECONCILIATION_H
#define RP_CLUSTER_RECONCILIATION_H

#include "cluster/release.h"

/** The state of reading the cloud's list and catalog. */
struct rp_reconciliation {
    struct rp_fleet_context *context;
    struct rp_provisioning *provisioning; /* borrowed */
    struct rp_release *release;           /* borrowed */
    bool list_in_flight;
    struct timespec next_list_at;
    char list_after[RP_TEXT_MAX]; /* name of the last machine on the pages of the list read so far;
                                     "": no page has been read */
    struct timespec next_prices_at;
};

/** All pointers are borrowed and must outlive the reconciliation. */
void rp_reconciliation_init(struct rp_reconciliation *reconciliation,
                            struct rp_fleet_context *context, struct rp_provisioning *provisioning,
                            struct rp_release *release);
/** Called when a term ends. Responses to calls in flight are discarded because the context's
 * generation has changed. */
void rp_reconciliation_clear(struct rp_reconciliation *reconciliation);
/** Called when a term begins: makes the request for the cloud's list due at once. */
void rp_reconciliation_start(struct rp_reconciliation *reconciliation);
/** Requests the list and the catalog's prices when they are due. */
void rp_reconciliation_step(struct rp_reconciliation *reconciliation);

#endif
