#include "scheduler/cycle_input.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "cluster/quarantine.h"
#include "scheduler/plan_resources.h"
#include "scheduler/remaining_time.h"
#include "scheduler/reservation.h"

#define SUSPECT_TASKS 2 /* of a job that has failed wherever it was started, at a time */
#define NO_LIMIT 1e15
#define NEW_MAX 60
#define LATE_SLACK_S 100  /* time to spare given to a job that has just become late */
#define BATCH_MAX 8192    /* groups in a round: by far more than can begin in one */
#define ASKED_MAX 8       /* machines of a kind asked for, beyond which the answer is waited for */
#define BEGIN_AFTER_S 160 /* a job that has waited so long has its first task started */
#define OVERDUE 2.2 /* a machine that boots this many times longer than usual isn't waited for */

void rp_cycle_input_free(struct rp_cycle_input *input) {
    free(input->offerings);
    free(input->machines);
    free(input->groups);
    free(input->teams);
    free(input->has_image);
    free(input->images);
    free(input->releases);
    free(input->guarantees_left);
}

static void build_kinds(struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    input->offerings =
        calloc(catalog->n_types * catalog->n_zones * 2 + 1, sizeof *input->offerings);
    for (size_t t = 0; input->offerings && t < catalog->n_types; t++)
        for (size_t z = 0; z < catalog->n_zones; z++)
            for (int spot = 1; spot >= 0; spot--) {
                const struct rp_machine_type *type = &catalog->types[t];
                if (!(type->zones >> z & 1) || (spot && type->spot_price <= 0))
                    continue;
                input->offerings[input->plan_input.n_offerings++] = (struct rp_plan_offering){
                    .type = (int)t,
                    .zone = (int)z,
                    .spot = spot,
                    /* Until what is asked for is answered, nobody knows whether there is more. */
                    .refused =
                        rp_fleet_is_zone_silent(scheduler->fleet, (int)z) ||
                        rp_fleet_is_refused(scheduler->fleet, (int)t, (int)z, spot) ||
                        rp_fleet_n_requested(scheduler->fleet, (int)t, (int)z, spot) >= ASKED_MAX,
                    .price = rp_fleet_hourly_price(catalog, (int)t, spot),
                    .boot_s = type->boot_s,
                    .fetch_gb_per_s = type->fetch_gb_per_s,
                    .capacity = type->capacity};
            }
    input->plan_input.offerings = input->offerings;
}

static void add_end(struct rp_plan_release *ends, size_t *n, double s,
                    const struct rp_resources *gives) {
    size_t at = (*n)++;
    for (; at > 0 && ends[at - 1].after_s > s; at--)
        ends[at] = ends[at - 1];
    ends[at] = (struct rp_plan_release){.after_s = s, .released = *gives};
}

static void describe_work(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                          struct rp_plan_machine *out, struct rp_plan_release *ends,
                          struct timespec now) {
    double sum = 0;
    out->releases = ends;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        double left = rp_allocation_remaining_s(scheduler, machine, allocation, now);
        double age = rp_ts_since(now, allocation->planned_at);
        bool service = allocation->job->spec.kind == RP_JOB_SERVICE;
        out->busy_s = fmax(out->busy_s, left);
        if (allocation->job->spec.each.gpus > 0)
            out->own_busy_s = fmax(out->own_busy_s, left);
        out->first_arrival_s = fmax(out->first_arrival_s, age);
        out->last_arrival_s = sum == 0 ? age : fmin(out->last_arrival_s, age);
        sum += age;
        /* By formula (1) it ends with its machine's unit, as tasks without an estimate do; but
         * nothing can count on the room. */
        if (service) {
            out->service_share +=
                rp_plan_share_of_machine(&allocation->job->spec.each, &out->capacity);
            continue;
        }
        out->work_s += left * rp_plan_share_of_machine(&allocation->job->spec.each, &out->capacity);
        add_end(ends, &out->n_releases, left, &allocation->job->spec.each);
        if (left <= out->free_later_after_s)
            rp_resources_add(&out->free_later, &allocation->job->spec.each);
    }
    out->mean_arrival_s = machine->n_allocations ? sum / (double)machine->n_allocations : 0;
}

/* What a machine's own kind of work leaves even when it fills the machine: beyond what a task that
 * takes it whole needs. Nothing while an image is fetched for it, which another would slow down. */
static struct rp_resources spare_room(const struct rp_scheduler *scheduler,
                                      const struct rp_machine *machine) {
    const struct rp_resources *capacity =
        &rp_scheduler_catalog(scheduler)->types[machine->type].capacity;
    const struct rp_resources *own = &scheduler->full_gpu_work[machine->type];
    struct rp_resources spare = {0};
    if (capacity->gpus <= 0 || own->gpus <= 0 || !rp_machine_is_usable(machine))
        return spare;
    spare = *capacity;
    rp_resources_sub(&spare, own);
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
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

static void describe_machine(const struct rp_scheduler *scheduler, struct rp_machine *machine,
                             struct rp_plan_machine *out, struct rp_plan_release *ends,
                             struct timespec now) {
    const struct rp_machine_type *type = &rp_scheduler_catalog(scheduler)->types[machine->type];
    struct rp_resources room = rp_machine_free_resources(scheduler->cluster, machine);
    *out = (struct rp_plan_machine){.ref = machine,
                                    .type = machine->type,
                                    .zone = machine->zone,
                                    .spot = machine->spot,
                                    .price = rp_fleet_hourly_price(rp_scheduler_catalog(scheduler),
                                                                   machine->type, machine->spot),
                                    .fetch_gb_per_s = type->fetch_gb_per_s,
                                    .capacity = type->capacity,
                                    .free_later = room,
                                    .free_later_after_s = type->boot_s,
                                    .age_s = rp_ts_since(now, machine->requested_at)};
    if (machine->state == RP_MACHINE_BOOTING) {
        out->free_later_after_s = fmax(type->boot_s - out->age_s, 2);
        return;
    }
    if (rp_machine_is_usable(machine))
        out->free_now = room;
    out->free_spare = spare_room(scheduler, machine);
    describe_work(scheduler, machine, out, ends, now);
    /* Room being made for a job isn't given to others while the rest of it is still in use. */
    const struct rp_job *job = rp_reservation_job(scheduler, machine);
    if (job && rp_reservation_is_exclusive(job)) {
        out->reserved_for = job;
    } else if (job) {
        rp_resources_sub(&out->free_now, &job->spec.each);
        rp_resources_sub(&out->free_later, &job->spec.each);
    }
}

static bool plannable(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                      struct timespec now) {
    if (machine->type < 0 || machine->zone < 0)
        return false;
    if (machine->state == RP_MACHINE_BOOTING)
        return rp_ts_since(now, machine->requested_at) <
               rp_scheduler_catalog(scheduler)->types[machine->type].boot_s * OVERDUE;
    return machine->state == RP_MACHINE_UP && !machine->health.quarantined &&
           !machine->health.suspected && !machine->spot_notice.received &&
           !machine->scale_in.draining && !rp_machine_is_one_way_partitioned(machine);
}

/* What the GPU work known now takes of a machine that it fills: a task that takes all GPUs what it
 * says, smaller ones, of which several sizes come together, their mean. */
static void note_whole(struct rp_scheduler *scheduler, size_t type) {
    const struct rp_resources *all = &rp_scheduler_catalog(scheduler)->types[type].capacity;
    struct rp_resources largest = {0}, sum = {0};
    double n_sum = 0;
    for (const struct rp_job *job = scheduler->jobs->table.first; job; job = job->next) {
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
    scheduler->full_gpu_work[type] = largest;
    if (n_sum > 0) {
        scheduler->full_gpu_work[type].cpus = fmax(largest.cpus, sum.cpus / n_sum);
        scheduler->full_gpu_work[type].memory_gb = fmax(largest.memory_gb, sum.memory_gb / n_sum);
    }
}

static void build_machines(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                           struct timespec now) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    size_t pending = 0;
    for (size_t t = 0; t < catalog->n_types; t++)
        note_whole(scheduler, t);
    for (size_t i = 0; i < input->plan_input.n_offerings; i++)
        pending += rp_fleet_n_requested(scheduler->fleet, input->offerings[i].type,
                                        input->offerings[i].zone, input->offerings[i].spot);
    input->machines = calloc(scheduler->cluster->n_machines + pending + 1, sizeof *input->machines);
    size_t allocations = 1;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        allocations += machine->n_allocations;
    input->releases = calloc(allocations, sizeof *input->releases);
    if (!input->machines || !input->releases)
        return;
    rp_reservation_mark_jobs(scheduler);
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next)
        if (plannable(scheduler, machine, now)) {
            describe_machine(scheduler, machine, &input->machines[input->plan_input.n_machines++],
                             &input->releases[input->n_releases], now);
            input->n_releases += machine->n_allocations;
        }
    /* What has been asked for and not answered yet holds its tasks, too. */
    for (size_t i = 0; i < input->plan_input.n_offerings; i++) {
        const struct rp_plan_offering *offering = &input->offerings[i];
        unsigned n =
            rp_fleet_n_requested(scheduler->fleet, offering->type, offering->zone, offering->spot);
        for (; n > 0; n--)
            input->machines[input->plan_input.n_machines++] = (struct rp_plan_machine){
                .type = offering->type,
                .zone = offering->zone,
                .spot = offering->spot,
                .price = offering->price,
                .fetch_gb_per_s = offering->fetch_gb_per_s,
                .capacity = offering->capacity,
                .free_later = offering->capacity,
                .free_later_after_s = catalog->types[offering->type].boot_s};
    }
    input->plan_input.machines = input->machines;
}

static uint32_t startable(const struct rp_job *job) {
    if (job->spec.kind == RP_JOB_GANG)
        return job->n_allocated == 0 && job->n_done == 0 ? job->spec.n_tasks : 0;
    uint32_t taken = job->n_done + job->n_allocated;
    uint32_t left = taken < job->spec.n_tasks ? job->spec.n_tasks - taken : 0;
    /* What fails wherever it is started costs little until its user calls it off. */
    uint32_t most = job->n_allocated < SUSPECT_TASKS ? SUSPECT_TASKS - job->n_allocated : 0;
    return rp_quarantine_is_job_suspected(job) && left > most ? most : left;
}

static void allowed_types(const struct rp_scheduler *scheduler, const struct rp_job_spec *spec,
                          struct rp_plan_group *group) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    uint32_t types = 0, plain = 0;
    for (size_t t = 0; t < catalog->n_types; t++)
        for (size_t z = 0; z < catalog->n_zones; z++)
            if ((catalog->types[t].zones >> z & 1) &&
                rp_cluster_is_allowed(scheduler->cluster, spec, (int)t, (int)z, false)) {
                types |= 1u << t;
                if (catalog->types[t].capacity.gpus <= 0)
                    plain |= 1u << t;
            }
    /* Work without GPUs stays off the machines that have them: it would sit where whole-machine
     * work has to go, at many times the price. It only takes what that leaves. */
    bool keep_off = spec->each.gpus <= 0 && plain;
    group->types = keep_off ? plain : types;
    group->spare_types = keep_off && spec->kind == RP_JOB_ARRAY ? types & ~plain : 0;
}

/* Time to spare until the first of the class's aims that the job can still meet. */
static double slack(const struct rp_scheduler *scheduler, const struct rp_job *job,
                    struct rp_plan_group *group) {
    const struct rp_settings *settings = scheduler->settings;
    double best = RP_NO_OBJECTIVE_S, latest = 0;
    for (size_t i = 0; i < settings->n_objectives; i++) {
        const struct rp_objective *aim = &settings->objectives[i];
        if (strcmp(aim->class_name, job->spec.class_name) != 0)
            continue;
        double due = aim->kind == RP_OBJECTIVE_DEADLINE ? job->spec.deadline_s * aim->times
                     : aim->kind == RP_OBJECTIVE_WAIT   ? aim->within_s + group->run_s
                                                        : aim->within_s;
        double left = due - group->age_s - group->run_s;
        if (due <= 0)
            continue;
        latest = fmax(latest, due);
        if (left > 0 && left < best)
            best = left;
    }
    if (best < RP_NO_OBJECTIVE_S)
        return best;
    if (latest <= 0)
        return RP_NO_OBJECTIVE_S;
    group->is_late = true;
    /* A job that can be in time for nothing any more stands behind those that can, but with less
     * and less patience: it is not to wait for as long as others keep coming. */
    return fmax(0, LATE_SLACK_S - (group->age_s + group->run_s - latest));
}

/* Unfinished jobs by class. Classes are told apart by their hashes: a wrong guess shifts an order.
 */
struct class_count {
    uint64_t hash;
    uint32_t jobs;
};

static struct class_count *class_of(struct class_count *counts, const struct rp_job *job) {
    uint64_t hash = rp_hash_string(job->spec.class_name);
    size_t i = 0;
    while (i < RP_CLASSES_MAX - 1 && counts[i].jobs > 0 && counts[i].hash != hash)
        i++; /* the last one takes what is beyond the bound */
    counts[i].hash = hash;
    return &counts[i];
}

static void count_classes(const struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    struct class_count counts[RP_CLASSES_MAX] = {0};
    for (const struct rp_job *job = scheduler->jobs->table.first; job; job = job->next)
        if (job->state == RP_JOB_OPEN)
            class_of(counts, job)->jobs++;
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        input->groups[g].class_jobs = class_of(counts, input->groups[g].ref)->jobs;
}

static void build_group(const struct rp_scheduler *scheduler, struct rp_job *job, uint32_t n,
                        struct rp_plan_group *group, struct timespec now) {
    const struct rp_job_spec *spec = &job->spec;
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    double run = rp_jobs_expected_run_s(scheduler->jobs, job);
    *group = (struct rp_plan_group){
        .ref = job,
        .kind = spec->kind,
        .priority = spec->priority,
        .n_tasks = n,
        .each = spec->each,
        .run_s = spec->kind == RP_JOB_SERVICE ? scheduler->settings->tuning.billing_unit_s : run,
        .image_gb = spec->image_gb,
        .age_s = rp_job_age_s(job, now),
        .slack_s = RP_NO_OBJECTIVE_S,
        .team = job->team,
        .spot = spec->spot,
        .one_zone = spec->one_zone && spec->n_tasks > 1,
        .spread = spec->spread && spec->n_tasks > 1,
        .fixed_zone = -1,
        .spread_max = (spec->n_tasks + 1) / 2};
    allowed_types(scheduler, spec, group);
    /* A service's aims are those of a start, which priority alone decides. */
    if (spec->kind != RP_JOB_SERVICE)
        group->slack_s = slack(scheduler, job, group);
    group->has_reservation = job->reserved_in_cycle == scheduler->n_cycles;
    for (size_t z = 0; z < catalog->n_zones; z++) {
        if (!*spec->zone || strcmp(spec->zone, catalog->zones[z]) == 0)
            group->zones |= 1u << z;
        group->zone_used[z] = job->zone_count[z];
        if (job->zone_count[z])
            group->fixed_zone = (int)z;
    }
}

static int by_hash(const void *a, const void *b) {
    uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;
    return x < y ? -1 : x > y;
}

/* The image's index among those that the groups need, or n_images. */
static size_t image_index(const struct rp_cycle_input *input, uint64_t hash) {
    const uint64_t *found = bsearch(&hash, input->images, input->n_images, sizeof hash, by_hash);
    return found ? (size_t)(found - input->images) : input->n_images;
}

static bool list_images(struct rp_cycle_input *input) {
    input->images = calloc(input->plan_input.n_groups + 1, sizeof *input->images);
    if (!input->images)
        return false;
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        input->images[g] = ((const struct rp_job *)input->groups[g].ref)->image_hash;
    qsort(input->images, input->plan_input.n_groups, sizeof *input->images, by_hash);
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        if (g == 0 || input->images[g] != input->images[input->n_images - 1])
            input->images[input->n_images++] = input->images[g];
    return true;
}

/* Hundreds of jobs share a few images: which machines hold one is found once for all of them. Names
 * are told apart by their hashes, as what a wrong guess costs is a fetch. */
static void build_images(struct rp_cycle_input *input) {
    size_t n = input->plan_input.n_machines;
    if (!list_images(input))
        return;
    input->has_image = calloc(input->n_images * n + 1, sizeof(bool));
    if (!input->has_image)
        return;
    for (size_t m = 0; m < n; m++) {
        const struct rp_machine *machine = input->machines[m].ref;
        for (size_t i = 0; machine && i < machine->n_images; i++) {
            size_t at = image_index(input, machine->images[i].hash);
            if (at < input->n_images)
                input->has_image[at * n + m] = true;
        }
    }
    for (size_t g = 0; g < input->plan_input.n_groups; g++) {
        const struct rp_job *job = input->groups[g].ref;
        input->groups[g].has_image = &input->has_image[image_index(input, job->image_hash) * n];
    }
}

/* Of the job's `n` tasks those that fit what is left of its team's guarantee, which they take. */
static uint32_t take_guarantee(struct rp_cycle_input *input, const struct rp_job *job, uint32_t n) {
    if (job->team < 0)
        return 0;
    struct rp_resources *left = &input->guarantees_left[job->team];
    const struct rp_resources *each = &job->spec.each;
    if (left->cpus <= 0 && left->gpus <= 0)
        return 0;
    uint32_t most = job->spec.kind == RP_JOB_GANG ? 1 : n, tasks = 0;
    double needed = job->spec.kind == RP_JOB_GANG ? n : 1;
    while (tasks < most && needed * each->cpus <= left->cpus + 1e-9 &&
           needed * each->gpus <= left->gpus + 1e-9) {
        left->cpus -= needed * each->cpus;
        left->gpus -= needed * each->gpus;
        tasks++;
    }
    return job->spec.kind == RP_JOB_GANG ? tasks * n : tasks;
}

static void add_group(const struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                      struct rp_job *job, size_t most, struct timespec now) {
    uint32_t n = startable(job);
    bool begun = job->n_done > 0 || job->n_allocated > 0;
    if (n == 0 || job->state != RP_JOB_OPEN || !rp_ts_reached(now, job->start_backoff_until))
        return;
    uint32_t guaranteed = take_guarantee(input, job, n);
    if (guaranteed > 0 && input->plan_input.n_groups < most) {
        build_group(scheduler, job, guaranteed, &input->groups[input->plan_input.n_groups], now);
        input->groups[input->plan_input.n_groups++].is_guaranteed = true;
        begun = true;
        n -= guaranteed;
    }
    if (n == 0)
        return;
    /* Large jobs that are given up so that more small ones are in time begin all the same: the
     * users want the first task of every job within four minutes. */
    if (scheduler->short_of_capacity[job->spec.each.gpus > 0] && !begun && n > 1 &&
        job->spec.kind == RP_JOB_ARRAY && input->plan_input.n_groups + 1 < most &&
        rp_job_age_s(job, now) > BEGIN_AFTER_S) {
        build_group(scheduler, job, 1, &input->groups[input->plan_input.n_groups], now);
        input->groups[input->plan_input.n_groups++].is_first_task = true;
        n--;
    }
    if (input->plan_input.n_groups < most)
        build_group(scheduler, job, n, &input->groups[input->plan_input.n_groups++], now);
}

/* What the teams' work takes of their guarantees now is gone; 0 in the settings means none. */
static bool fill_guarantees(const struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    input->guarantees_left =
        calloc(scheduler->settings->n_teams + 1, sizeof *input->guarantees_left);
    for (size_t i = 0; input->guarantees_left && i < scheduler->settings->n_teams; i++) {
        const struct rp_team *team = &scheduler->settings->teams[i];
        input->guarantees_left[i].cpus = fmax(0, team->cpus - scheduler->cluster->team_cpus[i]);
        input->guarantees_left[i].gpus = fmax(0, team->gpus - scheduler->cluster->team_gpus[i]);
    }
    return input->guarantees_left;
}

static void build_groups(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                         struct timespec now) {
    size_t most = scheduler->jobs->table.n_jobs * 3 < BATCH_MAX
                      ? scheduler->jobs->table.n_jobs * 3 + 1
                      : BATCH_MAX;
    input->groups = calloc(most, sizeof *input->groups);
    if (!input->groups || !fill_guarantees(scheduler, input))
        return;
    if (scheduler->jobs->table.n_jobs * 3 >= BATCH_MAX && scheduler->n_over_bounds++ == 0)
        rp_error(
            "more than %d groups of tasks wait: the lowest and youngest are left out of rounds",
            BATCH_MAX);
    /* Higher priorities first, so that a full batch never leaves them out. */
    for (int priority = RP_PRIORITY_CRITICAL; priority >= RP_PRIORITY_LOW; priority--)
        for (struct rp_job *job = scheduler->jobs->table.first;
             job && input->plan_input.n_groups < most; job = job->next)
            if ((int)job->spec.priority == priority)
                add_group(scheduler, input, job, most, now);
    input->plan_input.groups = input->groups;
    count_classes(scheduler, input);
    build_images(input);
}

static void build_teams(struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    const struct rp_settings *settings = scheduler->settings;
    input->teams = calloc(settings->n_teams + 1, sizeof *input->teams);
    for (size_t i = 0; input->teams && i < settings->n_teams; i++) {
        input->teams[i].cpus_left =
            settings->teams[i].cpus_max > 0
                ? settings->teams[i].cpus_max - scheduler->cluster->team_cpus[i]
                : NO_LIMIT;
        input->teams[i].gpus_left =
            settings->teams[i].gpus_max > 0
                ? settings->teams[i].gpus_max - scheduler->cluster->team_gpus[i]
                : NO_LIMIT;
    }
    input->plan_input.teams = input->teams;
    input->plan_input.n_teams = settings->n_teams;
}

bool rp_cycle_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                          struct timespec now) {
    memset(input, 0, sizeof *input);
    input->plan_input.unit_s = scheduler->settings->tuning.billing_unit_s;
    input->plan_input.seed = scheduler->n_cycles;
    input->plan_input.new_machines_max = NEW_MAX;
    build_kinds(scheduler, input);
    build_machines(scheduler, input, now);
    build_groups(scheduler, input, now);
    build_teams(scheduler, input);
    return input->offerings && input->machines && input->releases && input->groups &&
           input->teams && input->has_image && input->guarantees_left;
}
