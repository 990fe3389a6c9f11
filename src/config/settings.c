#include "config/settings.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A worker drops a response to a heartbeat that comes later than this (worker protocol). */
#define LATE_COMMANDS_S 4.0
/* Four times what the clocks of two hosts may drift apart. */
#define LEASE_DRIFT 1.002
#define LEASE_MARGIN_S 0.25
/* What a leader knows of jobs is never older than this while its watch works: a watch's hold and
 * the time of its response. */
#define WATCH_DELAY_S 4.5

/* The leadership lease that rp_settings_complete chooses. */
#define LEADER_TTL_MIN_S 1.0
#define LEADER_TTL_MAX_S 10.0
#define LEADER_TTL_SHARE_OF_LEASE 0.72
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

/* A cancellation is confirmed by any node. A leader that can't learn of it (the key-value store
 * refuses this node alone, then there is an outage in which no other node can take over) renews the
 * leases of the cancelled tasks for at most this long; what it renewed last ends lease_s later, and
 * that is within cancel_s of the confirmation. Longer than the leader's own lease isn't needed. */
double rp_settings_max_staleness_s(const struct rp_settings *settings) {
    double most_s = settings->cancel_s - settings->lease_s * LEASE_DRIFT - LATE_COMMANDS_S;
    return fmin(settings->tuning.leader_ttl_s + WATCH_DELAY_S, most_s);
}

void rp_settings_complete(struct rp_settings *settings) {
    struct rp_tuning *tuning = &settings->tuning;
    if (tuning->leader_ttl_s > 0)
        return;
    /* Long, since a leader that can't renew its lease must stop answering workers, and an outage of
     * the key-value store must not cost them theirs; but never so long that a change of leader
     * would endanger the workers' leases, or a cancellation's time. */
    double most_s = fmin(LEADER_TTL_SHARE_OF_LEASE * settings->lease_s,
                         LEADER_TTL_SHARE_OF_CANCELLATION *
                             (settings->cancel_s - settings->lease_s - LATE_COMMANDS_S));
    tuning->leader_ttl_s = fmax(LEADER_TTL_MIN_S, fmin(LEADER_TTL_MAX_S, most_s));
}

int rp_settings_check(const struct rp_settings *settings, FILE *errors) {
    const struct rp_tuning *tuning = &settings->tuning;
    int n_mistakes = 0;
    if (tuning->return_margin_s >= tuning->billing_unit_s) {
        fprintf(errors, "return_margin_s must be below billing_unit_s\n");
        n_mistakes++;
    }
    if (tuning->leader_check_s >= tuning->leader_ttl_s) {
        fprintf(errors, "leader_check_s must be below leader_ttl_s\n");
        n_mistakes++;
    }
    if (tuning->leader_ttl_s >= settings->lease_s) {
        fprintf(errors, "leader_ttl_s must be below the workers' lease_s (%g)\n",
                settings->lease_s);
        n_mistakes++;
    }
    /* A cancelled task on a machine that can't be reached ends only with the machine's lease. */
    if (rp_settings_max_staleness_s(settings) <= tuning->leader_ttl_s) {
        fprintf(errors,
                "cancel_s (%g) must exceed lease_s + leader_ttl_s + 4 s, or a cancellation can't "
                "be kept through a change of leader\n",
                settings->cancel_s);
        n_mistakes++;
    }
    return n_mistakes;
}

double rp_settings_worker_lease_s(const struct rp_settings *settings) {
    return settings->lease_s * LEASE_DRIFT + LEASE_MARGIN_S;
}
