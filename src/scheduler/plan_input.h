/** @file
 * What the planner is given: a snapshot of the cluster, the waiting work and the cloud's offerings.
 * cycle_input.h builds it for each scheduling cycle; the planner and the modules that act on its
 * plan only read it. Tasks of a job are alike, so work is planned by groups: a job's startable
 * tasks together. */
#ifndef RP_SCHEDULER_PLAN_INPUT_H
#define RP_SCHEDULER_PLAN_INPUT_H

#include "model/catalog.h"
#include "model/heuristic.h"
#include "model/job_spec.h"

/** Slack, in seconds, of jobs whose class has no service-level objective. */
#define RP_NO_OBJECTIVE_S 1e6

/** What the cloud rents out: machines of one type, in one zone, ordinary or spot. */
struct rp_plan_offering {
    int type, zone;
    bool spot;
    bool refused; /* the cloud has recently had none */
    double price; /* per hour */
    double boot_s, fetch_gb_per_s;
    struct rp_resources capacity;
};

/** Resources that running work gives back at its estimated end. */
struct rp_plan_release {
    double after_s;
    struct rp_resources released;
};

/** A machine at hand: up, booting, or requested. */
struct rp_plan_machine {
    void *ref;                              /* the caller's; NULL for a requested machine */
    const void *reserved_for;               /* the only group, by its ref, that may use it; NULL:
                                               any */
    const struct rp_plan_release *releases; /* in the order of time */
    size_t n_releases;
    int type, zone;
    bool spot;
    double price; /* per hour */
    double fetch_gb_per_s;
    struct rp_resources capacity;
    struct rp_resources free_now;   /* nothing while it boots */
    struct rp_resources free_later; /* by the time when another machine of its type would be up */
    struct rp_resources free_spare; /* of what is free now: what work without the type's GPUs may
                                       take */
    double free_later_after_s;      /* until `free_later` holds */
    double age_s;                   /* since it was requested */
    double service_share;           /* the part of it that services hold */
    double work_s;                  /* its tasks' remaining time, weighed by their part of it */
    double busy_s;                  /* until its last task's estimated end */
    double
        own_busy_s; /* the same of its own kind of work alone, not of what takes spare capacity */
    double first_arrival_s, last_arrival_s, mean_arrival_s; /* ages of its tasks */
};

/** Tasks of one job that can be started. */
struct rp_plan_group {
    void *ref; /* the caller's */
    enum rp_job_kind kind;
    enum rp_priority priority;
    uint32_t n_tasks; /* that can be started */
    struct rp_resources each;
    double run_s; /* estimated run time of a task */
    double image_gb;
    double age_s;          /* of the job */
    double slack_s;        /* until the job is late; RP_NO_OBJECTIVE_S when it can't be */
    bool is_late;          /* it can be in time for nothing any more */
    uint32_t class_jobs;   /* unfinished jobs of its class, this one included */
    bool is_first_task;    /* the first task of a job that has waited long: it doesn't wait for the
                              rest */
    int team;              /* index, -1: none */
    uint32_t types, zones; /* bit sets of what is allowed */
    uint32_t spare_types;  /* of these only what the machines' own work leaves */
    bool spot;
    bool one_zone, spread;
    int fixed_zone;      /* the zone its placed tasks are in, -1: none yet */
    uint32_t spread_max; /* of its tasks that one zone may have */
    uint32_t zone_used[RP_ZONES_MAX];
    bool is_guaranteed;    /* fits its team's guaranteed quota: it waits for no other team's work */
    bool has_reservation;  /* a machine is reserved for it: only capacity now is better */
    const bool *has_image; /* for each machine; NULL: none has it */
};

/** What a team may still use; large when it has no limit. */
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
    double unit_s;           /* the billing unit */
    unsigned long seed;      /* of random orders */
    size_t new_machines_max; /* machines that one plan may provision */
};

#endif
