/** @file
 * The client of the cloud: requests within its rate, in two queues.
 *
 * Each request calls back exactly once, with the answer as the network gave it. Nothing is repeated
 * here: whether that is safe, and when, only the caller knows. After a 429 all requests pause for a
 * moment. Used by the cluster's provisioning, release and reconciliation, and by catalog_source. */
#ifndef RP_CLOUD_CLOUD_CLIENT_H
#define RP_CLOUD_CLOUD_CLIENT_H

#include "base/loop.h"
#include "base/net.h"
#include "base/token_bucket.h"

/** Which queue a request waits in; the routine one goes while nothing urgent waits. */
enum rp_cloud_urgency {
    RP_CLOUD_URGENT,   /**< scaling out and in, the first catalog */
    RP_CLOUD_ROUTINE,  /**< lists of machines, prices */
    RP_CLOUD_URGENCIES /**< how many there are */
};

/** A request that waits, or whose answer is awaited. */
struct rp_cloud_call;

/** Requests of one urgency that wait. */
struct rp_cloud_queue {
    struct rp_cloud_call *first, *last;
};

/** A node's client. */
struct rp_cloud_client {
    struct rp_loop *loop;
    struct rp_net net;
    const char *addr;
    struct rp_token_bucket requests;
    struct timespec backoff_until; /* after a 429 */
    struct rp_cloud_queue queues[RP_CLOUD_URGENCIES];
    struct rp_timer queue_timer; /* runs while requests wait */
};

/** `addr` is borrowed; `rps` is the cloud's limit for all nodes, in requests a second. */
void rp_cloud_client_init(struct rp_cloud_client *client, struct rp_loop *loop, struct rp_net net,
                          const char *addr, double rps);
/** Drops what waits, without calling back. The caller must see to it that no answer arrives any
 * more. */
void rp_cloud_client_close(struct rp_cloud_client *client);
/** Makes a request; takes `body` over, which may be NULL. `fn` is never called before this has
 * returned. */
void rp_cloud_call(struct rp_cloud_client *client, enum rp_cloud_urgency urgency,
                   const char *method, const char *target, char *body, rp_answer_fn fn, void *arg);

#endif
