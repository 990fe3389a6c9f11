/** @file
 * The project's event loop: epoll for descriptors, a heap for timers.
 * In virtual mode there are no descriptors and time moves only by rp_loop_advance: the tests
 * drive whole nodes this way. */
#ifndef RP_BASE_LOOP_H
#define RP_BASE_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/epoll.h>
#include "base/timeutil.h"

typedef void (*rp_timer_fn)(void *arg);
typedef void (*rp_watch_fn)(void *arg, uint32_t events);

struct rp_timer {
    struct timespec due;
    rp_timer_fn fn;
    void *arg;
    size_t heap_index; /* 1-based position in the heap, 0 when not set */
};

struct rp_watch {
    int fd;
    rp_watch_fn fn;
    void *arg;
    uint32_t events;
};

#define RP_LOOP_BATCH 64

struct rp_loop {
    int epoll_fd;
    bool is_virtual;
    bool stopping;
    struct timespec virtual_now;
    struct rp_timer **heap;
    size_t n_heap, cap_heap;
    struct epoll_event batch[RP_LOOP_BATCH];
    int n_batch, at_batch;
};

int rp_loop_init(struct rp_loop *loop, bool is_virtual);
void rp_loop_close(struct rp_loop *loop);
/** Reads the steady clock anew at each call: fencing depends on it. */
struct timespec rp_loop_now(const struct rp_loop *loop);
int rp_timer_set(struct rp_loop *loop, struct rp_timer *timer, double after_s);
void rp_timer_cancel(struct rp_loop *loop, struct rp_timer *timer);
int rp_watch_add(struct rp_loop *loop, struct rp_watch *watch, uint32_t events);
int rp_watch_change(struct rp_loop *loop, struct rp_watch *watch, uint32_t events);
/** After this no event of the watch is delivered, not even one already fetched. */
void rp_watch_remove(struct rp_loop *loop, struct rp_watch *watch);
int rp_loop_run(struct rp_loop *loop);
void rp_loop_stop(struct rp_loop *loop);
/** Virtual mode: runs every timer due until `to`, in order, then sets the time to `to`. */
void rp_loop_advance(struct rp_loop *loop, struct timespec to);

#endif
