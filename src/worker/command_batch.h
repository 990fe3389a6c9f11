/** @file
 * Chooses the commands that are sent to a machine in one message: with the answer to its heartbeat,
 * or directly. Workers execute commands in order, so commands that free capacity come before the
 * starts that need it. Adding a start or a stop changes the machine's allocations, so the message
 * must be sent afterwards. Called by workers.c, direct_commands.c and worker_fencing.c. */
#ifndef RP_WORKER_COMMAND_BATCH_H
#define RP_WORKER_COMMAND_BATCH_H

#include "model/command.h"
#include "worker/worker_context.h"

/** The commands of one message, in the order in which they are executed. */
struct rp_command_batch {
    struct rp_command *commands; /* owned by the batch, of fixed capacity */
    size_t n;
};

/** Makes the batch empty. The caller must free it with rp_command_batch_free. */
void rp_command_batch_init(struct rp_command_batch *batch);
/** Frees the batch's commands. */
void rp_command_batch_free(struct rp_command_batch *batch);

/** Adds stop commands for the tasks of unknown jobs, and forget commands for those that have
 * exited. */
void rp_command_batch_add_unknown_tasks(struct rp_command_batch *batch,
                                        const struct rp_machine *machine);
/** Adds all commands for the answer to a heartbeat: stops and forgets first, then, if the machine
 * has shown this leader's fencing token, starts that must be repeated, then planned starts. */
void rp_command_batch_add_for_answer(struct rp_command_batch *batch,
                                     struct rp_worker_context *context, struct rp_machine *machine);
/** Adds the commands that may be sent directly: stops without time to save, then the starts of
 * services' replicas and, after a failover, of some tasks of arrays. */
void rp_command_batch_add_direct(struct rp_command_batch *batch, struct rp_worker_context *context,
                                 struct rp_machine *machine);

#endif
