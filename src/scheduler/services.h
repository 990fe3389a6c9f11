/** @file
 * Where replicas of services go. They start between the rounds, as soon as it is known that one is
 * missing: on the machine where it runs soonest, lower work making room for it if need be. What
 * finds no machine is left to the plan, which rents for it. */
#ifndef RP_SCHEDULER_SERVICES_H
#define RP_SCHEDULER_SERVICES_H

#include "worker/workers.h"

/** What has lately arrived of services: the room held ready for more is taken from it. */
struct rp_service_flow {
    double cpus_per_s; /* decayed */
    double largest;    /* CPUs of a whole job, decayed */
    struct timespec at;
};

struct rp_services {
    struct rp_loop *loop;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    struct rp_workers *workers;
    struct rp_fleet *fleet;
    const struct rp_settings *settings;
    const struct rp_catalog *catalog;
    struct rp_service_flow flow;
    uint64_t counted; /* the newest job that the flow has counted, by its revision */
    struct rp_timer watch;
    unsigned long n_placed, n_made_room, n_moved;
};

void rp_services_init(struct rp_services *services, struct rp_loop *loop,
                      struct rp_cluster *cluster, struct rp_jobs *jobs, struct rp_workers *workers,
                      struct rp_fleet *fleet, const struct rp_settings *settings,
                      const struct rp_catalog *catalog);
void rp_services_start(struct rp_services *services);
void rp_services_stop(struct rp_services *services);
/** Places what is missing now and sends the starts. */
void rp_services_run(struct rp_services *services);
/** Sends starts of replicas that somebody else has planned. */
void rp_services_send(struct rp_services *services);
/** CPUs of ordinary machines that are to be free, or to be had from lower work at once. */
double rp_services_reserve_cpus(const struct rp_services *services);
/** Sums of CPUs are compared with so much to spare. */
#define RP_READY_SLACK_CPUS 1e-6
/** And those that are. */
double rp_services_ready_cpus(const struct rp_services *services);
/** The machine's part of that. */
double rp_services_ready_cpus_of(const struct rp_services *services,
                                 const struct rp_machine *machine);

#endif
