#include "scheduler/gang_reservation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "scheduler/plan_resources.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"

#define FREE_WITHIN_MAX_S 60 /* seconds within which a machine must be free to be reserved */
#define RUN_TIME_MARGIN_S 6  /* seconds added to a reservation, because run times are estimates */
/* At a time, one gang of one task may have a machine reserved, and one more gang for each
 * MACHINES_PER_SINGLE_TASK_GANG machines of the fleet, once the gang has waited for
 * SINGLE_TASK_GANG_WAIT_S seconds. */
#define MACHINES_PER_SINGLE_TASK_GANG 8
#define SINGLE_TASK_GANG_WAIT_S 45
/* Share of a machine above which a task is counted as needing the whole machine. */
#define EXCLUSIVE_SHARE_MIN 0.5

/* A machine that may be reserved, and when it could start one of the gang's tasks. */
struct candidate {
    struct rp_machine *machine;
    /* Seconds until a task could start there, including the fetch of the image. */
    double start_after_s;
    /* Seconds until the capacity is free: at the estimated ends of its work, or once lower-priority
     * work is stopped. */
    double free_after_s;
    bool needs_preemption;
};

static struct rp_activity *activity_of(struct rp_scheduler *scheduler) {
    return &scheduler->activities[RP_ACTIVITY_RESERVATION];
}

static int compare_starts(const void *a, const void *b) {
    const struct candidate *left = a;
    const struct candidate *right = b;
    return left->start_after_s < right->start_after_s ? -1
                                                      : left->start_after_s > right->start_after_s;
}

/* Whether the machine may be reserved for the job, whose tasks need one machine each. */
static bool may_reserve(const struct rp_scheduler *scheduler, const struct rp_job *job,
                        const struct rp_plan_machine *machine) {
    if (!machine->ref || machine->reserved_for || !rp_machine_is_usable(machine->ref) ||
        rp_reservation_job(scheduler, machine->ref))
        return false;
    return rp_cluster_is_kind_allowed(scheduler->cluster, &job->spec, machine->type, machine->zone,
                                      machine->spot) &&
           !(rp_plan_share_of_machine(&job->spec.task_resources, &machine->capacity) <=
             EXCLUSIVE_SHARE_MIN);
}

static bool find_candidate(struct rp_scheduler *scheduler, const struct rp_job *job,
                           const struct rp_plan_machine *machine, struct candidate *candidate,
                           struct timespec now) {
    *candidate = (struct candidate){.machine = machine->ref};
    rp_step_budget_take(&activity_of(scheduler)->steps, 1);
    if (!may_reserve(scheduler, job, machine))
        return false;
    /* Its releases are walked here, and its allocations to price preemption. */
    rp_step_budget_take(&activity_of(scheduler)->steps, 2 * candidate->machine->n_allocations);
    candidate->free_after_s = rp_plan_machine_fits_after_s(machine, &job->spec.task_resources);
    if (candidate->free_after_s > RP_FREE_SOON_S && job->spec.priority >= RP_PRIORITY_HIGH &&
        scheduler->settings->tuning.preemption &&
        rp_preemption_cost_s(scheduler, machine->ref, job, now) >= 0) {
        candidate->needs_preemption = true;
        candidate->free_after_s = RP_FREE_SOON_S;
    }
    bool has_image = rp_machine_has_image(machine->ref, job->image_hash);
    candidate->start_after_s =
        candidate->free_after_s + (has_image || machine->fetch_gb_per_s <= 0
                                       ? 0
                                       : job->spec.image_gb / machine->fetch_gb_per_s);
    return candidate->free_after_s < FREE_WITHIN_MAX_S;
}

/* Finds the machines that could start the gang soonest, all of one zone if the job requires it, and
 * puts them first in `candidates`. Returns false if there are not enough of them. */
static bool find_soonest_machines(struct rp_scheduler *scheduler,
                                  const struct rp_cycle_input *input, const struct rp_job *job,
                                  struct candidate *candidates, struct timespec now) {
    size_t n_zones = job->spec.one_zone ? rp_scheduler_catalog(scheduler)->n_zones : 1;
    size_t n_needed = job->spec.n_tasks;
    if (n_needed > input->plan_input.n_machines)
        return false;
    struct candidate *best = calloc(n_needed, sizeof *best);
    bool is_found = false;
    for (size_t zone = 0; best && zone < n_zones; zone++) {
        size_t n = 0;
        for (size_t i = 0; i < input->plan_input.n_machines; i++)
            if (n_zones == 1 || input->machines[i].zone == (int)zone)
                n += find_candidate(scheduler, job, &input->machines[i], &candidates[n], now);
        qsort(candidates, n, sizeof *candidates, compare_starts);
        if (n < n_needed || (is_found && candidates[n_needed - 1].start_after_s >=
                                             best[n_needed - 1].start_after_s))
            continue;
        memcpy(best, candidates, n_needed * sizeof *best);
        is_found = true;
    }
    if (is_found)
        memcpy(candidates, best, n_needed * sizeof *best);
    free(best);
    return is_found;
}

static void reserve_machines(struct rp_scheduler *scheduler, struct rp_job *job,
                             const struct candidate *candidates) {
    double longest_s = 0;
    for (uint32_t i = 0; i < job->spec.n_tasks; i++)
        longest_s = fmax(longest_s, candidates[i].free_after_s);
    for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
        if (candidates[i].needs_preemption)
            rp_preemption_free_machine(scheduler, candidates[i].machine, job);
        rp_reservation_make(scheduler, candidates[i].machine, job, longest_s + RUN_TIME_MARGIN_S);
    }
    rp_info("machines reserved for gang: job=%s n_machines=%u free_s=%.0f", job->spec.id,
            job->spec.n_tasks, longest_s);
}

/* What a plan does with a group. */
struct planned_group {
    bool has_placements;
    bool waits;          /* some tasks do not start now */
    bool waits_for_boot; /* some tasks wait for a machine to boot */
};

/* What the plan does with each group. The caller frees the array; NULL when memory is short. */
static struct planned_group *find_planned_groups(const struct rp_cycle_input *input,
                                                 const struct rp_plan *plan) {
    struct planned_group *planned = calloc(input->plan_input.n_groups + 1, sizeof *planned);
    for (size_t p = 0; planned && p < plan->n_placements; p++) {
        const struct rp_placement *placement = &plan->placements[p];
        const struct rp_machine *machine = rp_cycle_input_machine(input, placement);
        struct planned_group *group = &planned[placement->group];
        group->has_placements = true;
        group->waits |= !placement->starts_now;
        group->waits_for_boot |= !machine || machine->state == RP_MACHINE_BOOTING;
    }
    return planned;
}

/* Whether the plan has capacity for the whole gang, either now or on machines that have yet to
 * boot. */
static bool is_planned(const struct planned_group *group) {
    return group->has_placements && (!group->waits || group->waits_for_boot);
}

static bool is_single_task_gang(const struct rp_job *job) {
    return rp_reservation_is_exclusive(job) && job->spec.n_tasks == 1;
}

/* A task that takes a whole machine usually gets one soon. Without a reservation, it waits forever
 * on a fleet of few machines that smaller work of its priority keeps full (incident f8f1). It needs
 * only one machine, so several such gangs can have one reserved at the same time. */
static void reserve_for_single_task_gangs(struct rp_scheduler *scheduler,
                                          const struct rp_cycle_input *input,
                                          const struct planned_group *planned,
                                          struct candidate *candidates, struct timespec now) {
    struct rp_activity *activity = activity_of(scheduler);
    size_t n_reserved = 0;
    size_t n_reserved_max = 1 + input->plan_input.n_machines / MACHINES_PER_SINGLE_TASK_GANG;
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        n_reserved += is_single_task_gang(input->groups[g].ref) && input->groups[g].has_reservation;
    size_t n_groups = input->plan_input.n_groups;
    size_t first = rp_activity_begin(activity, n_groups);
    for (size_t i = 0; i < n_groups && n_reserved < n_reserved_max; i++) {
        size_t index = (first + i) % n_groups;
        const struct rp_plan_group *group = &input->groups[index];
        struct rp_job *job = group->ref;
        bool has_waited_long = is_single_task_gang(job) && !group->has_reservation &&
                               !(group->age_s < SINGLE_TASK_GANG_WAIT_S);
        if (!has_waited_long || is_planned(&planned[index]))
            continue;
        if (rp_activity_must_stop(activity, index))
            break;
        if (!rp_cluster_is_job_reconciled(scheduler->cluster, job) ||
            !find_soonest_machines(scheduler, input, job, candidates, now))
            continue;
        reserve_machines(scheduler, job, candidates);
        n_reserved++;
    }
}

static bool has_precedence_over(const struct rp_plan_group *group,
                                const struct rp_plan_group *other) {
    return group->priority > other->priority ||
           (group->priority == other->priority && group->age_s > other->age_s);
}

/* The gang of several tasks with the highest priority, and of these the oldest, that the plan
 * has no capacity for. Returns n_groups if there is none, or if machines are reserved for one
 * already. */
static size_t choose_gang(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                          const struct planned_group *planned) {
    size_t n_groups = input->plan_input.n_groups;
    size_t chosen = n_groups;
    for (size_t g = 0; g < n_groups; g++) {
        const struct rp_plan_group *group = &input->groups[g];
        const struct rp_job *job = group->ref;
        if (!rp_reservation_is_exclusive(job) || job->spec.n_tasks == 1)
            continue;
        if (group->has_reservation)
            return n_groups; /* machines are reserved for one gang at a time */
        bool is_first = chosen == n_groups || has_precedence_over(group, &input->groups[chosen]);
        if (is_first && rp_cluster_is_job_reconciled(scheduler->cluster, job) &&
            !is_planned(&planned[g]))
            chosen = g;
    }
    return chosen;
}

void rp_gang_reservation_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                             const struct rp_plan *plan, struct timespec now) {
    struct candidate *candidates = calloc(input->plan_input.n_machines + 1, sizeof *candidates);
    struct planned_group *planned = find_planned_groups(input, plan);
    if (!candidates || !planned)
        goto out;
    size_t gang = choose_gang(scheduler, input, planned);
    if (gang < input->plan_input.n_groups &&
        find_soonest_machines(scheduler, input, input->groups[gang].ref, candidates, now))
        reserve_machines(scheduler, input->groups[gang].ref, candidates);
    reserve_for_single_task_gangs(scheduler, input, planned, candidates, now);
out:
    free(planned);
    free(candidates);
}
