/** @file
 * Heartbeats that wait until it is known who leads. Sent away without a name, a worker tries node
 * after node, a second each and four at one that stands still, and may find the next leader only
 * when its lease is over. It waits a little instead, at a node that will hear of a leader soon.
 * The queue copies what it needs: the connection may go meanwhile, and its buffer with it. Owned by
 * struct rp_workers (workers.h), used by workers.c. */
#ifndef RP_WORKER_HEARTBEAT_QUEUE_H
#define RP_WORKER_HEARTBEAT_QUEUE_H

#include "base/loop.h"
#include "base/net.h"

struct rp_queued_heartbeat;

/** What the queue asks and tells its owner. */
struct rp_heartbeat_queue_owner {
    /** Whether it makes sense to wait on; asked several times a second. */
    bool (*can_wait)(void *arg);
    /** The wait is over: the owner must answer the heartbeat now, and not put it back. */
    void (*on_released)(void *arg, struct rp_request *req);
    void *arg;
};

/** The waiting heartbeats. */
struct rp_heartbeat_queue {
    struct rp_loop *loop;
    struct rp_heartbeat_queue_owner owner;
    struct rp_queued_heartbeat *first;
    struct rp_timer timer; /* set while a heartbeat waits */
};

/** Makes the queue empty. */
void rp_heartbeat_queue_init(struct rp_heartbeat_queue *queue, struct rp_loop *loop,
                             struct rp_heartbeat_queue_owner owner);
/** Adds a heartbeat, which is released within 3.8 s. */
void rp_heartbeat_queue_add(struct rp_heartbeat_queue *queue, struct rp_request *req);
/** Forgets the heartbeats unanswered: the process ends. */
void rp_heartbeat_queue_clear(struct rp_heartbeat_queue *queue);

#endif
