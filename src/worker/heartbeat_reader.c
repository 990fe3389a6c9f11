#include "worker/heartbeat_reader.h"

#include <math.h>
#include "base/log.h"
#include "worker/spot_notice.h"
#include "worker/task_reader.h"

/* Seconds for which a worker waits for an answer before it sends its heartbeat to another node
 * (PROTOCOL, "Workers"). */
#define ANSWER_TIMEOUT_S 4.0
/* The longest interval between two heartbeats as a multiple of report_s: intervals vary by a
 * quarter (PROTOCOL, "Workers"). */
#define HEARTBEAT_INTERVAL_FACTOR 1.25
/* Seconds allowed for the difference between the transit times of two heartbeats. */
#define HEARTBEAT_DELAY_S 0.75

/* ---- one-way partitions: heartbeats arrive, but answers do not reach the worker ---- */

/* Whether the heartbeat shows that the last answer reached the worker. A worker that received an
 * answer sends its next heartbeat to this node again, with the next sequence number, within the
 * time for which it would have waited for an answer. Responses to direct commands and probes take
 * sequence numbers in between. */
static bool is_proof_that_answers_arrive(const struct rp_worker_context *context,
                                         const struct rp_machine *machine,
                                         const struct rp_heartbeat *heartbeat) {
    const struct rp_machine_contact *contact = &machine->contact;
    /* A limit of ANSWER_TIMEOUT_S alone is too short where report_s is 4 s: every second heartbeat
     * of a healthy machine arrives more than 4 s after the previous one, and a quarter of a large
     * fleet stays idle as partitioned. The longer limit still detects partitions: a worker that
     * received no answer tries another node first, and 6 s have passed when its next heartbeat
     * arrives at this node. */
    double interval_max_s =
        fmax(ANSWER_TIMEOUT_S,
             context->settings->report_s * HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_DELAY_S);
    bool has_next_number = heartbeat->incarnation == contact->incarnation &&
                           heartbeat->seq > contact->heartbeat_seq &&
                           heartbeat->seq - contact->heartbeat_seq <= 1 + contact->n_direct;
    return has_next_number &&
           rp_ts_since(rp_loop_now(context->loop), contact->last_heartbeat_at) < interval_max_s;
}

/* A machine in a one-way partition appears healthy: occasionally a heartbeat arrives that shows
 * free capacity and a newer incarnation, but tasks that are started on the machine are lost. When
 * its next heartbeat to this node is due, its worker sends the heartbeat to another node. Until a
 * heartbeat shows that answers arrive, the machine gets no work; if no heartbeat shows that, the
 * machine is scaled in (cluster/release_policy.c). */
static void detect_one_way_partition(const struct rp_worker_context *context,
                                     struct rp_machine *machine,
                                     const struct rp_heartbeat *heartbeat) {
    struct timespec now = rp_loop_now(context->loop);
    struct timespec *lost_since = &machine->contact.answers_lost_since;
    bool is_first = machine->contact.incarnation == 0;
    bool was_partitioned = rp_machine_is_one_way_partitioned(machine);
    if (is_first || is_proof_that_answers_arrive(context, machine, heartbeat)) {
        if (was_partitioned && rp_ts_since(now, *lost_since) > ANSWER_TIMEOUT_S)
            rp_info("one-way partition ended: machine=%s", machine->name);
        *lost_since = (struct timespec){0};
    } else if (!was_partitioned) {
        *lost_since = now;
        rp_debug("one-way partition suspected: machine=%s", machine->name);
    }
}

/* ---- the list of tasks ---- */

/* A task that the newest heartbeat does not list is not on the machine: a start in an older answer
 * was dropped, because a worker has one heartbeat in flight and never executes an answer that it
 * has stopped waiting for (PROTOCOL, "Workers"). There are two exceptions. A start that was sent
 * directly may still arrive; only the response to its command, or a message that lists the task,
 * shows its outcome (docs/safety.md, "Direct commands"). A task that a newer response to a direct
 * command lists is on the machine even if an older heartbeat does not list it. */
static bool may_be_on_machine(const struct rp_allocation *allocation, uint64_t heartbeat_seq) {
    if (allocation->listed || allocation->state == RP_ALLOCATION_PLANNED ||
        allocation->seen_seq >= heartbeat_seq)
        return true;
    return allocation->state == RP_ALLOCATION_SENT &&
           (allocation->started_directly || allocation->sent_seq >= heartbeat_seq);
}

static void remove_missing(const struct rp_worker_context *context, struct rp_machine *machine,
                           uint64_t heartbeat_seq) {
    for (size_t i = machine->n_allocations; i-- > 0;)
        if (!may_be_on_machine(&machine->allocations[i], heartbeat_seq))
            rp_allocation_remove(context->cluster, machine, i);
}

/* Reads the list of a heartbeat that arrived after a newer response to a direct command. The list
 * is older than the cluster state, but it still shows which starts in the answers to earlier
 * heartbeats took effect. */
static void mark_listed(const struct rp_worker_context *context, const struct rp_machine *machine,
                        const struct rp_heartbeat *heartbeat) {
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        struct rp_allocation *allocation =
            rp_task_reader_find_allocation(context, machine, &heartbeat->tasks[i]);
        if (allocation)
            allocation->listed = true;
    }
}

static void read_tasks(struct rp_worker_context *context, struct rp_machine *machine,
                       const struct rp_heartbeat *heartbeat) {
    machine->contact.seq = heartbeat->seq;
    rp_machine_clear_unknown_tasks(context->cluster, machine);
    for (size_t i = 0; i < heartbeat->n_tasks; i++)
        rp_task_reader_read(context, machine, &heartbeat->tasks[i]);
}

static void record_heartbeat(const struct rp_worker_context *context, struct rp_machine *machine,
                             const struct rp_heartbeat *heartbeat) {
    struct rp_machine_contact *contact = &machine->contact;
    rp_machine_set_contact(context->cluster, machine, heartbeat->addr, heartbeat->incarnation);
    contact->heartbeat_seq = heartbeat->seq;
    contact->n_direct = 0;
    contact->last_heartbeat_at = contact->last_message_at = rp_loop_now(context->loop);
    contact->unreachable = contact->fenced_without_heartbeat = false;
    rp_machine_set_fencing_token_seen(context->cluster, machine,
                                      heartbeat->fencing_token == context->election->fencing_token);
    /* The worker's session began, and its last answered heartbeat was sent, before now: its lease
     * lasts no longer than from now on. Without this, the lease that this leader reckons has ended
     * already if the worker was answered before the machine was known, or has begun a new session,
     * and tasks that are started before this heartbeat is answered would be taken for ended. */
    if (contact->fencing_token_seen)
        rp_machine_extend_lease(context->cluster, machine, contact->last_heartbeat_at);
}

/* Whether the heartbeat may have been held up on its way: a worker sends the next one in time, and
 * the one before arrived longer ago than that. Its list may then be as old as the silence. */
static bool may_be_late(const struct rp_worker_context *context, const struct rp_machine *machine) {
    double interval_s = rp_ts_since(rp_loop_now(context->loop), machine->contact.last_message_at);
    return interval_s > context->settings->report_s * HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_DELAY_S;
}

void rp_heartbeat_read(struct rp_worker_context *context, struct rp_machine *machine,
                       const struct rp_heartbeat *heartbeat) {
    detect_one_way_partition(context, machine, heartbeat);
    /* A worker kills all its tasks before its next incarnation begins (PROTOCOL, "Leases"). */
    if (heartbeat->incarnation > machine->contact.incarnation && machine->contact.incarnation > 0)
        rp_machine_end_incarnation(context->cluster, machine);
    bool is_overtaken = heartbeat->incarnation == machine->contact.incarnation &&
                        heartbeat->seq < machine->contact.seq;
    bool is_new_description = !is_overtaken && !may_be_late(context, machine);
    record_heartbeat(context, machine, heartbeat);
    for (size_t i = 0; i < machine->n_allocations; i++)
        machine->allocations[i].listed = false;
    if (is_overtaken)
        mark_listed(context, machine, heartbeat);
    else
        read_tasks(context, machine, heartbeat);
    remove_missing(context, machine, heartbeat->seq);
    if (is_new_description)
        machine->contact.described_at = rp_loop_now(context->loop);
    if (heartbeat->has_notice)
        rp_spot_notice_apply(context, machine, heartbeat->notice_s);
    /* Only a heartbeat that shows this leader's fencing token proves that no start of an earlier
     * leader can still arrive (PROTOCOL, "Tokens"). Until then the machine may hold more tasks than
     * the heartbeat lists. */
    if (machine->contact.fencing_token_seen)
        rp_machine_on_heartbeat_proven(context->cluster, machine);
    rp_fleet_record_up(context->fleet, machine);
}

void rp_heartbeat_read_response(struct rp_worker_context *context, struct rp_machine *machine,
                                const struct rp_heartbeat *heartbeat,
                                struct timespec described_at) {
    machine->contact.last_message_at = rp_loop_now(context->loop);
    if (heartbeat->incarnation != machine->contact.incarnation ||
        heartbeat->seq <= machine->contact.seq)
        return;
    machine->contact.seq = heartbeat->seq;
    /* Tasks for which this leader has no allocation are read from heartbeats only. */
    for (size_t i = 0; i < heartbeat->n_tasks; i++)
        if (rp_task_reader_find_allocation(context, machine, &heartbeat->tasks[i]))
            rp_task_reader_read(context, machine, &heartbeat->tasks[i]);
    if (rp_ts_cmp(described_at, machine->contact.described_at) > 0)
        machine->contact.described_at = described_at;
}

void rp_heartbeat_read_results(struct rp_worker_context *context, const struct rp_machine *machine,
                               const struct rp_heartbeat *heartbeat) {
    if (heartbeat->incarnation < machine->contact.incarnation)
        return;
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        const struct rp_task_status *status = &heartbeat->tasks[i];
        bool is_done = status->state == RP_TASK_EXITED && status->exit_reason == RP_EXIT_DONE;
        struct rp_job *job = is_done ? rp_task_reader_find_job(context, status) : NULL;
        if (job)
            rp_jobs_on_task_done(context->jobs, job, status->task);
    }
}

size_t rp_heartbeat_n_live_allocations(const struct rp_machine *machine) {
    size_t n = 0;
    for (size_t i = 0; i < machine->n_allocations; i++)
        n += machine->allocations[i].state != RP_ALLOCATION_EXITED;
    return n;
}
