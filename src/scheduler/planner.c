#include "scheduler/planner.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define EPS 1e-9
#define LISTINGS_MAX 16  /* sets of types with a list of their own; the rest share the last one */
#define WAIT_SHARE 0.4   /* of a job's time to spare that may pass in waiting */
#define HOLDER_SHARE 1.0 /* of a fetch's time that room with the image is waited for */
/* Work with fewer machines to choose from goes ahead of work that may use spot machines as well. */
#define ESW_FEW 60.0
#define ESW_FETCH 2.0 /* seconds of slack that a second of fetching weighs */
#define ESW_LONG 0.75 /* of its run time that a job is drawn forward */
/* Work is given up beyond so many times what can be done in time: estimates are rough, and the
 * rougher the fewer machines they are spread over. */
#define GIVE_UP_AT 0.9
#define GIVE_UP_FEW 30.0
#define SPARE_SHARE 0.7 /* of a task's time that a machine must be in use for anyway */
/* How much more it weighs when not all jobs can be in time, and for each 100 machines as much
 * again: with the fleet grows the number of jobs that wait, and each is a smaller part of it. */
#define ESW_SHORT 5.0
#define ESW_SHORT_FLEET 100.0
#define RARE_JOBS 10.0 /* a class with fewer unfinished jobs is rare, where another has more */
#define ESW_RARE 3.0   /* seconds that a rare job is drawn forward for each of the fleet's work */
#define ESW_WEIGHT 6.0 /* seconds of slack that a second of the whole fleet's work weighs */

void rp_plan_free(struct rp_plan *plan) {
    free(plan->placements);
    free(plan->new_machines);
    memset(plan, 0, sizeof *plan);
}

/* ---- the state of one heuristic's run ---- */

struct rp_bin {
    struct rp_resources free_now, free_later, free_spare;
    double end_s; /* estimated end of the last task */
    bool used;
};

struct rp_sort_entry {
    size_t item;
    int rank; /* before the key */
    double key;
};

/* The machines of one type, zone and kind together. */
struct rp_machine_pool {
    int type, zone;
    bool spot;
    double n_machines, work_s;
    const struct rp_resources *capacity;
};

/* Which room of a machine a list is about. */
enum rp_capacity_kind { RP_CAPACITY_NOW, RP_CAPACITY_LATER, RP_CAPACITY_SPARE, RP_CAPACITY_KINDS };

/* The machines, in the heuristic's order, that have room for some group among those that may use
 * the same types. A group looks at its own list only: with one list for all, the plans' work grew
 * with groups times machines, whether these were full, of other types, or had nothing to spare. */
struct rp_candidate_list {
    uint32_t types;
    bool is_stale; /* rooms have been taken since the lists were last thinned out */
    size_t *machines[RP_CAPACITY_KINDS], n[RP_CAPACITY_KINDS];
    struct rp_resources smallest_need; /* of each resource: what the least demanding task needs */
};

struct rp_packing {
    const struct rp_plan_input *input;
    struct rp_plan *plan;
    struct rp_bin *bins; /* machines, then new ones */
    size_t *group_order, *machine_order;
    size_t *group_list, *spare_list; /* of each group: its indexes in `listings` */
    struct rp_candidate_list lists[LISTINGS_MAX];
    size_t n_lists;
    bool *is_shed; /* groups that can't be in time, or aren't to be so that more others are */
    /* Of the arrays' classes of a priority with aims, without GPUs and with: the most unfinished
     * jobs. Gangs don't count: they are never given up, and their size is no part of the order. */
    uint32_t most_class_jobs[RP_PRIORITY_CRITICAL + 1][2];
    struct rp_machine_pool *pools;
    size_t n_pools;
    struct rp_sort_entry *sort_entries;
    double *team_cpus_left, *team_gpus_left;
    double queued_s[RP_TYPES_MAX]; /* work given to a type's machines, and left to them */
};

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

static uint32_t n_fitting_resource(double available, double need, uint32_t limit) {
    if (need <= 0)
        return limit;
    if (available < need * (1 - EPS))
        return 0; /* most looks end here, without a division */
    double n = floor(available / need + EPS);
    return n <= 0 ? 0 : n < limit ? (uint32_t)n : limit;
}

static uint32_t rp_plan_n_fitting(const struct rp_resources *need,
                                  const struct rp_resources *available, uint32_t limit) {
    limit = n_fitting_resource(available->cpus, need->cpus, limit);
    limit = n_fitting_resource(available->gpus, need->gpus, limit);
    return n_fitting_resource(available->memory_gb, need->memory_gb, limit);
}

static void rp_resources_take_tasks(struct rp_resources *available, const struct rp_resources *need,
                                    double n) {
    available->cpus -= need->cpus * n;
    available->gpus -= need->gpus * n;
    available->memory_gb -= need->memory_gb * n;
}

/* ---- orders ---- */

static double fleet_share(const struct rp_resources *each, const struct rp_resources *fleet) {
    double share = fleet->cpus > 0 ? each->cpus / fleet->cpus : 0;
    if (each->gpus > 0 && fleet->gpus > 0)
        share = fmax(share, each->gpus / fleet->gpus);
    return share;
}

static double group_key(const struct rp_plan_group *group, enum rp_job_order order, size_t position,
                        const struct rp_resources *fleet, double weight) {
    double size = group->each.cpus + 8 * group->each.gpus + group->each.memory_gb / 8;
    switch (order) {
    case RP_JOB_ORDER_FCFS:
        return -group->age_s;
    case RP_JOB_ORDER_RR:
        return (double)position; /* the input alternates between teams */
    case RP_JOB_ORDER_LJF:
        return -size;
    case RP_JOB_ORDER_SJF:
        return size;
    case RP_JOB_ORDER_LTJF:
        return -group->run_s;
    case RP_JOB_ORDER_STJF:
        return group->run_s;
    case RP_JOB_ORDER_EDF:
        return group->slack_s;
    case RP_JOB_ORDER_SRW:
        return size * group->n_tasks * group->run_s;
    case RP_JOB_ORDER_ESW:
        return group->slack_s - ESW_LONG * group->run_s +
               weight * group->n_tasks * group->run_s * fleet_share(&group->each, fleet);
    }
    return 0;
}

/* The part of the machine that is free, by its main resource. */
static double free_share(const struct rp_plan_machine *machine) {
    if (machine->capacity.gpus > 0)
        return machine->free_now.gpus / machine->capacity.gpus;
    return machine->capacity.cpus > 0 ? machine->free_now.cpus / machine->capacity.cpus : 0;
}

static double machine_key(const struct rp_plan_machine *machine, enum rp_machine_order order,
                          double unit_s, gsl_rng *rng) {
    double size = machine->capacity.cpus + 8 * machine->capacity.gpus;
    double into_unit = fmod(machine->age_s, unit_s);
    switch (order) {
    case RP_MACHINE_ORDER_RND:
        return gsl_rng_uniform(rng);
    case RP_MACHINE_ORDER_LM:
        return -size;
    case RP_MACHINE_ORDER_SM:
        return size;
    case RP_MACHINE_ORDER_LA:
        return machine->last_arrival_s;
    case RP_MACHINE_ORDER_EA:
        return -machine->first_arrival_s;
    case RP_MACHINE_ORDER_LD:
        return -machine->busy_s;
    case RP_MACHINE_ORDER_ED:
        return machine->busy_s;
    case RP_MACHINE_ORDER_LAA:
        return machine->mean_arrival_s;
    case RP_MACHINE_ORDER_EAA:
        return -machine->mean_arrival_s;
    case RP_MACHINE_ORDER_CFH:
        return -into_unit;
    case RP_MACHINE_ORDER_FFH:
        return into_unit;
    case RP_MACHINE_ORDER_BF:
        return free_share(machine);
    case RP_MACHINE_ORDER_CP:
        return machine->price / fmax(1, size);
    }
    return 0;
}

static int compare_ranks(const void *a, const void *b) {
    const struct rp_sort_entry *left = a, *right = b;
    if (left->rank != right->rank)
        return left->rank < right->rank ? -1 : 1;
    if (left->key != right->key)
        return left->key < right->key ? -1 : 1;
    return left->item < right->item ? -1 : left->item > right->item;
}

static void sort_into(size_t *order, struct rp_sort_entry *entries, size_t n) {
    qsort(entries, n, sizeof *entries, compare_ranks);
    for (size_t i = 0; i < n; i++)
        order[i] = entries[i].item;
}

static bool is_allowed(const struct rp_plan_group *group, int type, int zone, bool spot);

/* What a fetch would delay the group by: nothing if a machine with room holds its image. */
static double fetch_delay_s(const struct rp_packing *packing, size_t index) {
    const struct rp_plan_group *group = &packing->input->groups[index];
    const struct rp_candidate_list *list = &packing->lists[packing->group_list[index]];
    double fetch = 0;
    for (size_t i = 0; i < list->n[RP_CAPACITY_NOW]; i++) {
        size_t at = list->machines[RP_CAPACITY_NOW][i];
        const struct rp_plan_machine *machine = &packing->input->machines[at];
        if (!is_allowed(group, machine->type, machine->zone, machine->spot) ||
            machine->fetch_gb_per_s <= 0 ||
            (machine->reserved_for && machine->reserved_for != group->ref) ||
            !rp_plan_n_fitting(&group->each, &machine->free_now, 1))
            continue;
        if (group->has_image && group->has_image[at])
            return 0;
        fetch = fmax(fetch, group->image_gb / machine->fetch_gb_per_s);
    }
    return fetch;
}

/* ---- who can be in time, when not all can ---- */

static bool needs_gpus(const struct rp_plan_group *group) {
    return group->each.gpus > 0;
}

/* What the machines can do in a second, and what is under way on them; returns how many they are.
 */
static double pool_load(const struct rp_packing *packing, bool gpus, double *per_second,
                        double *work) {
    double machines = 0;
    *per_second = *work = 0;
    for (size_t i = 0; i < packing->n_pools; i++) {
        const struct rp_machine_pool *pool = &packing->pools[i];
        double each = gpus ? pool->capacity->gpus : pool->capacity->cpus;
        if (!gpus && pool->capacity->gpus > 0)
            continue;
        machines += pool->n_machines;
        *per_second += pool->n_machines * each;
        *work += pool->work_s * each;
    }
    return machines;
}

static double group_work(const struct rp_plan_group *group) {
    return group->n_tasks * group->run_s *
           (needs_gpus(group) ? group->each.gpus : group->each.cpus);
}

static int compare_keys(const void *a, const void *b) {
    const struct rp_sort_entry *left = a, *right = b;
    return left->key < right->key     ? -1
           : left->key > right->key   ? 1
           : left->item < right->item ? -1
                                      : left->item > right->item;
}

/* Aims count shares of a class: one job of few is a larger share of its class than one of many.
 * Returns how much the job's work counts against it, from 0 for the only unfinished job of a class
 * to 1 for the most numerous class and those with RARE_JOBS and more. */
static double class_factor(const struct rp_packing *packing, const struct rp_plan_group *group) {
    if (group->class_jobs >= packing->most_class_jobs[group->priority][needs_gpus(group)] ||
        group->class_jobs == 0)
        return 1;
    return fmin(1, (group->class_jobs - 1) / RARE_JOBS);
}

/* Of the first `n` groups in the order, the one that takes most work for its share of its class and
 * isn't given up. Gangs never are: what a whole gang gains isn't told by its work, and they are
 * few. */
static const struct rp_plan_group *largest_admitted(const struct rp_packing *packing, size_t n) {
    const struct rp_plan_group *largest = NULL;
    double largest_work = 0;
    for (size_t k = 0; k < n; k++) {
        const struct rp_plan_group *group = &packing->input->groups[packing->sort_entries[k].item];
        double work = group_work(group) * class_factor(packing, group);
        if (group->kind != RP_JOB_ARRAY || packing->is_shed[packing->sort_entries[k].item] ||
            (largest && work <= largest_work))
            continue;
        largest = group;
        largest_work = work;
    }
    return largest;
}

/* Moore's rule: in the order of due times, whenever the work taken so far can't be done by then,
 * its largest job is given up. So the most jobs are in time; without it, under a load that lasts,
 * those about to be late take the room of those that still can be in time, and all are late. */
static void shed_late_groups(struct rp_packing *packing, enum rp_priority priority, bool gpus,
                             double capacity, double *work) {
    size_t n = 0;
    for (size_t i = 0; i < packing->input->n_groups; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        if (group->priority == priority && needs_gpus(group) == gpus &&
            group->slack_s < RP_NO_OBJECTIVE_S)
            packing->sort_entries[n++] =
                (struct rp_sort_entry){.item = i, .key = group->slack_s, .rank = 0};
    }
    qsort(packing->sort_entries, n, sizeof *packing->sort_entries, compare_keys);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *group = &packing->input->groups[packing->sort_entries[i].item];
        if (group->is_late)
            continue;
        *work += group_work(group);
        if (*work <= capacity * group->slack_s)
            continue;
        const struct rp_plan_group *largest = largest_admitted(packing, i + 1);
        if (!largest)
            continue;
        packing->is_shed[largest - packing->input->groups] = true;
        packing->plan->short_of_capacity[gpus] = true;
        *work -= group_work(largest);
    }
    for (size_t i = 0; i < n && packing->plan->short_of_capacity[gpus]; i++)
        if (packing->input->groups[packing->sort_entries[i].item].is_late)
            packing->is_shed[packing->sort_entries[i].item] =
                packing->input->groups[packing->sort_entries[i].item].kind == RP_JOB_ARRAY;
}

static void shed_all_late_groups(struct rp_packing *packing) {
    for (int gpus = 0; gpus < 2; gpus++) {
        double capacity, work;
        double machines = pool_load(packing, gpus, &capacity, &work);
        if (machines > 0)
            capacity *= GIVE_UP_AT + GIVE_UP_FEW / machines;
        for (int p = RP_PRIORITY_CRITICAL; p >= RP_PRIORITY_LOW && capacity > 0; p--)
            shed_late_groups(packing, (enum rp_priority)p, gpus, capacity, &work);
    }
}

static int group_rank(const struct rp_packing *packing, size_t index) {
    const struct rp_plan_group *group = &packing->input->groups[index];
    if (group->is_guaranteed)
        return -3 * (RP_PRIORITY_CRITICAL + 1);
    /* Priority comes before every order: work never waits for work of a lower priority. */
    return -3 * (int)group->priority +
           (group->is_first_task && packing->plan->short_of_capacity[needs_gpus(group)] ? 0
            : packing->is_shed[index]                                                   ? 2
                                                                                        : 1);
}

static void count_classes(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_groups; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        uint32_t *most = &packing->most_class_jobs[group->priority][needs_gpus(group)];
        if (group->kind == RP_JOB_ARRAY && group->slack_s < RP_NO_OBJECTIVE_S &&
            group->class_jobs > *most)
            *most = group->class_jobs;
    }
}

/* The only job of a class isn't kept behind all smaller ones: on the contrary, its work has to be
 * begun earlier by the time that it takes, beside other work. */
static double small_first_weight(const struct rp_packing *packing,
                                 const struct rp_plan_group *group, double weight) {
    double factor = class_factor(packing, group);
    return weight * factor - ESW_RARE * (1 - factor);
}

static void sort_groups(struct rp_packing *packing, enum rp_job_order order) {
    size_t n = packing->input->n_groups;
    struct rp_resources fleet = {0};
    for (size_t i = 0; i < packing->input->n_machines; i++)
        rp_resources_take_tasks(&fleet, &packing->input->machines[i].capacity, -1);
    double short_weight =
        ESW_WEIGHT * ESW_SHORT * fmax(1, (double)packing->input->n_machines / ESW_SHORT_FLEET);
    count_classes(packing);
    if (order == RP_JOB_ORDER_ESW)
        shed_all_late_groups(packing);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        /* Gangs are never given up: behind all smaller arrays they would wait too long. */
        bool small_first =
            group->kind == RP_JOB_ARRAY && packing->plan->short_of_capacity[needs_gpus(group)];
        double weight = small_first ? small_first_weight(packing, group, short_weight) : ESW_WEIGHT;
        double key = group_key(group, order, i, &fleet, weight);
        if (order == RP_JOB_ORDER_ESW)
            key += ESW_FETCH * fetch_delay_s(packing, i) - (group->spot ? 0 : ESW_FEW);
        packing->sort_entries[i] =
            (struct rp_sort_entry){.item = i, .rank = group_rank(packing, i), .key = key};
    }
    sort_into(packing->group_order, packing->sort_entries, n);
}

/* A machine that holds not even the least demanding task is looked at by no group. */
static bool is_useful(const struct rp_packing *packing, const struct rp_candidate_list *list,
                      enum rp_capacity_kind kind, size_t at) {
    const struct rp_bin *bin = &packing->bins[at];
    const struct rp_resources *available = kind == RP_CAPACITY_NOW     ? &bin->free_now
                                           : kind == RP_CAPACITY_LATER ? &bin->free_later
                                                                       : &bin->free_spare;
    return (list->types >> packing->input->machines[at].type & 1) &&
           rp_plan_n_fitting(&list->smallest_need, available, 1) > 0;
}

static void refresh_candidate_list(struct rp_packing *packing, struct rp_candidate_list *list) {
    if (!list->is_stale)
        return;
    for (int kind = 0; kind < RP_CAPACITY_KINDS; kind++) {
        size_t n_kept = 0;
        for (size_t i = 0; i < list->n[kind]; i++)
            if (is_useful(packing, list, (enum rp_capacity_kind)kind, list->machines[kind][i]))
                list->machines[kind][n_kept++] = list->machines[kind][i];
        list->n[kind] = n_kept;
    }
    list->is_stale = false;
}

static void note_smallest_need(struct rp_candidate_list *list, const struct rp_resources *each) {
    list->smallest_need.cpus = fmin(list->smallest_need.cpus, each->cpus);
    list->smallest_need.gpus = fmin(list->smallest_need.gpus, each->gpus);
    list->smallest_need.memory_gb = fmin(list->smallest_need.memory_gb, each->memory_gb);
}

static size_t candidate_list_for(struct rp_packing *packing, uint32_t types,
                                 const struct rp_resources *each) {
    size_t at = 0;
    while (at < packing->n_lists && packing->lists[at].types != types)
        at++;
    if (at >= LISTINGS_MAX) {
        at = LISTINGS_MAX - 1;
        packing->lists[at].types |= types;
    } else if (at == packing->n_lists) {
        packing->lists[packing->n_lists++] = (struct rp_candidate_list){
            .types = types, .is_stale = true, .smallest_need = {INFINITY, INFINITY, INFINITY}};
    }
    note_smallest_need(&packing->lists[at], each);
    return at;
}

/* Which machines each group is to look at, by the types that it may use. */
static void assign_candidate_lists(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_groups; i++) {
        const struct rp_plan_group *group = &packing->input->groups[i];
        packing->group_list[i] = candidate_list_for(packing, group->types, &group->each);
        packing->spare_list[i] = group->spare_types
                                     ? candidate_list_for(packing, group->spare_types, &group->each)
                                     : packing->group_list[i];
    }
}

/* Fills the lists in the heuristic's order; spare room is looked at in the machines' own order.
 * Returns false when memory is short. */
static bool build_candidate_lists(struct rp_packing *packing) {
    size_t n = packing->input->n_machines;
    for (size_t k = 0; k < packing->n_lists; k++) {
        struct rp_candidate_list *list = &packing->lists[k];
        for (int kind = 0; kind < RP_CAPACITY_KINDS; kind++) {
            list->machines[kind] = malloc((n + 1) * sizeof(size_t));
            if (!list->machines[kind])
                return false;
            for (size_t i = 0; i < n; i++) {
                size_t at = kind == RP_CAPACITY_SPARE ? i : packing->machine_order[i];
                if (is_useful(packing, list, (enum rp_capacity_kind)kind, at))
                    list->machines[kind][list->n[kind]++] = at;
            }
        }
        list->is_stale = false;
    }
    return true;
}

static void mark_lists_stale(struct rp_packing *packing, size_t machine) {
    int type = packing->input->machines[machine].type;
    for (size_t k = 0; k < packing->n_lists; k++)
        packing->lists[k].is_stale |= packing->lists[k].types >> type & 1;
}

static void sort_machines(struct rp_packing *packing, enum rp_machine_order order) {
    size_t n = packing->input->n_machines;
    gsl_rng *rng = order == RP_MACHINE_ORDER_RND ? gsl_rng_alloc(gsl_rng_taus2) : NULL;
    if (rng)
        gsl_rng_set(rng, packing->input->seed);
    for (size_t i = 0; i < n; i++) {
        bool has_no_rng = order == RP_MACHINE_ORDER_RND && !rng;
        double key = has_no_rng ? 0
                                : machine_key(&packing->input->machines[i], order,
                                              packing->input->unit_s, rng);
        packing->sort_entries[i] = (struct rp_sort_entry){.item = i, .key = key};
    }
    sort_into(packing->machine_order, packing->sort_entries, n);
    if (rng)
        gsl_rng_free(rng);
}

/* ---- placing ---- */

static bool is_allowed(const struct rp_plan_group *group, int type, int zone, bool spot) {
    return (group->types >> type & 1) && (group->zones >> zone & 1) && (!spot || group->spot);
}

static bool append_placement(struct rp_packing *packing, size_t group, size_t machine,
                             uint32_t count, bool starts_now) {
    struct rp_plan *plan = packing->plan;
    if (plan->n_placements == plan->cap_placements) {
        size_t cap = plan->cap_placements ? plan->cap_placements * 2 : 64;
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

/* The group being placed: how many are left, and what one_zone and spread still allow. */
struct rp_group_packing {
    const struct rp_plan_group *group;
    size_t index;
    uint32_t n_left;
    int zone; /* fixed zone, -1: free */
    uint32_t zone_used[RP_ZONES_MAX];
    size_t first_placement;
};

static uint32_t zone_limit(const struct rp_group_packing *current, int zone) {
    if (current->group->one_zone && current->zone >= 0 && current->zone != zone)
        return 0;
    if (!current->group->spread)
        return current->n_left;
    uint32_t used = current->zone_used[zone];
    uint32_t n_left_in_zone =
        current->group->spread_max > used ? current->group->spread_max - used : 0;
    return n_left_in_zone < current->n_left ? n_left_in_zone : current->n_left;
}

static int bin_zone(const struct rp_packing *packing, size_t slot) {
    return slot < packing->input->n_machines
               ? packing->input->machines[slot].zone
               : packing->input
                     ->offerings[packing->plan->new_machines[slot - packing->input->n_machines]]
                     .zone;
}

static int bin_type(const struct rp_packing *packing, size_t slot) {
    return slot < packing->input->n_machines
               ? packing->input->machines[slot].type
               : packing->input
                     ->offerings[packing->plan->new_machines[slot - packing->input->n_machines]]
                     .type;
}

static const struct rp_resources *bin_capacity(const struct rp_packing *packing, size_t slot) {
    return slot < packing->input->n_machines
               ? &packing->input->machines[slot].capacity
               : &packing->input
                      ->offerings[packing->plan->new_machines[slot - packing->input->n_machines]]
                      .capacity;
}

static void place_tasks(struct rp_packing *packing, struct rp_group_packing *current, size_t at,
                        uint32_t count, bool starts_now, double end_s) {
    struct rp_bin *bin = &packing->bins[at];
    int zone = bin_zone(packing, at);
    if (!append_placement(packing, current->index, at, count, starts_now))
        return;
    rp_resources_take_tasks(&bin->free_later, &current->group->each, count);
    if (starts_now)
        rp_resources_take_tasks(&bin->free_now, &current->group->each, count);
    if (starts_now)
        rp_resources_take_tasks(&bin->free_spare, &current->group->each, count);
    bin->end_s = fmax(bin->end_s, end_s);
    bin->used = true;
    if (at < packing->input->n_machines)
        mark_lists_stale(packing, at);
    int type = bin_type(packing, at);
    packing->queued_s[type] +=
        count * current->group->run_s *
        rp_plan_share_of_machine(&current->group->each, bin_capacity(packing, at));
    current->n_left -= count;
    current->zone_used[zone] += count;
    if (current->group->one_zone)
        current->zone = zone;
}

static double fetch_s(const struct rp_plan_group *group, double rate, bool has_image) {
    return has_image || rate <= 0 ? 0 : group->image_gb / rate;
}

/* Puts what fits on a machine now; `later`: into the room it will have. */
static void place_on_machine(struct rp_packing *packing, struct rp_group_packing *current,
                             size_t at, bool later) {
    const struct rp_plan_machine *machine = &packing->input->machines[at];
    const struct rp_plan_group *group = current->group;
    if (!is_allowed(group, machine->type, machine->zone, machine->spot) ||
        (machine->reserved_for && machine->reserved_for != group->ref))
        return;
    uint32_t n_fitting = zone_limit(current, machine->zone);
    n_fitting = rp_plan_n_fitting(&group->each, &packing->bins[at].free_later, n_fitting);
    if (!later)
        n_fitting = rp_plan_n_fitting(&group->each, &packing->bins[at].free_now, n_fitting);
    if (n_fitting == 0)
        return;
    double end_s =
        (later ? machine->free_later_after_s : 0) + group->run_s +
        fetch_s(group, machine->fetch_gb_per_s, group->has_image && group->has_image[at]);
    place_tasks(packing, current, at, n_fitting, !later, end_s);
}

double rp_plan_machine_fits_after_s(const struct rp_plan_machine *machine,
                                    const struct rp_resources *each) {
    struct rp_resources available = machine->free_now;
    if (rp_plan_n_fitting(each, &available, 1))
        return 0;
    for (size_t i = 0; i < machine->n_releases; i++) {
        rp_resources_take_tasks(&available, &machine->releases[i].released, -1);
        if (rp_plan_n_fitting(each, &available, 1))
            return machine->releases[i].after_s;
    }
    return INFINITY;
}

/* Machines that have the image and will have room before a fetch elsewhere could be over: waiting
 * for them costs no time, and the fetch's time isn't paid for. */
static void place_on_image_holders(struct rp_packing *packing, struct rp_group_packing *current) {
    const struct rp_plan_group *group = current->group;
    /* Urgent work has room made for it rather than wait (measured: it lost by waiting). */
    if (group->priority >= RP_PRIORITY_HIGH)
        return;
    const struct rp_candidate_list *list = &packing->lists[packing->group_list[current->index]];
    for (size_t i = 0; i < list->n[RP_CAPACITY_LATER] && current->n_left > 0; i++) {
        size_t at = list->machines[RP_CAPACITY_LATER][i];
        packing->plan->n_machines_examined++;
        const struct rp_plan_machine *machine = &packing->input->machines[at];
        /* The cheap look first: under overload nearly no machine has any room left. */
        if (group->has_image && group->has_image[at] &&
            rp_plan_n_fitting(&group->each, &packing->bins[at].free_later, 1) &&
            rp_plan_machine_fits_after_s(machine, &group->each) <
                HOLDER_SHARE * fetch_s(group, machine->fetch_gb_per_s, false))
            place_on_machine(packing, current, at, true);
    }
}

/* Machines that have the image come first: a fetch costs a good part of a short task's time. */
static void place_on_machines(struct rp_packing *packing, struct rp_group_packing *current,
                              bool later) {
    const struct rp_candidate_list *list = &packing->lists[packing->group_list[current->index]];
    enum rp_capacity_kind kind = later ? RP_CAPACITY_LATER : RP_CAPACITY_NOW;
    for (int with_image = 1; with_image >= 0; with_image--) {
        if (!later && !with_image)
            place_on_image_holders(packing, current);
        for (size_t i = 0; i < list->n[kind] && current->n_left > 0; i++) {
            size_t at = list->machines[kind][i];
            packing->plan->n_machines_examined++;
            bool has_image = current->group->has_image && current->group->has_image[at];
            if (has_image == (with_image == 1))
                place_on_machine(packing, current, at, later);
        }
    }
}

static void place_on_new_machines(struct rp_packing *packing, struct rp_group_packing *current) {
    for (size_t i = 0; i < packing->plan->n_new_machines && current->n_left > 0; i++) {
        const struct rp_plan_offering *offering =
            &packing->input->offerings[packing->plan->new_machines[i]];
        size_t at = packing->input->n_machines + i;
        if (!is_allowed(current->group, offering->type, offering->zone, offering->spot))
            continue;
        uint32_t n_fitting = rp_plan_n_fitting(&current->group->each, &packing->bins[at].free_later,
                                               zone_limit(current, offering->zone));
        if (n_fitting)
            place_tasks(packing, current, at, n_fitting, false,
                        offering->boot_s + current->group->run_s +
                            fetch_s(current->group, offering->fetch_gb_per_s, false));
    }
}

/* Capacity per price on the main resource: the one of which a task takes the largest part. */
static double capacity_per_price(const struct rp_plan_group *group,
                                 const struct rp_plan_offering *offering) {
    const struct rp_resources *capacity_of_type = &offering->capacity;
    double cpu = capacity_of_type->cpus > 0 ? group->each.cpus / capacity_of_type->cpus : 0;
    double gpu = capacity_of_type->gpus > 0 ? group->each.gpus / capacity_of_type->gpus : 0;
    double memory =
        capacity_of_type->memory_gb > 0 ? group->each.memory_gb / capacity_of_type->memory_gb : 0;
    double capacity = gpu >= cpu && gpu >= memory ? capacity_of_type->gpus
                      : cpu >= memory             ? capacity_of_type->cpus
                                                  : capacity_of_type->memory_gb;
    /* In tasks, so that types whose main resource differs can be compared. */
    double need = gpu >= cpu && gpu >= memory ? group->each.gpus
                  : cpu >= memory             ? group->each.cpus
                                              : group->each.memory_gb;
    return need > 0 && offering->price > 0 ? capacity / need / offering->price : capacity;
}

static int best_offering(const struct rp_packing *packing, const struct rp_group_packing *current) {
    int best_offering = -1;
    double best_value = -1;
    for (size_t i = 0; i < packing->input->n_offerings; i++) {
        const struct rp_plan_offering *offering = &packing->input->offerings[i];
        if (offering->refused ||
            !is_allowed(current->group, offering->type, offering->zone, offering->spot) ||
            zone_limit(current, offering->zone) == 0 ||
            !rp_plan_n_fitting(&current->group->each, &offering->capacity, 1))
            continue;
        double value = capacity_per_price(current->group, offering);
        if (value > best_value + EPS) {
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
        size_t cap = plan->cap_new_machines ? plan->cap_new_machines * 2 : 16;
        size_t *fresh = realloc(plan->new_machines, cap * sizeof *fresh);
        if (!fresh) {
            plan->failed = true;
            return false;
        }
        plan->new_machines = fresh;
        plan->cap_new_machines = cap;
    }
    struct rp_bin *bin = &packing->bins[packing->input->n_machines + plan->n_new_machines];
    *bin = (struct rp_bin){.free_later = packing->input->offerings[offering].capacity};
    plan->new_machines[plan->n_new_machines++] = offering;
    return true;
}

static uint32_t team_limit(const struct rp_packing *packing, const struct rp_plan_group *group) {
    uint32_t n_allowed = group->n_tasks;
    if (group->team < 0)
        return n_allowed;
    n_allowed =
        n_fitting_resource(packing->team_cpus_left[group->team], group->each.cpus, n_allowed);
    return n_fitting_resource(packing->team_gpus_left[group->team], group->each.gpus, n_allowed);
}

/* Takes back everything put for the group, and the machines rented for it. */
static void roll_back_group(struct rp_packing *packing, struct rp_group_packing *current,
                            size_t n_new_before) {
    struct rp_plan *plan = packing->plan;
    while (plan->n_placements > current->first_placement) {
        const struct rp_placement *put = &plan->placements[--plan->n_placements];
        struct rp_bin *bin = &packing->bins[put->machine];
        rp_resources_take_tasks(&bin->free_later, &current->group->each, -(double)put->count);
        if (put->starts_now)
            rp_resources_take_tasks(&bin->free_now, &current->group->each, -(double)put->count);
        if (put->starts_now)
            rp_resources_take_tasks(&bin->free_spare, &current->group->each, -(double)put->count);
    }
    plan->n_new_machines = n_new_before;
    current->n_left =
        current->group->kind == RP_JOB_GANG ? current->group->n_tasks : current->n_left;
    current->zone = current->group->fixed_zone;
    memcpy(current->zone_used, current->group->zone_used, sizeof current->zone_used);
}

static void begin_group(struct rp_packing *packing, struct rp_group_packing *current,
                        size_t index) {
    current->group = &packing->input->groups[index];
    current->index = index;
    current->zone = current->group->fixed_zone;
    current->first_placement = packing->plan->n_placements;
    memcpy(current->zone_used, current->group->zone_used, sizeof current->zone_used);
}

/* Whether the machines at hand get to the rest of the group while its job has time to spare: then
 * it waits for them, and nothing is rented. */
static bool can_wait(struct rp_packing *packing, struct rp_group_packing *current) {
    const struct rp_plan_group *group = current->group;
    double n_machines = 0, work_s = 0, share = 0;
    uint32_t types = 0;
    if (group->slack_s >= RP_NO_OBJECTIVE_S || WAIT_SHARE <= 0)
        return false;
    for (size_t i = 0; i < packing->n_pools; i++) {
        const struct rp_machine_pool *pool = &packing->pools[i];
        if (!is_allowed(group, pool->type, pool->zone, pool->spot))
            continue;
        n_machines += pool->n_machines;
        work_s += pool->work_s;
        share = rp_plan_share_of_machine(&group->each, pool->capacity);
        types |= 1u << pool->type;
    }
    for (size_t i = 0; i < packing->plan->n_new_machines; i++) {
        const struct rp_plan_offering *offering =
            &packing->input->offerings[packing->plan->new_machines[i]];
        if (!is_allowed(group, offering->type, offering->zone, offering->spot))
            continue;
        n_machines++;
        share = rp_plan_share_of_machine(&group->each, &offering->capacity);
        types |= 1u << offering->type;
    }
    for (int t = 0; t < RP_TYPES_MAX; t++)
        if (types >> t & 1)
            work_s += packing->queued_s[t];
    double own_s = current->n_left * share * group->run_s;
    if (n_machines == 0 || (work_s + own_s) / n_machines > WAIT_SHARE * group->slack_s)
        return false;
    for (int t = 0; t < RP_TYPES_MAX; t++)
        if (types >> t & 1) {
            packing->queued_s[t] += own_s;
            break;
        }
    return true;
}

/* What the GPU work on a machine leaves of its CPUs costs nothing more: work that has no use for
 * the GPUs may take that, where it is over before the machine's own work. (Measured by all work on
 * the machine, such work drew more of its like after it, and kept a third of the GPU machines for
 * minutes after the last GPU task had ended.) */
static void place_on_spare_capacity(struct rp_packing *packing, struct rp_group_packing *current) {
    const struct rp_plan_group *group = current->group;
    const struct rp_candidate_list *list = &packing->lists[packing->spare_list[current->index]];
    if (!group->spare_types)
        return;
    for (int with_image = 1; with_image >= 0; with_image--)
        for (size_t i = 0; i < list->n[RP_CAPACITY_SPARE] && current->n_left > 0; i++) {
            size_t at = list->machines[RP_CAPACITY_SPARE][i];
            packing->plan->n_machines_examined++;
            const struct rp_plan_machine *machine = &packing->input->machines[at];
            bool has_image = group->has_image && group->has_image[at];
            if (has_image != (with_image == 1) || !(group->spare_types >> machine->type & 1) ||
                !(group->zones >> machine->zone & 1) || (machine->spot && !group->spot) ||
                machine->reserved_for ||
                machine->own_busy_s <
                    SPARE_SHARE *
                        (group->run_s + fetch_s(group, machine->fetch_gb_per_s, has_image)))
                continue;
            uint32_t n_fitting = rp_plan_n_fitting(&group->each, &packing->bins[at].free_spare,
                                                   zone_limit(current, machine->zone));
            n_fitting = rp_plan_n_fitting(&group->each, &packing->bins[at].free_now, n_fitting);
            if (n_fitting > 0)
                place_tasks(packing, current, at, n_fitting, true, 0);
        }
}

static void place_anywhere(struct rp_packing *packing, struct rp_group_packing *current) {
    place_on_machines(packing, current, false);
    place_on_spare_capacity(packing, current);
    place_on_machines(packing, current, true);
    place_on_new_machines(packing, current);
    if (current->n_left > 0 && !current->group->is_guaranteed && can_wait(packing, current))
        return;
    while (current->n_left > 0 && !packing->plan->failed) {
        int kind = best_offering(packing, current);
        uint32_t before = current->n_left;
        if (kind < 0 || !provision_machine(packing, (size_t)kind))
            return;
        place_on_new_machines(packing, current);
        if (current->n_left == before)
            return;
    }
}

/* A gang of one zone may fit in one zone and not in another: each is tried. True once all of it has
 * its room. */
static bool place_gang_by_zone(struct rp_packing *packing, struct rp_group_packing *current,
                               bool start_now) {
    size_t n_new_before = packing->plan->n_new_machines;
    int zones = current->group->one_zone && current->zone < 0 ? RP_ZONES_MAX : 1;
    for (int z = 0; z < zones; z++) {
        if (zones > 1 && !(current->group->zones >> z & 1))
            continue;
        if (zones > 1)
            current->zone = z;
        if (start_now)
            place_on_machines(packing, current, false);
        else
            place_anywhere(packing, current);
        if (current->n_left == 0)
            return true;
        roll_back_group(packing, current, n_new_before);
    }
    return false;
}

static void place_gang(struct rp_packing *packing, struct rp_group_packing *current) {
    if (!place_gang_by_zone(packing, current, true) && !current->group->has_reservation)
        place_gang_by_zone(packing, current, false);
}

static void place_group(struct rp_packing *packing, size_t index) {
    struct rp_group_packing current;
    refresh_candidate_list(packing, &packing->lists[packing->group_list[index]]);
    refresh_candidate_list(packing, &packing->lists[packing->spare_list[index]]);
    begin_group(packing, &current, index);
    const struct rp_plan_group *group = current.group;
    uint32_t n_wanted = team_limit(packing, group);
    if (group->kind == RP_JOB_GANG && n_wanted < group->n_tasks)
        return; /* over the limit: the gang waits whole */
    current.n_left = n_wanted;
    if (group->kind == RP_JOB_GANG)
        place_gang(packing, &current);
    else
        place_anywhere(packing, &current);
    if (group->has_reservation) {
        packing->plan->n_waiting += current.n_left;
        current.n_left = 0;
    }
    uint32_t n_placed = n_wanted - current.n_left;
    if (group->team >= 0) {
        packing->team_cpus_left[group->team] -= n_placed * group->each.cpus;
        packing->team_gpus_left[group->team] -= n_placed * group->each.gpus;
    }
    double weight = (group->each.cpus + 8 * group->each.gpus + 0.01) * group->run_s;
    packing->plan->unplaced_work += current.n_left * weight * pow(100, (double)group->priority);
    for (size_t i = current.first_placement; i < packing->plan->n_placements; i++) {
        if (packing->plan->placements[i].starts_now)
            packing->plan->n_starting += packing->plan->placements[i].count;
        else
            packing->plan->n_waiting += packing->plan->placements[i].count;
    }
}

double rp_plan_machine_cost(double price, double age_s, double end_s, double unit_s) {
    double charged = unit_s * ceil((age_s + end_s) / unit_s - EPS);
    return price / 3600 * fmax(charged, RP_MIN_CHARGE_S);
}

static void add_plan_cost(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_machines; i++) {
        const struct rp_plan_machine *machine = &packing->input->machines[i];
        packing->plan->cost += rp_plan_machine_cost(machine->price, machine->age_s,
                                                    packing->bins[i].end_s, packing->input->unit_s);
    }
    for (size_t i = 0; i < packing->plan->n_new_machines; i++)
        packing->plan->cost += rp_plan_machine_cost(
            packing->input->offerings[packing->plan->new_machines[i]].price, 0,
            packing->bins[packing->input->n_machines + i].end_s, packing->input->unit_s);
}

/* Machines at hand, with the work on them; one that still boots has its boot to do. */
static void build_machine_pools(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_machines; i++) {
        const struct rp_plan_machine *machine = &packing->input->machines[i];
        struct rp_machine_pool *pool = packing->pools, *end = packing->pools + packing->n_pools;
        while (pool < end && !(pool->type == machine->type && pool->zone == machine->zone &&
                               pool->spot == machine->spot))
            pool++;
        if (pool == end) {
            packing->n_pools++;
            *pool = (struct rp_machine_pool){.type = machine->type,
                                             .zone = machine->zone,
                                             .spot = machine->spot,
                                             .capacity = &machine->capacity};
        }
        bool up = machine->free_now.cpus > 0 || machine->n_releases > 0;
        pool->n_machines += fmax(0, 1 - machine->service_share);
        pool->work_s += machine->work_s + (up ? 0 : machine->free_later_after_s);
    }
}

void rp_plan_build(const struct rp_plan_input *input, struct rp_heuristic heuristic,
                   struct rp_plan *plan) {
    size_t n_sorted_max = input->n_groups > input->n_machines ? input->n_groups : input->n_machines;
    struct rp_packing packing = {.input = input, .plan = plan};
    memset(plan, 0, sizeof *plan);
    packing.bins = calloc(input->n_machines + input->new_machines_max + 1, sizeof *packing.bins);
    packing.group_order = calloc(input->n_groups + 1, sizeof(size_t));
    packing.machine_order = calloc(input->n_machines + 1, sizeof(size_t));
    packing.sort_entries = calloc(n_sorted_max + 1, sizeof *packing.sort_entries);
    packing.is_shed = calloc(input->n_groups + 1, sizeof *packing.is_shed);
    packing.group_list = calloc(input->n_groups + 1, sizeof(size_t));
    packing.spare_list = calloc(input->n_groups + 1, sizeof(size_t));
    packing.pools = calloc(input->n_machines + 1, sizeof *packing.pools);
    packing.team_cpus_left = calloc(input->n_teams + 1, sizeof(double));
    packing.team_gpus_left = calloc(input->n_teams + 1, sizeof(double));
    if (!packing.bins || !packing.group_order || !packing.machine_order || !packing.sort_entries ||
        !packing.pools || !packing.is_shed || !packing.group_list || !packing.spare_list ||
        !packing.team_cpus_left || !packing.team_gpus_left) {
        plan->failed = true;
        goto out;
    }
    for (size_t i = 0; i < input->n_machines; i++)
        packing.bins[i] = (struct rp_bin){.free_now = input->machines[i].free_now,
                                          .free_later = input->machines[i].free_later,
                                          .free_spare = input->machines[i].free_spare,
                                          .end_s = input->machines[i].busy_s};
    for (size_t i = 0; i < input->n_teams; i++) {
        packing.team_cpus_left[i] = input->teams[i].cpus_left;
        packing.team_gpus_left[i] = input->teams[i].gpus_left;
    }
    assign_candidate_lists(&packing);
    build_machine_pools(&packing);
    sort_machines(&packing, heuristic.machine_order);
    if (!build_candidate_lists(&packing)) {
        plan->failed = true;
        goto out;
    }
    sort_groups(&packing, heuristic.job_order);
    for (size_t i = 0; i < input->n_groups && !plan->failed; i++)
        place_group(&packing, packing.group_order[i]);
    add_plan_cost(&packing);
out:
    free(packing.bins);
    free(packing.group_order);
    free(packing.machine_order);
    free(packing.sort_entries);
    free(packing.pools);
    free(packing.is_shed);
    free(packing.group_list);
    free(packing.spare_list);
    for (size_t k = 0; k < packing.n_lists; k++)
        for (int kind = 0; kind < RP_CAPACITY_KINDS; kind++)
            free(packing.lists[k].machines[kind]);
    free(packing.team_cpus_left);
    free(packing.team_gpus_left);
}

bool rp_plan_is_better(const struct rp_plan *a, const struct rp_plan *b) {
    if (a->failed != b->failed)
        return b->failed;
    /* Constraint (4) of the paper: every job has its room. Where machines run short, plans are
     * compared first by what they leave without one. */
    if (fabs(a->unplaced_work - b->unplaced_work) > EPS * (1 + fabs(b->unplaced_work)))
        return a->unplaced_work < b->unplaced_work;
    if (fabs(a->cost - b->cost) > EPS)
        return a->cost < b->cost;
    return a->n_starting > b->n_starting;
}

size_t rp_plan_best(const struct rp_plan_input *input, const struct rp_heuristic *heuristics,
                    size_t n, struct rp_plan *out) {
    size_t best = 0;
    rp_plan_build(input, heuristics[0], out);
    for (size_t i = 1; i < n; i++) {
        struct rp_plan plan;
        rp_plan_build(input, heuristics[i], &plan);
        if (rp_plan_is_better(&plan, out)) {
            rp_plan_free(out);
            *out = plan;
            best = i;
        } else {
            rp_plan_free(&plan);
        }
    }
    return best;
}
