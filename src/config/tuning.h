/** @file
 * The operators' settings: what they may tune by a file in protobuf's text format (operator.proto,
 * docs/operations.md). Owns the table of their fields with types, ranges and defaults. Called by
 * main.c; read by all modules through struct rp_settings. */
#ifndef RP_CONFIG_TUNING_H
#define RP_CONFIG_TUNING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** Heuristics that a portfolio may hold. */
#define RP_HEURISTICS_MAX 16
/** Bytes of a heuristic's name, with its NUL. */
#define RP_HEURISTIC_NAME_MAX 24

/** What the operators may tune. The members are named as in operator.proto, which explains them. */
struct rp_tuning {
    double round_period_s;  /**< between scheduling cycles */
    double billing_unit_s;  /**< of a machine */
    double return_margin_s; /**< an idle machine is scaled in this long before its next unit */
    char heuristics[RP_HEURISTICS_MAX][RP_HEURISTIC_NAME_MAX]; /**< of the portfolio */
    size_t n_heuristics;
    double leader_ttl_s;       /**< leadership lease; 0: rp_settings_complete chooses it */
    double leader_check_s;     /**< how often a node that doesn't lead reads who does */
    double boot_patience;      /**< a machine may take so many times its type's boot time */
    double refused_pause_s;    /**< without requests for a type that the cloud has refused */
    double leader_write_share; /**< the leader's share of the writes that the store takes */
    unsigned faulty_after;     /**< errors in a row after which a machine is quarantined */
    bool preemption;           /**< whether tasks may be stopped for others */
    bool keep_old_forms;       /**< this node writes records in the format of the version before */
    double service_reserve;    /**< capacity held for services, as a multiple of arrivals seen */
    bool standby;              /**< whether this node takes part in failover (src/standby) */
    double suspect_after_s;    /**< silence of the leader after which a standby takes over */
};

/** Sets all members to their defaults. */
void rp_tuning_defaults(struct rp_tuning *tuning);

/** Sets the members that `text` gives, and leaves the others. Returns the number of mistakes, each
 * written to `errors` as a line that begins with `file`. */
int rp_tuning_parse(struct rp_tuning *tuning, const char *text, const char *file, FILE *errors);

#endif
