/** @file
 * Context that the parts of src/jobs share: the services that they use, and the generation number
 * by which they distinguish responses to current requests from responses to earlier ones. Owned by
 * struct rp_jobs and borrowed by the parts. */
#ifndef RP_JOBS_CONTEXT_H
#define RP_JOBS_CONTEXT_H

#include "config/settings.h"
#include "election/election.h"
#include "upgrade/format_upgrade.h"

/** The services and the generation. All pointers are borrowed and outlive the context. */
struct rp_jobs_context {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_settings *settings;
    const struct rp_upgrade *upgrade;
    unsigned long generation; /* incremented whenever the table is cleared or a load fails */
};

/** Whether a request sent in `generation` belongs to the current contents of the job table. The
 * response to a request of an earlier generation must change nothing. */
static inline bool rp_jobs_context_is_current(const struct rp_jobs_context *context,
                                              unsigned long generation) {
    return generation == context->generation;
}

#endif
