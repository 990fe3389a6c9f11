#include "scheduler/new_machine_packing.h"

#include <stdlib.h>
#include "scheduler/packing.h"
#include "scheduler/plan_resources.h"

/* Share of a job's slack that it may spend waiting for existing machines, or for new ones that the
 * plan already provisions. */
#define WAIT_SLACK_SHARE 0.4
/* Number of new machines that a plan's first allocation holds; doubled whenever it is full. */
#define INITIAL_NEW_MACHINES_CAPACITY 16

void rp_new_machine_packing_place(struct rp_packing *packing, struct rp_group_packing *current) {
    for (size_t i = 0; i < packing->plan->n_new_machines && current->n_left > 0; i++) {
        const struct rp_plan_offering *offering =
            &packing->input->offerings[packing->plan->new_machines[i]];
        size_t bin = packing->input->n_machines + i;
        if (!rp_plan_group_may_use(current->group, offering->type, offering->zone, offering->spot))
            continue;
        uint32_t n_fitting =
            rp_packing_n_fitting(packing, current, bin, &packing->bins[bin].free_later,
                                 rp_packing_zone_limit(current, offering->zone));
        if (n_fitting)
            rp_packing_place(packing, current, bin, n_fitting, false,
                             offering->boot_s + current->group->run_s +
                                 rp_plan_fetch_s(current->group, offering->fetch_gb_per_s, false));
    }
}

/* Capacity per price of the main resource: the one of which a task takes the largest share. */
static double capacity_per_price(const struct rp_plan_group *group,
                                 const struct rp_plan_offering *offering) {
    const struct rp_resources *capacity_of_type = &offering->capacity;
    double cpu_share =
        capacity_of_type->cpus > 0 ? group->task_resources.cpus / capacity_of_type->cpus : 0;
    double gpu_share =
        capacity_of_type->gpus > 0 ? group->task_resources.gpus / capacity_of_type->gpus : 0;
    double memory_share = capacity_of_type->memory_gb > 0
                              ? group->task_resources.memory_gb / capacity_of_type->memory_gb
                              : 0;
    double capacity = gpu_share >= cpu_share && gpu_share >= memory_share ? capacity_of_type->gpus
                      : cpu_share >= memory_share                         ? capacity_of_type->cpus
                                                  : capacity_of_type->memory_gb;
    /* The capacity is counted in tasks, so that types with different main resources can be
     * compared. */
    double need = gpu_share >= cpu_share && gpu_share >= memory_share ? group->task_resources.gpus
                  : cpu_share >= memory_share                         ? group->task_resources.cpus
                                              : group->task_resources.memory_gb;
    return need > 0 && offering->price > 0 ? capacity / need / offering->price : capacity;
}

static int find_best_offering(const struct rp_packing *packing,
                              const struct rp_group_packing *current) {
    int best_offering = -1;
    double best_value = -1;
    for (size_t i = 0; i < packing->input->n_offerings; i++) {
        const struct rp_plan_offering *offering = &packing->input->offerings[i];
        if (offering->refused ||
            !rp_plan_group_may_use(current->group, offering->type, offering->zone,
                                   offering->spot) ||
            rp_packing_zone_limit(current, offering->zone) == 0 ||
            !rp_plan_n_fitting(&current->group->task_resources, &offering->capacity, 1))
            continue;
        double value = capacity_per_price(current->group, offering);
        if (value > best_value + RP_PLAN_EPSILON) {
            best_value = value;
            best_offering = (int)i;
        }
    }
    return best_offering;
}

static bool provision_machine(struct rp_packing *packing, size_t offering) {
    struct rp_plan *plan = packing->plan;
    if (plan->n_new_machines == packing->input->new_machines_max)
        return false;
    if (plan->n_new_machines == plan->cap_new_machines) {
        size_t cap =
            plan->cap_new_machines ? plan->cap_new_machines * 2 : INITIAL_NEW_MACHINES_CAPACITY;
        size_t *new_machines = realloc(plan->new_machines, cap * sizeof *new_machines);
        if (!new_machines) {
            plan->failed = true;
            return false;
        }
        plan->new_machines = new_machines;
        plan->cap_new_machines = cap;
    }
    struct rp_bin *bin = &packing->bins[packing->input->n_machines + plan->n_new_machines];
    *bin = (struct rp_bin){.free_later = packing->input->offerings[offering].capacity};
    plan->new_machines[plan->n_new_machines++] = offering;
    return true;
}

void rp_new_machine_packing_place_rest(struct rp_packing *packing,
                                       struct rp_group_packing *current) {
    while (current->n_left > 0 && !packing->plan->failed) {
        int offering = find_best_offering(packing, current);
        uint32_t n_left_before = current->n_left;
        if (offering < 0 || !provision_machine(packing, (size_t)offering))
            return;
        rp_new_machine_packing_place(packing, current);
        if (current->n_left == n_left_before)
            return;
    }
}

/* Sums over the machines that the group may use, existing or provisioned by the plan. */
struct usable_machines {
    double n_machines, work_s;
    double share; /* share of the last of these machines that a task takes */
    uint32_t types;
};

static struct usable_machines usable_machines(const struct rp_packing *packing,
                                              const struct rp_plan_group *group) {
    struct usable_machines usable = {0};
    for (size_t i = 0; i < packing->n_pools; i++) {
        const struct rp_machine_pool *pool = &packing->pools[i];
        if (!rp_plan_group_may_use(group, pool->type, pool->zone, pool->spot))
            continue;
        usable.n_machines += pool->n_machines;
        usable.work_s += pool->work_s;
        usable.share = rp_plan_share_of_machine(&group->task_resources, pool->capacity);
        usable.types |= 1u << pool->type;
    }
    for (size_t i = 0; i < packing->plan->n_new_machines; i++) {
        const struct rp_plan_offering *offering =
            &packing->input->offerings[packing->plan->new_machines[i]];
        if (!rp_plan_group_may_use(group, offering->type, offering->zone, offering->spot))
            continue;
        usable.n_machines++;
        usable.share = rp_plan_share_of_machine(&group->task_resources, &offering->capacity);
        usable.types |= 1u << offering->type;
    }
    for (int type = 0; type < RP_TYPES_MAX; type++)
        if (usable.types >> type & 1)
            usable.work_s += packing->queued_s[type];
    return usable;
}

bool rp_new_machine_packing_can_wait(struct rp_packing *packing,
                                     const struct rp_group_packing *current) {
    const struct rp_plan_group *group = current->group;
    if (group->slack_s >= RP_NO_OBJECTIVE_SLACK_S || WAIT_SLACK_SHARE <= 0)
        return false;
    struct usable_machines usable = usable_machines(packing, group);
    double own_s = current->n_left * usable.share * group->run_s;
    if (usable.n_machines == 0 ||
        (usable.work_s + own_s) / usable.n_machines > WAIT_SLACK_SHARE * group->slack_s)
        return false;
    for (int type = 0; type < RP_TYPES_MAX; type++)
        if (usable.types >> type & 1) {
            packing->queued_s[type] += own_s;
            break;
        }
    return true;
}
