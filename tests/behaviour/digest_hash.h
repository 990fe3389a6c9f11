/** @file
 * Hashes the messages that the nodes of one simulated run send and the key-value store's final
 * records.
 *
 * Owns the hash of the current run and the wall clock of the simulation: clock_gettime of the whole
 * program is replaced, since records contain wall-clock times. Only one run at a time is possible:
 * the simulation's observer (sim_observer) and the clock have no context argument. Called by
 * behaviour_digest.c only. */
#pragma once

#include <stdbool.h>
#include "simulation/sim.h"

/** Size in bytes of a 128-bit hash in hexadecimal, with its NUL. */
#define DIGEST_HASH_TEXT 33

/** The result of a run. */
struct digest {
    unsigned long n_messages;
    char messages[DIGEST_HASH_TEXT]; /**< hash of all messages, in the order they were sent */
    char store[DIGEST_HASH_TEXT];    /**< hash of all records, in the order of their keys */
};

/** Begins a run: from now on each message is hashed and, if `dump`, printed. It must be called
 * before the simulation is created, since nodes send messages when they start. The clock does not
 * advance until digest_set_simulation. */
void digest_begin(bool dump);
/** Sets the simulation whose virtual time determines the clock from now on. */
void digest_set_simulation(const struct sim *sim);
/** Hashes a message. The simulated network calls it for each message; others are passed directly.
 */
void digest_add_message(const struct sim_message *message);
/** Ends the run: hashes the store (sorts sim->keys) and returns the result. The caller may free the
 * simulation afterwards. */
struct digest digest_end(struct sim *sim);
