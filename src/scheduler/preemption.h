/** @file
 * Which tasks are preempted for a job, and at what cost. Only array tasks of a lower priority are,
 * and only for gangs of one task of a high priority: what is stopped for a larger gang would stand
 * empty until the last of its machines is free (gang_reservation.h). The machine is reserved for
 * the job until it starts there. Other teams' work beyond its guarantee is stopped by quota.h, work
 * that makes way for a service's replica by replica_preemption.h. Called by the scheduling cycle
 * after the plan is made; the cycle's input is only read. */
#ifndef RP_SCHEDULER_PREEMPTION_H
#define RP_SCHEDULER_PREEMPTION_H

#include "scheduler/cycle_input.h"

/** Capacity that comes by itself within so many seconds is waited for. */
#define RP_FREE_SOON_S 8

/** Cost of one task's room on the machine: seconds of work lost and kept waiting if lower tasks are
 * stopped for it, and 1; negative when that wouldn't do. */
double rp_preemption_cost(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                          const struct rp_job *job, struct timespec now);
/** Stops as much lower work on the machine as one task of the job needs, and reserves the machine
 * for the job. */
void rp_preemption_free_machine(struct rp_scheduler *scheduler, struct rp_machine *machine,
                                const struct rp_job *job);
/** Seconds that a task is given to save when it is stopped; 0 if it keeps no progress. */
double rp_preemption_grace_s(const struct rp_job_spec *spec);
/** Seconds of run time that are lost if the task is stopped now. */
double rp_preemption_lost_s(const struct rp_allocation *allocation, struct timespec now);

/** An urgent gang that would have to fetch its image, though another machine holds it and only has
 * to be freed of lower work, has that machine freed: saving that work takes less than the fetch,
 * which a whole machine would stand idle for. Its placement in the plan is emptied. */
void rp_preemption_prefer_image_holders(struct rp_scheduler *scheduler,
                                        const struct rp_cycle_input *input, struct rp_plan *plan,
                                        struct timespec now);
/** Frees a machine for each urgent gang of one task that the plan doesn't start now or soon. */
void rp_preemption_run(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                       const struct rp_plan *plan, struct timespec now);

#endif
