/** @file
 * Operations on the packing state: allocation and release, sorting, and the placement of a group's
 * tasks on a bin within the limits that one_zone and spread set for each zone. Called by the
 * planner and its steps. */
#ifndef RP_SCHEDULER_PACKING_H
#define RP_SCHEDULER_PACKING_H

#include "scheduler/packing_state.h"

/** Allocates the state and fills the bins; the candidate lists and the orders of groups and
 * machines are filled by candidate_list.h, job_order.h and machine_order.h. Returns false when
 * memory is short. The caller calls rp_packing_free in either case. */
bool rp_packing_init(struct rp_packing *packing, const struct rp_plan_input *input,
                     struct rp_plan *plan);
/** Frees the state, but not the plan. */
void rp_packing_free(struct rp_packing *packing);
/** Sorts the entries by rank, then key, then index. */
void rp_packing_sort_entries(struct rp_sort_entry *entries, size_t n);
/** Sorts the entries by rank, then key, then index, and writes their indexes to `order`. */
void rp_packing_sort(size_t *order, struct rp_sort_entry *entries, size_t n);

/** Initializes `current` for the placement of a group of which nothing is placed yet. The caller
 * sets `n_left`. */
void rp_packing_begin_group(struct rp_packing *packing, struct rp_group_packing *current,
                            size_t index);
/** Places `count` tasks of the group on the bin with this index; their estimated end is in `end_s`
 * seconds. With `starts_now` false they hold capacity that the bin will have free later. When
 * memory is short, sets the plan's `failed`. */
void rp_packing_place(struct rp_packing *packing, struct rp_group_packing *current, size_t index,
                      uint32_t count, bool starts_now, double end_s);
/** Number of further tasks of the group, at most `limit`, that fit in the available resources of
 * the bin with this index, of which small tasks leave task slots to other jobs. */
uint32_t rp_packing_n_fitting(const struct rp_packing *packing,
                              const struct rp_group_packing *current, size_t index,
                              const struct rp_resources *available, uint32_t limit);
/** Undoes all placements of the group and removes the new machines provisioned for it, which are
 * all beyond the first `n_new_before`. */
void rp_packing_roll_back(struct rp_packing *packing, struct rp_group_packing *current,
                          size_t n_new_before);
/** Number of further tasks of the group that one_zone and spread allow in the zone, at most
 * `n_left`. Inline because it is called for every machine that is examined. */
static inline uint32_t rp_packing_zone_limit(const struct rp_group_packing *current, int zone) {
    if (current->group->one_zone && current->zone >= 0 && current->zone != zone)
        return 0;
    if (!current->group->spread)
        return current->n_left;
    uint32_t used = current->zone_used[zone];
    uint32_t n_left_in_zone =
        current->group->spread_max > used ? current->group->spread_max - used : 0;
    return n_left_in_zone < current->n_left ? n_left_in_zone : current->n_left;
}

#endif
