/** @file
 * The leader's report of which jobs have running tasks. Nodes that follow poll it; for those that
 * have not polled it for a while, because they cannot reach the leader or get its responses too
 * late, it is written to the key-value store every second, on the leader's lease.
 *
 * The node (node.h) starts and stops the module, and node_requests.c answers the polls.
 * phase_view.h is the other side. */
#ifndef RP_CONTROLLER_PHASE_REPORT_H
#define RP_CONTROLLER_PHASE_REPORT_H

#include "cluster/cluster_state.h"
#include "controller/node_state.h"
#include "election/election.h"

/** The path on the peers' port where the leader reports the phases. A query names the node that
 * polls, unless its last poll got no response in time; earlier versions poll without one, and
 * answer 404 to a path with one. */
#define RP_PATH_PHASES "/peer/summary"
/** What follows the path, before the name of the node that polls. */
#define RP_QUERY_PHASES_NODE "?node="
/** Name of the first record below RP_KEY_PHASES; the others have the numbers after it. */
#define RP_PHASES_FIRST_RECORD "0"

/** The report; the parts that it refers to belong to the node. */
struct rp_phase_report {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    const struct rp_settings *settings;
    const enum rp_node_state *node_state;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_timer timer;
    struct timespec *polled_at;      /* when each peer of the settings last polled; owned */
    struct timespec reporting_since; /* zero: this node may not report */
    unsigned long n_published;       /* records written */
};

/** Initializes the module without starting it. */
void rp_phase_report_init(struct rp_phase_report *report, struct rp_loop *loop,
                          struct rp_kv_client *store, const struct rp_settings *settings,
                          const enum rp_node_state *node_state, struct rp_election *election,
                          struct rp_cluster *cluster);
/** Begins to write records when they are needed. */
void rp_phase_report_start(struct rp_phase_report *report);
/** Stops the module and frees what it owns. */
void rp_phase_report_close(struct rp_phase_report *report);
/** Whether this node leads and its lease is valid: only then it may report. */
bool rp_phase_report_may_report(const struct rp_phase_report *report);
/** The response to a poll, which the caller frees; NULL when out of memory. `query` is what follows
 * RP_PATH_PHASES in the target. Only for a node that may report. */
char *rp_phase_report_answer(struct rp_phase_report *report, const char *query);

#endif
