/** @file
 * Sums with resources that every step of the planner makes. The short ones are inline, since a plan
 * makes them for each group and machine. */
#ifndef RP_SCHEDULER_PLAN_RESOURCES_H
#define RP_SCHEDULER_PLAN_RESOURCES_H

#include <math.h>
#include "scheduler/plan_input.h"

/** Sums of resources and costs are compared with so much to spare: they are rounded. */
#define RP_PLAN_EPSILON 1e-9

/** How many tasks that need so much of one resource fit in what is available, at most `limit`. */
static inline uint32_t rp_plan_n_fitting_resource(double available, double need, uint32_t limit) {
    if (need <= 0)
        return limit;
    if (available < need * (1 - RP_PLAN_EPSILON))
        return 0; /* most probes end here, without a division */
    double n = floor(available / need + RP_PLAN_EPSILON);
    return n <= 0 ? 0 : n < limit ? (uint32_t)n : limit;
}

/** How many tasks that need so much fit in what is available, at most `limit`. */
static inline uint32_t rp_plan_n_fitting(const struct rp_resources *need,
                                         const struct rp_resources *available, uint32_t limit) {
    limit = rp_plan_n_fitting_resource(available->cpus, need->cpus, limit);
    limit = rp_plan_n_fitting_resource(available->gpus, need->gpus, limit);
    return rp_plan_n_fitting_resource(available->memory_gb, need->memory_gb, limit);
}

/** Takes what `n` tasks need; with a negative number it is given back. */
static inline void rp_plan_take_resources(struct rp_resources *available,
                                          const struct rp_resources *need, double n) {
    available->cpus -= need->cpus * n;
    available->gpus -= need->gpus * n;
    available->memory_gb -= need->memory_gb * n;
}

/** Whether the group's job allows machines of this type, in this zone, ordinary or spot. */
static inline bool rp_plan_group_may_use(const struct rp_plan_group *group, int type, int zone,
                                         bool spot) {
    return (group->types >> type & 1) && (group->zones >> zone & 1) && (!spot || group->spot);
}

/** The same for a machine at hand, which may be reserved for another group. */
static inline bool rp_plan_group_may_use_machine(const struct rp_plan_group *group,
                                                 const struct rp_plan_machine *machine) {
    return rp_plan_group_may_use(group, machine->type, machine->zone, machine->spot) &&
           (!machine->reserved_for || machine->reserved_for == group->ref);
}

/** Whether the group's tasks take GPUs. */
static inline bool rp_plan_group_needs_gpus(const struct rp_plan_group *group) {
    return group->each.gpus > 0;
}

/** Seconds until the group's image is on a machine that fetches at this rate (GB per second; 0:
 * no fetch takes time there). */
static inline double rp_plan_fetch_s(const struct rp_plan_group *group, double rate,
                                     bool has_image) {
    return has_image || rate <= 0 ? 0 : group->image_gb / rate;
}

/** The part of the machine that a task takes, by the resource of which it takes most. */
double rp_plan_share_of_machine(const struct rp_resources *need,
                                const struct rp_resources *capacity);
/** Seconds until one task of this size fits on the machine, by its work's estimated ends; INFINITY
 * if it never does. */
double rp_plan_machine_fits_after_s(const struct rp_plan_machine *machine,
                                    const struct rp_resources *each);

#endif
