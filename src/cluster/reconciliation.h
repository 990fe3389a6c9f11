/** @file
 * Reconciliation with the cloud: its list of machines tells of those that failed or are terminated,
 * and of strays that no record names; its catalog tells today's prices. The list lags behind and
 * comes out of order, so it decides nothing alone: a machine that it lacks is released, and the
 * deletion's answer makes it certain.
 *
 * Called by the fleet in each tick of a provable leadership. */
#ifndef RP_CLUSTER_RECONCILIATION_H
#define RP_CLUSTER_RECONCILIATION_H

#include "cluster/release.h"

/** The reading of the cloud's list and catalog. */
struct rp_reconciliation {
    struct rp_fleet_context *context;
    struct rp_provisioning *provisioning; /* borrowed, as the next one */
    struct rp_release *release;
    bool list_in_flight;
    struct timespec next_list_at;
    char list_after[RP_TEXT_MAX]; /* the last machine of the pages read; "": the first page */
    struct timespec next_prices_at;
};

/** All are borrowed. */
void rp_reconciliation_init(struct rp_reconciliation *reconciliation,
                            struct rp_fleet_context *context, struct rp_provisioning *provisioning,
                            struct rp_release *release);
/** A term has ended; answers under way are dropped by the context's generation. */
void rp_reconciliation_clear(struct rp_reconciliation *reconciliation);
/** A term begins: the list is due at once. */
void rp_reconciliation_start(struct rp_reconciliation *reconciliation);
/** Asks for the list and for the catalog's prices when they are due. */
void rp_reconciliation_step(struct rp_reconciliation *reconciliation);

#endif
