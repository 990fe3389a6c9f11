#include "scheduler/replica_preemption.h"

#include <math.h>
#include <stdlib.h>
#include "base/memory.h"
#include "scheduler/preemption.h"

/* On a machine with more allocations, nothing is preempted for a replica. */
#define ALLOCATIONS_MAX 1024
/* Cost, in seconds, that is added for each level of priority, so that work of the lowest priority
 * is preempted first. */
#define COST_PER_PRIORITY_S 1000.0
/* Cost, in seconds, of stopping a started task, in addition to the run time that is lost. */
#define STOP_COST_S 1

static bool is_lower_priority(const struct rp_allocation *allocation, const struct rp_job *job) {
    return allocation->job->spec.kind == RP_JOB_ARRAY &&
           allocation->job->spec.priority < job->spec.priority;
}

bool rp_replica_preemption_is_ending(const struct rp_allocation *allocation) {
    return allocation->state == RP_ALLOCATION_SEEN && allocation->stop_requested &&
           allocation->grace_s <= 0;
}

static bool may_preempt_task(const struct rp_allocation *allocation, const struct rp_job *job) {
    return is_lower_priority(allocation, job) && !allocation->stop_requested &&
           (allocation->state == RP_ALLOCATION_SEEN || allocation->state == RP_ALLOCATION_PLANNED);
}

/* Seconds of run time that are lost if the task is stopped, plus STOP_COST_S; 0 for a task whose
 * start is only planned. */
static double lost_work_s(const struct rp_allocation *allocation, struct timespec now) {
    double ran_s =
        rp_ts_is_zero(allocation->running_since) ? 0 : rp_ts_since(now, allocation->running_since);
    double checkpoint_interval_s = allocation->job->spec.checkpoint_interval_s;
    return allocation->state == RP_ALLOCATION_PLANNED
               ? 0
               : STOP_COST_S +
                     (checkpoint_interval_s > 0 ? fmin(ran_s, checkpoint_interval_s) : ran_s);
}

/* A stopped task keeps its task slot, because reports list it until the worker forgets it. */
static void add_release(struct rp_released_resources *freed, const struct rp_allocation *allocation,
                        const struct rp_job *job) {
    rp_resources_add(&freed->capacity, &allocation->job->spec.task_resources);
    freed->capacity.task_slots = 0;
    if (allocation->job->team == job->team)
        rp_resources_add(&freed->quota, &allocation->job->spec.task_resources);
}

/* The resources that pending stops on the machine release before anything is started there now. */
static struct rp_released_resources released_by_stops(const struct rp_machine *machine,
                                                      const struct rp_job *job) {
    struct rp_released_resources freed = {0};
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (rp_replica_preemption_is_ending(&machine->allocations[i]))
            add_release(&freed, &machine->allocations[i], job);
    return freed;
}

enum lacking_resource { LACKS_NOTHING, LACKS_CAPACITY, LACKS_QUOTA };

/* What one more task of the job still lacks on the machine, given its free resources, the released
 * resources, and by how much the task would exceed its team's limit. */
static enum lacking_resource lacking_resource(const struct rp_machine *machine,
                                              const struct rp_job *job,
                                              const struct rp_resources *free_resources,
                                              const struct rp_resources *over_limit,
                                              const struct rp_released_resources *freed) {
    struct rp_resources available = *free_resources;
    rp_resources_add(&available, &freed->capacity);
    if (!rp_resources_fit(&job->spec.task_resources, &available) ||
        !rp_cluster_leaves_task_slots(machine, job, &available))
        return LACKS_CAPACITY;
    bool fits_quota =
        over_limit->cpus <= freed->quota.cpus && over_limit->gpus <= freed->quota.gpus;
    return fits_quota ? LACKS_NOTHING : LACKS_QUOTA;
}

static enum lacking_resource find_lacking_resource(const struct rp_services *services,
                                                   const struct rp_machine *machine,
                                                   const struct rp_job *job,
                                                   const struct rp_released_resources *freed) {
    struct rp_resources free_resources = rp_machine_free_resources(services->cluster, machine);
    struct rp_resources over_limit = rp_cluster_quota_excess(services->cluster, job);
    return lacking_resource(machine, job, &free_resources, &over_limit, freed);
}

/* The cost by which the tasks of one machine are compared. */
static double preemption_cost(const struct rp_allocation *allocation, struct timespec now) {
    return lost_work_s(allocation, now) +
           COST_PER_PRIORITY_S * (double)allocation->job->spec.priority;
}

/* The task whose preemption costs least; if quota is lacking, only among the tasks of the job's own
 * team. NULL if there is none. */
static struct rp_allocation *cheapest_task(struct rp_machine *machine, const struct rp_job *job,
                                           enum lacking_resource lacks, struct timespec now) {
    struct rp_allocation *best = NULL;
    double best_cost = 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (!may_preempt_task(allocation, job) ||
            (lacks == LACKS_QUOTA && allocation->job->team != job->team))
            continue;
        double cost = preemption_cost(allocation, now);
        if (!best || cost < best_cost) {
            best = allocation;
            best_cost = cost;
        }
    }
    return best;
}

/* A task that may be preempted. */
struct candidate {
    const struct rp_allocation *allocation;
    double cost;
};

/* Of two tasks of equal cost, the one with the lower index is preempted first. */
static int compare_candidates(const void *a, const void *b) {
    const struct candidate *left = a;
    const struct candidate *right = b;
    if (left->cost != right->cost)
        return left->cost < right->cost ? -1 : 1;
    return left->allocation < right->allocation ? -1 : left->allocation > right->allocation;
}

static size_t list_candidates(const struct rp_machine *machine, const struct rp_job *job,
                              struct candidate candidates[ALLOCATIONS_MAX], struct timespec now) {
    size_t n = 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (may_preempt_task(allocation, job))
            candidates[n++] = (struct candidate){allocation, preemption_cost(allocation, now)};
    }
    qsort(candidates, n, sizeof *candidates, compare_candidates);
    return n;
}

double rp_replica_preemption_cost_s(const struct rp_services *services,
                                    const struct rp_machine *machine, const struct rp_job *job,
                                    struct timespec now) {
    struct rp_released_resources freed = released_by_stops(machine, job);
    struct rp_resources free_resources = rp_machine_free_resources(services->cluster, machine);
    struct rp_resources over_limit = rp_cluster_quota_excess(services->cluster, job);
    enum lacking_resource lacks =
        lacking_resource(machine, job, &free_resources, &over_limit, &freed);
    struct candidate candidates[ALLOCATIONS_MAX];
    double lost_s = 0;
    if (lacks == LACKS_NOTHING)
        return 0;
    if (!services->settings->tuning.preemption || machine->n_allocations > ALLOCATIONS_MAX)
        return -1;
    size_t n = list_candidates(machine, job, candidates, now);
    /* Capacity first, then, among the tasks that are left, quota: preempting a task never makes
     * capacity lacking again. */
    for (enum lacking_resource pass = LACKS_CAPACITY; pass <= LACKS_QUOTA; pass++)
        for (size_t i = 0; i < n && lacks == pass; i++) {
            const struct rp_allocation *allocation = candidates[i].allocation;
            if (!allocation || (pass == LACKS_QUOTA && allocation->job->team != job->team))
                continue;
            candidates[i].allocation = NULL;
            add_release(&freed, allocation, job);
            lost_s += lost_work_s(allocation, now);
            lacks = lacking_resource(machine, job, &free_resources, &over_limit, &freed);
        }
    return lacks == LACKS_NOTHING ? lost_s : -1;
}

struct rp_released_resources rp_replica_preemption_free_machine(struct rp_services *services,
                                                                struct rp_machine *machine,
                                                                const struct rp_job *job,
                                                                struct timespec now) {
    struct rp_released_resources freed = released_by_stops(machine, job);
    for (enum lacking_resource lacks;
         (lacks = find_lacking_resource(services, machine, job, &freed)) != LACKS_NOTHING;) {
        struct rp_allocation *allocation = cheapest_task(machine, job, lacks, now);
        if (!allocation)
            break;
        services->n_preempted++;
        rp_step_budget_take(&services->steps, machine->n_allocations);
        if (allocation->state == RP_ALLOCATION_PLANNED) {
            rp_allocation_remove(services->cluster, machine,
                                 (size_t)(allocation - machine->allocations));
            continue; /* removing the planned task has freed the task's capacity and its team's
                         quota already */
        }
        rp_allocation_request_stop(allocation, 0);
        add_release(&freed, allocation, job);
    }
    return freed;
}

static bool is_over_limit(const struct rp_resources *over_limit) {
    return over_limit->cpus > 0 || over_limit->gpus > 0;
}

/* What the job's team lacks for the job's missing replicas, once all of the team's tasks
 * that are being stopped have ended. */
static struct rp_resources missing_quota(const struct rp_services *services,
                                         const struct rp_job *job) {
    struct rp_resources over_limit = rp_cluster_quota_excess(services->cluster, job);
    double n_more = job->spec.n_tasks - job->n_allocated - 1.0;
    over_limit.cpus += n_more * job->spec.task_resources.cpus;
    over_limit.gpus += n_more * job->spec.task_resources.gpus;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++) {
            const struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->state == RP_ALLOCATION_EXITED || !allocation->stop_requested ||
                allocation->job->team != job->team)
                continue;
            over_limit.cpus -= allocation->job->spec.task_resources.cpus;
            over_limit.gpus -= allocation->job->spec.task_resources.gpus;
        }
    return over_limit;
}

static void stop_task(struct rp_services *services, struct rp_machine *machine,
                      struct rp_allocation *allocation) {
    services->n_preempted++;
    if (allocation->state == RP_ALLOCATION_PLANNED)
        rp_allocation_remove(services->cluster, machine,
                             (size_t)(allocation - machine->allocations));
    else
        rp_allocation_request_stop(allocation, rp_preemption_grace_s(&allocation->job->spec));
}

/* A machine and its task whose preemption frees quota at the least cost; no task: NULL. The pointer
 * is valid until the machine's allocations change. */
struct quota_candidate {
    struct rp_machine *machine;
    struct rp_allocation *allocation;
};

static struct quota_candidate *
list_quota_candidates(struct rp_services *services, const struct rp_job *job, struct timespec now) {
    struct quota_candidate *candidates =
        rp_alloc(services->cluster->n_machines + 1, sizeof *candidates);
    size_t n = 0;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next) {
        candidates[n++] =
            (struct quota_candidate){machine, cheapest_task(machine, job, LACKS_QUOTA, now)};
        rp_step_budget_take(&services->steps, 1 + machine->n_allocations);
    }
    return candidates;
}

static struct quota_candidate *cheapest_quota_candidate(struct quota_candidate *candidates,
                                                        size_t n, struct timespec now) {
    struct quota_candidate *best = NULL;
    for (size_t i = 0; i < n; i++)
        if (candidates[i].allocation && (!best || lost_work_s(candidates[i].allocation, now) <
                                                      lost_work_s(best->allocation, now)))
            best = &candidates[i];
    return best;
}

void rp_replica_preemption_free_quota(struct rp_services *services, const struct rp_job *job,
                                      struct timespec now) {
    struct rp_resources over_limit = missing_quota(services, job);
    size_t n = services->cluster->n_machines;
    if (!isfinite(over_limit.cpus) || !isfinite(over_limit.gpus) || !is_over_limit(&over_limit))
        return;
    struct quota_candidate *candidates = list_quota_candidates(services, job, now);
    do {
        struct quota_candidate *best = cheapest_quota_candidate(candidates, n, now);
        if (!best)
            break;
        over_limit.cpus -= best->allocation->job->spec.task_resources.cpus;
        over_limit.gpus -= best->allocation->job->spec.task_resources.gpus;
        stop_task(services, best->machine, best->allocation);
        best->allocation = cheapest_task(best->machine, job, LACKS_QUOTA, now);
        rp_step_budget_take(&services->steps, n + best->machine->n_allocations);
    } while (is_over_limit(&over_limit) && !rp_step_budget_is_spent(&services->steps));
    free(candidates);
}
