#include "worker/workers.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "protocol/codec.h"
#include "protocol/worker_codec.h"
#include "worker/command_batch.h"
#include "worker/heartbeat_reader.h"

/* A machine from before the failover has shown our token so soon after our first answer, if answers
 * reach it: two heartbeats, and a worker's wait for an answer between them. */
#define TOKEN_TIMEOUT_S 8.0

/* ---- responses ---- */

/* Takes over `body`; NULL: "{}". */
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

/* Every answer renews a lease, and so lets what runs there run on: only a leader whose lease is
 * provable may give one, and only while it hears what users cancel. */
static bool may_answer(const struct rp_workers *workers) {
    const struct rp_worker_context *context = &workers->context;
    return rp_election_is_valid(context->election, rp_loop_now(context->loop)) &&
           rp_jobs_may_answer_heartbeats(context->jobs);
}

/* The worker reckons its lease from the sending of its heartbeat, which was before it was received
 * here (PROTOCOL, "Leases"). */
static void note_answer(const struct rp_worker_context *context, struct rp_machine *machine,
                        struct timespec received_at) {
    struct rp_machine_contact *contact = &machine->contact;
    struct timespec now = rp_loop_now(context->loop);
    struct timespec lease_expiry =
        rp_ts_after(received_at, rp_settings_worker_lease_s(context->settings));
    if (rp_ts_cmp(lease_expiry, contact->lease_expiry) > 0)
        contact->lease_expiry = lease_expiry;
    contact->last_answer_at = now;
    if (rp_ts_zero(contact->first_answer_at))
        contact->first_answer_at = now;
}

/* `machine` NULL: one that this leader doesn't know. */
static void answer(const struct rp_workers *workers, struct rp_request *req,
                   struct rp_machine *machine, const struct rp_command_batch *batch,
                   struct timespec received_at) {
    const struct rp_worker_context *context = &workers->context;
    if (!may_answer(workers)) {
        redirect_to_leader(workers, req);
        return;
    }
    if (machine)
        note_answer(context, machine, received_at);
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

/* ---- heartbeats that prove nothing, or not enough ---- */

/* NULL if no record names the machine and the heartbeat may be a copy of one sent long ago, by a
 * machine that is terminated: only one that shows our token proves that there is one. */
static struct rp_machine *find_or_adopt_machine(const struct rp_workers *workers,
                                                const struct rp_heartbeat *heartbeat) {
    const struct rp_worker_context *context = &workers->context;
    struct rp_machine *machine = rp_machine_find(context->cluster, heartbeat->machine);
    if (!machine && heartbeat->fencing_token != context->election->fencing_token)
        return NULL;
    if (!machine) {
        /* No record names it, so no leader has ever started anything on it. */
        rp_info("machine in no record adopted: machine=%s", heartbeat->machine);
        machine = rp_machine_add(context->cluster, heartbeat->machine, RP_MACHINE_BOOTING);
    }
    rp_fleet_set_machine_kind(context->fleet, machine, heartbeat->type, heartbeat->zone,
                              heartbeat->spot);
    return machine;
}

static bool is_of_lost_incarnation(const struct rp_machine *machine,
                                   const struct rp_heartbeat *heartbeat) {
    return machine->state == RP_MACHINE_LOST && machine->contact.lost_incarnation > 0 &&
           heartbeat->incarnation == machine->contact.lost_incarnation;
}

/* It may be of an incarnation that is over, or of the next one, of which nothing can be there. Once
 * it shows our token it is the next one's. (Taken for a heartbeat of the lost incarnation, the
 * heartbeats of all machines that were cut off during a failover were refused until they had been
 * scaled in.) */
static bool may_be_of_lost_incarnation(const struct rp_workers *workers,
                                       const struct rp_machine *machine,
                                       const struct rp_heartbeat *heartbeat) {
    return machine->state == RP_MACHINE_LOST &&
           heartbeat->fencing_token != workers->context.election->fencing_token;
}

/* A copy, late by seconds or by many leases (PROTOCOL, "Delayed messages"). */
static bool is_stale(const struct rp_machine *machine, const struct rp_heartbeat *heartbeat) {
    const struct rp_machine_contact *contact = &machine->contact;
    return heartbeat->incarnation < contact->incarnation ||
           (heartbeat->incarnation == contact->incarnation &&
            heartbeat->seq <= contact->heartbeat_seq);
}

/* A machine that may hold tasks of an earlier leader and shows no sign of our answers is answered
 * no more: so its lease ends, and with it what it holds. Once it is lost it may come back. */
static bool must_lease_expire(const struct rp_workers *workers, const struct rp_machine *machine) {
    struct timespec first_answer_at = machine->contact.first_answer_at;
    return machine->state == RP_MACHINE_UNRECONCILED && !rp_ts_zero(first_answer_at) &&
           rp_ts_since(rp_loop_now(workers->context.loop), first_answer_at) > TOKEN_TIMEOUT_S;
}

/* Answers a heartbeat that may not be read as the machine's newest; false if it may. */
static bool answer_unreadable(struct rp_workers *workers, struct rp_request *req,
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
        /* It proves nothing, and its answer renews no lease, for nobody waits for it. */
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
    if (answer_unreadable(workers, req, machine, heartbeat, received_at))
        return;
    size_t n_busy = rp_heartbeat_n_busy(machine);
    bool was_up = machine->state == RP_MACHINE_UP;
    rp_heartbeat_read(context, machine, heartbeat);
    if (!machine->recorded)
        rp_fleet_adopt(context->fleet, machine);
    if (must_lease_expire(workers, machine)) {
        refuse(req, "no answer seems to reach this machine");
        return;
    }
    bool freed_capacity = machine->state != RP_MACHINE_RELEASING &&
                          (rp_heartbeat_n_busy(machine) < n_busy || !was_up);
    if (freed_capacity && !rp_worker_notify_capacity_freed(context))
        rp_answer_queue_add(&workers->awaiting_cycle, req, machine, rp_loop_now(context->loop));
    else
        answer_with_commands(workers, req, machine, received_at);
}

/* Whether a leader will soon be known at this node, which may be itself. */
static bool can_wait_for_leader(void *arg) {
    const struct rp_workers *workers = arg;
    const struct rp_election *election = workers->context.election;
    struct timespec now = rp_loop_now(workers->context.loop);
    bool is_expected = election->state == RP_ELECTION_HOLDING_KEY
                           ? rp_election_is_valid(election, now)
                           : !rp_election_leader(election, now);
    return !workers->ready && is_expected && rp_kv_failing_s(election->store) <= 0;
}

static void on_wait_for_leader_over(void *arg, struct rp_request *req) {
    struct rp_workers *workers = arg;
    if (workers->ready)
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
    if (!workers->ready || !may_answer(workers)) {
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
     * may run"), so the heartbeat must still be the newest. */
    bool is_newest = machine && machine->contact.incarnation == pending->incarnation &&
                     machine->contact.heartbeat_seq == pending->heartbeat_seq;
    if (!is_newest)
        refuse(pending->req, "a newer report is known");
    else if (machine->state == RP_MACHINE_LOST || machine->state == RP_MACHINE_RELEASING)
        refuse(pending->req, "this machine goes back");
    else
        answer_with_commands(workers, pending->req, machine, pending->received_at);
}

void rp_workers_answer_pending(struct rp_workers *workers) {
    struct rp_answer_queue queue = rp_answer_queue_take(&workers->awaiting_cycle);
    for (size_t i = 0; i < queue.n; i++) {
        if (workers->ready)
            answer_pending(workers, &queue.answers[i]);
        else
            redirect_to_leader(workers, queue.answers[i].req);
    }
    rp_answer_queue_clear(&queue);
}

/* ---- life ---- */

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
