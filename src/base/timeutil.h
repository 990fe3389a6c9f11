/** @file
 * Arithmetic on the standard library's struct timespec, used both for instants and for durations.
 * Instants are of CLOCK_MONOTONIC (rp_loop_now) unless stated otherwise. All values are normalized:
 * nanoseconds from 0 to 999,999,999. */
#ifndef RP_BASE_TIMEUTIL_H
#define RP_BASE_TIMEUTIL_H

#include <math.h>
#include <stdbool.h>
#include <time.h>

/** Nanoseconds in a second. */
#define RP_NSEC 1000000000L

/** A duration in seconds, or an instant in seconds since the clock's zero, as a timespec. */
static inline struct timespec rp_ts(double seconds) {
    double whole = floor(seconds);
    struct timespec time = {.tv_sec = (time_t)whole, .tv_nsec = (long)((seconds - whole) * 1e9)};
    if (time.tv_nsec >= RP_NSEC) {
        time.tv_sec++;
        time.tv_nsec -= RP_NSEC;
    }
    return time;
}

/** The seconds of a duration, or of an instant since the clock's zero. */
static inline double rp_ts_s(struct timespec time) {
    return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

/** The sum of an instant and a duration, or of two durations. */
static inline struct timespec rp_ts_add(struct timespec a, struct timespec b) {
    struct timespec time = {.tv_sec = a.tv_sec + b.tv_sec, .tv_nsec = a.tv_nsec + b.tv_nsec};
    if (time.tv_nsec >= RP_NSEC) {
        time.tv_sec++;
        time.tv_nsec -= RP_NSEC;
    }
    return time;
}

/** The duration from `b` to `a`; negative if `b` is later. */
static inline struct timespec rp_ts_sub(struct timespec a, struct timespec b) {
    struct timespec time = {.tv_sec = a.tv_sec - b.tv_sec, .tv_nsec = a.tv_nsec - b.tv_nsec};
    if (time.tv_nsec < 0) {
        time.tv_sec--;
        time.tv_nsec += RP_NSEC;
    }
    return time;
}

/** The instant `seconds` after `time`; before it if `seconds` is negative. */
static inline struct timespec rp_ts_after(struct timespec time, double seconds) {
    return rp_ts_add(time, rp_ts(seconds));
}

/** Returns a value below, equal to or above 0 if `a` is before, equal to or after `b`. */
static inline int rp_ts_cmp(struct timespec a, struct timespec b) {
    if (a.tv_sec != b.tv_sec)
        return a.tv_sec < b.tv_sec ? -1 : 1;
    if (a.tv_nsec != b.tv_nsec)
        return a.tv_nsec < b.tv_nsec ? -1 : 1;
    return 0;
}

/** Whether an instant is unset: zero means "not yet" or "never". */
static inline bool rp_ts_is_zero(struct timespec time) {
    return time.tv_sec == 0 && time.tv_nsec == 0;
}

/** Whether the instant `due` has been reached, that is, is not after `now`. */
static inline bool rp_ts_is_reached(struct timespec now, struct timespec due) {
    return rp_ts_cmp(now, due) >= 0;
}

/** Seconds from `then` to `now`; negative if `then` is later than `now`. */
static inline double rp_ts_since(struct timespec now, struct timespec then) {
    return rp_ts_s(rp_ts_sub(now, then));
}

#endif
