/** @file
 * Applies the exit of a task to its job and its machine: progress, run times, quarantine, and the
 * backoff before the next start. Called by task_reader.c, once for each exit. */
#ifndef RP_WORKER_TASK_EXIT_H
#define RP_WORKER_TASK_EXIT_H

#include "worker/worker_context.h"

/** Seconds of run time up to which the exit of a replica counts as a failure at its start. */
#define RP_EARLY_EXIT_S 30.0

/** Applies the exit of the allocation's task. The allocation must just have become
 * RP_ALLOCATION_EXITED, with its exit reason set. */
void rp_task_exit_apply(struct rp_worker_context *context, struct rp_machine *machine,
                        const struct rp_allocation *allocation);

#endif
