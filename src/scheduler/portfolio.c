#include "scheduler/portfolio.h"

#include <math.h>
#include "scheduler/plan_resources.h"

bool rp_plan_is_better(const struct rp_plan *a, const struct rp_plan *b) {
    if (a->failed != b->failed)
        return b->failed;
    /* Constraint (4) of the paper requires capacity for every job. It cannot be met when machines
     * are short, therefore plans are compared first by the work that they leave unplaced. */
    if (fabs(a->unplaced_work - b->unplaced_work) > RP_PLAN_EPSILON * (1 + fabs(b->unplaced_work)))
        return a->unplaced_work < b->unplaced_work;
    if (fabs(a->cost - b->cost) > RP_PLAN_EPSILON)
        return a->cost < b->cost;
    return a->n_starting > b->n_starting;
}

size_t rp_plan_best(const struct rp_plan_input *input, const struct rp_heuristic *heuristics,
                    size_t n, struct rp_plan *out) {
    size_t best = 0;
    rp_plan_build(input, heuristics[0], out);
    for (size_t i = 1; i < n; i++) {
        struct rp_plan plan;
        rp_plan_build(input, heuristics[i], &plan);
        if (rp_plan_is_better(&plan, out)) {
            rp_plan_free(out);
            *out = plan;
            best = i;
        } else {
            rp_plan_free(&plan);
        }
    }
    return best;
}
