/** @file
 * A cache of the terminal states of jobs that this node has read from the key-value store or
 * written to it. A job that is done or cancelled remains in that state, and its record is never
 * written again: a cached state equals a new read, costs no request, and is available during an
 * outage of the store. Used by the users' API. */
#ifndef RP_JOBS_TERMINAL_STATES_H
#define RP_JOBS_TERMINAL_STATES_H

#include <stdbool.h>
#include "model/job_status.h"

/** Entries of the cache; a job replaces an earlier one whose id has the same hash. */
#define RP_TERMINAL_STATES_MAX 4096

/** An entry of the cache. */
struct rp_terminal_state {
    char job_id[RP_ID_MAX]; /* "" when the entry is unused */
    enum rp_job_phase phase;
};

/** The cache; all zeros when empty. */
struct rp_terminal_states {
    struct rp_terminal_state entries[RP_TERMINAL_STATES_MAX];
};

/** Records how a job ended. `phase` must be RP_JOB_DONE or RP_JOB_CANCELLED, and durable. */
void rp_terminal_states_record(struct rp_terminal_states *terminal_states, const char *job_id,
                               enum rp_job_phase phase);
/** Finds how a job ended. Returns false, and leaves `phase` unchanged, when the cache has no
 * terminal state of the job. */
bool rp_terminal_states_find(const struct rp_terminal_states *terminal_states, const char *job_id,
                             enum rp_job_phase *phase);

#endif
