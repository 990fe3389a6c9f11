/** @file
 * The names of the planner's heuristics: an order of jobs and an order of machines, as the paper's
 * tables 2 and 3 call them. */
#ifndef RP_MODEL_HEURISTIC_H
#define RP_MODEL_HEURISTIC_H

#include <stdbool.h>

enum rp_job_order {
    RP_JOB_ORDER_FCFS,
    RP_JOB_ORDER_RR,
    RP_JOB_ORDER_LJF,
    RP_JOB_ORDER_SJF,
    RP_JOB_ORDER_LTJF,
    RP_JOB_ORDER_STJF,
    RP_JOB_ORDER_EDF,
    RP_JOB_ORDER_SRW,
    RP_JOB_ORDER_ESW
};
enum rp_machine_order {
    RP_MACHINE_ORDER_RND,
    RP_MACHINE_ORDER_LM,
    RP_MACHINE_ORDER_SM,
    RP_MACHINE_ORDER_LA,
    RP_MACHINE_ORDER_EA,
    RP_MACHINE_ORDER_LD,
    RP_MACHINE_ORDER_ED,
    RP_MACHINE_ORDER_LAA,
    RP_MACHINE_ORDER_EAA,
    RP_MACHINE_ORDER_CFH,
    RP_MACHINE_ORDER_FFH,
    RP_MACHINE_ORDER_BF, /* least room first */
    RP_MACHINE_ORDER_CP  /* cheapest capacity first */
};

struct rp_heuristic {
    enum rp_job_order job_order;
    enum rp_machine_order machine_order;
};

/** "FCFS-SM" and the like: the paper's {job selection}-{machine selection}. */
bool rp_heuristic_named(const char *name, struct rp_heuristic *out);

#endif
