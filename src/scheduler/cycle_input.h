/** @file
 * The planner's input as it is built from the leader's state, with the memory that it refers to. */
#ifndef RP_SCHEDULER_CYCLE_INPUT_H
#define RP_SCHEDULER_CYCLE_INPUT_H

#include "scheduler/scheduler.h"

/** The planner's input and the arrays that it refers to. `ref` of a machine is its rp_machine, or
 * NULL for a requested machine; `ref` of a group is its rp_job. */
struct rp_cycle_input {
    struct rp_plan_input plan_input;
    struct rp_plan_offering *offerings;
    struct rp_plan_machine *machines;
    struct rp_plan_group *groups;
    struct rp_plan_team *teams;
    struct rp_resources
        *guarantees_left; /* for each team, the CPUs and GPUs of its guaranteed quota that neither
                             its running work nor the groups built so far use */
    bool *has_image;      /* for each image, whether each machine has it */
    uint64_t *images;     /* hashes of the images' names, sorted */
    size_t n_images;
    struct rp_plan_release *releases;
    size_t n_releases;
    struct rp_plan_holding *holdings;
    size_t n_holdings;
};

/** Frees the input's arrays. */
void rp_cycle_input_free(struct rp_cycle_input *input);

/** The machine of a placement; NULL for a requested or new machine. */
static inline struct rp_machine *rp_cycle_input_machine(const struct rp_cycle_input *input,
                                                        const struct rp_placement *placement) {
    return placement->machine < input->plan_input.n_machines
               ? input->machines[placement->machine].ref
               : NULL;
}

#endif
