/** @file
 * Bin packing of independent tasks: on which machines as many tasks of a group as possible go, now
 * and later, and what is provisioned for the rest. Gangs are packed by the same steps, whole. */
#ifndef RP_SCHEDULER_ARRAY_PACKING_H
#define RP_SCHEDULER_ARRAY_PACKING_H

#include "scheduler/packing_state.h"

/** Places tasks on machines at hand that have capacity now, or, with `later`, that will have it.
 * Machines that have the image come first: a fetch costs a good part of a short task's time. */
void rp_array_packing_place_at_hand(struct rp_packing *packing, struct rp_group_packing *current,
                                    bool later);
/** Places tasks wherever there is capacity, now or later, and provisions machines for what is left,
 * unless the group can wait. */
void rp_array_packing_place(struct rp_packing *packing, struct rp_group_packing *current);

#endif
