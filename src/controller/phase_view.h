/** @file
 * What this node knows about which jobs have running tasks. The leader has it from its cluster
 * state. Another node polls the leader every two seconds, and at once when a user's query needs a
 * newer snapshot; while the leader does not respond, it reads the leader's records in the
 * key-value store (phase_report.h). What is too old is not used: the phase of a job is then
 * undetermined, and no user is told one (docs/safety.md, "What a node tells about a job").
 *
 * The polls also check whether the leader is alive: their results are passed to the election, which
 * decides by them whether workers may be redirected to the leader. The node (node.h) starts and
 * stops the polls; the users' interface reads the phases. */
#ifndef RP_CONTROLLER_PHASE_VIEW_H
#define RP_CONTROLLER_PHASE_VIEW_H

#include "base/net.h"
#include "cluster/cluster_state.h"
#include "controller/phase_report.h"
#include "protocol/phase_codec.h"

/** The snapshot received last; the parts that it refers to belong to the node. */
struct rp_phase_view {
    struct rp_loop *loop;
    struct rp_net net;
    struct rp_kv_client *store;
    const struct rp_settings *settings;
    struct rp_election *election;
    struct rp_cluster *cluster;
    const struct rp_phase_report *report; /* of this node, for when it leads */
    struct rp_timer timer;
    struct rp_phase_snapshot snapshot;
    struct timespec as_of; /* the snapshot is not older than this instant; zero: there is none */
    /* The poll in flight, or the last one. */
    struct timespec polled_at;
    bool poll_in_flight;
    bool has_poll_failed;
    bool was_poll_late;           /* the response to the last poll was late, or there was none */
    char old_leader[RP_TEXT_MAX]; /* leader of a version that refuses polls with a name; "": none */
    /* The read of the records in flight, or the last one. */
    struct timespec records_read_at;
    bool records_read_in_flight;
};

/** Initializes the module without starting the polls. */
void rp_phase_view_init(struct rp_phase_view *view, struct rp_loop *loop, struct rp_net net,
                        struct rp_kv_client *store, const struct rp_settings *settings,
                        struct rp_election *election, struct rp_cluster *cluster,
                        const struct rp_phase_report *report);
/** Starts to poll the leader, which happens only while this node follows. */
void rp_phase_view_start(struct rp_phase_view *view);
/** Stops the polls and frees the snapshot. */
void rp_phase_view_close(struct rp_phase_view *view);
/** Fills in the phase and the counts of the open job `status->id`. If the phase is
 * RP_JOB_UNDETERMINED, a newer snapshot is on its way: ask again a little later. `view` is a struct
 * rp_phase_view; the parameter's type is the one that struct rp_user_api requires. */
void rp_phase_view_read(void *view, struct rp_job_status *status);

#endif
