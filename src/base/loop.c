#include "base/loop.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define INITIAL_TIMER_CAPACITY 64 /* timers for which the heap is first allocated */
#define MAX_WAIT_MS 1000          /* maximum timeout of one epoll_wait call */

int rp_loop_init(struct rp_loop *loop, bool is_virtual) {
    memset(loop, 0, sizeof *loop);
    loop->is_virtual = is_virtual;
    loop->epoll_fd = -1;
    if (is_virtual)
        return 0;
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    return loop->epoll_fd < 0 ? -errno : 0;
}

void rp_loop_close(struct rp_loop *loop) {
    if (loop->epoll_fd >= 0)
        close(loop->epoll_fd);
    free(loop->timers);
    memset(loop, 0, sizeof *loop);
    loop->epoll_fd = -1;
}

struct timespec rp_loop_now(const struct rp_loop *loop) {
    struct timespec now = loop->virtual_now;
    if (!loop->is_virtual)
        clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

struct timespec rp_loop_wall_now(const struct rp_loop *loop) {
    struct timespec now = rp_ts_add(loop->virtual_now, loop->virtual_wall_offset);
    if (!loop->is_virtual)
        clock_gettime(CLOCK_REALTIME, &now);
    return now;
}

static void heap_put(struct rp_loop *loop, size_t index, struct rp_timer *timer) {
    loop->timers[index - 1] = timer;
    timer->heap_index = index;
}

/* Moves the timer at `index` towards the root until its parent is not due later. */
static void heap_sift_up(struct rp_loop *loop, size_t index) {
    struct rp_timer *timer = loop->timers[index - 1];
    while (index > 1 && rp_ts_cmp(timer->due, loop->timers[index / 2 - 1]->due) < 0) {
        heap_put(loop, index, loop->timers[index / 2 - 1]);
        index /= 2;
    }
    heap_put(loop, index, timer);
}

/* Moves the timer at `index` away from the root until no child is due earlier. */
static void heap_sift_down(struct rp_loop *loop, size_t index) {
    struct rp_timer *timer = loop->timers[index - 1];
    for (;;) {
        size_t child = index * 2;
        if (child > loop->n_timers)
            break;
        if (child < loop->n_timers &&
            rp_ts_cmp(loop->timers[child]->due, loop->timers[child - 1]->due) < 0)
            child++;
        if (rp_ts_cmp(loop->timers[child - 1]->due, timer->due) >= 0)
            break;
        heap_put(loop, index, loop->timers[child - 1]);
        index = child;
    }
    heap_put(loop, index, timer);
}

void rp_timer_cancel(struct rp_loop *loop, struct rp_timer *timer) {
    size_t index = timer->heap_index;
    if (index == 0)
        return;
    timer->heap_index = 0;
    struct rp_timer *last = loop->timers[--loop->n_timers];
    if (last == timer)
        return;
    heap_put(loop, index, last);
    heap_sift_up(loop, index);
    heap_sift_down(loop, last->heap_index);
}

int rp_timer_set(struct rp_loop *loop, struct rp_timer *timer, double after_s) {
    rp_timer_cancel(loop, timer);
    if (loop->n_timers == loop->timer_capacity) {
        size_t capacity = loop->timer_capacity ? loop->timer_capacity * 2 : INITIAL_TIMER_CAPACITY;
        struct rp_timer **timers = realloc(loop->timers, capacity * sizeof(struct rp_timer *));
        if (!timers)
            return -ENOMEM;
        loop->timers = timers;
        loop->timer_capacity = capacity;
    }
    timer->due = rp_ts_after(rp_loop_now(loop), after_s > 0 ? after_s : 0);
    loop->n_timers++;
    heap_put(loop, loop->n_timers, timer);
    heap_sift_up(loop, loop->n_timers);
    return 0;
}

int rp_watch_add(struct rp_loop *loop, struct rp_watch *watch, uint32_t events) {
    struct epoll_event event = {.events = events, .data.ptr = watch};
    watch->events = events;
    return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &event) < 0 ? -errno : 0;
}

int rp_watch_change(struct rp_loop *loop, struct rp_watch *watch, uint32_t events) {
    struct epoll_event event = {.events = events, .data.ptr = watch};
    if (watch->events == events)
        return 0;
    watch->events = events;
    return epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event) < 0 ? -errno : 0;
}

void rp_watch_remove(struct rp_loop *loop, struct rp_watch *watch) {
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    for (int i = loop->next_event; i < loop->n_events; i++)
        if (loop->events[i].data.ptr == watch)
            loop->events[i].data.ptr = NULL;
}

static void run_due_timers(struct rp_loop *loop) {
    struct timespec now = rp_loop_now(loop);
    while (loop->n_timers > 0 && rp_ts_is_reached(now, loop->timers[0]->due)) {
        struct rp_timer *timer = loop->timers[0];
        rp_timer_cancel(loop, timer);
        timer->fn(timer->arg);
    }
}

/* The timeout of the next epoll_wait call: the time until the first timer is due, rounded up to
 * whole milliseconds and at most MAX_WAIT_MS. */
static int next_wait_ms(const struct rp_loop *loop) {
    if (loop->n_timers == 0)
        return MAX_WAIT_MS;
    double left_ms = rp_ts_since(loop->timers[0]->due, rp_loop_now(loop)) * 1000.0;
    if (left_ms <= 0)
        return 0;
    return left_ms > MAX_WAIT_MS ? MAX_WAIT_MS : (int)ceil(left_ms);
}

int rp_loop_run(struct rp_loop *loop) {
    while (!loop->is_stopping) {
        int n = epoll_wait(loop->epoll_fd, loop->events, RP_LOOP_BATCH, next_wait_ms(loop));
        if (n < 0 && errno != EINTR)
            return -errno;
        loop->n_events = n > 0 ? n : 0;
        for (int i = 0; i < loop->n_events; i++) {
            struct rp_watch *watch = loop->events[i].data.ptr;
            loop->next_event = i + 1;
            if (watch)
                watch->fn(watch->arg, loop->events[i].events);
        }
        loop->n_events = 0;
        run_due_timers(loop);
    }
    return 0;
}

void rp_loop_stop(struct rp_loop *loop) {
    loop->is_stopping = true;
}

void rp_loop_advance(struct rp_loop *loop, struct timespec to) {
    while (loop->n_timers > 0 && rp_ts_cmp(loop->timers[0]->due, to) <= 0) {
        struct rp_timer *timer = loop->timers[0];
        if (rp_ts_cmp(timer->due, loop->virtual_now) > 0)
            loop->virtual_now = timer->due;
        rp_timer_cancel(loop, timer);
        timer->fn(timer->arg);
    }
    if (rp_ts_cmp(to, loop->virtual_now) > 0)
        loop->virtual_now = to;
}
