#include "scheduler/machine_draining.h"

#include <math.h>
#include "base/log.h"
#include "scheduler/plan_resources.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"
#include "scheduler/service_headroom.h"
#include "scheduler/task_moves.h"

/* One machine, and one more for each MACHINES_PER_DRAINING machines of the fleet, may be draining
 * at a time. */
#define MACHINES_PER_DRAINING 40
/* A machine is not drained if its replicas hold more than this share of it. */
#define REPLICA_SHARE_MAX 0.25
/* Least number of seconds from the beginning of draining of one machine with replicas to that of
 * the next. */
#define REPLICA_DRAIN_INTERVAL_S 20

/* The state of one run. */
struct draining {
    struct rp_task_moves moves;
    /* CPUs that are ready for services on all machines; added up once per run, not for each
     * machine. */
    double ready_cpus;
    uint32_t types_in_demand; /* bit set of the machine types that waiting work may use */
};

static struct rp_activity *activity_of(struct rp_scheduler *scheduler) {
    return &scheduler->activities[RP_ACTIVITY_DRAINING];
}

/* The machine types, as a bit set, that waiting work may use. */
static uint32_t types_in_demand(const struct rp_cycle_input *input) {
    uint32_t types = 0;
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        types |= input->groups[g].types;
    return types;
}

static bool may_drain(const struct rp_scheduler *scheduler, const struct draining *draining,
                      const struct rp_machine *machine) {
    if (!rp_machine_is_usable(machine) || rp_machine_is_idle(machine) || machine->scale_in.draining)
        return false;
    return !(draining->types_in_demand >> machine->type & 1) &&
           !rp_reservation_job(scheduler, machine);
}

/* The work on a machine that could be drained. */
struct drained_work {
    bool is_movable;
    double busy_s;        /* seconds until the machine's last task ends if none is stopped */
    double replica_share; /* share of the machine that its replicas hold */
};

static struct drained_work find_drained_work(const struct rp_scheduler *scheduler,
                                             const struct rp_machine *machine,
                                             const struct rp_resources *capacity,
                                             struct timespec now) {
    struct drained_work work = {.is_movable = true};
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        if (!rp_task_moves_is_movable(allocation, now))
            return (struct drained_work){.is_movable = false};
        work.busy_s =
            fmax(work.busy_s, rp_task_moves_occupied_s(scheduler, machine, allocation, now));
        if (allocation->job->spec.kind == RP_JOB_SERVICE)
            work.replica_share +=
                rp_plan_share_of_machine(&allocation->job->spec.task_resources, capacity);
    }
    return work;
}

/* Whether services would have too little headroom without the machine. */
static bool is_needed_for_headroom(const struct rp_scheduler *scheduler,
                                   const struct draining *draining,
                                   const struct rp_machine *machine,
                                   const struct rp_resources *capacity) {
    if (capacity->gpus > 0 || machine->spot)
        return false;
    return draining->ready_cpus -
               rp_service_headroom_machine_ready_cpus(scheduler->services, machine) <
           rp_service_headroom_target_cpus(scheduler->services) + capacity->cpus -
               RP_SERVICE_HEADROOM_TOLERANCE_CPUS;
}

/* The cost that is saved if the machine's tasks are moved elsewhere, as hourly price times seconds;
 * negative if they cannot be moved or moving them saves too little. */
static double drain_saving(const struct rp_scheduler *scheduler, struct draining *draining,
                           const struct rp_machine *machine, struct timespec now) {
    if (!may_drain(scheduler, draining, machine))
        return -1;
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    const struct rp_resources *capacity = &catalog->types[machine->type].capacity;
    double price = rp_fleet_hourly_price(catalog, machine->type, machine->spot);
    struct drained_work work = find_drained_work(scheduler, machine, capacity, now);
    if (!work.is_movable)
        return -1;
    /* Moving a replica interrupts it for a moment, and the machine that is then scaled in costs
     * little. */
    if (work.replica_share > REPLICA_SHARE_MAX ||
        (work.replica_share > 0 &&
         rp_ts_since(now, scheduler->replicas_moved_at) < REPLICA_DRAIN_INTERVAL_S))
        return -1;
    if (is_needed_for_headroom(scheduler, draining, machine, capacity))
        return -1;
    if (work.busy_s <= 2 * RP_TASK_MOVE_S)
        return -1;
    double extra_cost = rp_task_moves_extra_cost(scheduler, &draining->moves, machine, now);
    double saving = price * (work.busy_s - RP_TASK_MOVE_S) - extra_cost;
    return extra_cost >= 0 && saving > price * RP_TASK_MOVE_S ? saving : -1;
}

/* Takes the capacity that the tasks of machines already being drained need elsewhere. Without this,
 * the same capacity could be found for the tasks of two machines; once the steps are spent, no
 * machine begins to be drained. Returns the number of machines already being drained. */
static size_t take_capacity_of_pending_moves(const struct rp_scheduler *scheduler,
                                             struct draining *draining, struct timespec now) {
    size_t n_draining = 0;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        if (machine->scale_in.draining) {
            n_draining++;
            if (!rp_step_budget_is_spent(draining->moves.steps))
                (void)rp_task_moves_take_capacity(scheduler, &draining->moves, machine, now);
        }
    return n_draining;
}

/* A machine and its index in the cluster's list. */
struct drain_choice {
    struct rp_machine *machine; /* NULL if there is no machine to drain */
    size_t index;
};

/* Considers the machines from the one at index `first` on, as far as the steps suffice. */
static struct drain_choice find_best_to_drain(struct rp_scheduler *scheduler,
                                              struct draining *draining, size_t first,
                                              struct timespec now) {
    struct rp_activity *activity = activity_of(scheduler);
    struct drain_choice best = {0};
    double best_saving = 0;
    size_t index = 0;
    for (struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next, index++) {
        if (index < first)
            continue;
        if (rp_activity_must_stop(activity, index))
            break;
        rp_step_budget_take(&activity->steps, 1 + machine->n_allocations);
        double saving = drain_saving(scheduler, draining, machine, now);
        if (saving > best_saving) {
            best = (struct drain_choice){machine, index};
            best_saving = saving;
        }
    }
    return best;
}

static void drain_machine(struct rp_scheduler *scheduler, struct draining *draining,
                          struct drain_choice choice, struct timespec now) {
    struct rp_machine *machine = choice.machine;
    rp_info("machine draining: machine=%s n_tasks=%zu reason=tasks fit elsewhere", machine->name,
            machine->n_allocations);
    (void)rp_task_moves_take_capacity(scheduler, &draining->moves, machine, now);
    draining->moves.is_source[choice.index] = true;
    draining->ready_cpus -= rp_service_headroom_machine_ready_cpus(scheduler->services, machine);
    machine->scale_in.draining = true;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_job_spec *spec = &machine->allocations[i].job->spec;
        if (machine->allocations[i].state == RP_ALLOCATION_EXITED)
            continue;
        /* Replicas are moved one by one (replica_moves.h). */
        if (spec->kind == RP_JOB_SERVICE)
            scheduler->replicas_moved_at = now;
        else
            rp_allocation_request_stop(&machine->allocations[i], rp_preemption_grace_s(spec));
    }
}

void rp_machine_draining_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                             struct timespec now) {
    struct draining draining = {.ready_cpus = rp_service_headroom_ready_cpus(scheduler->services),
                                .types_in_demand = types_in_demand(input)};
    size_t first = rp_activity_begin(activity_of(scheduler), scheduler->cluster->n_machines);
    if (!rp_task_moves_init(&draining.moves, scheduler, &activity_of(scheduler)->steps, now))
        goto out;
    size_t n_draining_max = 1 + draining.moves.n_machines / MACHINES_PER_DRAINING;
    size_t n_draining = take_capacity_of_pending_moves(scheduler, &draining, now);
    for (; n_draining < n_draining_max && !rp_step_budget_is_spent(draining.moves.steps);
         n_draining++) {
        struct drain_choice best = find_best_to_drain(scheduler, &draining, first, now);
        if (!best.machine)
            break;
        drain_machine(scheduler, &draining, best, now);
    }
out:
    rp_task_moves_free(&draining.moves);
}
