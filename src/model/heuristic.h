/** @file
 * The heuristics of the scheduler's portfolio: each is an order of jobs and an order of machines,
 * as tables 2 and 3 of the paper in docs/design.md call them. Named in the settings, carried out by
 * scheduler/planner.c. */
#ifndef RP_MODEL_HEURISTIC_H
#define RP_MODEL_HEURISTIC_H

#include <stdbool.h>

/** Which job is placed next. */
enum rp_job_order {
    RP_JOB_ORDER_FCFS, /* first come, first served */
    RP_JOB_ORDER_RR,   /* round robin over the teams */
    RP_JOB_ORDER_LJF,  /* largest task first */
    RP_JOB_ORDER_SJF,  /* smallest task first */
    RP_JOB_ORDER_LTJF, /* longest run time first */
    RP_JOB_ORDER_STJF, /* shortest run time first */
    RP_JOB_ORDER_EDF,  /* earliest deadline first: least time to spare */
    RP_JOB_ORDER_SRW,  /* smallest remaining work first */
    RP_JOB_ORDER_ESW   /* earliest deadline, weighed against the job's work: the default */
};

/** Which machine is tried first. */
enum rp_machine_order {
    RP_MACHINE_ORDER_RND, /* random */
    RP_MACHINE_ORDER_LM,  /* largest first */
    RP_MACHINE_ORDER_SM,  /* smallest first */
    RP_MACHINE_ORDER_LA,  /* latest arrival of a task first */
    RP_MACHINE_ORDER_EA,  /* earliest arrival first */
    RP_MACHINE_ORDER_LD,  /* latest end of its work first */
    RP_MACHINE_ORDER_ED,  /* earliest end first */
    RP_MACHINE_ORDER_LAA, /* latest mean arrival first */
    RP_MACHINE_ORDER_EAA, /* earliest mean arrival first */
    RP_MACHINE_ORDER_CFH, /* closest to the full billing unit first */
    RP_MACHINE_ORDER_FFH, /* furthest from the full billing unit first */
    RP_MACHINE_ORDER_BF,  /* best fit: least free capacity first */
    RP_MACHINE_ORDER_CP   /* cheapest capacity first */
};

/** A heuristic. */
struct rp_heuristic {
    enum rp_job_order job_order;
    enum rp_machine_order machine_order;
};

/** Finds the heuristic of a name such as "FCFS-SM": the paper's {job selection}-{machine
 * selection}. Returns false when there is none; `out` is unchanged then. */
bool rp_heuristic_named(const char *name, struct rp_heuristic *out);

#endif
