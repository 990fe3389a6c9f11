#include "standby/change_log.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

void rp_change_log_begin(struct rp_change_log *log, uint64_t term) {
    log->term = term;
    log->index = 0;
}

void rp_change_log_add(struct rp_change_log *log, const struct rp_change *change) {
    if (!log->ring)
        log->ring = rp_alloc(RP_CHANGES_KEPT, sizeof *log->ring);
    log->index++;
    log->ring[log->index % RP_CHANGES_KEPT] = *change;
}

bool rp_change_log_since(const struct rp_change_log *log, uint64_t index,
                         struct rp_stream_message *out) {
    if (index > log->index || log->index - index >= RP_CHANGES_KEPT)
        return false;
    size_t n = (size_t)(log->index - index);
    n = n < RP_STREAM_CHANGES_MAX ? n : RP_STREAM_CHANGES_MAX;
    out->changes = rp_alloc(n + 1, sizeof *out->changes);
    for (size_t i = 0; i < n; i++)
        out->changes[i] = log->ring[(index + 1 + i) % RP_CHANGES_KEPT];
    out->term = log->term;
    out->index = index + n;
    out->n_changes = n;
    return true;
}

/* The index of the oldest change in the ring. */
static uint64_t oldest_index(const struct rp_change_log *log) {
    return log->index >= RP_CHANGES_KEPT ? log->index - RP_CHANGES_KEPT + 1 : 1;
}

static bool is_termination(const struct rp_change_log *log, uint64_t index) {
    return log->ring[index % RP_CHANGES_KEPT].kind == RP_CHANGE_MACHINE_TERMINATED;
}

size_t rp_change_log_n_terminated(const struct rp_change_log *log) {
    size_t n = 0;
    for (uint64_t i = oldest_index(log); i <= log->index; i++)
        if (is_termination(log, i))
            n++;
    return n;
}

void rp_change_log_copy_terminated(const struct rp_change_log *log, struct rp_change *out) {
    for (uint64_t i = oldest_index(log); i <= log->index; i++)
        if (is_termination(log, i))
            *out++ = log->ring[i % RP_CHANGES_KEPT];
}

void rp_change_log_free(struct rp_change_log *log) {
    free(log->ring);
    memset(log, 0, sizeof *log);
}
