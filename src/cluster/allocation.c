#include "cluster/allocation.h"

#include "base/memory.h"

/* Initial length of a machine's array of allocations. */
#define INITIAL_CAPACITY 16

/* Adds the allocation to all counts (sign 1) or subtracts it from them (sign -1). */
static void count_allocation(struct rp_cluster *cluster, const struct rp_machine *machine,
                             const struct rp_allocation *allocation, int sign) {
    struct rp_job *job = allocation->job;
    rp_job_count_allocation(job, allocation->task, sign);
    if (machine->zone >= 0)
        job->n_allocated_by_zone[machine->zone] += (uint32_t)sign;
    if (job->team >= 0) {
        cluster->team_cpus[job->team] += sign * job->spec.task_resources.cpus;
        cluster->team_gpus[job->team] += sign * job->spec.task_resources.gpus;
    }
    /* The task may be started again, so the search for startable tasks begins at this task or an
     * earlier one. */
    if (sign < 0 && allocation->task < job->first_startable_task)
        job->first_startable_task = allocation->task;
}

static void uncount_running(const struct rp_cluster *cluster,
                            const struct rp_allocation *allocation) {
    if (allocation->state != RP_ALLOCATION_SEEN || allocation->task_state != RP_TASK_RUNNING)
        return;
    allocation->job->n_running--;
    allocation->job->stopped_running_at = rp_loop_now(cluster->loop);
}

struct rp_allocation *rp_allocation_add(struct rp_cluster *cluster, struct rp_machine *machine,
                                        struct rp_job *job, uint32_t task, uint64_t attempt,
                                        enum rp_allocation_state state) {
    if (machine->n_allocations == machine->cap_allocations) {
        machine->cap_allocations =
            machine->cap_allocations ? machine->cap_allocations * 2 : INITIAL_CAPACITY;
        machine->allocations = rp_realloc(machine->allocations, machine->cap_allocations,
                                          sizeof *machine->allocations);
    }
    struct rp_allocation *allocation = &machine->allocations[machine->n_allocations++];
    *allocation = (struct rp_allocation){.job = job,
                                         .task = task,
                                         .attempt = attempt,
                                         .state = state,
                                         .task_state = RP_TASK_FETCHING,
                                         .planned_at = rp_loop_now(cluster->loop)};
    job->n_refs++;
    job->n_allocations++;
    if (rp_allocation_is_counted(allocation))
        count_allocation(cluster, machine, allocation, 1);
    return allocation;
}

/* The edges:
 * - (new) -> PLANNED: a start is planned; the task is counted from here on;
 * - PLANNED -> SENT: the start is sent to the machine, with a heartbeat's answer or as a direct
 *   command;
 * - SENT -> SEEN: the machine lists the task;
 * - SENT, SEEN -> EXITED: the machine lists the task as exited; it is no longer counted;
 * - (new) -> SEEN, EXITED: the machine lists a task that an earlier leader started;
 * - PLANNED -> (removed): the start is cancelled; nothing was sent, so it is removed at once;
 * - SENT -> (removed): a later heartbeat does not list the task, or the command was refused;
 * - EXITED -> (removed): the task's end is recorded, and the worker has forgotten the task;
 * - any -> (removed): no task of the machine can run any more (task_evidence.h). */
void rp_allocation_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                             struct rp_allocation *allocation, enum rp_allocation_state state) {
    if (allocation->state == state)
        return;
    bool was_counted = rp_allocation_is_counted(allocation);
    uncount_running(cluster, allocation);
    if (was_counted && state == RP_ALLOCATION_EXITED)
        count_allocation(cluster, machine, allocation, -1);
    allocation->state = state;
}

void rp_allocation_remove(struct rp_cluster *cluster, struct rp_machine *machine, size_t index) {
    struct rp_allocation *allocation = &machine->allocations[index];
    struct rp_job *job = allocation->job;
    uncount_running(cluster, allocation);
    if (rp_allocation_is_counted(allocation))
        count_allocation(cluster, machine, allocation, -1);
    job->n_allocations--;
    machine->allocations[index] = machine->allocations[--machine->n_allocations];
    rp_jobs_release(cluster->jobs, job);
}

void rp_allocation_request_stop(struct rp_allocation *allocation, double grace_s) {
    if (allocation->stop_requested && allocation->grace_s <= grace_s)
        return;
    allocation->stop_requested = true;
    allocation->grace_s = grace_s;
    allocation->stop_sent_at = (struct timespec){0};
}
