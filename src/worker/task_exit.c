#include "worker/task_exit.h"

#include <math.h>
#include "base/log.h"
#include "cluster/quarantine.h"

/* Seconds before a job's replicas are started again. The backoff doubles with each early exit, up
 * to REPLICA_BACKOFF_MAX_S. At most REPLICA_BACKOFF_EXITS_MAX exits are counted: from the eighth on
 * the product is above the maximum. */
#define REPLICA_BACKOFF_S 0.5
#define REPLICA_BACKOFF_MAX_S 30.0
#define REPLICA_BACKOFF_EXITS_MAX 8
/* Seconds until a job is started again after a worker refused a start: the machine's capacity, or
 * the task's earlier attempt, is listed in the next heartbeat. */
#define REFUSED_START_BACKOFF_S 1.0
/* Seconds until a job is started again after a worker reported its task as unknown: the worker
 * itself fetches the job's description from the place to which the user uploads it. */
#define UNKNOWN_TASK_BACKOFF_S 5.0

static bool is_early_exit(const struct rp_allocation *allocation, struct timespec now) {
    return rp_ts_is_zero(allocation->running_since) ||
           rp_ts_since(now, allocation->running_since) <= RP_EARLY_EXIT_S;
}

static bool has_exited_unrequested(const struct rp_allocation *allocation) {
    return !allocation->stop_requested &&
           (allocation->exit_reason == RP_EXIT_DONE || allocation->exit_reason == RP_EXIT_ERROR);
}

/* A replica that exited without being stopped is started elsewhere at once. An exit soon after the
 * start counts against the machine first. Once replicas of the job have exited early on several
 * machines, the job itself is at fault, and its backoff grows so that a faulty image costs little.
 */
static void on_replica_exit(struct rp_worker_context *context, struct rp_machine *machine,
                            const struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    struct timespec now = rp_loop_now(context->loop);
    if (!has_exited_unrequested(allocation))
        return;
    if (!is_early_exit(allocation, now)) {
        job->consecutive_early_exits = job->n_failed_machines = 0;
        return;
    }
    context->cluster->n_failed_direct_starts += allocation->started_directly;
    bool is_first_machine = job->n_failed_machines == 0;
    bool is_backing_off = !rp_ts_is_reached(now, job->start_backoff_until);
    if (!rp_quarantine_record_job_failure(job, machine) && is_backing_off)
        return;
    if (!rp_quarantine_is_job_suspected(job) && allocation->exit_reason == RP_EXIT_ERROR)
        rp_quarantine_count_machine_error(context->cluster, job, machine, now);
    job->consecutive_early_exits++;
    /* The first early exit causes no backoff, so the second one has the undoubled backoff. */
    int doublings = (int)fmin(job->consecutive_early_exits, REPLICA_BACKOFF_EXITS_MAX) - 2;
    double backoff_s = is_first_machine ? 0 : ldexp(REPLICA_BACKOFF_S, doublings);
    job->start_backoff_until = rp_ts_after(now, fmin(backoff_s, REPLICA_BACKOFF_MAX_S));
}

static void on_task_done(struct rp_worker_context *context, struct rp_machine *machine,
                         const struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    if (!rp_ts_is_zero(allocation->running_since))
        rp_jobs_record_run_time(context->jobs, job,
                                rp_ts_since(rp_loop_now(context->loop), allocation->running_since));
    rp_jobs_on_task_done(context->jobs, job, allocation->task);
    rp_quarantine_on_task_success(context->cluster, job, machine);
}

void rp_task_exit_apply(struct rp_worker_context *context, struct rp_machine *machine,
                        const struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    struct timespec now = rp_loop_now(context->loop);
    rp_debug("task exited: machine=%s task=%s/%u attempt=%llu reason=%d", machine->name,
             job->spec.id, allocation->task, (unsigned long long)allocation->attempt,
             (int)allocation->exit_reason);
    if (job->spec.kind == RP_JOB_SERVICE)
        on_replica_exit(context, machine, allocation);
    switch (allocation->exit_reason) {
    case RP_EXIT_DONE:
        on_task_done(context, machine, allocation);
        break;
    case RP_EXIT_ERROR:
        if (job->spec.kind != RP_JOB_SERVICE)
            rp_quarantine_on_task_error(context->cluster, job, machine, now);
        break;
    case RP_EXIT_NO_CAPACITY:
    case RP_EXIT_ALREADY_PRESENT:
        job->start_backoff_until = rp_ts_after(now, REFUSED_START_BACKOFF_S);
        break;
    case RP_EXIT_UNKNOWN_TASK:
        job->start_backoff_until = rp_ts_after(now, UNKNOWN_TASK_BACKOFF_S);
        break;
    default:
        break;
    }
}
