/** @file
 * The leader's log of changes, from which stream_server.c serves standbys. It owns a ring of the
 * latest RP_CHANGES_KEPT changes of the term and never waits for a standby: one that lacks older
 * changes receives a snapshot. Changes are numbered from 1 in each term, without gaps. */
#ifndef RP_STANDBY_CHANGE_LOG_H
#define RP_STANDBY_CHANGE_LOG_H

#include "standby/stream_message.h"

/** Number of changes in the ring: several minutes of changes at 4,000 machines, which together make
 * a few dozen changes a second; the ring takes 3 MB. */
#define RP_CHANGES_KEPT 16384

/** The log of one term. Zeroed memory is an empty log of no term. */
struct rp_change_log {
    uint64_t term;
    uint64_t index;         /* number of the latest change; 0: none in this term */
    struct rp_change *ring; /* RP_CHANGES_KEPT changes; NULL until this process's first change */
};

/** Begins a term: empties the log. */
void rp_change_log_begin(struct rp_change_log *log, uint64_t term);
/** Adds a copy of the change; it replaces the oldest one if the ring is full. */
void rp_change_log_add(struct rp_change_log *log, const struct rp_change *change);
/** Copies the changes after `index`, at most RP_STREAM_CHANGES_MAX, into `out`; the caller must
 * free it by rp_stream_message_free. Returns false without changing `out` if some of them are no
 * longer in the ring, or if `index` is above the latest change: the standby needs a snapshot. */
bool rp_change_log_since(const struct rp_change_log *log, uint64_t index,
                         struct rp_stream_message *out);
/** The number of changes in the ring that are terminations of machines. A snapshot includes them,
 * because the machines' stored records may not have been updated yet. */
size_t rp_change_log_n_terminated(const struct rp_change_log *log);
/** Copies the terminations in the ring into `out`, which must have space for
 * rp_change_log_n_terminated changes. */
void rp_change_log_copy_terminated(const struct rp_change_log *log, struct rp_change *out);
/** Frees the ring, and leaves an empty log of no term. */
void rp_change_log_free(struct rp_change_log *log);

#endif
