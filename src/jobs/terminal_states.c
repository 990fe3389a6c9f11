#include "jobs/terminal_states.h"

#include <stdio.h>
#include <string.h>

static size_t index_of(const char *job) {
    return (size_t)(rp_hash_string(job) % RP_TERMINAL_STATES_MAX);
}

void rp_terminal_states_note(struct rp_terminal_states *terminal_states, const char *job,
                             enum rp_job_phase phase) {
    struct rp_terminal_state *state = &terminal_states->kept[index_of(job)];
    snprintf(state->job, sizeof state->job, "%s", job);
    state->phase = phase;
}

bool rp_terminal_states_find(const struct rp_terminal_states *terminal_states, const char *job,
                             enum rp_job_phase *phase) {
    const struct rp_terminal_state *state = &terminal_states->kept[index_of(job)];
    if (strcmp(state->job, job) != 0)
        return false;
    *phase = state->phase;
    return true;
}
