#include "scheduler/remaining_time.h"

#include <math.h>

/* Expected remaining time of a task that has exceeded its estimate, as a share of the time that it
 * has run, plus OVERRUN_MIN_S seconds. */
#define OVERRUN_RAN_SHARE 0.3
#define OVERRUN_MIN_S 1
/* Least remaining time, in seconds, that is assumed for a fetch, even if the fetch should have
 * ended already. */
#define FETCH_REMAINING_MIN_S 0.5
/* Seconds from the end of a stopped task's grace period until the task is expected to have ended.
 */
#define STOP_MARGIN_S 1

double rp_allocation_remaining_s(const struct rp_scheduler *scheduler,
                                 const struct rp_machine *machine,
                                 const struct rp_allocation *allocation, struct timespec now) {
    const struct rp_job *job = allocation->job;
    double run_s = rp_jobs_expected_run_s(scheduler->jobs, job);
    if (allocation->stop_requested)
        return allocation->grace_s + STOP_MARGIN_S;
    if (run_s <= 0) {
        /* Without an estimate, the task is taken to run until the end of the machine's billing
         * unit. */
        double billing_unit_s = scheduler->settings->tuning.billing_unit_s;
        return billing_unit_s - fmod(rp_ts_since(now, machine->requested_at), billing_unit_s);
    }
    if (allocation->running_since.tv_sec == 0) {
        double rate = rp_scheduler_catalog(scheduler)->types[machine->type].fetch_gb_per_s;
        bool has_image = rp_machine_has_image(machine, job->image_hash);
        double fetch_s = has_image || rate <= 0 ? 0 : job->spec.image_gb / rate;
        return run_s +
               fmax(FETCH_REMAINING_MIN_S, fetch_s - rp_ts_since(now, allocation->planned_at));
    }
    /* Run times have long tails: a task that has exceeded its estimate is expected to continue for
     * some time. */
    double ran_s = rp_ts_since(now, allocation->running_since);
    return fmax(run_s - ran_s, OVERRUN_RAN_SHARE * ran_s + OVERRUN_MIN_S);
}
