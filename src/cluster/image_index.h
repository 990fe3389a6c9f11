/** @file
 * The image index: which images the machines have on their disks. The other nodes copy the index
 * from the leader, so that the next leader has it, too; without the copy, a new leader would have
 * only the images of running tasks. Entries are hints: a wrong entry costs a fetch, and no safety
 * rule depends on entries.
 *
 * Owned by the node, which serves RP_PATH_IMAGES with rp_image_index_json. */
#ifndef RP_CLUSTER_IMAGE_INDEX_H
#define RP_CLUSTER_IMAGE_INDEX_H

#include <jansson.h>
#include "base/net.h"
#include "cluster/cluster.h"
#include "election/election.h"

/** The path at which a node serves its image index to the other nodes. */
#define RP_PATH_IMAGES "/peer/images"

/** A node's copy of the index, and the state of copying it. Pointers are borrowed. */
struct rp_image_index {
    struct rp_loop *loop;
    struct rp_net net;
    struct rp_election *election;
    struct rp_cluster *cluster;
    const struct rp_settings *settings;
    json_t *copied_images; /* the copy: machine -> [image's hash, GB, ...], least recently used
                              image first */
    struct rp_timer timer;
};

/** Initializes an empty index. All pointers are borrowed and must outlive the index. */
void rp_image_index_init(struct rp_image_index *index, struct rp_loop *loop, struct rp_net net,
                         struct rp_election *election, struct rp_cluster *cluster,
                         const struct rp_settings *settings);
/** Starts copying the index from the leader, every few seconds. */
void rp_image_index_start(struct rp_image_index *index);
/** Stops copying and frees the copy. */
void rp_image_index_close(struct rp_image_index *index);
/** Called when this node leads and its machines have been loaded: adds the images of this node's
 * copy to the machines, and requests the copies of the other nodes. */
void rp_image_index_restore(struct rp_image_index *index);
/** The index as JSON, for another node: the machines' images if this node leads, its copy
 * otherwise. The caller frees it. */
char *rp_image_index_json(const struct rp_image_index *index);

#endif
