/** @file
 * Selects the machines that a plan provisions: those of the offering with the most capacity per
 * price, which is the paper's Cost-Efficient criterion (section 3.3). Also decides whether a group
 * waits for machines that exist or that the plan already provisions, instead of having more of them
 * provisioned. */
#ifndef RP_SCHEDULER_NEW_MACHINE_PACKING_H
#define RP_SCHEDULER_NEW_MACHINE_PACKING_H

#include "scheduler/packing_state.h"

/** Places tasks on the machines that the plan already provisions. */
void rp_new_machine_packing_place(struct rp_packing *packing, struct rp_group_packing *current);
/** Provisions machines for the group's tasks one after the other, until all tasks are placed, no
 * offering has capacity for another task, or the plan's limit of new machines is reached. */
void rp_new_machine_packing_place_rest(struct rp_packing *packing,
                                       struct rp_group_packing *current);
/** Whether the existing and new machines that the group may use will have capacity for the rest of
 * the group within a share of its job's slack. In that case the group waits, nothing is provisioned
 * for it, and its work is added to `queued_s` of the packing state. */
bool rp_new_machine_packing_can_wait(struct rp_packing *packing,
                                     const struct rp_group_packing *current);

#endif
