#include "base/metrics.h"

#include <math.h>
#include <string.h>

/* Ranges from 0.1 ms to 1000 s, ten for each power of ten. */
#define FIRST_S 1e-4
#define DECADES 7
#define PER_DECADE 10
#define BINS (DECADES * PER_DECADE)

static const char *const names[RP_METRICS] = {"submit_s", "query_s", "round_s", "start_wait_s"};

int rp_metrics_init(struct rp_metrics *metrics) {
    double ranges[BINS + 1];
    memset(metrics, 0, sizeof *metrics);
    ranges[0] = 0;
    for (int i = 1; i <= BINS; i++)
        ranges[i] = FIRST_S * pow(10, (double)i / PER_DECADE);
    for (int i = 0; i < RP_METRICS; i++) {
        metrics->histograms[i] = gsl_histogram_alloc(BINS);
        if (!metrics->histograms[i] ||
            gsl_histogram_set_ranges(metrics->histograms[i], ranges, BINS + 1) != 0) {
            rp_metrics_free(metrics);
            return -1;
        }
    }
    return 0;
}

void rp_metrics_free(struct rp_metrics *metrics) {
    for (int i = 0; i < RP_METRICS; i++)
        if (metrics->histograms[i])
            gsl_histogram_free(metrics->histograms[i]);
    memset(metrics, 0, sizeof *metrics);
}

void rp_metrics_add(struct rp_metrics *metrics, enum rp_metric metric, double seconds) {
    double most = gsl_histogram_max(metrics->histograms[metric]) * (1 - 1e-9);
    gsl_histogram_increment(metrics->histograms[metric], fmin(fmax(seconds, 0), most));
}

double rp_metrics_quantile(const struct rp_metrics *metrics, enum rp_metric metric, double share) {
    const gsl_histogram *h = metrics->histograms[metric];
    double total = gsl_histogram_sum(h), seen = 0, low, high = 0;
    for (size_t i = 0; i < gsl_histogram_bins(h) && total > 0; i++) {
        seen += gsl_histogram_get(h, i);
        gsl_histogram_get_range(h, i, &low, &high);
        if (seen >= share * total)
            return high;
    }
    return high;
}

json_t *rp_metrics_json(const struct rp_metrics *metrics) {
    json_t *value = json_object();
    for (int i = 0; i < RP_METRICS; i++)
        json_object_set_new(value, names[i],
                            json_pack("{s:f,s:f,s:f,s:f}", "count",
                                      gsl_histogram_sum(metrics->histograms[i]), "p50",
                                      rp_metrics_quantile(metrics, (enum rp_metric)i, 0.5), "p95",
                                      rp_metrics_quantile(metrics, (enum rp_metric)i, 0.95), "p99",
                                      rp_metrics_quantile(metrics, (enum rp_metric)i, 0.99)));
    return value;
}
