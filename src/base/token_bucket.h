/** @file
 * Token buckets, for request budgets: `rate` tokens arrive each second, at most `depth` are kept.
 * Called by the clients of the key-value store and of the cloud. */
#ifndef RP_BASE_TOKEN_BUCKET_H
#define RP_BASE_TOKEN_BUCKET_H

#include "base/timeutil.h"

/** What sums of refills may lack of a whole token by rounding. */
#define RP_TOKEN_TOLERANCE 1e-9

/** A token bucket. */
struct rp_token_bucket {
    double rate;  /**< tokens each second */
    double depth; /**< tokens at most */
    double level; /**< tokens now; below 0 while a large take is paid back */
    struct timespec refilled_at;
};

/** Makes a full bucket. */
static inline void rp_token_bucket_init(struct rp_token_bucket *bucket, double rate, double depth,
                                        struct timespec now) {
    *bucket =
        (struct rp_token_bucket){.rate = rate, .depth = depth, .level = depth, .refilled_at = now};
}

/** Adds the tokens that have arrived since the last refill. */
static inline void rp_token_bucket_refill(struct rp_token_bucket *bucket, struct timespec now) {
    bucket->level += rp_ts_since(now, bucket->refilled_at) * bucket->rate;
    if (bucket->level > bucket->depth)
        bucket->level = bucket->depth;
    bucket->refilled_at = now;
}

/** Whether `want` tokens can be taken. A want larger than the depth passes once the bucket is full,
 * and is paid back afterwards. */
static inline bool rp_token_bucket_has(struct rp_token_bucket *bucket, double want,
                                       struct timespec now) {
    rp_token_bucket_refill(bucket, now);
    return bucket->level >= (want < bucket->depth ? want : bucket->depth) - RP_TOKEN_TOLERANCE;
}

/** Takes tokens, also ones that are not there. */
static inline void rp_token_bucket_take(struct rp_token_bucket *bucket, double want) {
    bucket->level -= want;
}

#endif
