#include "scheduler/gang_repair.h"

#include <stdlib.h>
#include "base/memory.h"
#include "scheduler/reservation.h"

/* An incomplete gang that has not begun to run is stopped, to start anew, after this multiple of
 * gang_wait_s. */
#define INCOMPLETE_MAX_GANG_WAITS 8

/* A gang's attempt, as its allocations show it. */
struct gang_attempt {
    uint64_t number;
    bool is_join_impossible;    /* a task runs, saves its progress, is being stopped or has another
                                   attempt number */
    struct timespec planned_at; /* when the attempt's first allocation was planned */
};

/* Whether the allocation shows that no task can join the attempt any more. If there are two
 * attempts at once, the older one is ending and no task can join it. */
static bool is_join_impossible(const struct rp_allocation *allocation, uint64_t attempt) {
    bool is_of_other_attempt = attempt && allocation->attempt != attempt;
    bool is_joining =
        allocation->task_state == RP_TASK_FETCHING || allocation->task_state == RP_TASK_WAITING;
    return allocation->stop_requested || is_of_other_attempt || !is_joining;
}

static struct rp_activity *activity_of(struct rp_scheduler *scheduler) {
    return &scheduler->activities[RP_ACTIVITY_GANG_REPAIR];
}

/* Counts one look at the machine and its allocations. */
static void take_steps(struct rp_scheduler *scheduler, const struct rp_machine *machine) {
    rp_step_budget_take(&activity_of(scheduler)->steps, 1 + machine->n_allocations);
}

static struct gang_attempt find_attempt(struct rp_scheduler *scheduler, const struct rp_job *job) {
    struct gang_attempt attempt = {0};
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next) {
        take_steps(scheduler, machine);
        for (size_t i = 0; i < machine->n_allocations; i++) {
            const struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->job != job || allocation->state == RP_ALLOCATION_EXITED)
                continue;
            attempt.is_join_impossible |= is_join_impossible(allocation, attempt.number);
            if (!attempt.number || rp_ts_cmp(allocation->planned_at, attempt.planned_at) < 0)
                attempt.planned_at = allocation->planned_at;
            attempt.number = allocation->attempt;
        }
    }
    return attempt;
}

/* For each task, the machine on which the task of this attempt has just exited; NULL if there is
 * none. Until the removal of the exited task is confirmed, starting the same attempt there again
 * has no effect. The caller frees the array. */
static struct rp_machine **find_machines_of_exited_tasks(struct rp_scheduler *scheduler,
                                                         const struct rp_job *job,
                                                         uint64_t attempt) {
    struct rp_machine **machines = rp_alloc(job->spec.n_tasks, sizeof(struct rp_machine *));
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        take_steps(scheduler, machine);
        for (size_t i = 0; i < machine->n_allocations; i++) {
            const struct rp_allocation *allocation = &machine->allocations[i];
            bool is_of_attempt = allocation->job == job && allocation->attempt == attempt;
            if (is_of_attempt && !machines[allocation->task])
                machines[allocation->task] = machine;
        }
    }
    return machines;
}

/* The machine for a missing task: one reserved for the job, else one that holds its image, else any
 * that can take the task; NULL if none can now. */
static struct rp_machine *replacement_machine(struct rp_scheduler *scheduler, struct rp_job *job,
                                              uint32_t task) {
    struct rp_machine *best = NULL;
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        const struct rp_job *reserved = rp_reservation_job(scheduler, machine);
        take_steps(scheduler, machine);
        if ((reserved && reserved != job) ||
            !rp_cluster_may_start(scheduler->cluster, job, task, machine))
            continue;
        bool has_image = rp_machine_has_image(machine, job->image_hash);
        if (!best || (has_image && !rp_machine_has_image(best, job->image_hash)))
            best = machine;
        if (reserved == job)
            best = machine;
        if (reserved == job || has_image)
            break;
    }
    return best;
}

/* Allocates the missing tasks anew. Returns false when no machine was found for at least one of
 * them. All tasks of a gang have the same requirements: when no machine can take one of them, none
 * can take another. Tasks that are left when the steps are spent are replaced in the next cycle. */
static bool replace_missing_tasks(struct rp_scheduler *scheduler, struct rp_job *job,
                                  uint64_t attempt) {
    struct rp_machine **machines_of_exited = find_machines_of_exited_tasks(scheduler, job, attempt);
    bool is_missing = false;
    bool has_machine = true;
    for (uint32_t task = 0; task < job->spec.n_tasks; task++) {
        if (rp_job_n_task_allocations(job, task) > 0)
            continue;
        if (machines_of_exited[task]) {
            /* The machine holds the image by now, so it is reserved for the task. */
            rp_reservation_make(scheduler, machines_of_exited[task], job, 0);
            is_missing = true;
            continue;
        }
        if (rp_step_budget_is_spent(&activity_of(scheduler)->steps))
            break;
        struct rp_machine *machine = has_machine ? replacement_machine(scheduler, job, task) : NULL;
        has_machine = machine;
        is_missing |= !machine;
        if (machine)
            rp_allocation_add(scheduler->cluster, machine, job, task, attempt,
                              RP_ALLOCATION_PLANNED);
    }
    free(machines_of_exited);
    return !is_missing;
}

/* A gang whose tasks still fetch their image or wait for one another is completed by starting the
 * missing tasks with the same attempt number. A task that waits on a machine with the image may
 * exit with RP_EXIT_GANG_WAIT_TIMEOUT after gang_wait_s, while another task fetches for longer. If
 * the whole gang were stopped then, as a running gang is, the fetches would be aborted, and a gang
 * with a large image would never begin to run. */
static void repair_gang(struct rp_scheduler *scheduler, struct rp_job *job, struct timespec now) {
    struct gang_attempt attempt = find_attempt(scheduler, job);
    double incomplete_max_s = scheduler->settings->gang_wait_s * INCOMPLETE_MAX_GANG_WAITS;
    if (job->gang_attempt != attempt.number) {
        /* The attempt and the time of its oldest allocation are recorded once per attempt. The
         * oldest allocation's time cannot be used in each cycle, since every allocation that exits
         * with RP_EXIT_GANG_WAIT_TIMEOUT is followed by a new one. */
        job->gang_attempt = attempt.number;
        job->gang_incomplete_since = attempt.planned_at;
    }
    if (attempt.is_join_impossible ||
        rp_ts_since(now, job->gang_incomplete_since) > incomplete_max_s) {
        rp_cluster_stop_job(scheduler->cluster, job, 0);
        return;
    }
    if (replace_missing_tasks(scheduler, job, attempt.number))
        job->machine_missing_since = (struct timespec){0};
    else if (rp_ts_is_zero(job->machine_missing_since))
        job->machine_missing_since = now;
    else if (rp_ts_since(now, job->machine_missing_since) > scheduler->settings->gang_wait_s)
        /* Machines are provisioned only for what a plan places, and a gang of which some tasks are
         * allocated is in no plan. Without this stop, the gang waits forever if no other work
         * causes machines to be provisioned. A stopped gang is planned again as a whole. */
        rp_cluster_stop_job(scheduler->cluster, job, 0);
}

/* After a failover, the tasks of a gang are reported one by one. Tasks that have not been reported
 * yet are no reason to stop the others: without the check for reconciliation, every failover stops
 * every gang of several tasks. */
void rp_gang_repair_run(struct rp_scheduler *scheduler, struct timespec now) {
    struct rp_activity *activity = activity_of(scheduler);
    size_t first = rp_activity_begin(activity, scheduler->jobs->table.n_jobs);
    bool is_stopped = false;
    size_t index = 0;
    for (struct rp_job *job = scheduler->jobs->table.first; job; job = job->next, index++) {
        if (job->spec.kind != RP_JOB_GANG || job->state != RP_JOB_OPEN)
            continue;
        if (job->n_allocated == 0 || job->n_allocated == job->spec.n_tasks) {
            job->machine_missing_since = (struct timespec){0};
            continue;
        }
        is_stopped = is_stopped || rp_activity_must_stop(activity, index);
        if (index >= first && !is_stopped && rp_cluster_is_job_reconciled(scheduler->cluster, job))
            repair_gang(scheduler, job, now);
    }
}
