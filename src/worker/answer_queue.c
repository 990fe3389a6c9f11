#include "worker/answer_queue.h"

#include <stdlib.h>
#include "base/memory.h"
#include "base/string_copy.h"

/* Initial length of the queue's array. */
#define INITIAL_CAPACITY 64

void rp_answer_queue_add(struct rp_answer_queue *queue, struct rp_request *req,
                         const struct rp_machine *machine, struct timespec received_at) {
    if (queue->n == queue->cap) {
        queue->cap = queue->cap ? queue->cap * 2 : INITIAL_CAPACITY;
        queue->answers = rp_realloc(queue->answers, queue->cap, sizeof *queue->answers);
    }
    struct rp_pending_answer *answer = &queue->answers[queue->n++];
    *answer = (struct rp_pending_answer){.req = req,
                                         .incarnation = machine->contact.incarnation,
                                         .heartbeat_seq = machine->contact.heartbeat_seq,
                                         .received_at = received_at};
    rp_string_copy(answer->machine, sizeof answer->machine, machine->name);
}

struct rp_answer_queue rp_answer_queue_take(struct rp_answer_queue *queue) {
    struct rp_answer_queue taken = *queue;
    *queue = (struct rp_answer_queue){0};
    return taken;
}

void rp_answer_queue_clear(struct rp_answer_queue *queue) {
    free(queue->answers);
    *queue = (struct rp_answer_queue){0};
}
