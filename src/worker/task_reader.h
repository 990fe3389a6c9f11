/** @file
 * Reads what a worker says of one task into the cluster state. Called by heartbeat_reader.c for the
 * tasks that a worker's message lists. */
#ifndef RP_WORKER_TASK_READER_H
#define RP_WORKER_TASK_READER_H

#include "worker/worker_context.h"

/** The machine's allocation that the status speaks of; NULL when the leader knows of none. */
struct rp_allocation *rp_task_reader_find(const struct rp_worker_context *context,
                                          const struct rp_machine *machine,
                                          const struct rp_task_status *status);
/** The job of the status; NULL when the leader doesn't know it, or it has no such task. */
struct rp_job *rp_task_reader_find_job(const struct rp_worker_context *context,
                                       const struct rp_task_status *status);
/** Reads the status of a task, and marks its allocation as listed. A task that no allocation stands
 * for gets one, or counts as an unknown task when its job isn't known. The caller must have set the
 * machine's `contact.seq` to the number of the message. */
void rp_task_reader_read(struct rp_worker_context *context, struct rp_machine *machine,
                         const struct rp_task_status *status);

#endif
