/* Which images the machines hold, as the leader knows it, kept by the other nodes for the time
 * after it: a new leader otherwise knows only of the images of tasks that run. Hints and no more: a
 * wrong one costs a fetch, and no rule depends on any. */
#ifndef RP_HINTS_H
#define RP_HINTS_H

#include <jansson.h>
#include "election.h"
#include "net.h"
#include "cluster.h"

struct rp_hints {
    struct rp_loop *loop;
    struct rp_net net;
    struct rp_election *election;
    struct rp_cluster *cluster;
    const struct rp_settings *settings;
    json_t *known; /* machine -> [image's hash, GB, ...], the one used longest ago first */
    struct rp_timer timer;
};

void rp_hints_init(struct rp_hints *h, struct rp_loop *loop, struct rp_net net,
                   struct rp_election *election, struct rp_cluster *cluster,
                   const struct rp_settings *settings);
void rp_hints_start(struct rp_hints *h);
void rp_hints_close(struct rp_hints *h);
/* This node leads now, and its machines are known: what it and the others remember is taken over.
 */
void rp_hints_lead(struct rp_hints *h);
/* What this node knows, for another one. Caller frees. */
char *rp_hints_json(const struct rp_hints *h);

#define RP_PATH_HINTS "/peer/images"

#endif
