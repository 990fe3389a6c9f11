/** @file
 * Handles machines that become silent while they hold replicas. When a machine hangs or has died,
 * its replicas may not be started elsewhere before the machine's lease has expired, unless the
 * machine is certainly terminated: the cloud's response to the machine's release confirms that
 * within a moment. Therefore a machine that neither sends heartbeats nor responds to probes is
 * scaled in. If many machines are silent, none is scaled in: the cause is then a network partition,
 * during which the machines continue to run. */
#ifndef RP_SCHEDULER_SILENT_MACHINES_H
#define RP_SCHEDULER_SILENT_MACHINES_H

#include "scheduler/services.h"

/** Whether the machine's heartbeats arrive when they are due. */
bool rp_silent_machines_is_reporting(const struct rp_services *services,
                                     const struct rp_machine *machine, struct timespec now);
/** Probes the silent machines that hold replicas, and scales in those that respond to no probe. */
void rp_silent_machines_step(struct rp_services *services, struct timespec now);

#endif
