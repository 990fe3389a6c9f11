/** @file
 * The node's side of the exchange with workers: receives heartbeats, decides whether this node may
 * answer, reads them into the cluster state, and answers with commands.
 *
 * Owns the context and the queues of this directory. Invariant: every answer renews the machine's
 * lease, and so lets what runs there run on, so only a leader whose lease is provable gives one
 * (docs/safety.md, "Leadership"). Called by the controller. */
#ifndef RP_WORKER_WORKERS_H
#define RP_WORKER_WORKERS_H

#include "worker/answer_queue.h"
#include "worker/heartbeat_queue.h"
#include "worker/worker_context.h"

/** The exchange of a node with all workers. */
struct rp_workers {
    struct rp_worker_context context;
    bool ready; /* this node leads, and has loaded the records; set by the controller */
    struct rp_heartbeat_queue awaiting_leader;
    struct rp_answer_queue awaiting_cycle;
};

/** Begins without counts and queues; `context` is copied. `workers` must stay where it is until
 * rp_workers_close. */
void rp_workers_init(struct rp_workers *workers, const struct rp_worker_context *context);
/** A worker's heartbeat has come (POST /checkin). It is answered now or within four seconds. */
void rp_workers_on_heartbeat(struct rp_workers *workers, struct rp_request *req);
/** Answers the heartbeats that waited for a scheduling cycle: one has been run, or none will be. */
void rp_workers_answer_pending(struct rp_workers *workers);
/** Forgets all waiting heartbeats unanswered: the process ends. */
void rp_workers_close(struct rp_workers *workers);

#endif
