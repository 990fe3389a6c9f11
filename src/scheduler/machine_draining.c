#include "scheduler/machine_draining.h"

#include <math.h>
#include "base/log.h"
#include "scheduler/plan_resources.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"
#include "scheduler/service_headroom.h"
#include "scheduler/task_moves.h"

#define MACHINES_PER_DRAINING                                                                      \
    40                          /* one machine, and one more of so many, may be draining at once   \
                                 */
#define REPLICA_SHARE_MAX 0.25  /* of a machine that its replicas may hold for them to be moved */
#define REPLICA_MOVE_EVERY_S 20 /* machines with replicas are drained one after the other */

/* What a run works on. */
struct draining {
    struct rp_task_moves moves;
    double ready_cpus; /* for services, of all machines; summed up once, not for each machine */
};

static bool is_type_wanted(const struct rp_cycle_input *input, int type) {
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        if (input->groups[g].types >> type & 1)
            return true;
    return false;
}

static bool may_drain(const struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                      const struct rp_machine *machine) {
    if (!rp_machine_is_usable(machine) || rp_machine_is_idle(machine) || machine->scale_in.draining)
        return false;
    return !is_type_wanted(input, machine->type) && !rp_reservation_job(scheduler, machine);
}

/* The work on a machine that could be drained. */
struct drained_work {
    bool is_movable;
    double busy_s;        /* until its last task ends by itself */
    double replica_share; /* of the machine that its replicas hold */
};

static struct drained_work work_of(const struct rp_scheduler *scheduler,
                                   const struct rp_machine *machine,
                                   const struct rp_resources *capacity, struct timespec now) {
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
static bool is_headroom(const struct rp_scheduler *scheduler, const struct draining *draining,
                        const struct rp_machine *machine, const struct rp_resources *capacity) {
    if (capacity->gpus > 0 || machine->spot)
        return false;
    return draining->ready_cpus - rp_service_headroom_ready_cpus_of(scheduler->services, machine) <
           rp_service_headroom_wanted_cpus(scheduler->services) + capacity->cpus -
               RP_SERVICE_HEADROOM_SLACK_CPUS;
}

/* What is saved, in money, if the machine's tasks go elsewhere; negative when they can't, or
 * needn't. */
static double drain_saving(const struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                           struct draining *draining, const struct rp_machine *machine,
                           struct timespec now) {
    if (!may_drain(scheduler, input, machine))
        return -1;
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    const struct rp_resources *capacity = &catalog->types[machine->type].capacity;
    double price = rp_fleet_hourly_price(catalog, machine->type, machine->spot);
    struct drained_work work = work_of(scheduler, machine, capacity, now);
    if (!work.is_movable)
        return -1;
    /* A move is a moment without the replica, and the machine that it frees costs little. */
    if (work.replica_share > REPLICA_SHARE_MAX ||
        (work.replica_share > 0 &&
         rp_ts_since(now, scheduler->replicas_moved_at) < REPLICA_MOVE_EVERY_S))
        return -1;
    if (is_headroom(scheduler, draining, machine, capacity))
        return -1;
    if (work.busy_s <= 2 * RP_TASK_MOVE_S)
        return -1;
    double more = rp_task_moves_price(scheduler, &draining->moves, machine, now);
    double saving = price * (work.busy_s - RP_TASK_MOVE_S) - more;
    return more >= 0 && saving > price * RP_TASK_MOVE_S ? saving : -1;
}

/* Takes the capacity that the tasks of the machines being drained already need elsewhere: what is
 * found for one machine's tasks must not be found twice. Returns how many machines these are. */
static size_t take_moves_under_way(const struct rp_scheduler *scheduler, struct draining *draining,
                                   struct timespec now) {
    size_t n_draining = 0;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        if (machine->scale_in.draining) {
            n_draining++;
            (void)rp_task_moves_take(scheduler, &draining->moves, machine, now);
        }
    return n_draining;
}

/* A machine and its place in the cluster's list. */
struct choice {
    struct rp_machine *machine; /* NULL: there is none */
    size_t index;
};

static struct choice best_to_drain(struct rp_scheduler *scheduler,
                                   const struct rp_cycle_input *input, struct draining *draining,
                                   struct timespec now) {
    struct choice best = {0};
    double best_saving = 0;
    size_t index = 0;
    for (struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next, index++) {
        double saving = drain_saving(scheduler, input, draining, machine, now);
        if (saving > best_saving) {
            best = (struct choice){machine, index};
            best_saving = saving;
        }
    }
    return best;
}

static void drain_machine(struct rp_scheduler *scheduler, struct draining *draining,
                          struct choice choice, struct timespec now) {
    struct rp_machine *machine = choice.machine;
    rp_info("machine draining: machine=%s n_tasks=%zu reason=tasks fit elsewhere", machine->name,
            machine->n_allocations);
    (void)rp_task_moves_take(scheduler, &draining->moves, machine, now);
    draining->moves.is_source[choice.index] = true;
    draining->ready_cpus -= rp_service_headroom_ready_cpus_of(scheduler->services, machine);
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
    struct draining draining = {.ready_cpus = rp_service_headroom_ready_cpus(scheduler->services)};
    if (!rp_task_moves_init(&draining.moves, scheduler))
        goto out;
    size_t n_max = 1 + draining.moves.n / MACHINES_PER_DRAINING;
    size_t n_draining = take_moves_under_way(scheduler, &draining, now);
    for (; n_draining < n_max; n_draining++) {
        struct choice best = best_to_drain(scheduler, input, &draining, now);
        if (!best.machine)
            break;
        drain_machine(scheduler, &draining, best, now);
    }
out:
    rp_task_moves_free(&draining.moves);
}
