/** @file
 * The event loop: epoll for descriptors, a binary heap for timers. It is single-threaded; all
 * modules run in its call-backs. In virtual mode there are no descriptors and time advances only by
 * rp_loop_advance, by which the tests drive whole nodes. The loop does not own timers or watches:
 * they are members of the structs of their modules. */
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

/** A timer. The caller sets `fn` and `arg` and zeroes the other members. Its address must not
 * change while the timer is set. */
struct rp_timer {
    struct timespec due;
    rp_timer_fn fn;
    void *arg;
    size_t heap_index; /**< position in the heap, counted from 1; 0 while the timer is not set */
};

/** A descriptor whose events are waited for. The caller sets `fd`, `fn` and `arg`. Its address must
 * not change until the watch is removed. The loop does not close the descriptor. */
struct rp_watch {
    int fd;
    rp_watch_fn fn;
    void *arg;
    uint32_t events; /**< epoll events that are waited for */
};

/** Maximum number of events fetched by one epoll_wait call. */
#define RP_LOOP_BATCH 64

/** An event loop. Only loop.c uses its members. */
struct rp_loop {
    int epoll_fd;
    bool is_virtual;
    bool is_stopping;
    struct timespec virtual_now;
    struct timespec virtual_wall_offset; /**< time of day less `virtual_now`, in virtual mode */
    struct rp_timer **timers; /**< binary heap with the timer that is due first at its root */
    size_t n_timers, timer_capacity;
    struct epoll_event events[RP_LOOP_BATCH]; /**< events that the last epoll_wait returned */
    int n_events, next_event;
};

/** Initializes a loop. Returns 0 or -errno. The caller must close it. */
int rp_loop_init(struct rp_loop *loop, bool is_virtual);

/** Frees what the loop owns. Call-backs of timers and watches that are still set are not called. */
void rp_loop_close(struct rp_loop *loop);

/** The time of CLOCK_MONOTONIC; in virtual mode the loop's own time. The clock is read at each call
 * and never cached, since fencing depends on the current time. */
struct timespec rp_loop_now(const struct rp_loop *loop);

/** The time of day (CLOCK_REALTIME). It may jump; the platform's settings bound its error. */
struct timespec rp_loop_wall_now(const struct rp_loop *loop);

/** Sets the timer to be due in `after_s` seconds. Its call-back never runs before the next
 * iteration of the loop. A timer that is already set is rescheduled. Returns 0 or -ENOMEM. */
int rp_timer_set(struct rp_loop *loop, struct rp_timer *timer, double after_s);

/** Cancels the timer. Has no effect on one that is not set. */
void rp_timer_cancel(struct rp_loop *loop, struct rp_timer *timer);

/** Starts waiting for epoll events (EPOLLIN and so on) of a descriptor. Returns 0 or -errno. */
int rp_watch_add(struct rp_loop *loop, struct rp_watch *watch, uint32_t events);

/** Changes which events are waited for; makes no system call if `events` are waited for
 * already. Returns 0 or -errno. */
int rp_watch_change(struct rp_loop *loop, struct rp_watch *watch, uint32_t events);

/** Stops waiting for events of the watch. Afterwards none is delivered, not even one that has
 * already been fetched from the kernel. */
void rp_watch_remove(struct rp_loop *loop, struct rp_watch *watch);

/** Runs until rp_loop_stop is called. Returns 0 or -errno. */
int rp_loop_run(struct rp_loop *loop);

/** Makes rp_loop_run return after its current iteration. */
void rp_loop_stop(struct rp_loop *loop);

/** In virtual mode: runs all timers that are due at or before `to`, in the order of their due
 * times, then sets the time to `to`. */
void rp_loop_advance(struct rp_loop *loop, struct timespec to);

#endif
