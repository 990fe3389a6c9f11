/** @file
 * Latencies as histograms, for the status page. Owned by the node; filled by src/api, src/scheduler
 * and src/jobs. */
#ifndef RP_BASE_METRICS_H
#define RP_BASE_METRICS_H

#include <gsl/gsl_histogram.h>
#include <jansson.h>
#include <stdbool.h>

/** What is measured, in seconds. */
enum rp_metric {
    RP_METRIC_SUBMIT, /**< until a submission is responded to */
    RP_METRIC_QUERY,  /**< until a query or a cancellation is responded to */
    RP_METRIC_CYCLE,  /**< a scheduling cycle's own time */
    RP_METRIC_START,  /**< from a job's acceptance to a task's start command */
    RP_METRICS        /**< their number */
};

/** The histograms of all metrics. */
struct rp_metrics {
    gsl_histogram *histograms[RP_METRICS];
};

/** Makes empty histograms. Returns false when memory is out, and owns nothing then. Else the caller
 * must free them. */
bool rp_metrics_init(struct rp_metrics *metrics);
/** Frees the histograms. */
void rp_metrics_free(struct rp_metrics *metrics);
/** Adds an observation. Beyond 1000 seconds it counts as 1000. */
void rp_metrics_add(struct rp_metrics *metrics, enum rp_metric metric, double seconds);
/** The value below which the given share (0 to 1) of all observations lies, rounded up to the
 * histogram's next bound; 0 when there are none. */
double rp_metrics_quantile(const struct rp_metrics *metrics, enum rp_metric metric, double share);
/** Count and quantiles of each metric, as /status tells them. The caller must json_decref it. */
json_t *rp_metrics_json(const struct rp_metrics *metrics);

#endif
