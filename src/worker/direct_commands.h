/** @file
 * Direct commands: starts and stops that can't wait for the machine's next heartbeat. The rules
 * that keep a task from running twice are in docs/safety.md, "Direct commands". Called by
 * scheduler/services.c and, after a scheduling cycle, by the controller. */
#ifndef RP_WORKER_DIRECT_COMMANDS_H
#define RP_WORKER_DIRECT_COMMANDS_H

#include "worker/worker_context.h"

/** Sends the machine at once what services need: stops that give no time to save, then the starts
 * of replicas. What can't be sent now goes with the answer to the machine's next heartbeat. */
void rp_direct_commands_send(struct rp_worker_context *context, struct rp_machine *machine);
/** Sends what has been planned for machines that are known by fencing alone: their workers may
 * still wait for the leader before, for up to four seconds, and send a heartbeat only then. */
void rp_direct_commands_send_fenced(struct rp_worker_context *context);
/** Whether the worker has to keep so many exited attempts known that the machine gets no more
 * direct starts. */
bool rp_direct_commands_is_full(const struct rp_machine *machine);

#endif
