/** @file
 * The state about services that the modules of a leader share. service_controller.h has the
 * operations on all services; service_headroom.h, replica_placement.h, replica_preemption.h,
 * replica_moves.h and silent_machines.h each handle one aspect. */
#ifndef RP_SCHEDULER_SERVICES_H
#define RP_SCHEDULER_SERVICES_H

#include "base/step_budget.h"
#include "worker/workers.h"

/** Decaying statistics of the services that have recently arrived; the target headroom is computed
 * from them. */
struct rp_service_arrivals {
    double cpus_per_s; /* decayed rate of the CPUs requested */
    /* Number of CPUs that all tasks of the largest service request together, decayed. */
    double largest_job_cpus;
    struct timespec updated_at;
};

/** What a leader keeps about services; owned by the node. */
struct rp_services {
    struct rp_loop *loop;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    struct rp_workers *workers;
    struct rp_fleet *fleet;
    const struct rp_settings *settings;
    const struct rp_catalog *catalog;
    struct rp_service_arrivals arrivals;
    /* The revision of the newest job that is counted in `arrivals`. */
    uint64_t counted_until_revision;
    struct rp_timer check_timer;
    unsigned long n_placed, n_preempted, n_moved;
    struct rp_step_budget steps; /* of the current or last placement of missing replicas */
    /* The service with which the next placement begins, because the last one has spent its steps;
     * "": the first in the table. */
    char resume_at[RP_ID_MAX];
};

/** Whether replicas are allocated on the machine. */
static inline bool rp_services_has_replicas(const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].state != RP_ALLOCATION_EXITED &&
            machine->allocations[i].job->spec.kind == RP_JOB_SERVICE)
            return true;
    return false;
}

#endif
