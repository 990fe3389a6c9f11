#include "scheduler/replica_moves.h"

#include "scheduler/replica_placement.h"
#include "scheduler/replica_preemption.h"
#include "scheduler/task_moves.h"

/* A replica moves only to a machine whose penalty (replica_placement.h) is less than this, in
 * seconds. */
#define TARGET_PENALTY_MAX_S 3.0

/* Whether some replica is missing, being stopped, or not running yet. */
static bool is_any_replica_in_transition(const struct rp_services *services) {
    for (const struct rp_job *job = services->jobs->table.first; job; job = job->next)
        if (job->spec.kind == RP_JOB_SERVICE && job->state == RP_JOB_OPEN &&
            job->n_running < job->spec.n_tasks)
            return true;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (machine->allocations[i].job->spec.kind == RP_JOB_SERVICE &&
                rp_replica_preemption_is_ending(&machine->allocations[i]))
                return true;
    return false;
}

/* Whether the replica could be started at once on another machine. */
static bool can_move(const struct rp_services *services, const struct rp_machine *from,
                     const struct rp_allocation *allocation, struct timespec now) {
    struct rp_job *job = allocation->job;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next) {
        if (machine == from || !rp_task_moves_may_change_zone(from, machine, job))
            continue;
        double penalty_s = rp_replica_placement_penalty_s(services, machine, job, now);
        if (penalty_s >= 0 && penalty_s < TARGET_PENALTY_MAX_S &&
            rp_machine_has_image(machine, job->image_hash))
            return true;
    }
    return false;
}

static void move_next_replica(struct rp_services *services, struct rp_machine *machine,
                              struct timespec now) {
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_SEEN || allocation->stop_requested ||
            allocation->job->spec.kind != RP_JOB_SERVICE)
            continue;
        if (can_move(services, machine, allocation, now)) {
            rp_allocation_request_stop(allocation, 0);
            services->n_moved++;
        } else {
            machine->scale_in.draining = false; /* the machine keeps its replica */
        }
        return;
    }
}

void rp_replica_moves_step(struct rp_services *services, struct timespec now) {
    if (is_any_replica_in_transition(services))
        return;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next)
        if (machine->state == RP_MACHINE_UP &&
            (machine->scale_in.draining || machine->health.quarantined) &&
            rp_services_has_replicas(machine)) {
            move_next_replica(services, machine, now);
            return;
        }
}
