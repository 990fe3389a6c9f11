/** @file
 * Activities of the scheduling cycle whose work grows faster than the number of allocations,
 * because they search all machines for each of many groups or tasks. Each has a budget of steps in
 * a cycle. When the budget is spent, the rest of the list waits for the next cycle, which begins
 * there, so that the first elements do not take the steps of all others. */
#ifndef RP_SCHEDULER_ACTIVITY_H
#define RP_SCHEDULER_ACTIVITY_H

#include <stddef.h>
#include "base/step_budget.h"

/** The activities with a budget of their own. */
enum rp_activity_kind {
    RP_ACTIVITY_GANG_REPAIR,
    RP_ACTIVITY_STARTS,
    RP_ACTIVITY_IMAGE_HOLDERS, /* preemption on machines that hold a gang's image */
    RP_ACTIVITY_QUOTA,
    RP_ACTIVITY_PREEMPTION,
    RP_ACTIVITY_RESERVATION,
    RP_ACTIVITY_DRAINING,
    RP_ACTIVITY_KINDS /* number of kinds */
};

/** An activity's steps in the current or last cycle, and where the next one begins. */
struct rp_activity {
    struct rp_step_budget steps;
    size_t resume_at; /* index in the list; 0 unless the last cycle spent the budget */
};

/** Begins the activity's turn in a cycle, over a list of `n` elements. Returns the index of the
 * first element. */
static inline size_t rp_activity_begin(struct rp_activity *activity, size_t n) {
    size_t first = activity->resume_at < n ? activity->resume_at : 0;
    activity->steps = rp_step_budget_of(RP_TURN_STEPS_MAX);
    activity->resume_at = 0;
    return first;
}

/** Whether the activity's turn ends before the element at `index`, with which the next turn then
 * begins. */
static inline bool rp_activity_must_stop(struct rp_activity *activity, size_t index) {
    if (!rp_step_budget_is_spent(&activity->steps))
        return false;
    activity->resume_at = index;
    return true;
}

#endif
