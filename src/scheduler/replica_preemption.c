#include "scheduler/replica_preemption.h"

#include <math.h>
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

static void add_release(struct rp_released_resources *freed, const struct rp_allocation *allocation,
                        const struct rp_job *job) {
    rp_resources_add(&freed->capacity, &allocation->job->spec.task_resources);
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

/* What one more task of the job still lacks on the machine, given the released resources. */
static enum lacking_resource find_lacking_resource(const struct rp_services *services,
                                                   const struct rp_machine *machine,
                                                   const struct rp_job *job,
                                                   const struct rp_released_resources *freed) {
    struct rp_resources available = rp_machine_free_resources(services->cluster, machine);
    struct rp_resources over_limit = rp_cluster_quota_excess(services->cluster, job);
    rp_resources_add(&available, &freed->capacity);
    if (!rp_resources_fit(&job->spec.task_resources, &available))
        return LACKS_CAPACITY;
    bool fits_quota = over_limit.cpus <= freed->quota.cpus && over_limit.gpus <= freed->quota.gpus;
    return fits_quota ? LACKS_NOTHING : LACKS_QUOTA;
}

/* The task whose preemption costs least; if quota is lacking, only among the tasks of the job's own
 * team. Tasks marked in `is_taken`, which may be NULL, are left out. NULL if there is none. */
static struct rp_allocation *cheapest_task(struct rp_machine *machine, const struct rp_job *job,
                                           enum lacking_resource lacks, const bool *is_taken,
                                           struct timespec now) {
    struct rp_allocation *best = NULL;
    double best_cost = 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if ((is_taken && is_taken[i]) || !may_preempt_task(allocation, job) ||
            (lacks == LACKS_QUOTA && allocation->job->team != job->team))
            continue;
        double cost = lost_work_s(allocation, now) +
                      COST_PER_PRIORITY_S * (double)allocation->job->spec.priority;
        if (!best || cost < best_cost) {
            best = allocation;
            best_cost = cost;
        }
    }
    return best;
}

double rp_replica_preemption_cost_s(const struct rp_services *services, struct rp_machine *machine,
                                    const struct rp_job *job, struct timespec now) {
    struct rp_released_resources freed = released_by_stops(machine, job);
    bool is_taken[ALLOCATIONS_MAX] = {false};
    enum lacking_resource lacks = find_lacking_resource(services, machine, job, &freed);
    double lost_s = 0;
    if (lacks != LACKS_NOTHING &&
        (!services->settings->tuning.preemption || machine->n_allocations > ALLOCATIONS_MAX))
        return -1;
    for (; lacks != LACKS_NOTHING; lacks = find_lacking_resource(services, machine, job, &freed)) {
        struct rp_allocation *allocation = cheapest_task(machine, job, lacks, is_taken, now);
        if (!allocation)
            return -1;
        is_taken[allocation - machine->allocations] = true;
        add_release(&freed, allocation, job);
        lost_s += lost_work_s(allocation, now);
    }
    return lost_s;
}

struct rp_released_resources rp_replica_preemption_free_machine(struct rp_services *services,
                                                                struct rp_machine *machine,
                                                                const struct rp_job *job,
                                                                struct timespec now) {
    struct rp_released_resources freed = released_by_stops(machine, job);
    for (enum lacking_resource lacks;
         (lacks = find_lacking_resource(services, machine, job, &freed)) != LACKS_NOTHING;) {
        struct rp_allocation *allocation = cheapest_task(machine, job, lacks, NULL, now);
        if (!allocation)
            break;
        services->n_preempted++;
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

void rp_replica_preemption_free_quota(struct rp_services *services, const struct rp_job *job,
                                      struct timespec now) {
    struct rp_resources over_limit = missing_quota(services, job);
    while (isfinite(over_limit.cpus) && isfinite(over_limit.gpus) && is_over_limit(&over_limit)) {
        struct rp_machine *from = NULL;
        struct rp_allocation *best = NULL;
        for (struct rp_machine *machine = services->cluster->first; machine;
             machine = machine->next) {
            struct rp_allocation *allocation = cheapest_task(machine, job, LACKS_QUOTA, NULL, now);
            if (allocation && (!best || lost_work_s(allocation, now) < lost_work_s(best, now))) {
                best = allocation;
                from = machine;
            }
        }
        if (!best)
            return;
        over_limit.cpus -= best->job->spec.task_resources.cpus;
        over_limit.gpus -= best->job->spec.task_resources.gpus;
        stop_task(services, from, best);
    }
}
