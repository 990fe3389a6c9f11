/** @file
 * The table of scenarios: a kind of day, the world it is played in, and its seeds.
 *
 * The names are printed and compared between commits, also with commits of before: they stay as
 * they are. Called by behaviour_digest.c. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include "simulation/sim.h"

/** One kind of day; run for the seeds first_seed to first_seed + n_seeds - 1. */
struct scenario {
    const char *name;
    unsigned long first_seed;
    unsigned long n_seeds;
    int nodes;
    const struct sim_size *size; /**< NULL: the small world of sim_new */
    struct sim_faults faults;
    bool standby; /**< a standby beside the leader */
    /** Submits work and lets the world go on for the whole day (digest_days.h). */
    void (*day)(struct sim *world, unsigned long seed);
};

/** The scenarios, in the order of their runs. */
extern const struct scenario digest_scenarios[];
/** How many there are. */
extern const size_t n_digest_scenarios;

/** The scenario with this name, or NULL. */
const struct scenario *digest_find_scenario(const char *name);
