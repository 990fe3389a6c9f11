/** @file
 * Amounts of what tasks take of machines, and arithmetic on them. Used wherever capacity, usage or
 * quotas are reckoned. */
#ifndef RP_MODEL_RESOURCES_H
#define RP_MODEL_RESOURCES_H

#include <math.h>
#include <stdbool.h>

/** An amount of each kind of resource. */
struct rp_resources {
    double cpus;
    double gpus;
    double memory_gb;
};

/** Amounts are sums of decimal numbers: so little more than the capacity still fits. */
#define RP_RESOURCES_TOLERANCE 1e-9

/** Adds the amount to the sum. */
static inline void rp_resources_add(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus += amount->cpus;
    sum->gpus += amount->gpus;
    sum->memory_gb += amount->memory_gb;
}

/** Subtracts the amount from the sum, of each kind at most down to 0. */
static inline void rp_resources_sub(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus = fmax(0, sum->cpus - amount->cpus);
    sum->gpus = fmax(0, sum->gpus - amount->gpus);
    sum->memory_gb = fmax(0, sum->memory_gb - amount->memory_gb);
}

/** Whether what is needed fits the capacity, of each kind. */
static inline bool rp_resources_fit(const struct rp_resources *need,
                                    const struct rp_resources *capacity) {
    return need->cpus <= capacity->cpus + RP_RESOURCES_TOLERANCE &&
           need->gpus <= capacity->gpus + RP_RESOURCES_TOLERANCE &&
           need->memory_gb <= capacity->memory_gb + RP_RESOURCES_TOLERANCE;
}

#endif
