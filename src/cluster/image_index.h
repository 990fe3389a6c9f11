/** @file
 * Which images the machines hold, as the leader knows it, copied by the other nodes for the time
 * after it: a new leader otherwise knows only of the images of tasks that run. Hints and no more: a
 * wrong one costs a fetch, and no rule depends on any.
 *
 * Owned by the node, which serves RP_PATH_IMAGES with rp_image_index_json. */
#ifndef RP_CLUSTER_IMAGE_INDEX_H
#define RP_CLUSTER_IMAGE_INDEX_H

#include <jansson.h>
#include "base/net.h"
#include "cluster/cluster.h"
#include "election/election.h"

/** Where a node tells the others which images the machines hold. */
#define RP_PATH_IMAGES "/peer/images"

/** A node's copy, and its exchange with the others. Pointers to other parts are borrowed. */
struct rp_image_index {
    struct rp_loop *loop;
    struct rp_net net;
    struct rp_election *election;
    struct rp_cluster *cluster;
    const struct rp_settings *settings;
    json_t *known; /* machine -> [image's hash, GB, ...], the one used longest ago first */
    struct rp_timer timer;
};

/** All pointers are borrowed and must outlive the index. */
void rp_image_index_init(struct rp_image_index *index, struct rp_loop *loop, struct rp_net net,
                         struct rp_election *election, struct rp_cluster *cluster,
                         const struct rp_settings *settings);
/** Begins to copy from the leader, every few seconds. */
void rp_image_index_start(struct rp_image_index *index);
/** Ends the copying and frees the copy. */
void rp_image_index_close(struct rp_image_index *index);
/** This node leads now, and its machines are known: takes over what it remembers, and asks the
 * others for what they do. */
void rp_image_index_restore(struct rp_image_index *index);
/** What this node knows, for another one, as JSON. Caller frees. */
char *rp_image_index_json(const struct rp_image_index *index);

#endif
