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

struct slot {
    struct rp_resources room, later, spare;
    double end_s; /* estimated end of the last task */
    bool used;
};

struct sorted {
    size_t item;
    int rank; /* before the key */
    double key;
};

/* The machines of one type, zone and kind together. */
struct pool {
    int type, zone;
    bool spot;
    double machines, work_s;
    const struct rp_resources *capacity;
};

/* Which room of a machine a list is about. */
enum room_kind { ROOM_NOW, ROOM_LATER, ROOM_SPARE, ROOM_KINDS };

/* The machines, in the heuristic's order, that have room for some group among those that may use
 * the same types. A group looks at its own list only: with one list for all, the plans' work grew
 * with groups times machines, whether these were full, of other types, or had nothing to spare. */
struct listing {
    uint32_t types;
    bool filled; /* rooms have been taken since the lists were last thinned out */
    size_t *at[ROOM_KINDS], n[ROOM_KINDS];
    struct rp_resources least; /* of each resource: what the least demanding task needs */
};

struct run {
    const struct rp_plan_input *in;
    struct rp_plan *plan;
    struct slot *slots; /* machines, then new ones */
    size_t *group_order, *machine_order;
    size_t *group_listing, *spare_listing; /* of each group: its indexes in `listings` */
    struct listing listings[LISTINGS_MAX];
    size_t n_listings;
    bool *given_up; /* groups that can't be in time, or aren't to be so that more others are */
    /* Of the arrays' classes of a priority with aims, without GPUs and with: the most unfinished
     * jobs. Gangs don't count: they are never given up, and their size is no part of the order. */
    uint32_t class_jobs_most[RP_PRIORITY_CRITICAL + 1][2];
    struct pool *pools;
    size_t n_pools;
    struct sorted *sorted;
    double *cpus_left, *gpus_left;
    double queued_s[RP_TYPES_MAX]; /* work given to a type's machines, and left to them */
};

double rp_plan_share_of_machine(const struct rp_resources *need,
                                const struct rp_resources *capacity) {
    double part = 0;
    if (need->cpus > 0 && capacity->cpus > 0)
        part = need->cpus / capacity->cpus;
    if (need->gpus > 0 && capacity->gpus > 0)
        part = fmax(part, need->gpus / capacity->gpus);
    if (need->memory_gb > 0 && capacity->memory_gb > 0)
        part = fmax(part, need->memory_gb / capacity->memory_gb);
    return part;
}

static uint32_t fit_one(double room, double need, uint32_t most) {
    if (need <= 0)
        return most;
    if (room < need * (1 - EPS))
        return 0; /* most looks end here, without a division */
    double n = floor(room / need + EPS);
    return n <= 0 ? 0 : n < most ? (uint32_t)n : most;
}

static uint32_t fits(const struct rp_resources *need, const struct rp_resources *room,
                     uint32_t most) {
    most = fit_one(room->cpus, need->cpus, most);
    most = fit_one(room->gpus, need->gpus, most);
    return fit_one(room->memory_gb, need->memory_gb, most);
}

static void take(struct rp_resources *room, const struct rp_resources *need, double n) {
    room->cpus -= need->cpus * n;
    room->gpus -= need->gpus * n;
    room->memory_gb -= need->memory_gb * n;
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
    case RP_FCFS:
        return -group->age_s;
    case RP_RR:
        return (double)position; /* the input alternates between teams */
    case RP_LJF:
        return -size;
    case RP_SJF:
        return size;
    case RP_LTJF:
        return -group->run_s;
    case RP_STJF:
        return group->run_s;
    case RP_EDF:
        return group->slack_s;
    case RP_SRW:
        return size * group->n * group->run_s;
    case RP_ESW:
        return group->slack_s - ESW_LONG * group->run_s +
               weight * group->n * group->run_s * fleet_share(&group->each, fleet);
    }
    return 0;
}

/* The part of the machine that is free, by its main resource. */
static double room_share(const struct rp_plan_machine *machine) {
    if (machine->capacity.gpus > 0)
        return machine->free_now.gpus / machine->capacity.gpus;
    return machine->capacity.cpus > 0 ? machine->free_now.cpus / machine->capacity.cpus : 0;
}

static double machine_key(const struct rp_plan_machine *machine, enum rp_machine_order order,
                          double unit_s, gsl_rng *rng) {
    double size = machine->capacity.cpus + 8 * machine->capacity.gpus;
    double into_unit = fmod(machine->age_s, unit_s);
    switch (order) {
    case RP_RND:
        return gsl_rng_uniform(rng);
    case RP_LM:
        return -size;
    case RP_SM:
        return size;
    case RP_LA:
        return machine->last_arrival_s;
    case RP_EA:
        return -machine->first_arrival_s;
    case RP_LD:
        return -machine->busy_s;
    case RP_ED:
        return machine->busy_s;
    case RP_LAA:
        return machine->mean_arrival_s;
    case RP_EAA:
        return -machine->mean_arrival_s;
    case RP_CFH:
        return -into_unit;
    case RP_FFH:
        return into_unit;
    case RP_BF:
        return room_share(machine);
    case RP_CP:
        return machine->price / fmax(1, size);
    }
    return 0;
}

static int by_rank_and_key(const void *a, const void *b) {
    const struct sorted *x = a, *y = b;
    if (x->rank != y->rank)
        return x->rank < y->rank ? -1 : 1;
    if (x->key != y->key)
        return x->key < y->key ? -1 : 1;
    return x->item < y->item ? -1 : x->item > y->item;
}

static void sort_into(size_t *order, struct sorted *sorted, size_t n) {
    qsort(sorted, n, sizeof *sorted, by_rank_and_key);
    for (size_t i = 0; i < n; i++)
        order[i] = sorted[i].item;
}

static bool allowed(const struct rp_plan_group *group, int type, int zone, bool spot);

/* What a fetch would delay the group by: nothing if a machine with room holds its image. */
static double fetch_ahead_s(const struct run *run, size_t group) {
    const struct rp_plan_group *g = &run->in->groups[group];
    const struct listing *listing = &run->listings[run->group_listing[group]];
    double fetch = 0;
    for (size_t i = 0; i < listing->n[ROOM_NOW]; i++) {
        size_t at = listing->at[ROOM_NOW][i];
        const struct rp_plan_machine *machine = &run->in->machines[at];
        if (!allowed(g, machine->type, machine->zone, machine->spot) ||
            machine->fetch_gb_per_s <= 0 ||
            (machine->reserved_for && machine->reserved_for != g->ref) ||
            !fits(&g->each, &machine->free_now, 1))
            continue;
        if (g->has_image && g->has_image[at])
            return 0;
        fetch = fmax(fetch, g->image_gb / machine->fetch_gb_per_s);
    }
    return fetch;
}

/* ---- who can be in time, when not all can ---- */

static bool on_gpus(const struct rp_plan_group *group) {
    return group->each.gpus > 0;
}

/* What the machines can do in a second, and what is under way on them; returns how many they are.
 */
static double pool_load(const struct run *run, bool gpus, double *capacity, double *work) {
    double machines = 0;
    *capacity = *work = 0;
    for (size_t i = 0; i < run->n_pools; i++) {
        const struct pool *pool = &run->pools[i];
        double each = gpus ? pool->capacity->gpus : pool->capacity->cpus;
        if (!gpus && pool->capacity->gpus > 0)
            continue;
        machines += pool->machines;
        *capacity += pool->machines * each;
        *work += pool->work_s * each;
    }
    return machines;
}

static double group_work(const struct rp_plan_group *group) {
    return group->n * group->run_s * (on_gpus(group) ? group->each.gpus : group->each.cpus);
}

static int by_key(const void *a, const void *b) {
    const struct sorted *x = a, *y = b;
    return x->key < y->key ? -1 : x->key > y->key ? 1 : x->item < y->item ? -1 : x->item > y->item;
}

/* Aims count shares of a class: one job of few is a larger share of its class than one of many.
 * Returns how much the job's work counts against it, from 0 for the only unfinished job of a class
 * to 1 for the most numerous class and those with RARE_JOBS and more. */
static double class_factor(const struct run *run, const struct rp_plan_group *group) {
    if (group->class_jobs >= run->class_jobs_most[group->priority][on_gpus(group)] ||
        group->class_jobs == 0)
        return 1;
    return fmin(1, (group->class_jobs - 1) / RARE_JOBS);
}

/* Of the first `n` groups in the order, the one that takes most work for its share of its class and
 * isn't given up. Gangs never are: what a whole gang gains isn't told by its work, and they are
 * few. */
static const struct rp_plan_group *largest_kept(const struct run *run, size_t n) {
    const struct rp_plan_group *largest = NULL;
    double largest_work = 0;
    for (size_t k = 0; k < n; k++) {
        const struct rp_plan_group *group = &run->in->groups[run->sorted[k].item];
        double work = group_work(group) * class_factor(run, group);
        if (group->kind != RP_JOB_ARRAY || run->given_up[run->sorted[k].item] ||
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
static void give_up(struct run *run, enum rp_priority priority, bool gpus, double capacity,
                    double *work) {
    size_t n = 0;
    for (size_t i = 0; i < run->in->n_groups; i++) {
        const struct rp_plan_group *group = &run->in->groups[i];
        if (group->priority == priority && on_gpus(group) == gpus &&
            group->slack_s < RP_NO_OBJECTIVE_S)
            run->sorted[n++] = (struct sorted){.item = i, .key = group->slack_s, .rank = 0};
    }
    qsort(run->sorted, n, sizeof *run->sorted, by_key);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *group = &run->in->groups[run->sorted[i].item];
        if (group->late)
            continue;
        *work += group_work(group);
        if (*work <= capacity * group->slack_s)
            continue;
        const struct rp_plan_group *largest = largest_kept(run, i + 1);
        if (!largest)
            continue;
        run->given_up[largest - run->in->groups] = true;
        run->plan->short_of_capacity[gpus] = true;
        *work -= group_work(largest);
    }
    for (size_t i = 0; i < n && run->plan->short_of_capacity[gpus]; i++)
        if (run->in->groups[run->sorted[i].item].late)
            run->given_up[run->sorted[i].item] =
                run->in->groups[run->sorted[i].item].kind == RP_JOB_ARRAY;
}

static void give_up_all(struct run *run) {
    for (int gpus = 0; gpus < 2; gpus++) {
        double capacity, work;
        double machines = pool_load(run, gpus, &capacity, &work);
        if (machines > 0)
            capacity *= GIVE_UP_AT + GIVE_UP_FEW / machines;
        for (int p = RP_PRIORITY_CRITICAL; p >= RP_PRIORITY_LOW && capacity > 0; p--)
            give_up(run, (enum rp_priority)p, gpus, capacity, &work);
    }
}

static int group_rank(const struct run *run, size_t group) {
    const struct rp_plan_group *g = &run->in->groups[group];
    if (g->guaranteed)
        return -3 * (RP_PRIORITY_CRITICAL + 1);
    /* Priority comes before every order: work never waits for work of a lower priority. */
    return -3 * (int)g->priority + (g->begin && run->plan->short_of_capacity[on_gpus(g)] ? 0
                                    : run->given_up[group]                               ? 2
                                                                                         : 1);
}

static void count_classes(struct run *run) {
    for (size_t i = 0; i < run->in->n_groups; i++) {
        const struct rp_plan_group *group = &run->in->groups[i];
        uint32_t *most = &run->class_jobs_most[group->priority][on_gpus(group)];
        if (group->kind == RP_JOB_ARRAY && group->slack_s < RP_NO_OBJECTIVE_S &&
            group->class_jobs > *most)
            *most = group->class_jobs;
    }
}

/* The only job of a class isn't kept behind all smaller ones: on the contrary, its work has to be
 * begun earlier by the time that it takes, beside other work. */
static double small_first_weight(const struct run *run, const struct rp_plan_group *group,
                                 double weight) {
    double factor = class_factor(run, group);
    return weight * factor - ESW_RARE * (1 - factor);
}

static void sort_groups(struct run *run, enum rp_job_order order) {
    size_t n = run->in->n_groups;
    struct rp_resources fleet = {0};
    for (size_t i = 0; i < run->in->n_machines; i++)
        take(&fleet, &run->in->machines[i].capacity, -1);
    double short_weight =
        ESW_WEIGHT * ESW_SHORT * fmax(1, (double)run->in->n_machines / ESW_SHORT_FLEET);
    count_classes(run);
    if (order == RP_ESW)
        give_up_all(run);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *group = &run->in->groups[i];
        /* Gangs are never given up: behind all smaller arrays they would wait too long. */
        bool small_first =
            group->kind == RP_JOB_ARRAY && run->plan->short_of_capacity[on_gpus(group)];
        double weight = small_first ? small_first_weight(run, group, short_weight) : ESW_WEIGHT;
        double key = group_key(group, order, i, &fleet, weight);
        if (order == RP_ESW)
            key += ESW_FETCH * fetch_ahead_s(run, i) - (group->spot ? 0 : ESW_FEW);
        run->sorted[i] = (struct sorted){.item = i, .rank = group_rank(run, i), .key = key};
    }
    sort_into(run->group_order, run->sorted, n);
}

/* A machine that holds not even the least demanding task is looked at by no group. */
static bool of_use(const struct run *run, const struct listing *listing, enum room_kind kind,
                   size_t at) {
    const struct slot *slot = &run->slots[at];
    const struct rp_resources *room = kind == ROOM_NOW     ? &slot->room
                                      : kind == ROOM_LATER ? &slot->later
                                                           : &slot->spare;
    return (listing->types >> run->in->machines[at].type & 1) && fits(&listing->least, room, 1) > 0;
}

static void thin_out(struct run *run, struct listing *listing) {
    if (!listing->filled)
        return;
    for (int kind = 0; kind < ROOM_KINDS; kind++) {
        size_t kept = 0;
        for (size_t i = 0; i < listing->n[kind]; i++)
            if (of_use(run, listing, (enum room_kind)kind, listing->at[kind][i]))
                listing->at[kind][kept++] = listing->at[kind][i];
        listing->n[kind] = kept;
    }
    listing->filled = false;
}

static void note_least(struct listing *listing, const struct rp_resources *each) {
    listing->least.cpus = fmin(listing->least.cpus, each->cpus);
    listing->least.gpus = fmin(listing->least.gpus, each->gpus);
    listing->least.memory_gb = fmin(listing->least.memory_gb, each->memory_gb);
}

static size_t listing_for(struct run *run, uint32_t types, const struct rp_resources *each) {
    size_t at = 0;
    while (at < run->n_listings && run->listings[at].types != types)
        at++;
    if (at >= LISTINGS_MAX) {
        at = LISTINGS_MAX - 1;
        run->listings[at].types |= types;
    } else if (at == run->n_listings) {
        run->listings[run->n_listings++] = (struct listing){
            .types = types, .filled = true, .least = {INFINITY, INFINITY, INFINITY}};
    }
    note_least(&run->listings[at], each);
    return at;
}

/* Which machines each group is to look at, by the types that it may use. */
static void find_listings(struct run *run) {
    for (size_t i = 0; i < run->in->n_groups; i++) {
        const struct rp_plan_group *group = &run->in->groups[i];
        run->group_listing[i] = listing_for(run, group->types, &group->each);
        run->spare_listing[i] = group->spare_types
                                    ? listing_for(run, group->spare_types, &group->each)
                                    : run->group_listing[i];
    }
}

/* Fills the lists in the heuristic's order; spare room is looked at in the machines' own order.
 * Returns false when memory is short. */
static bool fill_listings(struct run *run) {
    size_t n = run->in->n_machines;
    for (size_t k = 0; k < run->n_listings; k++) {
        struct listing *listing = &run->listings[k];
        for (int kind = 0; kind < ROOM_KINDS; kind++) {
            listing->at[kind] = malloc((n + 1) * sizeof(size_t));
            if (!listing->at[kind])
                return false;
            for (size_t i = 0; i < n; i++) {
                size_t at = kind == ROOM_SPARE ? i : run->machine_order[i];
                if (of_use(run, listing, (enum room_kind)kind, at))
                    listing->at[kind][listing->n[kind]++] = at;
            }
        }
        listing->filled = false;
    }
    return true;
}

static void note_filled(struct run *run, size_t machine) {
    int type = run->in->machines[machine].type;
    for (size_t k = 0; k < run->n_listings; k++)
        run->listings[k].filled |= run->listings[k].types >> type & 1;
}

static void sort_machines(struct run *run, enum rp_machine_order order) {
    size_t n = run->in->n_machines;
    gsl_rng *rng = order == RP_RND ? gsl_rng_alloc(gsl_rng_taus2) : NULL;
    if (rng)
        gsl_rng_set(rng, run->in->seed);
    for (size_t i = 0; i < n; i++) {
        bool no_luck = order == RP_RND && !rng;
        double key = no_luck ? 0 : machine_key(&run->in->machines[i], order, run->in->unit_s, rng);
        run->sorted[i] = (struct sorted){.item = i, .key = key};
    }
    sort_into(run->machine_order, run->sorted, n);
    if (rng)
        gsl_rng_free(rng);
}

/* ---- placing ---- */

static bool allowed(const struct rp_plan_group *group, int type, int zone, bool spot) {
    return (group->types >> type & 1) && (group->zones >> zone & 1) && (!spot || group->spot);
}

static bool add_put(struct run *run, size_t group, size_t machine, uint32_t count, bool now) {
    struct rp_plan *plan = run->plan;
    if (plan->n_placements == plan->cap_placements) {
        size_t cap = plan->cap_placements ? plan->cap_placements * 2 : 64;
        struct rp_placement *puts = realloc(plan->placements, cap * sizeof *puts);
        if (!puts) {
            plan->failed = true;
            return false;
        }
        plan->placements = puts;
        plan->cap_placements = cap;
    }
    plan->placements[plan->n_placements++] =
        (struct rp_placement){.group = group, .machine = machine, .count = count, .now = now};
    return true;
}

/* The group being placed: how many are left, and what one_zone and spread still allow. */
struct placing {
    const struct rp_plan_group *g;
    size_t index;
    uint32_t left;
    int zone; /* fixed zone, -1: free */
    uint32_t zone_used[RP_ZONES_MAX];
    size_t first_put;
};

static uint32_t zone_room(const struct placing *placement, int zone) {
    if (placement->g->one_zone && placement->zone >= 0 && placement->zone != zone)
        return 0;
    if (!placement->g->spread)
        return placement->left;
    uint32_t used = placement->zone_used[zone];
    uint32_t room = placement->g->spread_max > used ? placement->g->spread_max - used : 0;
    return room < placement->left ? room : placement->left;
}

static int slot_zone(const struct run *run, size_t slot) {
    return slot < run->in->n_machines
               ? run->in->machines[slot].zone
               : run->in->kinds[run->plan->new_machines[slot - run->in->n_machines]].zone;
}

static int slot_type(const struct run *run, size_t slot) {
    return slot < run->in->n_machines
               ? run->in->machines[slot].type
               : run->in->kinds[run->plan->new_machines[slot - run->in->n_machines]].type;
}

static const struct rp_resources *slot_capacity(const struct run *run, size_t slot) {
    return slot < run->in->n_machines
               ? &run->in->machines[slot].capacity
               : &run->in->kinds[run->plan->new_machines[slot - run->in->n_machines]].capacity;
}

static void put(struct run *run, struct placing *placement, size_t at, uint32_t count, bool now,
                double end_s) {
    struct slot *slot = &run->slots[at];
    int zone = slot_zone(run, at);
    if (!add_put(run, placement->index, at, count, now))
        return;
    take(&slot->later, &placement->g->each, count);
    if (now)
        take(&slot->room, &placement->g->each, count);
    if (now)
        take(&slot->spare, &placement->g->each, count);
    slot->end_s = fmax(slot->end_s, end_s);
    slot->used = true;
    if (at < run->in->n_machines)
        note_filled(run, at);
    int type = slot_type(run, at);
    run->queued_s[type] += count * placement->g->run_s *
                           rp_plan_share_of_machine(&placement->g->each, slot_capacity(run, at));
    placement->left -= count;
    placement->zone_used[zone] += count;
    if (placement->g->one_zone)
        placement->zone = zone;
}

static double fetch_s(const struct rp_plan_group *group, double rate, bool has) {
    return has || rate <= 0 ? 0 : group->image_gb / rate;
}

/* Puts what fits on a machine now; `later`: into the room it will have. */
static void try_machine(struct run *run, struct placing *placement, size_t at, bool later) {
    const struct rp_plan_machine *machine = &run->in->machines[at];
    const struct rp_plan_group *group = placement->g;
    if (!allowed(group, machine->type, machine->zone, machine->spot) ||
        (machine->reserved_for && machine->reserved_for != group->ref))
        return;
    uint32_t most = zone_room(placement, machine->zone);
    most = fits(&group->each, &run->slots[at].later, most);
    if (!later)
        most = fits(&group->each, &run->slots[at].room, most);
    if (most == 0)
        return;
    double end = (later ? machine->wait_s : 0) + group->run_s +
                 fetch_s(group, machine->fetch_gb_per_s, group->has_image && group->has_image[at]);
    put(run, placement, at, most, !later, end);
}

double rp_plan_fits_after_s(const struct rp_plan_machine *machine,
                            const struct rp_resources *each) {
    struct rp_resources room = machine->free_now;
    if (fits(each, &room, 1))
        return 0;
    for (size_t i = 0; i < machine->n_ends; i++) {
        take(&room, &machine->ends[i].released, -1);
        if (fits(each, &room, 1))
            return machine->ends[i].s;
    }
    return INFINITY;
}

/* Machines that have the image and will have room before a fetch elsewhere could be over: waiting
 * for them costs no time, and the fetch's time isn't paid for. */
static void try_image_holders(struct run *run, struct placing *placement) {
    const struct rp_plan_group *group = placement->g;
    /* Urgent work has room made for it rather than wait (measured: it lost by waiting). */
    if (group->priority >= RP_PRIORITY_HIGH)
        return;
    const struct listing *listing = &run->listings[run->group_listing[placement->index]];
    for (size_t i = 0; i < listing->n[ROOM_LATER] && placement->left > 0; i++) {
        size_t at = listing->at[ROOM_LATER][i];
        run->plan->n_probes++;
        const struct rp_plan_machine *machine = &run->in->machines[at];
        /* The cheap look first: under overload nearly no machine has any room left. */
        if (group->has_image && group->has_image[at] &&
            fits(&group->each, &run->slots[at].later, 1) &&
            rp_plan_fits_after_s(machine, &group->each) <
                HOLDER_SHARE * fetch_s(group, machine->fetch_gb_per_s, false))
            try_machine(run, placement, at, true);
    }
}

/* Machines that have the image come first: a fetch costs a good part of a short task's time. */
static void try_machines(struct run *run, struct placing *placement, bool later) {
    const struct listing *listing = &run->listings[run->group_listing[placement->index]];
    enum room_kind kind = later ? ROOM_LATER : ROOM_NOW;
    for (int with_image = 1; with_image >= 0; with_image--) {
        if (!later && !with_image)
            try_image_holders(run, placement);
        for (size_t i = 0; i < listing->n[kind] && placement->left > 0; i++) {
            size_t at = listing->at[kind][i];
            run->plan->n_probes++;
            bool has = placement->g->has_image && placement->g->has_image[at];
            if (has == (with_image == 1))
                try_machine(run, placement, at, later);
        }
    }
}

static void try_fresh(struct run *run, struct placing *placement) {
    for (size_t i = 0; i < run->plan->n_new_machines && placement->left > 0; i++) {
        const struct rp_plan_kind *kind = &run->in->kinds[run->plan->new_machines[i]];
        size_t at = run->in->n_machines + i;
        if (!allowed(placement->g, kind->type, kind->zone, kind->spot))
            continue;
        uint32_t most =
            fits(&placement->g->each, &run->slots[at].later, zone_room(placement, kind->zone));
        if (most)
            put(run, placement, at, most, false,
                kind->boot_s + placement->g->run_s +
                    fetch_s(placement->g, kind->fetch_gb_per_s, false));
    }
}

/* Capacity per price on the main resource: the one of which a task takes the largest part. */
static double value_of(const struct rp_plan_group *group, const struct rp_plan_kind *kind) {
    const struct rp_resources *c = &kind->capacity;
    double cpu = c->cpus > 0 ? group->each.cpus / c->cpus : 0;
    double gpu = c->gpus > 0 ? group->each.gpus / c->gpus : 0;
    double mem = c->memory_gb > 0 ? group->each.memory_gb / c->memory_gb : 0;
    double capacity = gpu >= cpu && gpu >= mem ? c->gpus : cpu >= mem ? c->cpus : c->memory_gb;
    /* In tasks, so that types whose main resource differs can be compared. */
    double need = gpu >= cpu && gpu >= mem ? group->each.gpus
                  : cpu >= mem             ? group->each.cpus
                                           : group->each.memory_gb;
    return need > 0 && kind->price > 0 ? capacity / need / kind->price : capacity;
}

static int best_kind(const struct run *run, const struct placing *placement) {
    int best = -1;
    double best_value = -1;
    for (size_t i = 0; i < run->in->n_kinds; i++) {
        const struct rp_plan_kind *kind = &run->in->kinds[i];
        if (kind->refused || !allowed(placement->g, kind->type, kind->zone, kind->spot) ||
            zone_room(placement, kind->zone) == 0 || !fits(&placement->g->each, &kind->capacity, 1))
            continue;
        double value = value_of(placement->g, kind);
        if (value > best_value + EPS) {
            best_value = value;
            best = (int)i;
        }
    }
    return best;
}

static bool rent(struct run *run, size_t kind) {
    struct rp_plan *plan = run->plan;
    if (plan->n_new_machines == run->in->new_max)
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
    struct slot *slot = &run->slots[run->in->n_machines + plan->n_new_machines];
    *slot = (struct slot){.later = run->in->kinds[kind].capacity};
    plan->new_machines[plan->n_new_machines++] = kind;
    return true;
}

static uint32_t quota(const struct run *run, const struct rp_plan_group *group) {
    uint32_t most = group->n;
    if (group->team < 0)
        return most;
    most = fit_one(run->cpus_left[group->team], group->each.cpus, most);
    return fit_one(run->gpus_left[group->team], group->each.gpus, most);
}

/* Takes back everything put for the group, and the machines rented for it. */
static void roll_back(struct run *run, struct placing *placement, size_t fresh_before) {
    struct rp_plan *plan = run->plan;
    while (plan->n_placements > placement->first_put) {
        const struct rp_placement *put = &plan->placements[--plan->n_placements];
        struct slot *slot = &run->slots[put->machine];
        take(&slot->later, &placement->g->each, -(double)put->count);
        if (put->now)
            take(&slot->room, &placement->g->each, -(double)put->count);
        if (put->now)
            take(&slot->spare, &placement->g->each, -(double)put->count);
    }
    plan->n_new_machines = fresh_before;
    placement->left = placement->g->kind == RP_JOB_GANG ? placement->g->n : placement->left;
    placement->zone = placement->g->fixed_zone;
    memcpy(placement->zone_used, placement->g->zone_used, sizeof placement->zone_used);
}

static void begin(struct run *run, struct placing *placement, size_t index) {
    placement->g = &run->in->groups[index];
    placement->index = index;
    placement->zone = placement->g->fixed_zone;
    placement->first_put = run->plan->n_placements;
    memcpy(placement->zone_used, placement->g->zone_used, sizeof placement->zone_used);
}

/* Whether the machines at hand get to the rest of the group while its job has time to spare: then
 * it waits for them, and nothing is rented. */
static bool can_wait(struct run *run, struct placing *placement) {
    const struct rp_plan_group *group = placement->g;
    double machines = 0, work = 0, part = 0;
    uint32_t types = 0;
    if (group->slack_s >= RP_NO_OBJECTIVE_S || WAIT_SHARE <= 0)
        return false;
    for (size_t i = 0; i < run->n_pools; i++) {
        const struct pool *pool = &run->pools[i];
        if (!allowed(group, pool->type, pool->zone, pool->spot))
            continue;
        machines += pool->machines;
        work += pool->work_s;
        part = rp_plan_share_of_machine(&group->each, pool->capacity);
        types |= 1u << pool->type;
    }
    for (size_t i = 0; i < run->plan->n_new_machines; i++) {
        const struct rp_plan_kind *kind = &run->in->kinds[run->plan->new_machines[i]];
        if (!allowed(group, kind->type, kind->zone, kind->spot))
            continue;
        machines++;
        part = rp_plan_share_of_machine(&group->each, &kind->capacity);
        types |= 1u << kind->type;
    }
    for (int t = 0; t < RP_TYPES_MAX; t++)
        if (types >> t & 1)
            work += run->queued_s[t];
    double own = placement->left * part * group->run_s;
    if (machines == 0 || (work + own) / machines > WAIT_SHARE * group->slack_s)
        return false;
    for (int t = 0; t < RP_TYPES_MAX; t++)
        if (types >> t & 1) {
            run->queued_s[t] += own;
            break;
        }
    return true;
}

/* What the GPU work on a machine leaves of its CPUs costs nothing more: work that has no use for
 * the GPUs may take that, where it is over before the machine's own work. (Measured by all work on
 * the machine, such work drew more of its like after it, and kept a third of the GPU machines for
 * minutes after the last GPU task had ended.) */
static void try_spare(struct run *run, struct placing *placement) {
    const struct rp_plan_group *group = placement->g;
    const struct listing *listing = &run->listings[run->spare_listing[placement->index]];
    if (!group->spare_types)
        return;
    for (int with_image = 1; with_image >= 0; with_image--)
        for (size_t i = 0; i < listing->n[ROOM_SPARE] && placement->left > 0; i++) {
            size_t at = listing->at[ROOM_SPARE][i];
            run->plan->n_probes++;
            const struct rp_plan_machine *machine = &run->in->machines[at];
            bool has = group->has_image && group->has_image[at];
            if (has != (with_image == 1) || !(group->spare_types >> machine->type & 1) ||
                !(group->zones >> machine->zone & 1) || (machine->spot && !group->spot) ||
                machine->reserved_for ||
                machine->own_busy_s <
                    SPARE_SHARE * (group->run_s + fetch_s(group, machine->fetch_gb_per_s, has)))
                continue;
            uint32_t most =
                fits(&group->each, &run->slots[at].spare, zone_room(placement, machine->zone));
            most = fits(&group->each, &run->slots[at].room, most);
            if (most > 0)
                put(run, placement, at, most, true, 0);
        }
}

static void place_everywhere(struct run *run, struct placing *placement) {
    try_machines(run, placement, false);
    try_spare(run, placement);
    try_machines(run, placement, true);
    try_fresh(run, placement);
    if (placement->left > 0 && !placement->g->guaranteed && can_wait(run, placement))
        return;
    while (placement->left > 0 && !run->plan->failed) {
        int kind = best_kind(run, placement);
        uint32_t before = placement->left;
        if (kind < 0 || !rent(run, (size_t)kind))
            return;
        try_fresh(run, placement);
        if (placement->left == before)
            return;
    }
}

/* A gang of one zone may fit in one zone and not in another: each is tried. True once all of it has
 * its room. */
static bool place_gang_in(struct run *run, struct placing *placement, bool now) {
    size_t fresh = run->plan->n_new_machines;
    int zones = placement->g->one_zone && placement->zone < 0 ? RP_ZONES_MAX : 1;
    for (int z = 0; z < zones; z++) {
        if (zones > 1 && !(placement->g->zones >> z & 1))
            continue;
        if (zones > 1)
            placement->zone = z;
        if (now)
            try_machines(run, placement, false);
        else
            place_everywhere(run, placement);
        if (placement->left == 0)
            return true;
        roll_back(run, placement, fresh);
    }
    return false;
}

static void place_gang(struct run *run, struct placing *placement) {
    if (!place_gang_in(run, placement, true) && !placement->g->held)
        place_gang_in(run, placement, false);
}

static void place_group(struct run *run, size_t index) {
    struct placing placement;
    thin_out(run, &run->listings[run->group_listing[index]]);
    thin_out(run, &run->listings[run->spare_listing[index]]);
    begin(run, &placement, index);
    const struct rp_plan_group *group = placement.g;
    uint32_t want = quota(run, group);
    if (group->kind == RP_JOB_GANG && want < group->n)
        return; /* over the limit: the gang waits whole */
    placement.left = want;
    if (group->kind == RP_JOB_GANG)
        place_gang(run, &placement);
    else
        place_everywhere(run, &placement);
    if (group->held) {
        run->plan->n_wait += placement.left;
        placement.left = 0;
    }
    uint32_t placed = want - placement.left;
    if (group->team >= 0) {
        run->cpus_left[group->team] -= placed * group->each.cpus;
        run->gpus_left[group->team] -= placed * group->each.gpus;
    }
    double weight = (group->each.cpus + 8 * group->each.gpus + 0.01) * group->run_s;
    run->plan->unplaced_work += placement.left * weight * pow(100, (double)group->priority);
    for (size_t i = placement.first_put; i < run->plan->n_placements; i++) {
        if (run->plan->placements[i].now)
            run->plan->n_now += run->plan->placements[i].count;
        else
            run->plan->n_wait += run->plan->placements[i].count;
    }
}

double rp_plan_cost(double price, double age_s, double end_s, double unit_s) {
    double charged = unit_s * ceil((age_s + end_s) / unit_s - EPS);
    return price / 3600 * fmax(charged, RP_MIN_CHARGE_S);
}

static void price_plan(struct run *run) {
    for (size_t i = 0; i < run->in->n_machines; i++) {
        const struct rp_plan_machine *machine = &run->in->machines[i];
        run->plan->cost +=
            rp_plan_cost(machine->price, machine->age_s, run->slots[i].end_s, run->in->unit_s);
    }
    for (size_t i = 0; i < run->plan->n_new_machines; i++)
        run->plan->cost += rp_plan_cost(run->in->kinds[run->plan->new_machines[i]].price, 0,
                                        run->slots[run->in->n_machines + i].end_s, run->in->unit_s);
}

/* Machines at hand, with the work on them; one that still boots has its boot to do. */
static void fill_pools(struct run *run) {
    for (size_t i = 0; i < run->in->n_machines; i++) {
        const struct rp_plan_machine *machine = &run->in->machines[i];
        struct pool *pool = run->pools, *end = run->pools + run->n_pools;
        while (pool < end && !(pool->type == machine->type && pool->zone == machine->zone &&
                               pool->spot == machine->spot))
            pool++;
        if (pool == end) {
            run->n_pools++;
            *pool = (struct pool){.type = machine->type,
                                  .zone = machine->zone,
                                  .spot = machine->spot,
                                  .capacity = &machine->capacity};
        }
        bool up = machine->free_now.cpus > 0 || machine->n_ends > 0;
        pool->machines += fmax(0, 1 - machine->taken);
        pool->work_s += machine->work_s + (up ? 0 : machine->wait_s);
    }
}

void rp_plan_build(const struct rp_plan_input *input, struct rp_heuristic heuristic,
                   struct rp_plan *out) {
    size_t most = input->n_groups > input->n_machines ? input->n_groups : input->n_machines;
    struct run run = {.in = input, .plan = out};
    memset(out, 0, sizeof *out);
    run.slots = calloc(input->n_machines + input->new_max + 1, sizeof *run.slots);
    run.group_order = calloc(input->n_groups + 1, sizeof(size_t));
    run.machine_order = calloc(input->n_machines + 1, sizeof(size_t));
    run.sorted = calloc(most + 1, sizeof *run.sorted);
    run.given_up = calloc(input->n_groups + 1, sizeof *run.given_up);
    run.group_listing = calloc(input->n_groups + 1, sizeof(size_t));
    run.spare_listing = calloc(input->n_groups + 1, sizeof(size_t));
    run.pools = calloc(input->n_machines + 1, sizeof *run.pools);
    run.cpus_left = calloc(input->n_teams + 1, sizeof(double));
    run.gpus_left = calloc(input->n_teams + 1, sizeof(double));
    if (!run.slots || !run.group_order || !run.machine_order || !run.sorted || !run.pools ||
        !run.given_up || !run.group_listing || !run.spare_listing || !run.cpus_left ||
        !run.gpus_left) {
        out->failed = true;
        goto out;
    }
    for (size_t i = 0; i < input->n_machines; i++)
        run.slots[i] = (struct slot){.room = input->machines[i].free_now,
                                     .later = input->machines[i].free_later,
                                     .spare = input->machines[i].spare_now,
                                     .end_s = input->machines[i].busy_s};
    for (size_t i = 0; i < input->n_teams; i++) {
        run.cpus_left[i] = input->teams[i].cpus_left;
        run.gpus_left[i] = input->teams[i].gpus_left;
    }
    find_listings(&run);
    fill_pools(&run);
    sort_machines(&run, heuristic.machines);
    if (!fill_listings(&run)) {
        out->failed = true;
        goto out;
    }
    sort_groups(&run, heuristic.jobs);
    for (size_t i = 0; i < input->n_groups && !out->failed; i++)
        place_group(&run, run.group_order[i]);
    price_plan(&run);
out:
    free(run.slots);
    free(run.group_order);
    free(run.machine_order);
    free(run.sorted);
    free(run.pools);
    free(run.given_up);
    free(run.group_listing);
    free(run.spare_listing);
    for (size_t k = 0; k < run.n_listings; k++)
        for (int kind = 0; kind < ROOM_KINDS; kind++)
            free(run.listings[k].at[kind]);
    free(run.cpus_left);
    free(run.gpus_left);
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
    return a->n_now > b->n_now;
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
