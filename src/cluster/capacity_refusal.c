#include "cluster/capacity_refusal.h"

#include <math.h>
#include <string.h>

/* Largest backoff after refusals of a kind of machine, as a multiple of the backoff after its first
 * refusal. */
#define BACKOFF_FACTOR_MAX 6

static bool is_in_catalog(int type, int zone) {
    return type >= 0 && zone >= 0;
}

void rp_capacity_refusals_clear(struct rp_capacity_refusals *refusals) {
    memset(refusals->kinds, 0, sizeof refusals->kinds);
}

bool rp_capacity_refusals_record(struct rp_capacity_refusals *refusals, int type, int zone,
                                 bool spot, double first_backoff_s, struct timespec now) {
    if (!is_in_catalog(type, zone))
        return false;
    struct rp_capacity_refusal *refusal = &refusals->kinds[type][zone][spot];
    bool repeated = refusal->backoff_s > 0 && rp_ts_since(now, refusal->until) < refusal->backoff_s;
    refusal->backoff_s = repeated
                             ? fmin(refusal->backoff_s * 2, first_backoff_s * BACKOFF_FACTOR_MAX)
                             : first_backoff_s;
    refusal->until = rp_ts_after(now, refusal->backoff_s);
    refusals->n_refused++;
    return true;
}

void rp_capacity_refusals_remove(struct rp_capacity_refusals *refusals, int type, int zone,
                                 bool spot) {
    if (is_in_catalog(type, zone))
        refusals->kinds[type][zone][spot] = (struct rp_capacity_refusal){0};
}

bool rp_capacity_refusals_has(const struct rp_capacity_refusals *refusals, int type, int zone,
                              bool spot, struct timespec now) {
    return !rp_ts_is_reached(now, refusals->kinds[type][zone][spot].until);
}
