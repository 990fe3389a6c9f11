#include "jobs/terminal_states.h"

#include <stdio.h>
#include <string.h>

static size_t index_of(const char *job) {
    return (size_t)(rp_text_hash(job) % RP_FINAL_STATES_KEPT);
}

void rp_final_states_note(struct rp_final_states *states, const char *job, enum rp_job_word word) {
    struct rp_final_state *state = &states->kept[index_of(job)];
    snprintf(state->job, sizeof state->job, "%s", job);
    state->word = word;
}

bool rp_final_states_find(const struct rp_final_states *states, const char *job,
                          enum rp_job_word *word) {
    const struct rp_final_state *state = &states->kept[index_of(job)];
    if (strcmp(state->job, job) != 0)
        return false;
    *word = state->word;
    return true;
}
