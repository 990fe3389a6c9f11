/** @file
 * Kinds of machines (type, zone, spot or on-demand) that the cloud refused for lack of capacity.
 *
 * Each provision request costs a call to the cloud and two writes to the key-value store, and until
 * the cloud responds to the request, tasks are planned onto the requested machines. A kind that is
 * refused repeatedly is therefore requested with a growing backoff; a kind of which a machine has
 * been terminated may be requested at once. Owned by provisioning (provisioning.h). */
#ifndef RP_CLUSTER_CAPACITY_REFUSAL_H
#define RP_CLUSTER_CAPACITY_REFUSAL_H

#include <stdbool.h>
#include "base/timeutil.h"
#include "model/catalog.h"

/** The refusal of one kind of machine. */
struct rp_capacity_refusal {
    struct timespec until; /* the kind is not requested before this instant */
    double backoff_s; /* seconds between refusal and `until`; grows with repeated refusals; 0: the
                         kind is not refused */
};

/** The refusals of all kinds of machines in a term. */
struct rp_capacity_refusals {
    /* Indexed by the catalog's indices of type and zone, and by 1 for spot machines, else 0. */
    struct rp_capacity_refusal kinds[RP_TYPES_MAX][RP_ZONES_MAX][2];
    unsigned long n_refused; /* number of refusals since the process started */
};

/** Removes all refusals, but keeps n_refused. */
void rp_capacity_refusals_clear(struct rp_capacity_refusals *refusals);
/** Records that the cloud has refused the kind: starts or extends its backoff. `first_backoff_s` is
 * the backoff after the kind's first refusal. A type or zone below 0, which the catalog does not
 * have, is ignored. Returns whether the refusal was recorded. */
bool rp_capacity_refusals_record(struct rp_capacity_refusals *refusals, int type, int zone,
                                 bool spot, double first_backoff_s, struct timespec now);
/** Removes the kind's refusal and so ends its backoff. Called when a machine of the kind has been
 * terminated, because the cloud may then have capacity again. A type or zone below 0 is ignored. */
void rp_capacity_refusals_remove(struct rp_capacity_refusals *refusals, int type, int zone,
                                 bool spot);
/** Whether the kind must not be requested now. Type and zone must be in the catalog. */
bool rp_capacity_refusals_has(const struct rp_capacity_refusals *refusals, int type, int zone,
                              bool spot, struct timespec now);

#endif
