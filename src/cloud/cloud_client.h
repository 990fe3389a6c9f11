/** @file
 * The cloud as the fleet sees it: requests within its rate, deletions and rentals before lists. */
#ifndef RP_CLOUD_CLOUD_CLIENT_H
#define RP_CLOUD_CLOUD_CLIENT_H

#include "base/loop.h"
#include "base/net.h"
#include "base/token_bucket.h"

enum rp_cloud_urgency { RP_CLOUD_URGENT, RP_CLOUD_ROUTINE, RP_CLOUD_URGENCIES };

struct rp_cloud_call;

struct rp_cloud_client {
    struct rp_loop *loop;
    struct rp_net net;
    const char *addr;
    struct rp_token_bucket requests;
    struct timespec quiet_until; /* after a 429 */
    struct rp_cloud_call *first[RP_CLOUD_URGENCIES], *last[RP_CLOUD_URGENCIES];
    struct rp_timer pump;
};

void rp_cloud_client_init(struct rp_cloud_client *client, struct rp_loop *loop, struct rp_net net,
                          const char *addr, double rps);
void rp_cloud_client_close(struct rp_cloud_client *client);
/** Takes `body` over. `fn` gets the answer as the network gave it. */
void rp_cloud_call(struct rp_cloud_client *client, enum rp_cloud_urgency urgency,
                   const char *method, const char *target, char *body, rp_answer_fn fn, void *arg);

#endif
