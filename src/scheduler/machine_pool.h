/** @file
 * Machine pools: a pool is all machines of one type, zone and kind (ordinary or spot), with their
 * work in progress. Load shedding and the decision whether a group waits compare the waiting work
 * with the pools' capacity and work. */
#ifndef RP_SCHEDULER_MACHINE_POOL_H
#define RP_SCHEDULER_MACHINE_POOL_H

#include "scheduler/packing_state.h"

/** Capacity and load of several pools, in GPUs for pools with GPUs, else in CPUs. */
struct rp_pool_load {
    double n_machines;
    double capacity;
    double work; /* in progress, in seconds of one CPU or GPU */
};

/** Builds the pools from the existing machines, in the order in which the machines of each pool
 * first occur. The remaining boot time of a machine counts as work. */
void rp_machine_pools_build(struct rp_packing *packing);
/** Returns the capacity and load of the pools with GPUs, or of those without. */
struct rp_pool_load rp_machine_pools_load(const struct rp_packing *packing, bool gpus);

#endif
