/** @file
 * Planning: a pure function of a snapshot of the cluster. No I/O, no clock; randomness comes in as
 * a seed. Tasks of a job are alike, so work is planned by groups: a job's startable tasks together.
 */
#ifndef RP_SCHEDULER_PLANNER_H
#define RP_SCHEDULER_PLANNER_H

#include "model/heuristic.h"
#include "model/model.h"

/** A machine that is returned costs at least this long (PROTOCOL, price). */
#define RP_MIN_CHARGE_S 60.0

/** Time to spare of jobs that no aim speaks of. */
#define RP_NO_OBJECTIVE_S 1e6

struct rp_plan_offering {
    int type, zone;
    bool spot;
    bool refused; /* the cloud has lately had none */
    double price; /* per hour */
    double boot_s, fetch_gb_per_s;
    struct rp_resources capacity;
};

/** Resources that running work gives back at its estimated end. */
struct rp_plan_release {
    double after_s;
    struct rp_resources released;
};

struct rp_plan_machine {
    void *ref;
    const void *reserved_for; /* the only group, by its ref, that may use it; NULL: any */
    const struct rp_plan_release *releases; /* in the order of time */
    size_t n_releases;
    int type, zone;
    bool spot;
    double price;
    double fetch_gb_per_s;
    struct rp_resources capacity;
    struct rp_resources free_now;   /* now; nothing while it boots */
    struct rp_resources free_later; /* by the time when another machine of its type would be up */
    struct rp_resources
        free_spare;            /* of the room now: what work without the type's GPUs may take */
    double free_later_after_s; /* until `later` holds */
    double age_s;              /* since its rental */
    double service_share;      /* the part of it that services hold */
    double work_s;             /* its tasks' remaining time, weighed by their part of it */
    double busy_s;             /* until its last task's estimated end */
    double own_busy_s; /* the same of its own kind of work alone, not of what takes spare room */
    double first_arrival_s, last_arrival_s, mean_arrival_s; /* ages of its tasks */
};

struct rp_plan_group {
    void *ref;
    enum rp_job_kind kind;
    enum rp_priority priority;
    uint32_t n_tasks; /* tasks that can be started */
    struct rp_resources each;
    double run_s;
    double image_gb;
    double age_s;
    double slack_s;      /* until the job is late, large when it can't be */
    bool is_late;        /* it can be in time for nothing any more */
    uint32_t class_jobs; /* unfinished jobs of its class, this one included */
    bool is_first_task;  /* a first task of a job that has waited long: it is not to wait for the
                            rest */
    int team;
    uint32_t types, zones; /* bit sets of what is allowed */
    uint32_t spare_types;  /* of these only what the machines' own work leaves */
    bool spot;
    bool one_zone, spread;
    int fixed_zone; /* the zone its placed tasks are in, -1: none yet */
    uint32_t spread_max;
    uint32_t zone_used[RP_ZONES_MAX];
    bool is_guaranteed;    /* fits its team's guarantee: it waits for no other team's work */
    bool has_reservation;  /* a machine is being kept for it: only room now is better */
    const bool *has_image; /* for each machine */
};

struct rp_plan_team {
    double cpus_left, gpus_left; /* large when there is no limit */
};

struct rp_plan_input {
    const struct rp_plan_offering *offerings;
    size_t n_offerings;
    const struct rp_plan_machine *machines;
    size_t n_machines;
    const struct rp_plan_group *groups;
    size_t n_groups;
    const struct rp_plan_team *teams;
    size_t n_teams;
    double unit_s;
    unsigned long seed;
    size_t new_machines_max; /* machines that one plan may rent */
};

struct rp_placement {
    size_t group;
    size_t machine; /* from n_machines on: new ones */
    uint32_t count;
    bool starts_now; /* false: holds the room, the machine has no room yet */
};

struct rp_plan {
    struct rp_placement *placements;
    size_t n_placements, cap_placements;
    size_t *new_machines; /* kinds of the new machines */
    size_t n_new_machines, cap_new_machines;
    uint32_t n_starting, n_waiting;
    bool short_of_capacity[2]; /* work without GPUs, and with: not all of it can be in time */
    double unplaced_work;      /* work that found no room, weighed by priority */
    double cost;               /* formula (1) */
    unsigned long n_machines_examined; /* machines looked at, over all groups */
    bool failed;                       /* out of memory */
};

void rp_plan_free(struct rp_plan *plan);
void rp_plan_build(const struct rp_plan_input *input, struct rp_heuristic heuristic,
                   struct rp_plan *plan);
/** The portfolio: the plan that leaves least undone, and of these the cheapest. Returns the index
 * of the winner in `hs`. */
size_t rp_plan_best(const struct rp_plan_input *input, const struct rp_heuristic *heuristics,
                    size_t n, struct rp_plan *out);
/** The part of the machine that a task takes, by the resource of which it takes most. */
double rp_plan_share_of_machine(const struct rp_resources *need,
                                const struct rp_resources *capacity);
/** Until one task of this size fits on the machine, by its work's estimated ends. */
double rp_plan_machine_fits_after_s(const struct rp_plan_machine *machine,
                                    const struct rp_resources *each);
bool rp_plan_is_better(const struct rp_plan *a, const struct rp_plan *b);
/** Cost of a machine by formula (1): price times the units from its start to the end of its work.
 */
double rp_plan_machine_cost(double price, double age_s, double end_s, double unit_s);

#endif
