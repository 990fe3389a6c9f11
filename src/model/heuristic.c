#include "model/heuristic.h"

#include <stddef.h>
#include <string.h>

/* Names of the job orders, in the order of enum rp_job_order. */
static const char *const job_order_names[] = {"FCFS", "RR",  "LJF", "SJF", "LTJF",
                                              "STJF", "EDF", "SRW", "ESW"};
/* Names of the machine orders, in the order of enum rp_machine_order. */
static const char *const machine_order_names[] = {"RND", "LM",  "SM",  "LA",  "EA", "LD", "ED",
                                                  "LAA", "EAA", "CFH", "FFH", "BF", "CP"};

/* Returns the index of the name, or -1 when `names` does not contain it. */
static int name_index(const char *name, size_t len, const char *const *names, size_t n) {
    for (size_t i = 0; i < n; i++)
        if (strlen(names[i]) == len && strncmp(names[i], name, len) == 0)
            return (int)i;
    return -1;
}

bool rp_heuristic_from_name(const char *name, struct rp_heuristic *out) {
    const char *dash = strchr(name, '-');
    if (!dash)
        return false;
    int job_order = name_index(name, (size_t)(dash - name), job_order_names,
                               sizeof job_order_names / sizeof job_order_names[0]);
    int machine_order = name_index(dash + 1, strlen(dash + 1), machine_order_names,
                                   sizeof machine_order_names / sizeof machine_order_names[0]);
    if (job_order < 0 || machine_order < 0)
        return false;
    out->job_order = (enum rp_job_order)job_order;
    out->machine_order = (enum rp_machine_order)machine_order;
    return true;
}
