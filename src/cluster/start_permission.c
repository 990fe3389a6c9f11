#include "cluster/start_permission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "cluster/task_evidence.h"

/* Sums of tasks' resources are exact to this. */
#define QUOTA_TOLERANCE 1e-9

/* ---- reconciliation ---- */

/* Every start asks who is unreconciled: the machines that may be are listed anew only after one of
 * them has changed, and mostly there are none. */
static void refresh_unreconciled(struct rp_cluster *cluster) {
    if (!cluster->unreconciled_stale)
        return;
    cluster->n_unreconciled = 0;
    if (cluster->cap_unreconciled < cluster->n_machines) {
        free(cluster->unreconciled);
        cluster->cap_unreconciled = cluster->n_machines * 2;
        cluster->unreconciled = rp_alloc(cluster->cap_unreconciled, sizeof(struct rp_machine *));
    }
    for (struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        if (!rp_machine_has_told_all(machine))
            cluster->unreconciled[cluster->n_unreconciled++] = machine;
    cluster->unreconciled_stale = false;
}

bool rp_cluster_is_reconciled(struct rp_cluster *cluster) {
    refresh_unreconciled(cluster);
    for (size_t i = 0; i < cluster->n_unreconciled; i++)
        if (rp_machine_is_unreconciled(cluster->unreconciled[i], rp_loop_now(cluster->loop)))
            return false;
    return true;
}

/* The job's team; NULL: it has none. */
static const struct rp_team *team_of(const struct rp_cluster *cluster, const struct rp_job *job) {
    return job->team >= 0 ? &cluster->settings->teams[job->team] : NULL;
}

static bool has_limit(const struct rp_team *team) {
    return team && (team->cpus_max > 0 || team->gpus_max > 0);
}

/* Whether no task of the job can have been started there, since the job doesn't allow it. */
static bool is_kind_excluded(const struct rp_cluster *cluster, const struct rp_job *job,
                             const struct rp_machine *machine) {
    return machine->type >= 0 && machine->zone >= 0 &&
           !rp_cluster_is_allowed(cluster, &job->spec, machine->type, machine->zone, machine->spot);
}

bool rp_cluster_is_job_reconciled(struct rp_cluster *cluster, const struct rp_job *job) {
    /* Teams with a limit wait for all machines: what is there counts against it. */
    bool is_limited = has_limit(team_of(cluster, job));
    /* A job whose record is younger than our token was accepted after the last leader's lease had
     * ended: nobody but us can have started any of it. */
    bool is_young = job->accepted_revision > cluster->fencing_token;
    refresh_unreconciled(cluster);
    for (size_t i = 0; i < cluster->n_unreconciled; i++) {
        const struct rp_machine *machine = cluster->unreconciled[i];
        if (!rp_machine_is_unreconciled(machine, rp_loop_now(cluster->loop)))
            continue;
        bool has_none = is_young || is_kind_excluded(cluster, job, machine);
        if (is_limited || !has_none)
            return false;
    }
    return true;
}

/* ---- capacity and quota ---- */

struct rp_resources rp_machine_free_resources(const struct rp_cluster *cluster,
                                              const struct rp_machine *machine) {
    struct rp_resources capacity = {0};
    if (machine->type < 0)
        return capacity;
    capacity = cluster->catalog->types[machine->type].capacity;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (!rp_allocation_is_counted(allocation))
            continue;
        capacity.cpus -= allocation->job->spec.task_resources.cpus;
        capacity.gpus -= allocation->job->spec.task_resources.gpus;
        capacity.memory_gb -= allocation->job->spec.task_resources.memory_gb;
    }
    return capacity;
}

struct rp_resources rp_cluster_over_quota(const struct rp_cluster *cluster,
                                          const struct rp_job *job) {
    struct rp_resources over = {-1, -1, -1};
    const struct rp_team *team = team_of(cluster, job);
    /* Tasks of jobs that this leader can't know are counted against nobody's limit, so nobody with
     * a limit starts anything before they have exited. */
    if (!team || (has_limit(team) && cluster->n_with_unknown_live > 0))
        return (struct rp_resources){INFINITY, INFINITY, INFINITY};
    if (team->cpus_max > 0)
        over.cpus = cluster->team_cpus[job->team] + job->spec.task_resources.cpus - team->cpus_max -
                    QUOTA_TOLERANCE;
    if (team->gpus_max > 0)
        over.gpus = cluster->team_gpus[job->team] + job->spec.task_resources.gpus - team->gpus_max -
                    QUOTA_TOLERANCE;
    return over;
}

/* ---- what the job allows ---- */

/* Compared exactly, unlike what is left of a machine: nothing was added up. */
static bool exceeds(const struct rp_resources *need, const struct rp_resources *capacity) {
    return need->cpus > capacity->cpus || need->gpus > capacity->gpus ||
           need->memory_gb > capacity->memory_gb;
}

bool rp_cluster_is_allowed(const struct rp_cluster *cluster, const struct rp_job_spec *spec,
                           int type, int zone, bool spot) {
    if (type < 0 || zone < 0 || (spot && !spec->spot))
        return false;
    if (*spec->zone && strcmp(spec->zone, cluster->catalog->zones[zone]) != 0)
        return false;
    if (exceeds(&spec->task_resources, &cluster->catalog->types[type].capacity))
        return false;
    for (size_t i = 0; i < spec->n_types; i++)
        if (strcmp(spec->types[i], cluster->catalog->types[type].name) == 0)
            return true;
    return spec->n_types == 0;
}

/* Whether one_zone and spread allow one more task of the job in the zone. */
static bool is_zone_allowed(const struct rp_job *job, int zone) {
    if (job->spec.one_zone)
        for (int i = 0; i < RP_ZONES_MAX; i++)
            if (i != zone && job->zone_count[i])
                return false;
    return !job->spec.spread || job->zone_count[zone] + 1 <= (job->spec.n_tasks + 1) / 2;
}

/* ---- the permission ---- */

/* Whether the task is still to be done, and can't be anywhere. */
static bool is_task_startable(const struct rp_job *job, uint32_t task) {
    return job->state == RP_JOB_OPEN && task < job->spec.n_tasks &&
           rp_job_n_task_allocations(job, task) == 0 && !rp_job_is_task_done(job, task);
}

/* Whether the job may have a task on the machine. */
static bool is_machine_allowed(const struct rp_cluster *cluster, const struct rp_job *job,
                               const struct rp_machine *machine) {
    return rp_cluster_is_allowed(cluster, &job->spec, machine->type, machine->zone,
                                 machine->spot) &&
           is_zone_allowed(job, machine->zone);
}

bool rp_cluster_may_start(struct rp_cluster *cluster, const struct rp_job *job, uint32_t task,
                          const struct rp_machine *machine) {
    static const struct rp_released_resources none = {0};
    return rp_cluster_may_start_after_release(cluster, job, task, machine, &none);
}

bool rp_cluster_may_start_after_release(struct rp_cluster *cluster, const struct rp_job *job,
                                        uint32_t task, const struct rp_machine *machine,
                                        const struct rp_released_resources *freed) {
    if (!is_task_startable(job, task) || !rp_machine_is_usable(machine))
        return false;
    if (!rp_cluster_is_job_reconciled(cluster, job) || !is_machine_allowed(cluster, job, machine))
        return false;
    struct rp_resources capacity = rp_machine_free_resources(cluster, machine);
    struct rp_resources over = rp_cluster_over_quota(cluster, job);
    rp_resources_add(&capacity, &freed->capacity);
    bool is_within_quota = over.cpus <= freed->quota.cpus && over.gpus <= freed->quota.gpus;
    return rp_resources_fit(&job->spec.task_resources, &capacity) && is_within_quota;
}
