#include "base/loop.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

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
    free(loop->heap);
    memset(loop, 0, sizeof *loop);
    loop->epoll_fd = -1;
}

struct timespec rp_loop_now(const struct rp_loop *loop) {
    struct timespec now = loop->virtual_now;
    if (!loop->is_virtual)
        clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

static void heap_put(struct rp_loop *loop, size_t at, struct rp_timer *timer) {
    loop->heap[at - 1] = timer;
    timer->heap_index = at;
}

static void heap_up(struct rp_loop *loop, size_t at) {
    struct rp_timer *timer = loop->heap[at - 1];
    while (at > 1 && rp_ts_cmp(timer->due, loop->heap[at / 2 - 1]->due) < 0) {
        heap_put(loop, at, loop->heap[at / 2 - 1]);
        at /= 2;
    }
    heap_put(loop, at, timer);
}

static void heap_down(struct rp_loop *loop, size_t at) {
    struct rp_timer *timer = loop->heap[at - 1];
    for (;;) {
        size_t child = at * 2;
        if (child > loop->n_heap)
            break;
        if (child < loop->n_heap &&
            rp_ts_cmp(loop->heap[child]->due, loop->heap[child - 1]->due) < 0)
            child++;
        if (rp_ts_cmp(loop->heap[child - 1]->due, timer->due) >= 0)
            break;
        heap_put(loop, at, loop->heap[child - 1]);
        at = child;
    }
    heap_put(loop, at, timer);
}

void rp_timer_cancel(struct rp_loop *loop, struct rp_timer *timer) {
    size_t at = timer->heap_index;
    if (at == 0)
        return;
    timer->heap_index = 0;
    struct rp_timer *last = loop->heap[--loop->n_heap];
    if (last == timer)
        return;
    heap_put(loop, at, last);
    heap_up(loop, at);
    heap_down(loop, last->heap_index);
}

int rp_timer_set(struct rp_loop *loop, struct rp_timer *timer, double after_s) {
    rp_timer_cancel(loop, timer);
    if (loop->n_heap == loop->cap_heap) {
        size_t cap = loop->cap_heap ? loop->cap_heap * 2 : 64;
        struct rp_timer **heap = realloc(loop->heap, cap * sizeof(struct rp_timer *));
        if (!heap)
            return -ENOMEM;
        loop->heap = heap;
        loop->cap_heap = cap;
    }
    timer->due = rp_ts_after(rp_loop_now(loop), after_s > 0 ? after_s : 0);
    loop->n_heap++;
    heap_put(loop, loop->n_heap, timer);
    heap_up(loop, loop->n_heap);
    return 0;
}

int rp_watch_add(struct rp_loop *loop, struct rp_watch *watch, uint32_t events) {
    struct epoll_event ev = {.events = events, .data.ptr = watch};
    watch->events = events;
    return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &ev) < 0 ? -errno : 0;
}

int rp_watch_change(struct rp_loop *loop, struct rp_watch *watch, uint32_t events) {
    struct epoll_event ev = {.events = events, .data.ptr = watch};
    if (watch->events == events)
        return 0;
    watch->events = events;
    return epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &ev) < 0 ? -errno : 0;
}

void rp_watch_remove(struct rp_loop *loop, struct rp_watch *watch) {
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    for (int i = loop->at_batch; i < loop->n_batch; i++)
        if (loop->batch[i].data.ptr == watch)
            loop->batch[i].data.ptr = NULL;
}

static void run_timers(struct rp_loop *loop) {
    struct timespec now = rp_loop_now(loop);
    while (loop->n_heap > 0 && rp_ts_reached(now, loop->heap[0]->due)) {
        struct rp_timer *timer = loop->heap[0];
        rp_timer_cancel(loop, timer);
        timer->fn(timer->arg);
    }
}

static int wait_ms(const struct rp_loop *loop) {
    if (loop->n_heap == 0)
        return 1000;
    double left = rp_ts_since(loop->heap[0]->due, rp_loop_now(loop));
    if (left <= 0)
        return 0;
    return left > 1.0 ? 1000 : (int)ceil(left * 1000.0);
}

int rp_loop_run(struct rp_loop *loop) {
    while (!loop->stopping) {
        int n = epoll_wait(loop->epoll_fd, loop->batch, RP_LOOP_BATCH, wait_ms(loop));
        if (n < 0 && errno != EINTR)
            return -errno;
        loop->n_batch = n > 0 ? n : 0;
        for (int i = 0; i < loop->n_batch; i++) {
            struct rp_watch *watch = loop->batch[i].data.ptr;
            loop->at_batch = i + 1;
            if (watch)
                watch->fn(watch->arg, loop->batch[i].events);
        }
        loop->n_batch = 0;
        run_timers(loop);
    }
    return 0;
}

void rp_loop_stop(struct rp_loop *loop) {
    loop->stopping = true;
}

void rp_loop_advance(struct rp_loop *loop, struct timespec to) {
    while (loop->n_heap > 0 && rp_ts_cmp(loop->heap[0]->due, to) <= 0) {
        struct rp_timer *timer = loop->heap[0];
        if (rp_ts_cmp(timer->due, loop->virtual_now) > 0)
            loop->virtual_now = timer->due;
        rp_timer_cancel(loop, timer);
        timer->fn(timer->arg);
    }
    if (rp_ts_cmp(to, loop->virtual_now) > 0)
        loop->virtual_now = to;
}
