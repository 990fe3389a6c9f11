/** @file
 * How much capacity is is_reserved ready for services that come: they are to run within seconds,
 * while a machine takes half a minute and more to boot. Ready is what ordinary machines without
 * GPUs have free, or could have at once by stopping is_lower work. */
#ifndef RP_SCHEDULER_SERVICE_HEADROOM_H
#define RP_SCHEDULER_SERVICE_HEADROOM_H

#include "scheduler/services.h"

/** Sums of CPUs are compared with so much to spare. */
#define RP_SERVICE_HEADROOM_SLACK_CPUS 1e-6

/** Counts a service that has just been accepted. */
void rp_service_headroom_note_arrival(struct rp_services *services, const struct rp_job *job,
                                      struct timespec now);
/** CPUs that are to be ready. */
double rp_service_headroom_wanted_cpus(const struct rp_services *services);
/** CPUs that are ready on all machines. */
double rp_service_headroom_ready_cpus(const struct rp_services *services);
/** The machine's part of that. */
double rp_service_headroom_ready_cpus_of(const struct rp_services *services,
                                         const struct rp_machine *machine);

#endif
