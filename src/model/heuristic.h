/** @file
 * The names of the planner's heuristics: an order of jobs and an order of machines, as the paper's
 * tables 2 and 3 call them. */
#ifndef RP_MODEL_HEURISTIC_H
#define RP_MODEL_HEURISTIC_H

#include <stdbool.h>

enum rp_job_order { RP_FCFS, RP_RR, RP_LJF, RP_SJF, RP_LTJF, RP_STJF, RP_EDF, RP_SRW, RP_ESW };
enum rp_machine_order {
    RP_RND,
    RP_LM,
    RP_SM,
    RP_LA,
    RP_EA,
    RP_LD,
    RP_ED,
    RP_LAA,
    RP_EAA,
    RP_CFH,
    RP_FFH,
    RP_BF, /* least room first */
    RP_CP  /* cheapest capacity first */
};

struct rp_heuristic {
    enum rp_job_order jobs;
    enum rp_machine_order machines;
};

/** "FCFS-SM" and the like: the paper's {job selection}-{machine selection}. */
bool rp_heuristic_named(const char *name, struct rp_heuristic *out);

#endif
