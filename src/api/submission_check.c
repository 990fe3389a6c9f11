#include "api/submission_check.h"

/* Amount by which a need may exceed a limit: sums of decimal fractions are rounded, and a need that
 * equals its limit is within it. */
#define ROUNDING_TOLERANCE 1e-9

static bool is_over(double need, double limit) {
    return limit > 0 && need > limit + ROUNDING_TOLERANCE; /* 0: the team has no limit */
}

/* Whether a machine type fits a task of the job in at least one zone that offers the type. */
static bool has_fitting_type(const struct rp_catalog *catalog, const struct rp_cluster *cluster,
                             const struct rp_job_spec *spec) {
    for (size_t type = 0; type < catalog->n_types; type++)
        for (size_t zone = 0; zone < catalog->n_zones; zone++) {
            bool is_offered = (catalog->types[type].zones >> zone & 1) != 0;
            if (is_offered &&
                rp_cluster_is_kind_allowed(cluster, spec, (int)type, (int)zone, false))
                return true;
        }
    return false;
}

/* Whether the job needs more than the team's limit. An array makes progress with the resources of
 * one task; a gang or a service needs those of all its tasks at once. */
static bool is_over_team_limit(const struct rp_team *team, const struct rp_job_spec *spec) {
    double n_concurrent = spec->kind == RP_JOB_ARRAY ? 1 : spec->n_tasks;
    return is_over(n_concurrent * spec->task_resources.cpus, team->cpus_max) ||
           is_over(n_concurrent * spec->task_resources.gpus, team->gpus_max);
}

enum rp_refusal_reason rp_submission_check(const struct rp_settings *settings,
                                           const struct rp_catalog_source *catalog_source,
                                           const struct rp_cluster *cluster,
                                           const struct rp_job_spec *spec) {
    int team = rp_settings_team(settings, spec->team);
    if (team < 0)
        return RP_REFUSAL_UNKNOWN_TEAM;
    if (!catalog_source->is_known)
        return RP_REFUSAL_CATALOG_UNKNOWN;
    if (!has_fitting_type(catalog_source->catalog, cluster, spec))
        return RP_REFUSAL_NO_FITTING_TYPE;
    if (is_over_team_limit(&settings->teams[team], spec))
        return RP_REFUSAL_OVER_TEAM_LIMIT;
    return RP_REFUSAL_NONE;
}
