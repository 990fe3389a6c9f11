/** @file
 * Probes, which check whether a machine whose heartbeats have stopped still responds. Called by
 * scheduler/silent_machines.c for machines on which replicas of services wait to be started
 * elsewhere. */
#ifndef RP_WORKER_PROBES_H
#define RP_WORKER_PROBES_H

#include "worker/worker_context.h"

/** Requests the machine's list of tasks, unless a probe is in flight or the machine's address is
 * not known. `contact.n_probes_failed` is incremented when no response arrives, and reset by a
 * response. */
void rp_probe_send(struct rp_worker_context *context, struct rp_machine *machine);

#endif
