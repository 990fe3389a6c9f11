/** @file
 * Arithmetic on resources that all steps of the planner share. Short functions are inline because a
 * plan calls them for each group and machine. */
#ifndef RP_SCHEDULER_PLAN_RESOURCES_H
#define RP_SCHEDULER_PLAN_RESOURCES_H

#include <math.h>
#include "scheduler/plan_input.h"

/** Tolerance, mostly relative, in comparisons of sums of resources and of costs, which contain
 * rounding errors. */
#define RP_PLAN_EPSILON 1e-9

/** Number of tasks, at most `limit`, that fit in the available amount of one resource when each
 * task needs `need` of it. */
static inline uint32_t rp_plan_n_fitting_resource(double available, double need, uint32_t limit) {
    if (need <= 0)
        return limit;
    if (available < need * (1 - RP_PLAN_EPSILON))
        return 0; /* the most frequent case, which needs no division */
    double n = floor(available / need + RP_PLAN_EPSILON);
    return n <= 0 ? 0 : n < limit ? (uint32_t)n : limit;
}

/** Number of tasks, at most `limit`, that fit in the available resources when each needs `need`. */
static inline uint32_t rp_plan_n_fitting(const struct rp_resources *need,
                                         const struct rp_resources *available, uint32_t limit) {
    limit = rp_plan_n_fitting_resource(available->cpus, need->cpus, limit);
    limit = rp_plan_n_fitting_resource(available->gpus, need->gpus, limit);
    limit = rp_plan_n_fitting_resource(available->memory_gb, need->memory_gb, limit);
    if (limit == 0 || need->task_slots <= 0)
        return limit;
    return rp_plan_n_fitting_resource(rp_resources_slots_for(need, available), need->task_slots,
                                      limit);
}

/** Subtracts from the available resources what `n` tasks need; a negative `n` adds it. */
static inline void rp_plan_take_resources(struct rp_resources *available,
                                          const struct rp_resources *need, double n) {
    available->cpus -= need->cpus * n;
    available->gpus -= need->gpus * n;
    available->memory_gb -= need->memory_gb * n;
    available->task_slots -= need->task_slots * n;
}

/** Whether the group's job allows machines of this type, in this zone, ordinary or spot. */
static inline bool rp_plan_group_may_use(const struct rp_plan_group *group, int type, int zone,
                                         bool spot) {
    return (group->types >> type & 1) && (group->zones >> zone & 1) && (!spot || group->spot);
}

/** Whether the group may use an existing machine: its job allows the machine's type, zone and kind
 * (ordinary or spot), and the machine is not reserved for another group. */
static inline bool rp_plan_group_may_use_machine(const struct rp_plan_group *group,
                                                 const struct rp_plan_machine *machine) {
    return rp_plan_group_may_use(group, machine->type, machine->zone, machine->spot) &&
           (!machine->reserved_for || machine->reserved_for == group->ref);
}

/** Whether the group's tasks need GPUs. */
static inline bool rp_plan_group_needs_gpus(const struct rp_plan_group *group) {
    return group->task_resources.gpus > 0;
}

/** Seconds that a machine needs to fetch the group's image at this rate, in GB per second; a rate
 * of 0 means that fetches take no time there. */
static inline double rp_plan_fetch_s(const struct rp_plan_group *group, double rate,
                                     bool has_image) {
    return has_image || rate <= 0 ? 0 : group->image_gb / rate;
}

/** Share of the machine that a task takes: the largest of its shares of the CPUs, GPUs and memory.
 */
double rp_plan_share_of_machine(const struct rp_resources *need,
                                const struct rp_resources *capacity);
/** Seconds until one task that needs these resources fits on the machine, by the estimated ends of
 * the machine's work; INFINITY if it does not fit even after all of the work has ended. */
double rp_plan_machine_fits_after_s(const struct rp_plan_machine *machine,
                                    const struct rp_resources *need);

#endif
