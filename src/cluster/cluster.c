#include "cluster/cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"

int rp_cluster_init(struct rp_cluster *p, struct rp_loop *loop, struct rp_jobs *jobs,
                    const struct rp_settings *settings, const struct rp_catalog *catalog) {
    memset(p, 0, sizeof *p);
    p->loop = loop;
    p->jobs = jobs;
    p->settings = settings;
    p->catalog = catalog;
    p->team_cpus = calloc(settings->n_teams + 1, sizeof(double));
    p->team_gpus = calloc(settings->n_teams + 1, sizeof(double));
    return p->team_cpus && p->team_gpus ? 0 : -1;
}

static void machine_free(struct rp_machine *m) {
    free(m->allocations);
    free(m->unknown_tasks);
    free(m->images);
    free(m);
}

static void drop_all(struct rp_cluster *p) {
    while (p->first)
        rp_machine_remove(p, p->first);
    free(p->unsettled);
    p->unsettled = NULL;
    p->n_unsettled = p->cap_unsettled = 0;
}

void rp_cluster_reset(struct rp_cluster *p, uint64_t token) {
    drop_all(p);
    for (size_t i = 0; i < p->settings->n_teams; i++)
        p->team_cpus[i] = p->team_gpus[i] = 0;
    p->token = token;
    p->attempt_base = token << 32;
    p->attempt_next = 0;
}

void rp_cluster_free(struct rp_cluster *p) {
    drop_all(p);
    free(p->team_cpus);
    free(p->team_gpus);
}

struct rp_machine *rp_machine_find(const struct rp_cluster *p, const char *name) {
    struct rp_machine *m = p->buckets[rp_text_hash(name) % RP_CLUSTER_BUCKETS];
    while (m && strcmp(m->name, name) != 0)
        m = m->hash_next;
    return m;
}

struct rp_machine *rp_machine_add(struct rp_cluster *p, const char *name,
                                  enum rp_machine_state state) {
    struct rp_machine *m = calloc(1, sizeof *m);
    if (!m)
        abort(); /* out of memory: a restart is the honest answer */
    strncpy(m->name, name, sizeof m->name - 1);
    m->state = state;
    m->type = m->zone = -1;
    m->rented = rp_loop_now(p->loop);
    m->prev = p->last;
    if (p->last)
        p->last->next = m;
    else
        p->first = m;
    p->last = m;
    struct rp_machine **bucket = &p->buckets[rp_text_hash(m->name) % RP_CLUSTER_BUCKETS];
    m->hash_next = *bucket;
    *bucket = m;
    p->n_machines++;
    p->unsettled_stale = true;
    return m;
}

void rp_machine_remove(struct rp_cluster *p, struct rp_machine *m) {
    rp_machine_session_over(p, m);
    if (p->on_machine && (m->session > 0 || m->state == RP_MACHINE_RETURNING))
        p->on_machine(p->on_machine_arg, m, true);
    struct rp_machine **at = &p->buckets[rp_text_hash(m->name) % RP_CLUSTER_BUCKETS];
    while (*at != m)
        at = &(*at)->hash_next;
    *at = m->hash_next;
    if (m->prev)
        m->prev->next = m->next;
    else
        p->first = m->next;
    if (m->next)
        m->next->prev = m->prev;
    else
        p->last = m->prev;
    p->n_machines--;
    p->unsettled_stale = true;
    machine_free(m);
}

void rp_machine_set_state(struct rp_cluster *p, struct rp_machine *m, enum rp_machine_state state) {
    static const char *const names[] = {"booting", "unknown", "up", "lost", "returning"};
    struct timespec now = rp_loop_now(p->loop);
    if (m->state == state)
        return;
    rp_debug("machine %s: %s -> %s", m->name, names[m->state], names[state]);
    if (state == RP_MACHINE_UP && rp_ts_zero(m->up)) {
        m->up = now;
    }
    if (state == RP_MACHINE_LOST) {
        m->lost_since = now;
        m->lost_session = m->session;
        rp_info("machine %s lost: silent beyond its lease, places=%zu", m->name, m->n_allocations);
        rp_machine_session_over(p, m);
    }
    m->state = state;
    p->unsettled_stale = true;
    if (state == RP_MACHINE_RETURNING)
        m->returning_since = now;
    if (state == RP_MACHINE_RETURNING && p->on_machine)
        p->on_machine(p->on_machine_arg, m, false);
}

void rp_machine_note_contact(struct rp_cluster *p, struct rp_machine *m, const char *addr,
                             uint64_t session) {
    bool changed = m->session != session || strcmp(m->addr, addr) != 0;
    m->session = session;
    snprintf(m->addr, sizeof m->addr, "%s", addr);
    if (changed && p->on_machine)
        p->on_machine(p->on_machine_arg, m, false);
}

void rp_machine_note_token(struct rp_cluster *p, struct rp_machine *m, bool seen) {
    if (m->token_seen != seen)
        p->unsettled_stale = true;
    m->token_seen = seen;
}

void rp_machine_clear_unknown_tasks(struct rp_cluster *p, struct rp_machine *m) {
    p->n_with_unknown_live -= m->n_unknown_live > 0;
    m->n_unknown_tasks = m->n_unknown_live = 0;
}

bool rp_machine_add_unknown_task(struct rp_cluster *p, struct rp_machine *m,
                                 const struct rp_unknown_task *unknown_tasks) {
    if (!m->unknown_tasks)
        m->unknown_tasks = calloc(RP_UNKNOWN_TASKS_KEPT, sizeof *m->unknown_tasks);
    if (!m->unknown_tasks)
        abort(); /* out of memory: a restart is the honest answer */
    bool full = m->n_unknown_tasks == RP_UNKNOWN_TASKS_KEPT;
    if (full || !unknown_tasks->exited) {
        p->n_with_unknown_live += m->n_unknown_live == 0;
        m->n_unknown_live++;
    }
    if (full)
        return false;
    m->unknown_tasks[m->n_unknown_tasks++] = *unknown_tasks;
    return true;
}

void rp_machine_session_over(struct rp_cluster *p, struct rp_machine *m) {
    while (m->n_allocations > 0)
        rp_allocation_drop(p, m, m->n_allocations - 1);
    /* What it has fetched stays on its disk: a cut or a hang takes the tasks, not the images. */
    rp_machine_clear_unknown_tasks(p, m);
}

uint64_t rp_cluster_attempt(struct rp_cluster *p) {
    return p->attempt_base + ++p->attempt_next;
}

/* The machine may hold tasks of an earlier leader that it hasn't told us of yet. */
static bool may_hold_more(const struct rp_machine *m) {
    return m->state == RP_MACHINE_UNKNOWN || (m->state == RP_MACHINE_RETURNING && !m->token_seen);
}

static bool unsettled(const struct rp_cluster *p, const struct rp_machine *m) {
    return m->state == RP_MACHINE_UNKNOWN || (m->state == RP_MACHINE_RETURNING && !m->token_seen &&
                                              !rp_ts_reached(rp_loop_now(p->loop), m->held_until));
}

/* Every start asks who is unsettled: the machines that may be are listed anew only after one of
 * them has changed, and mostly there are none. */
static void list_unsettled(struct rp_cluster *p) {
    if (!p->unsettled_stale)
        return;
    p->n_unsettled = 0;
    if (p->cap_unsettled < p->n_machines) {
        free(p->unsettled);
        p->cap_unsettled = p->n_machines * 2;
        p->unsettled = calloc(p->cap_unsettled, sizeof(struct rp_machine *));
        if (!p->unsettled)
            abort(); /* out of memory: a restart is the honest answer */
    }
    for (struct rp_machine *m = p->first; m; m = m->next)
        if (may_hold_more(m))
            p->unsettled[p->n_unsettled++] = m;
    p->unsettled_stale = false;
}

bool rp_cluster_settled(struct rp_cluster *p) {
    list_unsettled(p);
    for (size_t i = 0; i < p->n_unsettled; i++)
        if (unsettled(p, p->unsettled[i]))
            return false;
    return true;
}

bool rp_cluster_job_settled(struct rp_cluster *p, const struct rp_job *job) {
    const struct rp_team *team = job->team >= 0 ? &p->settings->teams[job->team] : NULL;
    bool limited = team && (team->cpus_max > 0 || team->gpus_max > 0);
    /* A job whose record is younger than our token was accepted after the last leader's lease had
     * ended: nobody but us can have started any of it. */
    bool young = job->created > p->token;
    list_unsettled(p);
    for (size_t i = 0; i < p->n_unsettled; i++) {
        const struct rp_machine *m = p->unsettled[i];
        if (!unsettled(p, m))
            continue;
        bool unfit = m->type >= 0 && m->zone >= 0 &&
                     !rp_cluster_allows(p, &job->spec, m->type, m->zone, m->spot);
        if (limited || !(young || unfit))
            return false;
    }
    return true;
}

static bool counts(enum rp_allocation_state state) {
    return state != RP_ALLOCATION_EXITED;
}

struct rp_resources rp_machine_free(const struct rp_cluster *p, const struct rp_machine *m) {
    struct rp_resources room = {0};
    if (m->type < 0)
        return room;
    room = p->catalog->types[m->type].capacity;
    for (size_t i = 0; i < m->n_allocations; i++) {
        if (!counts(m->allocations[i].state))
            continue;
        room.cpus -= m->allocations[i].job->spec.each.cpus;
        room.gpus -= m->allocations[i].job->spec.each.gpus;
        room.memory_gb -= m->allocations[i].job->spec.each.memory_gb;
    }
    return room;
}

bool rp_machine_misses_answers(const struct rp_machine *m) {
    return !rp_ts_zero(m->answers_lost_since);
}

bool rp_machine_usable(const struct rp_machine *m) {
    return m->state == RP_MACHINE_UP && m->recorded && m->up_recorded && m->token_seen &&
           !m->noticed && !m->faulty && !m->suspect && !rp_machine_misses_answers(m) &&
           m->n_unknown_live == 0 && m->type >= 0 && m->zone >= 0;
}

bool rp_cluster_allows(const struct rp_cluster *p, const struct rp_job_spec *spec, int type,
                       int zone, bool spot) {
    if (type < 0 || zone < 0 || (spot && !spec->spot))
        return false;
    if (*spec->zone && strcmp(spec->zone, p->catalog->zones[zone]) != 0)
        return false;
    const struct rp_resources *c = &p->catalog->types[type].capacity;
    if (spec->each.cpus > c->cpus || spec->each.gpus > c->gpus ||
        spec->each.memory_gb > c->memory_gb)
        return false;
    for (size_t i = 0; i < spec->n_types; i++)
        if (strcmp(spec->types[i], p->catalog->types[type].name) == 0)
            return true;
    return spec->n_types == 0;
}

/* What one_zone and spread say of one more task in the zone. */
static bool zone_fits(const struct rp_job *job, int zone) {
    if (job->spec.one_zone)
        for (int z = 0; z < RP_ZONES_MAX; z++)
            if (z != zone && job->zone_count[z])
                return false;
    if (job->spec.spread && job->zone_count[zone] + 1 > (job->spec.n_tasks + 1) / 2)
        return false;
    return true;
}

bool rp_machine_idle(const struct rp_machine *m) {
    for (size_t i = 0; i < m->n_allocations; i++)
        if (m->allocations[i].state != RP_ALLOCATION_EXITED || !m->allocations[i].direct)
            return false;
    return m->n_unknown_tasks == 0;
}

struct rp_resources rp_cluster_over_quota(const struct rp_cluster *p, const struct rp_job *job) {
    struct rp_resources over = {-1, -1, -1};
    const struct rp_team *team = job->team >= 0 ? &p->settings->teams[job->team] : NULL;
    bool limited = team && (team->cpus_max > 0 || team->gpus_max > 0);
    /* Tasks of jobs that this leader can't know are counted against nobody's limit, so nobody
     * with a limit starts anything before they have exited. */
    if (!team || (limited && p->n_with_unknown_live > 0))
        return (struct rp_resources){INFINITY, INFINITY, INFINITY};
    if (team->cpus_max > 0)
        over.cpus = p->team_cpus[job->team] + job->spec.each.cpus - team->cpus_max - 1e-9;
    if (team->gpus_max > 0)
        over.gpus = p->team_gpus[job->team] + job->spec.each.gpus - team->gpus_max - 1e-9;
    return over;
}

bool rp_cluster_may_start(struct rp_cluster *p, const struct rp_job *job, uint32_t task,
                          const struct rp_machine *m) {
    static const struct rp_freed none = {0};
    return rp_cluster_may_start_over(p, job, task, m, &none);
}

bool rp_cluster_may_start_over(struct rp_cluster *p, const struct rp_job *job, uint32_t task,
                               const struct rp_machine *m, const struct rp_freed *freed) {
    struct rp_resources room = rp_machine_free(p, m), over = rp_cluster_over_quota(p, job);
    rp_resources_add(&room, &freed->room);
    return job->state == RP_JOB_OPEN && task < job->spec.n_tasks &&
           rp_job_allocations(job, task) == 0 && !rp_job_task_done(job, task) &&
           rp_machine_usable(m) && rp_cluster_job_settled(p, job) &&
           rp_cluster_allows(p, &job->spec, m->type, m->zone, m->spot) && zone_fits(job, m->zone) &&
           rp_resources_fit(&job->spec.each, &room) && over.cpus <= freed->team.cpus &&
           over.gpus <= freed->team.gpus;
}

static void count_allocation(struct rp_cluster *p, struct rp_machine *m,
                             struct rp_allocation *allocation, int sign) {
    struct rp_job *job = allocation->job;
    rp_job_count_allocation(job, allocation->task, sign);
    if (m->zone >= 0)
        job->zone_count[m->zone] += (uint32_t)sign;
    if (job->team >= 0) {
        p->team_cpus[job->team] += sign * job->spec.each.cpus;
        p->team_gpus[job->team] += sign * job->spec.each.gpus;
    }
    /* What was handed back may be started again from the first such task on. */
    if (sign < 0 && allocation->task < job->cursor)
        job->cursor = allocation->task;
}

static void set_running(struct rp_allocation *allocation, bool running) {
    bool was = allocation->state == RP_ALLOCATION_SEEN && allocation->task_state == RP_TASK_RUNNING;
    if (was != running)
        allocation->job->n_running += running ? 1 : (uint32_t)-1;
}

struct rp_allocation *rp_allocation_add(struct rp_cluster *p, struct rp_machine *m,
                                        struct rp_job *job, uint32_t task, uint64_t attempt,
                                        enum rp_allocation_state state) {
    if (m->n_allocations == m->cap_allocations) {
        size_t cap = m->cap_allocations ? m->cap_allocations * 2 : 16;
        struct rp_allocation *allocations = realloc(m->allocations, cap * sizeof *allocations);
        if (!allocations)
            abort();
        m->allocations = allocations;
        m->cap_allocations = cap;
    }
    struct rp_allocation *allocation = &m->allocations[m->n_allocations++];
    *allocation = (struct rp_allocation){.job = job,
                                         .task = task,
                                         .attempt = attempt,
                                         .state = state,
                                         .task_state = RP_TASK_FETCHING,
                                         .since = rp_loop_now(p->loop)};
    job->n_refs++;
    if (counts(state))
        count_allocation(p, m, allocation, 1);
    return allocation;
}

void rp_allocation_set_state(struct rp_cluster *p, struct rp_machine *m,
                             struct rp_allocation *allocation, enum rp_allocation_state state) {
    if (allocation->state == state)
        return;
    set_running(allocation, false);
    if (counts(allocation->state) && !counts(state))
        count_allocation(p, m, allocation, -1);
    allocation->state = state;
}

void rp_allocation_drop(struct rp_cluster *p, struct rp_machine *m, size_t index) {
    struct rp_allocation *allocation = &m->allocations[index];
    struct rp_job *job = allocation->job;
    set_running(allocation, false);
    if (counts(allocation->state))
        count_allocation(p, m, allocation, -1);
    m->allocations[index] = m->allocations[--m->n_allocations];
    rp_jobs_release(p->jobs, job);
}

void rp_allocation_stop(struct rp_allocation *allocation, double grace_s) {
    if (allocation->stop && allocation->grace_s <= grace_s)
        return;
    allocation->stop = true;
    allocation->grace_s = grace_s;
    allocation->stop_sent = (struct timespec){0};
}

void rp_cluster_stop_job(struct rp_cluster *p, struct rp_job *job, double grace_s) {
    for (struct rp_machine *m = p->first; m; m = m->next)
        for (size_t i = m->n_allocations; i-- > 0;) {
            struct rp_allocation *allocation = &m->allocations[i];
            if (allocation->job != job)
                continue;
            if (allocation->state == RP_ALLOCATION_PLANNED)
                rp_allocation_drop(p, m, i);
            else if (allocation->state != RP_ALLOCATION_EXITED)
                rp_allocation_stop(allocation, grace_s);
        }
}

void rp_machine_note_image(struct rp_cluster *p, struct rp_machine *m, uint64_t hash, double gb) {
    struct timespec now = rp_loop_now(p->loop);
    double total = gb;
    for (size_t i = 0; i < m->n_images; i++) {
        total += m->images[i].gb;
        if (m->images[i].hash == hash) {
            m->images[i].used = now;
            return;
        }
    }
    double cache = m->type >= 0 ? p->catalog->types[m->type].cache_gb : 0;
    while (m->n_images > 0 && (m->n_images == RP_IMAGES_KEPT || total > cache)) {
        size_t oldest = 0;
        for (size_t i = 1; i < m->n_images; i++)
            if (rp_ts_cmp(m->images[i].used, m->images[oldest].used) < 0)
                oldest = i;
        total -= m->images[oldest].gb;
        m->images[oldest] = m->images[--m->n_images];
    }
    if (m->n_images == m->cap_images) {
        size_t cap = m->cap_images ? m->cap_images * 2 : 8;
        struct rp_image *images = realloc(m->images, cap * sizeof *images);
        if (!images)
            return; /* the image is fetched once more */
        m->images = images;
        m->cap_images = cap;
    }
    m->images[m->n_images++] = (struct rp_image){.hash = hash, .gb = gb, .used = now};
}

bool rp_machine_has_image(const struct rp_machine *m, uint64_t hash) {
    for (size_t i = 0; i < m->n_images; i++)
        if (m->images[i].hash == hash)
            return true;
    return false;
}
