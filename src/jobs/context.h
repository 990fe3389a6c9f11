/** @file
 * What all parts of the job directory share: the services they use, and the generation by which
 * they tell answers of today from those of an earlier leadership. Owned by struct rp_jobs; the
 * parts only borrow it. */
#ifndef RP_JOBS_CONTEXT_H
#define RP_JOBS_CONTEXT_H

#include "config/settings.h"
#include "election/election.h"
#include "upgrade/format_upgrade.h"

/** The services that the parts use. All pointers are borrowed and outlive the context. */
struct rp_jobs_context {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_settings *settings;
    const struct rp_upgrade *upgrade;
    unsigned long generation; /* grows whenever the table is emptied or a load fails */
};

/** Whether a request sent in `generation` still belongs to the table as it is now. The answer to
 * one that doesn't must change nothing. */
static inline bool rp_jobs_context_is_current(const struct rp_jobs_context *context,
                                              unsigned long generation) {
    return generation == context->generation;
}

#endif
