/** @file
 * Machines whose heartbeats no leader answers until a durable record no longer names them.
 *
 * A new leader has no knowledge of when an earlier one last answered a machine, and reckons with a
 * whole lease of the worker. While leaders follow one another faster than that, a silent machine
 * would never be reconciled, and jobs that may have tasks on it would neither start nor have a
 * known state. A leader therefore records which machines have not reported to it, and until when
 * their leases may last; the next leader continues from there.
 *
 * Invariant: from the submission of records that name a machine until later ones without it are
 * known to be written, the machine gets no answer and no start command (worker/workers.c,
 * rp_machine_is_usable). All records are written in one transaction, which carries the revision of
 * the first one: no write is carried out after a later one. They are written only once RP_FORMAT is
 * active, since a leader of an earlier version would not comply. */
#ifndef RP_CLUSTER_WITHHELD_ANSWERS_H
#define RP_CLUSTER_WITHHELD_ANSWERS_H

#include "cluster/fleet_context.h"

/** The records, as this leader has read or written them. */
struct rp_withheld_answers {
    struct rp_fleet_context *context;
    const struct rp_upgrade *upgrade; /* set by the owner */
    uint64_t revision;                /* of the first record; RP_KV_ABSENT: there is none */
    bool is_revision_known;
    size_t n_records;  /* records that exist */
    json_t *loaded;    /* array of what was read in this term, until it is applied */
    bool is_in_flight; /* a read or a write */
    bool is_stale;     /* a record names a machine that does not exist */
    unsigned long n_written;
};

/** Initializes the module; `context` is borrowed. */
void rp_withheld_answers_init(struct rp_withheld_answers *withheld,
                              struct rp_fleet_context *context);
/** Called when a term ends. */
void rp_withheld_answers_clear(struct rp_withheld_answers *withheld);
/** Called when the records of a new term are read: the term begins without records. */
void rp_withheld_answers_on_load_start(struct rp_withheld_answers *withheld);
/** Called with each record. */
void rp_withheld_answers_on_record(struct rp_withheld_answers *withheld,
                                   const struct rp_kv_item *item);
/** Called when all machines have been loaded: applies the records to them. */
void rp_withheld_answers_on_loaded(struct rp_withheld_answers *withheld);
/** Withholds the answers to machines that have not reported in time, and writes the records if
 * they have to change. */
void rp_withheld_answers_step(struct rp_withheld_answers *withheld);
/** Called when a machine whose answers are withheld reports: the records are written without it. */
void rp_withheld_answers_release(struct rp_withheld_answers *withheld, struct rp_machine *machine);

#endif
