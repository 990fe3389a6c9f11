/** @file
 * Kinds of machines (type, zone, spot or ordinary) that the cloud has refused for lack of capacity.
 *
 * Each try costs a call to the cloud and two changes in the key-value store, and until it is
 * answered its machines take up planned tasks. So a kind that goes on being refused is tried ever
 * more rarely; one of whose machines has been terminated may be tried at once. Owned by the
 * provisioning of machines. */
#ifndef RP_CLUSTER_CAPACITY_REFUSAL_H
#define RP_CLUSTER_CAPACITY_REFUSAL_H

#include <stdbool.h>
#include "base/timeutil.h"
#include "model/catalog.h"

/** A kind's refusal. */
struct rp_capacity_refusal {
    struct timespec until; /* the kind isn't asked for before */
    double backoff_s;      /* grows while the kind goes on being refused; 0: it isn't */
};

/** All refusals of a term. Indices are those of the catalog; the last one is 1 for spot machines.
 */
struct rp_capacity_refusals {
    struct rp_capacity_refusal kinds[RP_TYPES_MAX][RP_ZONES_MAX][2];
    unsigned long n_refused; /* since the process began */
};

/** Forgets all refusals, but not how many there were. */
void rp_capacity_refusals_clear(struct rp_capacity_refusals *refusals);
/** The cloud has refused the kind. `first_backoff_s` is the backoff after a first refusal. A type
 * or zone below 0, which the catalog doesn't have, is ignored. Returns whether it was noted. */
bool rp_capacity_refusals_note(struct rp_capacity_refusals *refusals, int type, int zone, bool spot,
                               double first_backoff_s, struct timespec now);
/** A machine of the kind has been terminated: the cloud may have one again. A type or zone below 0
 * is ignored. */
void rp_capacity_refusals_forget(struct rp_capacity_refusals *refusals, int type, int zone,
                                 bool spot);
/** Whether the kind is not to be asked for now. Type and zone must be in the catalog. */
bool rp_capacity_refusals_has(const struct rp_capacity_refusals *refusals, int type, int zone,
                              bool spot, struct timespec now);

#endif
