/** @file
 * The state in which one heuristic packs the groups of tasks onto machines. A machine is a bin, and
 * one that the plan provisions is a bin behind those of the machines at hand. The planner owns the
 * state for the time of one plan; the modules of its steps work on it: job_order.h,
 * machine_order.h, load_shedding.h, machine_pool.h, candidate_list.h, packing.h, array_packing.h,
 * gang_packing.h, provisioning.h, plan_cost.h.
 *
 * Invariants: what a placement takes of a bin is taken of `free_later`, and of `free_now` and
 * `free_spare` too if its tasks start now; every change of a bin at hand goes through packing.h. */
#ifndef RP_SCHEDULER_PACKING_STATE_H
#define RP_SCHEDULER_PACKING_STATE_H

#include "scheduler/plan.h"
#include "scheduler/plan_input.h"

/** Sets of machine types that have a list of their own; the rest share the last list. Only the time
 * of planning depends on it. */
#define RP_CANDIDATE_LISTS_MAX 16

/** Which capacity of a machine a list is about: what is free now, later (rp_plan_machine), or what
 * the machine's GPU work leaves. */
enum rp_capacity_kind {
    RP_CAPACITY_NOW,
    RP_CAPACITY_LATER,
    RP_CAPACITY_SPARE,
    RP_CAPACITY_KINDS /* how many kinds there are */
};

/** A machine's capacity as the plan takes it. */
struct rp_bin {
    struct rp_resources free_now, free_later, free_spare;
    double end_s; /* estimated end of the last task */
};

/** The machines, in the heuristic's order, that have capacity for some group among those that may
 * use the same types. */
struct rp_candidate_list {
    uint32_t types;
    bool is_stale; /* capacity has been taken since the lists were last refreshed */
    size_t *machines[RP_CAPACITY_KINDS], n[RP_CAPACITY_KINDS];
    struct rp_resources smallest_need; /* of each resource: what the least demanding task needs */
};

/** The machines of one type, zone and kind together. */
struct rp_machine_pool {
    int type, zone;
    bool spot;
    double n_machines, work_s; /* without the parts that services hold */
    const struct rp_resources *capacity;
};

/** An index of groups or machines that is being sorted. */
struct rp_sort_entry {
    size_t item;
    int rank; /* before the key */
    double key;
};

/** The state of one plan. */
struct rp_packing {
    const struct rp_plan_input *input;
    struct rp_plan *plan;
    struct rp_bin *bins; /* machines, then new ones */
    size_t *group_order, *machine_order;
    size_t *group_list, *spare_list; /* of each group: its indexes in `lists` */
    struct rp_candidate_list lists[RP_CANDIDATE_LISTS_MAX];
    size_t n_lists;
    bool *is_shed; /* groups that can't be in time, or aren't to be so that more others are */
    /* Of the arrays' classes of a priority with objectives, without GPUs and with: the most
     * unfinished jobs. Gangs don't count: they are never shed, and their size is no part of the
     * order. */
    uint32_t most_class_jobs[RP_PRIORITY_CRITICAL + 1][2];
    struct rp_machine_pool *pools;
    size_t n_pools;
    struct rp_sort_entry *sort_entries; /* scratch, for groups or machines */
    double *team_cpus_left, *team_gpus_left;
    double queued_s[RP_TYPES_MAX]; /* work given to a type's machines, and left to them */
};

/** The group being placed: how many tasks are left, and what one_zone and spread still allow. */
struct rp_group_packing {
    const struct rp_plan_group *group;
    size_t index; /* of the group */
    uint32_t n_left;
    int zone; /* fixed zone, -1: free */
    uint32_t zone_used[RP_ZONES_MAX];
    size_t first_placement; /* of the plan's placements, the first of this group */
};

#endif
