/** @file
 * Which images the machines hold, as the leader knows it, kept by the other nodes for the time
 * after it: a new leader otherwise knows only of the images of tasks that run. Hints and no more: a
 * wrong one costs a fetch, and no rule depends on any. */
#ifndef RP_CLUSTER_IMAGE_INDEX_H
#define RP_CLUSTER_IMAGE_INDEX_H

#include <jansson.h>
#include "base/net.h"
#include "cluster/cluster.h"
#include "election/election.h"

struct rp_image_index {
    struct rp_loop *loop;
    struct rp_net net;
    struct rp_election *election;
    struct rp_cluster *cluster;
    const struct rp_settings *settings;
    json_t *known; /* machine -> [image's hash, GB, ...], the one used longest ago first */
    struct rp_timer timer;
};

void rp_image_index_init(struct rp_image_index *index, struct rp_loop *loop, struct rp_net net,
                         struct rp_election *election, struct rp_cluster *cluster,
                         const struct rp_settings *settings);
void rp_image_index_start(struct rp_image_index *index);
void rp_image_index_close(struct rp_image_index *index);
/** This node leads now, and its machines are known: what it and the others remember is taken over.
 */
void rp_image_index_lead(struct rp_image_index *index);
/** What this node knows, for another one. Caller frees. */
char *rp_image_index_json(const struct rp_image_index *index);

#define RP_PATH_IMAGES "/peer/images"

#endif
