/** @file
 * Stops the tasks of a spot machine when the cloud announces that it will reclaim the machine.
 * Called by heartbeat_reader.c. */
#ifndef RP_WORKER_SPOT_NOTICE_H
#define RP_WORKER_SPOT_NOTICE_H

#include "worker/worker_context.h"

/** Handles the report of the machine's worker that the cloud reclaims the machine in `notice_s`
 * seconds. The machine's tasks are stopped, with time to save a checkpoint if they can save one;
 * gangs stop on all their machines. Called for each heartbeat that carries the notice. */
void rp_spot_notice_apply(struct rp_worker_context *context, struct rp_machine *machine,
                          double notice_s);

#endif
