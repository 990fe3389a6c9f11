/** @file
 * Hashes what the nodes of one simulated day send and what the key-value store holds at its end.
 *
 * Owns the hash of the current run and the wall clock of the simulated world: clock_gettime of the
 * whole program is replaced, since records carry such times. One run at a time: the observer of
 * the simulated world (sim_observer) and the clock have no context argument. Called by
 * behaviour_digest.c only. */
#pragma once

#include <stdbool.h>
#include "simulation/sim.h"

/** Length of a 128-bit hash in hexadecimal, with its end. */
#define DIGEST_HASH_TEXT 33

/** What is known of a run at its end. */
struct digest {
    unsigned long n_messages;
    char messages[DIGEST_HASH_TEXT]; /**< over all messages, in the order they were sent */
    char store[DIGEST_HASH_TEXT];    /**< over all records, in the order of their keys */
};

/** Begins a run: from now on each message is hashed and, if `dump`, printed. Called before the
 * world is made, whose nodes send as they start; the clock stands still until digest_set_world. */
void digest_begin(bool dump);
/** The world whose time the clock tells from now on. */
void digest_set_world(const struct sim *world);
/** Hashes a message that takes no way through the simulated network. */
void digest_add_message(const struct sim_message *message);
/** Ends the run: hashes the store (sorts world->keys) and returns what was found. The caller may
 * free the world afterwards. */
struct digest digest_end(struct sim *world);
