#include "scheduler/replica_placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "scheduler/replica_preemption.h"
#include "scheduler/silent_machines.h"
#include "worker/direct_commands.h"

/* All penalties of a machine for a replica are in seconds of a later start. */

/* Penalty for each replica of the job on the machine, which would be lost together with the
 * machine. */
#define SAME_MACHINE_PENALTY_S 0.4
/* Greatest number of the job's replicas that count towards SAME_MACHINE_PENALTY_S, and likewise
 * towards SAME_ZONE_PENALTY_S. */
#define PENALIZED_REPLICAS_MAX 4
/* Penalty for each replica of the job in the machine's zone beyond the zone's even share of the
 * job's replicas. */
#define SAME_ZONE_PENALTY_S 0.8
/* Penalty, in seconds, for each second of work that is lost by preemption on the machine. */
#define LOST_WORK_WEIGHT 0.02
/* Penalty for each consecutive error of tasks on the machine. */
#define ERROR_PENALTY_S 5.0
/* Penalty for a machine on which the job has failed. */
#define FAILED_BEFORE_PENALTY_S 20.0
#define SPOT_PENALTY_S 40.0
/* Penalty for a machine with GPUs, if the replica uses none: other work needs such machines as a
 * whole, and they cost many times as much as machines without GPUs. */
#define WASTED_GPU_PENALTY_S 120.0
/* Penalty for a machine without replicas. Machines that already hold replicas are preferred,
 * because one more replica does not keep them longer. */
#define NO_REPLICAS_PENALTY_S 0.3
/* Least remaining time, in seconds, that is assumed for a fetch in progress. */
#define FETCH_REMAINING_MIN_S 0.3
/* Penalty for a machine to which the start can be sent only in the response to the machine's next
 * heartbeat. */
#define NEXT_HEARTBEAT_PENALTY_S 1.5
/* Upper bound of the other images, fetched at the same time, that count towards the fetch time. */
#define FETCHES_COUNTED_MAX 8
/* Slow start: at most this many replicas of a service, or as many as are running if that is more,
 * may be starting at a time. If the service cannot run, few are started before that shows. */
#define REPLICAS_STARTING_MAX 256
/* The same for a service of which a replica has ended soon after its start. */
#define STARTING_AFTER_EARLY_EXIT_MAX 8

/* Seconds until the machine holds the job's image. Images fetched at the same time may share the
 * machine's fetch rate. */
static double fetch_s(const struct rp_services *services, const struct rp_machine *machine,
                      const struct rp_job *job, struct timespec now) {
    double gb_per_s = services->catalog->types[machine->type].fetch_gb_per_s;
    uint64_t others[FETCHES_COUNTED_MAX];
    size_t n_others = 0;
    if (rp_machine_has_image(machine, job->image_hash) || gb_per_s <= 0)
        return 0;
    double own_s = job->spec.image_gb / gb_per_s;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED || allocation->task_state != RP_TASK_FETCHING)
            continue;
        uint64_t hash = allocation->job->image_hash;
        if (hash == job->image_hash)
            return fmax(FETCH_REMAINING_MIN_S, own_s - rp_ts_since(now, allocation->planned_at));
        bool should_skip = rp_machine_has_image(machine, hash);
        for (size_t k = 0; k < n_others; k++)
            should_skip |= others[k] == hash;
        if (!should_skip && n_others < sizeof others / sizeof others[0])
            others[n_others++] = hash;
    }
    return own_s * (double)(1 + n_others);
}

/* Whether the machine's capacity is reserved for a gang. */
static bool is_reserved(const struct rp_machine *machine, struct timespec now) {
    return *machine->reservation.job_id && !rp_ts_is_reached(now, machine->reservation.until);
}

/* The number of the job's replicas by which the zone, with one more of them, would exceed its even
 * share; at most PENALIZED_REPLICAS_MAX. */
static double zone_excess(const struct rp_services *services, const struct rp_job *job, int zone) {
    double even_share =
        ceil((double)job->spec.n_tasks / fmax(1, (double)services->catalog->n_zones));
    return fmin(fmax(0, job->n_allocated_by_zone[zone] + 1 - even_share), PENALIZED_REPLICAS_MAX);
}

/* The replicas that the machine holds. */
struct held_replicas {
    bool has_any;
    unsigned n_of_job; /* those of the given job, counted up to PENALIZED_REPLICAS_MAX */
};

static struct held_replicas find_held_replicas(const struct rp_machine *machine,
                                               const struct rp_job *job) {
    struct held_replicas held = {0};
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        held.has_any |= allocation->job->spec.kind == RP_JOB_SERVICE;
        held.n_of_job += allocation->job == job && held.n_of_job < PENALIZED_REPLICAS_MAX;
    }
    return held;
}

static bool may_hold_replica(const struct rp_services *services, const struct rp_machine *machine,
                             const struct rp_job *job, struct timespec now) {
    if (!rp_machine_is_usable(machine) || machine->scale_in.draining || is_reserved(machine, now))
        return false;
    return rp_silent_machines_is_reporting(services, machine, now) &&
           rp_cluster_is_kind_allowed(services->cluster, &job->spec, machine->type, machine->zone,
                                      machine->spot);
}

/* A machine's penalty for a replica of a job, in the parts that change at different times: placing
 * a replica changes the zone's part for all machines of its zone, and every other part only for the
 * machine that it is placed on. */
struct penalty {
    bool is_excluded; /* the machine cannot take a replica of the job */
    int zone;
    double fetch_and_lost_s, same_machine_s, failed_before_s, next_heartbeat_s, machine_s,
        no_replicas_s;
};

static double failed_before_s(const struct rp_job *job, const struct rp_machine *machine) {
    double penalty_s = 0;
    for (unsigned i = 0; i < job->n_failed_machines; i++)
        if (strcmp(job->failed_machines[i], machine->name) == 0)
            penalty_s += FAILED_BEFORE_PENALTY_S;
    return penalty_s;
}

static struct penalty find_penalty(const struct rp_services *services,
                                   const struct rp_machine *machine, const struct rp_job *job,
                                   struct timespec now) {
    const struct penalty excluded = {.is_excluded = true};
    if (!may_hold_replica(services, machine, job, now))
        return excluded;
    double lost_s = rp_replica_preemption_cost_s(services, machine, job, now);
    if (lost_s < 0)
        return excluded;
    const struct rp_resources *capacity = &services->catalog->types[machine->type].capacity;
    bool wastes_gpus = capacity->gpus > 0 && job->spec.task_resources.gpus <= 0;
    bool is_direct = !rp_direct_commands_is_attempt_limit_reached(machine);
    struct held_replicas held = find_held_replicas(machine, job);
    return (struct penalty){.zone = machine->zone,
                            .fetch_and_lost_s =
                                fetch_s(services, machine, job, now) + lost_s * LOST_WORK_WEIGHT,
                            .same_machine_s = held.n_of_job * SAME_MACHINE_PENALTY_S,
                            .failed_before_s = failed_before_s(job, machine),
                            .next_heartbeat_s = is_direct ? 0 : NEXT_HEARTBEAT_PENALTY_S,
                            .machine_s = ERROR_PENALTY_S * machine->health.n_consecutive_errors +
                                         (machine->spot ? SPOT_PENALTY_S : 0) +
                                         (wastes_gpus ? WASTED_GPU_PENALTY_S : 0),
                            .no_replicas_s = held.has_any ? 0 : NO_REPLICAS_PENALTY_S};
}

static double total_s(const struct rp_services *services, const struct penalty *penalty,
                      const struct rp_job *job) {
    double zone_s = zone_excess(services, job, penalty->zone) * SAME_ZONE_PENALTY_S;
    return penalty->fetch_and_lost_s + (penalty->same_machine_s + zone_s) +
           penalty->failed_before_s + penalty->next_heartbeat_s + penalty->machine_s +
           penalty->no_replicas_s;
}

double rp_replica_placement_penalty_s(const struct rp_services *services,
                                      const struct rp_machine *machine, const struct rp_job *job,
                                      struct timespec now) {
    struct penalty penalty = find_penalty(services, machine, job, now);
    return penalty.is_excluded ? -1 : total_s(services, &penalty, job);
}

/* ---- placing several replicas of a job ---- */

/* A machine with its penalty for the job's next replica. */
struct candidate {
    struct rp_machine *machine;
    struct penalty penalty;
};

/* All machines, in the order of the cluster's list. */
struct candidate_list {
    struct candidate *candidates;
    size_t n;
};

static void refresh_candidate(struct rp_services *services, struct candidate *candidate,
                              const struct rp_job *job, struct timespec now) {
    candidate->penalty = find_penalty(services, candidate->machine, job, now);
    rp_step_budget_take(&services->steps, 1 + candidate->machine->n_allocations);
}

static void refresh_all(struct rp_services *services, struct candidate_list *list,
                        const struct rp_job *job, struct timespec now) {
    list->n = 0;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next) {
        list->candidates[list->n].machine = machine;
        refresh_candidate(services, &list->candidates[list->n++], job, now);
    }
}

/* The zones, as a bit set, in which one_zone and spread allow one more replica. */
static uint32_t allowed_zones(const struct rp_services *services, const struct rp_job *job) {
    uint32_t zones = 0;
    for (size_t zone = 0; zone < services->catalog->n_zones; zone++)
        if (rp_cluster_is_zone_allowed(job, (int)zone))
            zones |= UINT32_C(1) << zone;
    return zones;
}

/* The candidate on which the replica runs soonest; NULL if no machine can take it. */
static struct candidate *best_candidate(struct rp_services *services,
                                        const struct candidate_list *list,
                                        const struct rp_job *job) {
    uint32_t zones = allowed_zones(services, job);
    struct candidate *best = NULL;
    double best_s = 0;
    rp_step_budget_take(&services->steps, list->n);
    for (size_t i = 0; i < list->n; i++) {
        struct candidate *candidate = &list->candidates[i];
        if (candidate->penalty.is_excluded || !(zones >> candidate->penalty.zone & 1))
            continue;
        double penalty_s = total_s(services, &candidate->penalty, job);
        if (best && penalty_s >= best_s)
            continue;
        best = candidate;
        best_s = penalty_s;
    }
    return best;
}

static bool place_on(struct rp_services *services, struct rp_machine *machine, struct rp_job *job,
                     uint32_t task, struct timespec now) {
    struct rp_released_resources freed =
        rp_replica_preemption_free_machine(services, machine, job, now);
    if (!rp_cluster_may_start_after_release(services->cluster, job, task, machine, &freed))
        return false;
    rp_allocation_add(services->cluster, machine, job, task,
                      rp_cluster_next_attempt(services->cluster), RP_ALLOCATION_PLANNED);
    services->n_placed++;
    return true;
}

/* Whether one more replica exceeds the limit of the job's team, so that where it can be placed
 * depends on the team's tasks on each machine. */
static bool is_over_limit(const struct rp_services *services, const struct rp_job *job) {
    struct rp_resources excess = rp_cluster_quota_excess(services->cluster, job);
    return excess.cpus > 0 || excess.gpus > 0;
}

uint32_t rp_replica_placement_n_startable(const struct rp_job *job) {
    uint32_t n_starting = job->n_allocated > job->n_running ? job->n_allocated - job->n_running : 0;
    uint32_t n_starting_max =
        job->consecutive_early_exits > 0 ? STARTING_AFTER_EARLY_EXIT_MAX : REPLICAS_STARTING_MAX;
    if (n_starting_max < job->n_running)
        n_starting_max = job->n_running;
    return n_starting_max > n_starting ? n_starting_max - n_starting : 0;
}

bool rp_replica_placement_run(struct rp_services *services, struct rp_job *job, unsigned n_max,
                              struct timespec now) {
    bool has_capacity = true;
    struct candidate_list list = {
        .candidates = rp_alloc(services->cluster->n_machines + 1, sizeof *list.candidates)};
    uint32_t task;
    refresh_all(services, &list, job, now);
    for (unsigned n = 0; n < n_max && rp_job_find_startable_task(job, &task); n++) {
        struct candidate *best = best_candidate(services, &list, job);
        has_capacity = best && place_on(services, best->machine, job, task, now);
        if (!has_capacity || rp_step_budget_is_spent(&services->steps))
            break;
        if (is_over_limit(services, job))
            refresh_all(services, &list, job, now);
        else
            refresh_candidate(services, best, job, now);
    }
    free(list.candidates);
    return has_capacity;
}
