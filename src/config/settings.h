/** @file
 * The platform's JSON file and the operators' text-format file. */
#ifndef RP_CONFIG_SETTINGS_H
#define RP_CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#define RP_NAME_MAX 64
#define RP_ADDR_MAX 64
#define RP_HEURISTICS_MAX 16

struct rp_peer {
    char name[RP_NAME_MAX];
    char zone[RP_NAME_MAX];
    char addr[RP_ADDR_MAX];
};

struct rp_team {
    char name[RP_NAME_MAX];
    double cpus, cpus_max; /* guarantee and limit; 0: none */
    double gpus, gpus_max;
};

enum rp_objective_kind {
    RP_OBJECTIVE_WAIT,
    RP_OBJECTIVE_FINISHED,
    RP_OBJECTIVE_DEADLINE,
    RP_OBJECTIVE_OTHER
};

struct rp_objective {
    enum rp_objective_kind kind;
    char class_name[RP_NAME_MAX];
    double within_s, share, times;
};

/** What the state service takes. */
struct rp_kv_limits {
    double rps, write_rps, value_kb;
    size_t txn_ops;
};

/** What the operators may tune; see operator.proto. */
struct rp_tuning {
    double round_period_s, billing_unit_s, return_margin_s;
    char heuristics[RP_HEURISTICS_MAX][24];
    size_t n_heuristics;
    double leader_ttl_s, leader_check_s;
    double boot_patience, refused_pause_s, leader_write_share;
    unsigned faulty_after;
    bool preemption;
    bool keep_old_forms;
    double service_reserve;
    bool standby;           /* whether this node takes part in takeovers (src/standby) */
    double suspect_after_s; /* silence of the leader after which a standby takes over */
};

struct rp_settings {
    char node[RP_NAME_MAX], zone[RP_NAME_MAX];
    char client_listen[RP_ADDR_MAX], peer_listen[RP_ADDR_MAX];
    struct rp_peer *peers;
    size_t n_peers;
    char cloud_addr[RP_ADDR_MAX], state_addr[RP_ADDR_MAX];
    size_t n_nodes;
    char (*zones)[RP_NAME_MAX];
    size_t n_zones;
    struct rp_team *teams;
    size_t n_teams;
    struct rp_objective *objectives;
    size_t n_objectives;
    double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
    struct rp_kv_limits state;     /* of today */
    struct rp_kv_limits state_fit; /* what fits today's and those to come */
    double cloud_rps, list_lag_s;
    double memory_mb, cpu_share;
    size_t max_connections;
    struct rp_tuning tuning;
};

void rp_tuning_defaults(struct rp_tuning *tuning);
/** Each returns the number of mistakes, each told to `errors` in a line of its own. */
int rp_settings_parse(struct rp_settings *settings, const char *text, const char *file,
                      FILE *errors);
int rp_tuning_parse(struct rp_tuning *tuning, const char *text, const char *file, FILE *errors);
/** Fills in what neither file says and depends on both. */
void rp_settings_complete(struct rp_settings *settings);
/** How old the newest news of the jobs may be for a leader to go on answering workers. */
double rp_settings_max_staleness_s(const struct rp_settings *settings);
/** What the two files say together: periods and time-outs that contradict one another. */
int rp_settings_check(const struct rp_settings *settings, FILE *errors);
/** Seconds after an answer to a heartbeat until which the machine's tasks may still run, on our
 * clock: the lease, with the drift between clocks and a margin. */
double rp_settings_worker_lease_s(const struct rp_settings *settings);
void rp_settings_free(struct rp_settings *settings);
/** The team's index in the list, or -1. */
int rp_settings_team(const struct rp_settings *settings, const char *name);

#endif
