/** @file
 * Fencing of workers after a failover: a machine that may hold tasks of an earlier leader receives
 * the new leader's fencing token in a direct command, without waiting for the machine's heartbeat.
 * From then on its worker accepts no command of an earlier leader (docs/safety.md, "Failovers").
 * Called by standby/machine_fencing.c. */
#ifndef RP_WORKER_WORKER_FENCING_H
#define RP_WORKER_WORKER_FENCING_H

#include "worker/worker_context.h"

/** Called once for each fencing. `fenced` is true when the machine's list of tasks is now known
 * from the machine's response. */
typedef void (*rp_worker_fenced_fn)(void *arg, bool fenced);

/** Sends this leader's fencing token to the machine at `addr`. `incarnation` is the worker's last
 * incarnation that the caller has received; a response that shows another incarnation corrects it.
 * `on_fenced` is called later, never before this function has returned. */
void rp_worker_fence(struct rp_worker_context *context, struct rp_machine *machine,
                     const char *addr, uint64_t incarnation, rp_worker_fenced_fn on_fenced,
                     void *arg);

#endif
