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

static const char *const job_names[] = {"FCFS", "RR",  "LJF", "SJF", "LTJF",
                                        "STJF", "EDF", "SRW", "ESW"};
static const char *const machine_names[] = {"RND", "LM",  "SM",  "LA",  "EA", "LD", "ED",
                                            "LAA", "EAA", "CFH", "FFH", "BF", "CP"};

static int name_index(const char *name, size_t len, const char *const *names, size_t n) {
    for (size_t i = 0; i < n; i++)
        if (strlen(names[i]) == len && strncmp(names[i], name, len) == 0)
            return (int)i;
    return -1;
}

bool rp_heuristic_named(const char *name, struct rp_heuristic *out) {
    const char *dash = strchr(name, '-');
    if (!dash)
        return false;
    int jobs =
        name_index(name, (size_t)(dash - name), job_names, sizeof job_names / sizeof job_names[0]);
    int machines = name_index(dash + 1, strlen(dash + 1), machine_names,
                              sizeof machine_names / sizeof machine_names[0]);
    if (jobs < 0 || machines < 0)
        return false;
    out->jobs = (enum rp_job_order)jobs;
    out->machines = (enum rp_machine_order)machines;
    return true;
}

void rp_plan_free(struct rp_plan *plan) {
    free(plan->puts);
    free(plan->fresh);
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
    uint32_t class_jobs_most[RP_PRODUCTION + 1][2];
    struct pool *pools;
    size_t n_pools;
    struct sorted *sorted;
    double *cpus_left, *gpus_left;
    double queued_s[RP_TYPES_MAX]; /* work given to a type's machines, and left to them */
};

double rp_plan_part(const struct rp_resources *need, const struct rp_resources *capacity) {
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

static double group_key(const struct rp_plan_group *g, enum rp_job_order order, size_t position,
                        const struct rp_resources *fleet, double weight) {
    double size = g->each.cpus + 8 * g->each.gpus + g->each.memory_gb / 8;
    switch (order) {
    case RP_FCFS:
        return -g->age_s;
    case RP_RR:
        return (double)position; /* the input alternates between teams */
    case RP_LJF:
        return -size;
    case RP_SJF:
        return size;
    case RP_LTJF:
        return -g->run_s;
    case RP_STJF:
        return g->run_s;
    case RP_EDF:
        return g->slack_s;
    case RP_SRW:
        return size * g->n * g->run_s;
    case RP_ESW:
        return g->slack_s - ESW_LONG * g->run_s +
               weight * g->n * g->run_s * fleet_share(&g->each, fleet);
    }
    return 0;
}

/* The part of the machine that is free, by its main resource. */
static double room_share(const struct rp_plan_machine *m) {
    if (m->capacity.gpus > 0)
        return m->room.gpus / m->capacity.gpus;
    return m->capacity.cpus > 0 ? m->room.cpus / m->capacity.cpus : 0;
}

static double machine_key(const struct rp_plan_machine *m, enum rp_machine_order order,
                          double unit_s, gsl_rng *rng) {
    double size = m->capacity.cpus + 8 * m->capacity.gpus;
    double into_unit = fmod(m->age_s, unit_s);
    switch (order) {
    case RP_RND:
        return gsl_rng_uniform(rng);
    case RP_LM:
        return -size;
    case RP_SM:
        return size;
    case RP_LA:
        return m->last_arrival_s;
    case RP_EA:
        return -m->first_arrival_s;
    case RP_LD:
        return -m->busy_s;
    case RP_ED:
        return m->busy_s;
    case RP_LAA:
        return m->mean_arrival_s;
    case RP_EAA:
        return -m->mean_arrival_s;
    case RP_CFH:
        return -into_unit;
    case RP_FFH:
        return into_unit;
    case RP_BF:
        return room_share(m);
    case RP_CP:
        return m->price / fmax(1, size);
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

static bool allowed(const struct rp_plan_group *g, int type, int zone, bool spot);

/* What a fetch would delay the group by: nothing if a machine with room holds its image. */
static double fetch_ahead_s(const struct run *r, size_t group) {
    const struct rp_plan_group *g = &r->in->groups[group];
    const struct listing *l = &r->listings[r->group_listing[group]];
    double fetch = 0;
    for (size_t i = 0; i < l->n[ROOM_NOW]; i++) {
        size_t at = l->at[ROOM_NOW][i];
        const struct rp_plan_machine *m = &r->in->machines[at];
        if (!allowed(g, m->type, m->zone, m->spot) || m->fetch_gb_per_s <= 0 ||
            (m->kept && m->kept != g->ref) || !fits(&g->each, &m->room, 1))
            continue;
        if (g->has_image && g->has_image[at])
            return 0;
        fetch = fmax(fetch, g->image_gb / m->fetch_gb_per_s);
    }
    return fetch;
}

/* ---- who can be in time, when not all can ---- */

static bool on_gpus(const struct rp_plan_group *g) {
    return g->each.gpus > 0;
}

/* What the machines can do in a second, and what is under way on them; returns how many they are.
 */
static double pool_load(const struct run *r, bool gpus, double *capacity, double *work) {
    double machines = 0;
    *capacity = *work = 0;
    for (size_t i = 0; i < r->n_pools; i++) {
        const struct pool *pool = &r->pools[i];
        double each = gpus ? pool->capacity->gpus : pool->capacity->cpus;
        if (!gpus && pool->capacity->gpus > 0)
            continue;
        machines += pool->machines;
        *capacity += pool->machines * each;
        *work += pool->work_s * each;
    }
    return machines;
}

static double group_work(const struct rp_plan_group *g) {
    return g->n * g->run_s * (on_gpus(g) ? g->each.gpus : g->each.cpus);
}

static int by_key(const void *a, const void *b) {
    const struct sorted *x = a, *y = b;
    return x->key < y->key ? -1 : x->key > y->key ? 1 : x->item < y->item ? -1 : x->item > y->item;
}

/* Aims count shares of a class: one job of few is a larger share of its class than one of many.
 * Returns how much the job's work counts against it, from 0 for the only unfinished job of a class
 * to 1 for the most numerous class and those with RARE_JOBS and more. */
static double class_factor(const struct run *r, const struct rp_plan_group *g) {
    if (g->class_jobs >= r->class_jobs_most[g->priority][on_gpus(g)] || g->class_jobs == 0)
        return 1;
    return fmin(1, (g->class_jobs - 1) / RARE_JOBS);
}

/* Of the first `n` groups in the order, the one that takes most work for its share of its class and
 * isn't given up. Gangs never are: what a whole gang gains isn't told by its work, and they are
 * few. */
static const struct rp_plan_group *largest_kept(const struct run *r, size_t n) {
    const struct rp_plan_group *largest = NULL;
    double largest_work = 0;
    for (size_t k = 0; k < n; k++) {
        const struct rp_plan_group *g = &r->in->groups[r->sorted[k].item];
        double work = group_work(g) * class_factor(r, g);
        if (g->kind != RP_ARRAY || r->given_up[r->sorted[k].item] ||
            (largest && work <= largest_work))
            continue;
        largest = g;
        largest_work = work;
    }
    return largest;
}

/* Moore's rule: in the order of due times, whenever the work taken so far can't be done by then,
 * its largest job is given up. So the most jobs are in time; without it, under a load that lasts,
 * those about to be late take the room of those that still can be in time, and all are late. */
static void give_up(struct run *r, enum rp_priority priority, bool gpus, double capacity,
                    double *work) {
    size_t n = 0;
    for (size_t i = 0; i < r->in->n_groups; i++) {
        const struct rp_plan_group *g = &r->in->groups[i];
        if (g->priority == priority && on_gpus(g) == gpus && g->slack_s < RP_NO_AIM_S)
            r->sorted[n++] = (struct sorted){.item = i, .key = g->slack_s, .rank = 0};
    }
    qsort(r->sorted, n, sizeof *r->sorted, by_key);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *g = &r->in->groups[r->sorted[i].item];
        if (g->late)
            continue;
        *work += group_work(g);
        if (*work <= capacity * g->slack_s)
            continue;
        const struct rp_plan_group *largest = largest_kept(r, i + 1);
        if (!largest)
            continue;
        r->given_up[largest - r->in->groups] = true;
        r->plan->short_of_room[gpus] = true;
        *work -= group_work(largest);
    }
    for (size_t i = 0; i < n && r->plan->short_of_room[gpus]; i++)
        if (r->in->groups[r->sorted[i].item].late)
            r->given_up[r->sorted[i].item] = r->in->groups[r->sorted[i].item].kind == RP_ARRAY;
}

static void give_up_all(struct run *r) {
    for (int gpus = 0; gpus < 2; gpus++) {
        double capacity, work;
        double machines = pool_load(r, gpus, &capacity, &work);
        if (machines > 0)
            capacity *= GIVE_UP_AT + GIVE_UP_FEW / machines;
        for (int p = RP_PRODUCTION; p >= RP_LOW && capacity > 0; p--)
            give_up(r, (enum rp_priority)p, gpus, capacity, &work);
    }
}

static int group_rank(const struct run *r, size_t group) {
    const struct rp_plan_group *g = &r->in->groups[group];
    if (g->guaranteed)
        return -3 * (RP_PRODUCTION + 1);
    /* Priority comes before every order: work never waits for work of a lower priority. */
    return -3 * (int)g->priority + (g->begin && r->plan->short_of_room[on_gpus(g)] ? 0
                                    : r->given_up[group]                           ? 2
                                                                                   : 1);
}

static void count_classes(struct run *r) {
    for (size_t i = 0; i < r->in->n_groups; i++) {
        const struct rp_plan_group *g = &r->in->groups[i];
        uint32_t *most = &r->class_jobs_most[g->priority][on_gpus(g)];
        if (g->kind == RP_ARRAY && g->slack_s < RP_NO_AIM_S && g->class_jobs > *most)
            *most = g->class_jobs;
    }
}

/* The only job of a class isn't kept behind all smaller ones: on the contrary, its work has to be
 * begun earlier by the time that it takes, beside other work. */
static double small_first_weight(const struct run *r, const struct rp_plan_group *g,
                                 double weight) {
    double factor = class_factor(r, g);
    return weight * factor - ESW_RARE * (1 - factor);
}

static void sort_groups(struct run *r, enum rp_job_order order) {
    size_t n = r->in->n_groups;
    struct rp_resources fleet = {0};
    for (size_t i = 0; i < r->in->n_machines; i++)
        take(&fleet, &r->in->machines[i].capacity, -1);
    double short_weight =
        ESW_WEIGHT * ESW_SHORT * fmax(1, (double)r->in->n_machines / ESW_SHORT_FLEET);
    count_classes(r);
    if (order == RP_ESW)
        give_up_all(r);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_group *g = &r->in->groups[i];
        /* Gangs are never given up: behind all smaller arrays they would wait too long. */
        bool small_first = g->kind == RP_ARRAY && r->plan->short_of_room[on_gpus(g)];
        double weight = small_first ? small_first_weight(r, g, short_weight) : ESW_WEIGHT;
        double key = group_key(g, order, i, &fleet, weight);
        if (order == RP_ESW)
            key += ESW_FETCH * fetch_ahead_s(r, i) - (g->spot ? 0 : ESW_FEW);
        r->sorted[i] = (struct sorted){.item = i, .rank = group_rank(r, i), .key = key};
    }
    sort_into(r->group_order, r->sorted, n);
}

/* A machine that holds not even the least demanding task is looked at by no group. */
static bool of_use(const struct run *r, const struct listing *l, enum room_kind kind, size_t at) {
    const struct slot *slot = &r->slots[at];
    const struct rp_resources *room = kind == ROOM_NOW     ? &slot->room
                                      : kind == ROOM_LATER ? &slot->later
                                                           : &slot->spare;
    return (l->types >> r->in->machines[at].type & 1) && fits(&l->least, room, 1) > 0;
}

static void thin_out(struct run *r, struct listing *l) {
    if (!l->filled)
        return;
    for (int kind = 0; kind < ROOM_KINDS; kind++) {
        size_t kept = 0;
        for (size_t i = 0; i < l->n[kind]; i++)
            if (of_use(r, l, (enum room_kind)kind, l->at[kind][i]))
                l->at[kind][kept++] = l->at[kind][i];
        l->n[kind] = kept;
    }
    l->filled = false;
}

static void note_least(struct listing *l, const struct rp_resources *each) {
    l->least.cpus = fmin(l->least.cpus, each->cpus);
    l->least.gpus = fmin(l->least.gpus, each->gpus);
    l->least.memory_gb = fmin(l->least.memory_gb, each->memory_gb);
}

static size_t listing_for(struct run *r, uint32_t types, const struct rp_resources *each) {
    size_t at = 0;
    while (at < r->n_listings && r->listings[at].types != types)
        at++;
    if (at >= LISTINGS_MAX) {
        at = LISTINGS_MAX - 1;
        r->listings[at].types |= types;
    } else if (at == r->n_listings) {
        r->listings[r->n_listings++] = (struct listing){
            .types = types, .filled = true, .least = {INFINITY, INFINITY, INFINITY}};
    }
    note_least(&r->listings[at], each);
    return at;
}

/* Which machines each group is to look at, by the types that it may use. */
static void find_listings(struct run *r) {
    for (size_t i = 0; i < r->in->n_groups; i++) {
        const struct rp_plan_group *g = &r->in->groups[i];
        r->group_listing[i] = listing_for(r, g->types, &g->each);
        r->spare_listing[i] =
            g->spare_types ? listing_for(r, g->spare_types, &g->each) : r->group_listing[i];
    }
}

/* Fills the lists in the heuristic's order; spare room is looked at in the machines' own order.
 * Returns false when memory is short. */
static bool fill_listings(struct run *r) {
    size_t n = r->in->n_machines;
    for (size_t k = 0; k < r->n_listings; k++) {
        struct listing *l = &r->listings[k];
        for (int kind = 0; kind < ROOM_KINDS; kind++) {
            l->at[kind] = malloc((n + 1) * sizeof(size_t));
            if (!l->at[kind])
                return false;
            for (size_t i = 0; i < n; i++) {
                size_t at = kind == ROOM_SPARE ? i : r->machine_order[i];
                if (of_use(r, l, (enum room_kind)kind, at))
                    l->at[kind][l->n[kind]++] = at;
            }
        }
        l->filled = false;
    }
    return true;
}

static void note_filled(struct run *r, size_t machine) {
    int type = r->in->machines[machine].type;
    for (size_t k = 0; k < r->n_listings; k++)
        r->listings[k].filled |= r->listings[k].types >> type & 1;
}

static void sort_machines(struct run *r, enum rp_machine_order order) {
    size_t n = r->in->n_machines;
    gsl_rng *rng = order == RP_RND ? gsl_rng_alloc(gsl_rng_taus2) : NULL;
    if (rng)
        gsl_rng_set(rng, r->in->seed);
    for (size_t i = 0; i < n; i++) {
        bool no_luck = order == RP_RND && !rng;
        double key = no_luck ? 0 : machine_key(&r->in->machines[i], order, r->in->unit_s, rng);
        r->sorted[i] = (struct sorted){.item = i, .key = key};
    }
    sort_into(r->machine_order, r->sorted, n);
    if (rng)
        gsl_rng_free(rng);
}

/* ---- placing ---- */

static bool allowed(const struct rp_plan_group *g, int type, int zone, bool spot) {
    return (g->types >> type & 1) && (g->zones >> zone & 1) && (!spot || g->spot);
}

static bool add_put(struct run *r, size_t group, size_t machine, uint32_t count, bool now) {
    struct rp_plan *p = r->plan;
    if (p->n_puts == p->cap_puts) {
        size_t cap = p->cap_puts ? p->cap_puts * 2 : 64;
        struct rp_plan_put *puts = realloc(p->puts, cap * sizeof *puts);
        if (!puts) {
            p->failed = true;
            return false;
        }
        p->puts = puts;
        p->cap_puts = cap;
    }
    p->puts[p->n_puts++] =
        (struct rp_plan_put){.group = group, .machine = machine, .count = count, .now = now};
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

static uint32_t zone_room(const struct placing *pl, int zone) {
    if (pl->g->one_zone && pl->zone >= 0 && pl->zone != zone)
        return 0;
    if (!pl->g->spread)
        return pl->left;
    uint32_t used = pl->zone_used[zone];
    uint32_t room = pl->g->spread_max > used ? pl->g->spread_max - used : 0;
    return room < pl->left ? room : pl->left;
}

static int slot_zone(const struct run *r, size_t slot) {
    return slot < r->in->n_machines ? r->in->machines[slot].zone
                                    : r->in->kinds[r->plan->fresh[slot - r->in->n_machines]].zone;
}

static int slot_type(const struct run *r, size_t slot) {
    return slot < r->in->n_machines ? r->in->machines[slot].type
                                    : r->in->kinds[r->plan->fresh[slot - r->in->n_machines]].type;
}

static const struct rp_resources *slot_capacity(const struct run *r, size_t slot) {
    return slot < r->in->n_machines
               ? &r->in->machines[slot].capacity
               : &r->in->kinds[r->plan->fresh[slot - r->in->n_machines]].capacity;
}

static void put(struct run *r, struct placing *pl, size_t at, uint32_t count, bool now,
                double end_s) {
    struct slot *slot = &r->slots[at];
    int zone = slot_zone(r, at);
    if (!add_put(r, pl->index, at, count, now))
        return;
    take(&slot->later, &pl->g->each, count);
    if (now)
        take(&slot->room, &pl->g->each, count);
    if (now)
        take(&slot->spare, &pl->g->each, count);
    slot->end_s = fmax(slot->end_s, end_s);
    slot->used = true;
    if (at < r->in->n_machines)
        note_filled(r, at);
    int type = slot_type(r, at);
    r->queued_s[type] += count * pl->g->run_s * rp_plan_part(&pl->g->each, slot_capacity(r, at));
    pl->left -= count;
    pl->zone_used[zone] += count;
    if (pl->g->one_zone)
        pl->zone = zone;
}

static double fetch_s(const struct rp_plan_group *g, double rate, bool has) {
    return has || rate <= 0 ? 0 : g->image_gb / rate;
}

/* Puts what fits on a machine now; `later`: into the room it will have. */
static void try_machine(struct run *r, struct placing *pl, size_t at, bool later) {
    const struct rp_plan_machine *m = &r->in->machines[at];
    const struct rp_plan_group *g = pl->g;
    if (!allowed(g, m->type, m->zone, m->spot) || (m->kept && m->kept != g->ref))
        return;
    uint32_t most = zone_room(pl, m->zone);
    most = fits(&g->each, &r->slots[at].later, most);
    if (!later)
        most = fits(&g->each, &r->slots[at].room, most);
    if (most == 0)
        return;
    double end = (later ? m->wait_s : 0) + g->run_s +
                 fetch_s(g, m->fetch_gb_per_s, g->has_image && g->has_image[at]);
    put(r, pl, at, most, !later, end);
}

double rp_plan_fits_after(const struct rp_plan_machine *m, const struct rp_resources *each) {
    struct rp_resources room = m->room;
    if (fits(each, &room, 1))
        return 0;
    for (size_t i = 0; i < m->n_ends; i++) {
        take(&room, &m->ends[i].gives, -1);
        if (fits(each, &room, 1))
            return m->ends[i].s;
    }
    return INFINITY;
}

/* Machines that have the image and will have room before a fetch elsewhere could be over: waiting
 * for them costs no time, and the fetch's time isn't paid for. */
static void try_image_holders(struct run *r, struct placing *pl) {
    const struct rp_plan_group *g = pl->g;
    /* Urgent work has room made for it rather than wait (measured: it lost by waiting). */
    if (g->priority >= RP_HIGH)
        return;
    const struct listing *l = &r->listings[r->group_listing[pl->index]];
    for (size_t i = 0; i < l->n[ROOM_LATER] && pl->left > 0; i++) {
        size_t at = l->at[ROOM_LATER][i];
        r->plan->n_looks++;
        const struct rp_plan_machine *m = &r->in->machines[at];
        /* The cheap look first: under overload nearly no machine has any room left. */
        if (g->has_image && g->has_image[at] && fits(&g->each, &r->slots[at].later, 1) &&
            rp_plan_fits_after(m, &g->each) < HOLDER_SHARE * fetch_s(g, m->fetch_gb_per_s, false))
            try_machine(r, pl, at, true);
    }
}

/* Machines that have the image come first: a fetch costs a good part of a short task's time. */
static void try_machines(struct run *r, struct placing *pl, bool later) {
    const struct listing *l = &r->listings[r->group_listing[pl->index]];
    enum room_kind kind = later ? ROOM_LATER : ROOM_NOW;
    for (int with_image = 1; with_image >= 0; with_image--) {
        if (!later && !with_image)
            try_image_holders(r, pl);
        for (size_t i = 0; i < l->n[kind] && pl->left > 0; i++) {
            size_t at = l->at[kind][i];
            r->plan->n_looks++;
            bool has = pl->g->has_image && pl->g->has_image[at];
            if (has == (with_image == 1))
                try_machine(r, pl, at, later);
        }
    }
}

static void try_fresh(struct run *r, struct placing *pl) {
    for (size_t i = 0; i < r->plan->n_fresh && pl->left > 0; i++) {
        const struct rp_plan_kind *k = &r->in->kinds[r->plan->fresh[i]];
        size_t at = r->in->n_machines + i;
        if (!allowed(pl->g, k->type, k->zone, k->spot))
            continue;
        uint32_t most = fits(&pl->g->each, &r->slots[at].later, zone_room(pl, k->zone));
        if (most)
            put(r, pl, at, most, false,
                k->boot_s + pl->g->run_s + fetch_s(pl->g, k->fetch_gb_per_s, false));
    }
}

/* Capacity per price on the main resource: the one of which a task takes the largest part. */
static double value_of(const struct rp_plan_group *g, const struct rp_plan_kind *k) {
    const struct rp_resources *c = &k->capacity;
    double cpu = c->cpus > 0 ? g->each.cpus / c->cpus : 0;
    double gpu = c->gpus > 0 ? g->each.gpus / c->gpus : 0;
    double mem = c->memory_gb > 0 ? g->each.memory_gb / c->memory_gb : 0;
    double capacity = gpu >= cpu && gpu >= mem ? c->gpus : cpu >= mem ? c->cpus : c->memory_gb;
    /* In tasks, so that types whose main resource differs can be compared. */
    double need = gpu >= cpu && gpu >= mem ? g->each.gpus
                  : cpu >= mem             ? g->each.cpus
                                           : g->each.memory_gb;
    return need > 0 && k->price > 0 ? capacity / need / k->price : capacity;
}

static int best_kind(const struct run *r, const struct placing *pl) {
    int best = -1;
    double best_value = -1;
    for (size_t i = 0; i < r->in->n_kinds; i++) {
        const struct rp_plan_kind *k = &r->in->kinds[i];
        if (k->refused || !allowed(pl->g, k->type, k->zone, k->spot) ||
            zone_room(pl, k->zone) == 0 || !fits(&pl->g->each, &k->capacity, 1))
            continue;
        double value = value_of(pl->g, k);
        if (value > best_value + EPS) {
            best_value = value;
            best = (int)i;
        }
    }
    return best;
}

static bool rent(struct run *r, size_t kind) {
    struct rp_plan *p = r->plan;
    if (p->n_fresh == r->in->new_max)
        return false;
    if (p->n_fresh == p->cap_fresh) {
        size_t cap = p->cap_fresh ? p->cap_fresh * 2 : 16;
        size_t *fresh = realloc(p->fresh, cap * sizeof *fresh);
        if (!fresh) {
            p->failed = true;
            return false;
        }
        p->fresh = fresh;
        p->cap_fresh = cap;
    }
    struct slot *slot = &r->slots[r->in->n_machines + p->n_fresh];
    *slot = (struct slot){.later = r->in->kinds[kind].capacity};
    p->fresh[p->n_fresh++] = kind;
    return true;
}

static uint32_t quota(const struct run *r, const struct rp_plan_group *g) {
    uint32_t most = g->n;
    if (g->team < 0)
        return most;
    most = fit_one(r->cpus_left[g->team], g->each.cpus, most);
    return fit_one(r->gpus_left[g->team], g->each.gpus, most);
}

/* Takes back everything put for the group, and the machines rented for it. */
static void roll_back(struct run *r, struct placing *pl, size_t fresh_before) {
    struct rp_plan *p = r->plan;
    while (p->n_puts > pl->first_put) {
        const struct rp_plan_put *u = &p->puts[--p->n_puts];
        struct slot *slot = &r->slots[u->machine];
        take(&slot->later, &pl->g->each, -(double)u->count);
        if (u->now)
            take(&slot->room, &pl->g->each, -(double)u->count);
        if (u->now)
            take(&slot->spare, &pl->g->each, -(double)u->count);
    }
    p->n_fresh = fresh_before;
    pl->left = pl->g->kind == RP_GANG ? pl->g->n : pl->left;
    pl->zone = pl->g->fixed_zone;
    memcpy(pl->zone_used, pl->g->zone_used, sizeof pl->zone_used);
}

static void begin(struct run *r, struct placing *pl, size_t index) {
    pl->g = &r->in->groups[index];
    pl->index = index;
    pl->zone = pl->g->fixed_zone;
    pl->first_put = r->plan->n_puts;
    memcpy(pl->zone_used, pl->g->zone_used, sizeof pl->zone_used);
}

/* Whether the machines at hand get to the rest of the group while its job has time to spare: then
 * it waits for them, and nothing is rented. */
static bool can_wait(struct run *r, struct placing *pl) {
    const struct rp_plan_group *g = pl->g;
    double machines = 0, work = 0, part = 0;
    uint32_t types = 0;
    if (g->slack_s >= RP_NO_AIM_S || WAIT_SHARE <= 0)
        return false;
    for (size_t i = 0; i < r->n_pools; i++) {
        const struct pool *pool = &r->pools[i];
        if (!allowed(g, pool->type, pool->zone, pool->spot))
            continue;
        machines += pool->machines;
        work += pool->work_s;
        part = rp_plan_part(&g->each, pool->capacity);
        types |= 1u << pool->type;
    }
    for (size_t i = 0; i < r->plan->n_fresh; i++) {
        const struct rp_plan_kind *k = &r->in->kinds[r->plan->fresh[i]];
        if (!allowed(g, k->type, k->zone, k->spot))
            continue;
        machines++;
        part = rp_plan_part(&g->each, &k->capacity);
        types |= 1u << k->type;
    }
    for (int t = 0; t < RP_TYPES_MAX; t++)
        if (types >> t & 1)
            work += r->queued_s[t];
    double own = pl->left * part * g->run_s;
    if (machines == 0 || (work + own) / machines > WAIT_SHARE * g->slack_s)
        return false;
    for (int t = 0; t < RP_TYPES_MAX; t++)
        if (types >> t & 1) {
            r->queued_s[t] += own;
            break;
        }
    return true;
}

/* What the GPU work on a machine leaves of its CPUs costs nothing more: work that has no use for
 * the GPUs may take that, where it is over before the machine's own work. (Measured by all work on
 * the machine, such work drew more of its like after it, and kept a third of the GPU machines for
 * minutes after the last GPU task had ended.) */
static void try_spare(struct run *r, struct placing *pl) {
    const struct rp_plan_group *g = pl->g;
    const struct listing *l = &r->listings[r->spare_listing[pl->index]];
    if (!g->spare_types)
        return;
    for (int with_image = 1; with_image >= 0; with_image--)
        for (size_t i = 0; i < l->n[ROOM_SPARE] && pl->left > 0; i++) {
            size_t at = l->at[ROOM_SPARE][i];
            r->plan->n_looks++;
            const struct rp_plan_machine *m = &r->in->machines[at];
            bool has = g->has_image && g->has_image[at];
            if (has != (with_image == 1) || !(g->spare_types >> m->type & 1) ||
                !(g->zones >> m->zone & 1) || (m->spot && !g->spot) || m->kept ||
                m->own_busy_s < SPARE_SHARE * (g->run_s + fetch_s(g, m->fetch_gb_per_s, has)))
                continue;
            uint32_t most = fits(&g->each, &r->slots[at].spare, zone_room(pl, m->zone));
            most = fits(&g->each, &r->slots[at].room, most);
            if (most > 0)
                put(r, pl, at, most, true, 0);
        }
}

static void place_everywhere(struct run *r, struct placing *pl) {
    try_machines(r, pl, false);
    try_spare(r, pl);
    try_machines(r, pl, true);
    try_fresh(r, pl);
    if (pl->left > 0 && !pl->g->guaranteed && can_wait(r, pl))
        return;
    while (pl->left > 0 && !r->plan->failed) {
        int kind = best_kind(r, pl);
        uint32_t before = pl->left;
        if (kind < 0 || !rent(r, (size_t)kind))
            return;
        try_fresh(r, pl);
        if (pl->left == before)
            return;
    }
}

/* A gang of one zone may fit in one zone and not in another: each is tried. True once all of it has
 * its room. */
static bool place_gang_in(struct run *r, struct placing *pl, bool now) {
    size_t fresh = r->plan->n_fresh;
    int zones = pl->g->one_zone && pl->zone < 0 ? RP_ZONES_MAX : 1;
    for (int z = 0; z < zones; z++) {
        if (zones > 1 && !(pl->g->zones >> z & 1))
            continue;
        if (zones > 1)
            pl->zone = z;
        if (now)
            try_machines(r, pl, false);
        else
            place_everywhere(r, pl);
        if (pl->left == 0)
            return true;
        roll_back(r, pl, fresh);
    }
    return false;
}

static void place_gang(struct run *r, struct placing *pl) {
    if (!place_gang_in(r, pl, true) && !pl->g->held)
        place_gang_in(r, pl, false);
}

static void place_group(struct run *r, size_t index) {
    struct placing pl;
    thin_out(r, &r->listings[r->group_listing[index]]);
    thin_out(r, &r->listings[r->spare_listing[index]]);
    begin(r, &pl, index);
    const struct rp_plan_group *g = pl.g;
    uint32_t want = quota(r, g);
    if (g->kind == RP_GANG && want < g->n)
        return; /* over the limit: the gang waits whole */
    pl.left = want;
    if (g->kind == RP_GANG)
        place_gang(r, &pl);
    else
        place_everywhere(r, &pl);
    if (g->held) {
        r->plan->n_wait += pl.left;
        pl.left = 0;
    }
    uint32_t placed = want - pl.left;
    if (g->team >= 0) {
        r->cpus_left[g->team] -= placed * g->each.cpus;
        r->gpus_left[g->team] -= placed * g->each.gpus;
    }
    double weight = (g->each.cpus + 8 * g->each.gpus + 0.01) * g->run_s;
    r->plan->left += pl.left * weight * pow(100, (double)g->priority);
    for (size_t i = pl.first_put; i < r->plan->n_puts; i++) {
        if (r->plan->puts[i].now)
            r->plan->n_now += r->plan->puts[i].count;
        else
            r->plan->n_wait += r->plan->puts[i].count;
    }
}

double rp_plan_cost(double price, double age_s, double end_s, double unit_s) {
    double charged = unit_s * ceil((age_s + end_s) / unit_s - EPS);
    return price / 3600 * fmax(charged, RP_MIN_CHARGE_S);
}

static void price_plan(struct run *r) {
    for (size_t i = 0; i < r->in->n_machines; i++) {
        const struct rp_plan_machine *m = &r->in->machines[i];
        r->plan->cost += rp_plan_cost(m->price, m->age_s, r->slots[i].end_s, r->in->unit_s);
    }
    for (size_t i = 0; i < r->plan->n_fresh; i++)
        r->plan->cost += rp_plan_cost(r->in->kinds[r->plan->fresh[i]].price, 0,
                                      r->slots[r->in->n_machines + i].end_s, r->in->unit_s);
}

/* Machines at hand, with the work on them; one that still boots has its boot to do. */
static void fill_pools(struct run *r) {
    for (size_t i = 0; i < r->in->n_machines; i++) {
        const struct rp_plan_machine *m = &r->in->machines[i];
        struct pool *pool = r->pools, *end = r->pools + r->n_pools;
        while (pool < end &&
               !(pool->type == m->type && pool->zone == m->zone && pool->spot == m->spot))
            pool++;
        if (pool == end) {
            r->n_pools++;
            *pool = (struct pool){
                .type = m->type, .zone = m->zone, .spot = m->spot, .capacity = &m->capacity};
        }
        bool up = m->room.cpus > 0 || m->n_ends > 0;
        pool->machines += fmax(0, 1 - m->taken);
        pool->work_s += m->work_s + (up ? 0 : m->wait_s);
    }
}

void rp_plan_by(const struct rp_plan_input *in, struct rp_heuristic h, struct rp_plan *out) {
    size_t most = in->n_groups > in->n_machines ? in->n_groups : in->n_machines;
    struct run r = {.in = in, .plan = out};
    memset(out, 0, sizeof *out);
    r.slots = calloc(in->n_machines + in->new_max + 1, sizeof *r.slots);
    r.group_order = calloc(in->n_groups + 1, sizeof(size_t));
    r.machine_order = calloc(in->n_machines + 1, sizeof(size_t));
    r.sorted = calloc(most + 1, sizeof *r.sorted);
    r.given_up = calloc(in->n_groups + 1, sizeof *r.given_up);
    r.group_listing = calloc(in->n_groups + 1, sizeof(size_t));
    r.spare_listing = calloc(in->n_groups + 1, sizeof(size_t));
    r.pools = calloc(in->n_machines + 1, sizeof *r.pools);
    r.cpus_left = calloc(in->n_teams + 1, sizeof(double));
    r.gpus_left = calloc(in->n_teams + 1, sizeof(double));
    if (!r.slots || !r.group_order || !r.machine_order || !r.sorted || !r.pools || !r.given_up ||
        !r.group_listing || !r.spare_listing || !r.cpus_left || !r.gpus_left) {
        out->failed = true;
        goto out;
    }
    for (size_t i = 0; i < in->n_machines; i++)
        r.slots[i] = (struct slot){.room = in->machines[i].room,
                                   .later = in->machines[i].later,
                                   .spare = in->machines[i].spare,
                                   .end_s = in->machines[i].busy_s};
    for (size_t i = 0; i < in->n_teams; i++) {
        r.cpus_left[i] = in->teams[i].cpus_left;
        r.gpus_left[i] = in->teams[i].gpus_left;
    }
    find_listings(&r);
    fill_pools(&r);
    sort_machines(&r, h.machines);
    if (!fill_listings(&r)) {
        out->failed = true;
        goto out;
    }
    sort_groups(&r, h.jobs);
    for (size_t i = 0; i < in->n_groups && !out->failed; i++)
        place_group(&r, r.group_order[i]);
    price_plan(&r);
out:
    free(r.slots);
    free(r.group_order);
    free(r.machine_order);
    free(r.sorted);
    free(r.pools);
    free(r.given_up);
    free(r.group_listing);
    free(r.spare_listing);
    for (size_t k = 0; k < r.n_listings; k++)
        for (int kind = 0; kind < ROOM_KINDS; kind++)
            free(r.listings[k].at[kind]);
    free(r.cpus_left);
    free(r.gpus_left);
}

bool rp_plan_better(const struct rp_plan *a, const struct rp_plan *b) {
    if (a->failed != b->failed)
        return b->failed;
    /* Constraint (4) of the paper: every job has its room. Where machines run short, plans are
     * compared first by what they leave without one. */
    if (fabs(a->left - b->left) > EPS * (1 + fabs(b->left)))
        return a->left < b->left;
    if (fabs(a->cost - b->cost) > EPS)
        return a->cost < b->cost;
    return a->n_now > b->n_now;
}

size_t rp_plan_best(const struct rp_plan_input *in, const struct rp_heuristic *hs, size_t n,
                    struct rp_plan *out) {
    size_t best = 0;
    rp_plan_by(in, hs[0], out);
    for (size_t i = 1; i < n; i++) {
        struct rp_plan plan;
        rp_plan_by(in, hs[i], &plan);
        if (rp_plan_better(&plan, out)) {
            rp_plan_free(out);
            *out = plan;
            best = i;
        } else {
            rp_plan_free(&plan);
        }
    }
    return best;
}
