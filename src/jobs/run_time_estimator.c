#include "jobs/run_time_estimator.h"

#include <string.h>
#include "base/log.h"
#include "base/string_copy.h"

/* Upper bound of a class's decayed number of observations. Once it is reached, older observations
 * lose weight, because the estimates of a class change over time. */
#define CLASS_OBSERVATIONS_MAX 20.0
/* Weight of the owner's estimate, in observations of the class. */
#define OWNER_ESTIMATE_WEIGHT 2.0
/* Weight of one run of the job itself; the expectation by the job's class has weight 1. */
#define JOB_RUN_WEIGHT 2.0

static const struct rp_class_stats *find_class(const struct rp_run_time_estimator *estimator,
                                               const char *name) {
    for (size_t i = 0; i < estimator->n_classes; i++)
        if (strcmp(estimator->classes[i].name, name) == 0)
            return &estimator->classes[i];
    return NULL;
}

static struct rp_class_stats *find_or_add_class(struct rp_run_time_estimator *estimator,
                                                const char *name) {
    const struct rp_class_stats *found = find_class(estimator, name);
    if (found)
        return &estimator->classes[found - estimator->classes];
    if (estimator->n_classes == RP_CLASSES_MAX) {
        if (estimator->n_unclassified++ == 0)
            rp_error("too many job classes, further ones get no run time statistics: n_classes=%d "
                     "class=%s",
                     RP_CLASSES_MAX, name);
        return NULL;
    }
    struct rp_class_stats *stats = &estimator->classes[estimator->n_classes++];
    memset(stats, 0, sizeof *stats);
    rp_string_copy(stats->name, sizeof stats->name, name);
    return stats;
}

void rp_run_time_estimator_record(struct rp_run_time_estimator *estimator, struct rp_job *job,
                                  double run_s) {
    struct rp_class_stats *stats = find_or_add_class(estimator, job->spec.class_name);
    if (job->was_interrupted || job->spec.kind == RP_JOB_SERVICE)
        return;
    job->run_sum_s += run_s;
    job->n_runs++;
    if (!stats || job->spec.run_time_estimate_s <= 0)
        return;
    /* Each job counts as one observation, however many tasks it has. */
    double share = 1.0 / (job->spec.kind == RP_JOB_GANG ? 1 : job->spec.n_tasks);
    stats->ratio = (stats->ratio * stats->weight + run_s / job->spec.run_time_estimate_s * share) /
                   (stats->weight + share);
    stats->weight = stats->weight + share > CLASS_OBSERVATIONS_MAX ? CLASS_OBSERVATIONS_MAX
                                                                   : stats->weight + share;
}

static double class_expectation_s(const struct rp_run_time_estimator *estimator,
                                  const struct rp_job *job) {
    const struct rp_class_stats *stats = find_class(estimator, job->spec.class_name);
    if (!stats)
        return job->spec.run_time_estimate_s;
    return job->spec.run_time_estimate_s * (stats->ratio * stats->weight + OWNER_ESTIMATE_WEIGHT) /
           (stats->weight + OWNER_ESTIMATE_WEIGHT);
}

double rp_run_time_estimator_expected_s(const struct rp_run_time_estimator *estimator,
                                        const struct rp_job *job) {
    if (job->spec.kind == RP_JOB_SERVICE)
        return 0;
    double expected_s = class_expectation_s(estimator, job);
    if (job->n_runs > 0)
        expected_s =
            (expected_s + job->run_sum_s * JOB_RUN_WEIGHT) / (1 + job->n_runs * JOB_RUN_WEIGHT);
    return expected_s > job->run_floor_s ? expected_s : job->run_floor_s;
}
