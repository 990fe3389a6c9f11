/** @file
 * The machines of one type, zone and kind (ordinary or spot) together, with the work under way on
 * them: what load shedding and the decision to wait compare the waiting work with. */
#ifndef RP_SCHEDULER_MACHINE_POOL_H
#define RP_SCHEDULER_MACHINE_POOL_H

#include "scheduler/packing_state.h"

/** What some pools can do, in units of their main resource (CPUs or GPUs). */
struct rp_pool_load {
    double n_machines;
    double capacity;
    double work; /* under way, in seconds of a unit */
};

/** Builds the pools from the machines at hand, in the order in which these first name them. A
 * machine that still boots has its boot to do. */
void rp_machine_pools_build(struct rp_packing *packing);
/** What the machines with GPUs, or those without, can do and have under way. */
struct rp_pool_load rp_machine_pools_load(const struct rp_packing *packing, bool gpus);

#endif
