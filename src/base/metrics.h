/** @file
 * Latencies as histograms, for the status page. */
#ifndef RP_BASE_METRICS_H
#define RP_BASE_METRICS_H

#include <gsl/gsl_histogram.h>
#include <jansson.h>

enum rp_metric {
    RP_METRIC_SUBMIT, /* a submission's answer */
    RP_METRIC_QUERY,  /* a query's or a cancellation's answer */
    RP_METRIC_CYCLE,  /* a round's own time */
    RP_METRIC_START,  /* from a job's acceptance to a task's start command */
    RP_METRICS
};

struct rp_metrics {
    gsl_histogram *histograms[RP_METRICS];
};

int rp_metrics_init(struct rp_metrics *metrics);
void rp_metrics_free(struct rp_metrics *metrics);
void rp_metrics_add(struct rp_metrics *metrics, enum rp_metric metric, double seconds);
/** The value below which the share of all observations lies; 0 when there are none. */
double rp_metrics_quantile(const struct rp_metrics *metrics, enum rp_metric metric, double share);
json_t *rp_metrics_json(const struct rp_metrics *metrics);

#endif
