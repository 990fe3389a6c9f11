/** @file
 * Moves replicas off machines that are draining or quarantined, one by one. The next replica is
 * stopped only once all replicas are running again, and only if another machine holds its image and
 * has capacity. If all replicas of a machine were stopped together, based on the capacity that is
 * free in one cycle, the last ones would find no free capacity and wait for a machine to boot. */
#ifndef RP_SCHEDULER_REPLICA_MOVES_H
#define RP_SCHEDULER_REPLICA_MOVES_H

#include "scheduler/services.h"

/** Stops the next replica that is to be moved, if there is one. A draining machine whose replica
 * cannot be moved anywhere is no longer drained. */
void rp_replica_moves_step(struct rp_services *services, struct timespec now);

#endif
