/** @file
 * A node: all parts put together, with the network plugged in from outside. */
#ifndef RP_CONTROLLER_NODE_H
#define RP_CONTROLLER_NODE_H

#include "api/user_api.h"
#include "base/metrics.h"
#include "base/net.h"
#include "cloud/catalog_source.h"
#include "cloud/cloud_client.h"
#include "cluster/cluster.h"
#include "cluster/fleet.h"
#include "cluster/image_index.h"
#include "config/settings.h"
#include "election/election.h"
#include "jobs/job_lookup.h"
#include "jobs/jobs.h"
#include "jobs/terminal_states.h"
#include "scheduler/cycle.h"
#include "scheduler/services.h"
#include "standby/standby.h"
#include "store/kv_client.h"
#include "upgrade/format_upgrade.h"
#include "worker/workers.h"

enum rp_node_state {
    RP_NODE_FOLLOWING,  /* serves users, sends workers on */
    RP_NODE_RECOVERING, /* holds the key and reads the records */
    RP_NODE_LEADING
};

struct rp_node {
    struct rp_loop *loop;
    struct rp_net net;
    const struct rp_settings *settings;
    enum rp_node_state state;
    struct rp_catalog catalog;
    struct rp_catalog_source catalog_source;
    struct rp_kv_client store;
    struct rp_job_lookup job_lookup;
    struct rp_terminal_states terminal_states;
    struct rp_cloud_client cloud;
    struct rp_election election;
    struct rp_upgrade upgrade;
    struct rp_jobs jobs;
    struct rp_cluster cluster;
    struct rp_fleet fleet;
    struct rp_workers workers;
    struct rp_services services;
    struct rp_scheduler scheduler;
    struct rp_image_index image_index;
    struct rp_standby standby;
    struct rp_metrics metrics;
    struct rp_user_api api;
    struct rp_timer summary_timer, retry_timer;
    struct timespec summary_asked;
    struct rp_timer capacity_timer, health_timer;
    struct timespec peer_heard;    /* when another node last answered */
    struct timespec refused_until; /* the state service answers others, but not this node */
    /* What the leader last told of running jobs, for display by other nodes. */
    struct rp_job_status *summary;
    size_t n_summary;
    bool electing; /* takes part in elections */
    bool leaving;
};

int rp_node_init(struct rp_node *node, struct rp_loop *loop, struct rp_net net,
                 const struct rp_settings *settings);
void rp_node_start(struct rp_node *node);
/** The process is about to end: no more users, and the key is given up. */
void rp_node_leave(struct rp_node *node);
void rp_node_close(struct rp_node *node);
/** Requests from users, workers and health checks. */
void rp_node_client_request(void *node, struct rp_request *req);
/** Requests from other nodes and operators. */
void rp_node_peer_request(void *node, struct rp_request *req);

/** Whether users may be sent here: what `GET /healthz` answers. */
bool rp_node_healthy(const struct rp_node *node);

#endif
