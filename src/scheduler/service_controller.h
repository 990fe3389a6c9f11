/** @file
 * The reconciling controller of services. The desired state is as many running replicas as each
 * open service has tasks; the observed state is what the machines report. Missing replicas are
 * placed as soon as they are detected, also between two scheduling cycles, on the machine where
 * they run soonest; lower-priority work is preempted for them if necessary. For replicas that no
 * machine can take, the plan provisions machines. Called by the scheduling cycle and when messages
 * of workers change the observed state. */
#ifndef RP_SCHEDULER_SERVICE_CONTROLLER_H
#define RP_SCHEDULER_SERVICE_CONTROLLER_H

#include "scheduler/services.h"

/** Prepares the controller; it does nothing before rp_service_controller_start. */
void rp_service_controller_init(struct rp_services *services, struct rp_loop *loop,
                                struct rp_cluster *cluster, struct rp_jobs *jobs,
                                struct rp_workers *workers, struct rp_fleet *fleet,
                                const struct rp_settings *settings,
                                const struct rp_catalog *catalog);
/** Called when this node becomes the leader: starts the periodic check, with no arrivals of
 * services counted yet. */
void rp_service_controller_start(struct rp_services *services);
/** Called when this node is no longer the leader: stops the periodic check. */
void rp_service_controller_stop(struct rp_services *services);
/** Places the replicas that are missing now and sends their starts. */
void rp_service_controller_run(struct rp_services *services);
/** Sends the starts of planned replicas, and the stops of replicas that are to be started
 * elsewhere. */
void rp_service_controller_send_commands(struct rp_services *services);

#endif
