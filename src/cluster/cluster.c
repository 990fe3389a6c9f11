#include "cluster/cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "cluster/catalog_index.h"

int rp_cluster_init(struct rp_cluster *cluster, struct rp_loop *loop, struct rp_jobs *jobs,
                    const struct rp_settings *settings, const struct rp_catalog *catalog) {
    memset(cluster, 0, sizeof *cluster);
    cluster->loop = loop;
    cluster->jobs = jobs;
    cluster->settings = settings;
    cluster->catalog = catalog;
    cluster->team_cpus = calloc(settings->n_teams + 1, sizeof(double));
    cluster->team_gpus = calloc(settings->n_teams + 1, sizeof(double));
    return cluster->team_cpus && cluster->team_gpus ? 0 : -1;
}

static void machine_free(struct rp_machine *machine) {
    free(machine->allocations);
    free(machine->unknown_tasks);
    free(machine->images);
    free(machine);
}

static void drop_all(struct rp_cluster *cluster) {
    while (cluster->first)
        rp_machine_remove(cluster, cluster->first);
    free(cluster->unreconciled);
    cluster->unreconciled = NULL;
    cluster->n_unreconciled = cluster->cap_unreconciled = 0;
}

void rp_cluster_reset(struct rp_cluster *cluster, uint64_t token) {
    drop_all(cluster);
    for (size_t i = 0; i < cluster->settings->n_teams; i++)
        cluster->team_cpus[i] = cluster->team_gpus[i] = 0;
    cluster->fencing_token = token;
    cluster->attempt_base = token << 32;
    cluster->attempt_next = 0;
}

void rp_cluster_free(struct rp_cluster *cluster) {
    drop_all(cluster);
    free(cluster->team_cpus);
    free(cluster->team_gpus);
}

struct rp_machine *rp_machine_find(const struct rp_cluster *cluster, const char *name) {
    struct rp_machine *machine = cluster->buckets[rp_hash_string(name) % RP_CLUSTER_BUCKETS];
    while (machine && strcmp(machine->name, name) != 0)
        machine = machine->hash_next;
    return machine;
}

struct rp_machine *rp_machine_add(struct rp_cluster *cluster, const char *name,
                                  enum rp_machine_state state) {
    struct rp_machine *machine = rp_alloc(1, sizeof *machine);
    strncpy(machine->name, name, sizeof machine->name - 1);
    machine->state = state;
    machine->type = machine->zone = -1;
    machine->requested_at = rp_loop_now(cluster->loop);
    machine->prev = cluster->last;
    if (cluster->last)
        cluster->last->next = machine;
    else
        cluster->first = machine;
    cluster->last = machine;
    struct rp_machine **bucket =
        &cluster->buckets[rp_hash_string(machine->name) % RP_CLUSTER_BUCKETS];
    machine->hash_next = *bucket;
    *bucket = machine;
    cluster->n_machines++;
    cluster->unreconciled_stale = true;
    return machine;
}

void rp_machine_remove(struct rp_cluster *cluster, struct rp_machine *machine) {
    rp_machine_end_incarnation(cluster, machine);
    if (cluster->on_machine_changed &&
        (machine->contact.incarnation > 0 || machine->state == RP_MACHINE_RELEASING))
        cluster->on_machine_changed(cluster->on_machine_arg, machine, true);
    struct rp_machine **link =
        &cluster->buckets[rp_hash_string(machine->name) % RP_CLUSTER_BUCKETS];
    while (*link != machine)
        link = &(*link)->hash_next;
    *link = machine->hash_next;
    if (machine->prev)
        machine->prev->next = machine->next;
    else
        cluster->first = machine->next;
    if (machine->next)
        machine->next->prev = machine->prev;
    else
        cluster->last = machine->prev;
    cluster->n_machines--;
    cluster->unreconciled_stale = true;
    machine_free(machine);
}

void rp_machine_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                          enum rp_machine_state state) {
    static const char *const names[] = {"booting", "unknown", "up", "lost", "returning"};
    struct timespec now = rp_loop_now(cluster->loop);
    if (machine->state == state)
        return;
    rp_debug("machine %s: %s -> %s", machine->name, names[machine->state], names[state]);
    if (state == RP_MACHINE_UP && rp_ts_zero(machine->up_at)) {
        machine->up_at = now;
    }
    if (state == RP_MACHINE_LOST) {
        machine->lost_since = now;
        machine->contact.lost_incarnation = machine->contact.incarnation;
        rp_info("machine %s lost: silent beyond its lease, places=%zu", machine->name,
                machine->n_allocations);
        rp_machine_end_incarnation(cluster, machine);
    }
    machine->state = state;
    cluster->unreconciled_stale = true;
    if (state == RP_MACHINE_RELEASING)
        machine->scale_in.since = now;
    if (state == RP_MACHINE_RELEASING && cluster->on_machine_changed)
        cluster->on_machine_changed(cluster->on_machine_arg, machine, false);
}

void rp_machine_describe(struct rp_machine *machine, const struct rp_catalog *catalog,
                         const char *type, const char *zone, bool spot) {
    bool is_known = machine->type >= 0 && machine->zone >= 0;
    /* A zone never changes under a machine's tasks: they are counted by it. */
    if (is_known || machine->n_allocations > 0)
        return;
    machine->type = rp_catalog_type_index(catalog, type);
    machine->zone = rp_catalog_zone_index(catalog, zone);
    machine->spot = spot;
}

void rp_machine_note_contact(struct rp_cluster *cluster, struct rp_machine *machine,
                             const char *addr, uint64_t incarnation) {
    bool changed = machine->contact.incarnation != incarnation || strcmp(machine->addr, addr) != 0;
    machine->contact.incarnation = incarnation;
    snprintf(machine->addr, sizeof machine->addr, "%s", addr);
    if (changed && cluster->on_machine_changed)
        cluster->on_machine_changed(cluster->on_machine_arg, machine, false);
}

void rp_machine_note_fencing_token(struct rp_cluster *cluster, struct rp_machine *machine,
                                   bool seen) {
    if (machine->contact.fencing_token_seen != seen)
        cluster->unreconciled_stale = true;
    machine->contact.fencing_token_seen = seen;
}

void rp_machine_clear_unknown_tasks(struct rp_cluster *cluster, struct rp_machine *machine) {
    cluster->n_with_unknown_live -= machine->n_unknown_live > 0;
    machine->n_unknown_tasks = machine->n_unknown_live = 0;
}

bool rp_machine_add_unknown_task(struct rp_cluster *cluster, struct rp_machine *machine,
                                 const struct rp_unknown_task *unknown_tasks) {
    if (!machine->unknown_tasks)
        machine->unknown_tasks = rp_alloc(RP_UNKNOWN_TASKS_MAX, sizeof *machine->unknown_tasks);
    bool full = machine->n_unknown_tasks == RP_UNKNOWN_TASKS_MAX;
    if (full || !unknown_tasks->exited) {
        cluster->n_with_unknown_live += machine->n_unknown_live == 0;
        machine->n_unknown_live++;
    }
    if (full)
        return false;
    machine->unknown_tasks[machine->n_unknown_tasks++] = *unknown_tasks;
    return true;
}

void rp_machine_end_incarnation(struct rp_cluster *cluster, struct rp_machine *machine) {
    while (machine->n_allocations > 0)
        rp_allocation_remove(cluster, machine, machine->n_allocations - 1);
    /* What it has fetched stays on its disk: a cut or a hang takes the tasks, not the images. */
    rp_machine_clear_unknown_tasks(cluster, machine);
}

uint64_t rp_cluster_next_attempt(struct rp_cluster *cluster) {
    return cluster->attempt_base + ++cluster->attempt_next;
}

/* The machine may hold tasks of an earlier leader that it hasn't told us of yet. */
static bool may_hold_more(const struct rp_machine *machine) {
    return machine->state == RP_MACHINE_UNRECONCILED ||
           (machine->state == RP_MACHINE_RELEASING && !machine->contact.fencing_token_seen);
}

static bool unsettled(const struct rp_cluster *cluster, const struct rp_machine *machine) {
    return machine->state == RP_MACHINE_UNRECONCILED ||
           (machine->state == RP_MACHINE_RELEASING && !machine->contact.fencing_token_seen &&
            !rp_ts_reached(rp_loop_now(cluster->loop), machine->contact.lease_expiry));
}

/* Every start asks who is unsettled: the machines that may be are listed anew only after one of
 * them has changed, and mostly there are none. */
static void list_unsettled(struct rp_cluster *cluster) {
    if (!cluster->unreconciled_stale)
        return;
    cluster->n_unreconciled = 0;
    if (cluster->cap_unreconciled < cluster->n_machines) {
        free(cluster->unreconciled);
        cluster->cap_unreconciled = cluster->n_machines * 2;
        cluster->unreconciled = rp_alloc(cluster->cap_unreconciled, sizeof(struct rp_machine *));
    }
    for (struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        if (may_hold_more(machine))
            cluster->unreconciled[cluster->n_unreconciled++] = machine;
    cluster->unreconciled_stale = false;
}

bool rp_cluster_is_reconciled(struct rp_cluster *cluster) {
    list_unsettled(cluster);
    for (size_t i = 0; i < cluster->n_unreconciled; i++)
        if (unsettled(cluster, cluster->unreconciled[i]))
            return false;
    return true;
}

bool rp_cluster_is_job_reconciled(struct rp_cluster *cluster, const struct rp_job *job) {
    const struct rp_team *team = job->team >= 0 ? &cluster->settings->teams[job->team] : NULL;
    bool limited = team && (team->cpus_max > 0 || team->gpus_max > 0);
    /* A job whose record is younger than our token was accepted after the last leader's lease had
     * ended: nobody but us can have started any of it. */
    bool young = job->accepted_revision > cluster->fencing_token;
    list_unsettled(cluster);
    for (size_t i = 0; i < cluster->n_unreconciled; i++) {
        const struct rp_machine *machine = cluster->unreconciled[i];
        if (!unsettled(cluster, machine))
            continue;
        bool unfit = machine->type >= 0 && machine->zone >= 0 &&
                     !rp_cluster_is_allowed(cluster, &job->spec, machine->type, machine->zone,
                                            machine->spot);
        if (limited || !(young || unfit))
            return false;
    }
    return true;
}

static bool counts(enum rp_allocation_state state) {
    return state != RP_ALLOCATION_EXITED;
}

struct rp_resources rp_machine_free_resources(const struct rp_cluster *cluster,
                                              const struct rp_machine *machine) {
    struct rp_resources room = {0};
    if (machine->type < 0)
        return room;
    room = cluster->catalog->types[machine->type].capacity;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        if (!counts(machine->allocations[i].state))
            continue;
        room.cpus -= machine->allocations[i].job->spec.each.cpus;
        room.gpus -= machine->allocations[i].job->spec.each.gpus;
        room.memory_gb -= machine->allocations[i].job->spec.each.memory_gb;
    }
    return room;
}

bool rp_machine_is_one_way_partitioned(const struct rp_machine *machine) {
    return !rp_ts_zero(machine->contact.answers_lost_since);
}

bool rp_machine_is_usable(const struct rp_machine *machine) {
    return machine->state == RP_MACHINE_UP && machine->recorded && machine->up_recorded &&
           machine->contact.fencing_token_seen && !machine->spot_notice.received &&
           !machine->health.quarantined && !machine->health.suspected &&
           !rp_machine_is_one_way_partitioned(machine) && machine->n_unknown_live == 0 &&
           machine->type >= 0 && machine->zone >= 0;
}

bool rp_cluster_is_allowed(const struct rp_cluster *cluster, const struct rp_job_spec *spec,
                           int type, int zone, bool spot) {
    if (type < 0 || zone < 0 || (spot && !spec->spot))
        return false;
    if (*spec->zone && strcmp(spec->zone, cluster->catalog->zones[zone]) != 0)
        return false;
    const struct rp_resources *capacity = &cluster->catalog->types[type].capacity;
    if (spec->each.cpus > capacity->cpus || spec->each.gpus > capacity->gpus ||
        spec->each.memory_gb > capacity->memory_gb)
        return false;
    for (size_t i = 0; i < spec->n_types; i++)
        if (strcmp(spec->types[i], cluster->catalog->types[type].name) == 0)
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

bool rp_machine_is_idle(const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].state != RP_ALLOCATION_EXITED ||
            !machine->allocations[i].started_directly)
            return false;
    return machine->n_unknown_tasks == 0;
}

struct rp_resources rp_cluster_over_quota(const struct rp_cluster *cluster,
                                          const struct rp_job *job) {
    struct rp_resources over = {-1, -1, -1};
    const struct rp_team *team = job->team >= 0 ? &cluster->settings->teams[job->team] : NULL;
    bool limited = team && (team->cpus_max > 0 || team->gpus_max > 0);
    /* Tasks of jobs that this leader can't know are counted against nobody's limit, so nobody
     * with a limit starts anything before they have exited. */
    if (!team || (limited && cluster->n_with_unknown_live > 0))
        return (struct rp_resources){INFINITY, INFINITY, INFINITY};
    if (team->cpus_max > 0)
        over.cpus = cluster->team_cpus[job->team] + job->spec.each.cpus - team->cpus_max - 1e-9;
    if (team->gpus_max > 0)
        over.gpus = cluster->team_gpus[job->team] + job->spec.each.gpus - team->gpus_max - 1e-9;
    return over;
}

bool rp_cluster_may_start(struct rp_cluster *cluster, const struct rp_job *job, uint32_t task,
                          const struct rp_machine *machine) {
    static const struct rp_released_resources none = {0};
    return rp_cluster_may_start_after_release(cluster, job, task, machine, &none);
}

bool rp_cluster_may_start_after_release(struct rp_cluster *cluster, const struct rp_job *job,
                                        uint32_t task, const struct rp_machine *machine,
                                        const struct rp_released_resources *freed) {
    struct rp_resources room = rp_machine_free_resources(cluster, machine),
                        over = rp_cluster_over_quota(cluster, job);
    rp_resources_add(&room, &freed->capacity);
    return job->state == RP_JOB_OPEN && task < job->spec.n_tasks &&
           rp_job_n_task_allocations(job, task) == 0 && !rp_job_is_task_done(job, task) &&
           rp_machine_is_usable(machine) && rp_cluster_is_job_reconciled(cluster, job) &&
           rp_cluster_is_allowed(cluster, &job->spec, machine->type, machine->zone,
                                 machine->spot) &&
           zone_fits(job, machine->zone) && rp_resources_fit(&job->spec.each, &room) &&
           over.cpus <= freed->quota.cpus && over.gpus <= freed->quota.gpus;
}

static void count_allocation(struct rp_cluster *cluster, struct rp_machine *machine,
                             struct rp_allocation *allocation, int sign) {
    struct rp_job *job = allocation->job;
    rp_job_count_allocation(job, allocation->task, sign);
    if (machine->zone >= 0)
        job->zone_count[machine->zone] += (uint32_t)sign;
    if (job->team >= 0) {
        cluster->team_cpus[job->team] += sign * job->spec.each.cpus;
        cluster->team_gpus[job->team] += sign * job->spec.each.gpus;
    }
    /* What was handed back may be started again from the first such task on. */
    if (sign < 0 && allocation->task < job->first_startable_task)
        job->first_startable_task = allocation->task;
}

static void set_running(struct rp_allocation *allocation, bool running) {
    bool was = allocation->state == RP_ALLOCATION_SEEN && allocation->task_state == RP_TASK_RUNNING;
    if (was != running)
        allocation->job->n_running += running ? 1 : (uint32_t)-1;
}

struct rp_allocation *rp_allocation_add(struct rp_cluster *cluster, struct rp_machine *machine,
                                        struct rp_job *job, uint32_t task, uint64_t attempt,
                                        enum rp_allocation_state state) {
    if (machine->n_allocations == machine->cap_allocations) {
        size_t cap = machine->cap_allocations ? machine->cap_allocations * 2 : 16;
        struct rp_allocation *allocations =
            realloc(machine->allocations, cap * sizeof *allocations);
        if (!allocations)
            abort();
        machine->allocations = allocations;
        machine->cap_allocations = cap;
    }
    struct rp_allocation *allocation = &machine->allocations[machine->n_allocations++];
    *allocation = (struct rp_allocation){.job = job,
                                         .task = task,
                                         .attempt = attempt,
                                         .state = state,
                                         .task_state = RP_TASK_FETCHING,
                                         .planned_at = rp_loop_now(cluster->loop)};
    job->n_refs++;
    if (counts(state))
        count_allocation(cluster, machine, allocation, 1);
    return allocation;
}

void rp_allocation_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                             struct rp_allocation *allocation, enum rp_allocation_state state) {
    if (allocation->state == state)
        return;
    set_running(allocation, false);
    if (counts(allocation->state) && !counts(state))
        count_allocation(cluster, machine, allocation, -1);
    allocation->state = state;
}

void rp_allocation_remove(struct rp_cluster *cluster, struct rp_machine *machine, size_t index) {
    struct rp_allocation *allocation = &machine->allocations[index];
    struct rp_job *job = allocation->job;
    set_running(allocation, false);
    if (counts(allocation->state))
        count_allocation(cluster, machine, allocation, -1);
    machine->allocations[index] = machine->allocations[--machine->n_allocations];
    rp_jobs_release(cluster->jobs, job);
}

void rp_allocation_request_stop(struct rp_allocation *allocation, double grace_s) {
    if (allocation->stop_requested && allocation->grace_s <= grace_s)
        return;
    allocation->stop_requested = true;
    allocation->grace_s = grace_s;
    allocation->stop_sent_at = (struct timespec){0};
}

void rp_cluster_stop_job(struct rp_cluster *cluster, struct rp_job *job, double grace_s) {
    for (struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        for (size_t i = machine->n_allocations; i-- > 0;) {
            struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->job != job)
                continue;
            if (allocation->state == RP_ALLOCATION_PLANNED)
                rp_allocation_remove(cluster, machine, i);
            else if (allocation->state != RP_ALLOCATION_EXITED)
                rp_allocation_request_stop(allocation, grace_s);
        }
}

void rp_machine_note_image(struct rp_cluster *cluster, struct rp_machine *machine, uint64_t hash,
                           double gb) {
    struct timespec now = rp_loop_now(cluster->loop);
    double total = gb;
    for (size_t i = 0; i < machine->n_images; i++) {
        total += machine->images[i].gb;
        if (machine->images[i].hash == hash) {
            machine->images[i].used = now;
            return;
        }
    }
    double cache = machine->type >= 0 ? cluster->catalog->types[machine->type].cache_gb : 0;
    while (machine->n_images > 0 && (machine->n_images == RP_IMAGES_MAX || total > cache)) {
        size_t oldest = 0;
        for (size_t i = 1; i < machine->n_images; i++)
            if (rp_ts_cmp(machine->images[i].used, machine->images[oldest].used) < 0)
                oldest = i;
        total -= machine->images[oldest].gb;
        machine->images[oldest] = machine->images[--machine->n_images];
    }
    if (machine->n_images == machine->cap_images) {
        size_t cap = machine->cap_images ? machine->cap_images * 2 : 8;
        struct rp_image *images = realloc(machine->images, cap * sizeof *images);
        if (!images)
            return; /* the image is fetched once more */
        machine->images = images;
        machine->cap_images = cap;
    }
    machine->images[machine->n_images++] = (struct rp_image){.hash = hash, .gb = gb, .used = now};
}

bool rp_machine_has_image(const struct rp_machine *machine, uint64_t hash) {
    for (size_t i = 0; i < machine->n_images; i++)
        if (machine->images[i].hash == hash)
            return true;
    return false;
}
