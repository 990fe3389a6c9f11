#include "scheduler/remaining_time.h"

#include <math.h>

#define OVERRUN_SHARE                                                                              \
    0.3 /* expected rest of a task beyond its estimate, as a share of what it ran */
#define OVERRUN_LEAST_S 1
#define FETCH_LEAST_S 0.5 /* a fetch that should be over goes on for so long yet */
#define STOP_MARGIN_S 1   /* after the time that a stopped task has to save */

double rp_allocation_remaining_s(const struct rp_scheduler *scheduler,
                                 const struct rp_machine *machine,
                                 const struct rp_allocation *allocation, struct timespec now) {
    const struct rp_job *job = allocation->job;
    double run_s = rp_jobs_expected_run_s(scheduler->jobs, job);
    if (allocation->stop_requested)
        return allocation->grace_s + STOP_MARGIN_S;
    if (run_s <= 0) {
        /* No estimate: until the end of the machine's billing unit. */
        double unit_s = scheduler->settings->tuning.billing_unit_s;
        return unit_s - fmod(rp_ts_since(now, machine->requested_at), unit_s);
    }
    if (allocation->running_since.tv_sec == 0) {
        double rate = rp_scheduler_catalog(scheduler)->types[machine->type].fetch_gb_per_s;
        bool has_image = rp_machine_has_image(machine, job->image_hash);
        double fetch_s = has_image || rate <= 0 ? 0 : job->spec.image_gb / rate;
        return run_s + fmax(FETCH_LEAST_S, fetch_s - rp_ts_since(now, allocation->planned_at));
    }
    /* Work that has outrun its estimate goes on for a while yet: run times have long tails. */
    double ran_s = rp_ts_since(now, allocation->running_since);
    return fmax(run_s - ran_s, OVERRUN_SHARE * ran_s + OVERRUN_LEAST_S);
}
