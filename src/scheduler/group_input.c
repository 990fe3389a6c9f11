#include "scheduler/group_input.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "cluster/quarantine.h"
#include "scheduler/plan_resources.h"

/* Greatest number of tasks in progress of a job that has failed on every machine where it was
 * started. */
#define SUSPECTED_JOB_TASKS_MAX 2
/* Slack, in seconds, of a job that has just become late. */
#define LATE_SLACK_S 100
/* Greatest number of groups in the input of one cycle, far more than can start in one cycle. */
#define GROUPS_MAX 8192
#define GROUPS_PER_JOB_MAX 3
/* Age, in seconds, beyond which a job's first task becomes a group of its own during a shortage. */
#define FIRST_TASK_AFTER_S 160

static uint32_t n_startable(const struct rp_job *job) {
    if (job->spec.kind == RP_JOB_GANG)
        return job->n_allocated == 0 && job->n_done == 0 ? job->spec.n_tasks : 0;
    uint32_t n_taken = job->n_done + job->n_allocated;
    uint32_t n_left = n_taken < job->spec.n_tasks ? job->spec.n_tasks - n_taken : 0;
    /* The limit bounds the cost of a job that fails on every machine until its user cancels it. */
    uint32_t n_more_max =
        job->n_allocated < SUSPECTED_JOB_TASKS_MAX ? SUSPECTED_JOB_TASKS_MAX - job->n_allocated : 0;
    return rp_quarantine_is_job_suspected(job) && n_left > n_more_max ? n_more_max : n_left;
}

static void set_allowed_types(const struct rp_scheduler *scheduler, const struct rp_job_spec *spec,
                              struct rp_plan_group *group) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    uint32_t types = 0;
    uint32_t types_without_gpus = 0;
    for (size_t t = 0; t < catalog->n_types; t++)
        for (size_t z = 0; z < catalog->n_zones; z++)
            if ((catalog->types[t].zones >> z & 1) &&
                rp_cluster_is_kind_allowed(scheduler->cluster, spec, (int)t, (int)z, false)) {
                types |= 1u << t;
                if (catalog->types[t].capacity.gpus <= 0)
                    types_without_gpus |= 1u << t;
            }
    /* Work without GPUs does not use machine types with GPUs: it would occupy machines, at many
     * times the price, that are needed for work that takes a whole machine. It may only use the
     * spare capacity of these types. */
    bool avoids_gpu_types = spec->task_resources.gpus <= 0 && types_without_gpus;
    group->types = avoids_gpu_types ? types_without_gpus : types;
    group->spare_types =
        avoids_gpu_types && spec->kind == RP_JOB_ARRAY ? types & ~types_without_gpus : 0;
}

/* Seconds of slack until the earliest objective of the job's class that the job can still meet;
 * RP_NO_OBJECTIVE_SLACK_S if the class has no objective. Sets the group's `is_late` if it has
 * objectives and can meet none. */
static double find_slack_s(const struct rp_scheduler *scheduler, const struct rp_job *job,
                           struct rp_plan_group *group) {
    const struct rp_settings *settings = scheduler->settings;
    double least_left_s = RP_NO_OBJECTIVE_SLACK_S;
    double latest_due_s = 0;
    for (size_t i = 0; i < settings->n_objectives; i++) {
        const struct rp_objective *objective = &settings->objectives[i];
        if (strcmp(objective->class_name, job->spec.class_name) != 0)
            continue;
        double due_s = objective->kind == RP_OBJECTIVE_DEADLINE
                           ? job->spec.deadline_s * objective->times
                       : objective->kind == RP_OBJECTIVE_WAIT ? objective->within_s + group->run_s
                                                              : objective->within_s;
        double left_s = due_s - group->age_s - group->run_s;
        if (due_s <= 0)
            continue;
        latest_due_s = fmax(latest_due_s, due_s);
        if (left_s > 0 && left_s < least_left_s)
            least_left_s = left_s;
    }
    if (least_left_s < RP_NO_OBJECTIVE_SLACK_S)
        return least_left_s;
    if (latest_due_s <= 0)
        return RP_NO_OBJECTIVE_SLACK_S;
    group->is_late = true;
    /* A job that can meet no objective any more is ordered after those that can, but its slack
     * shrinks with time. Otherwise it would wait as long as new jobs arrive. */
    return fmax(0, LATE_SLACK_S - (group->age_s + group->run_s - latest_due_s));
}

/* The number of unfinished jobs of a class. Classes are distinguished by their hashes only: a
 * collision does no more harm than changing the order of jobs. */
struct class_count {
    uint64_t hash;
    uint32_t n_jobs;
};

static struct class_count *find_class_count(struct class_count *counts, const struct rp_job *job) {
    uint64_t hash = rp_hash_string(job->spec.class_name);
    size_t i = 0;
    while (i < RP_CLASSES_MAX - 1 && counts[i].n_jobs > 0 && counts[i].hash != hash)
        i++; /* the last element counts all classes beyond RP_CLASSES_MAX */
    counts[i].hash = hash;
    return &counts[i];
}

static void count_classes(const struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    struct class_count counts[RP_CLASSES_MAX] = {0};
    for (const struct rp_job *job = scheduler->jobs->table.first; job; job = job->next)
        if (job->state == RP_JOB_OPEN)
            find_class_count(counts, job)->n_jobs++;
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        input->groups[g].class_jobs = find_class_count(counts, input->groups[g].ref)->n_jobs;
}

static void build_group(const struct rp_scheduler *scheduler, struct rp_job *job, uint32_t n,
                        struct rp_plan_group *group, struct timespec now) {
    const struct rp_job_spec *spec = &job->spec;
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    double run_s = rp_jobs_expected_run_s(scheduler->jobs, job);
    *group = (struct rp_plan_group){
        .ref = job,
        .kind = spec->kind,
        .priority = spec->priority,
        .n_tasks = n,
        .task_resources = spec->task_resources,
        .run_s = spec->kind == RP_JOB_SERVICE ? scheduler->settings->tuning.billing_unit_s : run_s,
        .image_gb = spec->image_gb,
        .age_s = rp_job_age_s(job, now),
        .slack_s = RP_NO_OBJECTIVE_SLACK_S,
        .team = job->team,
        .spot = spec->spot,
        .one_zone = spec->one_zone && spec->n_tasks > 1,
        .spread = spec->spread && spec->n_tasks > 1,
        .fixed_zone = -1,
        .spread_max = (spec->n_tasks + 1) / 2};
    set_allowed_types(scheduler, spec, group);
    /* The objectives of a service concern its start, whose order depends on the priority alone. */
    if (spec->kind != RP_JOB_SERVICE)
        group->slack_s = find_slack_s(scheduler, job, group);
    group->has_reservation = job->reserved_in_cycle == scheduler->n_cycles;
    for (size_t z = 0; z < catalog->n_zones; z++) {
        if (!*spec->zone || strcmp(spec->zone, catalog->zones[z]) == 0)
            group->zones |= 1u << z;
        group->zone_used[z] = job->n_allocated_by_zone[z];
        if (job->n_allocated_by_zone[z])
            group->fixed_zone = (int)z;
    }
}

/* Returns how many of the job's `n` tasks fit in the rest of its team's guaranteed quota, and
 * deducts what they need from it. A gang fits as a whole or not at all. */
static uint32_t take_guarantee(struct rp_cycle_input *input, const struct rp_job *job, uint32_t n) {
    if (job->team < 0)
        return 0;
    struct rp_resources *left = &input->guarantees_left[job->team];
    const struct rp_resources *need = &job->spec.task_resources;
    if (left->cpus <= 0 && left->gpus <= 0)
        return 0;
    double tasks_per_unit = job->spec.kind == RP_JOB_GANG ? n : 1;
    uint32_t n_units = job->spec.kind == RP_JOB_GANG ? 1 : n;
    n_units = rp_plan_n_fitting_resource(left->cpus, tasks_per_unit * need->cpus, n_units);
    n_units = rp_plan_n_fitting_resource(left->gpus, tasks_per_unit * need->gpus, n_units);
    left->cpus -= n_units * tasks_per_unit * need->cpus;
    left->gpus -= n_units * tasks_per_unit * need->gpus;
    return job->spec.kind == RP_JOB_GANG ? n_units * n : n_units;
}

static void add_groups_of_job(const struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                              struct rp_job *job, size_t n_groups_max, struct timespec now) {
    uint32_t n = n_startable(job);
    bool has_started = job->n_done > 0 || job->n_allocated > 0;
    if (n == 0 || job->state != RP_JOB_OPEN || !rp_ts_is_reached(now, job->start_backoff_until))
        return;
    uint32_t n_guaranteed = take_guarantee(input, job, n);
    if (n_guaranteed > 0 && input->plan_input.n_groups < n_groups_max) {
        build_group(scheduler, job, n_guaranteed, &input->groups[input->plan_input.n_groups], now);
        input->groups[input->plan_input.n_groups++].is_guaranteed = true;
        has_started = true;
        n -= n_guaranteed;
    }
    if (n == 0)
        return;
    /* Large jobs that are shed so that more small ones meet their objectives still start their
     * first task: users expect the first task of every job to start within four minutes. */
    if (scheduler->short_of_capacity[job->spec.task_resources.gpus > 0] && !has_started && n > 1 &&
        job->spec.kind == RP_JOB_ARRAY && input->plan_input.n_groups + 1 < n_groups_max &&
        rp_job_age_s(job, now) > FIRST_TASK_AFTER_S) {
        build_group(scheduler, job, 1, &input->groups[input->plan_input.n_groups], now);
        input->groups[input->plan_input.n_groups++].is_first_task = true;
        n--;
    }
    if (input->plan_input.n_groups < n_groups_max)
        build_group(scheduler, job, n, &input->groups[input->plan_input.n_groups++], now);
}

/* Sets each team's guaranteed quota that its running work does not use yet; 0 in the settings means
 * no guarantee. */
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
    size_t n_groups_max = scheduler->jobs->table.n_jobs * GROUPS_PER_JOB_MAX < GROUPS_MAX
                              ? scheduler->jobs->table.n_jobs * GROUPS_PER_JOB_MAX + 1
                              : GROUPS_MAX;
    input->groups = calloc(n_groups_max, sizeof *input->groups);
    if (!input->groups || !fill_guarantees(scheduler, input))
        return;
    if (scheduler->jobs->table.n_jobs * GROUPS_PER_JOB_MAX >= GROUPS_MAX &&
        scheduler->n_over_bounds++ == 0)
        rp_error("groups of tasks left out of scheduling cycles: reason=too many, lowest priority "
                 "and youngest first n_max=%d",
                 GROUPS_MAX);
    /* Higher priorities come first, so that the bound on groups never leaves them out in favor of
     * lower ones. */
    for (int priority = RP_PRIORITY_CRITICAL; priority >= RP_PRIORITY_LOW; priority--)
        for (struct rp_job *job = scheduler->jobs->table.first;
             job && input->plan_input.n_groups < n_groups_max; job = job->next)
            if ((int)job->spec.priority == priority)
                add_groups_of_job(scheduler, input, job, n_groups_max, now);
    input->plan_input.groups = input->groups;
    count_classes(scheduler, input);
}
