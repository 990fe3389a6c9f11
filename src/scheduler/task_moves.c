#include "scheduler/task_moves.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "scheduler/remaining_time.h"
#include "scheduler/reservation.h"

/* Least run time, in seconds, before a task is moved: a start that is stopped sooner counts for no
 * objective (PROTOCOL). */
#define TASK_RUN_MIN_S 31
/* Least run time, in seconds, before a replica is moved, so that it is not moved again at once. */
#define REPLICA_RUN_MIN_S 60
/* Time, in seconds, for which a replica is assumed to be still needed. */
#define REPLICA_REMAINING_S 300

/* Seconds until the machine's last task ends; 0 for a machine of unknown type, to which no task is
 * moved. */
static double find_busy_s(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                          struct timespec now) {
    double busy_s = 0;
    for (size_t i = 0; machine->type >= 0 && i < machine->n_allocations; i++)
        busy_s = fmax(busy_s,
                      rp_task_moves_occupied_s(scheduler, machine, &machine->allocations[i], now));
    return busy_s;
}

bool rp_task_moves_init(struct rp_task_moves *moves, const struct rp_scheduler *scheduler,
                        struct rp_step_budget *steps, struct timespec now) {
    size_t n = scheduler->cluster->n_machines;
    *moves = (struct rp_task_moves){.n_machines = n, .steps = steps};
    moves->free_resources = calloc(n + 1, sizeof *moves->free_resources);
    moves->busy_s = calloc(n + 1, sizeof *moves->busy_s);
    moves->is_source = calloc(n + 1, sizeof *moves->is_source);
    if (!moves->free_resources || !moves->busy_s || !moves->is_source)
        return false;
    size_t index = 0;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next, index++) {
        moves->free_resources[index] = rp_machine_free_resources(scheduler->cluster, machine);
        moves->busy_s[index] = find_busy_s(scheduler, machine, now);
        moves->is_source[index] = machine->scale_in.draining;
    }
    return true;
}

void rp_task_moves_free(struct rp_task_moves *moves) {
    free(moves->free_resources);
    free(moves->busy_s);
    free(moves->is_source);
}

bool rp_task_moves_is_movable(const struct rp_allocation *allocation, struct timespec now) {
    const struct rp_job_spec *spec = &allocation->job->spec;
    bool is_replica = spec->kind == RP_JOB_SERVICE;
    bool keeps_progress =
        is_replica || (spec->checkpoint_interval_s > 0 && spec->kind == RP_JOB_ARRAY);
    bool is_running =
        allocation->state == RP_ALLOCATION_SEEN && allocation->task_state == RP_TASK_RUNNING;
    return is_running && !allocation->stop_requested && keeps_progress &&
           rp_ts_since(now, allocation->running_since) >
               (is_replica ? REPLICA_RUN_MIN_S : TASK_RUN_MIN_S);
}

double rp_task_moves_occupied_s(const struct rp_scheduler *scheduler,
                                const struct rp_machine *machine,
                                const struct rp_allocation *allocation, struct timespec now) {
    if (allocation->state == RP_ALLOCATION_EXITED)
        return 0;
    return allocation->job->spec.kind == RP_JOB_SERVICE
               ? REPLICA_REMAINING_S
               : rp_allocation_remaining_s(scheduler, machine, allocation, now);
}

bool rp_task_moves_may_change_zone(const struct rp_machine *from, const struct rp_machine *target,
                                   const struct rp_job *job) {
    if (from->zone == target->zone || (!job->spec.one_zone && !job->spec.spread))
        return true;
    return !job->spec.one_zone &&
           job->n_allocated_by_zone[target->zone] + 1 <= (job->spec.n_tasks + 1) / 2;
}

/* Whether the task could continue at once on the other machine, whose free resources are given. */
static bool may_move_to(const struct rp_scheduler *scheduler, const struct rp_machine *from,
                        const struct rp_machine *target, const struct rp_job *job,
                        const struct rp_resources *available) {
    if (target == from || !rp_machine_is_usable(target) || rp_reservation_job(scheduler, target) ||
        rp_machine_is_idle(target))
        return false;
    return rp_cluster_is_kind_allowed(scheduler->cluster, &job->spec, target->type, target->zone,
                                      target->spot) &&
           rp_task_moves_may_change_zone(from, target, job) &&
           rp_resources_fit(&job->spec.task_resources, available) &&
           rp_machine_has_image(target, job->image_hash);
}

/* Stores the index of the machine to which the task moves at the least cost: the cost of keeping
 * that machine longer for the task. Returns the cost, as hourly price times seconds, or -1 if no
 * machine can take the task. */
static double cheapest_move(const struct rp_scheduler *scheduler, const struct rp_task_moves *moves,
                            const struct rp_machine *from, const struct rp_allocation *allocation,
                            size_t *target, struct timespec now) {
    const struct rp_job *job = allocation->job;
    double needed_s = rp_task_moves_occupied_s(scheduler, from, allocation, now) + RP_TASK_MOVE_S +
                      job->spec.save_duration_s;
    double best_cost = -1;
    size_t index = 0;
    rp_step_budget_take(moves->steps, moves->n_machines);
    for (const struct rp_machine *other = scheduler->cluster->first; other;
         other = other->next, index++) {
        if (moves->is_source[index] ||
            !may_move_to(scheduler, from, other, job, &moves->free_resources[index]))
            continue;
        double cost =
            fmax(0, needed_s - moves->busy_s[index]) *
            rp_fleet_hourly_price(rp_scheduler_catalog(scheduler), other->type, other->spot);
        if (best_cost < 0 || cost < best_cost) {
            best_cost = cost;
            *target = index;
        }
    }
    return best_cost;
}

double rp_task_moves_take_capacity(const struct rp_scheduler *scheduler,
                                   struct rp_task_moves *moves, const struct rp_machine *machine,
                                   struct timespec now) {
    double cost = 0;
    size_t *targets = calloc(machine->n_allocations + 1, sizeof *targets);
    size_t n = 0;
    if (!targets)
        return -1;
    for (; n < machine->n_allocations && cost >= 0; n++) {
        const struct rp_allocation *allocation = &machine->allocations[n];
        targets[n] = moves->n_machines;
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        double extra_cost = cheapest_move(scheduler, moves, machine, allocation, &targets[n], now);
        if (extra_cost < 0) {
            cost = -1;
            break;
        }
        rp_resources_sub(&moves->free_resources[targets[n]], &allocation->job->spec.task_resources);
        cost = fmax(cost, extra_cost);
    }
    for (size_t i = 0; cost < 0 && i < n; i++)
        if (targets[i] < moves->n_machines)
            rp_resources_add(&moves->free_resources[targets[i]],
                             &machine->allocations[i].job->spec.task_resources);
    free(targets);
    return cost;
}

double rp_task_moves_extra_cost(const struct rp_scheduler *scheduler, struct rp_task_moves *moves,
                                const struct rp_machine *machine, struct timespec now) {
    /* The free resources are restored from a copy, since taking capacity and returning it changes
     * them by rounding. */
    struct rp_resources *before = calloc(moves->n_machines + 1, sizeof *before);
    if (!before)
        return -1;
    memcpy(before, moves->free_resources, moves->n_machines * sizeof *before);
    double cost = rp_task_moves_take_capacity(scheduler, moves, machine, now);
    memcpy(moves->free_resources, before, moves->n_machines * sizeof *before);
    free(before);
    return cost;
}
