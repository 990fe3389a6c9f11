/** @file
 * The images that a machine probably has on its disk: those of tasks that it ran, and those in an
 * earlier leader's image index. Images are identified by the hashes of their names. The entries are
 * hints: a wrong entry costs a fetch of the image. */
#ifndef RP_CLUSTER_MACHINE_IMAGES_H
#define RP_CLUSTER_MACHINE_IMAGES_H

#include "cluster/cluster_state.h"

/** Records that the machine has the image, or will have fetched it, and that the image is used now.
 * The least recently used images are evicted if RP_IMAGES_MAX images are recorded already, or if
 * the total does not fit on the disk of the machine's type. */
void rp_machine_record_image(struct rp_cluster *cluster, struct rp_machine *machine, uint64_t hash,
                             double gb);
/** Whether the image is recorded for the machine. */
bool rp_machine_has_image(const struct rp_machine *machine, uint64_t hash);

#endif
