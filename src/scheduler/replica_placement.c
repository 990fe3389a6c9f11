#include "scheduler/replica_placement.h"

#include <math.h>
#include <string.h>
#include "scheduler/replica_preemption.h"
#include "scheduler/silent_machines.h"
#include "worker/direct_commands.h"

/* What makes a machine worse for a replica, in seconds of a later start. */
#define SAME_MACHINE_S 0.4 /* for each replica of the job that one loss would take as well */
#define SAME_MOST 4        /* but not more than for so many */
#define SAME_ZONE_S 0.8    /* for each that a zone has beyond its even part */
#define LOST_WORK_SHARE 0.02
#define ERROR_S 5.0
#define FAILED_HERE_S 20.0
#define SPOT_S 40.0
#define GPU_S 120.0       /* such machines are wanted whole, and cost many times as much */
#define NO_REPLICAS_S 0.3 /* a machine that holds services anyway isn't kept longer by one more */
#define FETCH_LEFT_S 0.3  /* of a fetch under way, at least */
#define NEXT_REPORT_S 1.5 /* where a start has to go with the next heartbeat's answer */
#define FETCHES_COUNTED 8 /* more images fetched at the same time count as so many */

/* A release large enough for every task, in CPUs, GPUs and GB. */
#define ANY_AMOUNT 1e12

/* Until the image is there. Images fetched at the same time may share the machine's rate. */
static double fetch_s(const struct rp_services *services, const struct rp_machine *machine,
                      const struct rp_job *job, struct timespec now) {
    double rate = services->catalog->types[machine->type].fetch_gb_per_s;
    uint64_t others[FETCHES_COUNTED];
    size_t n_others = 0;
    if (rp_machine_has_image(machine, job->image_hash) || rate <= 0)
        return 0;
    double own_s = job->spec.image_gb / rate;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED || allocation->task_state != RP_TASK_FETCHING)
            continue;
        uint64_t hash = allocation->job->image_hash;
        if (hash == job->image_hash)
            return fmax(FETCH_LEFT_S, own_s - rp_ts_since(now, allocation->planned_at));
        bool known = rp_machine_has_image(machine, hash);
        for (size_t k = 0; k < n_others; k++)
            known |= others[k] == hash;
        if (!known && n_others < sizeof others / sizeof others[0])
            others[n_others++] = hash;
    }
    return own_s * (double)(1 + n_others);
}

/* Whether its capacity is reserved for a gang. */
static bool is_reserved(const struct rp_machine *machine, struct timespec now) {
    return *machine->reservation.job_id && !rp_ts_reached(now, machine->reservation.until);
}

/* How many more of the job's replicas the zone would have than an even part of them. */
static double zone_excess(const struct rp_services *services, const struct rp_job *job, int zone) {
    double even = ceil((double)job->spec.n_tasks / fmax(1, (double)services->catalog->n_zones));
    return fmin(fmax(0, job->zone_count[zone] + 1 - even), SAME_MOST);
}

/* The replicas that the machine holds. */
struct held_replicas {
    bool any;
    unsigned n_of_job; /* of the same job, up to SAME_MOST */
};

static struct held_replicas held_replicas(const struct rp_machine *machine,
                                          const struct rp_job *job) {
    struct held_replicas held = {0};
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        held.any |= allocation->job->spec.kind == RP_JOB_SERVICE;
        held.n_of_job += allocation->job == job && held.n_of_job < SAME_MOST;
    }
    return held;
}

static bool may_take(const struct rp_services *services, const struct rp_machine *machine,
                     const struct rp_job *job, struct timespec now) {
    if (!rp_machine_is_usable(machine) || machine->scale_in.draining || is_reserved(machine, now))
        return false;
    return rp_silent_machines_is_heard(services, machine, now) &&
           rp_cluster_is_allowed(services->cluster, &job->spec, machine->type, machine->zone,
                                 machine->spot);
}

double rp_replica_placement_penalty_s(const struct rp_services *services,
                                      struct rp_machine *machine, const struct rp_job *job,
                                      struct timespec now) {
    if (!may_take(services, machine, job, now))
        return -1;
    double lost_s = rp_replica_preemption_cost_s(services, machine, job, now);
    if (lost_s < 0)
        return -1;
    const struct rp_resources *capacity = &services->catalog->types[machine->type].capacity;
    bool wastes_gpus = capacity->gpus > 0 && job->spec.task_resources.gpus <= 0;
    struct held_replicas held = held_replicas(machine, job);
    double penalty_s = fetch_s(services, machine, job, now) + lost_s * LOST_WORK_SHARE;
    penalty_s +=
        held.n_of_job * SAME_MACHINE_S + zone_excess(services, job, machine->zone) * SAME_ZONE_S;
    for (unsigned i = 0; i < job->n_failed_machines; i++)
        penalty_s += strcmp(job->failed_machines[i], machine->name) == 0 ? FAILED_HERE_S : 0;
    penalty_s += rp_direct_commands_is_full(machine) ? NEXT_REPORT_S : 0;
    penalty_s += ERROR_S * machine->health.consecutive_errors + (machine->spot ? SPOT_S : 0) +
                 (wastes_gpus ? GPU_S : 0);
    return penalty_s + (held.any ? 0 : NO_REPLICAS_S);
}

/* The machine on which the task, which is on none, runs soonest; NULL: on none. */
static struct rp_machine *best_machine(const struct rp_services *services, const struct rp_job *job,
                                       uint32_t task, struct timespec now) {
    static const struct rp_released_resources all = {{ANY_AMOUNT, ANY_AMOUNT, ANY_AMOUNT},
                                                     {ANY_AMOUNT, ANY_AMOUNT, ANY_AMOUNT}};
    struct rp_machine *best = NULL;
    double best_penalty_s = 0;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next) {
        double penalty_s = rp_replica_placement_penalty_s(services, machine, job, now);
        if (penalty_s < 0 || (best && penalty_s >= best_penalty_s) ||
            !rp_cluster_may_start_after_release(services->cluster, job, task, machine, &all))
            continue;
        best = machine;
        best_penalty_s = penalty_s;
    }
    return best;
}

bool rp_replica_placement_place(struct rp_services *services, struct rp_job *job, uint32_t task,
                                struct timespec now) {
    struct rp_machine *best = best_machine(services, job, task, now);
    if (!best)
        return false;
    struct rp_released_resources freed =
        rp_replica_preemption_free_machine(services, best, job, now);
    if (!rp_cluster_may_start_after_release(services->cluster, job, task, best, &freed))
        return false;
    rp_allocation_add(services->cluster, best, job, task,
                      rp_cluster_next_attempt(services->cluster), RP_ALLOCATION_PLANNED);
    services->n_placed++;
    return true;
}
