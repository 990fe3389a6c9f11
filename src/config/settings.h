/** @file
 * The settings of one node: the contents of the platform's JSON file (platform_file.h) and of the
 * operators' file (tuning.h), and the periods that are computed from both. main.c fills them once
 * before anything else starts. They are constant from then on, and all modules read them. Most
 * members are named as in the file from which they are read. */
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

/** Another controller node. */
struct rp_peer {
    char name[RP_NAME_MAX];
    char zone[RP_NAME_MAX];
    char addr[RP_ADDR_MAX];
};

/** A team with its guaranteed quotas (`cpus`, `gpus`) and its limits (`cpus_max`, `gpus_max`). 0
 * means that the team has no such quota or limit. */
struct rp_team {
    char name[RP_NAME_MAX];
    double cpus, cpus_max;
    double gpus, gpus_max;
};

/** The quantity that a service-level objective bounds. */
enum rp_objective_kind {
    RP_OBJECTIVE_WAIT,     /**< the time from a job's acceptance until its tasks start */
    RP_OBJECTIVE_FINISHED, /**< the time from a job's acceptance until it is done */
    RP_OBJECTIVE_DEADLINE, /**< the time until a job is done, relative to its deadline */
    RP_OBJECTIVE_OTHER     /**< a kind unknown to this version; never stored in the settings */
};

/** A service-level objective for the jobs of a class. */
struct rp_objective {
    enum rp_objective_kind kind;
    char class_name[RP_NAME_MAX];
    double within_s; /**< for the kinds wait and finished: the maximum time in seconds */
    double share;    /**< share of the class's jobs that must meet the objective */
    double times;    /**< for the kind deadline: a job must be done within `times` its deadline */
};

/** Limits of the key-value store. */
struct rp_kv_limits {
    double rps;       /**< requests per second */
    double write_rps; /**< changes per second */
    double value_kb;  /**< maximum size of a value, in KiB */
    size_t txn_ops;   /**< maximum number of changes in a transaction */
};

/** The settings of a node. */
struct rp_settings {
    char node[RP_NAME_MAX];
    char zone[RP_NAME_MAX];
    char client_listen[RP_ADDR_MAX]; /**< listening address for users and workers */
    char peer_listen[RP_ADDR_MAX];   /**< listening address for the other nodes */
    struct rp_peer *peers;
    size_t n_peers;
    char cloud_addr[RP_ADDR_MAX];
    char kv_addr[RP_ADDR_MAX]; /**< address of the key-value store */
    size_t n_nodes;            /**< number of controller nodes */
    char (*zones)[RP_NAME_MAX];
    size_t n_zones;
    struct rp_team *teams;
    size_t n_teams;
    struct rp_objective *objectives;
    size_t n_objectives;
    double report_s;    /**< interval between a worker's heartbeats */
    double lease_s;     /**< duration of a worker's lease */
    double gang_wait_s; /**< maximum time that a gang's task waits for the gang's other tasks */
    double gang_peer_s; /**< time from the loss of a gang's task to the end of its other tasks */
    double cancel_s;    /**< maximum time from confirming a cancellation to its tasks' end */
    struct rp_kv_limits kv_limits_current; /**< current limits of the key-value store */
    struct rp_kv_limits kv_limits_lowest;  /**< each limit's lower value, current or future */
    double cloud_rps;                      /**< requests per second that the cloud accepts */
    double list_lag_s;      /**< maximum delay of changes in the cloud's list of machines */
    double clock_skew_s;    /**< maximum error of a node's time of day */
    double memory_mb;       /**< memory that the node may use */
    double cpu_share;       /**< share of a processor that the node may use */
    size_t max_connections; /**< maximum number of the node's open connections */
    struct rp_tuning tuning;
};

/** Computes the duration of the leader's lease from the contents of both files, unless the
 * operators' file sets it. */
void rp_settings_complete(struct rp_settings *settings);

/** Checks that the periods and timeouts do not contradict one another. Must be called after
 * rp_settings_complete. Returns the number of errors, each of which is written to `error_output` as
 * a line. */
int rp_settings_check(const struct rp_settings *settings, FILE *error_output);

/** Maximum staleness in seconds of a leader's copy of the jobs. A leader whose copy is older must
 * not renew workers' leases. */
double rp_settings_max_staleness_s(const struct rp_settings *settings);

/** Seconds on this node's clock for which a machine's tasks may still run after the response to a
 * heartbeat: the worker's lease, the possible drift between the two clocks and a margin. */
double rp_settings_worker_lease_s(const struct rp_settings *settings);

/** Returned by rp_settings_team for a name that no team has. */
#define RP_UNKNOWN_TEAM (-1)

/** Returns the index in `teams` of the team of this name, or RP_UNKNOWN_TEAM. */
int rp_settings_team(const struct rp_settings *settings, const char *name);

/** Frees what the settings own and clears them. */
void rp_settings_free(struct rp_settings *settings);

#endif
