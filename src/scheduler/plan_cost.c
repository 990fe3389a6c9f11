#include "scheduler/plan_cost.h"

#include <math.h>
#include "scheduler/packing_state.h"
#include "scheduler/plan_resources.h"

#define SECONDS_PER_HOUR 3600

double rp_plan_machine_cost(double price, double age_s, double end_s, double billing_unit_s) {
    double charged = billing_unit_s * ceil((age_s + end_s) / billing_unit_s - RP_PLAN_EPSILON);
    return price / SECONDS_PER_HOUR * fmax(charged, RP_MIN_CHARGE_S);
}

void rp_plan_cost_add(struct rp_packing *packing) {
    for (size_t i = 0; i < packing->input->n_machines; i++) {
        const struct rp_plan_machine *machine = &packing->input->machines[i];
        packing->plan->cost += rp_plan_machine_cost(
            machine->price, machine->age_s, packing->bins[i].end_s, packing->input->billing_unit_s);
    }
    for (size_t i = 0; i < packing->plan->n_new_machines; i++)
        packing->plan->cost += rp_plan_machine_cost(
            packing->input->offerings[packing->plan->new_machines[i]].price, 0,
            packing->bins[packing->input->n_machines + i].end_s, packing->input->billing_unit_s);
}
