/** @file
 * The release policy decides in each tick which machines become lost and which are released:
 * machines that were silent until their lease expired, that never came up, that receive no answers,
 * that the cloud reclaims, that are quarantined, or that have been drained. Idle machines that are
 * no longer needed are released by the scheduler.
 *
 * Called by the fleet in each tick of a provable leadership. */
#ifndef RP_CLUSTER_RELEASE_POLICY_H
#define RP_CLUSTER_RELEASE_POLICY_H

#include "cluster/failure_detection.h"
#include "cluster/release.h"

/** Applies the policy to every machine. Returns whether any machine became lost. */
bool rp_release_policy_apply(const struct rp_failure_detector *detector, struct rp_release *release,
                             struct timespec now);

#endif
