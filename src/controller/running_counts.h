/** @file
 * Counts, for display to users, how many tasks of each open job are done and how many run. Only the
 * leader has the counts; the other nodes poll the leader every two seconds and show the counts of
 * its last response. A count may be two seconds old, and no decision depends on it.
 *
 * The poll also checks whether the leader is alive: its success or failure is passed to the
 * election, which uses it to decide whether workers may be redirected to the leader. The node
 * (node.h) starts and stops the polls, node_requests.c answers the polls of other nodes, and the
 * users' interface reads the counts. */
#ifndef RP_CONTROLLER_RUNNING_COUNTS_H
#define RP_CONTROLLER_RUNNING_COUNTS_H

#include "base/net.h"
#include "controller/node_state.h"
#include "election/election.h"
#include "jobs/jobs.h"

/** The path on the peers' port where the leader reports the counts. */
#define RP_PATH_RUNNING_COUNTS "/peer/summary"

/** The counts last received from the leader; the parts that it refers to belong to the node. */
struct rp_running_counts {
    struct rp_loop *loop;
    struct rp_net net;
    const struct rp_settings *settings;
    const enum rp_node_state *node_state;
    struct rp_election *election;
    const struct rp_jobs *jobs;
    struct rp_timer timer;
    struct timespec polled_at;
    struct rp_job_status *received; /* from the leader, sorted by id; owned */
    size_t n_received;
};

/** Initializes the module without starting the polls. */
void rp_running_counts_init(struct rp_running_counts *counts, struct rp_loop *loop,
                            struct rp_net net, const struct rp_settings *settings,
                            const enum rp_node_state *node_state, struct rp_election *election,
                            const struct rp_jobs *jobs);
/** Starts to poll the leader, which happens only while this node follows. */
void rp_running_counts_start(struct rp_running_counts *counts);
/** Stops the polls; the received counts are kept until rp_running_counts_free. */
void rp_running_counts_stop(struct rp_running_counts *counts);
/** Frees the received counts. */
void rp_running_counts_free(struct rp_running_counts *counts);
/** The leader's response to a poll: the counts of its job table as JSON, which the caller frees.
 * NULL when out of memory. */
char *rp_running_counts_json(const struct rp_running_counts *counts);
/** Fills in the phase and the counts of the open job `status->id`; counts that this node does not
 * have are zero. `running_counts` is a struct rp_running_counts; the parameter's type is the one
 * that struct rp_user_api requires. */
void rp_running_counts_fill(void *running_counts, struct rp_job_status *status);

#endif
