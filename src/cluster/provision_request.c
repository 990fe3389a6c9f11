#include "cluster/provision_request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/memory.h"
#include "base/string_copy.h"

struct rp_provision_request *rp_provision_request_find(const struct rp_provision_requests *requests,
                                                       const char *name) {
    struct rp_provision_request *request = requests->first;
    while (request && strcmp(request->name, name) != 0)
        request = request->next;
    return request;
}

struct rp_provision_request *rp_provision_request_add(struct rp_provision_requests *requests,
                                                      const char *name) {
    struct rp_provision_request *request = rp_alloc(1, sizeof *request);
    snprintf(request->name, sizeof request->name, "%s", name);
    request->revision_known = true;
    LL_PREPEND(requests->first, request);
    return request;
}

void rp_provision_request_remove(struct rp_provision_requests *requests,
                                 struct rp_provision_request *request) {
    LL_DELETE(requests->first, request);
    free(request->moved_names);
    free(request);
}

void rp_provision_request_new_name(struct rp_provision_requests *requests, const char *prefix,
                                   uint64_t fencing_token, char name[RP_TEXT_MAX]) {
    snprintf(name, RP_TEXT_MAX, "%s-%llu-%lu", prefix, (unsigned long long)fencing_token,
             ++requests->n_named);
}

static void mark_machines_recorded(const struct rp_fleet_context *context,
                                   const struct rp_provision_request *request) {
    for (struct rp_machine *machine = context->cluster->first; machine; machine = machine->next)
        if (machine->provision_request == request)
            machine->recorded = true;
}

/* The edges:
 * - (new) -> RECORDING_INTENT: machines are required (rp_scale_out);
 * - RECORDING_INTENT -> REQUESTING: the record is durable, so that the next leader can repeat the
 *   request under its name;
 * - (new) -> REQUESTING: a record without names was loaded; the cloud may have carried the request
 *   out;
 * - REQUESTING -> RECORDING_NAMES: the cloud has responded with the machines' names;
 * - REQUESTING -> ENDED: the cloud has refused or rejected the request, or provided no machine;
 * - (new) -> RECORDING_NAMES: a machine that no record names is adopted, or a record was split and
 *   this request takes over half of its machines;
 * - RECORDING_NAMES -> LIVE: the names are durable; tasks may be started on machines that are up;
 * - (new) -> LIVE: a record with names was loaded;
 * - LIVE -> ENDED: after the load, every machine of the record belongs to another loaded record;
 * - RECORDING_NAMES, LIVE -> ENDED: the request's last machine has been terminated;
 * - ENDED -> (freed): the record has been deleted, or none was written. */
void rp_provision_request_set_state(const struct rp_fleet_context *context,
                                    struct rp_provision_request *request,
                                    enum rp_provision_state state) {
    request->state = state;
    request->retry_at = (struct timespec){0};
    if (state != RP_PROVISION_LIVE)
        return;
    mark_machines_recorded(context, request);
    rp_fleet_context_notify(context);
}

void rp_provision_request_retry_after(const struct rp_fleet_context *context,
                                      struct rp_provision_request *request, double delay_s) {
    request->retry_at = rp_ts_after(rp_loop_now(context->loop), delay_s);
}

bool rp_provision_request_has_machines(const struct rp_fleet_context *context,
                                       const struct rp_provision_request *request) {
    for (const struct rp_machine *machine = context->cluster->first; machine;
         machine = machine->next)
        if (machine->provision_request == request)
            return true;
    return false;
}

void rp_provision_request_move_machines(const struct rp_fleet_context *context,
                                        struct rp_provision_request *request,
                                        struct rp_provision_request *second, size_t n_kept) {
    size_t n = 0;
    for (struct rp_machine *machine = context->cluster->first; machine; machine = machine->next) {
        if (machine->provision_request != request || n++ < n_kept)
            continue;
        machine->provision_request = second;
        rp_provision_request_add_moved_name(request, machine);
    }
}

void rp_provision_request_add_moved_name(struct rp_provision_request *request,
                                         struct rp_machine *machine) {
    request->moved_names =
        rp_realloc(request->moved_names, request->n_moved_names + 1, sizeof *request->moved_names);
    rp_string_copy(request->moved_names[request->n_moved_names++], RP_TEXT_MAX, machine->name);
    machine->n_stale_records++;
    request->is_dirty = true;
}

void rp_provision_request_clear_moved_names(const struct rp_fleet_context *context,
                                            struct rp_provision_request *request) {
    for (size_t i = 0; i < request->n_moved_names; i++) {
        struct rp_machine *machine = rp_machine_find(context->cluster, request->moved_names[i]);
        if (!machine || machine->n_stale_records == 0)
            continue; /* the machine has been terminated */
        machine->n_stale_records--;
        bool can_be_marked = !machine->up_recorded && rp_provision_request_marks_up(machine);
        if (can_be_marked && machine->provision_request)
            machine->provision_request->is_dirty = true;
    }
    free(request->moved_names);
    request->moved_names = NULL;
    request->n_moved_names = 0;
}

bool rp_provision_request_marks_up(const struct rp_machine *machine) {
    bool has_reported = machine->contact.incarnation > 0;
    return machine->up_recorded || (has_reported && machine->n_stale_records == 0);
}
