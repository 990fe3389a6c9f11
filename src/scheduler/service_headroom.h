/** @file
 * How much capacity is kept ready for services that are submitted: they are to run within seconds,
 * while a machine takes half a minute or more to boot. Ready capacity is what ordinary machines
 * without GPUs have free, or could free at once by stopping lower-priority work. */
#ifndef RP_SCHEDULER_SERVICE_HEADROOM_H
#define RP_SCHEDULER_SERVICE_HEADROOM_H

#include "scheduler/services.h"

/** Tolerance for comparisons of sums of CPUs. */
#define RP_SERVICE_HEADROOM_TOLERANCE_CPUS 1e-6

/** Counts a service that has just been accepted. */
void rp_service_headroom_record_arrival(struct rp_services *services, const struct rp_job *job,
                                        struct timespec now);
/** CPUs that should be ready for services on all machines together. */
double rp_service_headroom_target_cpus(const struct rp_services *services);
/** CPUs that are ready for services on all machines together. */
double rp_service_headroom_ready_cpus(const struct rp_services *services);
/** CPUs that are ready for services on the machine. */
double rp_service_headroom_machine_ready_cpus(const struct rp_services *services,
                                              const struct rp_machine *machine);

#endif
