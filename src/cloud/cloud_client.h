/** @file
 * The client of the cloud's API: sends requests within the rate limit, from two queues.
 *
 * Each request calls back exactly once, with the response that the network delivers. The client
 * does not retry: whether and when that is safe depends on the request and is decided by its
 * caller. After a response of status 429 no request is sent for a short time. Used by the cluster's
 * provisioning, release and reconciliation, and by catalog_source. */
#ifndef RP_CLOUD_CLOUD_CLIENT_H
#define RP_CLOUD_CLOUD_CLIENT_H

#include "base/loop.h"
#include "base/net.h"
#include "base/token_bucket.h"

/** Status of the cloud's responses during an outage (PROTOCOL); a rental gets it for lack of
 * capacity, too. */
#define RP_CLOUD_STATUS_OUTAGE 503

/** The queue in which a request waits. Routine requests are sent only while no urgent one waits. */
enum rp_cloud_urgency {
    RP_CLOUD_URGENT,   /**< scaling out and in, the first catalog */
    RP_CLOUD_ROUTINE,  /**< lists of machines, the prices in the catalog */
    RP_CLOUD_URGENCIES /**< the number of queues */
};

/** A request that waits to be sent, or whose response is awaited. */
struct rp_cloud_call;

/** The waiting requests of one urgency, oldest first. */
struct rp_cloud_queue {
    struct rp_cloud_call *first, *last;
};

/** A node's client of the cloud. */
struct rp_cloud_client {
    struct rp_loop *loop;
    struct rp_net net;
    const char *addr;
    struct rp_token_bucket rate_limiter;
    struct timespec backoff_until; /* until when no request is sent; set by a response with 429 */
    struct rp_cloud_queue queues[RP_CLOUD_URGENCIES];
    struct rp_timer queue_timer; /* set while requests wait */
};

/** Initializes the client. `addr` is borrowed; `rps` is the cloud's rate limit for all nodes
 * together, in requests a second. */
void rp_cloud_client_init(struct rp_cloud_client *client, struct rp_loop *loop, struct rp_net net,
                          const char *addr, double rps);
/** Drops the waiting requests without calling back. The caller must ensure that no response arrives
 * afterwards. */
void rp_cloud_client_close(struct rp_cloud_client *client);
/** Queues a request, and sends it when the rate limit permits. Takes ownership of `body`, which may
 * be NULL. `fn` is never called before this function has returned. */
void rp_cloud_call(struct rp_cloud_client *client, enum rp_cloud_urgency urgency,
                   const char *method, const char *target, char *body, rp_response_fn fn,
                   void *arg);

#endif
