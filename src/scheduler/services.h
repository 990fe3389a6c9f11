/** @file
 * The services of a leader: what the modules about them share. service_controller.h has the
 * operations on them as a whole; service_headroom.h, replica_placement.h, replica_preemption.h,
 * replica_moves.h and silent_machines.h answer one question each. */
#ifndef RP_SCHEDULER_SERVICES_H
#define RP_SCHEDULER_SERVICES_H

#include "worker/workers.h"

/** What has recently arrived of services: the headroom for more is taken from it. */
struct rp_service_arrivals {
    double cpus_per_s;       /* decayed */
    double largest_job_cpus; /* CPUs of a whole job, decayed */
    struct timespec counted_at;
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
    uint64_t counted_until_revision; /* the newest job that the arrivals have counted */
    struct rp_timer watch_timer;
    unsigned long n_placed, n_preempted, n_moved;
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
