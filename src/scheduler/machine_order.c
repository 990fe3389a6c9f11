#include "scheduler/machine_order.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include "scheduler/packing.h"

#define SIZE_CPUS_PER_GPU 8 /* number of CPUs that a GPU counts as in a machine's size */

/* The values that a criterion's formula may use. Machines are sorted by ascending key. */
struct machine_key_input {
    const struct rp_plan_machine *machine;
    double size;                   /* in CPUs */
    double billing_unit_elapsed_s; /* seconds since the machine's current billing unit began */
    gsl_rng *rng; /* NULL except for RP_MACHINE_ORDER_RND, and when memory is short */
};

static double key_rnd(const struct machine_key_input *input) {
    return input->rng ? gsl_rng_uniform(input->rng) : 0;
}

static double key_lm(const struct machine_key_input *input) {
    return -input->size;
}

static double key_sm(const struct machine_key_input *input) {
    return input->size;
}

static double key_la(const struct machine_key_input *input) {
    return input->machine->last_arrival_s;
}

static double key_ea(const struct machine_key_input *input) {
    return -input->machine->first_arrival_s;
}

static double key_ld(const struct machine_key_input *input) {
    return -input->machine->busy_s;
}

static double key_ed(const struct machine_key_input *input) {
    return input->machine->busy_s;
}

static double key_laa(const struct machine_key_input *input) {
    return input->machine->mean_arrival_s;
}

static double key_eaa(const struct machine_key_input *input) {
    return -input->machine->mean_arrival_s;
}

static double key_cfh(const struct machine_key_input *input) {
    return -input->billing_unit_elapsed_s;
}

static double key_ffh(const struct machine_key_input *input) {
    return input->billing_unit_elapsed_s;
}

/* Free share of the machine's main resource: GPUs if it has any, otherwise CPUs. */
static double key_bf(const struct machine_key_input *input) {
    const struct rp_plan_machine *machine = input->machine;
    if (machine->capacity.gpus > 0)
        return machine->free_now.gpus / machine->capacity.gpus;
    return machine->capacity.cpus > 0 ? machine->free_now.cpus / machine->capacity.cpus : 0;
}

static double key_cp(const struct machine_key_input *input) {
    return input->machine->price / fmax(1, input->size);
}

/* The criteria with their formulas and sources. Their names are those of the settings
 * (model/heuristic.c). Ages are those of a machine's tasks: the task that arrived last has the
 * least age. "Ours" marks the criteria that are not from the paper. */
static double (*const criteria[])(const struct machine_key_input *input) = {
    [RP_MACHINE_ORDER_RND] = key_rnd, /* random (paper, table 3) */
    [RP_MACHINE_ORDER_LM] = key_lm,   /* largest capacity first: -size (paper, table 3) */
    [RP_MACHINE_ORDER_SM] = key_sm,   /* smallest capacity first: size (paper, table 3) */
    [RP_MACHINE_ORDER_LA] = key_la,   /* latest arrival: least age of a task (paper, table 3) */
    [RP_MACHINE_ORDER_EA] = key_ea, /* earliest arrival: -greatest age of a task (paper, table 3) */
    [RP_MACHINE_ORDER_LD] = key_ld, /* latest departure: -time until idle (paper, table 3) */
    [RP_MACHINE_ORDER_ED] = key_ed, /* earliest departure: time until idle (paper, table 3) */
    [RP_MACHINE_ORDER_LAA] = key_laa, /* latest average arrival: mean age (paper, table 3) */
    [RP_MACHINE_ORDER_EAA] = key_eaa, /* earliest average arrival: -mean age (paper, table 3) */
    [RP_MACHINE_ORDER_CFH] = key_cfh, /* close to full hour: -time in the unit (paper, table 3) */
    [RP_MACHINE_ORDER_FFH] = key_ffh, /* far from full hour: time in the unit (paper, table 3) */
    [RP_MACHINE_ORDER_BF] = key_bf,   /* best fit: free share of the main resource (ours) */
    [RP_MACHINE_ORDER_CP] = key_cp,   /* cheapest capacity: price / size (ours) */
};

void rp_machine_order_sort(struct rp_packing *packing, enum rp_machine_order order) {
    size_t n = packing->input->n_machines;
    gsl_rng *rng = order == RP_MACHINE_ORDER_RND ? gsl_rng_alloc(gsl_rng_taus2) : NULL;
    if (rng)
        gsl_rng_set(rng, packing->input->seed);
    for (size_t i = 0; i < n; i++) {
        const struct rp_plan_machine *machine = &packing->input->machines[i];
        struct machine_key_input input = {
            .machine = machine,
            .size = machine->capacity.cpus + SIZE_CPUS_PER_GPU * machine->capacity.gpus,
            .billing_unit_elapsed_s = fmod(machine->age_s, packing->input->billing_unit_s),
            .rng = rng};
        packing->sort_entries[i] =
            (struct rp_sort_entry){.item = i, .key = criteria[order](&input)};
    }
    rp_packing_sort(packing->machine_order, packing->sort_entries, n);
    if (rng)
        gsl_rng_free(rng);
}
