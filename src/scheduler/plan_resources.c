#include "scheduler/plan_resources.h"

double rp_plan_share_of_machine(const struct rp_resources *need,
                                const struct rp_resources *capacity) {
    double share = 0;
    if (need->cpus > 0 && capacity->cpus > 0)
        share = need->cpus / capacity->cpus;
    if (need->gpus > 0 && capacity->gpus > 0)
        share = fmax(share, need->gpus / capacity->gpus);
    if (need->memory_gb > 0 && capacity->memory_gb > 0)
        share = fmax(share, need->memory_gb / capacity->memory_gb);
    return share;
}

double rp_plan_machine_fits_after_s(const struct rp_plan_machine *machine,
                                    const struct rp_resources *need) {
    struct rp_resources available = machine->free_now;
    if (rp_plan_n_fitting(need, &available, 1))
        return 0;
    for (size_t i = 0; i < machine->n_releases; i++) {
        rp_plan_take_resources(&available, &machine->releases[i].released, -1);
        if (rp_plan_n_fitting(need, &available, 1))
            return machine->releases[i].after_s;
    }
    return INFINITY;
}
