/** @file
 * Amounts of the resources that tasks occupy on machines, and arithmetic on them. Used by all
 * computations of capacity, usage and quotas. */
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

/** Amount by which a sum may exceed the capacity and still fit. Amounts are sums of decimal
 * numbers, which have rounding errors. */
#define RP_RESOURCES_TOLERANCE 1e-9

/** Adds `amount` to `sum`. */
static inline void rp_resources_add(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus += amount->cpus;
    sum->gpus += amount->gpus;
    sum->memory_gb += amount->memory_gb;
}

/** Subtracts `amount` from `sum`. The result of each kind is at least 0. */
static inline void rp_resources_sub(struct rp_resources *sum, const struct rp_resources *amount) {
    sum->cpus = fmax(0, sum->cpus - amount->cpus);
    sum->gpus = fmax(0, sum->gpus - amount->gpus);
    sum->memory_gb = fmax(0, sum->memory_gb - amount->memory_gb);
}

/** Whether the required amount of each kind is at most the capacity. */
static inline bool rp_resources_fit(const struct rp_resources *required,
                                    const struct rp_resources *capacity) {
    return required->cpus <= capacity->cpus + RP_RESOURCES_TOLERANCE &&
           required->gpus <= capacity->gpus + RP_RESOURCES_TOLERANCE &&
           required->memory_gb <= capacity->memory_gb + RP_RESOURCES_TOLERANCE;
}

#endif
