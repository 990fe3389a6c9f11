/** @file
 * A queue of heartbeats that have been read and whose answers wait for the next scheduling cycle.
 * Cycles run at a minimum interval, and on a large fleet nearly every heartbeat that frees capacity
 * arrives between two cycles. Without the queue, a start that is planned shortly after the answer
 * waits for the machine's next heartbeat, seconds later. The wait for the cycle is a small part of
 * the time for which a worker waits for its answer (docs/safety.md, "Answers that wait for a
 * cycle"). Owned by struct rp_workers (workers.h), used by workers.c. */
#ifndef RP_WORKER_ANSWER_QUEUE_H
#define RP_WORKER_ANSWER_QUEUE_H

#include "base/net.h"
#include "cluster/cluster.h"

/** A heartbeat whose answer is pending. */
struct rp_pending_answer {
    struct rp_request *req;
    /* The machine's name, because the machine may be terminated before the answer is sent. */
    char machine[RP_TEXT_MAX];
    uint64_t incarnation;
    uint64_t heartbeat_seq;
    struct timespec received_at;
};

/** The pending answers, in the order in which their heartbeats arrived. */
struct rp_answer_queue {
    struct rp_pending_answer *answers;
    size_t n, cap;
};

/** Adds the pending answer to the machine's newest heartbeat, which was received at
 * `received_at`. */
void rp_answer_queue_add(struct rp_answer_queue *queue, struct rp_request *req,
                         const struct rp_machine *machine, struct timespec received_at);
/** Returns all answers and leaves the queue empty. Sending the answers may add new ones to `queue`.
 * The caller must send the returned answers and free them with rp_answer_queue_clear. */
struct rp_answer_queue rp_answer_queue_take(struct rp_answer_queue *queue);
/** Frees the queue's entries without sending the answers. */
void rp_answer_queue_clear(struct rp_answer_queue *queue);

#endif
