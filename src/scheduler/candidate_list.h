/** @file
 * The machines to examine for a group of tasks: lists of the machines that still have capacity, one
 * for each set of allowed machine types and each class of needs. Each group uses its own lists
 * only. With one list for all groups, the time to build a plan would grow with the number of groups
 * times the number of machines, including those that are full, of other types, or without spare
 * capacity. */
#ifndef RP_SCHEDULER_CANDIDATE_LIST_H
#define RP_SCHEDULER_CANDIDATE_LIST_H

#include "scheduler/packing_state.h"

/** Determines which candidate lists are needed, and which of them each group uses. */
void rp_candidate_lists_assign(struct rp_packing *packing);
/** Fills the lists in the heuristic's order; the lists of spare capacity are in the order of the
 * input's machines. The caller has sorted the machines (rp_machine_order_sort). Returns false when
 * memory is short. */
bool rp_candidate_lists_build(struct rp_packing *packing);
/** Removes the machines that no longer have capacity for even the least demanding task of the
 * list's groups. Does nothing unless the list is stale. */
void rp_candidate_list_refresh(struct rp_packing *packing, struct rp_candidate_list *list);
/** Marks the lists that may contain the machine as stale, after some of its capacity was used. */
void rp_candidate_lists_mark_stale(struct rp_packing *packing, size_t machine);
/** Frees the lists' memory. */
void rp_candidate_lists_free(struct rp_packing *packing);

#endif
