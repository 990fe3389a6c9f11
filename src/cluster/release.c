#include "cluster/release.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "protocol/cloud_codec.h"

/* Number of machines that one deletion call may name (PROTOCOL). */
#define MACHINES_PER_DELETE_MAX 100
/* Time after which the standbys have received the release of a machine, since they request changes
 * at shorter intervals than this. */
#define STANDBY_DELAY_S 0.4
/* Time from the start of a term in which machines are deleted without waiting for the standbys, so
 * that the releases of the previous leader are repeated at once. */
#define NEW_TERM_S 2.0

/* A call to the cloud that deletes machines. */
struct delete_call {
    struct rp_release *release;
    unsigned long generation;
    size_t n_names;
    char names[][RP_TEXT_MAX];
};

void rp_release_init(struct rp_release *release, struct rp_fleet_context *context,
                     struct rp_provisioning *provisioning) {
    *release = (struct rp_release){.context = context, .provisioning = provisioning};
}

void rp_release_clear(struct rp_release *release) {
    release->delete_in_flight = false;
}

/* The machine is certainly terminated, because the cloud has responded with 200 to its deletion. */
static void on_terminated(struct rp_release *release, struct rp_machine *machine) {
    struct rp_provision_request *request = machine->provision_request;
    release->n_released++;
    rp_capacity_refusals_remove(&release->provisioning->refusals, machine->type, machine->zone,
                                machine->spot);
    rp_tombstones_add(&release->context->tombstones, machine->name);
    rp_machine_remove(release->context->cluster, machine, RP_EVIDENCE_DELETION_CONFIRMED);
    if (request)
        rp_provisioning_on_machine_terminated(release->provisioning, request);
}

static void on_delete_response(void *arg, const struct rp_response *answer) {
    struct delete_call *call = arg;
    struct rp_release *release = call->release;
    bool is_deleted = answer->status == 200;
    if (call->generation != release->context->generation)
        goto out;
    release->delete_in_flight = false;
    rp_fleet_context_on_cloud_status(release->context, answer->status);
    for (size_t i = 0; i < call->n_names; i++) {
        struct rp_machine *machine = rp_machine_find(release->context->cluster, call->names[i]);
        if (!machine)
            continue;
        /* If the machine was not deleted, the next tick sends its deletion again. */
        machine->scale_in.delete_sent = false;
        if (is_deleted)
            on_terminated(release, machine);
    }
    if (is_deleted)
        rp_fleet_context_notify(release->context);
out:
    free(call);
}

/* Whether the standbys have received the machine's release. They must receive it before the cloud
 * does: otherwise a new leader would have to assume for seconds that the terminated machine may
 * hold tasks. */
static bool has_reached_standbys(const struct rp_fleet_context *context,
                                 const struct rp_machine *machine, struct timespec now) {
    return !context->settings->tuning.standby ||
           rp_ts_since(now, machine->scale_in.since) > STANDBY_DELAY_S ||
           rp_ts_since(now, context->led_since) < NEW_TERM_S;
}

static bool may_delete(const struct rp_fleet_context *context, const struct rp_machine *machine,
                       struct timespec now) {
    return rp_machine_is_releasing(machine) && !machine->scale_in.delete_sent &&
           has_reached_standbys(context, machine, now);
}

static struct delete_call *delete_call_new(struct rp_release *release, const char *const *names,
                                           size_t n_names) {
    struct delete_call *call = rp_alloc(1, sizeof *call + n_names * sizeof *call->names);
    call->release = release;
    call->generation = release->context->generation;
    call->n_names = n_names;
    for (size_t i = 0; i < n_names; i++)
        rp_string_copy(call->names[i], sizeof call->names[i], names[i]);
    return call;
}

void rp_release_step(struct rp_release *release) {
    const struct rp_fleet_context *context = release->context;
    const char *names[MACHINES_PER_DELETE_MAX];
    struct timespec now = rp_loop_now(context->loop);
    size_t n = 0;
    if (release->delete_in_flight || !rp_election_is_valid(context->election, now))
        return;
    for (struct rp_machine *machine = context->cluster->first;
         machine && n < MACHINES_PER_DELETE_MAX; machine = machine->next)
        if (may_delete(context, machine, now)) {
            machine->scale_in.delete_sent = true;
            names[n++] = machine->name;
        }
    if (n == 0)
        return;
    release->delete_in_flight = true;
    rp_cloud_call(context->cloud, RP_CLOUD_URGENT, "POST", RP_PATH_RELEASE,
                  rp_cloud_codec_write_release(names, n), on_delete_response,
                  delete_call_new(release, names, n));
}

void rp_release_machine(struct rp_release *release, struct rp_machine *machine,
                        const char *reason) {
    const struct rp_fleet_context *context = release->context;
    if (rp_machine_is_releasing(machine))
        return;
    rp_info("machine released: machine=%s reason=%s age_s=%.0f", machine->name, reason,
            rp_ts_since(rp_loop_now(context->loop), machine->requested_at));
    rp_machine_begin_release(context->cluster, machine);
    rp_release_step(release);
}
