/** @file
 * Token buckets, for request budgets: `rate` tokens are added each second, up to `depth` tokens.
 * Called by the clients of the key-value store and of the cloud. */
#ifndef RP_BASE_TOKEN_BUCKET_H
#define RP_BASE_TOKEN_BUCKET_H

#include "base/timeutil.h"

/** Tokens by which the sum of refills may fall short of a whole token through rounding. */
#define RP_TOKEN_TOLERANCE 1e-9

/** A token bucket. */
struct rp_token_bucket {
    double rate;  /**< tokens added each second */
    double depth; /**< maximum number of tokens */
    double level; /**< number of tokens; below 0 after more were taken than were in the bucket */
    struct timespec refilled_at;
};

/** Initializes a full bucket. */
static inline void rp_token_bucket_init(struct rp_token_bucket *bucket, double rate, double depth,
                                        struct timespec now) {
    *bucket =
        (struct rp_token_bucket){.rate = rate, .depth = depth, .level = depth, .refilled_at = now};
}

/** Adds the tokens for the time since the last refill. */
static inline void rp_token_bucket_refill(struct rp_token_bucket *bucket, struct timespec now) {
    bucket->level += rp_ts_since(now, bucket->refilled_at) * bucket->rate;
    if (bucket->level > bucket->depth)
        bucket->level = bucket->depth;
    bucket->refilled_at = now;
}

/** Whether `n_tokens` can be taken now. An amount larger than the depth can be taken once the
 * bucket is full; the level is negative afterwards until refills have made up for it. */
static inline bool rp_token_bucket_has(struct rp_token_bucket *bucket, double n_tokens,
                                       struct timespec now) {
    rp_token_bucket_refill(bucket, now);
    return bucket->level >=
           (n_tokens < bucket->depth ? n_tokens : bucket->depth) - RP_TOKEN_TOLERANCE;
}

/** Takes tokens without a check: the level may become negative. */
static inline void rp_token_bucket_take(struct rp_token_bucket *bucket, double n_tokens) {
    bucket->level -= n_tokens;
}

#endif
