#include "worker/command_batch.h"

#include <stdlib.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "cluster/quarantine.h"
#include "worker/task_exit.h"

/* The maximum number of commands in one message. At about 90 bytes for each, the message remains
 * below the 64 KiB that a line of an answer may have (PROTOCOL). */
#define COMMANDS_MAX 400
/* Direct starts of a service of which no replica has run for RP_EARLY_EXIT_S yet. */
#define UNPROVEN_DIRECT_STARTS_MAX 16
/* Failed direct starts of a term from which on no such service is started directly. */
#define FAILED_DIRECT_STARTS_MAX 100

void rp_command_batch_init(struct rp_command_batch *batch) {
    batch->commands = rp_alloc(COMMANDS_MAX, sizeof *batch->commands);
    batch->n = 0;
}

void rp_command_batch_free(struct rp_command_batch *batch) {
    free(batch->commands);
    batch->commands = NULL;
    batch->n = 0;
}

static bool is_full(const struct rp_command_batch *batch) {
    return batch->n == COMMANDS_MAX;
}

/* Adds a command unless the batch is full. A command that does not fit is sent with a later
 * message, because the commands of each message are selected anew from the machine's state. */
static void add(struct rp_command_batch *batch, enum rp_command_kind kind, const char *job,
                uint32_t task, uint64_t attempt, double grace_s) {
    if (is_full(batch))
        return;
    struct rp_command *command = &batch->commands[batch->n++];
    command->kind = kind;
    rp_string_copy(command->job, sizeof command->job, job);
    command->task = task;
    command->attempt = attempt;
    command->grace_s = grace_s;
}

static void add_start(struct rp_command_batch *batch, const struct rp_allocation *allocation) {
    add(batch, RP_COMMAND_START, allocation->job->spec.id, allocation->task, allocation->attempt,
        0);
}

static void add_stop(struct rp_command_batch *batch, const struct rp_allocation *allocation,
                     double grace_s) {
    add(batch, RP_COMMAND_STOP, allocation->job->spec.id, allocation->task, allocation->attempt,
        grace_s);
}

static void add_forget(struct rp_command_batch *batch, const struct rp_allocation *allocation) {
    add(batch, RP_COMMAND_FORGET, allocation->job->spec.id, allocation->task, allocation->attempt,
        0);
}

/* ---- stop and forget commands, which are harmless when repeated or late ---- */

void rp_command_batch_add_unknown_tasks(struct rp_command_batch *batch,
                                        const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_unknown_tasks; i++) {
        const struct rp_unknown_task *task = &machine->unknown_tasks[i];
        if (!task->exited)
            add(batch, RP_COMMAND_STOP, task->job, task->task, task->attempt, 0);
        else if (machine->contact.fencing_token_seen) /* for the reason given in may_forget */
            add(batch, RP_COMMAND_FORGET, task->job, task->task, task->attempt, 0);
    }
}

/* A worker that has forgotten an attempt would begin it again when a late copy of its start arrives
 * (PROTOCOL, `forget`). Starts in answers to heartbeats have no late copies. Direct starts may have
 * them, but the copies have no effect once the worker's incarnation has changed, or the leader's
 * fencing token. */
static bool may_forget(const struct rp_machine *machine, const struct rp_allocation *allocation) {
    /* Until the machine shows this leader's fencing token, an earlier leader's start may still
     * arrive. */
    if (!machine->contact.fencing_token_seen)
        return false;
    /* The cluster state is that of one term: this leader started the attempt in this term. */
    if (allocation->started_directly)
        return false;
    /* A result must be durable before the worker may delete it. */
    return allocation->exit_reason != RP_EXIT_DONE ||
           rp_job_is_task_durable(allocation->job, allocation->task);
}

static void record_stop_sent(struct rp_allocation *allocation, struct timespec now) {
    allocation->stop_sent_at = now;
    allocation->job->was_interrupted = true;
}

static void add_requested_stop(struct rp_command_batch *batch, struct rp_allocation *allocation,
                               struct timespec now) {
    bool is_saving = allocation->task_state == RP_TASK_SAVING && allocation->grace_s > 0;
    if (is_saving)
        return;
    record_stop_sent(allocation, now);
    /* A direct start without any confirmation may still arrive after this stop. With a start and a
     * stop in one message, the worker lists the attempt as ended, so that the late start has no
     * effect (docs/safety.md, "Direct commands"). */
    if (allocation->started_directly && allocation->state == RP_ALLOCATION_SENT)
        add_start(batch, allocation);
    add_stop(batch, allocation, allocation->grace_s);
}

static void add_stops_and_forgets(struct rp_command_batch *batch,
                                  const struct rp_worker_context *context,
                                  struct rp_machine *machine) {
    struct timespec now = rp_loop_now(context->loop);
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED) {
            if (may_forget(machine, allocation))
                add_forget(batch, allocation);
        } else if (allocation->stop_requested && allocation->state != RP_ALLOCATION_PLANNED) {
            add_requested_stop(batch, allocation, now);
        }
    }
}

static void add_immediate_stops(struct rp_command_batch *batch,
                                const struct rp_worker_context *context,
                                struct rp_machine *machine) {
    struct timespec now = rp_loop_now(context->loop);
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->stop_requested && allocation->grace_s <= 0 &&
            allocation->state == RP_ALLOCATION_SEEN) {
            record_stop_sent(allocation, now);
            add_stop(batch, allocation, 0);
        }
    }
}

/* ---- starts ---- */

/* Whether the job is a service that fails everywhere and waits for its next attempt. */
static bool is_failing_service(const struct rp_worker_context *context, const struct rp_job *job) {
    return job->spec.kind == RP_JOB_SERVICE && rp_quarantine_is_job_suspected(job) &&
           !rp_ts_is_reached(rp_loop_now(context->loop), job->start_backoff_until);
}

/* Whether the start is still allowed: the conditions under which it was planned may have changed
 * since. */
static bool may_still_start(const struct rp_worker_context *context,
                            const struct rp_machine *machine,
                            const struct rp_allocation *allocation) {
    return allocation->job->state == RP_JOB_OPEN && rp_machine_is_usable(machine) &&
           !is_failing_service(context, allocation->job) &&
           rp_cluster_is_job_reconciled(context->cluster, allocation->job) &&
           rp_jobs_may_start_tasks(context->jobs);
}

/* Whether no message has confirmed the direct start, and its command is no longer in flight. */
static bool is_unanswered_direct_start(const struct rp_allocation *allocation) {
    return allocation->state == RP_ALLOCATION_SENT && allocation->started_directly &&
           !allocation->direct_start_pending;
}

/* Sends direct starts again whose responses were lost. The same attempt cannot begin twice
 * (PROTOCOL, `run`). */
static void add_repeated_starts(struct rp_command_batch *batch,
                                const struct rp_worker_context *context,
                                struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (!is_unanswered_direct_start(allocation) || allocation->stop_requested)
            continue;
        add_start(batch, allocation);
        if (!may_still_start(context, machine, allocation)) {
            rp_allocation_request_stop(allocation, 0);
            add_stop(batch, allocation, 0);
        }
    }
}

/* Whether a replica of the service may be started directly. Attempts that end at once would fill
 * the workers' lists: until a replica has run for long, only the first few are started directly,
 * and none if the service fails everywhere, or many replicas have failed in this term. */
static bool may_start_replica_directly(const struct rp_worker_context *context,
                                       const struct rp_job *job) {
    if (job->run_floor_s > RP_EARLY_EXIT_S)
        return true;
    return !rp_quarantine_is_job_suspected(job) &&
           job->n_direct_starts < UNPROVEN_DIRECT_STARTS_MAX &&
           context->cluster->n_failed_direct_starts < FAILED_DIRECT_STARTS_MAX;
}

/* Workers must keep attempts that were started directly in their lists for the rest of the term.
 * Direct starts are therefore limited to replicas of services and, within bounds, to tasks that a
 * failover would delay. */
static bool may_start_directly(const struct rp_worker_context *context,
                               const struct rp_machine *machine, const struct rp_job *job) {
    bool is_delayed_by_failover =
        job->spec.kind == RP_JOB_ARRAY && machine->contact.fenced_without_heartbeat;
    return (job->spec.kind == RP_JOB_SERVICE && may_start_replica_directly(context, job)) ||
           (is_delayed_by_failover && context->n_direct_array_starts_left > 0);
}

static void record_start_sent(struct rp_worker_context *context, struct rp_machine *machine,
                              struct rp_allocation *allocation, bool directly) {
    struct rp_job *job = allocation->job;
    rp_allocation_set_state(context->cluster, machine, allocation, RP_ALLOCATION_SENT);
    allocation->sent_seq = machine->contact.heartbeat_seq;
    allocation->started_directly = allocation->direct_start_pending = directly;
    if (directly && job->spec.kind == RP_JOB_ARRAY)
        context->n_direct_array_starts_left--;
    else if (directly)
        job->n_direct_starts++;
    context->counters.n_starts++;
    rp_metrics_add(context->metrics, RP_METRIC_START,
                   rp_job_age_s(job, rp_loop_now(context->loop)));
    rp_debug("start sent: machine=%s task=%s/%u attempt=%llu directly=%d", machine->name,
             job->spec.id, allocation->task, (unsigned long long)allocation->attempt, directly);
}

static void add_planned_starts(struct rp_command_batch *batch, struct rp_worker_context *context,
                               struct rp_machine *machine, bool directly) {
    for (size_t i = machine->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_PLANNED ||
            (directly && !may_start_directly(context, machine, allocation->job)))
            continue;
        if (!may_still_start(context, machine, allocation)) {
            rp_allocation_remove(context->cluster, machine, i);
            continue;
        }
        if (is_full(batch))
            return;
        add_start(batch, allocation);
        record_start_sent(context, machine, allocation, directly);
    }
}

/* ---- whole messages ---- */

void rp_command_batch_add_for_answer(struct rp_command_batch *batch,
                                     struct rp_worker_context *context,
                                     struct rp_machine *machine) {
    /* The very first answer already stops tasks that must not run any more, because it renews the
     * lease like any other answer. Without these stops, a machine that hangs right after its first
     * answer runs cancelled work for one more lease, and a machine that is about to be scaled in
     * runs it for as long as the cloud does not respond. */
    rp_command_batch_add_unknown_tasks(batch, machine);
    add_stops_and_forgets(batch, context, machine);
    if (machine->contact.fencing_token_seen) {
        add_repeated_starts(batch, context, machine);
        add_planned_starts(batch, context, machine, false);
    }
}

void rp_command_batch_add_direct(struct rp_command_batch *batch, struct rp_worker_context *context,
                                 struct rp_machine *machine) {
    add_immediate_stops(batch, context, machine);
    add_planned_starts(batch, context, machine, true);
}
