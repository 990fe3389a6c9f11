/** @file
 * The state of the bin packing that one heuristic does. Each machine is a bin; the bins of new
 * machines follow those of the existing machines. The planner owns the state while it builds one
 * plan, and the modules of its steps modify it: job_order.h, machine_order.h, load_shedding.h,
 * machine_pool.h, candidate_list.h, packing.h, array_packing.h, gang_packing.h,
 * new_machine_packing.h, plan_cost.h.
 *
 * Invariants: a placement's resources are deducted from the bin's `free_later`, and also from
 * `free_now` and `free_spare` if its tasks start now; the bins of existing machines are changed
 * only by packing.h. */
#ifndef RP_SCHEDULER_PACKING_STATE_H
#define RP_SCHEDULER_PACKING_STATE_H

#include "scheduler/plan.h"
#include "scheduler/plan_input.h"

/** Greatest number of candidate lists. Each set of machine types and each class of needs has a list
 * of its own until this number is reached; further ones share the last list. The number affects
 * only the time that planning takes. */
#define RP_CANDIDATE_LISTS_MAX 64

/** Kinds of a machine's capacity, with a candidate list for each: free now, free later (see
 * rp_plan_machine), and spare capacity, which the machine's GPU work does not use. */
enum rp_capacity_kind {
    RP_CAPACITY_NOW,
    RP_CAPACITY_LATER,
    RP_CAPACITY_SPARE,
    RP_CAPACITY_KINDS /* number of kinds */
};

/** A machine's capacity that the plan has not used yet. */
struct rp_bin {
    struct rp_resources free_now, free_later, free_spare;
    double end_s;        /* seconds until the estimated end of the last task */
    size_t last_group;   /* index of the group that was last placed here, plus 1; 0: none */
    uint32_t n_of_group; /* its tasks that the plan has placed here */
};

/** The machines, in the heuristic's order, that have capacity for at least one task of the groups
 * that may use the same machine types and have needs of the same class. */
struct rp_candidate_list {
    uint32_t types;
    int need_class;
    bool is_stale; /* capacity has been taken since the lists were last refreshed */
    size_t *machines[RP_CAPACITY_KINDS], n[RP_CAPACITY_KINDS];
    struct rp_resources smallest_need; /* for each resource, the least amount that any task of the
                                          list's groups needs */
    struct rp_resources largest_need;  /* likewise the greatest amount */
};

/** The machines of one type, zone and kind (ordinary or spot) together. */
struct rp_machine_pool {
    int type, zone;
    bool spot;
    double n_machines, work_s; /* number of machines and their work in progress, both without the
                                  shares that services hold */
    const struct rp_resources *capacity;
};

/** The index of a group or machine that is being sorted, with its rank and key. */
struct rp_sort_entry {
    size_t item;
    int rank; /* compared before the key */
    double key;
};

/** The state of one plan. */
struct rp_packing {
    const struct rp_plan_input *input;
    struct rp_plan *plan;
    struct rp_bin *bins; /* those of existing machines, then those of new machines */
    size_t *group_order, *machine_order;
    size_t *group_list, *spare_list; /* for each group, the index in `lists` for its allowed types,
                                        and for its spare types */
    struct rp_candidate_list lists[RP_CANDIDATE_LISTS_MAX];
    size_t n_lists;
    bool *is_shed; /* for each group, whether it is placed after others of its priority: it is late,
                      or was shed so that more jobs meet their objectives */
    /* For each priority, without and with GPUs: the number of unfinished jobs of the most numerous
     * class of arrays with an objective. Gangs are not counted, because they are never shed and
     * their size does not affect the order. */
    uint32_t max_class_jobs[RP_PRIORITY_CRITICAL + 1][2];
    struct rp_machine_pool *pools;
    size_t n_pools;
    struct rp_sort_entry *sort_entries; /* scratch memory for sorting groups or machines */
    double *team_cpus_left, *team_gpus_left;
    double queued_s[RP_TYPES_MAX]; /* work, in seconds of a machine, that the plan has placed on a
                                      type's machines or lets wait for them */
};

/** The group that is being placed: its tasks not placed yet, and what one_zone and spread still
 * allow. */
struct rp_group_packing {
    const struct rp_plan_group *group;
    size_t index; /* of the group */
    uint32_t n_left;
    int zone; /* the zone that all its tasks must be in if it has one_zone; -1: not fixed yet */
    uint32_t zone_used[RP_ZONES_MAX];
    size_t first_placement; /* index of this group's first placement in the plan */
};

#endif
