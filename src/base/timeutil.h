/** @file
 * Arithmetic on the standard library's time types. Instants are CLOCK_MONOTONIC unless said. */
#ifndef RP_BASE_TIMEUTIL_H
#define RP_BASE_TIMEUTIL_H

#include <math.h>
#include <stdbool.h>
#include <time.h>

#define RP_NSEC 1000000000L

static inline struct timespec rp_ts(double seconds) {
    double whole = floor(seconds);
    struct timespec time = {.tv_sec = (time_t)whole, .tv_nsec = (long)((seconds - whole) * 1e9)};
    if (time.tv_nsec >= RP_NSEC) {
        time.tv_sec++;
        time.tv_nsec -= RP_NSEC;
    }
    return time;
}

static inline double rp_ts_s(struct timespec time) {
    return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

static inline struct timespec rp_ts_add(struct timespec a, struct timespec b) {
    struct timespec time = {.tv_sec = a.tv_sec + b.tv_sec, .tv_nsec = a.tv_nsec + b.tv_nsec};
    if (time.tv_nsec >= RP_NSEC) {
        time.tv_sec++;
        time.tv_nsec -= RP_NSEC;
    }
    return time;
}

static inline struct timespec rp_ts_sub(struct timespec a, struct timespec b) {
    struct timespec time = {.tv_sec = a.tv_sec - b.tv_sec, .tv_nsec = a.tv_nsec - b.tv_nsec};
    if (time.tv_nsec < 0) {
        time.tv_sec--;
        time.tv_nsec += RP_NSEC;
    }
    return time;
}

static inline struct timespec rp_ts_after(struct timespec time, double seconds) {
    return rp_ts_add(time, rp_ts(seconds));
}

static inline int rp_ts_cmp(struct timespec a, struct timespec b) {
    if (a.tv_sec != b.tv_sec)
        return a.tv_sec < b.tv_sec ? -1 : 1;
    if (a.tv_nsec != b.tv_nsec)
        return a.tv_nsec < b.tv_nsec ? -1 : 1;
    return 0;
}

/** Unset: no such instant. */
static inline bool rp_ts_zero(struct timespec time) {
    return time.tv_sec == 0 && time.tv_nsec == 0;
}

static inline bool rp_ts_reached(struct timespec now, struct timespec due) {
    return rp_ts_cmp(now, due) >= 0;
}

/** Seconds from `then` to `now`; negative when `then` lies ahead. */
static inline double rp_ts_since(struct timespec now, struct timespec then) {
    return rp_ts_s(rp_ts_sub(now, then));
}

#endif
