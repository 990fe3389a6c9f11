/** @file
 * The users' interface: submissions, queries and cancellations of jobs. Every node serves it
 * directly from the key-value store, whose reads and conditional writes are linearizable, so no
 * node can return an older state than another. The leader reads the jobs from the store, too.
 *
 * The module keeps no state but the requests in flight. The node routes requests to it
 * (controller/node_requests.h). */
#ifndef RP_API_USER_API_H
#define RP_API_USER_API_H

#include "base/metrics.h"
#include "base/net.h"
#include "cloud/catalog_source.h"
#include "cluster/cluster.h"
#include "jobs/job_lookup.h"
#include "jobs/terminal_states.h"

/** The parts of a node that the users' interface uses. The node owns all of them, and they outlive
 * this struct. */
struct rp_user_api {
    struct rp_loop *loop;
    const struct rp_settings *settings;
    struct rp_kv_client *store;
    struct rp_upgrade *upgrade;
    const struct rp_catalog_source *catalog_source;
    /* Used only to check what its catalog allows, and that no job of its table is unknown. */
    const struct rp_cluster *cluster;
    struct rp_job_lookup *job_lookup;
    struct rp_terminal_states *terminal_states;
    struct rp_metrics *metrics;
    /** Fills in the phase of an open job and the counts of its tasks. RP_JOB_UNDETERMINED: this
     * node has no proof whether a task is running, and the caller asks again a little later. */
    void (*read_phase)(void *arg, struct rp_job_status *status);
    void *arg;
    unsigned long n_accepted;        /* submissions that this node has written to the store */
    unsigned long n_undetermined;    /* requests refused because the job's phase was undetermined */
    unsigned long n_rule_violations; /* responses withheld because they would break a rule */
};

/** Submits the job in the request's body. Answers `req` exactly once, now or later: 201 once the
 * job is stored, 200 with its state if it existed before, 400 or 422 if it is refused, 503 if the
 * outcome is not certain yet and the same submission should be repeated. */
void rp_user_api_submit(struct rp_user_api *api, struct rp_request *req);
/** Reads the state of a job. Answers `req` exactly once, now or later: 200, 404 or 503. The caller
 * must have checked `id` by rp_job_codec_is_id. */
void rp_user_api_query(struct rp_user_api *api, struct rp_request *req, const char *id);
/** Cancels a job. Answers `req` exactly once, now or later: 200 with the terminal state, which is
 * durable by then, 404, or 503 if the outcome is not certain yet. The caller must have checked
 * `id`. */
void rp_user_api_cancel(struct rp_user_api *api, struct rp_request *req, const char *id);

#endif
