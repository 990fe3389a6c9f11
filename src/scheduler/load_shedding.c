#include "scheduler/load_shedding.h"

#include <math.h>
#include "scheduler/machine_pool.h"
#include "scheduler/packing.h"
#include "scheduler/plan_resources.h"

/* Work is shed when it exceeds the capacity up to its due time, multiplied by a factor:
 * SHED_CAPACITY_FACTOR plus SHED_CAPACITY_FACTOR_MACHINES divided by the number of machines.
 * Estimates are rough, and the fewer machines the work is spread over, the rougher they are. */
#define SHED_CAPACITY_FACTOR 0.9
#define SHED_CAPACITY_FACTOR_MACHINES 30.0
/* A class with at most this many unfinished jobs is rare if another class of its priority,
 * likewise with or without GPUs, has more jobs. */
#define RARE_CLASS_JOBS_MAX 10.0

void rp_load_shedding_count_classes(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_groups; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        uint32_t *max_jobs =
            &packing->max_class_jobs[group->priority][rp_plan_group_needs_gpus(group)];
        if (group->kind == RP_JOB_ARRAY && group->slack_s < RP_NO_OBJECTIVE_SLACK_S &&
            group->class_jobs > *max_jobs)
            *max_jobs = group->class_jobs;
    }
}

double rp_load_shedding_class_factor(const struct rp_packing *packing,
                                     const struct rp_plan_group *group) {
    if (group->class_jobs >=
            packing->max_class_jobs[group->priority][rp_plan_group_needs_gpus(group)] ||
        group->class_jobs == 0)
        return 1;
    return fmin(1, (group->class_jobs - 1) / RARE_CLASS_JOBS_MAX);
}

/* The group's work, in seconds of a CPU or, if it needs GPUs, of a GPU. */
static double group_work(const struct rp_plan_group *group) {
    return group->n_tasks * group->run_s *
           (rp_plan_group_needs_gpus(group) ? group->task_resources.gpus
                                            : group->task_resources.cpus);
}

/* Among the first `n` sorted groups, returns the array with the most work, weighted by its class
 * factor, that is not shed. Gangs are never shed: the work of a gang does not show what is gained
 * by starting it whole, and gangs are few. */
static const struct rp_plan_group *largest_admitted(const struct rp_packing *packing, size_t n) {
    const struct rp_plan_group *largest = NULL;
    double largest_work = 0;
    for (size_t k = 0; k < n; k++) {
        const struct rp_plan_group *group = &packing->input->groups[packing->sort_entries[k].item];
        double work = group_work(group) * rp_load_shedding_class_factor(packing, group);
        if (group->kind != RP_JOB_ARRAY || packing->is_shed[packing->sort_entries[k].item] ||
            (largest && work <= largest_work))
            continue;
        largest = group;
        largest_work = work;
    }
    return largest;
}

/* Sorts the groups of the priority that have an objective by due time; returns their number. */
static size_t sort_by_due_time(struct rp_packing *packing, enum rp_priority priority, bool gpus) {
    size_t n = 0;
    for (size_t i = 0; i < packing->input->n_groups; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        if (group->priority == priority && rp_plan_group_needs_gpus(group) == gpus &&
            group->slack_s < RP_NO_OBJECTIVE_SLACK_S)
            packing->sort_entries[n++] =
                (struct rp_sort_entry){.item = i, .key = group->slack_s, .rank = 0};
    }
    rp_packing_sort_entries(packing->sort_entries, n);
    return n;
}

/* Moore's rule: groups are admitted by due time, and whenever the admitted work cannot be done by
 * the due time, the largest admitted job is shed. This maximizes the number of jobs that meet their
 * objectives. Without shedding, under sustained overload, jobs that are about to be late take the
 * capacity of those that could still meet their objectives, and all jobs are late. */
static void shed_priority(struct rp_packing *packing, enum rp_priority priority, bool gpus,
                          struct rp_pool_load *load) {
    size_t n = sort_by_due_time(packing, priority, gpus);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *group = &packing->input->groups[packing->sort_entries[i].item];
        if (group->is_late)
            continue;
        load->work += group_work(group);
        if (load->work <= load->capacity * group->slack_s)
            continue;
        const struct rp_plan_group *largest = largest_admitted(packing, i + 1);
        if (!largest)
            continue;
        packing->is_shed[largest - packing->input->groups] = true;
        packing->plan->short_of_capacity[gpus] = true;
        load->work -= group_work(largest);
    }
    for (size_t i = 0; i < n && packing->plan->short_of_capacity[gpus]; i++) {
        size_t item = packing->sort_entries[i].item;
        if (packing->input->groups[item].is_late)
            packing->is_shed[item] = packing->input->groups[item].kind == RP_JOB_ARRAY;
    }
}

void rp_load_shedding_run(struct rp_packing *packing) {
    for (int gpus = 0; gpus < 2; gpus++) {
        struct rp_pool_load load = rp_machine_pools_load(packing, gpus);
        if (load.n_machines > 0)
            load.capacity *= SHED_CAPACITY_FACTOR + SHED_CAPACITY_FACTOR_MACHINES / load.n_machines;
        for (int p = RP_PRIORITY_CRITICAL; p >= RP_PRIORITY_LOW && load.capacity > 0; p--)
            shed_priority(packing, (enum rp_priority)p, gpus, &load);
    }
}
