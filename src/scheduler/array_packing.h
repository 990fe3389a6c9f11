/** @file
 * Bin packing of independent tasks: selects machines for as many tasks of a group as possible, on
 * capacity that is free now or later, and provisions machines for the rest. gang_packing.h packs
 * gangs by these steps too, but only as a whole. */
#ifndef RP_SCHEDULER_ARRAY_PACKING_H
#define RP_SCHEDULER_ARRAY_PACKING_H

#include "scheduler/packing_state.h"

/** Places tasks on existing machines: on capacity that is free now or, with `later`, on capacity
 * that is free later. Machines that have the image come first, because a fetch takes a large part
 * of a short task's time. */
void rp_array_packing_place_on_existing(struct rp_packing *packing,
                                        struct rp_group_packing *current, bool later);
/** Places tasks on existing machines on capacity that is free now, spare capacity or capacity that
 * is free later, and provisions machines for the rest unless the group can wait. */
void rp_array_packing_place(struct rp_packing *packing, struct rp_group_packing *current);

#endif
