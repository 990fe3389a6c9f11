#include "scheduler/quota.h"

#include <stdlib.h>
#include "base/log.h"
#include "scheduler/plan_resources.h"
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

static struct rp_activity *activity_of(struct rp_scheduler *scheduler) {
    return &scheduler->activities[RP_ACTIVITY_QUOTA];
}

/* Counts one look at the machine and its allocations. */
static void take_steps(struct rp_scheduler *scheduler, const struct rp_machine *machine) {
    rp_step_budget_take(&activity_of(scheduler)->steps, 1 + machine->n_allocations);
}

static bool is_usable_for(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                          const struct rp_job *job) {
    return rp_machine_is_usable(machine) && !rp_reservation_job(scheduler, machine) &&
           rp_cluster_is_kind_allowed(scheduler->cluster, &job->spec, machine->type, machine->zone,
                                      machine->spot);
}

/* The number of the job's tasks that fit where other work is already being stopped, without the
 * tasks that fit there now. */
static uint32_t n_tasks_with_pending_capacity(struct rp_scheduler *scheduler,
                                              const struct rp_job *job) {
    const struct rp_resources *need = &job->spec.task_resources;
    uint32_t tasks = 0;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next) {
        if (!is_usable_for(scheduler, machine, job))
            continue;
        struct rp_resources free_now = rp_machine_free_resources(scheduler->cluster, machine);
        struct rp_resources free_soon = free_after_stops(scheduler, machine);
        take_steps(scheduler, machine);
        tasks += rp_plan_n_fitting(need, &free_soon, RP_TASKS_MAX);
        uint32_t n_now = rp_plan_n_fitting(need, &free_now, RP_TASKS_MAX);
        tasks -= n_now < tasks ? n_now : tasks;
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
        take_steps(scheduler, machine);
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

/* For each group, the number of its tasks that the plan does not start now. The caller frees the
 * array; NULL when memory is short. */
static uint32_t *count_not_starting(const struct rp_cycle_input *input,
                                    const struct rp_plan *plan) {
    size_t n_groups = input->plan_input.n_groups;
    uint32_t *n_not_starting = calloc(n_groups + 1, sizeof *n_not_starting);
    if (!n_not_starting)
        return NULL;
    for (size_t g = 0; g < n_groups; g++)
        n_not_starting[g] = input->groups[g].n_tasks;
    for (size_t p = 0; p < plan->n_placements; p++) {
        const struct rp_placement *placement = &plan->placements[p];
        uint32_t *n = &n_not_starting[placement->group];
        if (placement->starts_now)
            *n -= placement->count < *n ? placement->count : *n;
    }
    return n_not_starting;
}

/* Frees machines for the job's tasks that have neither capacity now nor pending capacity; at most
 * `n_max` machines. Returns the number of freed machines. */
static unsigned free_machines_for(struct rp_scheduler *scheduler, struct team_surplus *surplus,
                                  const struct rp_job *job, uint32_t n_not_starting, unsigned n_max,
                                  struct timespec now) {
    unsigned n_freed = 0;
    uint32_t n_pending = n_not_starting > 0 ? n_tasks_with_pending_capacity(scheduler, job) : 0;
    if (n_not_starting <= n_pending || (!surplus->by_team && !init_surplus(scheduler, surplus)))
        return 0;
    while (n_freed < n_max && n_freed < n_not_starting - n_pending &&
           free_cheapest_machine(scheduler, surplus, job, now)) {
        n_freed++;
        if (rp_step_budget_is_spent(&activity_of(scheduler)->steps))
            break;
    }
    if (n_freed > 0)
        rp_info("guaranteed quota enforced: job=%s n_tasks=%u", job->spec.id, n_freed);
    return n_freed;
}

void rp_quota_enforce_guarantees(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                                 const struct rp_plan *plan, struct timespec now) {
    struct team_surplus surplus = {0};
    size_t n_groups = input->plan_input.n_groups;
    unsigned n_freed = 0;
    if (!scheduler->settings->tuning.preemption || !rp_cluster_is_reconciled(scheduler->cluster))
        return;
    uint32_t *n_not_starting = count_not_starting(input, plan);
    size_t first = rp_activity_begin(activity_of(scheduler), n_groups);
    for (size_t i = 0; n_not_starting && i < n_groups && n_freed < FREED_MACHINES_MAX; i++) {
        size_t index = (first + i) % n_groups;
        const struct rp_plan_group *group = &input->groups[index];
        const struct rp_job *job = group->ref;
        if (rp_activity_must_stop(activity_of(scheduler), index))
            break;
        if (!group->is_guaranteed || (group->kind == RP_JOB_GANG && job->spec.n_tasks > 1))
            continue;
        n_freed += free_machines_for(scheduler, &surplus, job, n_not_starting[index],
                                     FREED_MACHINES_MAX - n_freed, now);
    }
    free(n_not_starting);
    free(surplus.by_team);
}
