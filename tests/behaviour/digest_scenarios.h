/** @file
 * The table of scenarios: for each its workload, the size and the faults of its simulation, and its
 * seeds.
 *
 * The names are printed and matched between commits, including older ones, and must not change.
 * Called by behaviour_digest.c. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include "simulation/sim.h"

/** A scenario, run with each of the seeds first_seed to first_seed + n_seeds - 1. */
struct scenario {
    const char *name;
    unsigned long first_seed;
    unsigned long n_seeds;
    int n_nodes;
    const struct sim_size *size; /**< NULL: the small fleet defined in run_scenario */
    struct sim_faults faults;
    bool has_standby; /**< whether the nodes run with a standby */
    /** Submits jobs and runs the simulation to its end (digest_workloads.h). */
    void (*run)(struct sim *sim, unsigned long seed);
};

/** All scenarios, in the order in which they are run. */
extern const struct scenario digest_scenarios[];
/** Number of scenarios in digest_scenarios. */
extern const size_t n_digest_scenarios;

/** Returns the scenario with this name, or NULL. */
const struct scenario *digest_find_scenario(const char *name);
