#include "scheduler/gang_reservation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "scheduler/plan_resources.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"

#define FREE_WITHIN_S 60   /* a machine that isn't free by then isn't reserved for a gang */
#define RUN_TIME_SLACK_S 6 /* run times are estimates */
/* One of so many machines may be reserved for a gang of one task, once it has waited for so long.
 */
#define MACHINES_PER_SINGLE 8
#define SINGLE_WAIT_S 45
#define EXCLUSIVE_SHARE 0.5 /* a task that takes more than this part of a machine has it alone */

/* When a machine could start one of the gang's tasks. */
struct candidate {
    struct rp_machine *machine;
    double start_after_s; /* with the fetch */
    double free_after_s;  /* by its work's estimated ends, or once lower work is stopped */
    bool needs_preemption;
};

static int compare_starts(const void *a, const void *b) {
    const struct candidate *left = a;
    const struct candidate *right = b;
    return left->start_after_s < right->start_after_s ? -1
                                                      : left->start_after_s > right->start_after_s;
}

/* Whether the machine may be reserved for the job, whose tasks need one each. */
static bool may_reserve(const struct rp_scheduler *scheduler, const struct rp_job *job,
                        const struct rp_plan_machine *machine) {
    if (!machine->ref || machine->reserved_for || !rp_machine_is_usable(machine->ref) ||
        rp_reservation_job(scheduler, machine->ref))
        return false;
    return rp_cluster_is_allowed(scheduler->cluster, &job->spec, machine->type, machine->zone,
                                 machine->spot) &&
           !(rp_plan_share_of_machine(&job->spec.task_resources, &machine->capacity) <=
             EXCLUSIVE_SHARE);
}

static bool find_candidate(struct rp_scheduler *scheduler, const struct rp_job *job,
                           const struct rp_plan_machine *machine, struct candidate *candidate,
                           struct timespec now) {
    *candidate = (struct candidate){.machine = machine->ref};
    if (!may_reserve(scheduler, job, machine))
        return false;
    candidate->free_after_s = rp_plan_machine_fits_after_s(machine, &job->spec.task_resources);
    if (candidate->free_after_s > RP_FREE_SOON_S && job->spec.priority >= RP_PRIORITY_HIGH &&
        scheduler->settings->tuning.preemption &&
        rp_preemption_cost(scheduler, machine->ref, job, now) >= 0) {
        candidate->needs_preemption = true;
        candidate->free_after_s = RP_FREE_SOON_S;
    }
    bool has_image = rp_machine_has_image(machine->ref, job->image_hash);
    candidate->start_after_s =
        candidate->free_after_s + (has_image || machine->fetch_gb_per_s <= 0
                                       ? 0
                                       : job->spec.image_gb / machine->fetch_gb_per_s);
    return candidate->free_after_s < FREE_WITHIN_S;
}

/* The machines, of one zone if need be, that could start the gang soonest; false if there aren't
 * enough of them. They are the first of `candidates`. */
static bool find_soonest(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                         const struct rp_job *job, struct candidate *candidates,
                         struct timespec now) {
    size_t n_zones = job->spec.one_zone ? rp_scheduler_catalog(scheduler)->n_zones : 1;
    size_t n_wanted = job->spec.n_tasks;
    struct candidate *best = calloc(n_wanted, sizeof *best);
    bool is_found = false;
    for (size_t zone = 0; best && zone < n_zones; zone++) {
        size_t n = 0;
        for (size_t i = 0; i < input->plan_input.n_machines; i++)
            if (n_zones == 1 || input->machines[i].zone == (int)zone)
                n += find_candidate(scheduler, job, &input->machines[i], &candidates[n], now);
        qsort(candidates, n, sizeof *candidates, compare_starts);
        if (n < n_wanted || (is_found && candidates[n_wanted - 1].start_after_s >=
                                             best[n_wanted - 1].start_after_s))
            continue;
        memcpy(best, candidates, n_wanted * sizeof *best);
        is_found = true;
    }
    if (is_found)
        memcpy(candidates, best, n_wanted * sizeof *best);
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
        rp_reservation_make(scheduler, candidates[i].machine, job, longest_s + RUN_TIME_SLACK_S);
    }
    rp_info("machines reserved for gang: job=%s n_machines=%u free_s=%.0f", job->spec.id,
            job->spec.n_tasks, longest_s);
}

/* Whether the plan has room for all of the gang, either now or on machines still to come up. */
static bool is_served(const struct rp_cycle_input *input, const struct rp_plan *plan,
                      size_t group) {
    bool starts_now = true;
    bool waits_for_boot = false;
    size_t n_placements = 0;
    for (size_t p = 0; p < plan->n_placements; p++) {
        const struct rp_placement *placement = &plan->placements[p];
        if (placement->group != group)
            continue;
        const struct rp_machine *machine = rp_cycle_input_machine(input, placement);
        n_placements++;
        starts_now &= placement->starts_now;
        waits_for_boot |= !machine || machine->state == RP_MACHINE_BOOTING;
    }
    return n_placements > 0 && (starts_now || waits_for_boot);
}

static bool is_single(const struct rp_job *job) {
    return rp_reservation_is_exclusive(job) && job->spec.n_tasks == 1;
}

/* A task that takes a whole machine mostly finds one soon. Where it doesn't, on few machines that
 * smaller work of its priority keeps full, it waited for ever (incident f8f1). It needs no more
 * than one machine, so several such gangs can have one reserved at the same time. */
static void reserve_for_singles(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                                const struct rp_plan *plan, struct candidate *candidates,
                                struct timespec now) {
    size_t n_reserved = 0;
    size_t n_max = 1 + input->plan_input.n_machines / MACHINES_PER_SINGLE;
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        n_reserved += is_single(input->groups[g].ref) && input->groups[g].has_reservation;
    for (size_t g = 0; g < input->plan_input.n_groups && n_reserved < n_max; g++) {
        const struct rp_plan_group *group = &input->groups[g];
        struct rp_job *job = group->ref;
        bool has_waited =
            is_single(job) && !group->has_reservation && !(group->age_s < SINGLE_WAIT_S);
        if (!has_waited || is_served(input, plan, g) ||
            !rp_cluster_is_job_reconciled(scheduler->cluster, job) ||
            !find_soonest(scheduler, input, job, candidates, now))
            continue;
        reserve_machines(scheduler, job, candidates);
        n_reserved++;
    }
}

static bool goes_before(const struct rp_plan_group *group, const struct rp_plan_group *other) {
    return group->priority > other->priority ||
           (group->priority == other->priority && group->age_s > other->age_s);
}

/* The gang of several tasks that waits longest, of the highest priority, for machines that no plan
 * has for it; n_groups: there is none, or machines are reserved for one. */
static size_t next_gang(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                        const struct rp_plan *plan) {
    size_t n_groups = input->plan_input.n_groups;
    size_t chosen = n_groups;
    for (size_t g = 0; g < n_groups; g++) {
        const struct rp_plan_group *group = &input->groups[g];
        const struct rp_job *job = group->ref;
        if (!rp_reservation_is_exclusive(job) || job->spec.n_tasks == 1)
            continue;
        if (group->has_reservation)
            return n_groups; /* one at a time */
        bool is_first = chosen == n_groups || goes_before(group, &input->groups[chosen]);
        if (is_first && rp_cluster_is_job_reconciled(scheduler->cluster, job) &&
            !is_served(input, plan, g))
            chosen = g;
    }
    return chosen;
}

void rp_gang_reservation_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                             const struct rp_plan *plan, struct timespec now) {
    struct candidate *candidates = calloc(input->plan_input.n_machines + 1, sizeof *candidates);
    if (!candidates)
        return;
    size_t gang = next_gang(scheduler, input, plan);
    if (gang < input->plan_input.n_groups &&
        find_soonest(scheduler, input, input->groups[gang].ref, candidates, now))
        reserve_machines(scheduler, input->groups[gang].ref, candidates);
    reserve_for_singles(scheduler, input, plan, candidates, now);
    free(candidates);
}
