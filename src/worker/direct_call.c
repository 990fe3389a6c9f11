#include "worker/direct_call.h"

#include <string.h>
#include "base/string_copy.h"
#include "protocol/worker_codec.h"

struct rp_direct_call rp_direct_call_to(struct rp_worker_context *context,
                                        const struct rp_machine *machine) {
    struct rp_direct_call call = {.context = context,
                                  .fencing_token = context->election->fencing_token,
                                  .incarnation = machine->contact.incarnation,
                                  .sent_at = rp_loop_now(context->loop)};
    rp_string_copy(call.machine, sizeof call.machine, machine->name);
    return call;
}

struct rp_machine *rp_direct_call_find_machine(const struct rp_direct_call *call) {
    const struct rp_worker_context *context = call->context;
    return context->election->fencing_token == call->fencing_token
               ? rp_machine_find(context->cluster, call->machine)
               : NULL;
}

struct rp_machine *rp_direct_call_find_incarnation(const struct rp_direct_call *call) {
    struct rp_machine *machine = rp_direct_call_find_machine(call);
    return machine && machine->contact.incarnation == call->incarnation ? machine : NULL;
}

enum rp_direct_outcome rp_direct_call_read(const struct rp_response *response,
                                           struct rp_heartbeat *heartbeat) {
    memset(heartbeat, 0, sizeof *heartbeat);
    if (response->unsent)
        return RP_DIRECT_UNSENT;
    bool has_list = response->status == 200 || response->status == 409;
    if (!has_list || !rp_worker_codec_parse_heartbeat(response->body, response->len, heartbeat))
        return RP_DIRECT_UNKNOWN;
    return response->status == 200 ? RP_DIRECT_EXECUTED : RP_DIRECT_REFUSED;
}
