/** @file
 * Bin packing of a gang: all its tasks are placed together, or none. */
#ifndef RP_SCHEDULER_GANG_PACKING_H
#define RP_SCHEDULER_GANG_PACKING_H

#include "scheduler/packing_state.h"

/** Places the whole gang where it can start now, else where it has capacity later, or nothing of
 * it. A gang that machines are reserved for waits for them rather than for later capacity. */
void rp_gang_packing_place(struct rp_packing *packing, struct rp_group_packing *current);

#endif
