#include "scheduler/cycle_input.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "cluster/quarantine.h"
#include "base/log.h"
#include "scheduler/room.h"

#define SUSPECT_TASKS 2 /* of a job that has failed wherever it was started, at a time */
#define NO_LIMIT 1e15
#define NEW_MAX 60
#define OVERRUN 0.3       /* expected rest of a task, as a share of what it has run */
#define LATE_SLACK_S 100  /* time to spare given to a job that has just become late */
#define BATCH_MAX 8192    /* groups in a round: by far more than can begin in one */
#define ASKED_MAX 8       /* machines of a kind asked for, beyond which the answer is waited for */
#define BEGIN_AFTER_S 160 /* a job that has waited so long has its first task started */
#define OVERDUE 2.2 /* a machine that boots this many times longer than usual isn't waited for */

void rp_round_input_free(struct rp_round_input *x) {
    free(x->kinds);
    free(x->machines);
    free(x->groups);
    free(x->teams);
    free(x->has_image);
    free(x->images);
    free(x->ends);
    free(x->guarantees);
}

static void build_kinds(struct rp_round *r, struct rp_round_input *x) {
    const struct rp_catalog *c = rp_round_catalog(r);
    x->kinds = calloc(c->n_types * c->n_zones * 2 + 1, sizeof *x->kinds);
    for (size_t t = 0; x->kinds && t < c->n_types; t++)
        for (size_t z = 0; z < c->n_zones; z++)
            for (int spot = 1; spot >= 0; spot--) {
                const struct rp_type *type = &c->types[t];
                if (!(type->zones >> z & 1) || (spot && type->spot_price <= 0))
                    continue;
                x->kinds[x->in.n_kinds++] = (struct rp_plan_kind){
                    .type = (int)t,
                    .zone = (int)z,
                    .spot = spot,
                    /* Until what is asked for is answered, nobody knows whether there is more. */
                    .refused = rp_fleet_zone_out(r->fleet, (int)z) ||
                               rp_fleet_refused(r->fleet, (int)t, (int)z, spot) ||
                               rp_fleet_pending(r->fleet, (int)t, (int)z, spot) >= ASKED_MAX,
                    .price = rp_fleet_price(c, (int)t, spot),
                    .boot_s = type->boot_s,
                    .fetch_gb_per_s = type->fetch_gb_per_s,
                    .capacity = type->capacity};
            }
    x->in.kinds = x->kinds;
}

double rp_allocation_left_s(const struct rp_round *r, const struct rp_machine *m,
                            const struct rp_allocation *allocation, struct timespec now) {
    const struct rp_job *job = allocation->job;
    double run = rp_jobs_expect_s(r->jobs, job);
    if (allocation->stop)
        return allocation->grace_s + 1;
    if (run <= 0) {
        /* No estimate: until the end of the machine's billing unit. */
        double unit = r->settings->tuning.billing_unit_s;
        return unit - fmod(rp_ts_since(now, m->rented), unit);
    }
    if (allocation->running.tv_sec == 0) {
        double rate = rp_round_catalog(r)->types[m->type].fetch_gb_per_s;
        bool has = rp_machine_has_image(m, job->image_hash);
        double fetch = has || rate <= 0 ? 0 : job->spec.image_gb / rate;
        return run + fmax(0.5, fetch - rp_ts_since(now, allocation->since));
    }
    /* Work that has outrun its estimate goes on for a while yet: run times have long tails. */
    double ran = rp_ts_since(now, allocation->running);
    return fmax(run - ran, OVERRUN * ran + 1);
}

static void add_end(struct rp_plan_end *ends, size_t *n, double s,
                    const struct rp_resources *gives) {
    size_t at = (*n)++;
    for (; at > 0 && ends[at - 1].s > s; at--)
        ends[at] = ends[at - 1];
    ends[at] = (struct rp_plan_end){.s = s, .gives = *gives};
}

static void describe_work(const struct rp_round *r, const struct rp_machine *m,
                          struct rp_plan_machine *out, struct rp_plan_end *ends,
                          struct timespec now) {
    double sum = 0;
    out->ends = ends;
    for (size_t i = 0; i < m->n_allocations; i++) {
        const struct rp_allocation *allocation = &m->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        double left = rp_allocation_left_s(r, m, allocation, now);
        double age = rp_ts_since(now, allocation->since);
        bool service = allocation->job->spec.kind == RP_SERVICE;
        out->busy_s = fmax(out->busy_s, left);
        if (allocation->job->spec.each.gpus > 0)
            out->own_busy_s = fmax(out->own_busy_s, left);
        out->first_arrival_s = fmax(out->first_arrival_s, age);
        out->last_arrival_s = sum == 0 ? age : fmin(out->last_arrival_s, age);
        sum += age;
        /* By formula (1) it ends with its machine's unit, as tasks without an estimate do; but
         * nothing can count on the room. */
        if (service) {
            out->taken += rp_plan_part(&allocation->job->spec.each, &out->capacity);
            continue;
        }
        out->work_s += left * rp_plan_part(&allocation->job->spec.each, &out->capacity);
        add_end(ends, &out->n_ends, left, &allocation->job->spec.each);
        if (left <= out->wait_s)
            rp_resources_add(&out->later, &allocation->job->spec.each);
    }
    out->mean_arrival_s = m->n_allocations ? sum / (double)m->n_allocations : 0;
}

/* What a machine's own kind of work leaves even when it fills the machine: beyond what a task that
 * takes it whole needs. Nothing while an image is fetched for it, which another would slow down. */
static struct rp_resources spare_room(const struct rp_round *r, const struct rp_machine *m) {
    const struct rp_resources *capacity = &rp_round_catalog(r)->types[m->type].capacity;
    const struct rp_resources *own = &r->whole[m->type];
    struct rp_resources spare = {0};
    if (capacity->gpus <= 0 || own->gpus <= 0 || !rp_machine_usable(m))
        return spare;
    spare = *capacity;
    rp_resources_sub(&spare, own);
    for (size_t i = 0; i < m->n_allocations; i++) {
        const struct rp_allocation *allocation = &m->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        if (allocation->job->spec.each.gpus <= 0)
            rp_resources_sub(&spare, &allocation->job->spec.each);
        else if (allocation->task_state == RP_TASK_FETCHING)
            return (struct rp_resources){0};
    }
    spare.gpus = 0;
    return spare;
}

static void describe_machine(const struct rp_round *r, struct rp_machine *m,
                             struct rp_plan_machine *out, struct rp_plan_end *ends,
                             struct timespec now) {
    const struct rp_type *type = &rp_round_catalog(r)->types[m->type];
    struct rp_resources room = rp_machine_free(r->cluster, m);
    *out = (struct rp_plan_machine){.ref = m,
                                    .type = m->type,
                                    .zone = m->zone,
                                    .spot = m->spot,
                                    .price = rp_fleet_price(rp_round_catalog(r), m->type, m->spot),
                                    .fetch_gb_per_s = type->fetch_gb_per_s,
                                    .capacity = type->capacity,
                                    .later = room,
                                    .wait_s = type->boot_s,
                                    .age_s = rp_ts_since(now, m->rented)};
    if (m->state == RP_MACHINE_BOOTING) {
        out->wait_s = fmax(type->boot_s - out->age_s, 2);
        return;
    }
    if (rp_machine_usable(m))
        out->room = room;
    out->spare = spare_room(r, m);
    describe_work(r, m, out, ends, now);
    /* Room being made for a job isn't given to others while the rest of it is still in use. */
    const struct rp_job *job = rp_room_reserved_for(r, m);
    if (job && rp_room_whole(job)) {
        out->kept = job;
    } else if (job) {
        rp_resources_sub(&out->room, &job->spec.each);
        rp_resources_sub(&out->later, &job->spec.each);
    }
}

static bool plannable(const struct rp_round *r, const struct rp_machine *m, struct timespec now) {
    if (m->type < 0 || m->zone < 0)
        return false;
    if (m->state == RP_MACHINE_BOOTING)
        return rp_ts_since(now, m->rented) < rp_round_catalog(r)->types[m->type].boot_s * OVERDUE;
    return m->state == RP_MACHINE_UP && !m->faulty && !m->suspect && !m->noticed && !m->draining &&
           !rp_machine_misses_answers(m);
}

/* What the GPU work known now takes of a machine that it fills: a task that takes all GPUs what it
 * says, smaller ones, of which several sizes come together, their mean. */
static void note_whole(struct rp_round *r, size_t type) {
    const struct rp_resources *all = &rp_round_catalog(r)->types[type].capacity;
    struct rp_resources largest = {0}, sum = {0};
    double n_sum = 0;
    for (const struct rp_job *job = r->jobs->first; job; job = job->next) {
        const struct rp_resources *each = &job->spec.each;
        if (each->gpus <= 0 || !rp_resources_fit(each, all))
            continue;
        double n = floor(all->gpus / each->gpus + 1e-9);
        if (n <= 1) {
            largest.cpus = fmax(largest.cpus, each->cpus);
            largest.memory_gb = fmax(largest.memory_gb, each->memory_gb);
        } else {
            n_sum++;
            sum.cpus += n * each->cpus;
            sum.memory_gb += n * each->memory_gb;
        }
        largest.gpus = all->gpus;
    }
    r->whole[type] = largest;
    if (n_sum > 0) {
        r->whole[type].cpus = fmax(largest.cpus, sum.cpus / n_sum);
        r->whole[type].memory_gb = fmax(largest.memory_gb, sum.memory_gb / n_sum);
    }
}

static void build_machines(struct rp_round *r, struct rp_round_input *x, struct timespec now) {
    const struct rp_catalog *c = rp_round_catalog(r);
    size_t pending = 0;
    for (size_t t = 0; t < c->n_types; t++)
        note_whole(r, t);
    for (size_t i = 0; i < x->in.n_kinds; i++)
        pending += rp_fleet_pending(r->fleet, x->kinds[i].type, x->kinds[i].zone, x->kinds[i].spot);
    x->machines = calloc(r->cluster->n_machines + pending + 1, sizeof *x->machines);
    size_t allocations = 1;
    for (const struct rp_machine *m = r->cluster->first; m; m = m->next)
        allocations += m->n_allocations;
    x->ends = calloc(allocations, sizeof *x->ends);
    if (!x->machines || !x->ends)
        return;
    rp_room_mark_held(r);
    for (struct rp_machine *m = r->cluster->first; m; m = m->next)
        if (plannable(r, m, now)) {
            describe_machine(r, m, &x->machines[x->in.n_machines++], &x->ends[x->n_ends], now);
            x->n_ends += m->n_allocations;
        }
    /* What has been asked for and not answered yet holds its tasks, too. */
    for (size_t i = 0; i < x->in.n_kinds; i++) {
        const struct rp_plan_kind *k = &x->kinds[i];
        unsigned n = rp_fleet_pending(r->fleet, k->type, k->zone, k->spot);
        for (; n > 0; n--)
            x->machines[x->in.n_machines++] =
                (struct rp_plan_machine){.type = k->type,
                                         .zone = k->zone,
                                         .spot = k->spot,
                                         .price = k->price,
                                         .fetch_gb_per_s = k->fetch_gb_per_s,
                                         .capacity = k->capacity,
                                         .later = k->capacity,
                                         .wait_s = c->types[k->type].boot_s};
    }
    x->in.machines = x->machines;
}

static uint32_t startable(const struct rp_job *job) {
    if (job->spec.kind == RP_GANG)
        return job->n_counted == 0 && job->n_done == 0 ? job->spec.n_tasks : 0;
    uint32_t taken = job->n_done + job->n_counted;
    uint32_t left = taken < job->spec.n_tasks ? job->spec.n_tasks - taken : 0;
    /* What fails wherever it is started costs little until its user calls it off. */
    uint32_t most = job->n_counted < SUSPECT_TASKS ? SUSPECT_TASKS - job->n_counted : 0;
    return rp_task_errors_job_suspect(job) && left > most ? most : left;
}

static void allowed_types(const struct rp_round *r, const struct rp_job_spec *spec,
                          struct rp_plan_group *g) {
    const struct rp_catalog *c = rp_round_catalog(r);
    uint32_t types = 0, plain = 0;
    for (size_t t = 0; t < c->n_types; t++)
        for (size_t z = 0; z < c->n_zones; z++)
            if ((c->types[t].zones >> z & 1) &&
                rp_cluster_allows(r->cluster, spec, (int)t, (int)z, false)) {
                types |= 1u << t;
                if (c->types[t].capacity.gpus <= 0)
                    plain |= 1u << t;
            }
    /* Work without GPUs stays off the machines that have them: it would sit where whole-machine
     * work has to go, at many times the price. It only takes what that leaves. */
    bool keep_off = spec->each.gpus <= 0 && plain;
    g->types = keep_off ? plain : types;
    g->spare_types = keep_off && spec->kind == RP_ARRAY ? types & ~plain : 0;
}

/* Time to spare until the first of the class's aims that the job can still meet. */
static double slack(const struct rp_round *r, const struct rp_job *job, struct rp_plan_group *g) {
    const struct rp_settings *s = r->settings;
    double best = RP_NO_AIM_S, latest = 0;
    for (size_t i = 0; i < s->n_objectives; i++) {
        const struct rp_objective *aim = &s->objectives[i];
        if (strcmp(aim->class_name, job->spec.class_name) != 0)
            continue;
        double due = aim->kind == RP_AIM_DEADLINE ? job->spec.deadline_s * aim->times
                     : aim->kind == RP_AIM_WAIT   ? aim->within_s + g->run_s
                                                  : aim->within_s;
        double left = due - g->age_s - g->run_s;
        if (due <= 0)
            continue;
        latest = fmax(latest, due);
        if (left > 0 && left < best)
            best = left;
    }
    if (best < RP_NO_AIM_S)
        return best;
    if (latest <= 0)
        return RP_NO_AIM_S;
    g->late = true;
    /* A job that can be in time for nothing any more stands behind those that can, but with less
     * and less patience: it is not to wait for as long as others keep coming. */
    return fmax(0, LATE_SLACK_S - (g->age_s + g->run_s - latest));
}

/* Unfinished jobs by class. Classes are told apart by their hashes: a wrong guess shifts an order.
 */
struct class_count {
    uint64_t hash;
    uint32_t jobs;
};

static struct class_count *class_of(struct class_count *counts, const struct rp_job *job) {
    uint64_t hash = rp_text_hash(job->spec.class_name);
    size_t i = 0;
    while (i < RP_CLASSES_MAX - 1 && counts[i].jobs > 0 && counts[i].hash != hash)
        i++; /* the last one takes what is beyond the bound */
    counts[i].hash = hash;
    return &counts[i];
}

static void count_classes(const struct rp_round *r, struct rp_round_input *x) {
    struct class_count counts[RP_CLASSES_MAX] = {0};
    for (const struct rp_job *job = r->jobs->first; job; job = job->next)
        if (job->state == RP_JOB_OPEN)
            class_of(counts, job)->jobs++;
    for (size_t g = 0; g < x->in.n_groups; g++)
        x->groups[g].class_jobs = class_of(counts, x->groups[g].ref)->jobs;
}

static void build_group(const struct rp_round *r, struct rp_job *job, uint32_t n,
                        struct rp_plan_group *g, struct timespec now) {
    const struct rp_job_spec *spec = &job->spec;
    const struct rp_catalog *c = rp_round_catalog(r);
    double run = rp_jobs_expect_s(r->jobs, job);
    *g = (struct rp_plan_group){
        .ref = job,
        .kind = spec->kind,
        .priority = spec->priority,
        .n = n,
        .each = spec->each,
        .run_s = spec->kind == RP_SERVICE ? r->settings->tuning.billing_unit_s : run,
        .image_gb = spec->image_gb,
        .age_s = rp_job_age_s(job, now),
        .slack_s = RP_NO_AIM_S,
        .team = job->team,
        .spot = spec->spot,
        .one_zone = spec->one_zone && spec->n_tasks > 1,
        .spread = spec->spread && spec->n_tasks > 1,
        .fixed_zone = -1,
        .spread_max = (spec->n_tasks + 1) / 2};
    allowed_types(r, spec, g);
    /* A service's aims are those of a start, which priority alone decides. */
    if (spec->kind != RP_SERVICE)
        g->slack_s = slack(r, job, g);
    g->held = job->held_round == r->n_rounds;
    for (size_t z = 0; z < c->n_zones; z++) {
        if (!*spec->zone || strcmp(spec->zone, c->zones[z]) == 0)
            g->zones |= 1u << z;
        g->zone_used[z] = job->zone_count[z];
        if (job->zone_count[z])
            g->fixed_zone = (int)z;
    }
}

static int by_hash(const void *a, const void *b) {
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;
    return x < y ? -1 : x > y;
}

/* The image's index among those that the groups need, or n_images. */
static size_t image_index(const struct rp_round_input *x, uint64_t hash) {
    const uint64_t *found = bsearch(&hash, x->images, x->n_images, sizeof hash, by_hash);
    return found ? (size_t)(found - x->images) : x->n_images;
}

static bool list_images(struct rp_round_input *x) {
    x->images = calloc(x->in.n_groups + 1, sizeof *x->images);
    if (!x->images)
        return false;
    for (size_t g = 0; g < x->in.n_groups; g++)
        x->images[g] = ((const struct rp_job *)x->groups[g].ref)->image_hash;
    qsort(x->images, x->in.n_groups, sizeof *x->images, by_hash);
    for (size_t g = 0; g < x->in.n_groups; g++)
        if (g == 0 || x->images[g] != x->images[x->n_images - 1])
            x->images[x->n_images++] = x->images[g];
    return true;
}

/* Hundreds of jobs share a few images: which machines hold one is found once for all of them. Names
 * are told apart by their hashes, as what a wrong guess costs is a fetch. */
static void build_images(struct rp_round_input *x) {
    size_t n = x->in.n_machines;
    if (!list_images(x))
        return;
    x->has_image = calloc(x->n_images * n + 1, sizeof(bool));
    if (!x->has_image)
        return;
    for (size_t m = 0; m < n; m++) {
        const struct rp_machine *machine = x->machines[m].ref;
        for (size_t i = 0; machine && i < machine->n_images; i++) {
            size_t at = image_index(x, machine->images[i].hash);
            if (at < x->n_images)
                x->has_image[at * n + m] = true;
        }
    }
    for (size_t g = 0; g < x->in.n_groups; g++) {
        const struct rp_job *job = x->groups[g].ref;
        x->groups[g].has_image = &x->has_image[image_index(x, job->image_hash) * n];
    }
}

/* Of the job's `n` tasks those that fit what is left of its team's guarantee, which they take. */
static uint32_t take_guarantee(struct rp_round_input *x, const struct rp_job *job, uint32_t n) {
    if (job->team < 0)
        return 0;
    struct rp_resources *left = &x->guarantees[job->team];
    const struct rp_resources *each = &job->spec.each;
    if (left->cpus <= 0 && left->gpus <= 0)
        return 0;
    uint32_t most = job->spec.kind == RP_GANG ? 1 : n, tasks = 0;
    double needed = job->spec.kind == RP_GANG ? n : 1;
    while (tasks < most && needed * each->cpus <= left->cpus + 1e-9 &&
           needed * each->gpus <= left->gpus + 1e-9) {
        left->cpus -= needed * each->cpus;
        left->gpus -= needed * each->gpus;
        tasks++;
    }
    return job->spec.kind == RP_GANG ? tasks * n : tasks;
}

static void add_group(const struct rp_round *r, struct rp_round_input *x, struct rp_job *job,
                      size_t most, struct timespec now) {
    uint32_t n = startable(job);
    bool begun = job->n_done > 0 || job->n_counted > 0;
    if (n == 0 || job->state != RP_JOB_OPEN || !rp_ts_reached(now, job->held_until))
        return;
    uint32_t guaranteed = take_guarantee(x, job, n);
    if (guaranteed > 0 && x->in.n_groups < most) {
        build_group(r, job, guaranteed, &x->groups[x->in.n_groups], now);
        x->groups[x->in.n_groups++].guaranteed = true;
        begun = true;
        n -= guaranteed;
    }
    if (n == 0)
        return;
    /* Large jobs that are given up so that more small ones are in time begin all the same: the
     * users want the first task of every job within four minutes. */
    if (r->short_of_room[job->spec.each.gpus > 0] && !begun && n > 1 &&
        job->spec.kind == RP_ARRAY && x->in.n_groups + 1 < most &&
        rp_job_age_s(job, now) > BEGIN_AFTER_S) {
        build_group(r, job, 1, &x->groups[x->in.n_groups], now);
        x->groups[x->in.n_groups++].begin = true;
        n--;
    }
    if (x->in.n_groups < most)
        build_group(r, job, n, &x->groups[x->in.n_groups++], now);
}

/* What the teams' work takes of their guarantees now is gone; 0 in the settings means none. */
static bool fill_guarantees(const struct rp_round *r, struct rp_round_input *x) {
    x->guarantees = calloc(r->settings->n_teams + 1, sizeof *x->guarantees);
    for (size_t i = 0; x->guarantees && i < r->settings->n_teams; i++) {
        const struct rp_team *team = &r->settings->teams[i];
        x->guarantees[i].cpus = fmax(0, team->cpus - r->cluster->team_cpus[i]);
        x->guarantees[i].gpus = fmax(0, team->gpus - r->cluster->team_gpus[i]);
    }
    return x->guarantees;
}

static void build_groups(struct rp_round *r, struct rp_round_input *x, struct timespec now) {
    size_t most = r->jobs->n_jobs * 3 < BATCH_MAX ? r->jobs->n_jobs * 3 + 1 : BATCH_MAX;
    x->groups = calloc(most, sizeof *x->groups);
    if (!x->groups || !fill_guarantees(r, x))
        return;
    if (r->jobs->n_jobs * 3 >= BATCH_MAX && r->n_over_bounds++ == 0)
        rp_error(
            "more than %d groups of tasks wait: the lowest and youngest are left out of rounds",
            BATCH_MAX);
    /* Higher priorities first, so that a full batch never leaves them out. */
    for (int priority = RP_PRODUCTION; priority >= RP_LOW; priority--)
        for (struct rp_job *job = r->jobs->first; job && x->in.n_groups < most; job = job->next)
            if ((int)job->spec.priority == priority)
                add_group(r, x, job, most, now);
    x->in.groups = x->groups;
    count_classes(r, x);
    build_images(x);
}

static void build_teams(struct rp_round *r, struct rp_round_input *x) {
    const struct rp_settings *s = r->settings;
    x->teams = calloc(s->n_teams + 1, sizeof *x->teams);
    for (size_t i = 0; x->teams && i < s->n_teams; i++) {
        x->teams[i].cpus_left =
            s->teams[i].cpus_max > 0 ? s->teams[i].cpus_max - r->cluster->team_cpus[i] : NO_LIMIT;
        x->teams[i].gpus_left =
            s->teams[i].gpus_max > 0 ? s->teams[i].gpus_max - r->cluster->team_gpus[i] : NO_LIMIT;
    }
    x->in.teams = x->teams;
    x->in.n_teams = s->n_teams;
}

bool rp_round_input_build(struct rp_round *r, struct rp_round_input *x, struct timespec now) {
    memset(x, 0, sizeof *x);
    x->in.unit_s = r->settings->tuning.billing_unit_s;
    x->in.seed = r->n_rounds;
    x->in.new_max = NEW_MAX;
    build_kinds(r, x);
    build_machines(r, x, now);
    build_groups(r, x, now);
    build_teams(r, x);
    return x->kinds && x->machines && x->ends && x->groups && x->teams && x->has_image &&
           x->guarantees;
}
