#include "scheduler/quota.h"

#include <stdlib.h>
#include "base/log.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"

#define EPSILON 1e-9 /* sums of resources are rounded */
#define STOPS_MAX 64 /* machines freed in one cycle */

/* What each team uses beyond its guarantee, without what is being stopped already. */
struct surplus {
    struct rp_resources *of;
};

static bool is_counted(const struct rp_allocation *allocation) {
    return allocation->state != RP_ALLOCATION_EXITED && !allocation->stop_requested &&
           allocation->job->team >= 0;
}

static bool fill_surplus(const struct rp_scheduler *scheduler, struct surplus *surplus) {
    surplus->of = calloc(scheduler->settings->n_teams + 1, sizeof *surplus->of);
    if (!surplus->of)
        return false;
    for (size_t i = 0; i < scheduler->settings->n_teams; i++) {
        surplus->of[i].cpus = -scheduler->settings->teams[i].cpus;
        surplus->of[i].gpus = -scheduler->settings->teams[i].gpus;
    }
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (is_counted(&machine->allocations[i]))
                rp_resources_add(&surplus->of[machine->allocations[i].job->team],
                                 &machine->allocations[i].job->spec.task_resources);
    return true;
}

/* Whether the task belongs to another team that stays at its guarantee without it. */
static bool may_stop(const struct surplus *surplus, const struct rp_allocation *allocation,
                     const struct rp_job *job) {
    if (!is_counted(allocation) || allocation->job->team == job->team ||
        allocation->job->spec.kind != RP_JOB_ARRAY)
        return false;
    const struct rp_resources *over = &surplus->of[allocation->job->team];
    const struct rp_resources *each = &allocation->job->spec.task_resources;
    return over->cpus >= each->cpus - EPSILON && over->gpus >= each->gpus - EPSILON;
}

/* What the machine has free once what is being stopped there has ended. */
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
           rp_cluster_is_allowed(scheduler->cluster, &job->spec, machine->type, machine->zone,
                                 machine->spot);
}

/* Tasks of the job that find room where other work is being stopped already. */
static uint32_t n_tasks_coming(const struct rp_scheduler *scheduler, const struct rp_job *job) {
    uint32_t tasks = 0;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next) {
        struct rp_resources now = rp_machine_free_resources(scheduler->cluster, machine);
        struct rp_resources soon = free_after_stops(scheduler, machine);
        if (!is_usable_for(scheduler, machine, job))
            continue;
        for (; rp_resources_fit(&job->spec.task_resources, &soon); tasks++)
            rp_resources_sub(&soon, &job->spec.task_resources);
        for (; tasks > 0 && rp_resources_fit(&job->spec.task_resources, &now); tasks--)
            rp_resources_sub(&now, &job->spec.task_resources);
    }
    return tasks;
}

/* Run time that is lost if one task of the job is given room on the machine; negative: it can't be.
 */
static double preemption_cost_s(const struct rp_scheduler *scheduler, const struct surplus *surplus,
                                const struct rp_machine *machine, const struct rp_job *job,
                                struct timespec now) {
    struct rp_resources available = free_after_stops(scheduler, machine);
    double cost = 0;
    if (rp_resources_fit(&job->spec.task_resources, &available))
        return -1; /* it has room already, or will have */
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

static void stop_tasks(struct rp_scheduler *scheduler, struct surplus *surplus,
                       struct rp_machine *machine, const struct rp_job *job) {
    struct rp_resources available = free_after_stops(scheduler, machine);
    for (size_t i = machine->n_allocations;
         i-- > 0 && !rp_resources_fit(&job->spec.task_resources, &available);) {
        struct rp_allocation *allocation = &machine->allocations[i];
        const struct rp_job_spec *spec = &allocation->job->spec;
        if (!may_stop(surplus, allocation, job))
            continue;
        rp_resources_add(&available, &spec->task_resources);
        surplus->of[allocation->job->team].cpus -= spec->task_resources.cpus;
        surplus->of[allocation->job->team].gpus -= spec->task_resources.gpus;
        if (allocation->state == RP_ALLOCATION_PLANNED) {
            rp_allocation_remove(scheduler->cluster, machine, i);
            continue;
        }
        rp_allocation_request_stop(allocation, rp_preemption_grace_s(spec));
        scheduler->n_preempted++;
    }
}

/* Frees the machine where least is lost; false when there is none. */
static bool free_cheapest_machine(struct rp_scheduler *scheduler, struct surplus *surplus,
                                  const struct rp_job *job, struct timespec now) {
    struct rp_machine *best = NULL;
    double best_cost = 0;
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        double cost = is_usable_for(scheduler, machine, job)
                          ? preemption_cost_s(scheduler, surplus, machine, job, now)
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

/* Tasks of the group that the plan has no room for now. */
static uint32_t n_tasks_missing(const struct rp_plan *plan, const struct rp_plan_group *group,
                                size_t index) {
    uint32_t placed = 0;
    for (size_t p = 0; p < plan->n_placements; p++)
        if (plan->placements[p].group == index && plan->placements[p].starts_now)
            placed += plan->placements[p].count;
    return placed < group->n_tasks ? group->n_tasks - placed : 0;
}

void rp_quota_enforce_guarantees(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                                 const struct rp_plan *plan, struct timespec now) {
    struct surplus surplus = {0};
    unsigned stops = 0;
    if (!scheduler->settings->tuning.preemption || !rp_cluster_is_reconciled(scheduler->cluster))
        return;
    for (size_t g = 0; g < input->plan_input.n_groups && stops < STOPS_MAX; g++) {
        const struct rp_plan_group *group = &input->groups[g];
        const struct rp_job *job = group->ref;
        if (!group->is_guaranteed || (group->kind == RP_JOB_GANG && job->spec.n_tasks > 1))
            continue;
        uint32_t n_missing = n_tasks_missing(plan, group, g);
        uint32_t n_coming = n_missing > 0 ? n_tasks_coming(scheduler, job) : 0;
        if (n_missing <= n_coming || (!surplus.of && !fill_surplus(scheduler, &surplus)))
            continue;
        unsigned before = stops;
        for (uint32_t i = n_coming; i < n_missing && stops < STOPS_MAX; i++) {
            if (!free_cheapest_machine(scheduler, &surplus, job, now))
                break;
            stops++;
        }
        if (stops > before)
            rp_info("guaranteed quota enforced: job=%s n_tasks=%u", job->spec.id, stops - before);
    }
    free(surplus.of);
}
