/** @file
 * Probes: whether a machine whose heartbeats have stopped is still there. Called by
 * scheduler/services.c for machines on which replicas of services wait to be started elsewhere. */
#ifndef RP_WORKER_PROBES_H
#define RP_WORKER_PROBES_H

#include "worker/worker_context.h"

/** Asks the machine for its list of tasks, unless a probe is under way or its address isn't known.
 * Without a response `contact.n_probes_failed` grows; a response resets it. */
void rp_probe_send(struct rp_worker_context *context, struct rp_machine *machine);

#endif
