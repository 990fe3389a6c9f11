#include "scheduler/planner.h"

#include <math.h>
#include <string.h>
#include "scheduler/array_packing.h"
#include "scheduler/candidate_list.h"
#include "scheduler/gang_packing.h"
#include "scheduler/job_order.h"
#include "scheduler/machine_order.h"
#include "scheduler/machine_pool.h"
#include "scheduler/packing.h"
#include "scheduler/plan_cost.h"
#include "scheduler/plan_resources.h"

/* Number of CPUs that a GPU counts as in the weight of unplaced work. */
#define UNPLACED_WORK_CPUS_PER_GPU 8
/* Number of CPUs that is added to each task's size in the weight of unplaced work. Without it,
 * tasks that need neither CPUs nor GPUs would weigh nothing. */
#define TASK_BASE_SIZE_CPUS 0.01
/* Ratio of the weight of unplaced work of one priority to that of the next lower priority. */
#define PRIORITY_WEIGHT_FACTOR 100

/* Number of the group's tasks that its team's limit still allows. */
static uint32_t team_limit(const struct rp_packing *packing, const struct rp_plan_group *group) {
    uint32_t n_allowed = group->n_tasks;
    if (group->team < 0)
        return n_allowed;
    n_allowed = rp_plan_n_fitting_resource(packing->team_cpus_left[group->team],
                                           group->task_resources.cpus, n_allowed);
    return rp_plan_n_fitting_resource(packing->team_gpus_left[group->team],
                                      group->task_resources.gpus, n_allowed);
}

/* Adds the group's placed tasks and its unplaced work to the plan's sums, and deducts the resources
 * of the placed tasks from what its team's limit leaves. */
static void account_group(struct rp_packing *packing, const struct rp_group_packing *current,
                          uint32_t n_placed) {
    const struct rp_plan_group *group = current->group;
    struct rp_plan *plan = packing->plan;
    if (group->team >= 0) {
        packing->team_cpus_left[group->team] -= n_placed * group->task_resources.cpus;
        packing->team_gpus_left[group->team] -= n_placed * group->task_resources.gpus;
    }
    double weight =
        (group->task_resources.cpus + UNPLACED_WORK_CPUS_PER_GPU * group->task_resources.gpus +
         TASK_BASE_SIZE_CPUS) *
        group->run_s;
    plan->unplaced_work +=
        current->n_left * weight * pow(PRIORITY_WEIGHT_FACTOR, (double)group->priority);
    for (size_t i = current->first_placement; i < plan->n_placements; i++) {
        if (plan->placements[i].starts_now)
            plan->n_starting += plan->placements[i].count;
        else
            plan->n_waiting += plan->placements[i].count;
    }
}

static void place_group(struct rp_packing *packing, size_t index) {
    struct rp_group_packing current;
    rp_candidate_list_refresh(packing, &packing->lists[packing->group_list[index]]);
    rp_candidate_list_refresh(packing, &packing->lists[packing->spare_list[index]]);
    rp_packing_begin_group(packing, &current, index);
    const struct rp_plan_group *group = current.group;
    uint32_t n_to_place = team_limit(packing, group);
    if (group->kind == RP_JOB_GANG && n_to_place < group->n_tasks)
        return; /* the whole gang exceeds the team's limit, and no part of it may start */
    current.n_left = n_to_place;
    if (group->kind == RP_JOB_GANG)
        rp_gang_packing_place(packing, &current);
    else
        rp_array_packing_place(packing, &current);
    if (group->has_reservation) {
        packing->plan->n_waiting += current.n_left;
        current.n_left = 0;
    }
    account_group(packing, &current, n_to_place - current.n_left);
}

void rp_plan_build(const struct rp_plan_input *input, struct rp_heuristic heuristic,
                   struct rp_plan *plan) {
    struct rp_packing packing;
    memset(plan, 0, sizeof *plan);
    if (!rp_packing_init(&packing, input, plan)) {
        plan->failed = true;
        goto out;
    }
    rp_candidate_lists_assign(&packing);
    rp_machine_pools_build(&packing);
    rp_machine_order_sort(&packing, heuristic.machine_order);
    if (!rp_candidate_lists_build(&packing)) {
        plan->failed = true;
        goto out;
    }
    rp_job_order_sort(&packing, heuristic.job_order);
    for (size_t i = 0; i < input->n_groups && !plan->failed; i++)
        place_group(&packing, packing.group_order[i]);
    rp_plan_cost_add(&packing);
out:
    rp_packing_free(&packing);
}
