#include "scheduler/machine_pool.h"

#include <math.h>

void rp_machine_pools_build(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_machines; i++) {
        const struct rp_plan_machine *machine = &packing->input->machines[i];
        struct rp_machine_pool *pool = packing->pools;
        const struct rp_machine_pool *end = packing->pools + packing->n_pools;
        while (pool < end && !(pool->type == machine->type && pool->zone == machine->zone &&
                               pool->spot == machine->spot))
            pool++;
        if (pool == end) {
            packing->n_pools++;
            *pool = (struct rp_machine_pool){.type = machine->type,
                                             .zone = machine->zone,
                                             .spot = machine->spot,
                                             .capacity = &machine->capacity};
        }
        bool is_up = machine->free_now.cpus > 0 || machine->n_releases > 0;
        pool->n_machines += fmax(0, 1 - machine->service_share);
        pool->work_s += machine->work_s + (is_up ? 0 : machine->free_later_after_s);
    }
}

struct rp_pool_load rp_machine_pools_load(const struct rp_packing *packing, bool gpus) {
    struct rp_pool_load load = {0};
    for (size_t i = 0; i < packing->n_pools; i++) {
        const struct rp_machine_pool *pool = &packing->pools[i];
        double capacity_per_machine = gpus ? pool->capacity->gpus : pool->capacity->cpus;
        if (!gpus && pool->capacity->gpus > 0)
            continue;
        load.n_machines += pool->n_machines;
        load.capacity += pool->n_machines * capacity_per_machine;
        load.work += pool->work_s * capacity_per_machine;
    }
    return load;
}
