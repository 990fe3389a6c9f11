/** @file
 * A queue of heartbeats that wait until it is known which node leads. Without the queue, a worker
 * that is redirected without a leader's name tries node after node, a second for each and four
 * seconds for one that does not respond, and may find the next leader only after its lease has
 * expired. Instead, its heartbeat waits for a short time at a node where a leader is expected to be
 * known soon. The queue copies the body of each request, because the connection and its buffer may
 * be closed while the heartbeat waits. Owned by struct rp_workers (workers.h), used by
 * workers.c. */
#ifndef RP_WORKER_HEARTBEAT_QUEUE_H
#define RP_WORKER_HEARTBEAT_QUEUE_H

#include "base/loop.h"
#include "base/net.h"

struct rp_queued_heartbeat;

/** The call-backs of the queue's owner. */
struct rp_heartbeat_queue_owner {
    /** Whether the heartbeats should wait longer; called several times a second. */
    bool (*can_wait)(void *arg);
    /** Called when the heartbeat's wait has ended. The owner must answer the heartbeat at once and
     * must not add it to the queue again. */
    void (*on_released)(void *arg, struct rp_request *req);
    void *arg;
};

/** The waiting heartbeats. */
struct rp_heartbeat_queue {
    struct rp_loop *loop;
    struct rp_heartbeat_queue_owner owner;
    struct rp_queued_heartbeat *first;
    struct rp_timer timer; /* set while the queue is not empty */
};

/** Initializes the queue as empty. */
void rp_heartbeat_queue_init(struct rp_heartbeat_queue *queue, struct rp_loop *loop,
                             struct rp_heartbeat_queue_owner owner);
/** Adds a heartbeat, which is released within 3.8 s. */
void rp_heartbeat_queue_add(struct rp_heartbeat_queue *queue, struct rp_request *req);
/** Drops the heartbeats without answering them, because the process is about to end. */
void rp_heartbeat_queue_clear(struct rp_heartbeat_queue *queue);

#endif
