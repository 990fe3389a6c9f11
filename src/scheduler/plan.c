#include "scheduler/plan.h"

#include <stdlib.h>
#include <string.h>

void rp_plan_free(struct rp_plan *plan) {
    free(plan->placements);
    free(plan->new_machines);
    memset(plan, 0, sizeof *plan);
}
