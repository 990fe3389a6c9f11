/** @file
 * Histograms of latencies, shown on the status page. Owned by the node; src/api, src/scheduler and
 * src/worker add the observations. */
#ifndef RP_BASE_METRICS_H
#define RP_BASE_METRICS_H

#include <gsl/gsl_histogram.h>
#include <jansson.h>
#include <stdbool.h>

/** The latencies that are recorded, in seconds. */
enum rp_metric {
    RP_METRIC_SUBMIT, /**< from a submission's receipt to the response */
    RP_METRIC_QUERY,  /**< from a query's or a cancellation's receipt to the response */
    RP_METRIC_CYCLE,  /**< run time of a scheduling cycle */
    RP_METRIC_START,  /**< from a job's acceptance to a task's start command */
    RP_N_METRICS      /**< the number of metrics */
};

/** The histograms of all metrics. */
struct rp_metrics {
    gsl_histogram *histograms[RP_N_METRICS];
};

/** Creates empty histograms, which the caller must free. Returns false when memory is exhausted;
 * nothing is left to free then. */
bool rp_metrics_init(struct rp_metrics *metrics);
/** Frees the histograms. */
void rp_metrics_free(struct rp_metrics *metrics);
/** Adds an observation. One of more than 1000 seconds is counted as just below 1000, one below 0 as
 * 0. */
void rp_metrics_add(struct rp_metrics *metrics, enum rp_metric metric, double seconds);
/** The quantile of the given share (0 to 1) of all observations, rounded up to the upper bound of
 * its histogram bin; 0 if there are no observations. */
double rp_metrics_quantile(const struct rp_metrics *metrics, enum rp_metric metric, double share);
/** Count and quantiles of each metric, in the form of /status. The caller must json_decref the
 * result. */
json_t *rp_metrics_json(const struct rp_metrics *metrics);

#endif
