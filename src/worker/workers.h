/** @file
 * The node's side of the exchange with workers: receives their heartbeats, decides whether this
 * node may answer the heartbeats, reads them into the cluster state, and answers with commands.
 *
 * Owns the context and the queues of this directory. Invariant: every answer renews the machine's
 * lease and so lets its tasks continue to run. Therefore only a leader whose lease is provably
 * valid answers (docs/safety.md, "Leadership"). Called by the controller. */
#ifndef RP_WORKER_WORKERS_H
#define RP_WORKER_WORKERS_H

#include "worker/answer_queue.h"
#include "worker/heartbeat_queue.h"
#include "worker/worker_context.h"

/** The exchange of a node with all workers. */
struct rp_workers {
    struct rp_worker_context context;
    /* This node leads and has loaded the stored records of jobs and machines. Set by the
     * controller. */
    bool is_leading;
    struct rp_heartbeat_queue awaiting_leader;
    struct rp_answer_queue awaiting_cycle;
};

/** Initializes the exchange with zero counters and empty queues; `context` is copied. `workers`
 * must not be moved in memory until rp_workers_close. */
void rp_workers_init(struct rp_workers *workers, const struct rp_worker_context *context);
/** Handles a worker's heartbeat (POST /checkin), which is answered at once or within four seconds.
 */
void rp_workers_on_heartbeat(struct rp_workers *workers, struct rp_request *req);
/** Answers the heartbeats that wait for a scheduling cycle. Called after a cycle has run, and when
 * no cycle will run because this node does not lead. */
void rp_workers_answer_pending(struct rp_workers *workers);
/** Drops all waiting heartbeats without answering them, because the process is about to end. */
void rp_workers_close(struct rp_workers *workers);

#endif
