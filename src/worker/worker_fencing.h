/** @file
 * Fencing workers after a failover: a machine that may hold tasks of an earlier leader is shown the
 * new leader's token by a direct command, without waiting for its heartbeat. From then on it
 * accepts nothing of an earlier leader (docs/safety.md, "Failovers"). Called by standby/standby.c.
 */
#ifndef RP_WORKER_WORKER_FENCING_H
#define RP_WORKER_WORKER_FENCING_H

#include "worker/worker_context.h"

/** Told once of each fencing: whether the machine is now known by its response. */
typedef void (*rp_worker_fenced_fn)(void *arg, bool fenced);

/** Shows the machine, at `addr`, this leader's token. `incarnation` is the worker's, as far as the
 * caller knows; a response that shows another one corrects it. `on_fenced` is called later, never
 * before this function has returned. */
void rp_worker_fence(struct rp_worker_context *context, struct rp_machine *machine,
                     const char *addr, uint64_t incarnation, rp_worker_fenced_fn on_fenced,
                     void *arg);

#endif
