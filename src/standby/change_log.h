/** @file
 * The leader's log of changes, from which stream_server.c serves standbys. It owns a ring of the
 * latest RP_CHANGES_KEPT changes of the term and never waits for anybody: a standby that is further
 * behind gets a snapshot. Changes are numbered from 1 in each term, without gaps. */
#ifndef RP_STANDBY_CHANGE_LOG_H
#define RP_STANDBY_CHANGE_LOG_H

#include "standby/stream_message.h"

/** At 4,000 machines, which change a few dozen times a second, several minutes; 3 MB. */
#define RP_CHANGES_KEPT 16384

/** The log of one term; zeroed: of none. */
struct rp_change_log {
    uint64_t term;
    uint64_t index;         /* of the latest change; 0: none in this term */
    struct rp_change *ring; /* RP_CHANGES_KEPT; NULL until the first change of a process's terms */
};

/** Begins a term, without any change. */
void rp_change_log_begin(struct rp_change_log *log, uint64_t term);
/** Adds a change, which is copied; the oldest is forgotten where the ring is full. */
void rp_change_log_add(struct rp_change_log *log, const struct rp_change *change);
/** Puts the changes after `index`, at most RP_STREAM_CHANGES_MAX, into `out`; the caller must free
 * it by rp_stream_message_free. Returns false, and leaves `out` alone, when some of them aren't
 * kept any more, or `index` is of no change yet: the standby needs a snapshot. */
bool rp_change_log_since(const struct rp_change_log *log, uint64_t index,
                         struct rp_stream_message *out);
/** How many of the kept changes tell that a machine is terminated. A snapshot carries them as well:
 * the machines' records may not be written yet. */
size_t rp_change_log_n_terminated(const struct rp_change_log *log);
/** Copies these changes into `out`, which must have space for them all. */
void rp_change_log_terminated(const struct rp_change_log *log, struct rp_change *out);
/** Frees the ring; the log is of no term afterwards. */
void rp_change_log_free(struct rp_change_log *log);

#endif
