/** @file
 * The operators' settings: parameters that the operators may change by a file in protobuf's text
 * format (operator.proto, docs/operations.md). Owns the table of the fields with their types,
 * ranges and defaults. Called by main.c and by platform_file.c, which sets the defaults. All
 * modules read the settings through struct rp_settings. */
#ifndef RP_CONFIG_TUNING_H
#define RP_CONFIG_TUNING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

/** Maximum number of heuristics in a portfolio. */
#define RP_HEURISTICS_MAX 16
/** Bytes of a heuristic's name, with its NUL. */
#define RP_HEURISTIC_NAME_MAX 24

/** The operators' settings. The members are named as in operator.proto, which explains them. */
struct rp_tuning {
    double round_period_s;  /**< interval between scheduling cycles */
    double billing_unit_s;  /**< unit of time that the cloud bills for a machine */
    double return_margin_s; /**< time from an idle machine's scale-in to its next billing unit */
    char heuristics[RP_HEURISTICS_MAX][RP_HEURISTIC_NAME_MAX]; /**< names in the portfolio */
    size_t n_heuristics;
    double leader_ttl_s; /**< duration of the leader's lease; 0: rp_settings_complete computes it */
    double leader_check_s; /**< interval of a non-leading node's reads of the leader's key */
    double boot_patience; /**< allowed boot time, as a multiple of the machine type's nominal one */
    double refused_pause_s;    /**< time without requests for a kind of machine that was refused */
    double leader_write_share; /**< the leader's share of the store's limit of changes per second */
    unsigned faulty_after;     /**< consecutive task errors after which a machine is quarantined */
    bool preemption;           /**< whether tasks may be preempted by tasks of a higher priority */
    bool keep_old_forms;       /**< whether this node prevents the activation of RP_FORMAT */
    double service_reserve; /**< capacity reserved for services, as a multiple of past arrivals */
    bool standby; /**< whether this node takes part in failover to a standby (src/standby) */
    double suspect_after_s; /**< silence of the leader after which a standby takes over */
};

/** Sets all members to their defaults. */
void rp_tuning_defaults(struct rp_tuning *tuning);

/** Sets the members that `text` contains and leaves the others unchanged. Returns the number of
 * errors, each of which is written to `error_output` as a line that begins with the name `file`. */
int rp_tuning_parse(struct rp_tuning *tuning, const char *text, const char *file,
                    FILE *error_output);

#endif
