#include "cluster/provision_loading.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"

/* Number of records requested from the store in one page. */
#define RECORDS_PER_PAGE 1000

struct load_call {
    struct rp_provisioning *provisioning;
    unsigned long generation;
    rp_provision_loaded_fn on_loaded;
    void *arg;
};

/* The age of the request in seconds, by the real-time clock; never negative. In virtual mode there
 * is no real time, and the age is 0. */
static double request_age_s(const struct rp_fleet_context *context,
                            const struct rp_provision_record *record) {
    struct timespec wall;
    clock_gettime(CLOCK_REALTIME, &wall);
    double age_s = context->loop->is_virtual ? 0 : rp_ts_since(wall, record->requested_at);
    return age_s > 0 ? age_s : 0;
}

/* The latest instant at which a worker's lease renewed by an earlier leader can expire. No earlier
 * leader can have answered a machine after this node acquired the leader's key or, if that leader
 * was fenced, after the expiry of the leadership that it had renewed. */
static struct timespec earlier_leaders_lease_expiry(const struct rp_fleet_context *context) {
    struct timespec now = rp_loop_now(context->loop);
    struct timespec fenced_leader_expiry = context->election->fenced_leader_expiry;
    struct timespec last_answer_at =
        rp_ts_cmp(fenced_leader_expiry, now) > 0 ? fenced_leader_expiry : now;
    return rp_ts_after(last_answer_at, rp_settings_worker_lease_s(context->settings));
}

/* Adds a machine that a record names. No leader starts a task on a machine before every record that
 * names it marks it as up, so a machine that is not marked by any record holds no task. */
static void load_machine(const struct rp_fleet_context *context,
                         struct rp_provision_request *request, const char *name, bool is_up,
                         double age_s) {
    const struct rp_provision_record *record = &request->record;
    struct rp_machine *machine = rp_machine_add(
        context->cluster, name, is_up ? RP_MACHINE_UNRECONCILED : RP_MACHINE_BOOTING);
    machine->up_recorded = is_up;
    machine->provision_request = request;
    rp_machine_set_kind(machine, context->catalog, record->type, record->zone, record->spot);
    machine->requested_at = rp_ts_sub(rp_loop_now(context->loop), rp_ts(age_s));
    machine->contact.lease_expiry = earlier_leaders_lease_expiry(context);
}

/* Handles a machine that an earlier record names, too: it was moving to another request when an
 * earlier leader ended. A single mark counts, since an earlier version wrote marks that the other
 * record lacked. The machine belongs to a record that marks it, if there is one; the other record
 * is written again, or deleted, without it. */
static void load_second_name(const struct rp_fleet_context *context,
                             struct rp_provision_request *request, struct rp_machine *machine,
                             bool is_up) {
    struct rp_provision_request *stale = request;
    if (machine->provision_request == request)
        return;
    if (is_up && !machine->up_recorded) {
        stale = machine->provision_request;
        machine->provision_request = request;
        machine->up_recorded = true;
        rp_machine_set_state(context->cluster, machine, RP_MACHINE_UNRECONCILED);
    }
    rp_provision_request_add_moved_name(stale, machine);
}

static void load_record(struct rp_provisioning *provisioning, const struct rp_kv_item *item) {
    const struct rp_fleet_context *context = provisioning->context;
    if (strncmp(item->key, RP_KEY_WITHHELD, strlen(RP_KEY_WITHHELD)) == 0) {
        rp_withheld_answers_on_record(provisioning->withheld_answers, item);
        return;
    }
    struct rp_provision_request *request =
        rp_provision_request_add(&provisioning->requests, item->key + strlen(RP_KEY_PROVISION));
    if (!rp_record_provision_read(item->value, &request->record)) {
        rp_error("provision record skipped: reason=unreadable key=%s", item->key);
        rp_provision_request_remove(&provisioning->requests, request);
        return;
    }
    request->stored = true;
    request->revision = item->revision;
    request->revision_known = true;
    if (!request->record.answered) {
        rp_provision_request_set_state(context, request, RP_PROVISION_REQUESTING);
        return;
    }
    double age_s = request_age_s(context, &request->record);
    for (size_t i = 0; i < rp_record_provision_n_names(item->value); i++) {
        const char *name = rp_record_provision_name(item->value, i);
        if (!name)
            continue;
        struct rp_machine *machine = rp_machine_find(context->cluster, name);
        bool is_up = rp_record_provision_is_up(item->value, name);
        if (machine)
            load_second_name(context, request, machine, is_up);
        else
            load_machine(context, request, name, is_up, age_s);
    }
    rp_provision_request_set_state(context, request, RP_PROVISION_LIVE);
}

/* Once all records are read: a request all of whose machines belong to others has ended. */
static void end_requests_without_machines(struct rp_provisioning *provisioning) {
    const struct rp_fleet_context *context = provisioning->context;
    for (struct rp_provision_request *request = provisioning->requests.first; request;
         request = request->next)
        if (request->state == RP_PROVISION_LIVE &&
            !rp_provision_request_has_machines(context, request))
            rp_provision_request_set_state(context, request, RP_PROVISION_ENDED);
}

static void load_page(struct load_call *call, const char *after);

static void on_page(void *arg, const struct rp_kv_result *result) {
    struct load_call *call = arg;
    struct rp_provisioning *provisioning = call->provisioning;
    struct rp_kv_item item = {0};
    if (call->generation != provisioning->context->generation)
        goto out;
    if (result->outcome != RP_KV_OK) {
        call->on_loaded(call->arg, false);
        goto out;
    }
    size_t n = rp_kv_result_n_items(result);
    for (size_t i = 0; i < n; i++)
        if (rp_kv_result_item_at(result, i, &item))
            load_record(provisioning, &item);
    if (rp_kv_result_has_more(result) && n > 0) {
        load_page(call, item.key);
        return;
    }
    end_requests_without_machines(provisioning);
    rp_withheld_answers_on_loaded(provisioning->withheld_answers);
    call->on_loaded(call->arg, true);
out:
    free(call);
}

static void load_page(struct load_call *call, const char *after) {
    rp_kv_list(call->provisioning->context->store, RP_KV_BUDGET_LEADER, RP_KEY_PROVISION, after,
               RECORDS_PER_PAGE, on_page, call);
}

void rp_provision_load(struct rp_provisioning *provisioning, rp_provision_loaded_fn on_loaded,
                       void *arg) {
    struct load_call *call = rp_alloc(1, sizeof *call);
    *call = (struct load_call){.provisioning = provisioning,
                               .generation = provisioning->context->generation,
                               .on_loaded = on_loaded,
                               .arg = arg};
    rp_withheld_answers_on_load_start(provisioning->withheld_answers);
    load_page(call, NULL);
}
