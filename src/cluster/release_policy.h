/** @file
 * Which machines are lost, and which are given back, as time goes by: machines that are silent
 * beyond their lease, that never came up, that get no answers, that the cloud takes away, that are
 * quarantined, or that have been drained. The scheduler releases idle machines by itself.
 *
 * Called by the fleet in each tick of a provable leadership. */
#ifndef RP_CLUSTER_RELEASE_POLICY_H
#define RP_CLUSTER_RELEASE_POLICY_H

#include "cluster/failure_detection.h"
#include "cluster/release.h"

/** Looks at every machine. Returns whether any was lost. */
bool rp_release_policy_apply(const struct rp_failure_detector *detector, struct rp_release *release,
                             struct timespec now);

#endif
