/** @file
 * Reads workers' messages into the cluster state: heartbeats, and the responses to direct commands
 * and probes, which carry the same list of tasks but prove less (docs/safety.md, "Where a task
 * may run"). Called by workers.c, direct_commands.c, probes.c and worker_fencing.c with decoded
 * messages. */
#ifndef RP_WORKER_HEARTBEAT_READER_H
#define RP_WORKER_HEARTBEAT_READER_H

#include "worker/worker_context.h"

/** Reads a heartbeat that is newer than the machine's last: what it lists is on the machine, what
 * it doesn't list isn't. The machine becomes RP_MACHINE_UP once a heartbeat shows this leader's
 * token. The caller must have refused older ones, and heartbeats of an incarnation that was lost.
 */
void rp_heartbeat_read(struct rp_worker_context *context, struct rp_machine *machine,
                       const struct rp_heartbeat *heartbeat);
/** Reads the list of tasks in the response to a direct command or probe, unless something newer is
 * known. Nothing is concluded from what it doesn't list, and no lease is renewed. */
void rp_heartbeat_read_response(struct rp_worker_context *context, struct rp_machine *machine,
                                const struct rp_heartbeat *heartbeat);
/** Reads only the results of a heartbeat from an incarnation that may be over: held back on its way
 * by a partition, it lists tasks that run elsewhere by now, but what is done stays done. */
void rp_heartbeat_read_results(struct rp_worker_context *context, const struct rp_machine *machine,
                               const struct rp_heartbeat *heartbeat);
/** Allocations on the machine whose tasks haven't exited: fewer after a message means that it freed
 * capacity. */
size_t rp_heartbeat_n_busy(const struct rp_machine *machine);

#endif
