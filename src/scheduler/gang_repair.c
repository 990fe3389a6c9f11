#include "scheduler/gang_repair.h"

#include "scheduler/reservation.h"

#define PATIENCE_GANG_WAITS 8 /* gang_wait_s after which a gang that hasn't begun starts anew */

/* What is known of a gang's attempt. */
struct gang_attempt {
    uint64_t number;
    bool has_begun;        /* some task runs, saves or is being stopped */
    struct timespec since; /* when its first allocation was planned */
};

/* Whether no task can join the attempt any more, as this one's allocation shows. Of two attempts at
 * once the older one is ending: nothing can join it. */
static bool shows_beginning(const struct rp_allocation *allocation, uint64_t attempt) {
    bool is_of_other_attempt = attempt && allocation->attempt != attempt;
    bool is_joining =
        allocation->task_state == RP_TASK_FETCHING || allocation->task_state == RP_TASK_WAITING;
    return allocation->stop_requested || is_of_other_attempt || !is_joining;
}

static struct gang_attempt find_attempt(const struct rp_scheduler *scheduler,
                                        const struct rp_job *job) {
    struct gang_attempt attempt = {0};
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++) {
            const struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->job != job || allocation->state == RP_ALLOCATION_EXITED)
                continue;
            attempt.has_begun |= shows_beginning(allocation, attempt.number);
            if (!attempt.number || rp_ts_cmp(allocation->planned_at, attempt.since) < 0)
                attempt.since = allocation->planned_at;
            attempt.number = allocation->attempt;
        }
    return attempt;
}

/* Where the task of this attempt has just exited: until its removal is confirmed, starting the same
 * attempt there again would do nothing. */
static struct rp_machine *machine_of_exited_task(const struct rp_scheduler *scheduler,
                                                 const struct rp_job *job, uint32_t task,
                                                 uint64_t attempt) {
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (machine->allocations[i].job == job && machine->allocations[i].task == task &&
                machine->allocations[i].attempt == attempt)
                return machine;
    return NULL;
}

/* The machine for a missing task: one reserved for the job, else one that holds its image, else any
 * that can take it; NULL: none can now. */
static struct rp_machine *replacement_machine(struct rp_scheduler *scheduler, struct rp_job *job,
                                              uint32_t task) {
    struct rp_machine *best = NULL;
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        const struct rp_job *reserved = rp_reservation_job(scheduler, machine);
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

/* Returns false when no machine can take the task now. */
static bool replace_task(struct rp_scheduler *scheduler, struct rp_job *job, uint32_t task,
                         uint64_t attempt) {
    struct rp_machine *previous = machine_of_exited_task(scheduler, job, task, attempt);
    if (previous) {
        /* It holds the image by now: it is reserved for the task. */
        rp_reservation_make(scheduler, previous, job, 0);
        return false;
    }
    struct rp_machine *machine = replacement_machine(scheduler, job, task);
    if (machine)
        rp_allocation_add(scheduler->cluster, machine, job, task, attempt, RP_ALLOCATION_PLANNED);
    return machine;
}

/* Returns false when some missing task found no machine. */
static bool replace_missing_tasks(struct rp_scheduler *scheduler, struct rp_job *job,
                                  uint64_t attempt) {
    bool is_missing = false;
    for (uint32_t task = 0; task < job->spec.n_tasks; task++)
        if (rp_job_n_task_allocations(job, task) == 0)
            is_missing |= !replace_task(scheduler, job, task, attempt);
    return !is_missing;
}

/* A gang whose tasks still fetch their image or wait for one another is completed by a new start
 * with the same attempt number. So a task that waits on a machine with the image may exit as alone
 * after gang_wait_s, while another fetches for longer: stopping all of them, as for a gang that
 * runs, gave the fetches up, and a gang with a large image never began. */
static void repair_gang(struct rp_scheduler *scheduler, struct rp_job *job, struct timespec now) {
    struct gang_attempt attempt = find_attempt(scheduler, job);
    double patience_s = scheduler->settings->gang_wait_s * PATIENCE_GANG_WAITS;
    if (job->gang_attempt != attempt.number) {
        /* Not the oldest allocation's time: each that exits as alone is followed by a new one. */
        job->gang_attempt = attempt.number;
        job->gang_incomplete_since = attempt.since;
    }
    if (attempt.has_begun || rp_ts_since(now, job->gang_incomplete_since) > patience_s) {
        rp_cluster_stop_job(scheduler->cluster, job, 0);
        return;
    }
    if (replace_missing_tasks(scheduler, job, attempt.number))
        job->machine_missing_since = (struct timespec){0};
    else if (rp_ts_zero(job->machine_missing_since))
        job->machine_missing_since = now;
    else if (rp_ts_since(now, job->machine_missing_since) > scheduler->settings->gang_wait_s)
        /* Machines are provisioned only for what a plan places, and a gang that holds some is in
         * none: with no other work about it waited for ever. Stopped, it is planned anew as a
         * whole. */
        rp_cluster_stop_job(scheduler->cluster, job, 0);
}

/* After a failover a gang's tasks are heard of one by one: those not heard of yet are no reason to
 * stop the others (every failover stopped every gang of several tasks). */
void rp_gang_repair_run(struct rp_scheduler *scheduler, struct timespec now) {
    for (struct rp_job *job = scheduler->jobs->table.first; job; job = job->next)
        if (job->spec.kind != RP_JOB_GANG || job->state != RP_JOB_OPEN)
            continue;
        else if (job->n_allocated == 0 || job->n_allocated == job->spec.n_tasks)
            job->machine_missing_since = (struct timespec){0};
        else if (rp_cluster_is_job_reconciled(scheduler->cluster, job))
            repair_gang(scheduler, job, now);
}
