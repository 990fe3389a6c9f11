/** @file
 * What is done about machines that fall silent with replicas on them. A machine that hangs or has
 * died takes its replicas with it, and nobody may start them elsewhere before its lease has
 * expired, unless it is certainly terminated: the cloud's answer to its deletion makes that certain
 * within a moment. So one that neither sends heartbeats nor answers probes is scaled in. Not where
 * many are silent: then it is the network, behind which they go on. */
#ifndef RP_SCHEDULER_SILENT_MACHINES_H
#define RP_SCHEDULER_SILENT_MACHINES_H

#include "scheduler/services.h"

/** Whether the machine's heartbeats arrive when they are due. */
bool rp_silent_machines_is_heard(const struct rp_services *services,
                                 const struct rp_machine *machine, struct timespec now);
/** Probes the silent machines that hold replicas, and scales in those that answer no probe. */
void rp_silent_machines_step(struct rp_services *services, struct timespec now);

#endif
