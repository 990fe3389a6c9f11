#include "worker/workers.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "protocol/codec.h"
#include "protocol/worker_codec.h"
#include "worker/command_batch.h"
#include "worker/heartbeat_reader.h"

/* Seconds from this leader's first answer to a machine that was provisioned before the failover. A
 * machine that receives the answers has shown this leader's fencing token within this time, which
 * covers two heartbeats and, between them, a worker's wait for an answer. */
#define TOKEN_TIMEOUT_S 8.0

/* ---- responses ---- */

/* Frees `body`. When `body` is NULL, "{}" is sent. */
static void respond(struct rp_request *req, int status, char *body) {
    req->respond(req, status, body ? body : "{}", 0);
    free(body);
}

static void refuse(struct rp_request *req, const char *reason) {
    respond(req, 503, rp_codec_write_error(reason));
}

static void redirect_to_leader(const struct rp_workers *workers, struct rp_request *req) {
    const struct rp_worker_context *context = &workers->context;
    const char *leader = rp_election_leader(context->election, rp_loop_now(context->loop));
    respond(req, 421, rp_worker_codec_write_leader_hint(leader));
}

/* Every answer renews the worker's lease and so lets its tasks continue to run. Only a leader whose
 * own lease is provably valid may answer, and only while it receives the cancellations of users in
 * time. */
static bool may_answer(const struct rp_workers *workers) {
    const struct rp_worker_context *context = &workers->context;
    return rp_election_is_valid(context->election, rp_loop_now(context->loop)) &&
           rp_jobs_may_answer_heartbeats(context->jobs);
}

/* The lease expiry that this function records is counted from `received_at`. The worker counts it
 * from the sending of its heartbeat, which is earlier (PROTOCOL, "Leases"). */
static void record_answer(const struct rp_worker_context *context, struct rp_machine *machine,
                          struct timespec received_at) {
    struct rp_machine_contact *contact = &machine->contact;
    struct timespec now = rp_loop_now(context->loop);
    rp_machine_extend_lease(context->cluster, machine, received_at);
    contact->last_answer_at = now;
    if (rp_ts_is_zero(contact->first_answer_at))
        contact->first_answer_at = now;
}

/* `machine` is NULL when the heartbeat's machine is not in the cluster state. */
static void answer(const struct rp_workers *workers, struct rp_request *req,
                   struct rp_machine *machine, const struct rp_command_batch *batch,
                   struct timespec received_at) {
    const struct rp_worker_context *context = &workers->context;
    if (!may_answer(workers)) {
        redirect_to_leader(workers, req);
        return;
    }
    if (machine && !rp_fleet_may_answer(context->fleet, machine)) {
        refuse(req, "answers to this machine are withheld for a moment");
        return;
    }
    if (machine)
        record_answer(context, machine, received_at);
    respond(req, 200,
            rp_worker_codec_write_heartbeat_response(context->election->fencing_token,
                                                     batch->commands, batch->n));
}

static void answer_without_commands(const struct rp_workers *workers, struct rp_request *req,
                                    struct rp_machine *machine, struct timespec received_at) {
    const struct rp_command_batch none = {0};
    answer(workers, req, machine, &none, received_at);
}

static void answer_with_commands(struct rp_workers *workers, struct rp_request *req,
                                 struct rp_machine *machine, struct timespec received_at) {
    struct rp_command_batch batch;
    rp_command_batch_init(&batch);
    rp_command_batch_add_for_answer(&batch, &workers->context, machine);
    answer(workers, req, machine, &batch, received_at);
    rp_command_batch_free(&batch);
}

/* ---- heartbeats that are not read as the machine's newest ---- */

/* Returns the heartbeat's machine; NULL when no record names the machine and the heartbeat does not
 * show this leader's fencing token. Such a heartbeat may be a copy, sent long ago by a machine that
 * has been terminated since; only this leader's token proves that the machine exists. */
static struct rp_machine *find_or_adopt_machine(const struct rp_workers *workers,
                                                const struct rp_heartbeat *heartbeat) {
    const struct rp_worker_context *context = &workers->context;
    struct rp_machine *machine = rp_machine_find(context->cluster, heartbeat->machine);
    if (!machine && heartbeat->fencing_token != context->election->fencing_token)
        return NULL;
    if (!machine) {
        /* No leader has ever started a task on a machine that no record names. */
        rp_info("machine without a stored record adopted: machine=%s", heartbeat->machine);
        machine = rp_machine_add(context->cluster, heartbeat->machine, RP_MACHINE_BOOTING);
    }
    rp_fleet_set_machine_kind(context->fleet, machine, heartbeat->type, heartbeat->zone,
                              heartbeat->spot);
    return machine;
}

static bool is_of_lost_incarnation(const struct rp_machine *machine,
                                   const struct rp_heartbeat *heartbeat) {
    return rp_machine_is_lost(machine) && machine->contact.lost_incarnation > 0 &&
           heartbeat->incarnation == machine->contact.lost_incarnation;
}

/* Whether the heartbeat may be of the lost incarnation, which has ended, or of the next one, which
 * cannot hold any task yet. Once the heartbeat shows this leader's fencing token, it is of the next
 * incarnation. If such heartbeats were refused like those of the lost incarnation, all machines
 * that were partitioned during a failover would be refused until they were scaled in. */
static bool may_be_of_lost_incarnation(const struct rp_workers *workers,
                                       const struct rp_machine *machine,
                                       const struct rp_heartbeat *heartbeat) {
    return rp_machine_is_lost(machine) &&
           heartbeat->fencing_token != workers->context.election->fencing_token;
}

/* Whether the heartbeat is a delayed copy, late by seconds or by many lease periods (PROTOCOL,
 * "Delayed messages"). */
static bool is_stale(const struct rp_machine *machine, const struct rp_heartbeat *heartbeat) {
    const struct rp_machine_contact *contact = &machine->contact;
    return heartbeat->incarnation < contact->incarnation ||
           (heartbeat->incarnation == contact->incarnation &&
            heartbeat->seq <= contact->heartbeat_seq);
}

/* A machine that may hold tasks of an earlier leader and does not show that answers reach it gets
 * no more answers, also while it is being released. Its lease then expires, and with the lease its
 * tasks end. Once the machine is lost (RP_MACHINE_LOST), it may become RP_MACHINE_UP again. */
static bool must_lease_expire(const struct rp_workers *workers, const struct rp_machine *machine) {
    struct timespec first_answer_at = machine->contact.first_answer_at;
    return !rp_machine_has_complete_task_list(machine) && !rp_ts_is_zero(first_answer_at) &&
           rp_ts_since(rp_loop_now(workers->context.loop), first_answer_at) > TOKEN_TIMEOUT_S;
}

/* Answers a heartbeat that must not be read as the machine's newest. Returns false, without an
 * answer, when the heartbeat may be read. */
static bool answer_if_outdated(struct rp_workers *workers, struct rp_request *req,
                               struct rp_machine *machine, const struct rp_heartbeat *heartbeat,
                               struct timespec received_at) {
    struct rp_worker_context *context = &workers->context;
    if (is_of_lost_incarnation(machine, heartbeat)) {
        rp_heartbeat_read_results(context, machine, heartbeat);
        refuse(req, "this session's lease has ended");
    } else if (may_be_of_lost_incarnation(workers, machine, heartbeat)) {
        rp_heartbeat_read_results(context, machine, heartbeat);
        answer_without_commands(workers, req, machine, received_at);
    } else if (is_stale(machine, heartbeat)) {
        /* A stale heartbeat proves nothing, and answering it renews no lease because no worker
         * waits for the answer. */
        context->counters.n_stale_heartbeats++;
        refuse(req, "a newer report is known");
    } else {
        return false;
    }
    return true;
}

/* ---- heartbeats ---- */

static void read_and_answer(struct rp_workers *workers, struct rp_request *req,
                            const struct rp_heartbeat *heartbeat) {
    struct rp_worker_context *context = &workers->context;
    struct rp_machine *machine = find_or_adopt_machine(workers, heartbeat);
    struct timespec received_at = rp_loop_now(context->loop);
    if (!machine) {
        answer_without_commands(workers, req, NULL, received_at);
        return;
    }
    if (answer_if_outdated(workers, req, machine, heartbeat, received_at))
        return;
    size_t n_live_before = rp_heartbeat_n_live_allocations(machine);
    bool was_up = machine->state == RP_MACHINE_UP;
    rp_heartbeat_read(context, machine, heartbeat);
    if (!machine->recorded)
        rp_fleet_adopt(context->fleet, machine);
    if (must_lease_expire(workers, machine)) {
        refuse(req, "no answer seems to reach this machine");
        return;
    }
    bool freed_capacity = !rp_machine_is_releasing(machine) &&
                          (rp_heartbeat_n_live_allocations(machine) < n_live_before || !was_up);
    if (freed_capacity && !rp_worker_notify_capacity_freed(context))
        rp_answer_queue_add(&workers->awaiting_cycle, req, machine, rp_loop_now(context->loop));
    else
        answer_with_commands(workers, req, machine, received_at);
}

/* Whether this node is expected to have the name of the leader soon; the leader may be this node
 * itself. */
static bool can_wait_for_leader(void *arg) {
    const struct rp_workers *workers = arg;
    const struct rp_election *election = workers->context.election;
    struct timespec now = rp_loop_now(workers->context.loop);
    bool is_expected = election->state == RP_ELECTION_HOLDING_KEY
                           ? rp_election_is_valid(election, now)
                           : !rp_election_leader(election, now);
    return !workers->is_leading && is_expected && rp_kv_failing_s(election->store) <= 0;
}

static void on_wait_for_leader_over(void *arg, struct rp_request *req) {
    struct rp_workers *workers = arg;
    if (workers->is_leading)
        rp_workers_on_heartbeat(workers, req);
    else
        redirect_to_leader(workers, req);
}

void rp_workers_on_heartbeat(struct rp_workers *workers, struct rp_request *req) {
    const struct rp_worker_context *context = &workers->context;
    if (can_wait_for_leader(workers)) {
        rp_heartbeat_queue_add(&workers->awaiting_leader, req);
        return;
    }
    if (!workers->is_leading || !may_answer(workers)) {
        redirect_to_leader(workers, req);
        return;
    }
    struct rp_heartbeat heartbeat;
    if (!rp_worker_codec_parse_heartbeat(req->body, req->len, &heartbeat)) {
        respond(req, 400, rp_codec_write_error("not a report"));
        return;
    }
    if (rp_fleet_is_terminated(context->fleet, heartbeat.machine)) {
        refuse(req, "this machine has been returned");
    } else if (heartbeat.fencing_token > context->election->fencing_token) {
        rp_election_verify(context->election);
        refuse(req, "a newer token is known");
    } else {
        read_and_answer(workers, req, &heartbeat);
    }
    rp_heartbeat_free(&heartbeat);
}

/* ---- answers that waited for a scheduling cycle ---- */

static void answer_pending(struct rp_workers *workers, const struct rp_pending_answer *pending) {
    struct rp_machine *machine = rp_machine_find(workers->context.cluster, pending->machine);
    /* A start carries the number of the heartbeat that it answers (docs/safety.md, "Where a task
     * may run"), so the heartbeat must still be the machine's newest. */
    bool is_newest = machine && machine->contact.incarnation == pending->incarnation &&
                     machine->contact.heartbeat_seq == pending->heartbeat_seq;
    if (!is_newest)
        refuse(pending->req, "a newer report is known");
    else if (rp_machine_is_lost(machine) || rp_machine_is_releasing(machine))
        refuse(pending->req, "this machine goes back");
    else
        answer_with_commands(workers, pending->req, machine, pending->received_at);
}

void rp_workers_answer_pending(struct rp_workers *workers) {
    struct rp_answer_queue queue = rp_answer_queue_take(&workers->awaiting_cycle);
    for (size_t i = 0; i < queue.n; i++) {
        if (workers->is_leading)
            answer_pending(workers, &queue.answers[i]);
        else
            redirect_to_leader(workers, queue.answers[i].req);
    }
    rp_answer_queue_clear(&queue);
}

/* ---- initialization and shutdown ---- */

void rp_workers_init(struct rp_workers *workers, const struct rp_worker_context *context) {
    memset(workers, 0, sizeof *workers);
    workers->context = *context;
    rp_heartbeat_queue_init(
        &workers->awaiting_leader, context->loop,
        (struct rp_heartbeat_queue_owner){.can_wait = can_wait_for_leader,
                                          .on_released = on_wait_for_leader_over,
                                          .arg = workers});
}

void rp_workers_close(struct rp_workers *workers) {
    rp_answer_queue_clear(&workers->awaiting_cycle);
    rp_heartbeat_queue_clear(&workers->awaiting_leader);
}
