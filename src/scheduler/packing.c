#include "scheduler/packing.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "scheduler/candidate_list.h"
#include "scheduler/plan_resources.h"

/* Number of placements that a plan's first allocation holds; doubled whenever it is full. */
#define INITIAL_PLACEMENTS_CAPACITY 64

static void fill_bins(struct rp_packing *packing) {
    const struct rp_plan_input *input = packing->input;
    for (size_t i = 0; i < input->n_machines; i++)
        packing->bins[i] = (struct rp_bin){.free_now = input->machines[i].free_now,
                                           .free_later = input->machines[i].free_later,
                                           .free_spare = input->machines[i].free_spare,
                                           .end_s = input->machines[i].busy_s};
    for (size_t i = 0; i < input->n_teams; i++) {
        packing->team_cpus_left[i] = input->teams[i].cpus_left;
        packing->team_gpus_left[i] = input->teams[i].gpus_left;
    }
}

bool rp_packing_init(struct rp_packing *packing, const struct rp_plan_input *input,
                     struct rp_plan *plan) {
    size_t n_sorted_max = input->n_groups > input->n_machines ? input->n_groups : input->n_machines;
    *packing = (struct rp_packing){.input = input, .plan = plan};
    packing->bins = calloc(input->n_machines + input->new_machines_max + 1, sizeof *packing->bins);
    packing->group_order = calloc(input->n_groups + 1, sizeof(size_t));
    packing->machine_order = calloc(input->n_machines + 1, sizeof(size_t));
    packing->sort_entries = calloc(n_sorted_max + 1, sizeof *packing->sort_entries);
    packing->is_shed = calloc(input->n_groups + 1, sizeof *packing->is_shed);
    packing->group_list = calloc(input->n_groups + 1, sizeof(size_t));
    packing->spare_list = calloc(input->n_groups + 1, sizeof(size_t));
    packing->pools = calloc(input->n_machines + 1, sizeof *packing->pools);
    packing->team_cpus_left = calloc(input->n_teams + 1, sizeof(double));
    packing->team_gpus_left = calloc(input->n_teams + 1, sizeof(double));
    bool has_orders = packing->group_order && packing->machine_order && packing->sort_entries;
    bool has_lists = packing->group_list && packing->spare_list && packing->pools;
    bool has_teams = packing->team_cpus_left && packing->team_gpus_left;
    if (!packing->bins || !packing->is_shed || !has_orders || !has_lists || !has_teams)
        return false;
    fill_bins(packing);
    return true;
}

void rp_packing_free(struct rp_packing *packing) {
    free(packing->bins);
    free(packing->group_order);
    free(packing->machine_order);
    free(packing->sort_entries);
    free(packing->pools);
    free(packing->is_shed);
    free(packing->group_list);
    free(packing->spare_list);
    rp_candidate_lists_free(packing);
    free(packing->team_cpus_left);
    free(packing->team_gpus_left);
}

static int compare_sort_entries(const void *a, const void *b) {
    const struct rp_sort_entry *left = a;
    const struct rp_sort_entry *right = b;
    if (left->rank != right->rank)
        return left->rank < right->rank ? -1 : 1;
    if (left->key != right->key)
        return left->key < right->key ? -1 : 1;
    return left->item < right->item ? -1 : left->item > right->item;
}

void rp_packing_sort_entries(struct rp_sort_entry *entries, size_t n) {
    qsort(entries, n, sizeof *entries, compare_sort_entries);
}

void rp_packing_sort(size_t *order, struct rp_sort_entry *entries, size_t n) {
    rp_packing_sort_entries(entries, n);
    for (size_t i = 0; i < n; i++)
        order[i] = entries[i].item;
}

void rp_packing_begin_group(struct rp_packing *packing, struct rp_group_packing *current,
                            size_t index) {
    current->group = &packing->input->groups[index];
    current->index = index;
    current->zone = current->group->fixed_zone;
    current->first_placement = packing->plan->n_placements;
    memcpy(current->zone_used, current->group->zone_used, sizeof current->zone_used);
}

static bool append_placement(struct rp_packing *packing, size_t group, size_t machine,
                             uint32_t count, bool starts_now) {
    struct rp_plan *plan = packing->plan;
    if (plan->n_placements == plan->cap_placements) {
        size_t cap = plan->cap_placements ? plan->cap_placements * 2 : INITIAL_PLACEMENTS_CAPACITY;
        struct rp_placement *placements = realloc(plan->placements, cap * sizeof *placements);
        if (!placements) {
            plan->failed = true;
            return false;
        }
        plan->placements = placements;
        plan->cap_placements = cap;
    }
    plan->placements[plan->n_placements++] = (struct rp_placement){
        .group = group, .machine = machine, .count = count, .starts_now = starts_now};
    return true;
}

/* The type, zone and capacity of a bin's machine. */
struct bin_kind {
    int type, zone;
    const struct rp_resources *capacity;
};

static struct bin_kind bin_kind(const struct rp_packing *packing, size_t bin) {
    const struct rp_plan_input *input = packing->input;
    if (bin < input->n_machines) {
        const struct rp_plan_machine *machine = &input->machines[bin];
        return (struct bin_kind){machine->type, machine->zone, &machine->capacity};
    }
    const struct rp_plan_offering *offering =
        &input->offerings[packing->plan->new_machines[bin - input->n_machines]];
    return (struct bin_kind){offering->type, offering->zone, &offering->capacity};
}

/* The tasks of the group's job that the bin's machine lists, and those that the plan has placed
 * there. */
static double n_listed_of_job(const struct rp_packing *packing,
                              const struct rp_group_packing *current, size_t index) {
    const struct rp_bin *bin = &packing->bins[index];
    double n = bin->last_group == current->index + 1 ? bin->n_of_group : 0;
    if (index >= packing->input->n_machines)
        return n;
    const struct rp_plan_machine *machine = &packing->input->machines[index];
    for (size_t i = 0; i < machine->n_holdings; i++)
        if (machine->holdings[i].job == current->group->ref)
            return n + machine->holdings[i].n_tasks;
    return n;
}

uint32_t rp_packing_n_fitting(const struct rp_packing *packing,
                              const struct rp_group_packing *current, size_t index,
                              const struct rp_resources *available, uint32_t limit) {
    const struct rp_resources *need = &current->group->task_resources;
    limit = rp_plan_n_fitting(need, available, limit);
    if (limit == 0 || need->task_slots <= 0 || rp_resources_takes_share(need, available))
        return limit;
    double n_small =
        rp_resources_n_small_tasks(available->task_slots, n_listed_of_job(packing, current, index));
    return n_small < limit ? (uint32_t)n_small : limit;
}

void rp_packing_place(struct rp_packing *packing, struct rp_group_packing *current, size_t index,
                      uint32_t count, bool starts_now, double end_s) {
    struct rp_bin *bin = &packing->bins[index];
    struct bin_kind kind = bin_kind(packing, index);
    const struct rp_plan_group *group = current->group;
    if (!append_placement(packing, current->index, index, count, starts_now))
        return;
    rp_plan_take_resources(&bin->free_later, &group->task_resources, count);
    bin->n_of_group = count + (bin->last_group == current->index + 1 ? bin->n_of_group : 0);
    bin->last_group = current->index + 1;
    if (starts_now) {
        rp_plan_take_resources(&bin->free_now, &group->task_resources, count);
        rp_plan_take_resources(&bin->free_spare, &group->task_resources, count);
    }
    bin->end_s = fmax(bin->end_s, end_s);
    if (index < packing->input->n_machines)
        rp_candidate_lists_mark_stale(packing, index);
    packing->queued_s[kind.type] +=
        count * group->run_s * rp_plan_share_of_machine(&group->task_resources, kind.capacity);
    current->n_left -= count;
    current->zone_used[kind.zone] += count;
    if (group->one_zone)
        current->zone = kind.zone;
}

void rp_packing_roll_back(struct rp_packing *packing, struct rp_group_packing *current,
                          size_t n_new_before) {
    struct rp_plan *plan = packing->plan;
    while (plan->n_placements > current->first_placement) {
        const struct rp_placement *placement = &plan->placements[--plan->n_placements];
        struct rp_bin *bin = &packing->bins[placement->machine];
        double count = placement->count;
        bin->n_of_group -= placement->count;
        rp_plan_take_resources(&bin->free_later, &current->group->task_resources, -count);
        if (placement->starts_now) {
            rp_plan_take_resources(&bin->free_now, &current->group->task_resources, -count);
            rp_plan_take_resources(&bin->free_spare, &current->group->task_resources, -count);
        }
    }
    plan->n_new_machines = n_new_before;
    current->n_left =
        current->group->kind == RP_JOB_GANG ? current->group->n_tasks : current->n_left;
    current->zone = current->group->fixed_zone;
    memcpy(current->zone_used, current->group->zone_used, sizeof current->zone_used);
}
