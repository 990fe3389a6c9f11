#include "cluster/start_permission.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "cluster/task_evidence.h"

/* Rounding error of sums of tasks' resources, in CPUs and GPUs, that a quota check tolerates. */
#define QUOTA_TOLERANCE 1e-9

/* ---- reconciliation ---- */

/* Rebuilds the list of machines that may be unreconciled. Every start checks this list, so the list
 * is rebuilt only after a machine has changed; it is usually empty. */
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
        if (!rp_machine_has_complete_task_list(machine))
            cluster->unreconciled[cluster->n_unreconciled++] = machine;
    cluster->unreconciled_stale = false;
}

bool rp_cluster_is_reconciled(struct rp_cluster *cluster) {
    refresh_unreconciled(cluster);
    return cluster->n_unreconciled == 0;
}

/* The job's team; NULL if the job has none. */
static const struct rp_team *team_of(const struct rp_cluster *cluster, const struct rp_job *job) {
    return job->team >= 0 ? &cluster->settings->teams[job->team] : NULL;
}

static bool has_limit(const struct rp_team *team) {
    return team && (team->cpus_max > 0 || team->gpus_max > 0);
}

/* Whether the job excludes the machine's type, zone or kind, so that no task of the job can have
 * been started there. */
static bool is_kind_excluded(const struct rp_cluster *cluster, const struct rp_job *job,
                             const struct rp_machine *machine) {
    return machine->type >= 0 && machine->zone >= 0 &&
           !rp_cluster_is_kind_allowed(cluster, &job->spec, machine->type, machine->zone,
                                       machine->spot);
}

bool rp_cluster_is_job_reconciled(struct rp_cluster *cluster, const struct rp_job *job) {
    /* A job of a team with a limit waits until all machines are reconciled, since any task on them
     * may count against the limit. */
    bool is_limited = has_limit(team_of(cluster, job));
    /* A job whose record is newer than this leader's fencing token was accepted after the previous
     * leader's lease had ended: no other leader can have started any of its tasks. */
    bool is_newer_than_token = job->accepted_revision > cluster->fencing_token;
    refresh_unreconciled(cluster);
    for (size_t i = 0; i < cluster->n_unreconciled; i++) {
        const struct rp_machine *machine = cluster->unreconciled[i];
        bool has_none = is_newer_than_token || is_kind_excluded(cluster, job, machine);
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
    /* Ended tasks are listed in reports until the worker forgets them. */
    capacity.task_slots -= (double)(machine->n_allocations + machine->n_unknown_tasks);
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

struct rp_resources rp_cluster_quota_excess(const struct rp_cluster *cluster,
                                            const struct rp_job *job) {
    struct rp_resources excess = {-1, -1, -1};
    const struct rp_team *team = team_of(cluster, job);
    /* Tasks of unknown jobs are counted against no team's limit. Teams with a limit therefore start
     * no task until these tasks have exited: otherwise a team could exceed its limit. */
    if (!team || (has_limit(team) && cluster->n_machines_with_unknown_tasks > 0))
        return (struct rp_resources){INFINITY, INFINITY, INFINITY};
    if (team->cpus_max > 0)
        excess.cpus = cluster->team_cpus[job->team] + job->spec.task_resources.cpus -
                      team->cpus_max - QUOTA_TOLERANCE;
    if (team->gpus_max > 0)
        excess.gpus = cluster->team_gpus[job->team] + job->spec.task_resources.gpus -
                      team->gpus_max - QUOTA_TOLERANCE;
    return excess;
}

bool rp_cluster_leaves_task_slots(const struct rp_machine *machine, const struct rp_job *job,
                                  const struct rp_resources *available) {
    size_t n_listed = 0;
    if (rp_resources_takes_share(&job->spec.task_resources, available))
        return true;
    for (size_t i = 0; i < machine->n_allocations; i++)
        n_listed += machine->allocations[i].job == job;
    return rp_resources_n_small_tasks(available->task_slots, (double)n_listed) >= 1;
}

/* ---- constraints of the job ---- */

/* Compares exactly: unlike a machine's free resources, neither side is a sum. */
static bool exceeds(const struct rp_resources *need, const struct rp_resources *capacity) {
    return need->cpus > capacity->cpus || need->gpus > capacity->gpus ||
           need->memory_gb > capacity->memory_gb;
}

bool rp_cluster_is_kind_allowed(const struct rp_cluster *cluster, const struct rp_job_spec *spec,
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

bool rp_cluster_is_zone_allowed(const struct rp_job *job, int zone) {
    if (job->spec.one_zone)
        for (int i = 0; i < RP_ZONES_MAX; i++)
            if (i != zone && job->n_allocated_by_zone[i])
                return false;
    return !job->spec.spread || job->n_allocated_by_zone[zone] + 1 <= (job->spec.n_tasks + 1) / 2;
}

/* ---- the permission ---- */

/* Whether the task is not done yet and cannot be on any machine. */
static bool is_task_startable(const struct rp_job *job, uint32_t task) {
    return job->state == RP_JOB_OPEN && task < job->spec.n_tasks &&
           rp_job_n_task_allocations(job, task) == 0 && !rp_job_is_task_done(job, task);
}

/* Whether the job may have a task on the machine. */
static bool is_machine_allowed(const struct rp_cluster *cluster, const struct rp_job *job,
                               const struct rp_machine *machine) {
    return rp_cluster_is_kind_allowed(cluster, &job->spec, machine->type, machine->zone,
                                      machine->spot) &&
           rp_cluster_is_zone_allowed(job, machine->zone);
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
    struct rp_resources excess = rp_cluster_quota_excess(cluster, job);
    rp_resources_add(&capacity, &freed->capacity);
    bool is_within_quota = excess.cpus <= freed->quota.cpus && excess.gpus <= freed->quota.gpus;
    return rp_resources_fit(&job->spec.task_resources, &capacity) && is_within_quota &&
           rp_cluster_leaves_task_slots(machine, job, &capacity);
}
