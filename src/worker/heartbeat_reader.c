#include "worker/heartbeat_reader.h"

#include <math.h>
#include "base/log.h"
#include "worker/spot_notice.h"
#include "worker/task_reader.h"

/* A worker waits so long for an answer, then it goes to another node (PROTOCOL, "Workers"). */
#define ANSWER_TIMEOUT_S 4.0
/* Heartbeats are report_s apart, give or take a quarter (PROTOCOL, "Workers"). */
#define HEARTBEAT_INTERVAL_FACTOR 1.25
/* For the difference of two heartbeats' times on their way. */
#define HEARTBEAT_DELAY_S 0.75

/* ---- one-way partitions: heartbeats arrive, but our answers don't get there ---- */

/* A worker that got an answer stays with this node and sends its next heartbeat with the next
 * number within the time that it would have waited. Responses to direct commands have numbers of
 * their own in between. */
static bool shows_that_answers_arrive(const struct rp_worker_context *context,
                                      const struct rp_machine *machine,
                                      const struct rp_heartbeat *heartbeat) {
    const struct rp_machine_contact *contact = &machine->contact;
    /* Where report_s is 4 s, every second heartbeat of a good machine came later than 4 s after the
     * one before, and a quarter of a large fleet stood idle as partitioned. A worker that got no
     * answer asks another node first: by then 6 s are over. */
    double interval_max_s =
        fmax(ANSWER_TIMEOUT_S,
             context->settings->report_s * HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_DELAY_S);
    bool has_next_number = heartbeat->incarnation == contact->incarnation &&
                           heartbeat->seq > contact->heartbeat_seq &&
                           heartbeat->seq <= contact->heartbeat_seq + 1 + contact->n_direct;
    return has_next_number &&
           rp_ts_since(rp_loop_now(context->loop), contact->last_heartbeat) < interval_max_s;
}

/* Behind a one-way partition a machine looks like a good one: now and then a heartbeat comes, with
 * capacity and a newer incarnation, and what is started on it vanishes. Such a worker is at another
 * node when its next heartbeat is due here. Until a heartbeat shows that answers arrive, the
 * machine gets no work, and in the end it is scaled in (cluster/release_policy.c). */
static void detect_one_way_partition(const struct rp_worker_context *context,
                                     struct rp_machine *machine,
                                     const struct rp_heartbeat *heartbeat) {
    struct timespec now = rp_loop_now(context->loop);
    struct timespec *lost_since = &machine->contact.answers_lost_since;
    bool is_first = machine->contact.incarnation == 0;
    bool was_partitioned = rp_machine_is_one_way_partitioned(machine);
    if (is_first || shows_that_answers_arrive(context, machine, heartbeat)) {
        if (was_partitioned && rp_ts_since(now, *lost_since) > ANSWER_TIMEOUT_S)
            rp_info("one-way partition ended: machine=%s", machine->name);
        *lost_since = (struct timespec){0};
    } else if (!was_partitioned) {
        *lost_since = now;
        rp_debug("one-way partition suspected: machine=%s", machine->name);
    }
}

/* ---- the list of tasks ---- */

/* What the newest heartbeat doesn't list is not there: a start in an older answer was dropped,
 * since a worker has one heartbeat in flight and never executes an answer it has stopped waiting
 * for (PROTOCOL, "Workers"). A start sent directly may still arrive: only the response to its
 * command, or being listed, tells what became of it (docs/safety.md, "Direct commands"); and what a
 * newer response to a direct command has listed is there, whatever an older heartbeat says. */
static bool may_be_there(const struct rp_allocation *allocation, uint64_t heartbeat_seq) {
    if (allocation->listed || allocation->state == RP_ALLOCATION_PLANNED ||
        allocation->seen_seq >= heartbeat_seq)
        return true;
    return allocation->state == RP_ALLOCATION_SENT &&
           (allocation->started_directly || allocation->sent_seq >= heartbeat_seq);
}

static void remove_missing(const struct rp_worker_context *context, struct rp_machine *machine,
                           uint64_t heartbeat_seq) {
    for (size_t i = machine->n_allocations; i-- > 0;)
        if (!may_be_there(&machine->allocations[i], heartbeat_seq))
            rp_allocation_remove(context->cluster, machine, i);
}

/* For a heartbeat that was on its way while a response to a direct command came: what it lists is
 * older than what is known; it still tells what became of starts in earlier heartbeats' answers. */
static void mark_listed(const struct rp_worker_context *context, const struct rp_machine *machine,
                        const struct rp_heartbeat *heartbeat) {
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        struct rp_allocation *allocation =
            rp_task_reader_find(context, machine, &heartbeat->tasks[i]);
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

static void note_heartbeat(const struct rp_worker_context *context, struct rp_machine *machine,
                           const struct rp_heartbeat *heartbeat) {
    struct rp_machine_contact *contact = &machine->contact;
    rp_machine_note_contact(context->cluster, machine, heartbeat->addr, heartbeat->incarnation);
    contact->heartbeat_seq = heartbeat->seq;
    contact->n_direct = 0;
    contact->last_heartbeat = contact->last_heard = rp_loop_now(context->loop);
    contact->unreachable = contact->known_by_fencing_only = false;
    rp_machine_note_fencing_token(context->cluster, machine,
                                  heartbeat->fencing_token == context->election->fencing_token);
}

void rp_heartbeat_read(struct rp_worker_context *context, struct rp_machine *machine,
                       const struct rp_heartbeat *heartbeat) {
    detect_one_way_partition(context, machine, heartbeat);
    /* A worker kills all its tasks before its next incarnation (PROTOCOL, "Leases"). */
    if (heartbeat->incarnation > machine->contact.incarnation && machine->contact.incarnation > 0)
        rp_machine_end_incarnation(context->cluster, machine);
    bool overtaken = heartbeat->incarnation == machine->contact.incarnation &&
                     heartbeat->seq < machine->contact.seq;
    note_heartbeat(context, machine, heartbeat);
    for (size_t i = 0; i < machine->n_allocations; i++)
        machine->allocations[i].listed = false;
    if (overtaken)
        mark_listed(context, machine, heartbeat);
    else
        read_tasks(context, machine, heartbeat);
    remove_missing(context, machine, heartbeat->seq);
    if (heartbeat->has_notice)
        rp_spot_notice_apply(context, machine, heartbeat->notice_s);
    /* Only a heartbeat that shows our token proves that no start of an earlier leader is still on
     * its way (PROTOCOL, "Tokens"); until then the machine may hold more than it says. */
    if (machine->state != RP_MACHINE_RELEASING && machine->contact.fencing_token_seen)
        rp_machine_set_state(context->cluster, machine, RP_MACHINE_UP);
    rp_fleet_record_up(context->fleet, machine);
}

void rp_heartbeat_read_response(struct rp_worker_context *context, struct rp_machine *machine,
                                const struct rp_heartbeat *heartbeat) {
    machine->contact.last_heard = rp_loop_now(context->loop);
    if (heartbeat->incarnation != machine->contact.incarnation ||
        heartbeat->seq <= machine->contact.seq)
        return;
    machine->contact.seq = heartbeat->seq;
    /* What this leader hasn't started, heartbeats tell of. */
    for (size_t i = 0; i < heartbeat->n_tasks; i++)
        if (rp_task_reader_find(context, machine, &heartbeat->tasks[i]))
            rp_task_reader_read(context, machine, &heartbeat->tasks[i]);
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

size_t rp_heartbeat_n_busy(const struct rp_machine *machine) {
    size_t n = 0;
    for (size_t i = 0; i < machine->n_allocations; i++)
        n += machine->allocations[i].state != RP_ALLOCATION_EXITED;
    return n;
}
