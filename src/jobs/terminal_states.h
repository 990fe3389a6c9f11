/** @file
 * The final states of jobs, as this node has read or written them in the state service. A job that
 * is done or cancelled stays so, and its record is never written again: what is kept here is as
 * good as a new read, costs no request, and is known during an outage as well. */
#ifndef RP_JOBS_TERMINAL_STATES_H
#define RP_JOBS_TERMINAL_STATES_H

#include <stdbool.h>
#include "model/job_status.h"

#define RP_TERMINAL_STATES_MAX 4096 /* a later job takes the position of one with the same hash */

struct rp_terminal_state {
    char job[RP_ID_MAX]; /* "" where nothing is kept */
    enum rp_job_phase phase;
};

struct rp_terminal_states {
    struct rp_terminal_state kept[RP_TERMINAL_STATES_MAX];
};

/** `word` must be RP_JOB_DONE or RP_JOB_CANCELLED, and durable. */
void rp_terminal_states_note(struct rp_terminal_states *terminal_states, const char *job,
                             enum rp_job_phase phase);
/** Returns false when this node doesn't know of an end of the job. */
bool rp_terminal_states_find(const struct rp_terminal_states *terminal_states, const char *job,
                             enum rp_job_phase *phase);

#endif
