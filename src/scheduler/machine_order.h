/** @file
 * The order in which a heuristic examines the machines: the paper's VM selection criteria (table 3)
 * and additional criteria of this scheduler. */
#ifndef RP_SCHEDULER_MACHINE_ORDER_H
#define RP_SCHEDULER_MACHINE_ORDER_H

#include "scheduler/packing_state.h"

/** Writes the order to `machine_order`. The random order depends only on the input's seed. */
void rp_machine_order_sort(struct rp_packing *packing, enum rp_machine_order order);

#endif
