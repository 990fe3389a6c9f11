/** @file
 * The settings of one node: what the platform's JSON file (platform_file.h) and the operators' file
 * (tuning.h) say, and the periods that follow from both. Filled once by main.c before anything else
 * starts, constant from then on, and read by all modules. */
#ifndef RP_CONFIG_SETTINGS_H
#define RP_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include "config/tuning.h"

/** Bytes of the name of a node, zone, team or class, with its NUL. */
#define RP_NAME_MAX 64
/** Bytes of an address, "host:port", with its NUL. */
#define RP_ADDR_MAX 64

/** Another node. */
struct rp_peer {
    char name[RP_NAME_MAX];
    char zone[RP_NAME_MAX];
    char addr[RP_ADDR_MAX];
};

/** A team with its guaranteed quotas and its limits; 0: none. */
struct rp_team {
    char name[RP_NAME_MAX];
    double cpus, cpus_max;
    double gpus, gpus_max;
};

/** What a service-level objective is about. */
enum rp_objective_kind {
    RP_OBJECTIVE_WAIT,     /**< the time until a job's tasks start */
    RP_OBJECTIVE_FINISHED, /**< the time until a job is done */
    RP_OBJECTIVE_DEADLINE, /**< jobs done by their deadline */
    RP_OBJECTIVE_OTHER     /**< one that this version doesn't know; never stored */
};

/** A service-level objective of a class. */
struct rp_objective {
    enum rp_objective_kind kind;
    char class_name[RP_NAME_MAX];
    double within_s;
    double share; /**< of the class's jobs that must reach it */
    double times; /**< of a job's run time */
};

/** What the key-value store takes. */
struct rp_kv_limits {
    double rps;       /**< requests each second */
    double write_rps; /**< changes each second */
    double value_kb;  /**< of a value */
    size_t txn_ops;   /**< changes of a transaction */
};

/** The settings of a node. */
struct rp_settings {
    char node[RP_NAME_MAX];
    char zone[RP_NAME_MAX];
    char client_listen[RP_ADDR_MAX]; /**< address for users and workers */
    char peer_listen[RP_ADDR_MAX];   /**< address for the other nodes */
    struct rp_peer *peers;
    size_t n_peers;
    char cloud_addr[RP_ADDR_MAX];
    char state_addr[RP_ADDR_MAX]; /**< of the key-value store */
    size_t n_nodes;
    char (*zones)[RP_NAME_MAX];
    size_t n_zones;
    struct rp_team *teams;
    size_t n_teams;
    struct rp_objective *objectives;
    size_t n_objectives;
    double report_s;               /**< between two heartbeats of a worker */
    double lease_s;                /**< a worker's lease */
    double gang_wait_s;            /**< a gang's task waits at most so long for the others */
    double gang_peer_s;            /**< a gang's task ends so long after it lost another */
    double cancel_s;               /**< from a cancellation's confirmation to its tasks' end */
    struct rp_kv_limits state;     /**< of the key-value store today */
    struct rp_kv_limits state_fit; /**< what fits today's limits and those to come */
    double cloud_rps;              /**< requests that the cloud takes each second */
    double list_lag_s;             /**< by which the cloud's list of machines is late */
    double memory_mb;              /**< that the node may use */
    double cpu_share;              /**< of a processor that the node may use */
    size_t max_connections;        /**< that the node may have */
    struct rp_tuning tuning;
};

/** Chooses what neither file says and depends on both: the leadership lease. */
void rp_settings_complete(struct rp_settings *settings);

/** Checks periods and time-outs that contradict one another, after rp_settings_complete. Returns
 * the number of mistakes, each written to `errors` as a line. */
int rp_settings_check(const struct rp_settings *settings, FILE *errors);

/** How old the latest changes of jobs that a leader has read may be, in seconds, for it to go on
 * renewing workers' leases. */
double rp_settings_max_staleness_s(const struct rp_settings *settings);

/** Seconds after the response to a heartbeat until which the machine's tasks may still run, on this
 * node's clock: the lease, with the drift between clocks and a margin. */
double rp_settings_worker_lease_s(const struct rp_settings *settings);

/** What rp_settings_team returns for a name that no team has. */
#define RP_UNKNOWN_TEAM (-1)

/** The team's index in `teams`, or RP_UNKNOWN_TEAM. */
int rp_settings_team(const struct rp_settings *settings, const char *name);

/** Frees what the settings own and clears them. */
void rp_settings_free(struct rp_settings *settings);

#endif
