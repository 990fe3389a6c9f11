/** @file
 * A node: owns all of its parts, connects them, and decides when it leads. Network and event loop
 * are passed in: main.c passes HTTP, the tests pass a simulation.
 *
 * Invariants: only a node in state RP_NODE_LEADING runs scheduling cycles. Whether it may answer a
 * worker or send a command is checked with the election each time (rp_election_is_valid), because a
 * lease may end before the node is notified. Only set_state in node.c changes the state, and its
 * comment explains each change. Nothing is stored on disk.
 *
 * Requests from outside arrive through controller/node_requests.h. */
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
#include "controller/cycle_trigger.h"
#include "controller/node_state.h"
#include "controller/peer_health.h"
#include "controller/phase_report.h"
#include "controller/phase_view.h"
#include "election/election.h"
#include "jobs/job_lookup.h"
#include "jobs/jobs.h"
#include "jobs/terminal_states.h"
#include "scheduler/cycle.h"
#include "scheduler/service_controller.h"
#include "standby/standby.h"
#include "store/kv_client.h"
#include "upgrade/format_upgrade.h"
#include "worker/phase_probes.h"
#include "worker/workers.h"

/** A node with all of its parts. They refer to each other, so the node must not be moved in memory.
 */
struct rp_node {
    struct rp_loop *loop;
    struct rp_net net;
    const struct rp_settings *settings;
    enum rp_node_state state;
    bool has_joined_elections;
    bool is_shutting_down; /* the process is about to end */
    struct rp_timer recovery_timer;
    struct timespec recovery_began_at; /* when the node last began to read the records */

    /* Clients. */
    struct rp_kv_client store;
    struct rp_job_lookup job_lookup;
    struct rp_cloud_client cloud;
    /* Leadership. */
    struct rp_election election;
    struct rp_upgrade upgrade;
    struct rp_catalog catalog;
    struct rp_catalog_source catalog_source;
    /* The cluster state, which is empty unless this node recovers or leads. */
    struct rp_jobs jobs;
    struct rp_cluster cluster;
    struct rp_fleet fleet;
    struct rp_image_index image_index;
    /* Workers, and the standby, which follows another node while that one leads. */
    struct rp_metrics metrics;
    struct rp_workers workers;
    struct rp_phase_probes phase_probes;
    struct rp_standby standby;
    /* Scheduling. */
    struct rp_services services;
    struct rp_scheduler scheduler;
    struct rp_cycle_trigger cycle_trigger;
    /* Users and other nodes. */
    struct rp_terminal_states terminal_states;
    struct rp_user_api api;
    struct rp_phase_report phase_report;
    struct rp_phase_view phase_view;
    struct rp_peer_health peer_health;
};

/** Initializes all parts and starts none; `loop` and `settings` must outlive the node. Returns 0,
 * or -1 when out of memory: the process should end then. */
int rp_node_init(struct rp_node *node, struct rp_loop *loop, struct rp_net net,
                 const struct rp_settings *settings);
/** Starts the parts that run from the beginning; all other parts are started by events of the
 * loop. */
void rp_node_start(struct rp_node *node);
/** Prepares the node for the end of the process: `GET /healthz` reports it as unhealthy from now
 * on, and the leader's key is given up. */
void rp_node_begin_shutdown(struct rp_node *node);
/** Stops all parts and frees what they own. Calls that are in flight are not answered any more. */
void rp_node_close(struct rp_node *node);
/** Whether users may be sent to this node, which `GET /healthz` reports. */
bool rp_node_is_healthy(const struct rp_node *node);

#endif
