/** @file
 * The event loop: epoll for descriptors, a heap for timers. One thread; all modules run in its
 * call-backs. In virtual mode there are no descriptors and time moves only by rp_loop_advance: the
 * tests drive whole nodes this way. Owns neither timers nor watches: those are members of their
 * modules' structs. */
#ifndef RP_BASE_LOOP_H
#define RP_BASE_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/epoll.h>
#include "base/timeutil.h"

/** Called when a timer is due. It may set the timer again, or free it. */
typedef void (*rp_timer_fn)(void *arg);
/** Called with the epoll events of a watch's descriptor. It may remove and free the watch. */
typedef void (*rp_watch_fn)(void *arg, uint32_t events);

/** A timer. Set `fn` and `arg`, and zero the others; it must stay where it is while it is set. */
struct rp_timer {
    struct timespec due;
    rp_timer_fn fn;
    void *arg;
    size_t heap_index; /**< its place in the heap from 1 on; 0 while it isn't set */
};

/** A descriptor whose events are waited for. Set `fd`, `fn` and `arg`; it must stay where it is
 * until it is removed. The loop doesn't close the descriptor. */
struct rp_watch {
    int fd;
    rp_watch_fn fn;
    void *arg;
    uint32_t events; /**< that are waited for */
};

/** Events that are fetched from the kernel at once. */
#define RP_LOOP_BATCH 64

/** An event loop; its members belong to loop.c. */
struct rp_loop {
    int epoll_fd;
    bool is_virtual;
    bool is_stopping;
    struct timespec virtual_now;
    struct rp_timer **timers; /**< binary heap, the one due first at its root */
    size_t n_timers, timer_capacity;
    struct epoll_event events[RP_LOOP_BATCH]; /**< fetched ones */
    int n_events, next_event;
};

/** Makes a loop. Returns 0 or -errno. The caller must close it. */
int rp_loop_init(struct rp_loop *loop, bool is_virtual);

/** Frees what the loop owns. Timers and watches are forgotten without a call. */
void rp_loop_close(struct rp_loop *loop);

/** The time of CLOCK_MONOTONIC, read anew at each call: fencing depends on it. In virtual mode the
 * loop's own time. */
struct timespec rp_loop_now(const struct rp_loop *loop);

/** Sets the timer to be due in `after_s` seconds, never before the next turn of the loop; one that
 * is set already is moved. Returns 0 or -ENOMEM. */
int rp_timer_set(struct rp_loop *loop, struct rp_timer *timer, double after_s);

/** Makes the timer not set. May be called for one that isn't. */
void rp_timer_cancel(struct rp_loop *loop, struct rp_timer *timer);

/** Begins to wait for epoll events (EPOLLIN and so on) of a descriptor. Returns 0 or -errno. */
int rp_watch_add(struct rp_loop *loop, struct rp_watch *watch, uint32_t events);

/** Changes which events are waited for; free of cost when they are the same. Returns 0 or -errno.
 */
int rp_watch_change(struct rp_loop *loop, struct rp_watch *watch, uint32_t events);

/** Ends the wait. After this no event of the watch is delivered, not even one already fetched. */
void rp_watch_remove(struct rp_loop *loop, struct rp_watch *watch);

/** Runs until rp_loop_stop. Returns 0 or -errno. */
int rp_loop_run(struct rp_loop *loop);

/** Makes rp_loop_run return after its present turn. */
void rp_loop_stop(struct rp_loop *loop);

/** Virtual mode: runs every timer due until `to`, in order, then sets the time to `to`. */
void rp_loop_advance(struct rp_loop *loop, struct timespec to);

#endif
