#include "worker/spot_notice.h"

#include "base/log.h"

/* The time for a task to save a checkpoint is the job's `brace_s` (save_duration_s) times
 * SAVE_TIME_FACTOR plus SAVE_MARGIN_S seconds. PROTOCOL requires at least `brace_s`; the rest
 * covers the transit time of the command and machines that are slower than others. */
#define SAVE_TIME_FACTOR 1.5
#define SAVE_MARGIN_S 1.0

/* Stops one allocation. May also remove other allocations of the machine: tasks of the same gang
 * whose starts have not been sent yet. */
static void stop_allocation(struct rp_worker_context *context, struct rp_machine *machine,
                            size_t index) {
    struct rp_allocation *allocation = &machine->allocations[index];
    const struct rp_job_spec *spec = &allocation->job->spec;
    double save_s = spec->save_duration_s * SAVE_TIME_FACTOR + SAVE_MARGIN_S;
    bool has_begun =
        allocation->task_state != RP_TASK_FETCHING && allocation->task_state != RP_TASK_WAITING;
    bool can_save = has_begun && spec->checkpoint_interval_s > 0;
    /* A gang's progress is safe only if all of its tasks receive the stop within gang_peer_s
     * (PROTOCOL, "Gangs"): each machine sends a heartbeat within that time. */
    if (spec->kind == RP_JOB_GANG && spec->n_tasks > 1 && !allocation->stop_requested)
        rp_cluster_stop_job(context->cluster, allocation->job, can_save ? save_s : 0);
    else if (allocation->state == RP_ALLOCATION_PLANNED)
        rp_allocation_remove(context->cluster, machine, index);
    else if (spec->kind == RP_JOB_SERVICE)
        /* If the replica is stopped now, it runs elsewhere sooner than if it is stopped when the
         * machine is reclaimed. */
        rp_allocation_request_stop(allocation, 0);
    else if (!has_begun)
        rp_allocation_request_stop(allocation, 0);
    else if (can_save)
        rp_allocation_request_stop(allocation, save_s);
    /* A task that cannot save continues to run: it may be done before the machine is reclaimed. */
}

void rp_spot_notice_apply(struct rp_worker_context *context, struct rp_machine *machine,
                          double notice_s) {
    if (!machine->spot_notice.received)
        rp_info("spot notice: machine=%s notice_s=%.1f n_allocations=%zu", machine->name, notice_s,
                machine->n_allocations);
    machine->spot_notice.received = true;
    machine->spot_notice.ends_at = rp_ts_after(rp_loop_now(context->loop), notice_s);
    for (size_t i = machine->n_allocations; i-- > 0;)
        if (i < machine->n_allocations) /* stopping a gang may have removed several allocations */
            stop_allocation(context, machine, i);
}
