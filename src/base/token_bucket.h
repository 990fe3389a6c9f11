/** @file
 * Rate budgets, as token buckets. */
#ifndef RP_BASE_TOKEN_BUCKET_H
#define RP_BASE_TOKEN_BUCKET_H

#include "base/timeutil.h"

struct rp_token_bucket {
    double rate, depth, level;
    struct timespec refilled_at;
};

static inline void rp_token_bucket_init(struct rp_token_bucket *bucket, double rate, double depth,
                                        struct timespec now) {
    *bucket =
        (struct rp_token_bucket){.rate = rate, .depth = depth, .level = depth, .refilled_at = now};
}

static inline void rp_token_bucket_refill(struct rp_token_bucket *bucket, struct timespec now) {
    bucket->level += rp_ts_since(now, bucket->refilled_at) * bucket->rate;
    if (bucket->level > bucket->depth)
        bucket->level = bucket->depth;
    bucket->refilled_at = now;
}

/** A want larger than the depth passes once the bucket is full, and is paid back afterwards. */
static inline bool rp_token_bucket_has(struct rp_token_bucket *bucket, double want,
                                       struct timespec now) {
    rp_token_bucket_refill(bucket, now);
    return bucket->level >= (want < bucket->depth ? want : bucket->depth) - 1e-9;
}

static inline void rp_token_bucket_take(struct rp_token_bucket *bucket, double want) {
    bucket->level -= want;
}

#endif
