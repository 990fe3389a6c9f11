/** @file
 * Bin packing of gangs: either all tasks of a gang are placed, or none. */
#ifndef RP_SCHEDULER_GANG_PACKING_H
#define RP_SCHEDULER_GANG_PACKING_H

#include "scheduler/packing_state.h"

/** Places the whole gang where it can start now, otherwise where it will have capacity later; if
 * neither is possible, places nothing. A gang with reserved machines waits for them instead of
 * taking capacity that is free later. */
void rp_gang_packing_place(struct rp_packing *packing, struct rp_group_packing *current);

#endif
