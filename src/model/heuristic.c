#include "model/heuristic.h"

#include <stddef.h>
#include <string.h>

static const char *const job_names[] = {"FCFS", "RR",  "LJF", "SJF", "LTJF",
                                        "STJF", "EDF", "SRW", "ESW"};
static const char *const machine_names[] = {"RND", "LM",  "SM",  "LA",  "EA", "LD", "ED",
                                            "LAA", "EAA", "CFH", "FFH", "BF", "CP"};

static int name_index(const char *name, size_t len, const char *const *names, size_t n) {
    for (size_t i = 0; i < n; i++)
        if (strlen(names[i]) == len && strncmp(names[i], name, len) == 0)
            return (int)i;
    return -1;
}

bool rp_heuristic_named(const char *name, struct rp_heuristic *out) {
    const char *dash = strchr(name, '-');
    if (!dash)
        return false;
    int jobs =
        name_index(name, (size_t)(dash - name), job_names, sizeof job_names / sizeof job_names[0]);
    int machines = name_index(dash + 1, strlen(dash + 1), machine_names,
                              sizeof machine_names / sizeof machine_names[0]);
    if (jobs < 0 || machines < 0)
        return false;
    out->job_order = (enum rp_job_order)jobs;
    out->machine_order = (enum rp_machine_order)machines;
    return true;
}
