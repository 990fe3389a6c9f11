/** @file
 * The images that a machine has on its disk, as far as is known: those of tasks that it ran, or
 * that an earlier leader told of. Images are known by the hashes of their names. Hints and no more:
 * a wrong one costs a fetch. */
#ifndef RP_CLUSTER_MACHINE_IMAGES_H
#define RP_CLUSTER_MACHINE_IMAGES_H

#include "cluster/cluster_state.h"

/** The machine has the image, or will have fetched it. Those used longest ago are forgotten beyond
 * RP_IMAGES_MAX, or where all together don't fit on the type's disk. */
void rp_machine_note_image(struct rp_cluster *cluster, struct rp_machine *machine, uint64_t hash,
                           double gb);
/** Whether the machine is known to have the image. */
bool rp_machine_has_image(const struct rp_machine *machine, uint64_t hash);

#endif
