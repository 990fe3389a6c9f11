/** @file
 * How many tasks of each open job are done and how many run, for display to users. Only the leader
 * knows; the other nodes ask it every two seconds and show what it last told. A count may be that
 * old, and nothing is decided by it.
 *
 * The question is also a sign of life: whether the leader answered it is passed to the election,
 * which then knows whether workers may be sent there. The node (node.h) starts and stops the
 * questions, node_requests.c answers those of other nodes, the users' interface asks for counts. */
#ifndef RP_CONTROLLER_RUNNING_COUNTS_H
#define RP_CONTROLLER_RUNNING_COUNTS_H

#include "base/net.h"
#include "controller/node_state.h"
#include "election/election.h"
#include "jobs/jobs.h"

/** The path on the peers' port where the leader tells the counts. */
#define RP_PATH_RUNNING_COUNTS "/peer/summary"

/** The counts last told by the leader; the parts that it refers to are the node's. */
struct rp_running_counts {
    struct rp_loop *loop;
    struct rp_net net;
    const struct rp_settings *settings;
    const enum rp_node_state *node_state;
    struct rp_election *election;
    const struct rp_jobs *jobs;
    struct rp_timer timer;
    struct timespec asked_at;
    struct rp_job_status *told; /* by the leader, in the order of their ids; owned */
    size_t n_told;
};

/** Sets the module up without asking anybody. */
void rp_running_counts_init(struct rp_running_counts *counts, struct rp_loop *loop,
                            struct rp_net net, const struct rp_settings *settings,
                            const enum rp_node_state *node_state, struct rp_election *election,
                            const struct rp_jobs *jobs);
/** Begins to ask the leader, while this node follows. */
void rp_running_counts_start(struct rp_running_counts *counts);
/** Ends the questions; what was told stays until rp_running_counts_free. */
void rp_running_counts_stop(struct rp_running_counts *counts);
/** Frees what was told. */
void rp_running_counts_free(struct rp_running_counts *counts);
/** The leader's answer: the counts of its job table as JSON, which the caller frees. NULL: out of
 * memory. */
char *rp_running_counts_json(const struct rp_running_counts *counts);
/** Fills in the counts of the open job `status->id`, zero where this node doesn't know them, and
 * the phase. `running_counts` is a struct rp_running_counts; the type is the users' interface's. */
void rp_running_counts_fill(void *running_counts, struct rp_job_status *status);

#endif
