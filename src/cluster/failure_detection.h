/** @file
 * Failure detection: infers the cause of missing heartbeats. A single silent machine may have
 * failed. If most machines of a zone fall silent together, the zone is partitioned from this node.
 * If nearly all machines are silent, this node is the one that is partitioned from them, although
 * the key-value store still renews its lease.
 *
 * The fleet calls rp_failure_detector_observe once in each tick of a provable leadership; the
 * release policy, the scheduler and the service controller use the results. This module changes no
 * machine. */
#ifndef RP_CLUSTER_FAILURE_DETECTION_H
#define RP_CLUSTER_FAILURE_DETECTION_H

#include "cluster/fleet_context.h"

/** What has been observed in this term. An instant of zero means that the member's event has not
 * been observed. */
struct rp_failure_detector {
    const struct rp_fleet_context *context;
    /* Since when leadership has been provable; zero: it is not provable now. */
    struct timespec proven_since;
    /* Since when most machines have been silent while leadership was provable; zero: most machines
     * report, or leadership is not proven. */
    struct timespec isolated_since;
    unsigned n_silent_ticks; /* consecutive ticks without any heartbeat, though many were due */
    bool is_node_suspected;  /* many machines are silent: this node may be at fault */
    uint32_t silent_zones;   /* bit set: most machines of the zone are silent */
    /* When most of the zone's machines were last silent. */
    struct timespec zone_silent_at[RP_ZONES_MAX];
    /* When many machines were last in RP_MACHINE_LOST at the same time. */
    struct timespec mass_loss_at;
};

/** Initializes the detector without observations; the context is borrowed. */
void rp_failure_detector_init(struct rp_failure_detector *detector,
                              const struct rp_fleet_context *context);
/** Resets all observations; called when a term begins or ends. */
void rp_failure_detector_clear(struct rp_failure_detector *detector);
/** Called in a tick in which leadership is not provable: restarts the time for which leadership
 * must have been provable before the leader counts as isolated. */
void rp_failure_detector_on_lease_unproven(struct rp_failure_detector *detector);
/** Updates the observations from all machines; called in each tick while leadership is provable. */
void rp_failure_detector_observe(struct rp_failure_detector *detector, struct timespec now);
/** Whether the leader is partitioned from the workers and has to resign, so that another node can
 * lead. */
bool rp_failure_detector_is_leader_isolated(const struct rp_failure_detector *detector,
                                            struct timespec now);
/** Whether most machines of the zone are silent; false for an unknown zone, whose index is below
 * 0. */
bool rp_failure_detector_is_zone_silent(const struct rp_failure_detector *detector, int zone);
/** Whether, within the last PARTITION_RECOVERY_S seconds (failure_detection.c), most machines of
 * this machine's zone were silent, or many machines were lost at the same time. This indicates a
 * network partition: after its end, the partitioned machines report again one by one. */
bool rp_failure_detector_was_partitioned(const struct rp_failure_detector *detector,
                                         const struct rp_machine *machine, struct timespec now);
/** Whether the machine, which is not booting, has missed a heartbeat. */
bool rp_failure_is_machine_silent(const struct rp_fleet_context *context,
                                  const struct rp_machine *machine, struct timespec now);
/** For how long, in seconds, nothing has shown that the machine receives this leader's answers; 0
 * if the machine receives them. */
double rp_failure_answers_lost_s(const struct rp_machine *machine, struct timespec now);

#endif
