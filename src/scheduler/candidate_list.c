#include "scheduler/candidate_list.h"

#include <math.h>
#include <stdlib.h>
#include "scheduler/plan_resources.h"

/* The classes of needs: each spans a factor of 4 of a task's size. */
#define NEED_CLASS_MIN (-6)
#define NEED_CLASS_MAX 6
/* A task's size is in CPUs. A GPU, and this many GB of memory, count as so many CPUs. */
#define SIZE_CPUS_PER_GPU 8
#define SIZE_MEMORY_GB_PER_CPU 4

/* The class of a need. With one class for all needs, a single waiting job of small tasks, for which
 * every machine has room, made every group examine every machine. */
static int need_class(const struct rp_resources *need) {
    double size =
        need->cpus + SIZE_CPUS_PER_GPU * need->gpus + need->memory_gb / SIZE_MEMORY_GB_PER_CPU;
    int exponent = 0;
    if (size <= 0)
        return NEED_CLASS_MIN;
    (void)frexp(size, &exponent);
    int class = (int)floor(exponent / 2.0);
    return class < NEED_CLASS_MIN   ? NEED_CLASS_MIN
           : class > NEED_CLASS_MAX ? NEED_CLASS_MAX
                                    : class;
}

/* Whether some task of the list's groups may find a task slot. */
static bool may_have_slot(const struct rp_candidate_list *list,
                          const struct rp_resources *available) {
    return list->largest_need.task_slots <= 0 ||
           rp_resources_slots_for(&list->largest_need, available) >= 1;
}

/* Whether the machine belongs on the list: its type is among the list's types, and it has capacity
 * for the least demanding task of the list's groups. */
static bool is_candidate(const struct rp_packing *packing, const struct rp_candidate_list *list,
                         enum rp_capacity_kind kind, size_t machine) {
    const struct rp_bin *bin = &packing->bins[machine];
    const struct rp_resources *available = kind == RP_CAPACITY_NOW     ? &bin->free_now
                                           : kind == RP_CAPACITY_LATER ? &bin->free_later
                                                                       : &bin->free_spare;
    return (list->types >> packing->input->machines[machine].type & 1) &&
           rp_plan_n_fitting(&list->smallest_need, available, 1) > 0 &&
           may_have_slot(list, available);
}

void rp_candidate_list_refresh(struct rp_packing *packing, struct rp_candidate_list *list) {
    if (!list->is_stale)
        return;
    for (int kind = 0; kind < RP_CAPACITY_KINDS; kind++) {
        size_t n_kept = 0;
        for (size_t i = 0; i < list->n[kind]; i++)
            if (is_candidate(packing, list, (enum rp_capacity_kind)kind, list->machines[kind][i]))
                list->machines[kind][n_kept++] = list->machines[kind][i];
        list->n[kind] = n_kept;
    }
    list->is_stale = false;
}

static void include_need(struct rp_candidate_list *list, const struct rp_resources *need) {
    list->largest_need.cpus = fmax(list->largest_need.cpus, need->cpus);
    list->largest_need.gpus = fmax(list->largest_need.gpus, need->gpus);
    list->largest_need.memory_gb = fmax(list->largest_need.memory_gb, need->memory_gb);
    list->largest_need.task_slots = fmax(list->largest_need.task_slots, need->task_slots);
    list->smallest_need.cpus = fmin(list->smallest_need.cpus, need->cpus);
    list->smallest_need.gpus = fmin(list->smallest_need.gpus, need->gpus);
    list->smallest_need.memory_gb = fmin(list->smallest_need.memory_gb, need->memory_gb);
}

static size_t candidate_list_for(struct rp_packing *packing, uint32_t types,
                                 const struct rp_resources *need) {
    size_t list = 0;
    int class = need_class(need);
    while (list < packing->n_lists &&
           (packing->lists[list].types != types || packing->lists[list].need_class != class))
        list++;
    if (list >= RP_CANDIDATE_LISTS_MAX) {
        list = RP_CANDIDATE_LISTS_MAX - 1;
        packing->lists[list].types |= types;
    } else if (list == packing->n_lists) {
        packing->lists[packing->n_lists++] =
            (struct rp_candidate_list){.types = types,
                                       .need_class = class,
                                       .is_stale = true,
                                       .smallest_need = {INFINITY, INFINITY, INFINITY}};
    }
    include_need(&packing->lists[list], need);
    return list;
}

void rp_candidate_lists_assign(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_groups; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        packing->group_list[i] = candidate_list_for(packing, group->types, &group->task_resources);
        packing->spare_list[i] =
            group->spare_types
                ? candidate_list_for(packing, group->spare_types, &group->task_resources)
                : packing->group_list[i];
    }
}

bool rp_candidate_lists_build(struct rp_packing *packing) {
    size_t n = packing->input->n_machines;
    for (size_t k = 0; k < packing->n_lists; k++) {
        struct rp_candidate_list *list = &packing->lists[k];
        for (int kind = 0; kind < RP_CAPACITY_KINDS; kind++) {
            list->machines[kind] = malloc((n + 1) * sizeof(size_t));
            if (!list->machines[kind])
                return false;
            for (size_t i = 0; i < n; i++) {
                size_t machine = kind == RP_CAPACITY_SPARE ? i : packing->machine_order[i];
                if (is_candidate(packing, list, (enum rp_capacity_kind)kind, machine))
                    list->machines[kind][list->n[kind]++] = machine;
            }
        }
        list->is_stale = false;
    }
    return true;
}

void rp_candidate_lists_mark_stale(struct rp_packing *packing, size_t machine) {
    int type = packing->input->machines[machine].type;
    for (size_t k = 0; k < packing->n_lists; k++)
        packing->lists[k].is_stale |= packing->lists[k].types >> type & 1;
}

void rp_candidate_lists_free(struct rp_packing *packing) {
    for (size_t k = 0; k < packing->n_lists; k++)
        for (int kind = 0; kind < RP_CAPACITY_KINDS; kind++)
            free(packing->lists[k].machines[kind]);
}
