#include "worker/probes.h"

#include <stdlib.h>
#include "base/memory.h"
#include "protocol/worker_codec.h"
#include "worker/direct_call.h"
#include "worker/heartbeat_reader.h"

/* Seconds to wait for the response to a probe. */
#define RESPONSE_TIMEOUT_S 0.7

static void on_probe_response(void *arg, const struct rp_response *response) {
    struct rp_direct_call *call = arg;
    struct rp_machine *machine = rp_direct_call_find_incarnation(call);
    if (!machine)
        goto out;
    struct rp_heartbeat heartbeat;
    bool answered = rp_direct_call_read(response, &heartbeat) == RP_DIRECT_EXECUTED;
    machine->contact.probing = false;
    machine->contact.n_probes_failed = answered ? 0 : machine->contact.n_probes_failed + 1;
    if (answered)
        rp_heartbeat_read_response(call->context, machine, &heartbeat, call->sent_at);
    rp_heartbeat_free(&heartbeat);
out:
    free(call);
}

void rp_probe_send(struct rp_worker_context *context, struct rp_machine *machine) {
    if (machine->contact.probing || !*machine->addr)
        return;
    struct rp_direct_call *call = rp_alloc(1, sizeof *call);
    *call = rp_direct_call_to(context, machine);
    machine->contact.probing = true;
    machine->contact.probed_at = rp_loop_now(context->loop);
    machine->contact.n_direct++; /* the response takes a sequence number, too */
    context->net.call_on_own_connection(context->net.ctx, machine->addr, "GET", RP_PATH_PROBE, NULL,
                                        RESPONSE_TIMEOUT_S, on_probe_response, call);
}
