#include "scheduler/job_order.h"

#include <math.h>
#include "scheduler/load_shedding.h"
#include "scheduler/packing.h"
#include "scheduler/plan_resources.h"

/* The weights of ESW (earliest slack, weighted by work). Its key is in seconds of slack, and the
 * group with the least key is placed first. "Fleet work" is work in seconds of the whole fleet: a
 * group's number of tasks times their run time times the share of the fleet that one task takes. */

/* Seconds by which the key of a group that may not use spot machines is reduced: it has fewer
 * machines to choose from, and precedes work that may use spot machines too. */
#define ESW_NO_SPOT_ADVANCE_S 60.0
/* Seconds of slack that are added to the key for each second of fetching the image. */
#define ESW_SLACK_S_PER_FETCH_S 2.0
/* Share of a task's run time by which the key is reduced. */
#define ESW_RUN_TIME_ADVANCE_SHARE 0.75
/* Seconds of slack that are added to the key for each second of fleet work. */
#define ESW_SLACK_S_PER_FLEET_WORK_S 6.0
/* Factor on ESW_SLACK_S_PER_FLEET_WORK_S for arrays while not all jobs can meet their objectives.
 * In a fleet of more than 100 machines (ESW_SHORTAGE_N_MACHINES), it is multiplied by the number of
 * machines divided by 100: in a larger fleet more jobs wait, and each is a smaller share of the
 * fleet's work. */
#define ESW_SHORTAGE_WORK_FACTOR 5.0
#define ESW_SHORTAGE_N_MACHINES 100.0
/* Seconds by which the key of the only job of a class is reduced for each second of fleet work
 * while not all jobs can meet their objectives. For other jobs of rare classes, the class factor
 * (load_shedding.h) blends this value with the weight during a shortage. */
#define ESW_RARE_ADVANCE_S_PER_FLEET_WORK_S 3.0

/* Number of CPUs that a GPU counts as, and number of GB of memory that count as one CPU, in a
 * task's size. */
#define SIZE_CPUS_PER_GPU 8
#define SIZE_GB_PER_CPU 8

/* The values that a criterion's formula may use. Groups are sorted by ascending key. */
struct job_key_input {
    const struct rp_plan_group *group;
    size_t position;    /* index in the planner's input */
    double size;        /* of a task, in CPUs */
    double fleet_share; /* share of the fleet that a task takes */
    double work_weight; /* ESW: seconds of slack for each second of fleet work */
};

static double key_fcfs(const struct job_key_input *input) {
    return -input->group->age_s;
}

static double key_rr(const struct job_key_input *input) {
    return (double)input->position; /* the input alternates between teams */
}

static double key_ljf(const struct job_key_input *input) {
    return -input->size;
}

static double key_sjf(const struct job_key_input *input) {
    return input->size;
}

static double key_ltjf(const struct job_key_input *input) {
    return -input->group->run_s;
}

static double key_stjf(const struct job_key_input *input) {
    return input->group->run_s;
}

static double key_edf(const struct job_key_input *input) {
    return input->group->slack_s;
}

static double key_srw(const struct job_key_input *input) {
    return input->size * input->group->n_tasks * input->group->run_s;
}

static double key_esw(const struct job_key_input *input) {
    const struct rp_plan_group *group = input->group;
    return group->slack_s - ESW_RUN_TIME_ADVANCE_SHARE * group->run_s +
           input->work_weight * group->n_tasks * group->run_s * input->fleet_share;
}

/* The criteria with their formulas and sources. Their names are those of the settings
 * (model/heuristic.c). "Ours" marks the criteria that are not from the paper. */
static double (*const criteria[])(const struct job_key_input *input) = {
    [RP_JOB_ORDER_FCFS] = key_fcfs, /* first-come-first-served: -age (paper, table 2) */
    [RP_JOB_ORDER_RR] = key_rr,     /* round-robin: position in the input (paper, table 2) */
    [RP_JOB_ORDER_LJF] = key_ljf,   /* largest job first: -size of a task (paper, table 2) */
    [RP_JOB_ORDER_SJF] = key_sjf,   /* smallest job first: size of a task (paper, table 2) */
    [RP_JOB_ORDER_LTJF] = key_ltjf, /* longest run time first: -run time (paper, table 2) */
    [RP_JOB_ORDER_STJF] = key_stjf, /* shortest run time first: run time (paper, table 2) */
    [RP_JOB_ORDER_EDF] = key_edf,   /* earliest due first: slack (ours) */
    [RP_JOB_ORDER_SRW] =
        key_srw, /* smallest remaining work first: size * tasks * run time (ours) */
    [RP_JOB_ORDER_ESW] = key_esw, /* earliest slack, weighted by work: slack + work (ours) */
};

static double fleet_share(const struct rp_resources *need, const struct rp_resources *fleet) {
    double share = fleet->cpus > 0 ? need->cpus / fleet->cpus : 0;
    if (need->gpus > 0 && fleet->gpus > 0)
        share = fmax(share, need->gpus / fleet->gpus);
    return share;
}

/* Longest time, in seconds, that a fetch of the image would delay the group on a machine with free
 * capacity; 0 if one of these machines has the image. */
static double fetch_delay_s(const struct rp_packing *packing, size_t index) {
    const struct rp_plan_group *group = &packing->input->groups[index];
    const struct rp_candidate_list *list = &packing->lists[packing->group_list[index]];
    double longest_fetch_s = 0;
    for (size_t i = 0; i < list->n[RP_CAPACITY_NOW]; i++) {
        size_t machine_index = list->machines[RP_CAPACITY_NOW][i];
        const struct rp_plan_machine *machine = &packing->input->machines[machine_index];
        if (!rp_plan_group_may_use_machine(group, machine) || machine->fetch_gb_per_s <= 0 ||
            !rp_plan_n_fitting(&group->task_resources, &machine->free_now, 1))
            continue;
        if (group->has_image && group->has_image[machine_index])
            return 0;
        longest_fetch_s = fmax(longest_fetch_s, group->image_gb / machine->fetch_gb_per_s);
    }
    return longest_fetch_s;
}

static int group_rank(const struct rp_packing *packing, size_t index) {
    const struct rp_plan_group *group = &packing->input->groups[index];
    if (group->is_guaranteed)
        return -3 * (RP_PRIORITY_CRITICAL + 1);
    /* The priority takes precedence over every criterion: work never waits for work of a lower
     * priority. Within a priority, first tasks come first while capacity is short, and shed groups
     * come last. */
    return -3 * (int)group->priority +
           (group->is_first_task &&
                    packing->plan->short_of_capacity[rp_plan_group_needs_gpus(group)]
                ? 0
            : packing->is_shed[index] ? 2
                                      : 1);
}

/* Weight of the group's work during a shortage. Without the class factor, the only job of a class
 * would be placed after all smaller jobs. The work of such a job must start earlier by the time
 * that it takes while other work runs too, which is why the weight becomes negative. */
static double shortage_work_weight(const struct rp_packing *packing,
                                   const struct rp_plan_group *group, double weight) {
    double factor = rp_load_shedding_class_factor(packing, group);
    return weight * factor - ESW_RARE_ADVANCE_S_PER_FLEET_WORK_S * (1 - factor);
}

static struct rp_resources fleet_capacity(const struct rp_packing *packing) {
    struct rp_resources fleet = {0};
    for (size_t i = 0; i < packing->input->n_machines; i++)
        rp_plan_take_resources(&fleet, &packing->input->machines[i].capacity, -1);
    return fleet;
}

/* Seconds of slack that are added to the group's key for each second of fleet work. Gangs keep the
 * weight without a shortage: they are never shed, and after all smaller arrays they would wait too
 * long. */
static double work_weight(const struct rp_packing *packing, const struct rp_plan_group *group) {
    double shortage_weight = ESW_SLACK_S_PER_FLEET_WORK_S * ESW_SHORTAGE_WORK_FACTOR *
                             fmax(1, (double)packing->input->n_machines / ESW_SHORTAGE_N_MACHINES);
    bool small_jobs_first = group->kind == RP_JOB_ARRAY &&
                            packing->plan->short_of_capacity[rp_plan_group_needs_gpus(group)];
    return small_jobs_first ? shortage_work_weight(packing, group, shortage_weight)
                            : ESW_SLACK_S_PER_FLEET_WORK_S;
}

void rp_job_order_sort(struct rp_packing *packing, enum rp_job_order order) {
    size_t n = packing->input->n_groups;
    struct rp_resources fleet = fleet_capacity(packing);
    rp_load_shedding_count_classes(packing);
    if (order == RP_JOB_ORDER_ESW)
        rp_load_shedding_run(packing);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        struct job_key_input input = {.group = group,
                                      .position = i,
                                      .size = group->task_resources.cpus +
                                              SIZE_CPUS_PER_GPU * group->task_resources.gpus +
                                              group->task_resources.memory_gb / SIZE_GB_PER_CPU,
                                      .fleet_share = fleet_share(&group->task_resources, &fleet),
                                      .work_weight = work_weight(packing, group)};
        double key = criteria[order](&input);
        if (order == RP_JOB_ORDER_ESW)
            key += ESW_SLACK_S_PER_FETCH_S * fetch_delay_s(packing, i) -
                   (group->spot ? 0 : ESW_NO_SPOT_ADVANCE_S);
        packing->sort_entries[i] =
            (struct rp_sort_entry){.item = i, .rank = group_rank(packing, i), .key = key};
    }
    rp_packing_sort(packing->group_order, packing->sort_entries, n);
}
