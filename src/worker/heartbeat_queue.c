#include "worker/heartbeat_queue.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

/* Seconds for which a heartbeat may wait: the 4 s after which a worker sends its heartbeat to
 * another node (PROTOCOL, "Workers"), less CHECK_INTERVAL_S and the transit time of a message.
 * election/election.c relies on this time. */
#define WAIT_MAX_S 3.7
#define CHECK_INTERVAL_S 0.1

struct rp_queued_heartbeat {
    struct rp_request *req;
    struct timespec wait_until;
    char *body;
    size_t len;
    struct rp_queued_heartbeat *next;
};

static void push(struct rp_heartbeat_queue *queue, struct rp_queued_heartbeat *heartbeat) {
    heartbeat->next = queue->first;
    queue->first = heartbeat;
}

static void heartbeat_free(struct rp_queued_heartbeat *heartbeat) {
    free(heartbeat->body);
    free(heartbeat);
}

static void release(const struct rp_heartbeat_queue *queue, struct rp_queued_heartbeat *heartbeat) {
    heartbeat->req->body = heartbeat->body;
    heartbeat->req->len = heartbeat->len;
    queue->owner.on_released(queue->owner.arg, heartbeat->req);
    heartbeat_free(heartbeat);
}

static void on_check_due(void *arg) {
    struct rp_heartbeat_queue *queue = arg;
    struct timespec now = rp_loop_now(queue->loop);
    bool can_wait = queue->owner.can_wait(queue->owner.arg);
    struct rp_queued_heartbeat *waiting = queue->first;
    queue->first = NULL;
    while (waiting) {
        struct rp_queued_heartbeat *heartbeat = waiting;
        waiting = heartbeat->next;
        if (can_wait && !rp_ts_is_reached(now, heartbeat->wait_until))
            push(queue, heartbeat);
        else
            release(queue, heartbeat);
    }
    if (queue->first)
        rp_timer_set(queue->loop, &queue->timer, CHECK_INTERVAL_S);
}

void rp_heartbeat_queue_init(struct rp_heartbeat_queue *queue, struct rp_loop *loop,
                             struct rp_heartbeat_queue_owner owner) {
    *queue = (struct rp_heartbeat_queue){
        .loop = loop, .owner = owner, .timer = {.fn = on_check_due, .arg = queue}};
}

void rp_heartbeat_queue_add(struct rp_heartbeat_queue *queue, struct rp_request *req) {
    struct rp_queued_heartbeat *heartbeat = rp_alloc(1, sizeof *heartbeat);
    heartbeat->body = rp_alloc(req->len + 1, 1);
    memcpy(heartbeat->body, req->body, req->len);
    heartbeat->len = req->len;
    heartbeat->req = req;
    heartbeat->wait_until = rp_ts_after(rp_loop_now(queue->loop), WAIT_MAX_S);
    push(queue, heartbeat);
    if (!queue->timer.heap_index)
        rp_timer_set(queue->loop, &queue->timer, CHECK_INTERVAL_S);
}

void rp_heartbeat_queue_clear(struct rp_heartbeat_queue *queue) {
    rp_timer_cancel(queue->loop, &queue->timer);
    while (queue->first) {
        struct rp_queued_heartbeat *heartbeat = queue->first;
        queue->first = heartbeat->next;
        heartbeat_free(heartbeat);
    }
}
