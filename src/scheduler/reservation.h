/** @file
 * Reservations: a machine's capacity that is kept for one job. */
#ifndef RP_SCHEDULER_RESERVATION_H
#define RP_SCHEDULER_RESERVATION_H

#include "scheduler/scheduler.h"

/** Whether whole machines are reserved for the job, rather than capacity on one. A gang of one task
 * that gets its capacity by preemption needs no whole machine reserved for it. */
bool rp_reservation_is_exclusive(const struct rp_job *job);
/** Reserves the machine for the job, for `for_s` seconds, the estimated time until its capacity is
 * free, and a margin. */
void rp_reservation_make(const struct rp_scheduler *scheduler, struct rp_machine *machine,
                         const struct rp_job *job, double for_s);
/** The job that the machine is reserved for, as long as the job still waits for the machine; NULL
 * if there is none. */
struct rp_job *rp_reservation_job(const struct rp_scheduler *scheduler,
                                  const struct rp_machine *machine);
/** Records in each job with a reservation that it has one in this cycle. */
void rp_reservation_mark_jobs(const struct rp_scheduler *scheduler);

#endif
