/** @file
 * Changes of the packing state: its beginning and end, and the placement of a group's tasks on a
 * bin, which one_zone and spread limit by zone. Called by the planner and its steps. */
#ifndef RP_SCHEDULER_PACKING_H
#define RP_SCHEDULER_PACKING_H

#include "scheduler/packing_state.h"

/** Allocates the state and fills the bins; the lists and orders are filled by their modules.
 * Returns false when memory is short. Caller calls rp_packing_free in either case. */
bool rp_packing_init(struct rp_packing *packing, const struct rp_plan_input *input,
                     struct rp_plan *plan);
/** Frees the state, but not the plan. */
void rp_packing_free(struct rp_packing *packing);
/** Sorts the entries by rank, then key, then index. */
void rp_packing_sort_entries(struct rp_sort_entry *entries, size_t n);
/** The same, and writes their indexes to `order`. */
void rp_packing_sort(size_t *order, struct rp_sort_entry *entries, size_t n);

/** Begins the placement of a group: nothing of it is placed. Caller sets `n_left`. */
void rp_packing_begin_group(struct rp_packing *packing, struct rp_group_packing *current,
                            size_t index);
/** Puts `count` tasks of the group on the bin of this index, where they end after `end_s` seconds.
 * `starts_now` false: they hold what the bin will have free later. A failure is noted in the plan.
 */
void rp_packing_place(struct rp_packing *packing, struct rp_group_packing *current, size_t index,
                      uint32_t count, bool starts_now, double end_s);
/** Takes back everything placed for the group, and the machines provisioned for it: all beyond the
 * first `n_new_before`. */
void rp_packing_roll_back(struct rp_packing *packing, struct rp_group_packing *current,
                          size_t n_new_before);
/** How many more tasks of the group one_zone and spread allow in the zone, at most those left.
 * Inline, since it is asked for every machine that is tried. */
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
