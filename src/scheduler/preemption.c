#include "scheduler/preemption.h"

#include <math.h>
#include <stdlib.h>
#include "base/log.h"
#include "scheduler/reservation.h"

/* If a fetch of the image takes at least this many seconds, a machine that holds the image is freed
 * instead. */
#define LONG_FETCH_S 15
#define GRACE_FACTOR 1.2 /* grace period: multiple of the time that a task declares for saving */
#define GRACE_MARGIN_S 1 /* seconds added to the grace period */
/* Assumed bound, in seconds, on the run time that a stopped task with checkpoints loses. */
#define PROGRESS_LOST_MAX_S 5.0

double rp_preemption_grace_s(const struct rp_job_spec *spec) {
    return spec->checkpoint_interval_s > 0 ? spec->save_duration_s * GRACE_FACTOR + GRACE_MARGIN_S
                                           : 0;
}

double rp_preemption_lost_s(const struct rp_allocation *allocation, struct timespec now) {
    double ran_s =
        rp_ts_is_zero(allocation->running_since) ? 0 : rp_ts_since(now, allocation->running_since);
    return allocation->job->spec.checkpoint_interval_s > 0 ? fmin(ran_s, PROGRESS_LOST_MAX_S)
                                                           : ran_s;
}

static bool may_preempt_task(const struct rp_allocation *allocation, enum rp_priority above) {
    return allocation->state != RP_ALLOCATION_EXITED &&
           allocation->job->spec.kind == RP_JOB_ARRAY && allocation->job->spec.priority < above;
}

double rp_preemption_cost_s(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                            const struct rp_job *job, struct timespec now) {
    struct rp_resources available = rp_machine_free_resources(scheduler->cluster, machine);
    double cost = 1;
    for (size_t i = 0;
         i < machine->n_allocations && !rp_resources_fit(&job->spec.task_resources, &available);
         i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (!may_preempt_task(allocation, job->spec.priority))
            continue;
        rp_resources_add(&available, &allocation->job->spec.task_resources);
        /* A task that is already being stopped adds no cost. Otherwise a repeated search would
         * choose one more machine instead of the same machine again. */
        if (!allocation->stop_requested)
            cost += rp_preemption_lost_s(allocation, now);
    }
    return rp_resources_fit(&job->spec.task_resources, &available) ? cost : -1;
}

/* The machine's free resources once the lower-priority tasks that are being stopped there have
 * ended. */
static struct rp_resources free_after_stops(const struct rp_scheduler *scheduler,
                                            const struct rp_machine *machine,
                                            const struct rp_job *job) {
    struct rp_resources available = rp_machine_free_resources(scheduler->cluster, machine);
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].stop_requested &&
            may_preempt_task(&machine->allocations[i], job->spec.priority))
            rp_resources_add(&available, &machine->allocations[i].job->spec.task_resources);
    return available;
}

void rp_preemption_free_machine(struct rp_scheduler *scheduler, struct rp_machine *machine,
                                const struct rp_job *job) {
    struct rp_resources available = free_after_stops(scheduler, machine, job);
    unsigned n_stopped = 0;
    double longest_grace_s = 0;
    for (size_t i = machine->n_allocations;
         i-- > 0 && !rp_resources_fit(&job->spec.task_resources, &available);) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->stop_requested || !may_preempt_task(allocation, job->spec.priority))
            continue;
        rp_resources_add(&available, &allocation->job->spec.task_resources);
        n_stopped++;
        if (allocation->state == RP_ALLOCATION_PLANNED) {
            rp_allocation_remove(scheduler->cluster, machine, i);
            continue;
        }
        double grace_s = rp_preemption_grace_s(&allocation->job->spec);
        rp_allocation_request_stop(allocation, grace_s);
        longest_grace_s = fmax(longest_grace_s, grace_s);
        scheduler->n_preempted++;
    }
    rp_reservation_make(scheduler, machine, job, longest_grace_s);
    if (n_stopped)
        rp_info("tasks preempted: job=%s machine=%s n_tasks=%u", job->spec.id, machine->name,
                n_stopped);
}

/* The machine on which freeing capacity for the job costs least; with `needs_image`, only among
 * the machines that hold its image. NULL if there is none. */
static struct rp_machine *cheapest_machine(struct rp_scheduler *scheduler,
                                           struct rp_activity *activity, const struct rp_job *job,
                                           bool needs_image, struct timespec now) {
    struct rp_machine *best = NULL;
    double best_cost = 0;
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        rp_step_budget_take(&activity->steps, 1 + machine->n_allocations);
        if (!rp_machine_is_usable(machine) || rp_reservation_job(scheduler, machine) ||
            (needs_image && !rp_machine_has_image(machine, job->image_hash)) ||
            !rp_cluster_is_kind_allowed(scheduler->cluster, &job->spec, machine->type,
                                        machine->zone, machine->spot))
            continue;
        double cost = rp_preemption_cost_s(scheduler, machine, job, now);
        if (cost >= 0 && (!best || cost < best_cost)) {
            best = machine;
            best_cost = cost;
        }
    }
    return best;
}

static bool may_preempt_for(const struct rp_job *job) {
    return job->spec.priority >= RP_PRIORITY_HIGH && job->spec.kind == RP_JOB_GANG &&
           job->spec.n_tasks == 1;
}

/* Whether the placement's task would wait for a long fetch of the job's image. */
static bool has_long_fetch(const struct rp_scheduler *scheduler, const struct rp_job *job,
                           const struct rp_machine *machine) {
    if (rp_machine_has_image(machine, job->image_hash))
        return false;
    double gb_per_s = rp_scheduler_catalog(scheduler)->types[machine->type].fetch_gb_per_s;
    return !(gb_per_s <= 0 || job->spec.image_gb / gb_per_s < LONG_FETCH_S);
}

void rp_preemption_prefer_image_holders(struct rp_scheduler *scheduler,
                                        const struct rp_cycle_input *input, struct rp_plan *plan,
                                        struct timespec now) {
    if (!scheduler->settings->tuning.preemption || !rp_cluster_is_reconciled(scheduler->cluster))
        return;
    /* The plan's placements are others in each cycle: a search that is not made for lack of steps
     * is not made later. Its gang starts where the plan places it. */
    struct rp_activity *activity = &scheduler->activities[RP_ACTIVITY_IMAGE_HOLDERS];
    (void)rp_activity_begin(activity, 0);
    for (size_t i = 0; i < plan->n_placements && !rp_step_budget_is_spent(&activity->steps); i++) {
        struct rp_placement *placement = &plan->placements[i];
        const struct rp_job *job = input->groups[placement->group].ref;
        const struct rp_machine *machine = rp_cycle_input_machine(input, placement);
        if (!placement->starts_now || !machine || !may_preempt_for(job) ||
            !has_long_fetch(scheduler, job, machine))
            continue;
        struct rp_machine *holder = cheapest_machine(scheduler, activity, job, true, now);
        if (!holder)
            continue;
        rp_preemption_free_machine(scheduler, holder, job);
        placement->count = 0;
    }
}

/* For each group, whether the plan starts it now, or on a machine that is free within
 * RP_FREE_SOON_S. The caller frees the array; NULL when memory is short. */
static bool *find_starting_soon(const struct rp_cycle_input *input, const struct rp_plan *plan) {
    bool *starts_soon = calloc(input->plan_input.n_groups + 1, sizeof *starts_soon);
    for (size_t p = 0; starts_soon && p < plan->n_placements; p++) {
        const struct rp_placement *placement = &plan->placements[p];
        const struct rp_machine *machine = rp_cycle_input_machine(input, placement);
        bool is_free_soon = machine && machine->state == RP_MACHINE_UP &&
                            input->machines[placement->machine].busy_s < RP_FREE_SOON_S;
        starts_soon[placement->group] |= placement->starts_now || is_free_soon;
    }
    return starts_soon;
}

void rp_preemption_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                       const struct rp_plan *plan, struct timespec now) {
    size_t n_groups = input->plan_input.n_groups;
    if (!scheduler->settings->tuning.preemption || !rp_cluster_is_reconciled(scheduler->cluster))
        return;
    bool *starts_soon = find_starting_soon(input, plan);
    struct rp_activity *activity = &scheduler->activities[RP_ACTIVITY_PREEMPTION];
    size_t first = rp_activity_begin(activity, n_groups);
    for (size_t i = 0; starts_soon && i < n_groups; i++) {
        size_t index = (first + i) % n_groups;
        const struct rp_job *job = input->groups[index].ref;
        if (input->groups[index].has_reservation || !may_preempt_for(job) || starts_soon[index])
            continue;
        if (rp_activity_must_stop(activity, index))
            break;
        struct rp_machine *machine = cheapest_machine(scheduler, activity, job, false, now);
        if (machine)
            rp_preemption_free_machine(scheduler, machine, job);
    }
    free(starts_soon);
}
