#include "scheduler/machine_input.h"

#include <math.h>
#include <stdlib.h>
#include "scheduler/plan_resources.h"
#include "scheduler/remaining_time.h"
#include "scheduler/reservation.h"

#define OVERDUE_FACTOR 2.2 /* a machine that boots this many times longer isn't waited for */
#define BOOT_LEFT_S 2      /* a machine that should be up boots for so long yet */

static void insert_release(struct rp_plan_release *releases, size_t *n, double after_s,
                           const struct rp_resources *released) {
    size_t index = (*n)++;
    for (; index > 0 && releases[index - 1].after_s > after_s; index--)
        releases[index] = releases[index - 1];
    releases[index] = (struct rp_plan_release){.after_s = after_s, .released = *released};
}

static void describe_work(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                          struct rp_plan_machine *out, struct rp_plan_release *ends,
                          struct timespec now) {
    double sum = 0;
    out->releases = ends;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        double left = rp_allocation_remaining_s(scheduler, machine, allocation, now);
        double age = rp_ts_since(now, allocation->planned_at);
        bool service = allocation->job->spec.kind == RP_JOB_SERVICE;
        out->busy_s = fmax(out->busy_s, left);
        if (allocation->job->spec.task_resources.gpus > 0)
            out->own_busy_s = fmax(out->own_busy_s, left);
        out->first_arrival_s = fmax(out->first_arrival_s, age);
        out->last_arrival_s = sum == 0 ? age : fmin(out->last_arrival_s, age);
        sum += age;
        /* By formula (1) it ends with its machine's unit, as tasks without an estimate do; but
         * nothing can count on the room. */
        if (service) {
            out->service_share +=
                rp_plan_share_of_machine(&allocation->job->spec.task_resources, &out->capacity);
            continue;
        }
        out->work_s +=
            left * rp_plan_share_of_machine(&allocation->job->spec.task_resources, &out->capacity);
        insert_release(ends, &out->n_releases, left, &allocation->job->spec.task_resources);
        if (left <= out->free_later_after_s)
            rp_resources_add(&out->free_later, &allocation->job->spec.task_resources);
    }
    out->mean_arrival_s = machine->n_allocations ? sum / (double)machine->n_allocations : 0;
}

/* What a machine's own kind of work leaves even when it fills the machine: beyond what a task that
 * takes it whole needs. Nothing while an image is fetched for it, which another would slow down. */
static struct rp_resources spare_capacity(const struct rp_scheduler *scheduler,
                                          const struct rp_machine *machine) {
    const struct rp_resources *capacity =
        &rp_scheduler_catalog(scheduler)->types[machine->type].capacity;
    const struct rp_resources *own = &scheduler->full_gpu_work[machine->type];
    struct rp_resources spare = {0};
    if (capacity->gpus <= 0 || own->gpus <= 0 || !rp_machine_is_usable(machine))
        return spare;
    spare = *capacity;
    rp_resources_sub(&spare, own);
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        if (allocation->job->spec.task_resources.gpus <= 0)
            rp_resources_sub(&spare, &allocation->job->spec.task_resources);
        else if (allocation->task_state == RP_TASK_FETCHING)
            return (struct rp_resources){0};
    }
    spare.gpus = 0;
    return spare;
}

static void describe_machine(const struct rp_scheduler *scheduler, struct rp_machine *machine,
                             struct rp_plan_machine *out, struct rp_plan_release *ends,
                             struct timespec now) {
    const struct rp_machine_type *type = &rp_scheduler_catalog(scheduler)->types[machine->type];
    struct rp_resources room = rp_machine_free_resources(scheduler->cluster, machine);
    *out = (struct rp_plan_machine){.ref = machine,
                                    .type = machine->type,
                                    .zone = machine->zone,
                                    .spot = machine->spot,
                                    .price = rp_fleet_hourly_price(rp_scheduler_catalog(scheduler),
                                                                   machine->type, machine->spot),
                                    .fetch_gb_per_s = type->fetch_gb_per_s,
                                    .capacity = type->capacity,
                                    .free_later = room,
                                    .free_later_after_s = type->boot_s,
                                    .age_s = rp_ts_since(now, machine->requested_at)};
    if (machine->state == RP_MACHINE_BOOTING) {
        out->free_later_after_s = fmax(type->boot_s - out->age_s, BOOT_LEFT_S);
        return;
    }
    if (rp_machine_is_usable(machine))
        out->free_now = room;
    out->free_spare = spare_capacity(scheduler, machine);
    describe_work(scheduler, machine, out, ends, now);
    /* Room being made for a job isn't given to others while the rest of it is still in use. */
    const struct rp_job *job = rp_reservation_job(scheduler, machine);
    if (job && rp_reservation_is_exclusive(job)) {
        out->reserved_for = job;
    } else if (job) {
        rp_resources_sub(&out->free_now, &job->spec.task_resources);
        rp_resources_sub(&out->free_later, &job->spec.task_resources);
    }
}

static bool is_plannable(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                         struct timespec now) {
    if (machine->type < 0 || machine->zone < 0)
        return false;
    if (machine->state == RP_MACHINE_BOOTING)
        return rp_ts_since(now, machine->requested_at) <
               rp_scheduler_catalog(scheduler)->types[machine->type].boot_s * OVERDUE_FACTOR;
    return machine->state == RP_MACHINE_UP && !machine->health.quarantined &&
           !machine->health.suspected && !machine->spot_notice.received &&
           !machine->scale_in.draining && !rp_machine_is_one_way_partitioned(machine);
}

/* What the GPU work known now takes of a machine that it fills: a task that takes all GPUs what it
 * says, smaller ones, of which several sizes come together, their mean. */
static void note_full_gpu_work(struct rp_scheduler *scheduler, size_t type) {
    const struct rp_resources *all = &rp_scheduler_catalog(scheduler)->types[type].capacity;
    struct rp_resources largest = {0};
    struct rp_resources sum = {0};
    double n_sum = 0;
    for (const struct rp_job *job = scheduler->jobs->table.first; job; job = job->next) {
        const struct rp_resources *each = &job->spec.task_resources;
        if (each->gpus <= 0 || !rp_resources_fit(each, all))
            continue;
        double n = floor(all->gpus / each->gpus + 1e-9);
        if (n <= 1) {
            largest.cpus = fmax(largest.cpus, each->cpus);
            largest.memory_gb = fmax(largest.memory_gb, each->memory_gb);
        } else {
            n_sum++;
            sum.cpus += n * each->cpus;
            sum.memory_gb += n * each->memory_gb;
        }
        largest.gpus = all->gpus;
    }
    scheduler->full_gpu_work[type] = largest;
    if (n_sum > 0) {
        scheduler->full_gpu_work[type].cpus = fmax(largest.cpus, sum.cpus / n_sum);
        scheduler->full_gpu_work[type].memory_gb = fmax(largest.memory_gb, sum.memory_gb / n_sum);
    }
}

/* Adds the machines that the cloud was asked for and hasn't named yet: they hold their planned
 * tasks, too. */
static void add_requested_machines(struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    for (size_t i = 0; i < input->plan_input.n_offerings; i++) {
        const struct rp_plan_offering *offering = &input->offerings[i];
        unsigned n =
            rp_fleet_n_requested(scheduler->fleet, offering->type, offering->zone, offering->spot);
        for (; n > 0; n--)
            input->machines[input->plan_input.n_machines++] = (struct rp_plan_machine){
                .type = offering->type,
                .zone = offering->zone,
                .spot = offering->spot,
                .price = offering->price,
                .fetch_gb_per_s = offering->fetch_gb_per_s,
                .capacity = offering->capacity,
                .free_later = offering->capacity,
                .free_later_after_s = catalog->types[offering->type].boot_s};
    }
}

void rp_machine_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                            struct timespec now) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    size_t pending = 0;
    for (size_t t = 0; t < catalog->n_types; t++)
        note_full_gpu_work(scheduler, t);
    for (size_t i = 0; i < input->plan_input.n_offerings; i++)
        pending += rp_fleet_n_requested(scheduler->fleet, input->offerings[i].type,
                                        input->offerings[i].zone, input->offerings[i].spot);
    input->machines = calloc(scheduler->cluster->n_machines + pending + 1, sizeof *input->machines);
    size_t allocations = 1;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        allocations += machine->n_allocations;
    input->releases = calloc(allocations, sizeof *input->releases);
    if (!input->machines || !input->releases)
        return;
    rp_reservation_mark_jobs(scheduler);
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next)
        if (is_plannable(scheduler, machine, now)) {
            describe_machine(scheduler, machine, &input->machines[input->plan_input.n_machines++],
                             &input->releases[input->n_releases], now);
            input->n_releases += machine->n_allocations;
        }
    add_requested_machines(scheduler, input);
    input->plan_input.machines = input->machines;
}
