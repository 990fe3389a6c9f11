#include "scheduler/service_headroom.h"

#include <math.h>

#define ARRIVALS_DECAY_S 60.0 /* time constant of the decaying arrival statistics */

void rp_service_headroom_record_arrival(struct rp_services *services, const struct rp_job *job,
                                        struct timespec now) {
    struct rp_service_arrivals *arrivals = &services->arrivals;
    double cpus = job->spec.n_tasks * job->spec.task_resources.cpus;
    double decay = rp_ts_is_zero(arrivals->updated_at)
                       ? 0
                       : exp(-rp_ts_since(now, arrivals->updated_at) / ARRIVALS_DECAY_S);
    arrivals->cpus_per_s = arrivals->cpus_per_s * decay + cpus / ARRIVALS_DECAY_S;
    arrivals->largest_job_cpus = fmax(arrivals->largest_job_cpus * decay, cpus);
    arrivals->updated_at = now;
}

static double longest_boot_s(const struct rp_catalog *catalog) {
    double longest_s = 0;
    for (size_t t = 0; t < catalog->n_types; t++)
        if (catalog->types[t].capacity.gpus <= 0)
            longest_s = fmax(longest_s, catalog->types[t].boot_s);
    return longest_s;
}

double rp_service_headroom_target_cpus(const struct rp_services *services) {
    const struct rp_service_arrivals *arrivals = &services->arrivals;
    if (rp_ts_is_zero(arrivals->updated_at))
        return 0;
    double decay =
        exp(-rp_ts_since(rp_loop_now(services->loop), arrivals->updated_at) / ARRIVALS_DECAY_S);
    double arriving_cpus = arrivals->cpus_per_s * longest_boot_s(services->catalog);
    return services->settings->tuning.service_reserve *
           (arriving_cpus + arrivals->largest_job_cpus) * decay;
}

double rp_service_headroom_machine_ready_cpus(const struct rp_services *services,
                                              const struct rp_machine *machine) {
    if (machine->type < 0 || machine->spot || machine->scale_in.draining ||
        services->catalog->types[machine->type].capacity.gpus > 0)
        return 0;
    if (machine->state == RP_MACHINE_BOOTING)
        return services->catalog->types[machine->type].capacity.cpus;
    if (!rp_machine_is_usable(machine))
        return 0;
    double cpus = rp_machine_free_resources(services->cluster, machine).cpus;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_EXITED &&
            allocation->job->spec.kind == RP_JOB_ARRAY &&
            allocation->job->spec.priority < RP_PRIORITY_CRITICAL)
            cpus += allocation->job->spec.task_resources.cpus;
    }
    return fmax(0, cpus);
}

double rp_service_headroom_ready_cpus(const struct rp_services *services) {
    double cpus = 0;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        cpus += rp_service_headroom_machine_ready_cpus(services, machine);
    return cpus;
}
