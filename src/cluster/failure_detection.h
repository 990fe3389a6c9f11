/** @file
 * Failure detection: what the silence of machines means. One machine may have died; most machines
 * of a zone that fall silent together are behind a cut; when nearly all are silent, this node is
 * the one that is cut off, though the key-value store still renews its lease.
 *
 * The fleet observes once in each tick of a provable leadership; the release policy, the scheduler
 * and the services ask. Nothing here changes a machine. */
#ifndef RP_CLUSTER_FAILURE_DETECTION_H
#define RP_CLUSTER_FAILURE_DETECTION_H

#include "cluster/fleet_context.h"

/** What has been observed in this term. A time of zero: never, or not now. */
struct rp_failure_detector {
    const struct rp_fleet_context *context;
    struct timespec proven_since;   /* leadership was provable ever since; zero: it isn't now */
    struct timespec isolated_since; /* most machines fell silent together; zero: they didn't */
    unsigned silent_ticks;          /* in a row without any heartbeat, though many were due */
    bool is_node_suspected;         /* so many machines are silent that the fault may be ours */
    uint32_t silent_zones;          /* bit set: most machines of the zone are silent */
    struct timespec zone_silent_at[RP_ZONES_MAX]; /* when they last were */
    struct timespec mass_loss_at;                 /* when a good part of the machines was lost */
};

/** The context is borrowed. */
void rp_failure_detector_init(struct rp_failure_detector *detector,
                              const struct rp_fleet_context *context);
/** Forgets all that was observed: a term ends or begins. */
void rp_failure_detector_clear(struct rp_failure_detector *detector);
/** Leadership isn't provable at the moment: what was observed proves nothing about the node. */
void rp_failure_detector_on_lease_unproven(struct rp_failure_detector *detector);
/** Looks at all machines; called in each tick while leadership is provable. */
void rp_failure_detector_observe(struct rp_failure_detector *detector, struct timespec now);
/** Whether the leader is cut off from the workers and has to leave the key to another node. */
bool rp_failure_detector_is_leader_isolated(const struct rp_failure_detector *detector,
                                            struct timespec now);
/** Whether most machines of the zone are silent; false for a zone below 0, an unknown one. */
bool rp_failure_detector_is_zone_silent(const struct rp_failure_detector *detector, int zone);
/** Whether the machine was lost with most of its zone, or many others, a moment ago: such a cut
 * ends, and its machines come back one by one. */
bool rp_failure_detector_was_partitioned(const struct rp_failure_detector *detector,
                                         const struct rp_machine *machine, struct timespec now);
/** Whether the machine, which has been up, has missed a heartbeat. */
bool rp_failure_is_machine_silent(const struct rp_fleet_context *context,
                                  const struct rp_machine *machine, struct timespec now);
/** For how long nothing has shown that the machine gets our answers; 0: it gets them. */
double rp_failure_answers_lost_s(const struct rp_machine *machine, struct timespec now);

#endif
