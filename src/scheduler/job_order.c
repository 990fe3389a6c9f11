#include "scheduler/job_order.h"

#include <math.h>
#include "scheduler/load_shedding.h"
#include "scheduler/packing.h"
#include "scheduler/plan_resources.h"

/* Work with fewer machines to choose from goes ahead of work that may use spot machines as well. */
#define ESW_ORDINARY_ONLY_S 60.0
#define ESW_FETCH 2.0     /* seconds of slack that a second of fetching weighs */
#define ESW_RUN_TIME 0.75 /* of its run time that a job is drawn forward */
#define ESW_WORK 6.0      /* seconds of slack that a second of the whole fleet's work weighs */
/* How much more it weighs when not all jobs can be in time, and for each 100 machines as much
 * again: with the fleet grows the number of jobs that wait, and each is a smaller part of it. */
#define ESW_SHORT 5.0
#define ESW_SHORT_MACHINES 100.0
#define ESW_RARE 3.0 /* seconds that a rare job is drawn forward for each of the fleet's work */

/* A GPU counts as so many CPUs in a job's size, and so do so many GB of memory as one. */
#define SIZE_CPUS_PER_GPU 8
#define SIZE_GB_PER_CPU 8

/* What a criterion's formula may use; the first group in the order has the least key. */
struct job_key_input {
    const struct rp_plan_group *group;
    size_t position;    /* in the planner's input */
    double size;        /* of a task, in CPUs */
    double fleet_share; /* of the fleet that a task takes */
    double work_weight; /* of the group's work in ESW */
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
    return group->slack_s - ESW_RUN_TIME * group->run_s +
           input->work_weight * group->n_tasks * group->run_s * input->fleet_share;
}

/* The criteria with their formulas and sources; their names are those of the settings
 * (model/heuristic.c). */
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
    [RP_JOB_ORDER_ESW] = key_esw, /* earliest slack, weighed by work: slack + work (ours) */
};

static double fleet_share(const struct rp_resources *each, const struct rp_resources *fleet) {
    double share = fleet->cpus > 0 ? each->cpus / fleet->cpus : 0;
    if (each->gpus > 0 && fleet->gpus > 0)
        share = fmax(share, each->gpus / fleet->gpus);
    return share;
}

/* What a fetch would delay the group by: nothing if a machine with capacity holds its image. */
static double fetch_delay_s(const struct rp_packing *packing, size_t index) {
    const struct rp_plan_group *group = &packing->input->groups[index];
    const struct rp_candidate_list *list = &packing->lists[packing->group_list[index]];
    double fetch = 0;
    for (size_t i = 0; i < list->n[RP_CAPACITY_NOW]; i++) {
        size_t machine_index = list->machines[RP_CAPACITY_NOW][i];
        const struct rp_plan_machine *machine = &packing->input->machines[machine_index];
        if (!rp_plan_group_may_use_machine(group, machine) || machine->fetch_gb_per_s <= 0 ||
            !rp_plan_n_fitting(&group->each, &machine->free_now, 1))
            continue;
        if (group->has_image && group->has_image[machine_index])
            return 0;
        fetch = fmax(fetch, group->image_gb / machine->fetch_gb_per_s);
    }
    return fetch;
}

static int group_rank(const struct rp_packing *packing, size_t index) {
    const struct rp_plan_group *group = &packing->input->groups[index];
    if (group->is_guaranteed)
        return -3 * (RP_PRIORITY_CRITICAL + 1);
    /* Priority comes before every order: work never waits for work of a lower priority. */
    return -3 * (int)group->priority +
           (group->is_first_task &&
                    packing->plan->short_of_capacity[rp_plan_group_needs_gpus(group)]
                ? 0
            : packing->is_shed[index] ? 2
                                      : 1);
}

/* The only job of a class isn't kept behind all smaller ones: on the contrary, its work has to be
 * begun earlier by the time that it takes, beside other work. */
static double small_first_weight(const struct rp_packing *packing,
                                 const struct rp_plan_group *group, double weight) {
    double factor = rp_load_shedding_class_factor(packing, group);
    return weight * factor - ESW_RARE * (1 - factor);
}

static struct rp_resources fleet_capacity(const struct rp_packing *packing) {
    struct rp_resources fleet = {0};
    for (size_t i = 0; i < packing->input->n_machines; i++)
        rp_plan_take_resources(&fleet, &packing->input->machines[i].capacity, -1);
    return fleet;
}

/* Seconds of slack that a second of the whole fleet's work weighs for the group. Gangs are never
 * shed: behind all smaller arrays they would wait too long. */
static double work_weight(const struct rp_packing *packing, const struct rp_plan_group *group) {
    double short_weight =
        ESW_WORK * ESW_SHORT * fmax(1, (double)packing->input->n_machines / ESW_SHORT_MACHINES);
    bool small_first = group->kind == RP_JOB_ARRAY &&
                       packing->plan->short_of_capacity[rp_plan_group_needs_gpus(group)];
    return small_first ? small_first_weight(packing, group, short_weight) : ESW_WORK;
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
                                      .size = group->each.cpus +
                                              SIZE_CPUS_PER_GPU * group->each.gpus +
                                              group->each.memory_gb / SIZE_GB_PER_CPU,
                                      .fleet_share = fleet_share(&group->each, &fleet),
                                      .work_weight = work_weight(packing, group)};
        double key = criteria[order](&input);
        if (order == RP_JOB_ORDER_ESW)
            key += ESW_FETCH * fetch_delay_s(packing, i) - (group->spot ? 0 : ESW_ORDINARY_ONLY_S);
        packing->sort_entries[i] =
            (struct rp_sort_entry){.item = i, .rank = group_rank(packing, i), .key = key};
    }
    rp_packing_sort(packing->group_order, packing->sort_entries, n);
}
