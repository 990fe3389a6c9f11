/** @file
 * The planner's input: a snapshot of the cluster, of the waiting work and of the cloud's offerings.
 * cycle_input_build.h builds it for each scheduling cycle; the planner and the modules that act on
 * its plan only read it. All tasks of a job have the same requirements, which is why work is
 * planned by groups: the startable tasks of a job together. */
#ifndef RP_SCHEDULER_PLAN_INPUT_H
#define RP_SCHEDULER_PLAN_INPUT_H

#include "model/catalog.h"
#include "model/heuristic.h"
#include "model/job_spec.h"

/** Slack, in seconds, that is assumed for a job whose class has no service-level objective. */
#define RP_NO_OBJECTIVE_SLACK_S 1e6

/** An offering of the cloud: machines of one type, in one zone, ordinary or spot. */
struct rp_plan_offering {
    int type, zone;
    bool spot;
    bool refused; /* must not be requested in this cycle, for example because the cloud has recently
                     had no such machine */
    double price; /* per hour */
    double boot_s, fetch_gb_per_s;
    struct rp_resources capacity;
};

/** Resources that running work releases at its estimated end. */
struct rp_plan_release {
    double after_s;
    struct rp_resources released;
};

/** The tasks of a job that a machine lists, ended ones included. */
struct rp_plan_holding {
    const void *job; /* `ref` of the job's groups */
    uint32_t n_tasks;
};

/** An existing machine: up, booting, or requested. */
struct rp_plan_machine {
    void *ref;                              /* the caller's object; NULL for a requested machine */
    const void *reserved_for;               /* `ref` of the only group that may use it; NULL: any */
    const struct rp_plan_release *releases; /* sorted by time */
    size_t n_releases;
    const struct rp_plan_holding *holdings; /* only of jobs whose tasks are small on the machine */
    size_t n_holdings;
    int type, zone;
    bool spot;
    double price; /* per hour */
    double fetch_gb_per_s;
    struct rp_resources capacity;
    struct rp_resources free_now;   /* all 0 while the machine boots or cannot be used */
    struct rp_resources free_later; /* free by the time at which a machine of its type that is
                                       requested now would be up */
    struct rp_resources free_spare; /* the part of `free_now` that work without GPUs may take from a
                                       machine type with GPUs */
    double free_later_after_s;      /* seconds until `free_later` is available */
    double age_s;                   /* seconds since the machine was requested */
    double service_share;           /* share of the machine that services hold */
    double work_s;                  /* sum of its tasks' remaining times, each weighted by the
                                       task's share of the machine; without services */
    double busy_s;                  /* seconds until the estimated end of its last task */
    double gpu_busy_s; /* seconds until the estimated end of its last task that needs GPUs */
    double first_arrival_s, last_arrival_s, mean_arrival_s; /* greatest, least and mean age of its
                                                               tasks */
};

/** Tasks of one job that can be started. */
struct rp_plan_group {
    void *ref; /* the caller's object */
    enum rp_job_kind kind;
    enum rp_priority priority;
    uint32_t n_tasks;                   /* startable tasks */
    struct rp_resources task_resources; /* resources that one task needs */
    double run_s;                       /* estimated run time of one task */
    double image_gb;
    double age_s; /* age of the job */
    /* Seconds until the job is late; RP_NO_OBJECTIVE_SLACK_S if it has no objective. */
    double slack_s;
    bool is_late;          /* the job can no longer meet any of its objectives */
    uint32_t class_jobs;   /* unfinished jobs of its class, including this one */
    bool is_first_task;    /* the first task of a job that has waited long; it is started ahead of
                              the job's other tasks */
    int team;              /* index of its team; -1: none */
    uint32_t types, zones; /* bit sets of the allowed types and zones */
    uint32_t spare_types;  /* bit set of types of which the group may use only `free_spare` */
    bool spot;             /* spot machines are allowed too */
    bool one_zone, spread;
    int fixed_zone;      /* zone of the job's allocated tasks; -1: none is allocated yet */
    uint32_t spread_max; /* greatest number of the job's tasks in one zone */
    uint32_t zone_used[RP_ZONES_MAX]; /* number of the job's allocated tasks by zone */
    bool is_guaranteed; /* the group fits its team's guaranteed quota and is placed before the work
                           of other teams */
    bool has_reservation;  /* machines are reserved for the job; capacity of other machines is
                              preferred only if it is free now */
    const bool *has_image; /* for each machine, whether it has the image; NULL: no machine has it */
};

/** Resources that a team may still use; a very large number when the team has no limit. */
struct rp_plan_team {
    double cpus_left, gpus_left;
};

/** The planner's input. The arrays belong to the caller. */
struct rp_plan_input {
    const struct rp_plan_offering *offerings;
    size_t n_offerings;
    const struct rp_plan_machine *machines;
    size_t n_machines;
    const struct rp_plan_group *groups;
    size_t n_groups;
    const struct rp_plan_team *teams;
    size_t n_teams;
    double billing_unit_s;
    unsigned long seed;      /* seed of the random machine order */
    size_t new_machines_max; /* greatest number of machines that one plan may provision */
};

#endif
