/** @file
 * Empties a spot machine that the cloud has announced to take back. Called by heartbeat_reader.c.
 */
#ifndef RP_WORKER_SPOT_NOTICE_H
#define RP_WORKER_SPOT_NOTICE_H

#include "worker/worker_context.h"

/** The machine's worker reports that the cloud takes the machine back in `notice_s` seconds. Its
 * tasks are stopped, saving where they can; gangs stop on all their machines. Called for each
 * heartbeat that carries the notice. */
void rp_spot_notice_apply(struct rp_worker_context *context, struct rp_machine *machine,
                          double notice_s);

#endif
