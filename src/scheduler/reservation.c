#include "scheduler/reservation.h"

#include <string.h>
#include "base/string_copy.h"

/* Seconds that a reservation lasts beyond the estimated time until its capacity is free. */
#define RESERVATION_MARGIN_S 6

bool rp_reservation_is_exclusive(const struct rp_job *job) {
    return job->spec.kind == RP_JOB_GANG &&
           (job->spec.n_tasks > 1 || job->spec.priority < RP_PRIORITY_HIGH);
}

void rp_reservation_make(const struct rp_scheduler *scheduler, struct rp_machine *machine,
                         const struct rp_job *job, double for_s) {
    rp_string_copy(machine->reservation.job_id, sizeof machine->reservation.job_id, job->spec.id);
    machine->reservation.until =
        rp_ts_after(rp_loop_now(scheduler->loop), for_s + RESERVATION_MARGIN_S);
}

struct rp_job *rp_reservation_job(const struct rp_scheduler *scheduler,
                                  const struct rp_machine *machine) {
    struct rp_job *job = *machine->reservation.job_id
                             ? rp_jobs_find(scheduler->jobs, machine->reservation.job_id)
                             : NULL;
    if (!job || job->state != RP_JOB_OPEN || !rp_machine_is_usable(machine) ||
        job->n_allocated >= (rp_reservation_is_exclusive(job) ? job->spec.n_tasks : 1) ||
        rp_ts_is_reached(rp_loop_now(scheduler->loop), machine->reservation.until))
        return NULL;
    if (rp_reservation_is_exclusive(job))
        return job;
    struct rp_resources available = rp_machine_free_resources(scheduler->cluster, machine);
    return rp_resources_fit(&job->spec.task_resources, &available) ? NULL : job;
}

void rp_reservation_mark_jobs(const struct rp_scheduler *scheduler) {
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next) {
        struct rp_job *job = rp_reservation_job(scheduler, machine);
        if (job)
            job->reserved_in_cycle = scheduler->n_cycles;
    }
}
