#include "worker/direct_commands.h"

#include <stdlib.h>
#include "base/memory.h"
#include "protocol/worker_codec.h"
#include "worker/command_batch.h"
#include "worker/direct_call.h"
#include "worker/heartbeat_reader.h"

/* Seconds to wait for the response to a direct command. */
#define RESPONSE_TIMEOUT_S 1.0
/* The number of exited attempts, started directly, at which a machine gets no more direct starts.
 * Such attempts are not forgotten before the end of the term, and a worker's heartbeats, of 64 KiB
 * (PROTOCOL), must be able to list them. */
#define DIRECT_ATTEMPTS_MAX 192

/* A message of direct commands in flight to a machine, with the attempts that it starts. */
struct direct_message {
    struct rp_direct_call call;
    uint64_t *attempts;
    size_t n_attempts;
};

static struct direct_message *message_new(struct rp_worker_context *context,
                                          const struct rp_machine *machine,
                                          const struct rp_command_batch *batch) {
    struct direct_message *message = rp_alloc(1, sizeof *message);
    message->call = rp_direct_call_to(context, machine);
    message->attempts = rp_alloc(batch->n, sizeof *message->attempts);
    for (size_t i = 0; i < batch->n; i++)
        if (batch->commands[i].kind == RP_COMMAND_START)
            message->attempts[message->n_attempts++] = batch->commands[i].attempt;
    return message;
}

static void message_free(struct direct_message *message) {
    free(message->attempts);
    free(message);
}

static bool has_attempt(const struct direct_message *message, uint64_t attempt) {
    for (size_t i = 0; i < message->n_attempts; i++)
        if (message->attempts[i] == attempt)
            return true;
    return false;
}

/* Marks the message's starts as no longer pending. Starts that were refused or never sent cannot
 * arrive any more and are removed. Executed starts are listed, in this response or in a newer
 * heartbeat that was received before it. Without a response, the starts may still arrive. */
static void end_starts(const struct direct_message *message, struct rp_machine *machine,
                       enum rp_direct_outcome outcome) {
    bool is_void = outcome == RP_DIRECT_REFUSED || outcome == RP_DIRECT_UNSENT;
    for (size_t i = machine->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (!has_attempt(message, allocation->attempt))
            continue;
        allocation->direct_start_pending = false;
        if (allocation->state == RP_ALLOCATION_SENT && is_void)
            rp_allocation_remove(message->call.context->cluster, machine, i);
    }
}

static void on_direct_response(void *arg, const struct rp_response *response) {
    struct direct_message *message = arg;
    struct rp_worker_context *context = message->call.context;
    struct rp_machine *machine = rp_direct_call_find_incarnation(&message->call);
    if (!machine)
        goto out;
    struct rp_heartbeat heartbeat;
    enum rp_direct_outcome outcome = rp_direct_call_read(response, &heartbeat);
    size_t n_live_before = rp_heartbeat_n_live_allocations(machine);
    if (outcome == RP_DIRECT_EXECUTED || outcome == RP_DIRECT_REFUSED) {
        if (heartbeat.fencing_token > context->election->fencing_token)
            rp_election_verify(context->election);
        rp_heartbeat_read_response(context, machine, &heartbeat, rp_loop_now(context->loop));
    } else {
        context->counters.n_direct_unanswered++;
    }
    rp_heartbeat_free(&heartbeat);
    end_starts(message, machine, outcome);
    machine->contact.unreachable = outcome == RP_DIRECT_UNSENT;
    /* The starts planned for an unreachable machine can be planned on other machines. */
    if (rp_heartbeat_n_live_allocations(machine) < n_live_before || outcome == RP_DIRECT_UNSENT)
        rp_worker_notify_capacity_freed(context);
out:
    message_free(message);
}

static void send_batch(struct rp_worker_context *context, struct rp_machine *machine,
                       const struct rp_command_batch *batch) {
    struct direct_message *message = message_new(context, machine, batch);
    char *body = rp_worker_codec_write_direct_commands(
        message->call.fencing_token, message->call.incarnation, batch->commands, batch->n);
    machine->contact.n_direct++;
    context->counters.n_direct_commands++;
    context->net.call_on_own_connection(context->net.ctx, machine->addr, "POST", RP_PATH_DIRECT,
                                        body, RESPONSE_TIMEOUT_S, on_direct_response, message);
    free(body);
}

static bool can_send(const struct rp_worker_context *context, const struct rp_machine *machine) {
    return rp_machine_is_usable(machine) && *machine->addr &&
           !rp_direct_commands_is_attempt_limit_reached(machine) &&
           rp_election_is_valid(context->election, rp_loop_now(context->loop));
}

void rp_direct_commands_send(struct rp_worker_context *context, struct rp_machine *machine) {
    if (!can_send(context, machine))
        return;
    struct rp_command_batch batch;
    rp_command_batch_init(&batch);
    rp_command_batch_add_direct(&batch, context, machine);
    if (batch.n > 0)
        send_batch(context, machine, &batch);
    rp_command_batch_free(&batch);
}

static bool has_planned_starts(const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].state == RP_ALLOCATION_PLANNED)
            return true;
    return false;
}

void rp_direct_commands_send_fenced(struct rp_worker_context *context) {
    struct rp_machine *machine = context->cluster->first;
    for (; machine && context->n_direct_array_starts_left > 0; machine = machine->next)
        if (machine->contact.fenced_without_heartbeat && has_planned_starts(machine))
            rp_direct_commands_send(context, machine);
}

bool rp_direct_commands_is_attempt_limit_reached(const struct rp_machine *machine) {
    size_t n = 0;
    for (size_t i = 0; i < machine->n_allocations; i++)
        n += machine->allocations[i].state == RP_ALLOCATION_EXITED &&
             machine->allocations[i].started_directly;
    return n >= DIRECT_ATTEMPTS_MAX;
}
