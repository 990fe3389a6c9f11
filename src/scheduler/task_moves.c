#include "scheduler/task_moves.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "scheduler/remaining_time.h"
#include "scheduler/reservation.h"

#define START_COUNTS_S 31    /* a start that is stopped sooner counts for no objective (PROTOCOL) */
#define REPLICA_SETTLED_S 60 /* a replica that came so recently isn't moved again */
#define REPLICA_STAYS_S 300  /* how much longer a replica is expected to be wanted */

bool rp_task_moves_init(struct rp_task_moves *moves, const struct rp_scheduler *scheduler) {
    size_t n = scheduler->cluster->n_machines;
    *moves = (struct rp_task_moves){.n = n};
    moves->free = calloc(n + 1, sizeof *moves->free);
    moves->is_source = calloc(n + 1, sizeof *moves->is_source);
    if (!moves->free || !moves->is_source)
        return false;
    size_t index = 0;
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next, index++) {
        moves->free[index] = rp_machine_free_resources(scheduler->cluster, machine);
        moves->is_source[index] = machine->scale_in.draining;
    }
    return true;
}

void rp_task_moves_free(struct rp_task_moves *moves) {
    free(moves->free);
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
               (is_replica ? REPLICA_SETTLED_S : START_COUNTS_S);
}

double rp_task_moves_occupied_s(const struct rp_scheduler *scheduler,
                                const struct rp_machine *machine,
                                const struct rp_allocation *allocation, struct timespec now) {
    if (allocation->state == RP_ALLOCATION_EXITED)
        return 0;
    return allocation->job->spec.kind == RP_JOB_SERVICE
               ? REPLICA_STAYS_S
               : rp_allocation_remaining_s(scheduler, machine, allocation, now);
}

bool rp_task_moves_may_change_zone(const struct rp_machine *from, const struct rp_machine *target,
                                   const struct rp_job *job) {
    if (from->zone == target->zone || (!job->spec.one_zone && !job->spec.spread))
        return true;
    return !job->spec.one_zone && job->zone_count[target->zone] + 1 <= (job->spec.n_tasks + 1) / 2;
}

/* Whether the task could go on at once on the other machine, whose free capacity is given. */
static bool may_move_to(const struct rp_scheduler *scheduler, const struct rp_machine *from,
                        const struct rp_machine *target, const struct rp_job *job,
                        const struct rp_resources *available) {
    if (target == from || !rp_machine_is_usable(target) || rp_reservation_job(scheduler, target) ||
        rp_machine_is_idle(target))
        return false;
    return rp_cluster_is_allowed(scheduler->cluster, &job->spec, target->type, target->zone,
                                 target->spot) &&
           rp_task_moves_may_change_zone(from, target, job) &&
           rp_resources_fit(&job->spec.task_resources, available) &&
           rp_machine_has_image(target, job->image_hash);
}

/* The machine that has to be kept least longer for a task that moves to it; returns what that
 * costs, or -1 when none has room. */
static double cheapest_move(const struct rp_scheduler *scheduler, const struct rp_task_moves *moves,
                            const struct rp_machine *from, const struct rp_allocation *allocation,
                            size_t *target, struct timespec now) {
    const struct rp_job *job = allocation->job;
    double left_s = rp_task_moves_occupied_s(scheduler, from, allocation, now) + RP_TASK_MOVE_S +
                    job->spec.save_duration_s;
    double best = -1;
    size_t index = 0;
    for (const struct rp_machine *other = scheduler->cluster->first; other;
         other = other->next, index++) {
        if (moves->is_source[index] ||
            !may_move_to(scheduler, from, other, job, &moves->free[index]))
            continue;
        double busy_s = 0;
        for (size_t k = 0; k < other->n_allocations; k++)
            busy_s = fmax(busy_s,
                          rp_task_moves_occupied_s(scheduler, other, &other->allocations[k], now));
        double price =
            fmax(0, left_s - busy_s) *
            rp_fleet_hourly_price(rp_scheduler_catalog(scheduler), other->type, other->spot);
        if (best < 0 || price < best) {
            best = price;
            *target = index;
        }
    }
    return best;
}

double rp_task_moves_take(const struct rp_scheduler *scheduler, struct rp_task_moves *moves,
                          const struct rp_machine *machine, struct timespec now) {
    double price = 0;
    size_t *targets = calloc(machine->n_allocations + 1, sizeof *targets);
    size_t n = 0;
    if (!targets)
        return -1;
    for (; n < machine->n_allocations && price >= 0; n++) {
        const struct rp_allocation *allocation = &machine->allocations[n];
        targets[n] = moves->n;
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        double more = cheapest_move(scheduler, moves, machine, allocation, &targets[n], now);
        if (more < 0) {
            price = -1;
            break;
        }
        rp_resources_sub(&moves->free[targets[n]], &allocation->job->spec.task_resources);
        price = fmax(price, more);
    }
    for (size_t i = 0; price < 0 && i < n; i++)
        if (targets[i] < moves->n)
            rp_resources_add(&moves->free[targets[i]],
                             &machine->allocations[i].job->spec.task_resources);
    free(targets);
    return price;
}

double rp_task_moves_price(const struct rp_scheduler *scheduler, struct rp_task_moves *moves,
                           const struct rp_machine *machine, struct timespec now) {
    /* A copy, since what is taken and given back again differs by rounding. */
    struct rp_resources *before = calloc(moves->n + 1, sizeof *before);
    if (!before)
        return -1;
    memcpy(before, moves->free, moves->n * sizeof *before);
    double price = rp_task_moves_take(scheduler, moves, machine, now);
    memcpy(moves->free, before, moves->n * sizeof *before);
    free(before);
    return price;
}
