#include "scheduler/quota.h"

#include <stdlib.h>
#include "base/log.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"

#define RESOURCE_TOLERANCE 1e-9 /* rounding error allowed in sums of resources */
/* Upper bound of the number of tasks for which a machine is freed in one cycle. */
#define FREED_MACHINES_MAX 64

/* For each team, the resources that it uses beyond its guaranteed quota, without tasks that are
 * being stopped; negative while the team uses less than the quota. */
struct team_surplus {
    struct rp_resources *by_team;
};

static bool is_counted(const struct rp_allocation *allocation) {
    return allocation->state != RP_ALLOCATION_EXITED && !allocation->stop_requested &&
           allocation->job->team >= 0;
}

static bool init_surplus(const struct rp_scheduler *scheduler, struct team_surplus *surplus) {
    surplus->by_team = calloc(scheduler->settings->n_teams + 1, sizeof *surplus->by_team);
    if (!surplus->by_team)
        return false;
    for (size_t i = 0; i < scheduler->settings->n_teams; i++) {
        surplus->by_team[i].cpus = -scheduler->settings->teams[i].cpus;
        surplus->by_team[i].gpus = -scheduler->settings->teams[i].gpus;
    }
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (is_counted(&machine->allocations[i]))
                rp_resources_add(&surplus->by_team[machine->allocations[i].job->team],
                                 &machine->allocations[i].job->spec.task_resources);
    return true;
}

/* Whether the task may be stopped for the job: it is an array task of another team, which still
 * uses its whole guaranteed quota without the task. */
static bool may_stop(const struct team_surplus *surplus, const struct rp_allocation *allocation,
                     const struct rp_job *job) {
    if (!is_counted(allocation) || allocation->job->team == job->team ||
        allocation->job->spec.kind != RP_JOB_ARRAY)
        return false;
    const struct rp_resources *surplus_of_owner = &surplus->by_team[allocation->job->team];
    const struct rp_resources *need = &allocation->job->spec.task_resources;
    return surplus_of_owner->cpus >= need->cpus - RESOURCE_TOLERANCE &&
           surplus_of_owner->gpus >= need->gpus - RESOURCE_TOLERANCE;
}

/* The machine's free resources once the tasks that are being stopped there have ended. */
static struct rp_resources free_after_stops(const struct rp_scheduler *scheduler,
                                            const struct rp_machine *machine) {
    struct rp_resources available = rp_machine_free_resources(scheduler->cluster, machine);
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].state != RP_ALLOCATION_EXITED &&
            machine->allocations[i].stop_requested)
            rp_resources_add(&available, &machine->allocations[i].job->spec.task_resources);
    return available;
}

static bool is_usable_for(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                          const struct rp_job *job) {
    return rp_machine_is_usable(machine) && !rp_reservation_job(scheduler, machine) &&
           rp_cluster_is_kind_allowed(scheduler->cluster, &job->spec, machine->type, machine->zone,
                                      machine->spot);
}

/* The number of the job's tasks that fit where other work is already being stopped, without the
 * tasks that fit there now. */
static uint32_t n_tasks_with_pending_capacity(const struct rp_scheduler *scheduler,
                                              const struct rp_job *job) {
    uint32_t tasks = 0;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next) {
        struct rp_resources free_now = rp_machine_free_resources(scheduler->cluster, machine);
        struct rp_resources free_soon = free_after_stops(scheduler, machine);
        if (!is_usable_for(scheduler, machine, job))
            continue;
        for (; rp_resources_fit(&job->spec.task_resources, &free_soon); tasks++)
            rp_resources_sub(&free_soon, &job->spec.task_resources);
        for (; tasks > 0 && rp_resources_fit(&job->spec.task_resources, &free_now); tasks--)
            rp_resources_sub(&free_now, &job->spec.task_resources);
    }
    return tasks;
}

/* Seconds of run time that are lost if capacity for one task of the job is freed on the machine;
 * negative if it cannot be freed or need not be. */
static double stop_cost_s(const struct rp_scheduler *scheduler, const struct team_surplus *surplus,
                          const struct rp_machine *machine, const struct rp_job *job,
                          struct timespec now) {
    struct rp_resources available = free_after_stops(scheduler, machine);
    double cost = 0;
    if (rp_resources_fit(&job->spec.task_resources, &available))
        return -1; /* the task fits already, or will once the pending stops have ended */
    for (size_t i = 0;
         i < machine->n_allocations && !rp_resources_fit(&job->spec.task_resources, &available);
         i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (!may_stop(surplus, allocation, job))
            continue;
        cost += rp_preemption_lost_s(allocation, now);
        rp_resources_add(&available, &allocation->job->spec.task_resources);
    }
    return rp_resources_fit(&job->spec.task_resources, &available) ? cost : -1;
}

static void stop_tasks(struct rp_scheduler *scheduler, struct team_surplus *surplus,
                       struct rp_machine *machine, const struct rp_job *job) {
    struct rp_resources available = free_after_stops(scheduler, machine);
    for (size_t i = machine->n_allocations;
         i-- > 0 && !rp_resources_fit(&job->spec.task_resources, &available);) {
        struct rp_allocation *allocation = &machine->allocations[i];
        const struct rp_job_spec *spec = &allocation->job->spec;
        if (!may_stop(surplus, allocation, job))
            continue;
        rp_resources_add(&available, &spec->task_resources);
        surplus->by_team[allocation->job->team].cpus -= spec->task_resources.cpus;
        surplus->by_team[allocation->job->team].gpus -= spec->task_resources.gpus;
        if (allocation->state == RP_ALLOCATION_PLANNED) {
            rp_allocation_remove(scheduler->cluster, machine, i);
            continue;
        }
        rp_allocation_request_stop(allocation, rp_preemption_grace_s(spec));
        scheduler->n_preempted++;
    }
}

/* Frees capacity for one task of the job on the machine where the least run time is lost. Returns
 * false when there is no such machine. */
static bool free_cheapest_machine(struct rp_scheduler *scheduler, struct team_surplus *surplus,
                                  const struct rp_job *job, struct timespec now) {
    struct rp_machine *best = NULL;
    double best_cost = 0;
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        double cost = is_usable_for(scheduler, machine, job)
                          ? stop_cost_s(scheduler, surplus, machine, job, now)
                          : -1;
        if (cost >= 0 && (!best || cost < best_cost)) {
            best = machine;
            best_cost = cost;
        }
    }
    if (best)
        stop_tasks(scheduler, surplus, best, job);
    return best;
}

/* The number of the group's tasks that the plan does not start now. */
static uint32_t n_tasks_not_starting(const struct rp_plan *plan, const struct rp_plan_group *group,
                                     size_t index) {
    uint32_t placed = 0;
    for (size_t p = 0; p < plan->n_placements; p++)
        if (plan->placements[p].group == index && plan->placements[p].starts_now)
            placed += plan->placements[p].count;
    return placed < group->n_tasks ? group->n_tasks - placed : 0;
}

void rp_quota_enforce_guarantees(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                                 const struct rp_plan *plan, struct timespec now) {
    struct team_surplus surplus = {0};
    unsigned n_freed = 0;
    if (!scheduler->settings->tuning.preemption || !rp_cluster_is_reconciled(scheduler->cluster))
        return;
    for (size_t g = 0; g < input->plan_input.n_groups && n_freed < FREED_MACHINES_MAX; g++) {
        const struct rp_plan_group *group = &input->groups[g];
        const struct rp_job *job = group->ref;
        if (!group->is_guaranteed || (group->kind == RP_JOB_GANG && job->spec.n_tasks > 1))
            continue;
        uint32_t n_not_starting = n_tasks_not_starting(plan, group, g);
        uint32_t n_pending = n_not_starting > 0 ? n_tasks_with_pending_capacity(scheduler, job) : 0;
        if (n_not_starting <= n_pending || (!surplus.by_team && !init_surplus(scheduler, &surplus)))
            continue;
        unsigned n_freed_before = n_freed;
        for (uint32_t i = n_pending; i < n_not_starting && n_freed < FREED_MACHINES_MAX; i++) {
            if (!free_cheapest_machine(scheduler, &surplus, job, now))
                break;
            n_freed++;
        }
        if (n_freed > n_freed_before)
            rp_info("guaranteed quota enforced: job=%s n_tasks=%u", job->spec.id,
                    n_freed - n_freed_before);
    }
    free(surplus.by_team);
}
