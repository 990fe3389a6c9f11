#include "config/settings.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Seconds after a heartbeat within which its response must arrive. A worker drops a later response
 * (worker protocol). */
#define HEARTBEAT_RESPONSE_MAX_DELAY_S 4.0
/* Factor by which a worker's lease may appear longer on a node's clock. The excess of 0.002 over 1
 * is four times the drift that is possible between the clocks of two hosts. */
#define WORKER_LEASE_DRIFT_FACTOR 1.002
/* Seconds that are added to a worker's lease as a safety margin. */
#define WORKER_LEASE_MARGIN_S 0.25
/* Maximum age in seconds of a leader's copy of the jobs while its watch works: the time for which
 * the key-value store holds a watch, plus the time of its response. */
#define WATCH_MAX_STALENESS_S 4.5

/* Bounds in seconds of the leader's lease that rp_settings_complete computes. */
#define LEADER_TTL_MIN_S 1.0
#define LEADER_TTL_MAX_S 10.0
/* Maximum of the leader's lease as a share of a worker's lease. */
#define LEADER_TTL_SHARE_OF_WORKER_LEASE 0.72
/* Maximum of the leader's lease as a share of the time that cancel_s leaves after a worker's lease
 * and the maximum delay of a heartbeat's response. */
#define LEADER_TTL_SHARE_OF_CANCELLATION 0.9

void rp_settings_free(struct rp_settings *settings) {
    free(settings->peers);
    free(settings->zones);
    free(settings->teams);
    free(settings->objectives);
    memset(settings, 0, sizeof *settings);
}

int rp_settings_team(const struct rp_settings *settings, const char *name) {
    for (size_t i = 0; i < settings->n_teams; i++)
        if (strcmp(settings->teams[i].name, name) == 0)
            return (int)i;
    return RP_UNKNOWN_TEAM;
}

/* Any node may confirm a cancellation. A leader may be unable to read a cancellation that another
 * node has confirmed: the key-value store rejects the requests of the leader's node alone, and then
 * has an outage in which no other node can take over. Such a leader renews the leases of the
 * cancelled tasks for at most the time returned here. The last renewed lease expires lease_s later,
 * which is within cancel_s of the confirmation. The bound is at most the leader's own lease plus
 * the staleness of a working watch, since more is not needed. */
double rp_settings_max_staleness_s(const struct rp_settings *settings) {
    double max_s = settings->cancel_s - settings->lease_s * WORKER_LEASE_DRIFT_FACTOR -
                   HEARTBEAT_RESPONSE_MAX_DELAY_S;
    return fmin(settings->tuning.leader_ttl_s + WATCH_MAX_STALENESS_S, max_s);
}

void rp_settings_complete(struct rp_settings *settings) {
    struct rp_tuning *tuning = &settings->tuning;
    if (tuning->leader_ttl_s > 0)
        return;
    /* A long lease of the leader is preferred. A leader that cannot renew its lease must stop
     * responding to workers, and an outage of the key-value store must not make the workers' leases
     * expire. The leader's lease must still be short enough that the workers' leases and cancel_s
     * are kept when another node takes over. */
    double max_s = fmin(LEADER_TTL_SHARE_OF_WORKER_LEASE * settings->lease_s,
                        LEADER_TTL_SHARE_OF_CANCELLATION * (settings->cancel_s - settings->lease_s -
                                                            HEARTBEAT_RESPONSE_MAX_DELAY_S));
    tuning->leader_ttl_s = fmax(LEADER_TTL_MIN_S, fmin(LEADER_TTL_MAX_S, max_s));
}

int rp_settings_check(const struct rp_settings *settings, FILE *error_output) {
    const struct rp_tuning *tuning = &settings->tuning;
    int n_errors = 0;
    if (tuning->return_margin_s >= tuning->billing_unit_s) {
        fprintf(error_output, "return_margin_s (%g) must be below billing_unit_s (%g)\n",
                tuning->return_margin_s, tuning->billing_unit_s);
        n_errors++;
    }
    if (tuning->leader_check_s >= tuning->leader_ttl_s) {
        fprintf(error_output, "leader_check_s (%g) must be below leader_ttl_s (%g)\n",
                tuning->leader_check_s, tuning->leader_ttl_s);
        n_errors++;
    }
    if (tuning->leader_ttl_s >= settings->lease_s) {
        fprintf(error_output, "leader_ttl_s (%g) must be below the workers' lease_s (%g)\n",
                tuning->leader_ttl_s, settings->lease_s);
        n_errors++;
    }
    /* A cancelled task on an unreachable machine runs until the machine's lease expires. */
    if (rp_settings_max_staleness_s(settings) <= tuning->leader_ttl_s) {
        fprintf(error_output,
                "cancel_s (%g) must exceed %g * lease_s (%g) + leader_ttl_s (%g) + %g s, since "
                "otherwise a failover can delay the end of cancelled tasks beyond cancel_s\n",
                settings->cancel_s, WORKER_LEASE_DRIFT_FACTOR, settings->lease_s,
                tuning->leader_ttl_s, HEARTBEAT_RESPONSE_MAX_DELAY_S);
        n_errors++;
    }
    return n_errors;
}

double rp_settings_worker_lease_s(const struct rp_settings *settings) {
    return settings->lease_s * WORKER_LEASE_DRIFT_FACTOR + WORKER_LEASE_MARGIN_S;
}
