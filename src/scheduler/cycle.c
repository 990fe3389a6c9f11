#include "scheduler/cycle.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "scheduler/cycle_input_build.h"
#include "scheduler/gang_repair.h"
#include "scheduler/gang_reservation.h"
#include "scheduler/machine_draining.h"
#include "scheduler/plan_cost.h"
#include "scheduler/portfolio.h"
#include "scheduler/preemption.h"
#include "scheduler/quota.h"
#include "scheduler/replica_placement.h"
#include "scheduler/reservation.h"
#include "scheduler/service_controller.h"
#include "scheduler/service_headroom.h"

#define LOG_UTILIZATION_CYCLES 10 /* cycles between two debug logs of the utilization */
#define FIRST_CYCLE_DELAY_S 0.2   /* seconds from the start of leading to the first cycle */

static void on_cycle_timer(void *arg);

void rp_scheduler_init(struct rp_scheduler *scheduler, struct rp_loop *loop,
                       struct rp_election *election, struct rp_cluster *cluster,
                       struct rp_jobs *jobs, struct rp_fleet *fleet, struct rp_services *services,
                       const struct rp_settings *settings, struct rp_metrics *metrics) {
    memset(scheduler, 0, sizeof *scheduler);
    scheduler->services = services;
    scheduler->metrics = metrics;
    scheduler->loop = loop;
    scheduler->election = election;
    scheduler->cluster = cluster;
    scheduler->jobs = jobs;
    scheduler->fleet = fleet;
    scheduler->settings = settings;
    scheduler->timer = (struct rp_timer){.fn = on_cycle_timer, .arg = scheduler};
    for (size_t i = 0; i < settings->tuning.n_heuristics; i++)
        if (rp_heuristic_from_name(settings->tuning.heuristics[i],
                                   &scheduler->heuristics[scheduler->n_heuristics]))
            scheduler->n_heuristics++;
}

void rp_scheduler_start(struct rp_scheduler *scheduler) {
    scheduler->active = true;
    rp_timer_set(scheduler->loop, &scheduler->timer, FIRST_CYCLE_DELAY_S);
}

void rp_scheduler_stop(struct rp_scheduler *scheduler) {
    scheduler->active = false;
    rp_timer_cancel(scheduler->loop, &scheduler->timer);
}

static void on_cycle_timer(void *arg) {
    struct rp_scheduler *scheduler = arg;
    rp_timer_set(scheduler->loop, &scheduler->timer, scheduler->settings->tuning.round_period_s);
    if (rp_cluster_is_short_of_attempts(scheduler->cluster)) {
        rp_info("attempt numbers of the term nearly used up, resigning");
        rp_election_resign(scheduler->election, 0);
        return;
    }
    rp_scheduler_run_cycle(scheduler);
}

/* ---- applying the winning plan ---- */

static struct rp_step_budget *start_steps(struct rp_scheduler *scheduler) {
    return &scheduler->activities[RP_ACTIVITY_STARTS].steps;
}

/* Starts up to `count` tasks. Tasks of an array that are left when the steps are spent are planned
 * anew in the next cycle; a gang starts whole. */
static void start_tasks(struct rp_scheduler *scheduler, struct rp_job *job,
                        struct rp_machine *machine, uint32_t count, uint64_t gang_attempt) {
    for (uint32_t i = 0; i < count; i++) {
        uint32_t task;
        if (!gang_attempt && rp_step_budget_is_spent(start_steps(scheduler)))
            return;
        uint32_t n_before = job->first_startable_task;
        bool is_found = rp_job_find_startable_task(job, &task);
        rp_step_budget_take(start_steps(scheduler), job->first_startable_task - n_before + 1 +
                                                        machine->n_allocations +
                                                        scheduler->cluster->n_unreconciled);
        if (!is_found || !rp_cluster_may_start(scheduler->cluster, job, task, machine))
            return;
        if (job->spec.kind == RP_JOB_SERVICE && rp_replica_placement_n_startable(job) == 0)
            return;
        rp_allocation_add(scheduler->cluster, machine, job, task,
                          gang_attempt ? gang_attempt : rp_cluster_next_attempt(scheduler->cluster),
                          RP_ALLOCATION_PLANNED);
    }
}

static void apply_starts(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                         const struct rp_plan *plan) {
    (void)rp_activity_begin(&scheduler->activities[RP_ACTIVITY_STARTS], 0);
    for (size_t i = 0; i < plan->n_placements;) {
        const struct rp_plan_group *group = &input->groups[plan->placements[i].group];
        size_t end = i;
        bool all_start_now = true;
        while (end < plan->n_placements && plan->placements[end].group == plan->placements[i].group)
            all_start_now &= plan->placements[end++].starts_now;
        /* A gang is started only once the plan places all its tasks on machines that are up and
         * have the capacity now. Its tasks share one attempt number. */
        bool is_gang = group->kind == RP_JOB_GANG;
        all_start_now &= !rp_step_budget_is_spent(start_steps(scheduler));
        uint64_t attempt =
            is_gang && all_start_now ? rp_cluster_next_attempt(scheduler->cluster) : 0;
        for (; i < end; i++) {
            const struct rp_placement *placement = &plan->placements[i];
            if (placement->starts_now && (!is_gang || all_start_now))
                start_tasks(scheduler, group->ref, input->machines[placement->machine].ref,
                            placement->count, attempt);
        }
    }
}

static void scale_out(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                      const struct rp_plan *plan) {
    for (size_t k = 0; k < input->plan_input.n_offerings; k++) {
        const struct rp_plan_offering *offering = &input->offerings[k];
        unsigned n = 0;
        for (size_t i = 0; i < plan->n_new_machines; i++)
            n += plan->new_machines[i] == k;
        if (n > 0)
            rp_fleet_scale_out(scheduler->fleet, offering->type, offering->zone, offering->spot, n);
    }
}

/* Whether the machine's capacity counts as headroom for services: only that of ordinary machines
 * without GPUs does. */
static bool is_headroom_machine(const struct rp_scheduler *scheduler,
                                const struct rp_machine *machine) {
    return !machine->spot &&
           rp_scheduler_catalog(scheduler)->types[machine->type].capacity.gpus <= 0;
}

/* Services are submitted at any moment and are to run within seconds, while a machine takes half a
 * minute or more to boot. If the capacity for the services expected in that time is neither free
 * nor held by work that can be stopped at once, one more machine is provisioned, of the offering
 * with the most CPUs per price. */
static void provision_headroom(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                               const struct rp_plan *plan) {
    const struct rp_plan_offering *best = NULL;
    if (plan->n_new_machines > 0 || rp_service_headroom_ready_cpus(scheduler->services) >=
                                        rp_service_headroom_target_cpus(scheduler->services))
        return;
    for (size_t k = 0; k < input->plan_input.n_offerings; k++) {
        const struct rp_plan_offering *offering = &input->offerings[k];
        if (offering->spot || offering->capacity.gpus > 0)
            continue;
        if (rp_fleet_n_requested(scheduler->fleet, offering->type, offering->zone, offering->spot) >
            0)
            return;
        if (!offering->refused && offering->price > 0 &&
            (!best ||
             offering->capacity.cpus / offering->price > best->capacity.cpus / best->price))
            best = offering;
    }
    if (best)
        rp_fleet_scale_out(scheduler->fleet, best->type, best->zone, false, 1);
}

static void scale_in_idle(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                          const struct rp_plan *plan, struct timespec now) {
    const struct rp_tuning *tuning = &scheduler->settings->tuning;
    double target_cpus = rp_service_headroom_target_cpus(scheduler->services);
    /* Computed once per cycle. If it were computed again for each idle machine, a cycle with
     * thousands of idle machines would take seconds. */
    double ready_cpus = rp_service_headroom_ready_cpus(scheduler->services);
    bool *is_used = calloc(input->plan_input.n_machines + 1, sizeof *is_used);
    if (!is_used)
        return;
    for (size_t p = 0; p < plan->n_placements; p++)
        if (plan->placements[p].machine < input->plan_input.n_machines)
            is_used[plan->placements[p].machine] = true;
    for (size_t i = 0; i < input->plan_input.n_machines; i++) {
        struct rp_machine *machine = input->machines[i].ref;
        /* A machine that is reserved for a gang is idle until the last of the gang's machines is
         * free, and no plan places other work on it. Without this check, it is released at the end
         * of its billing unit and provisioned again at once, repeatedly for minutes, and the gang
         * never has all its machines at the same time. */
        if (!machine || is_used[i] || !rp_machine_is_idle(machine) ||
            machine->state != RP_MACHINE_UP || rp_reservation_job(scheduler, machine))
            continue;
        double age_s = rp_ts_since(now, machine->requested_at);
        double unit_age_s = fmod(age_s, tuning->billing_unit_s);
        double machine_ready_cpus =
            rp_service_headroom_machine_ready_cpus(scheduler->services, machine);
        /* The first minute of a machine is charged even if the machine is released earlier
         * (PROTOCOL, price). */
        if (age_s >= RP_MIN_CHARGE_S - tuning->return_margin_s &&
            unit_age_s >= tuning->billing_unit_s - tuning->return_margin_s &&
            !(is_headroom_machine(scheduler, machine) &&
              ready_cpus - machine_ready_cpus < target_cpus - RP_SERVICE_HEADROOM_TOLERANCE_CPUS)) {
            rp_fleet_scale_in(scheduler->fleet, machine, "idle");
            ready_cpus -= machine_ready_cpus;
        }
    }
    free(is_used);
}

/* The amount of the resource by which utilization is measured: GPUs for machine types that have
 * them, else CPUs. */
static double main_resource(const struct rp_resources *capacity,
                            const struct rp_resources *amount) {
    return capacity->gpus > 0 ? amount->gpus : amount->cpus;
}

/* How the capacity of a machine type is used, in GPUs for types that have them, else in CPUs. */
struct type_utilization {
    unsigned n_up, n_booting, n_idle;
    double capacity;
    double by_task_state[RP_TASK_EXITED + 1];
};

static void add_machine_utilization(struct type_utilization *utilization,
                                    const struct rp_machine *machine,
                                    const struct rp_resources *capacity) {
    bool is_up = machine->state == RP_MACHINE_UP;
    utilization->n_up += is_up;
    utilization->n_booting += machine->state == RP_MACHINE_BOOTING;
    utilization->n_idle += is_up && machine->n_allocations == 0;
    utilization->capacity += is_up ? main_resource(capacity, capacity) : 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_EXITED)
            utilization->by_task_state[allocation->task_state] +=
                main_resource(capacity, &allocation->job->spec.task_resources);
    }
}

static void log_utilization(const struct rp_scheduler *scheduler) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    for (size_t t = 0; t < catalog->n_types; t++) {
        struct type_utilization utilization = {0};
        for (const struct rp_machine *machine = scheduler->cluster->first; machine;
             machine = machine->next)
            if (machine->type == (int)t)
                add_machine_utilization(&utilization, machine, &catalog->types[t].capacity);
        rp_debug(
            "use of capacity: type=%s n_up=%u n_idle=%u n_booting=%u capacity=%.0f "
            "fetching=%.1f waiting=%.1f running=%.1f saving=%.1f",
            catalog->types[t].name, utilization.n_up, utilization.n_idle, utilization.n_booting,
            utilization.capacity, utilization.by_task_state[RP_TASK_FETCHING],
            utilization.by_task_state[RP_TASK_WAITING], utilization.by_task_state[RP_TASK_RUNNING],
            utilization.by_task_state[RP_TASK_SAVING]);
    }
}

static void log_plan(const struct rp_scheduler *scheduler, const struct rp_plan_input *input,
                     const struct rp_plan *plan, size_t winner) {
    rp_debug("cycle planned: cycle=%lu n_groups=%zu n_machines=%zu n_starting=%u n_waiting=%u "
             "n_new_machines=%zu unplaced=%.0f cost=%.3f heuristic=%s",
             scheduler->n_cycles, input->n_groups, input->n_machines, plan->n_starting,
             plan->n_waiting, plan->n_new_machines, plan->unplaced_work, plan->cost,
             scheduler->settings->tuning.heuristics[winner]);
    if (rp_log_current_level() >= RP_LOG_DEBUG && scheduler->n_cycles % LOG_UTILIZATION_CYCLES == 0)
        log_utilization(scheduler);
}

/* Starts what the plan places now and provisions the machines that it needs, then does what plans
 * do not contain: preemption, reservations, draining and scale in. */
static void apply_plan(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                       struct rp_plan *plan, struct timespec now) {
    bool may_scale_in = rp_fleet_may_scale_in_idle(scheduler->fleet);
    rp_preemption_prefer_image_holders(scheduler, input, plan, now);
    apply_starts(scheduler, input, plan);
    rp_service_controller_send_commands(scheduler->services);
    /* While machines from before the failover are unreconciled, the tasks on them are unknown.
     * Machines provisioned for tasks that may already be running would be wasted. */
    if (rp_cluster_is_reconciled(scheduler->cluster)) {
        scale_out(scheduler, input, plan);
        provision_headroom(scheduler, input, plan);
        rp_quota_enforce_guarantees(scheduler, input, plan, now);
        rp_preemption_run(scheduler, input, plan, now);
        rp_gang_reservation_run(scheduler, input, plan, now);
        if (may_scale_in)
            rp_machine_draining_run(scheduler, input, now);
    }
    if (may_scale_in)
        scale_in_idle(scheduler, input, plan, now);
}

void rp_scheduler_run_cycle(struct rp_scheduler *scheduler) {
    struct timespec now = rp_loop_now(scheduler->loop);
    struct rp_cycle_input input;
    struct rp_plan plan = {0};
    if (!scheduler->active || !rp_election_is_valid(scheduler->election, now) ||
        !rp_jobs_may_start_tasks(scheduler->jobs))
        return;
    scheduler->last_cycle_at = now;
    scheduler->n_cycles++;
    rp_service_controller_run(scheduler->services);
    rp_gang_repair_run(scheduler, now);
    if (!rp_cycle_input_build(scheduler, &input, now))
        goto out;
    size_t winner =
        rp_plan_best(&input.plan_input, scheduler->heuristics, scheduler->n_heuristics, &plan);
    if (plan.failed)
        goto out;
    scheduler->n_wins[winner]++;
    scheduler->n_machines_examined += plan.n_machines_examined;
    memcpy(scheduler->short_of_capacity, plan.short_of_capacity,
           sizeof scheduler->short_of_capacity);
    log_plan(scheduler, &input.plan_input, &plan, winner);
    apply_plan(scheduler, &input, &plan, now);
    scheduler->last_cycle_duration_s = rp_ts_since(rp_loop_now(scheduler->loop), now);
    rp_metrics_add(scheduler->metrics, RP_METRIC_CYCLE, scheduler->last_cycle_duration_s);
out:
    rp_plan_free(&plan);
    rp_cycle_input_free(&input);
}
