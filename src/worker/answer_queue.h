/** @file
 * Heartbeats that have been read, but whose answers wait for the next scheduling cycle. Cycles keep
 * a distance, and on a large fleet nearly every heartbeat frees capacity between two of them: a
 * start planned a moment after the answer had to wait for the machine's next heartbeat, seconds
 * later. So the answer waits for the cycle, which is a small part of what a worker waits
 * (docs/safety.md, "Answers that wait for a cycle"). Owned by struct rp_workers (workers.h), used
 * by workers.c. */
#ifndef RP_WORKER_ANSWER_QUEUE_H
#define RP_WORKER_ANSWER_QUEUE_H

#include "base/net.h"
#include "cluster/cluster.h"

/** A heartbeat to be answered. */
struct rp_pending_answer {
    struct rp_request *req;
    char machine[RP_TEXT_MAX]; /* by name: it may be terminated before the answer */
    uint64_t incarnation;
    uint64_t heartbeat_seq;
    struct timespec received_at;
};

/** The pending answers, in the order in which their heartbeats came. */
struct rp_answer_queue {
    struct rp_pending_answer *answers;
    size_t n, cap;
};

/** Adds the answer to the machine's newest heartbeat, which came at `received_at`. */
void rp_answer_queue_add(struct rp_answer_queue *queue, struct rp_request *req,
                         const struct rp_machine *machine, struct timespec received_at);
/** Moves all answers out of the queue, which is empty afterwards; answering may fill it anew. The
 * caller must answer them, and free them with rp_answer_queue_clear. */
struct rp_answer_queue rp_answer_queue_take(struct rp_answer_queue *queue);
/** Forgets the answers without giving them. */
void rp_answer_queue_clear(struct rp_answer_queue *queue);

#endif
