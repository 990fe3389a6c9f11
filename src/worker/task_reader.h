/** @file
 * Reads the status of a task, as its worker reports it, into the cluster state. Called by
 * heartbeat_reader.c for each task that a worker's message lists. */
#ifndef RP_WORKER_TASK_READER_H
#define RP_WORKER_TASK_READER_H

#include "worker/worker_context.h"

/** The machine's allocation that the status refers to; NULL when the leader has no such
 * allocation. */
struct rp_allocation *rp_task_reader_find_allocation(const struct rp_worker_context *context,
                                                     const struct rp_machine *machine,
                                                     const struct rp_task_status *status);
/** The job that the status refers to; NULL when the leader has no such job, or when the job has no
 * such task. */
struct rp_job *rp_task_reader_find_job(const struct rp_worker_context *context,
                                       const struct rp_task_status *status);
/** Reads the status of a task and marks its allocation as listed. A task without an allocation gets
 * a new allocation, or is added to the machine's unknown tasks when the leader does not have its
 * job. The caller must have set the machine's `contact.seq` to the number of the message. */
void rp_task_reader_read(struct rp_worker_context *context, struct rp_machine *machine,
                         const struct rp_task_status *status);

#endif
