/** @file
 * Checks whether a well-formed submission could ever run on this cluster. A job that never could is
 * refused at once, so that it does not wait forever. The users' API calls this before it writes a
 * job; jobs that were accepted earlier are not checked again. */
#ifndef RP_API_SUBMISSION_CHECK_H
#define RP_API_SUBMISSION_CHECK_H

#include "api/refusal.h"
#include "cloud/catalog_source.h"
#include "cluster/cluster.h"

/** Returns the first reason to refuse the submission, or RP_REFUSAL_NONE. */
enum rp_refusal_reason rp_submission_check(const struct rp_settings *settings,
                                           const struct rp_catalog_source *catalog_source,
                                           const struct rp_cluster *cluster,
                                           const struct rp_job_spec *spec);

#endif
