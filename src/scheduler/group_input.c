#include "scheduler/group_input.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "cluster/quarantine.h"

#define SUSPECT_TASKS 2  /* of a job that has failed wherever it was started, at a time */
#define LATE_SLACK_S 100 /* slack_s given to a job that has just become late */
#define GROUPS_MAX 8192  /* groups in a cycle: by far more than can begin in one */
#define GROUPS_PER_JOB 3
#define BEGIN_AFTER_S 160 /* a job that has waited so long has its first task started */

static uint32_t n_startable(const struct rp_job *job) {
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
    uint32_t types = 0;
    uint32_t plain = 0;
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
    bool keep_off = spec->task_resources.gpus <= 0 && plain;
    group->types = keep_off ? plain : types;
    group->spare_types = keep_off && spec->kind == RP_JOB_ARRAY ? types & ~plain : 0;
}

/* Time to spare until the first of the class's aims that the job can still meet. */
static double slack_s(const struct rp_scheduler *scheduler, const struct rp_job *job,
                      struct rp_plan_group *group) {
    const struct rp_settings *settings = scheduler->settings;
    double best = RP_NO_OBJECTIVE_S;
    double latest = 0;
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
        .each = spec->task_resources,
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
        group->slack_s = slack_s(scheduler, job, group);
    group->has_reservation = job->reserved_in_cycle == scheduler->n_cycles;
    for (size_t z = 0; z < catalog->n_zones; z++) {
        if (!*spec->zone || strcmp(spec->zone, catalog->zones[z]) == 0)
            group->zones |= 1u << z;
        group->zone_used[z] = job->zone_count[z];
        if (job->zone_count[z])
            group->fixed_zone = (int)z;
    }
}

/* Of the job's `n` tasks those that fit what is left of its team's guarantee, which they take. */
static uint32_t take_guarantee(struct rp_cycle_input *input, const struct rp_job *job, uint32_t n) {
    if (job->team < 0)
        return 0;
    struct rp_resources *left = &input->guarantees_left[job->team];
    const struct rp_resources *each = &job->spec.task_resources;
    if (left->cpus <= 0 && left->gpus <= 0)
        return 0;
    uint32_t most = job->spec.kind == RP_JOB_GANG ? 1 : n;
    uint32_t tasks = 0;
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
    uint32_t n = n_startable(job);
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
    if (scheduler->short_of_capacity[job->spec.task_resources.gpus > 0] && !begun && n > 1 &&
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

void rp_group_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                          struct timespec now) {
    size_t most = scheduler->jobs->table.n_jobs * GROUPS_PER_JOB < GROUPS_MAX
                      ? scheduler->jobs->table.n_jobs * GROUPS_PER_JOB + 1
                      : GROUPS_MAX;
    input->groups = calloc(most, sizeof *input->groups);
    if (!input->groups || !fill_guarantees(scheduler, input))
        return;
    if (scheduler->jobs->table.n_jobs * GROUPS_PER_JOB >= GROUPS_MAX &&
        scheduler->n_over_bounds++ == 0)
        rp_error(
            "groups of tasks left out of cycles: reason=too many, the lowest and youngest n_max=%d",
            GROUPS_MAX);
    /* Higher priorities first, so that a full batch never leaves them out. */
    for (int priority = RP_PRIORITY_CRITICAL; priority >= RP_PRIORITY_LOW; priority--)
        for (struct rp_job *job = scheduler->jobs->table.first;
             job && input->plan_input.n_groups < most; job = job->next)
            if ((int)job->spec.priority == priority)
                add_group(scheduler, input, job, most, now);
    input->plan_input.groups = input->groups;
    count_classes(scheduler, input);
}
