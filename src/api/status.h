/** @file
 * What a node reports about itself on its peers' port (`GET /status`), for operators and their
 * tools. docs/operations.md lists the fields. Users' tools read the fields by name: the names must
 * not change, even where the code uses another name for the same value.
 *
 * The module owns nothing: controller/node_requests.c collects the sources for each request. */
#ifndef RP_API_STATUS_H
#define RP_API_STATUS_H

#include "api/user_api.h"
#include "scheduler/scheduler.h"
#include "standby/standby.h"
#include "worker/phase_probes.h"

/** The parts of a node from which the status is read. */
struct rp_status_sources {
    struct rp_loop *loop;
    const struct rp_settings *settings;
    const char *node_state; /* "following", "recovering", "leading" */
    bool is_leading;
    const struct rp_catalog *catalog;
    const struct rp_kv_client *store;
    const struct rp_election *election;
    const struct rp_upgrade *upgrade;
    const struct rp_jobs *jobs;
    const struct rp_cluster *cluster;
    const struct rp_fleet *fleet;
    const struct rp_workers *workers;
    const struct rp_phase_probes *phase_probes;
    const struct rp_services *services;
    const struct rp_scheduler *scheduler;
    const struct rp_standby *standby;
    const struct rp_metrics *metrics;
    const struct rp_user_api *api;
};

/** The node's state, counters and latencies as JSON; the caller frees it. NULL: out of memory. */
char *rp_status_json(const struct rp_status_sources *sources);

#endif
