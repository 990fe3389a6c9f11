/* Rate budgets, as token buckets. */
#ifndef RP_BUCKET_H
#define RP_BUCKET_H

#include "base/timeutil.h"

struct rp_bucket {
    double rate, depth, level;
    struct timespec at;
};

static inline void rp_bucket_init(struct rp_bucket *b, double rate, double depth,
                                  struct timespec now) {
    *b = (struct rp_bucket){.rate = rate, .depth = depth, .level = depth, .at = now};
}

static inline void rp_bucket_fill(struct rp_bucket *b, struct timespec now) {
    b->level += rp_ts_since(now, b->at) * b->rate;
    if (b->level > b->depth)
        b->level = b->depth;
    b->at = now;
}

/* A want larger than the depth passes once the bucket is full, and is paid back afterwards. */
static inline bool rp_bucket_has(struct rp_bucket *b, double want, struct timespec now) {
    rp_bucket_fill(b, now);
    return b->level >= (want < b->depth ? want : b->depth) - 1e-9;
}

static inline void rp_bucket_take(struct rp_bucket *b, double want) {
    b->level -= want;
}

#endif
