/** @file
 * Which machines a plan asks the cloud for: the offering with most capacity per price, the paper's
 * Cost-Efficient criterion (section 3.3), and whether waiting does instead. */
#ifndef RP_SCHEDULER_NEW_MACHINE_PACKING_H
#define RP_SCHEDULER_NEW_MACHINE_PACKING_H

#include "scheduler/packing_state.h"

/** Places tasks on the machines that the plan provisions already. */
void rp_new_machine_packing_place(struct rp_packing *packing, struct rp_group_packing *current);
/** Provisions machines for the group's tasks one after the other, until all are placed or no
 * offering helps. */
void rp_new_machine_packing_place_rest(struct rp_packing *packing,
                                       struct rp_group_packing *current);
/** Whether the machines at hand get to the rest of the group while its job has time to spare: then
 * it waits for them, and nothing is provisioned. The work left to them is noted. */
bool rp_new_machine_packing_can_wait(struct rp_packing *packing,
                                     const struct rp_group_packing *current);

#endif
