/* The rules of the simulated world: PROTOCOL's, and what the users added. Each is shown to fail on
 * a broken world (broken_worlds_are_caught). */
#include "internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDING 1e-6    /* of sums of resources */
#define REPLICAS_EVERY 5 /* steps between two checks of the replicas */
#define WAITING_EVERY 25 /* and of waiting jobs */

/* After the faults: */
#define ANSWERED_WITHIN_S                                                                          \
    75.0                     /* a job that no question about is answered for so long is forgotten */
#define BEGUN_WITHIN_S 240.0 /* every job begins by then */
#define PLACED_WITHIN_S 90.0 /* no job waits longer while there is capacity for it */
#define REPLICA_DOWN_S 90.0  /* and no replica of a service is missing for longer */

/* Its machine is the cluster's, and hasn't crashed. */
static bool is_rented(const struct sim_worker *worker) {
    return worker->used && worker->alive;
}

/* One team has a limit, the guests have none. */
static bool has_limit(const struct sim_job *job) {
    return strcmp(job->spec.team, "t") == 0;
}

/* Sums over what is on all machines when a task starts. */
struct start_survey {
    double cpus;      /* of the teams with a limit */
    uint32_t in_zone; /* tasks of its job in its zone, with it */
};

/* Another task that is on a machine while this one starts. */
static void check_other_task(struct sim *sim, const struct sim_worker *worker,
                             const struct sim_task *task, const struct sim_worker *other_worker,
                             const struct sim_task *other) {
    if (other->index == task->index)
        sim_violated(sim, "ran_twice: %s/%u on %s and %s", task->job, task->index, worker->name,
                     other_worker->name);
    if (sim->jobs[task->job_index].spec.one_zone && other_worker->zone != worker->zone)
        sim_violated(sim, "wrong_place: %s/%u in two zones", task->job, task->index);
}

static struct start_survey check_other_tasks(struct sim *sim, const struct sim_worker *worker,
                                             const struct sim_task *task) {
    struct start_survey survey = {.in_zone = 1};
    for (int i = 0; i < sim->size.workers; i++) {
        const struct sim_worker *other_worker = &sim->workers[i];
        for (int k = 0; is_rented(other_worker) && k < other_worker->n_tasks; k++) {
            const struct sim_task *other = &other_worker->tasks[k];
            if (!sim_task_is_placed(other))
                continue;
            if (has_limit(&sim->jobs[other->job_index]))
                survey.cpus += sim->jobs[other->job_index].spec.task_resources.cpus;
            if (other == task || other->job_index != task->job_index)
                continue;
            check_other_task(sim, worker, task, other_worker, other);
            survey.in_zone += other_worker->zone == worker->zone;
        }
    }
    return survey;
}

void sim_check_start(struct sim *sim, const struct sim_worker *worker,
                     const struct sim_task *task) {
    struct sim_job *job = &sim->jobs[task->job_index];
    const struct rp_job_spec *spec = &job->spec;
    int zone = sim->breakage == SIM_MACHINES_ELSEWHERE ? 1 - worker->zone : worker->zone;
    double limit =
        sim->settings[0].teams[0].cpus_max * (sim->breakage == SIM_LIMIT_IS_LOWER ? 0.5 : 1);
    sim->n_starts++;
    job->begun = true;
    if (job->told_cancelled && sim->now > job->cancelled_at + sim->size.cancel_s)
        sim_violated(sim, "ran_cancelled: %s/%u starts", task->job, task->index);
    if (worker->spot && !spec->spot)
        sim_violated(sim, "wrong_place: %s/%u on a spot machine", task->job, task->index);
    if (*spec->zone && strcmp(spec->zone, sim_zones[zone]) != 0)
        sim_violated(sim, "wrong_place: %s/%u in zone %s", task->job, task->index,
                     sim_zones[worker->zone]);
    struct start_survey survey = check_other_tasks(sim, worker, task);
    if (spec->spread && survey.in_zone > (spec->n_tasks + 1) / 2)
        sim_violated(sim, "wrong_place: %s has %u tasks in zone %s", task->job, survey.in_zone,
                     sim_zones[worker->zone]);
    if (survey.cpus > limit + ROUNDING)
        sim_violated(sim, "quota: %.1f CPUs in use", survey.cpus);
}

void sim_check_done(struct sim *sim, const struct sim_job *job) {
    if (job->spec.kind == RP_JOB_SERVICE)
        sim_violated(sim, "not_done: service %s is called done", job->spec.id);
    for (uint32_t i = 0; i < job->spec.n_tasks; i++)
        if (!job->done[i])
            sim_violated(sim, "not_done: %s/%u", job->spec.id, i);
}

static void check_cancelled(struct sim *sim) {
    for (int i = 0; i < sim->size.workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; is_rented(worker) && k < worker->n_tasks; k++) {
            const struct sim_task *task = &worker->tasks[k];
            const struct sim_job *job = &sim->jobs[task->job_index];
            if (sim_task_is_placed(task) && job->told_cancelled &&
                sim->now > job->cancelled_at + sim->size.cancel_s)
                sim_violated(sim, "ran_cancelled: %s/%u on %s", task->job, task->index,
                             worker->name);
        }
    }
}

/* The users' addition to the rules. */
static void check_known(struct sim *sim) {
    for (int i = 0; sim->faults_ended_at > 0 && i < sim->n_jobs; i++) {
        const struct sim_job *job = &sim->jobs[i];
        if (!job->accepted || job->cancel_asked || job->told_done)
            continue;
        double known = fmax(job->answered_at, sim->faults_ended_at);
        double since = fmax(job->accepted_at, sim->faults_ended_at);
        if (sim->now > known + ANSWERED_WITHIN_S)
            sim_violated(sim, "forgotten: %s, nothing answered for %.0f s", job->spec.id,
                         ANSWERED_WITHIN_S);
        if (!job->begun && sim->now > since + BEGUN_WITHIN_S)
            sim_violated(sim, "not_begun: %s of %u tasks", job->spec.id, job->spec.n_tasks);
    }
}

static void find_replicas(const struct sim *sim, int job, bool is_up[SIM_JOB_TASKS]) {
    for (int i = 0; i < sim->size.workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; is_rented(worker) && k < worker->n_tasks; k++)
            if (worker->tasks[k].job_index == job && worker->tasks[k].state == RP_TASK_RUNNING &&
                sim->now >= worker->paused_until)
                is_up[worker->tasks[k].index] = true;
    }
}

static void check_replica(struct sim *sim, struct sim_job *job, uint32_t task, bool is_up) {
    if (sim->now > job->accepted_at + 10)
        *(is_up ? &job->up_s : &job->down_s) += SIM_STEP_S * REPLICAS_EVERY;
    if (is_up)
        job->down_since[task] = 0;
    else if (job->down_since[task] <= 0)
        job->down_since[task] = sim->now;
    if (!is_up && !job->fails_always && sim->faults_ended_at > 0 &&
        sim->now > fmax(job->down_since[task], sim->faults_ended_at) + REPLICA_DOWN_S)
        sim_violated(sim, "replica_down: %s/%u", job->spec.id, task);
}

/* Replicas' time, counted from 10 s after acceptance; and, once the faults are over, how long one
 * may be down. */
static void check_replicas(struct sim *sim) {
    for (int i = 0; i < sim->n_jobs; i++) {
        struct sim_job *job = &sim->jobs[i];
        bool is_up[SIM_JOB_TASKS] = {false};
        if (job->spec.kind != RP_JOB_SERVICE || !job->accepted || job->cancel_asked)
            continue;
        find_replicas(sim, i, is_up);
        for (uint32_t task = 0; task < job->spec.n_tasks; task++)
            check_replica(sim, job, task, is_up[task]);
    }
}

void sim_check_served(struct sim *sim) {
    /* Two classes, the largest jobs (of SIM_LARGE tasks and more), and the guests. */
    unsigned asked[4] = {0};
    unsigned served[4] = {0};
    for (int i = 0; i < sim->n_jobs; i++) {
        const struct sim_job *job = &sim->jobs[i];
        if (!job->accepted || job->cancel_asked || job->spec.kind == RP_JOB_SERVICE)
            continue;
        int kinds[3] = {job->spec.kind == RP_JOB_GANG, job->spec.n_tasks >= SIM_LARGE ? 2 : -1,
                        has_limit(job) ? -1 : 3};
        for (int k = 0; k < 3; k++)
            if (kinds[k] >= 0) {
                asked[kinds[k]]++;
                served[kinds[k]] += job->told_done;
            }
    }
    for (int k = 0; k < 4; k++)
        if (served[k] * 2 < asked[k])
            sim_violated(sim, "not_served: %u of %u, kind %d", served[k], asked[k], k);
}

/* How long after its user's confirmation a job's start was still executed, at the worst. */
void sim_check_command(struct sim *sim, const struct sim_job *job) {
    if (job->told_cancelled)
        sim->start_after_cancel_s = fmax(sim->start_after_cancel_s, sim->now - job->cancelled_at);
}

/* An answer that renews a lease keeps alive what it doesn't stop: should the machine hang now, it
 * may go on until the lease's end, and by then cancelled work must be gone. */
void sim_check_lease_renewal(struct sim *sim, const struct sim_worker *worker) {
    if (sim->breakage == SIM_WORKERS_IGNORE_STOPS)
        return; /* that world is to break the rule itself */
    for (int k = 0; k < worker->n_tasks; k++) {
        const struct sim_job *job = &sim->jobs[worker->tasks[k].job_index];
        if (worker->tasks[k].state != RP_TASK_EXITED && job->told_cancelled &&
            worker->sent_at + sim->size.lease_s > job->cancelled_at + sim->size.cancel_s)
            sim_violated(sim, "kept_cancelled: %s/%u on %s, confirmed %.1f s ago",
                         worker->tasks[k].job, worker->tasks[k].index, worker->name,
                         sim->now - job->cancelled_at);
    }
}

/* A submission that can't run, or lacks a field, is refused by every node; a node that can't know
 * says so. */
void sim_check_invalid_request(struct sim *sim, const struct sim_event *event) {
    bool unknown = event->index == 404 && sim->breakage == SIM_UNKNOWN_IS_FOUND;
    int status = unknown || (event->index != 404 && sim->breakage == SIM_INVALID_IS_ACCEPTED)
                     ? 200
                     : event->status;
    if (status == 200 || status == 201)
        sim_violated(sim, "invented: an odd request gets %d instead of %d", status, event->index);
    else if (status != event->index && status != 503)
        sim_violated(sim, "odd: a request gets %d instead of %d", status, event->index);
    sim->n_invalid_refused += status == event->index;
}

/* What is on the machines, counted once for all jobs. */
struct capacity_survey {
    struct rp_resources capacity[SIM_WORKERS];
    bool placed[SIM_JOBS][SIM_JOB_TASKS];
    double cpus;
};

static void survey_machines(const struct sim *sim, struct capacity_survey *survey) {
    memset(survey, 0, sizeof *survey);
    for (int i = 0; i < sim->size.workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        if (!worker->used || !worker->alive || !worker->up)
            continue;
        survey->capacity[i] =
            (struct rp_resources){sim_types[worker->type].cpus, 0, sim_types[worker->type].memory};
        for (int k = 0; k < worker->n_tasks; k++) {
            const struct sim_task *task = &worker->tasks[k];
            const struct rp_resources *each = &sim->jobs[task->job_index].spec.task_resources;
            if (task->state == RP_TASK_EXITED)
                continue;
            survey->placed[task->job_index][task->index] = true;
            survey->capacity[i].cpus -= each->cpus;
            survey->capacity[i].memory_gb -= each->memory_gb;
            if (has_limit(&sim->jobs[task->job_index]))
                survey->cpus += each->cpus;
        }
        if (worker->reclaimed_at > 0 || sim->now < worker->paused_until)
            survey->capacity[i] = (struct rp_resources){0};
    }
}

/* How many of the job's tasks there is capacity for, in one zone if it must be. */
static unsigned tasks_that_fit(const struct sim *sim, const struct capacity_survey *survey,
                               const struct rp_job_spec *spec) {
    unsigned in_zone[2] = {0};
    for (int i = 0; i < sim->size.workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        bool allowed = worker->used && worker->alive && worker->up &&
                       (spec->spot || !worker->spot) &&
                       (!*spec->zone || strcmp(spec->zone, sim_zones[worker->zone]) == 0);
        if (allowed)
            in_zone[worker->zone] += (unsigned)fmax(
                0,
                floor(fmin(survey->capacity[i].cpus / spec->task_resources.cpus + 1e-9,
                           survey->capacity[i].memory_gb / spec->task_resources.memory_gb + 1e-9)));
    }
    unsigned both = in_zone[0] + in_zone[1];
    unsigned larger = in_zone[0] > in_zone[1] ? in_zone[0] : in_zone[1];
    return spec->one_zone ? larger : both;
}

/* Tasks of the job that must be placed together, or 0 if it doesn't wait for a place. */
static unsigned n_tasks_waiting(const struct capacity_survey *survey, const struct sim_job *job,
                                int index, unsigned *missing) {
    const struct rp_job_spec *spec = &job->spec;
    bool is_gang = spec->kind == RP_JOB_GANG;
    bool is_open = job->accepted && !job->cancel_asked && !job->told_done && !job->fails_always;
    *missing = 0;
    for (uint32_t i = 0; i < spec->n_tasks; i++)
        *missing += !job->done[i] && !survey->placed[index][i];
    if (!is_open || spec->kind == RP_JOB_SERVICE || *missing == 0)
        return 0;
    if (is_gang)
        return *missing == spec->n_tasks ? spec->n_tasks : 0;
    return 1;
}

static void check_waiting_job(struct sim *sim, const struct capacity_survey *survey, int index) {
    struct sim_job *job = &sim->jobs[index];
    const struct rp_job_spec *spec = &job->spec;
    double limit = has_limit(job) ? sim->settings[0].teams[0].cpus_max : INFINITY;
    unsigned missing;
    unsigned needed = n_tasks_waiting(survey, job, index, &missing);
    bool is_placeable = needed > 0 &&
                        survey->cpus + needed * spec->task_resources.cpus <= limit + ROUNDING &&
                        tasks_that_fit(sim, survey, spec) >= needed;
    if (!is_placeable)
        job->placeable_since = 0;
    else if (job->placeable_since <= 0)
        job->placeable_since = sim->now;
    else if (sim->now > fmax(job->placeable_since, sim->faults_ended_at) + PLACED_WITHIN_S)
        sim_violated(sim, "left_waiting: %s, %u tasks, though there is capacity", spec->id,
                     missing);
}

/* Once the faults are over, no job is left waiting while a machine that fits has capacity and its
 * team is under its limit. */
static void check_waiting(struct sim *sim) {
    struct capacity_survey *survey = malloc(sizeof *survey);
    if (!survey)
        abort();
    survey_machines(sim, survey);
    for (int i = 0; i < sim->n_jobs; i++)
        check_waiting_job(sim, survey, i);
    free(survey);
}

void sim_check_step(struct sim *sim) {
    check_cancelled(sim);
    check_known(sim);
    if (sim->steps % REPLICAS_EVERY == 0)
        check_replicas(sim);
    if (sim->faults_ended_at > 0 && sim->steps % WAITING_EVERY == 0)
        check_waiting(sim);
}
