#include "jobs/terminal_states.h"

#include <string.h>
#include "base/string_copy.h"

static size_t index_of(const char *job_id) {
    return (size_t)(rp_hash_string(job_id) % RP_TERMINAL_STATES_MAX);
}

void rp_terminal_states_record(struct rp_terminal_states *terminal_states, const char *job_id,
                               enum rp_job_phase phase) {
    struct rp_terminal_state *entry = &terminal_states->entries[index_of(job_id)];
    rp_string_copy(entry->job_id, sizeof entry->job_id, job_id);
    entry->phase = phase;
}

bool rp_terminal_states_find(const struct rp_terminal_states *terminal_states, const char *job_id,
                             enum rp_job_phase *phase) {
    const struct rp_terminal_state *entry = &terminal_states->entries[index_of(job_id)];
    if (strcmp(entry->job_id, job_id) != 0)
        return false;
    *phase = entry->phase;
    return true;
}
