/** @file
 * The heuristics of the scheduler's portfolio. Each consists of an order of jobs and an order of
 * machines, which are named as in tables 2 and 3 of the paper in docs/design.md. The settings
 * select heuristics by name, and scheduler/planner.c executes them. */
#ifndef RP_MODEL_HEURISTIC_H
#define RP_MODEL_HEURISTIC_H

#include <stdbool.h>

/** Order in which jobs are placed. */
enum rp_job_order {
    RP_JOB_ORDER_FCFS, /* first come, first served */
    RP_JOB_ORDER_RR,   /* round robin over the teams */
    RP_JOB_ORDER_LJF,  /* largest task first */
    RP_JOB_ORDER_SJF,  /* smallest task first */
    RP_JOB_ORDER_LTJF, /* longest run time first */
    RP_JOB_ORDER_STJF, /* shortest run time first */
    RP_JOB_ORDER_EDF,  /* earliest deadline first: in ascending order of slack, the time to spare */
    RP_JOB_ORDER_SRW,  /* smallest remaining work first */
    RP_JOB_ORDER_ESW   /* earliest slack, weighted by the job's work; the default */
};

/** Order in which machines are considered for a task. */
enum rp_machine_order {
    RP_MACHINE_ORDER_RND, /* random */
    RP_MACHINE_ORDER_LM,  /* largest capacity first */
    RP_MACHINE_ORDER_SM,  /* smallest capacity first */
    RP_MACHINE_ORDER_LA,  /* the machine whose last task arrived latest first */
    RP_MACHINE_ORDER_EA,  /* the machine whose first task arrived earliest first */
    RP_MACHINE_ORDER_LD,  /* latest end of the machine's work first */
    RP_MACHINE_ORDER_ED,  /* earliest end of the machine's work first */
    RP_MACHINE_ORDER_LAA, /* latest mean arrival of tasks first */
    RP_MACHINE_ORDER_EAA, /* earliest mean arrival of tasks first */
    RP_MACHINE_ORDER_CFH, /* the least time left in the machine's billing unit first */
    RP_MACHINE_ORDER_FFH, /* the most time left in the machine's billing unit first */
    RP_MACHINE_ORDER_BF,  /* best fit: least free share of GPUs, or of CPUs without GPUs, first */
    RP_MACHINE_ORDER_CP   /* lowest price per capacity first */
};

/** A heuristic of the portfolio. */
struct rp_heuristic {
    enum rp_job_order job_order;
    enum rp_machine_order machine_order;
};

/** Parses the name of a heuristic, such as "FCFS-SM". A name has the paper's form {job
 * selection}-{machine selection}. Returns false and leaves `out` unchanged when there
 * is no such heuristic. */
bool rp_heuristic_from_name(const char *name, struct rp_heuristic *out);

#endif
