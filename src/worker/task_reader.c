#include "worker/task_reader.h"

#include "base/log.h"
#include "base/string_copy.h"
#include "worker/task_exit.h"

struct rp_job *rp_task_reader_find_job(const struct rp_worker_context *context,
                                       const struct rp_task_status *status) {
    struct rp_job *job = rp_jobs_find(context->jobs, status->job);
    return job && status->task < job->spec.n_tasks ? job : NULL;
}

static struct rp_allocation *find_allocation(const struct rp_machine *machine,
                                             const struct rp_job *job,
                                             const struct rp_task_status *status) {
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->task == status->task && allocation->attempt == status->attempt &&
            allocation->job == job)
            return allocation;
    }
    return NULL;
}

struct rp_allocation *rp_task_reader_find_allocation(const struct rp_worker_context *context,
                                                     const struct rp_machine *machine,
                                                     const struct rp_task_status *status) {
    const struct rp_job *job = rp_task_reader_find_job(context, status);
    return job ? find_allocation(machine, job, status) : NULL;
}

static void add_unknown_task(struct rp_worker_context *context, struct rp_machine *machine,
                             const struct rp_task_status *status) {
    struct rp_unknown_task unknown_task = {.task = status->task,
                                           .attempt = status->attempt,
                                           .exited = status->state == RP_TASK_EXITED};
    rp_string_copy(unknown_task.job, sizeof unknown_task.job, status->job);
    if (rp_machine_add_unknown_task(context->cluster, machine, &unknown_task))
        return;
    /* The machine gets no work while it has unknown tasks, so the tasks beyond the limit can be
     * stopped after a later heartbeat. */
    if (context->counters.n_unknown_tasks_over_limit++ == 0)
        rp_error("too many tasks of unknown jobs: machine=%s n_max=%d", machine->name,
                 RP_UNKNOWN_TASKS_MAX);
}

static struct rp_allocation *add_allocation(struct rp_worker_context *context,
                                            struct rp_machine *machine, struct rp_job *job,
                                            const struct rp_task_status *status) {
    /* An old copy of a heartbeat that is read before any newer one may list a task that ended long
     * ago. A heartbeat that shows this leader's fencing token is no such copy. */
    if (status->state != RP_TASK_EXITED && machine->contact.fencing_token_seen &&
        rp_job_n_task_allocations(job, status->task))
        rp_error("task may be on two machines: task=%s/%u machine=%s", job->spec.id, status->task,
                 machine->name);
    return rp_allocation_add(context->cluster, machine, job, status->task, status->attempt,
                             RP_ALLOCATION_SEEN);
}

/* Updates the job's count of running tasks, and records the job's image on the machine when the
 * task has finished fetching it. */
static void record_task_state(struct rp_worker_context *context, struct rp_machine *machine,
                              struct rp_allocation *allocation, enum rp_task_state state) {
    struct rp_job *job = allocation->job;
    bool was_running = allocation->task_state == RP_TASK_RUNNING;
    if (state == RP_TASK_RUNNING && !was_running) {
        job->n_running++;
        allocation->running_since = rp_loop_now(context->loop);
        rp_debug("task runs: machine=%s task=%s/%u since_planned_s=%.1f", machine->name,
                 job->spec.id, allocation->task,
                 rp_ts_since(allocation->running_since, allocation->planned_at));
    } else if (state != RP_TASK_RUNNING && was_running) {
        job->n_running--;
        job->stopped_running_at = rp_loop_now(context->loop);
    }
    if (state != RP_TASK_FETCHING && allocation->task_state == RP_TASK_FETCHING)
        rp_machine_record_image(context->cluster, machine, job->image_hash, job->spec.image_gb);
    allocation->task_state = state;
}

/* Raises the lower bound of the job's run times to the time for which this task has run so far. */
static void record_run_floor(const struct rp_worker_context *context,
                             const struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    if (rp_ts_is_zero(allocation->running_since))
        return;
    double run_s = rp_ts_since(rp_loop_now(context->loop), allocation->running_since);
    if (run_s > job->run_floor_s)
        job->run_floor_s = run_s;
}

void rp_task_reader_read(struct rp_worker_context *context, struct rp_machine *machine,
                         const struct rp_task_status *status) {
    struct rp_job *job = rp_task_reader_find_job(context, status);
    if (!job) {
        add_unknown_task(context, machine, status);
        return;
    }
    struct rp_allocation *allocation = find_allocation(machine, job, status);
    if (!allocation)
        allocation = add_allocation(context, machine, job, status);
    allocation->listed = true;
    allocation->seen_seq = machine->contact.seq;
    if (allocation->state == RP_ALLOCATION_EXITED)
        return;
    if (status->state == RP_TASK_EXITED) {
        rp_allocation_set_state(context->cluster, machine, allocation, RP_ALLOCATION_EXITED);
        allocation->task_state = status->state;
        allocation->exit_reason = status->exit_reason;
        rp_task_exit_apply(context, machine, allocation);
        return;
    }
    rp_allocation_set_state(context->cluster, machine, allocation, RP_ALLOCATION_SEEN);
    record_task_state(context, machine, allocation, status->state);
    record_run_floor(context, allocation);
    if (job->state != RP_JOB_OPEN || rp_job_is_task_done(job, status->task))
        rp_allocation_request_stop(allocation, 0);
}
