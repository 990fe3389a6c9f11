#include "round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "log.h"

#define NO_LIMIT 1e15
#define NEW_MAX 60
#define START_COUNTS_S 31 /* a start that is stopped sooner counts for no aim (PROTOCOL) */
#define MOVE_S 10         /* stopping a task here and starting it there */
#define OVERRUN 0.3       /* expected rest of a task, as a share of what it has run */
#define LATE_SLACK_S 100  /* time to spare given to a job that has just become late */
#define RESERVE_SLACK_S 6 /* after the estimated end of what a reservation waits for */
#define HOLDER_WORTH_S 15 /* a fetch this long is worth freeing a machine with the image */
#define SOON_S 8          /* room that comes by itself this soon is waited for */
#define BATCH_MAX 512     /* jobs in a round */
#define ASKED_MAX 8       /* machines of a kind asked for, beyond which the answer is waited for */
#define BEGIN_AFTER_S 160 /* a job that has waited so long has its first task started */
#define OVERDUE 2.2 /* a machine that boots this many times longer than usual isn't waited for */

static void tick(void *arg);

void rp_round_init(struct rp_round *r, struct rp_loop *loop, struct rp_election *election,
                   struct rp_picture *picture, struct rp_jobs *jobs, struct rp_fleet *fleet,
                   const struct rp_settings *settings, struct rp_metrics *metrics) {
    memset(r, 0, sizeof *r);
    r->metrics = metrics;
    r->loop = loop;
    r->election = election;
    r->picture = picture;
    r->jobs = jobs;
    r->fleet = fleet;
    r->settings = settings;
    r->timer = (struct rp_timer){.fn = tick, .arg = r};
    for (size_t i = 0; i < settings->tuning.n_heuristics; i++)
        if (rp_heuristic_named(settings->tuning.heuristics[i], &r->heuristics[r->n_heuristics]))
            r->n_heuristics++;
}

void rp_round_start(struct rp_round *r) {
    r->active = true;
    rp_timer_set(r->loop, &r->timer, 0.2);
}

void rp_round_stop(struct rp_round *r) {
    r->active = false;
    rp_timer_cancel(r->loop, &r->timer);
}

static void tick(void *arg) {
    struct rp_round *r = arg;
    rp_timer_set(r->loop, &r->timer, r->settings->tuning.round_period_s);
    rp_round_run(r);
}

/* ---- the picture, as the planner sees it ---- */

struct input {
    struct rp_plan_input in;
    struct rp_plan_kind *kinds;
    struct rp_plan_machine *machines;
    struct rp_plan_group *groups;
    struct rp_plan_team *teams;
    bool *has_image;
    struct rp_plan_end *ends;
    size_t n_ends;
};

static void input_free(struct input *x) {
    free(x->kinds);
    free(x->machines);
    free(x->groups);
    free(x->teams);
    free(x->has_image);
    free(x->ends);
}

static const struct rp_catalog *catalog(const struct rp_round *r) {
    return r->fleet->catalog;
}

static void build_kinds(struct rp_round *r, struct input *x) {
    const struct rp_catalog *c = catalog(r);
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
                    .refused = rp_fleet_refused(r->fleet, (int)t, (int)z, spot) ||
                               rp_fleet_pending(r->fleet, (int)t, (int)z, spot) >= ASKED_MAX,
                    .price = rp_fleet_price(c, (int)t, spot),
                    .boot_s = type->boot_s,
                    .fetch_gb_per_s = type->fetch_gb_per_s,
                    .capacity = type->capacity};
            }
    x->in.kinds = x->kinds;
}

double rp_place_left_s(const struct rp_round *r, const struct rp_machine *m,
                       const struct rp_place *place, struct timespec now) {
    const struct rp_job *job = place->job;
    double run = rp_jobs_expect_s(r->jobs, job);
    if (place->stop)
        return place->grace_s + 1;
    if (run <= 0) {
        /* No estimate: until the end of the machine's billing unit. */
        double unit = r->settings->tuning.billing_unit_s;
        return unit - fmod(rp_ts_since(now, m->rented), unit);
    }
    if (place->running.tv_sec == 0) {
        double rate = catalog(r)->types[m->type].fetch_gb_per_s;
        bool has = rp_machine_has_image(m, job->spec.image);
        double fetch = has || rate <= 0 ? 0 : job->spec.image_gb / rate;
        return run + fmax(0.5, fetch - rp_ts_since(now, place->since));
    }
    /* Work that has outrun its estimate goes on for a while yet: run times have long tails. */
    double ran = rp_ts_since(now, place->running);
    return fmax(run - ran, OVERRUN * ran + 1);
}

static void add_resources(struct rp_resources *a, const struct rp_resources *b) {
    a->cpus += b->cpus;
    a->gpus += b->gpus;
    a->memory_gb += b->memory_gb;
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
    for (size_t i = 0; i < m->n_places; i++) {
        const struct rp_place *place = &m->places[i];
        if (place->state == RP_PLACE_EXITED)
            continue;
        double left = rp_place_left_s(r, m, place, now);
        double age = rp_ts_since(now, place->since);
        out->busy_s = fmax(out->busy_s, left);
        out->first_arrival_s = fmax(out->first_arrival_s, age);
        out->last_arrival_s = sum == 0 ? age : fmin(out->last_arrival_s, age);
        sum += age;
        out->work_s += left * rp_plan_part(&place->job->spec.each, &out->capacity);
        add_end(ends, &out->n_ends, left, &place->job->spec.each);
        if (left <= out->wait_s)
            add_resources(&out->later, &place->job->spec.each);
    }
    out->mean_arrival_s = m->n_places ? sum / (double)m->n_places : 0;
}

static bool room_fits(const struct rp_resources *need, const struct rp_resources *room) {
    return need->cpus <= room->cpus + 1e-9 && need->gpus <= room->gpus + 1e-9 &&
           need->memory_gb <= room->memory_gb + 1e-9;
}

static void reserve(const struct rp_round *r, struct rp_machine *m, const struct rp_job *job,
                    double for_s) {
    strcpy(m->reserved, job->spec.id);
    m->reserved_until = rp_ts_after(rp_loop_now(r->loop), for_s + RESERVE_SLACK_S);
}

/* The job that room is kept for on this machine, while it is still waited for. */
static const struct rp_job *reserved_for(const struct rp_round *r, const struct rp_machine *m) {
    const struct rp_job *job = *m->reserved ? rp_jobs_find(r->jobs, m->reserved) : NULL;
    if (!job || job->state != RP_JOB_OPEN || job->n_counted > 0 || !rp_machine_usable(m) ||
        rp_ts_reached(rp_loop_now(r->loop), m->reserved_until))
        return NULL;
    struct rp_resources room = rp_machine_free(r->picture, m);
    return room_fits(&job->spec.each, &room) ? NULL : job;
}

static bool has_reservation(const struct rp_round *r, const struct rp_job *job) {
    for (const struct rp_machine *m = r->picture->first; m; m = m->next)
        if (reserved_for(r, m) == job)
            return true;
    return false;
}

static void sub_resources(struct rp_resources *a, const struct rp_resources *b) {
    a->cpus = fmax(0, a->cpus - b->cpus);
    a->gpus = fmax(0, a->gpus - b->gpus);
    a->memory_gb = fmax(0, a->memory_gb - b->memory_gb);
}

static void describe_machine(const struct rp_round *r, struct rp_machine *m,
                             struct rp_plan_machine *out, struct rp_plan_end *ends,
                             struct timespec now) {
    const struct rp_type *type = &catalog(r)->types[m->type];
    struct rp_resources room = rp_machine_free(r->picture, m);
    *out = (struct rp_plan_machine){.ref = m,
                                    .type = m->type,
                                    .zone = m->zone,
                                    .spot = m->spot,
                                    .price = rp_fleet_price(catalog(r), m->type, m->spot),
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
    describe_work(r, m, out, ends, now);
    /* Room being made for a job isn't given to others while the rest of it is still in use. */
    const struct rp_job *job = reserved_for(r, m);
    if (job) {
        sub_resources(&out->room, &job->spec.each);
        sub_resources(&out->later, &job->spec.each);
    }
}

static bool plannable(const struct rp_round *r, const struct rp_machine *m, struct timespec now) {
    if (m->type < 0 || m->zone < 0)
        return false;
    if (m->state == RP_MACHINE_BOOTING)
        return rp_ts_since(now, m->rented) < catalog(r)->types[m->type].boot_s * OVERDUE;
    return m->state == RP_MACHINE_UP && !m->faulty && !m->noticed && !m->emptied;
}

static void build_machines(struct rp_round *r, struct input *x, struct timespec now) {
    const struct rp_catalog *c = catalog(r);
    size_t pending = 0;
    for (size_t i = 0; i < x->in.n_kinds; i++)
        pending += rp_fleet_pending(r->fleet, x->kinds[i].type, x->kinds[i].zone, x->kinds[i].spot);
    x->machines = calloc(r->picture->n_machines + pending + 1, sizeof *x->machines);
    size_t places = 1;
    for (const struct rp_machine *m = r->picture->first; m; m = m->next)
        places += m->n_places;
    x->ends = calloc(places, sizeof *x->ends);
    if (!x->machines || !x->ends)
        return;
    for (struct rp_machine *m = r->picture->first; m; m = m->next)
        if (plannable(r, m, now)) {
            describe_machine(r, m, &x->machines[x->in.n_machines++], &x->ends[x->n_ends], now);
            x->n_ends += m->n_places;
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
    return taken < job->spec.n_tasks ? job->spec.n_tasks - taken : 0;
}

static uint32_t allowed_types(const struct rp_round *r, const struct rp_job_spec *spec) {
    const struct rp_catalog *c = catalog(r);
    uint32_t types = 0, plain = 0;
    for (size_t t = 0; t < c->n_types; t++)
        for (size_t z = 0; z < c->n_zones; z++)
            if ((c->types[t].zones >> z & 1) &&
                rp_picture_allows(r->picture, spec, (int)t, (int)z, false)) {
                types |= 1u << t;
                if (c->types[t].capacity.gpus <= 0)
                    plain |= 1u << t;
            }
    /* Work without GPUs stays off the machines that have them: it would sit where whole-machine
     * work has to go, at many times the price. */
    return spec->each.gpus <= 0 && plain ? plain : types;
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

static void build_group(const struct rp_round *r, struct rp_job *job, uint32_t n,
                        struct rp_plan_group *g, struct timespec now) {
    const struct rp_job_spec *spec = &job->spec;
    const struct rp_catalog *c = catalog(r);
    *g = (struct rp_plan_group){.ref = job,
                                .kind = spec->kind,
                                .priority = spec->priority,
                                .n = n,
                                .each = spec->each,
                                .run_s = rp_jobs_expect_s(r->jobs, job),
                                .image_gb = spec->image_gb,
                                .age_s = rp_job_age_s(job, now),
                                .slack_s = RP_NO_AIM_S,
                                .team = job->team,
                                .types = allowed_types(r, spec),
                                .spot = spec->spot,
                                .one_zone = spec->one_zone && spec->n_tasks > 1,
                                .spread = spec->spread && spec->n_tasks > 1,
                                .fixed_zone = -1,
                                .spread_max = (spec->n_tasks + 1) / 2};
    g->slack_s = slack(r, job, g);
    g->held = has_reservation(r, job);
    for (size_t z = 0; z < c->n_zones; z++) {
        if (!*spec->zone || strcmp(spec->zone, c->zones[z]) == 0)
            g->zones |= 1u << z;
        g->zone_used[z] = job->zone_count[z];
        if (job->zone_count[z])
            g->fixed_zone = (int)z;
    }
}

static void build_images(struct input *x) {
    size_t n = x->in.n_machines;
    x->has_image = calloc(x->in.n_groups * n + 1, sizeof(bool));
    for (size_t g = 0; x->has_image && g < x->in.n_groups; g++) {
        const struct rp_job *job = x->groups[g].ref;
        uint64_t hash = rp_text_hash(job->spec.image);
        for (size_t m = 0; m < n; m++)
            if (x->machines[m].ref)
                x->has_image[g * n + m] =
                    rp_machine_has_hashed(x->machines[m].ref, job->spec.image, hash);
        x->groups[g].has_image = &x->has_image[g * n];
    }
}

static void add_group(const struct rp_round *r, struct input *x, struct rp_job *job, size_t most,
                      struct timespec now) {
    uint32_t n = startable(job);
    bool begun = job->n_done > 0 || job->n_counted > 0;
    if (n == 0 || job->state != RP_JOB_OPEN || !rp_ts_reached(now, job->held_until))
        return;
    /* Large jobs that are given up so that more small ones are in time begin all the same: the
     * users want the first task of every job within four minutes. */
    if (r->short_of_room[job->spec.each.gpus > 0] && !begun && n > 1 && job->spec.kind != RP_GANG &&
        x->in.n_groups + 1 < most && rp_job_age_s(job, now) > BEGIN_AFTER_S) {
        build_group(r, job, 1, &x->groups[x->in.n_groups], now);
        x->groups[x->in.n_groups++].begin = true;
        n--;
    }
    if (x->in.n_groups < most)
        build_group(r, job, n, &x->groups[x->in.n_groups++], now);
}

static void build_groups(struct rp_round *r, struct input *x, struct timespec now) {
    size_t most = r->jobs->n_jobs * 2 < BATCH_MAX ? r->jobs->n_jobs * 2 + 1 : BATCH_MAX;
    x->groups = calloc(most, sizeof *x->groups);
    if (!x->groups)
        return;
    /* Higher priorities first, so that a full batch never leaves them out. */
    for (int priority = RP_PRODUCTION; priority >= RP_LOW; priority--)
        for (struct rp_job *job = r->jobs->first; job && x->in.n_groups < most; job = job->next)
            if ((int)job->spec.priority == priority)
                add_group(r, x, job, most, now);
    x->in.groups = x->groups;
    build_images(x);
}

static void build_teams(struct rp_round *r, struct input *x) {
    const struct rp_settings *s = r->settings;
    x->teams = calloc(s->n_teams + 1, sizeof *x->teams);
    for (size_t i = 0; x->teams && i < s->n_teams; i++) {
        x->teams[i].cpus_left =
            s->teams[i].cpus_max > 0 ? s->teams[i].cpus_max - r->picture->team_cpus[i] : NO_LIMIT;
        x->teams[i].gpus_left =
            s->teams[i].gpus_max > 0 ? s->teams[i].gpus_max - r->picture->team_gpus[i] : NO_LIMIT;
    }
    x->in.teams = x->teams;
    x->in.n_teams = s->n_teams;
}

static bool build(struct rp_round *r, struct input *x, struct timespec now) {
    memset(x, 0, sizeof *x);
    x->in.unit_s = r->settings->tuning.billing_unit_s;
    x->in.seed = r->n_rounds;
    x->in.new_max = NEW_MAX;
    build_kinds(r, x);
    build_machines(r, x, now);
    build_groups(r, x, now);
    build_teams(r, x);
    return x->kinds && x->machines && x->ends && x->groups && x->teams && x->has_image;
}

/* ---- applying the winner ---- */

static bool next_task(struct rp_job *job, uint32_t *task) {
    for (; job->cursor < job->spec.n_tasks; job->cursor++)
        if (rp_job_places(job, job->cursor) == 0 && !rp_job_task_done(job, job->cursor)) {
            *task = job->cursor;
            return true;
        }
    return false;
}

static void start_tasks(struct rp_round *r, struct rp_job *job, struct rp_machine *m,
                        uint32_t count, uint64_t gang_attempt) {
    for (uint32_t i = 0; i < count; i++) {
        uint32_t task;
        if (!next_task(job, &task) || !rp_picture_may_start(r->picture, job, task, m))
            return;
        rp_place_add(r->picture, m, job, task,
                     gang_attempt ? gang_attempt : rp_picture_attempt(r->picture),
                     RP_PLACE_PLANNED);
    }
}

static void apply_starts(struct rp_round *r, const struct input *x, const struct rp_plan *plan) {
    for (size_t i = 0; i < plan->n_puts;) {
        const struct rp_plan_group *g = &x->groups[plan->puts[i].group];
        size_t end = i;
        bool all_now = true;
        while (end < plan->n_puts && plan->puts[end].group == plan->puts[i].group)
            all_now &= plan->puts[end++].now;
        /* A gang starts once the plan places all its tasks on machines that are up. */
        bool gang = g->kind == RP_GANG;
        uint64_t attempt = gang && all_now ? rp_picture_attempt(r->picture) : 0;
        for (; i < end; i++) {
            const struct rp_plan_put *put = &plan->puts[i];
            if (put->now && (!gang || all_now))
                start_tasks(r, g->ref, x->machines[put->machine].ref, put->count, attempt);
        }
    }
}

static void apply_rentals(struct rp_round *r, const struct input *x, const struct rp_plan *plan) {
    for (size_t k = 0; k < x->in.n_kinds; k++) {
        const struct rp_plan_kind *kind = &x->kinds[k];
        unsigned n = 0;
        for (size_t i = 0; i < plan->n_fresh; i++)
            n += plan->fresh[i] == k;
        if (n > 0)
            rp_fleet_rent(r->fleet, kind->type, kind->zone, kind->spot, n > 50 ? 50 : n);
    }
}

static void apply_returns(struct rp_round *r, const struct input *x, const struct rp_plan *plan,
                          struct timespec now) {
    const struct rp_tuning *t = &r->settings->tuning;
    bool *wanted = calloc(x->in.n_machines + 1, sizeof *wanted);
    if (!wanted)
        return;
    for (size_t p = 0; p < plan->n_puts; p++)
        if (plan->puts[p].machine < x->in.n_machines)
            wanted[plan->puts[p].machine] = true;
    for (size_t i = 0; i < x->in.n_machines; i++) {
        struct rp_machine *m = x->machines[i].ref;
        if (!m || wanted[i] || m->n_places > 0 || m->n_foreign > 0 || m->state != RP_MACHINE_UP)
            continue;
        double age = rp_ts_since(now, m->rented);
        double into = fmod(age, t->billing_unit_s);
        /* The first minute is paid for in any case (PROTOCOL, price). */
        if (age >= RP_MIN_CHARGE_S - t->return_margin_s &&
            into >= t->billing_unit_s - t->return_margin_s)
            rp_fleet_return(r->fleet, m, "idle near its unit's end");
    }
    free(wanted);
}

/* ---- what no plan does: gangs that lost a task, room for higher priorities ---- */

static void mend_gangs(struct rp_round *r) {
    for (struct rp_job *job = r->jobs->first; job; job = job->next)
        if (job->spec.kind == RP_GANG && job->state == RP_JOB_OPEN && job->n_counted > 0 &&
            job->n_counted < job->spec.n_tasks)
            rp_picture_stop_job(r->picture, job, 0);
}

static bool may_stop(const struct rp_place *place, enum rp_priority above) {
    return place->state != RP_PLACE_EXITED && place->job->spec.kind == RP_ARRAY &&
           place->job->spec.priority < above;
}

/* Work that is lost, and that is kept waiting, if the machine's lower tasks are stopped for one
 * task of the job; negative when that wouldn't do. */
static double stop_price(const struct rp_round *r, const struct rp_machine *m,
                         const struct rp_job *job, struct timespec now) {
    struct rp_resources room = rp_machine_free(r->picture, m);
    double price = 1;
    for (size_t i = 0; i < m->n_places && !room_fits(&job->spec.each, &room); i++) {
        const struct rp_place *place = &m->places[i];
        if (!may_stop(place, job->spec.priority))
            continue;
        add_resources(&room, &place->job->spec.each);
        /* What is being stopped already costs nothing more: so a second look chooses the same
         * machine again, and not one more. */
        if (place->stop)
            continue;
        double ran = place->running.tv_sec ? rp_ts_since(now, place->running) : 0;
        price += place->job->spec.checkpoint_s > 0 ? fmin(ran, 5) : ran;
    }
    return room_fits(&job->spec.each, &room) ? price : -1;
}

static void stop_for(struct rp_round *r, struct rp_machine *m, const struct rp_job *job) {
    struct rp_resources room = rp_machine_free(r->picture, m);
    unsigned stopped = 0;
    double longest = 0;
    for (size_t i = 0; i < m->n_places; i++)
        if (m->places[i].stop && may_stop(&m->places[i], job->spec.priority))
            add_resources(&room, &m->places[i].job->spec.each);
    for (size_t i = m->n_places; i-- > 0 && !room_fits(&job->spec.each, &room);) {
        struct rp_place *place = &m->places[i];
        if (place->stop || !may_stop(place, job->spec.priority))
            continue;
        add_resources(&room, &place->job->spec.each);
        stopped++;
        if (place->state == RP_PLACE_PLANNED) {
            rp_place_drop(r->picture, m, i);
            continue;
        }
        const struct rp_job_spec *spec = &place->job->spec;
        double grace = spec->checkpoint_s > 0 ? spec->save_s * 1.2 + 1 : 0;
        rp_place_stop(place, grace);
        longest = fmax(longest, grace);
        r->n_preempted++;
    }
    reserve(r, m, job, longest);
    if (stopped)
        rp_info("job %s gets room on %s: tasks stopped=%u", job->spec.id, m->name, stopped);
}

/* The machine where room for the job costs least; of those that hold its image, if asked so. */
static struct rp_machine *cheapest_stop(struct rp_round *r, const struct rp_job *job,
                                        bool with_image, struct timespec now) {
    struct rp_machine *best = NULL;
    double best_price = 0;
    for (struct rp_machine *m = r->picture->first; m; m = m->next) {
        if (!rp_machine_usable(m) || reserved_for(r, m) ||
            (with_image && !rp_machine_has_image(m, job->spec.image)) ||
            !rp_picture_allows(r->picture, &job->spec, m->type, m->zone, m->spot))
            continue;
        double price = stop_price(r, m, job, now);
        if (price >= 0 && (!best || price < best_price)) {
            best = m;
            best_price = price;
        }
    }
    return best;
}

static bool may_preempt(const struct rp_job *job) {
    return job->spec.priority >= RP_HIGH && job->spec.kind == RP_GANG && job->spec.n_tasks == 1;
}

/* An urgent gang that would have to fetch its image, though another machine holds it and only has
 * to be freed of lower work, has that machine freed: saving that work takes less than the fetch,
 * which a whole machine would stand idle for. */
static void prefer_holders(struct rp_round *r, const struct input *x, struct rp_plan *plan,
                           struct timespec now) {
    if (!r->settings->tuning.preemption || !rp_picture_settled(r->picture))
        return;
    for (size_t i = 0; i < plan->n_puts; i++) {
        struct rp_plan_put *put = &plan->puts[i];
        const struct rp_job *job = x->groups[put->group].ref;
        const struct rp_machine *m =
            put->machine < x->in.n_machines ? x->machines[put->machine].ref : NULL;
        if (!put->now || !m || !may_preempt(job) || rp_machine_has_image(m, job->spec.image))
            continue;
        double rate = catalog(r)->types[m->type].fetch_gb_per_s;
        if (rate <= 0 || job->spec.image_gb / rate < HOLDER_WORTH_S)
            continue;
        struct rp_machine *holder = cheapest_stop(r, job, true, now);
        if (!holder)
            continue;
        stop_for(r, holder, job);
        put->count = 0;
    }
}

/* Only gangs of one task are given room this way, one machine at a time: what is stopped for a
 * larger gang would stand empty until the last of its places is free. */
static void preempt(struct rp_round *r, const struct input *x, const struct rp_plan *plan,
                    struct timespec now) {
    if (!r->settings->tuning.preemption || !rp_picture_settled(r->picture))
        return;
    for (size_t g = 0; g < x->in.n_groups; g++) {
        const struct rp_job *job = x->groups[g].ref;
        bool now_placed = false, soon = false;
        if (x->groups[g].held || !may_preempt(job))
            continue;
        for (size_t p = 0; p < plan->n_puts; p++) {
            const struct rp_plan_put *put = &plan->puts[p];
            if (put->group != g)
                continue;
            now_placed |= put->now;
            const struct rp_machine *m =
                put->machine < x->in.n_machines ? x->machines[put->machine].ref : NULL;
            soon |= m && m->state == RP_MACHINE_UP && x->machines[put->machine].busy_s < SOON_S;
        }
        struct rp_machine *m = now_placed || soon ? NULL : cheapest_stop(r, job, false, now);
        if (m)
            stop_for(r, m, job);
    }
}

/* ---- moving the last work of a machine elsewhere ---- */

/* A task that keeps its progress when stopped, and whose start counts already. */
static bool movable(const struct rp_place *place, struct timespec now) {
    const struct rp_job_spec *spec = &place->job->spec;
    return place->state == RP_PLACE_SEEN && place->task_state == RP_TASK_RUNNING && !place->stop &&
           spec->checkpoint_s > 0 && spec->kind == RP_ARRAY &&
           rp_ts_since(now, place->running) > START_COUNTS_S;
}

/* Takes the room for all tasks of `m` on other machines; returns how much longer these have to be
 * kept for them, in money, or a negative number when there is no room. */
static double move_price(const struct rp_round *r, const struct rp_machine *m,
                         struct timespec now) {
    double price = 0;
    struct rp_resources *room = calloc(r->picture->n_machines, sizeof *room);
    size_t n = 0;
    if (!room)
        return -1;
    for (const struct rp_machine *o = r->picture->first; o; o = o->next)
        room[n++] = rp_machine_free(r->picture, o);
    for (size_t i = 0; i < m->n_places && price >= 0; i++) {
        const struct rp_place *place = &m->places[i];
        double left = rp_place_left_s(r, m, place, now) + MOVE_S + place->job->spec.save_s;
        double best = -1;
        size_t best_at = 0, at = 0;
        for (const struct rp_machine *o = r->picture->first; o; o = o->next, at++) {
            if (o == m || !rp_machine_usable(o) || reserved_for(r, o) || o->n_places == 0 ||
                !rp_picture_allows(r->picture, &place->job->spec, o->type, o->zone, o->spot) ||
                !room_fits(&place->job->spec.each, &room[at]) ||
                !rp_machine_has_image(o, place->job->spec.image))
                continue;
            double busy = 0;
            for (size_t k = 0; k < o->n_places; k++)
                busy = fmax(busy, rp_place_left_s(r, o, &o->places[k], now));
            double more = fmax(0, left - busy) * rp_fleet_price(catalog(r), o->type, o->spot);
            if (best < 0 || more < best) {
                best = more;
                best_at = at;
            }
        }
        if (best < 0) {
            price = -1;
        } else {
            sub_resources(&room[best_at], &place->job->spec.each);
            price = fmax(price, best);
        }
    }
    free(room);
    return price;
}

static bool type_wanted(const struct input *x, int type) {
    for (size_t g = 0; g < x->in.n_groups; g++)
        if (x->groups[g].types >> type & 1)
            return true;
    return false;
}

/* At the end of a load the last long tasks sit on many machines, each kept for a task or two.
 * Where they fit on machines that are kept anyway, and nothing waits for the room, they are
 * stopped with their progress saved, and the machine goes back. */
static void empty_machines(struct rp_round *r, const struct input *x, struct timespec now) {
    struct rp_machine *best = NULL;
    double best_saving = 0;
    /* One after the other: the room found for a machine's tasks must not be found twice. */
    for (const struct rp_machine *m = r->picture->first; m; m = m->next)
        if (m->emptied)
            return;
    for (struct rp_machine *m = r->picture->first; m; m = m->next) {
        if (!rp_machine_usable(m) || m->n_places == 0 || type_wanted(x, m->type) ||
            reserved_for(r, m))
            continue;
        double price = rp_fleet_price(catalog(r), m->type, m->spot), busy = 0;
        bool all = true;
        for (size_t i = 0; i < m->n_places && all; i++) {
            all = movable(&m->places[i], now);
            busy = fmax(busy, rp_place_left_s(r, m, &m->places[i], now));
        }
        double more = all && busy > 2 * MOVE_S ? move_price(r, m, now) : -1;
        double saving = price * (busy - MOVE_S) - more;
        if (more >= 0 && saving > price * MOVE_S && saving > best_saving) {
            best = m;
            best_saving = saving;
        }
    }
    if (!best)
        return;
    rp_info("machine %s is emptied: tasks=%zu fit elsewhere", best->name, best->n_places);
    best->emptied = true;
    for (size_t i = 0; i < best->n_places; i++)
        rp_place_stop(&best->places[i], best->places[i].job->spec.save_s * 1.2 + 1);
}

static double main_of(const struct rp_resources *c) {
    return c->gpus > 0 ? c->gpus : c->cpus;
}

/* For the log: where the capacity of each type goes. */
static void log_use(const struct rp_round *r) {
    const struct rp_catalog *c = catalog(r);
    for (size_t t = 0; t < c->n_types; t++) {
        double total = 0, by[RP_TASK_EXITED + 1] = {0};
        unsigned up = 0, booting = 0;
        for (const struct rp_machine *m = r->picture->first; m; m = m->next) {
            if (m->type != (int)t)
                continue;
            up += m->state == RP_MACHINE_UP;
            booting += m->state == RP_MACHINE_BOOTING;
            total += m->state == RP_MACHINE_UP ? main_of(&c->types[t].capacity) : 0;
            for (size_t i = 0; i < m->n_places; i++)
                if (m->places[i].state != RP_PLACE_EXITED)
                    by[m->places[i].task_state] += c->types[t].capacity.gpus > 0
                                                       ? m->places[i].job->spec.each.gpus
                                                       : m->places[i].job->spec.each.cpus;
        }
        rp_debug("use %s: up=%u booting=%u capacity=%.0f fetching=%.1f waiting=%.1f running=%.1f "
                 "saving=%.1f",
                 c->types[t].name, up, booting, total, by[RP_TASK_FETCHING], by[RP_TASK_WAITING],
                 by[RP_TASK_RUNNING], by[RP_TASK_SAVING]);
    }
}

void rp_round_run(struct rp_round *r) {
    struct timespec now = rp_loop_now(r->loop);
    struct input x;
    struct rp_plan plan = {0};
    if (!r->active || !rp_election_valid(r->election, now) || !rp_fleet_news_fresh(r->jobs))
        return;
    r->last = now;
    r->n_rounds++;
    mend_gangs(r);
    if (!build(r, &x, now))
        goto out;
    size_t winner = rp_plan_best(&x.in, r->heuristics, r->n_heuristics, &plan);
    if (plan.failed)
        goto out;
    r->wins[winner]++;
    memcpy(r->short_of_room, plan.short_of_room, sizeof r->short_of_room);
    rp_debug("round %lu: jobs=%zu machines=%zu now=%u wait=%u new=%zu left=%.0f cost=%.3f by %s",
             r->n_rounds, x.in.n_groups, x.in.n_machines, plan.n_now, plan.n_wait, plan.n_fresh,
             plan.left, plan.cost, r->settings->tuning.heuristics[winner]);
    if (rp_log_current() >= RP_LOG_DEBUG && r->n_rounds % 10 == 0)
        log_use(r);
    prefer_holders(r, &x, &plan, now);
    apply_starts(r, &x, &plan);
    /* While machines from before the takeover are unknown, what they run is, too: renting for
     * tasks that may be running already would be waste. */
    if (rp_picture_settled(r->picture)) {
        apply_rentals(r, &x, &plan);
        preempt(r, &x, &plan, now);
        empty_machines(r, &x, now);
    }
    apply_returns(r, &x, &plan, now);
    r->took_s = rp_ts_since(rp_loop_now(r->loop), now);
    rp_metrics_add(r->metrics, RP_METRIC_ROUND, r->took_s);
out:
    rp_plan_free(&plan);
    input_free(&x);
}
