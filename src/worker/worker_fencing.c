#include "worker/worker_fencing.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "protocol/worker_codec.h"
#include "worker/command_batch.h"
#include "worker/direct_call.h"
#include "worker/heartbeat_reader.h"

/* Seconds to wait for the response to a direct command. */
#define RESPONSE_TIMEOUT_S 1.0
/* The maximum number of direct commands that are sent to a machine: two until the command names the
 * current incarnation, one with the stops of tasks whose jobs have ended, and one with the forget
 * commands. */
#define COMMANDS_SENT_MAX 4

/* The fencing of one machine, in progress. */
struct fencing {
    struct rp_direct_call call;
    char addr[RP_TEXT_MAX];
    unsigned n_sent;
    rp_worker_fenced_fn on_fenced;
    void *arg;
};

static void on_fence_response(void *arg, const struct rp_response *response);

static void end_fencing(struct fencing *fencing, bool fenced) {
    rp_worker_fenced_fn on_fenced = fencing->on_fenced;
    void *arg = fencing->arg;
    rp_debug("fencing a worker ended: machine=%s fenced=%d", fencing->call.machine, fenced);
    free(fencing);
    on_fenced(arg, fenced);
}

/* Sends the direct command that shows this leader's fencing token. To a machine that has already
 * shown the token, it carries the stops of tasks whose jobs have ended: until these tasks have
 * exited, the capacity that they use is not available to any other task. */
static void send_command(struct fencing *fencing, const struct rp_machine *machine) {
    const struct rp_worker_context *context = fencing->call.context;
    struct rp_command_batch batch;
    rp_command_batch_init(&batch);
    if (machine->contact.fenced_without_heartbeat)
        rp_command_batch_add_unknown_tasks(&batch, machine);
    char *body = rp_worker_codec_write_direct_commands(
        fencing->call.fencing_token, fencing->call.incarnation, batch.commands, batch.n);
    fencing->n_sent++;
    context->net.call_on_own_connection(context->net.ctx, fencing->addr, "POST", RP_PATH_DIRECT,
                                        body, RESPONSE_TIMEOUT_S, on_fence_response, fencing);
    free(body);
    rp_command_batch_free(&batch);
}

static bool is_newer(const struct rp_machine_contact *contact,
                     const struct rp_heartbeat *heartbeat) {
    return heartbeat->incarnation > contact->incarnation ||
           (heartbeat->incarnation == contact->incarnation && heartbeat->seq > contact->seq);
}

/* Reads the response as a heartbeat. The machine shows this leader's fencing token after the
 * command: it can accept no start of an earlier leader any more, so its list of tasks is complete.
 * Its lease was last renewed by a heartbeat that it sent before now. A response that is newer than
 * any heartbeat so far counts as one: heartbeats that were sent before it are refused, and the
 * worker sends its heartbeat again. Returns whether the response was read as a heartbeat. */
static bool read_as_heartbeat(struct rp_worker_context *context, struct rp_machine *machine,
                              const struct rp_heartbeat *heartbeat) {
    bool is_first = machine->state == RP_MACHINE_UNRECONCILED;
    bool may_count = is_first || machine->contact.fenced_without_heartbeat;
    if (heartbeat->fencing_token != context->election->fencing_token || !may_count ||
        !is_newer(&machine->contact, heartbeat))
        return false;
    if (is_first) {
        rp_fleet_set_machine_kind(context->fleet, machine, heartbeat->type, heartbeat->zone,
                                  heartbeat->spot);
        machine->contact.lease_expiry =
            rp_ts_after(rp_loop_now(context->loop), rp_settings_worker_lease_s(context->settings));
    }
    rp_heartbeat_read(context, machine, heartbeat);
    machine->contact.fenced_without_heartbeat = true;
    return true;
}

/* The effect of a response on the fencing. */
struct fencing_progress {
    bool fenced; /* the response counts as a heartbeat, so that the machine is fenced */
    bool resend; /* another direct command must be sent to the machine */
};

static struct fencing_progress read_response(struct fencing *fencing, struct rp_machine *machine,
                                             enum rp_direct_outcome outcome,
                                             const struct rp_heartbeat *heartbeat) {
    struct rp_worker_context *context = fencing->call.context;
    struct fencing_progress progress = {0};
    /* Addresses are reused: another machine may have responded. */
    bool is_same = strcmp(heartbeat->machine, fencing->call.machine) == 0;
    if (is_same && heartbeat->fencing_token > fencing->call.fencing_token)
        rp_election_verify(context->election);
    progress.fenced =
        is_same && outcome == RP_DIRECT_EXECUTED && read_as_heartbeat(context, machine, heartbeat);
    /* A response that is not read as a heartbeat took a sequence number after the newest one's. */
    if (!progress.fenced)
        machine->contact.n_direct++;
    bool was_other_incarnation = is_same && outcome == RP_DIRECT_REFUSED &&
                                 heartbeat->incarnation != fencing->call.incarnation;
    progress.resend =
        was_other_incarnation || (progress.fenced && machine->n_unknown_not_exited > 0);
    fencing->call.incarnation = heartbeat->incarnation;
    return progress;
}

static void on_fence_response(void *arg, const struct rp_response *response) {
    struct fencing *fencing = arg;
    struct rp_machine *machine = rp_direct_call_find_machine(&fencing->call);
    struct fencing_progress progress = {0};
    struct rp_heartbeat heartbeat;
    enum rp_direct_outcome outcome = rp_direct_call_read(response, &heartbeat);
    if (machine && (outcome == RP_DIRECT_EXECUTED || outcome == RP_DIRECT_REFUSED))
        progress = read_response(fencing, machine, outcome, &heartbeat);
    rp_heartbeat_free(&heartbeat);
    if (progress.fenced)
        rp_worker_notify_capacity_freed(fencing->call.context);
    if (progress.resend && fencing->n_sent < COMMANDS_SENT_MAX)
        send_command(fencing, machine);
    else
        end_fencing(fencing, machine && machine->contact.fenced_without_heartbeat);
}

void rp_worker_fence(struct rp_worker_context *context, struct rp_machine *machine,
                     const char *addr, uint64_t incarnation, rp_worker_fenced_fn on_fenced,
                     void *arg) {
    struct fencing *fencing = rp_alloc(1, sizeof *fencing);
    fencing->call = rp_direct_call_to(context, machine);
    fencing->call.incarnation = incarnation;
    rp_string_copy(fencing->addr, sizeof fencing->addr, addr);
    fencing->on_fenced = on_fenced;
    fencing->arg = arg;
    send_command(fencing, machine);
}
