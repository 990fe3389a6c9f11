#include "scheduler/gang_packing.h"

#include "scheduler/array_packing.h"
#include "scheduler/packing.h"

/* Tries each allowed zone for a gang that must be in one zone, because it may fit in some zones
 * only. Returns whether the whole gang was placed. */
static bool place_gang_by_zone(struct rp_packing *packing, struct rp_group_packing *current,
                               bool start_now) {
    size_t n_new_before = packing->plan->n_new_machines;
    int zones = current->group->one_zone && current->zone < 0 ? RP_ZONES_MAX : 1;
    for (int z = 0; z < zones; z++) {
        if (zones > 1 && !(current->group->zones >> z & 1))
            continue;
        if (zones > 1)
            current->zone = z;
        if (start_now)
            rp_array_packing_place_on_existing(packing, current, false);
        else
            rp_array_packing_place(packing, current);
        if (current->n_left == 0)
            return true;
        rp_packing_roll_back(packing, current, n_new_before);
    }
    return false;
}

void rp_gang_packing_place(struct rp_packing *packing, struct rp_group_packing *current) {
    if (!place_gang_by_zone(packing, current, true) && !current->group->has_reservation)
        place_gang_by_zone(packing, current, false);
}
