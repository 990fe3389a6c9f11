/** @file
 * Reads workers' messages into the cluster state: heartbeats, and the responses to direct commands
 * and probes, which carry the same list of tasks as heartbeats but prove less (docs/safety.md,
 * "Where a task may run"). Called by workers.c, direct_commands.c, probes.c and worker_fencing.c
 * with decoded messages. */
#ifndef RP_WORKER_HEARTBEAT_READER_H
#define RP_WORKER_HEARTBEAT_READER_H

#include "worker/worker_context.h"

/** Reads a heartbeat that is newer than the machine's last heartbeat: the tasks that the heartbeat
 * lists are on the machine, others are not, with the exceptions of may_be_on_machine
 * (heartbeat_reader.c). The machine becomes RP_MACHINE_UP once a heartbeat shows this leader's
 * fencing token. The caller must have refused older heartbeats and heartbeats of an incarnation
 * that was lost. */
void rp_heartbeat_read(struct rp_worker_context *context, struct rp_machine *machine,
                       const struct rp_heartbeat *heartbeat);
/** Reads the list of tasks in the response to a direct command or probe, unless a newer message has
 * been read. Nothing is concluded from tasks that it does not list, and no lease is renewed. The
 * tasks are described as of `described_at`, or as of a newer message. */
void rp_heartbeat_read_response(struct rp_worker_context *context, struct rp_machine *machine,
                                const struct rp_heartbeat *heartbeat, struct timespec described_at);
/** Reads only the results of a heartbeat from an incarnation that may have ended. A heartbeat that
 * a partition delayed may list tasks that now run on other machines, but a task that was done
 * remains done. */
void rp_heartbeat_read_results(struct rp_worker_context *context, const struct rp_machine *machine,
                               const struct rp_heartbeat *heartbeat);
/** The number of allocations on the machine whose tasks have not exited. A lower number after a
 * message means that the message freed capacity. */
size_t rp_heartbeat_n_live_allocations(const struct rp_machine *machine);

#endif
