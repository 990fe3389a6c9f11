/** @file
 * Which machines a group of tasks has to be tried on: lists of the machines that still have
 * capacity, one for each set of allowed machine types. A group looks at its own lists only: with
 * one list for all, the plans' work grew with groups times machines, whether these were full, of
 * other types, or had nothing to spare. */
#ifndef RP_SCHEDULER_CANDIDATE_LIST_H
#define RP_SCHEDULER_CANDIDATE_LIST_H

#include "scheduler/packing_state.h"

/** Finds out which lists there are, and which of them each group uses. */
void rp_candidate_lists_assign(struct rp_packing *packing);
/** Fills the lists in the heuristic's order; spare capacity is tried in the machines' own order.
 * Caller has sorted the machines. Returns false when memory is short. */
bool rp_candidate_lists_build(struct rp_packing *packing);
/** Takes the machines out of the list that hold not even its least demanding task any more. */
void rp_candidate_list_refresh(struct rp_packing *packing, struct rp_candidate_list *list);
/** Capacity of the machine was taken: the lists that it is on are to be refreshed. */
void rp_candidate_lists_mark_stale(struct rp_packing *packing, size_t machine);
/** Frees the lists' memory. */
void rp_candidate_lists_free(struct rp_packing *packing);

#endif
