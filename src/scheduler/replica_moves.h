/** @file
 * Moving replicas off a machine that is draining or quarantined: one by one. The next is stopped
 * once all are running again, and only if another machine holds its image and has capacity.
 * (Stopped all together, by the capacity that a cycle had seen, the last ones found it taken, and
 * waited for a machine to boot.) */
#ifndef RP_SCHEDULER_REPLICA_MOVES_H
#define RP_SCHEDULER_REPLICA_MOVES_H

#include "scheduler/services.h"

/** Stops the next replica that is to move, if any. A machine whose replica can go nowhere isn't
 * drained any more. */
void rp_replica_moves_step(struct rp_services *services, struct timespec now);

#endif
