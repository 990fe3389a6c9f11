#include "scheduler/machine_input.h"

#include <math.h>
#include <stdlib.h>
#include "scheduler/plan_resources.h"
#include "scheduler/remaining_time.h"
#include "scheduler/reservation.h"

/* No work is planned on a machine whose boot takes more than this many times its type's boot time.
 */
#define BOOT_OVERDUE_FACTOR 2.2
/* Least remaining boot time, in seconds, that is assumed for a booting machine, even if the machine
 * should be up already. */
#define BOOT_REMAINING_MIN_S 2

static void insert_release(struct rp_plan_release *releases, size_t *n, double after_s,
                           const struct rp_resources *released) {
    size_t index = (*n)++;
    for (; index > 0 && releases[index - 1].after_s > after_s; index--)
        releases[index] = releases[index - 1];
    releases[index] = (struct rp_plan_release){.after_s = after_s, .released = *released};
}

static void fill_work(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                      struct rp_plan_machine *out, struct rp_plan_release *releases,
                      struct timespec now) {
    double task_age_sum_s = 0;
    out->releases = releases;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        double left_s = rp_allocation_remaining_s(scheduler, machine, allocation, now);
        double task_age_s = rp_ts_since(now, allocation->planned_at);
        bool is_service = allocation->job->spec.kind == RP_JOB_SERVICE;
        out->busy_s = fmax(out->busy_s, left_s);
        if (allocation->job->spec.task_resources.gpus > 0)
            out->gpu_busy_s = fmax(out->gpu_busy_s, left_s);
        out->first_arrival_s = fmax(out->first_arrival_s, task_age_s);
        out->last_arrival_s =
            task_age_sum_s == 0 ? task_age_s : fmin(out->last_arrival_s, task_age_s);
        task_age_sum_s += task_age_s;
        /* For formula (1) a service ends with its machine's billing unit, as does a task without an
         * estimate. Its resources are not counted as released, because no other work may rely on
         * them. */
        if (is_service) {
            out->service_share +=
                rp_plan_share_of_machine(&allocation->job->spec.task_resources, &out->capacity);
            continue;
        }
        out->work_s += left_s * rp_plan_share_of_machine(&allocation->job->spec.task_resources,
                                                         &out->capacity);
        insert_release(releases, &out->n_releases, left_s, &allocation->job->spec.task_resources);
        if (left_s <= out->free_later_after_s)
            rp_resources_add(&out->free_later, &allocation->job->spec.task_resources);
    }
    out->mean_arrival_s =
        machine->n_allocations ? task_age_sum_s / (double)machine->n_allocations : 0;
}

static int compare_holdings(const void *a, const void *b) {
    uintptr_t left = (uintptr_t)((const struct rp_plan_holding *)a)->job;
    uintptr_t right = (uintptr_t)((const struct rp_plan_holding *)b)->job;
    return left < right ? -1 : left > right;
}

/* Counts the tasks of jobs whose tasks are small even on the empty machine. */
static void fill_holdings(const struct rp_machine *machine, struct rp_plan_machine *out,
                          struct rp_plan_holding *holdings) {
    size_t n = 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_job *job = machine->allocations[i].job;
        if (!rp_resources_takes_share(&job->spec.task_resources, &out->capacity))
            holdings[n++] = (struct rp_plan_holding){.job = job, .n_tasks = 1};
    }
    qsort(holdings, n, sizeof *holdings, compare_holdings);
    out->holdings = holdings;
    for (size_t i = 0; i < n; i++)
        if (out->n_holdings > 0 && holdings[out->n_holdings - 1].job == holdings[i].job)
            holdings[out->n_holdings - 1].n_tasks++;
        else
            holdings[out->n_holdings++] = holdings[i];
}

/* Resources of a GPU machine that its GPU work does not use even when it fills the machine
 * (full_gpu_work), less what other work on it uses. No resources are spare while an image is
 * fetched for a GPU task, because another fetch would slow it down. */
static struct rp_resources spare_capacity(const struct rp_scheduler *scheduler,
                                          const struct rp_machine *machine) {
    const struct rp_resources *capacity =
        &rp_scheduler_catalog(scheduler)->types[machine->type].capacity;
    const struct rp_resources *full_work = &scheduler->full_gpu_work[machine->type];
    struct rp_resources spare = {0};
    if (capacity->gpus <= 0 || full_work->gpus <= 0 || !rp_machine_is_usable(machine))
        return spare;
    spare = *capacity;
    rp_resources_sub(&spare, full_work);
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

static void fill_machine(const struct rp_scheduler *scheduler, struct rp_machine *machine,
                         struct rp_plan_machine *out, struct rp_cycle_input *input,
                         struct timespec now) {
    const struct rp_machine_type *type = &rp_scheduler_catalog(scheduler)->types[machine->type];
    struct rp_resources free_resources = rp_machine_free_resources(scheduler->cluster, machine);
    *out = (struct rp_plan_machine){.ref = machine,
                                    .type = machine->type,
                                    .zone = machine->zone,
                                    .spot = machine->spot,
                                    .price = rp_fleet_hourly_price(rp_scheduler_catalog(scheduler),
                                                                   machine->type, machine->spot),
                                    .fetch_gb_per_s = type->fetch_gb_per_s,
                                    .capacity = type->capacity,
                                    .free_later = free_resources,
                                    .free_later_after_s = type->boot_s,
                                    .age_s = rp_ts_since(now, machine->requested_at)};
    if (machine->state == RP_MACHINE_BOOTING) {
        out->free_later_after_s = fmax(type->boot_s - out->age_s, BOOT_REMAINING_MIN_S);
        return;
    }
    if (rp_machine_is_usable(machine))
        out->free_now = free_resources;
    out->free_spare = spare_capacity(scheduler, machine);
    fill_work(scheduler, machine, out, &input->releases[input->n_releases], now);
    input->n_releases += machine->n_allocations;
    fill_holdings(machine, out, &input->holdings[input->n_holdings]);
    input->n_holdings += out->n_holdings;
    /* Capacity that is being freed for a job is not given to other jobs while part of it is still
     * in use. */
    const struct rp_job *job = rp_reservation_job(scheduler, machine);
    if (job && rp_reservation_is_exclusive(job)) {
        out->reserved_for = job;
    } else if (job) {
        rp_resources_sub(&out->free_now, &job->spec.task_resources);
        rp_resources_sub(&out->free_later, &job->spec.task_resources);
    }
}

static bool can_be_planned_on(const struct rp_scheduler *scheduler,
                              const struct rp_machine *machine, struct timespec now) {
    if (machine->type < 0 || machine->zone < 0)
        return false;
    if (machine->state == RP_MACHINE_BOOTING)
        return rp_ts_since(now, machine->requested_at) <
               rp_scheduler_catalog(scheduler)->types[machine->type].boot_s * BOOT_OVERDUE_FACTOR;
    return machine->state == RP_MACHINE_UP && !machine->health.quarantined &&
           !machine->health.suspected && !machine->spot_notice.received &&
           !machine->scale_in.draining && !rp_machine_is_one_way_partitioned(machine);
}

/* Updates the resources that the current GPU work takes of a machine of this type when it fills it.
 * This is the largest need of the tasks that take all GPUs, or, if greater, the mean need of
 * smaller tasks in the number that fills the GPUs, because tasks of several sizes share a machine.
 */
static void update_full_gpu_work(struct rp_scheduler *scheduler, size_t type) {
    const struct rp_resources *capacity = &rp_scheduler_catalog(scheduler)->types[type].capacity;
    struct rp_resources largest = {0};
    struct rp_resources smaller_sum = {0};
    double n_smaller = 0;
    for (const struct rp_job *job = scheduler->jobs->table.first; job; job = job->next) {
        const struct rp_resources *need = &job->spec.task_resources;
        if (need->gpus <= 0 || !rp_resources_fit(need, capacity))
            continue;
        /* A task may ask for all but no GPU, but a machine never has more tasks than task slots. */
        double n = fmin(floor(capacity->gpus / need->gpus + 1e-9), RP_MACHINE_TASK_SLOTS);
        if (n <= 1) {
            largest.cpus = fmax(largest.cpus, need->cpus);
            largest.memory_gb = fmax(largest.memory_gb, need->memory_gb);
        } else {
            n_smaller++;
            smaller_sum.cpus += n * need->cpus;
            smaller_sum.memory_gb += n * need->memory_gb;
        }
        largest.gpus = capacity->gpus;
    }
    scheduler->full_gpu_work[type] = largest;
    if (n_smaller > 0) {
        scheduler->full_gpu_work[type].cpus = fmax(largest.cpus, smaller_sum.cpus / n_smaller);
        scheduler->full_gpu_work[type].memory_gb =
            fmax(largest.memory_gb, smaller_sum.memory_gb / n_smaller);
    }
}

/* Adds the machines that were requested from the cloud and whose names are not known yet: they hold
 * the capacity for the tasks that are planned on them. */
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
    size_t n_requested = 0;
    for (size_t t = 0; t < catalog->n_types; t++)
        update_full_gpu_work(scheduler, t);
    for (size_t i = 0; i < input->plan_input.n_offerings; i++)
        n_requested += rp_fleet_n_requested(scheduler->fleet, input->offerings[i].type,
                                            input->offerings[i].zone, input->offerings[i].spot);
    input->machines =
        calloc(scheduler->cluster->n_machines + n_requested + 1, sizeof *input->machines);
    size_t n_tasks_max = 1;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        n_tasks_max += machine->n_allocations;
    input->releases = calloc(n_tasks_max, sizeof *input->releases);
    input->holdings = calloc(n_tasks_max, sizeof *input->holdings);
    if (!input->machines || !input->releases || !input->holdings)
        return;
    rp_reservation_mark_jobs(scheduler);
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next)
        if (can_be_planned_on(scheduler, machine, now)) {
            fill_machine(scheduler, machine, &input->machines[input->plan_input.n_machines++],
                         input, now);
        }
    add_requested_machines(scheduler, input);
    input->plan_input.machines = input->machines;
}
