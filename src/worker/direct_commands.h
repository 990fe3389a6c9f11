/** @file
 * Direct commands: starts and stops that cannot wait for the machine's next heartbeat. The rules
 * that keep a task from running twice are in docs/safety.md, "Direct commands". Called by the
 * scheduler's modules for services and, after a scheduling cycle, by the controller. */
#ifndef RP_WORKER_DIRECT_COMMANDS_H
#define RP_WORKER_DIRECT_COMMANDS_H

#include "worker/worker_context.h"

/** Sends the machine at once the commands that services need: stops without time to save, then the
 * starts of replicas. Commands that cannot be sent now are sent with the answer to the machine's
 * next heartbeat. */
void rp_direct_commands_send(struct rp_worker_context *context, struct rp_machine *machine);
/** Sends the planned starts of machines that have responded to fencing but sent no heartbeat since.
 * Their workers may still wait for the previous leader's answer, for up to four seconds, and send a
 * heartbeat only afterwards. */
void rp_direct_commands_send_fenced(struct rp_worker_context *context);
/** Whether the number of exited attempts that the worker must keep in its list has reached the
 * limit, so that the machine gets no more direct starts. */
bool rp_direct_commands_is_attempt_limit_reached(const struct rp_machine *machine);

#endif
