/** @file
 * The reconciling controller of services: wanted are as many running replicas as each open service
 * has tasks; observed is what the machines say; the difference is placed as soon as it is known,
 * also between two scheduling cycles, on the machine where it runs soonest, is_lower work making
 * way for it if need be. What finds no machine is left to the plan, which provisions one for it.
 * Called by the scheduling cycle and when messages of workers change what is observed. */
#ifndef RP_SCHEDULER_SERVICE_CONTROLLER_H
#define RP_SCHEDULER_SERVICE_CONTROLLER_H

#include "scheduler/services.h"

/** Prepares the controller; it does nothing before rp_service_controller_start. */
void rp_service_controller_init(struct rp_services *services, struct rp_loop *loop,
                                struct rp_cluster *cluster, struct rp_jobs *jobs,
                                struct rp_workers *workers, struct rp_fleet *fleet,
                                const struct rp_settings *settings,
                                const struct rp_catalog *catalog);
/** This node leads: begins to watch, with nothing counted as arrived. */
void rp_service_controller_start(struct rp_services *services);
/** This node leads no more. */
void rp_service_controller_stop(struct rp_services *services);
/** Places what is missing now and sends the starts. */
void rp_service_controller_run(struct rp_services *services);
/** Sends starts of replicas that the plan has placed. */
void rp_service_controller_send(struct rp_services *services);

#endif
