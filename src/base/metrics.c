#include "base/metrics.h"

#include <math.h>
#include <string.h>

/* The histogram's bins range from 0.1 ms to 1000 s, with ten bins for each power of ten; the first
 * bin also holds everything below 0.1 ms. */
#define LOWEST_BOUND_S 1e-4
#define N_DECADES 7
#define BINS_PER_DECADE 10
#define N_BINS (N_DECADES * BINS_PER_DECADE)

/* Names of the metrics in /status. */
static const char *const metric_names[RP_N_METRICS] = {
    [RP_METRIC_SUBMIT] = "submit_s",
    [RP_METRIC_QUERY] = "query_s",
    [RP_METRIC_CYCLE] = "round_s",
    [RP_METRIC_START] = "start_wait_s",
};

bool rp_metrics_init(struct rp_metrics *metrics) {
    double ranges[N_BINS + 1];
    memset(metrics, 0, sizeof *metrics);
    ranges[0] = 0;
    for (int i = 1; i <= N_BINS; i++)
        ranges[i] = LOWEST_BOUND_S * pow(10, (double)i / BINS_PER_DECADE);
    for (int i = 0; i < RP_N_METRICS; i++) {
        metrics->histograms[i] = gsl_histogram_alloc(N_BINS);
        if (!metrics->histograms[i] ||
            gsl_histogram_set_ranges(metrics->histograms[i], ranges, N_BINS + 1) != 0) {
            rp_metrics_free(metrics);
            return false;
        }
    }
    return true;
}

void rp_metrics_free(struct rp_metrics *metrics) {
    for (int i = 0; i < RP_N_METRICS; i++)
        if (metrics->histograms[i])
            gsl_histogram_free(metrics->histograms[i]);
    memset(metrics, 0, sizeof *metrics);
}

void rp_metrics_add(struct rp_metrics *metrics, enum rp_metric metric, double seconds) {
    /* The last bin excludes its upper bound. */
    double max_s = gsl_histogram_max(metrics->histograms[metric]) * (1 - 1e-9);
    gsl_histogram_increment(metrics->histograms[metric], fmin(fmax(seconds, 0), max_s));
}

double rp_metrics_quantile(const struct rp_metrics *metrics, enum rp_metric metric, double share) {
    const gsl_histogram *histogram = metrics->histograms[metric];
    double total = gsl_histogram_sum(histogram);
    double n_counted = 0;
    double low;
    double high = 0;
    for (size_t i = 0; i < gsl_histogram_bins(histogram) && total > 0; i++) {
        n_counted += gsl_histogram_get(histogram, i);
        gsl_histogram_get_range(histogram, i, &low, &high);
        if (n_counted >= share * total)
            return high;
    }
    return high;
}

static json_t *metric_json(const struct rp_metrics *metrics, enum rp_metric metric) {
    return json_pack("{s:f,s:f,s:f,s:f}", "count", gsl_histogram_sum(metrics->histograms[metric]),
                     "p50", rp_metrics_quantile(metrics, metric, 0.5), "p95",
                     rp_metrics_quantile(metrics, metric, 0.95), "p99",
                     rp_metrics_quantile(metrics, metric, 0.99));
}

json_t *rp_metrics_json(const struct rp_metrics *metrics) {
    json_t *value = json_object();
    for (int i = 0; i < RP_N_METRICS; i++)
        json_object_set_new(value, metric_names[i], metric_json(metrics, (enum rp_metric)i));
    return value;
}
