/** @file
 * Which tasks are preempted for a job, and at what cost. Only array tasks of a lower priority are
 * preempted. This module frees machines only for gangs of one task with a high or critical
 * priority: capacity freed for a larger gang would be idle until the last of its machines is free,
 * so gang_reservation.h frees and reserves all of them together. The machine is reserved for the
 * job until the job starts there. Work of other teams beyond their guaranteed quotas is preempted
 * by quota.h, and work is preempted for a service's replica by replica_preemption.h. Called by the
 * scheduling cycle after the plan is made; the cycle's input is only read. */
#ifndef RP_SCHEDULER_PREEMPTION_H
#define RP_SCHEDULER_PREEMPTION_H

#include "scheduler/cycle_input.h"

/** Nothing is preempted for a gang if capacity for it becomes free within this many seconds anyway.
 */
#define RP_FREE_SOON_S 8

/** Cost of freeing the capacity for one task of the job on the machine, in seconds: the work that
 * is lost and has to wait if lower-priority tasks are stopped for it, plus 1. Negative if stopping
 * them does not free enough. */
double rp_preemption_cost_s(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                            const struct rp_job *job, struct timespec now);
/** Stops as many lower-priority tasks on the machine as one task of the job needs, and reserves the
 * machine for the job. */
void rp_preemption_free_machine(struct rp_scheduler *scheduler, struct rp_machine *machine,
                                const struct rp_job *job);
/** Seconds that a task is given to save its progress when it is stopped; 0 if the task never saves.
 */
double rp_preemption_grace_s(const struct rp_job_spec *spec);
/** Seconds of run time that are lost if the task is stopped now. */
double rp_preemption_lost_s(const struct rp_allocation *allocation, struct timespec now);

/** Prefers a machine that holds the image, for a gang of one task with a high or critical priority
 * that the plan starts where the image is missing: if another machine holds the image and only has
 * to be freed of lower-priority work, that machine is freed and reserved, and the `count` of the
 * gang's placement is set to 0. Saving that work takes less time than the fetch, during which a
 * whole machine would be idle. */
void rp_preemption_prefer_image_holders(struct rp_scheduler *scheduler,
                                        const struct rp_cycle_input *input, struct rp_plan *plan,
                                        struct timespec now);
/** Frees a machine for each gang of one task with a high or critical priority that has no
 * reservation and that the plan starts neither now nor within RP_FREE_SOON_S. */
void rp_preemption_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                       const struct rp_plan *plan, struct timespec now);

#endif
