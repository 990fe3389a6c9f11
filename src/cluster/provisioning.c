#include "cluster/provisioning.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "cluster/catalog_index.h"
#include "protocol/cloud_codec.h"

/* Number of machines that a record may name; a request is for at most 50. */
#define MACHINES_PER_RECORD_MAX 64
/* Lower bound of record_max_bytes: no store is expected to refuse a record of this size. */
#define RECORD_MAX_LEAST_BYTES 256
/* Factor applied to record_max_bytes after the store has refused a record. */
#define RECORD_SHRINK_FACTOR 0.75

/* Delays before a failed call about a request is repeated. */
#define FENCED_RETRY_S 1.0
#define RECORD_REFUSED_RETRY_S 1.0
#define WRITE_RETRY_S 0.2
#define READ_RETRY_S 0.3
#define CLOUD_RETRY_S 1.0
#define CLOUD_RATE_LIMITED_RETRY_S 0.5

/* A call to the store or to the cloud about one request. */
struct provision_call {
    struct rp_provisioning *provisioning;
    unsigned long generation;
    char request_name[RP_TEXT_MAX];
    /* Set for a write: the request's state when it was sent, and the names of the machines that it
     * records as up; "" for a machine that was not up. */
    enum rp_provision_state written_state;
    size_t n_names;
    char (*names)[RP_TEXT_MAX];
};

void rp_provisioning_init(struct rp_provisioning *provisioning, struct rp_fleet_context *context) {
    memset(provisioning, 0, sizeof *provisioning);
    provisioning->context = context;
    provisioning->record_max_bytes = (size_t)(context->settings->kv_limits_lowest.value_kb * 1024);
}

void rp_provisioning_clear(struct rp_provisioning *provisioning) {
    struct rp_provision_requests *requests = &provisioning->requests;
    rp_capacity_refusals_clear(&provisioning->refusals);
    for (struct rp_machine *machine = provisioning->context->cluster->first; machine;
         machine = machine->next)
        machine->provision_request = NULL;
    while (requests->first)
        rp_provision_request_remove(requests, requests->first);
}

/* ---- calls ---- */

static struct provision_call *provision_call_new(struct rp_provisioning *provisioning,
                                                 const struct rp_provision_request *request) {
    struct provision_call *call = rp_alloc(1, sizeof *call);
    call->provisioning = provisioning;
    call->generation = provisioning->context->generation;
    rp_string_copy(call->request_name, sizeof call->request_name, request->name);
    return call;
}

static void provision_call_free(struct provision_call *call) {
    free(call->names);
    free(call);
}

/* The request that the call is about; NULL if it no longer exists. */
static struct rp_provision_request *request_of_call(const struct provision_call *call) {
    struct rp_provisioning *provisioning = call->provisioning;
    if (call->generation != provisioning->context->generation)
        return NULL;
    return rp_provision_request_find(&provisioning->requests, call->request_name);
}

/* ---- the record ---- */

/* Marks the machines that the written record names as up. */
static void mark_up_recorded(const struct provision_call *call,
                             const struct rp_provision_request *request) {
    struct rp_cluster *cluster = call->provisioning->context->cluster;
    for (size_t i = 0; i < call->n_names; i++) {
        struct rp_machine *machine =
            *call->names[i] ? rp_machine_find(cluster, call->names[i]) : NULL;
        if (machine && machine->provision_request == request)
            machine->up_recorded = true;
    }
}

static void on_record_durable(struct rp_provisioning *provisioning,
                              struct rp_provision_request *request,
                              enum rp_provision_state written_state, uint64_t revision) {
    bool can_mark_others = request->n_moved_names > 0;
    request->revision = revision;
    rp_provision_request_clear_moved_names(provisioning->context, request);
    if (written_state == RP_PROVISION_ENDED) {
        rp_provision_request_remove(&provisioning->requests, request);
        if (can_mark_others)
            rp_provisioning_step_all(provisioning);
        return;
    }
    request->stored = true;
    /* The request's state may have changed during the write, because its machines were
     * terminated. */
    bool is_same_state = request->state == written_state;
    if (written_state == RP_PROVISION_RECORDING_INTENT && is_same_state)
        rp_provision_request_set_state(provisioning->context, request, RP_PROVISION_REQUESTING);
    else if (written_state == RP_PROVISION_RECORDING_NAMES && is_same_state)
        rp_provision_request_set_state(provisioning->context, request, RP_PROVISION_LIVE);
    else if (written_state == RP_PROVISION_LIVE)
        rp_fleet_context_notify(provisioning->context);
    if (can_mark_others)
        rp_provisioning_step_all(provisioning);
    else
        rp_provisioning_step(provisioning, request);
}

static void on_write_failed(struct rp_provisioning *provisioning,
                            struct rp_provision_request *request,
                            const struct rp_kv_result *result) {
    const struct rp_fleet_context *context = provisioning->context;
    if (result->outcome == RP_KV_CONDITION_FAILED &&
        rp_kv_result_has_failed_condition(result, RP_KEY_LEADER)) {
        rp_election_verify(context->election);
        rp_provision_request_retry_after(context, request, FENCED_RETRY_S);
        return;
    }
    request->is_dirty = true;
    if (result->outcome == RP_KV_BAD_REQUEST &&
        provisioning->record_max_bytes > RECORD_MAX_LEAST_BYTES) {
        /* The record exceeds the store's limits: retries with smaller records, after a longer
         * delay. */
        provisioning->record_max_bytes =
            (size_t)((double)provisioning->record_max_bytes * RECORD_SHRINK_FACTOR);
        rp_provision_request_retry_after(context, request, RECORD_REFUSED_RETRY_S);
        return;
    }
    /* Each write carries the revision that it replaces, so that a copy of a write that arrives late
     * cannot remove names again. After a lost response, or a conflict with a write whose response
     * was lost, the revision must be read before the next write. */
    request->revision_known = false;
    rp_provision_request_retry_after(context, request, WRITE_RETRY_S);
}

static void on_record_written(void *arg, const struct rp_kv_result *result) {
    struct provision_call *call = arg;
    struct rp_provisioning *provisioning = call->provisioning;
    struct rp_provision_request *request = request_of_call(call);
    if (!request)
        goto out;
    request->in_flight = false;
    if (result->outcome == RP_KV_OK) {
        mark_up_recorded(call, request);
        on_record_durable(provisioning, request, call->written_state,
                          rp_kv_result_revision(result));
    } else {
        on_write_failed(provisioning, request, result);
    }
out:
    provision_call_free(call);
}

/* Builds the request's current record. If `call` is set, stores in it the names of the machines
 * that the record marks as up. */
static json_t *build_record(const struct rp_provisioning *provisioning,
                            const struct rp_provision_request *request,
                            struct provision_call *call) {
    const struct rp_fleet_context *context = provisioning->context;
    const char *names[MACHINES_PER_RECORD_MAX];
    bool is_up[MACHINES_PER_RECORD_MAX];
    size_t n = 0;
    for (struct rp_machine *machine = context->cluster->first;
         machine && n < MACHINES_PER_RECORD_MAX; machine = machine->next) {
        if (machine->provision_request != request)
            continue;
        names[n] = machine->name;
        is_up[n] = rp_provision_request_marks_up(machine);
        if (call)
            rp_string_copy(call->names[n], sizeof call->names[n], is_up[n] ? machine->name : "");
        n++;
    }
    if (call)
        call->n_names = n;
    return rp_upgrade_mark_record(context->jobs->context.upgrade,
                                  rp_record_provision(&request->record, names, is_up, n));
}

/* Whether `stored`, the record in the store, is the one that the request would write now: a write
 * without a response was carried out. The record counts as written then; otherwise, while responses
 * are lost, writes would be repeated without end. Returns whether it does. */
static bool take_as_written(struct rp_provisioning *provisioning,
                            struct rp_provision_request *request, const json_t *stored) {
    bool is_written;
    if (request->state == RP_PROVISION_ENDED || !stored)
        return false;
    struct provision_call *call = provision_call_new(provisioning, request);
    call->names = rp_alloc(MACHINES_PER_RECORD_MAX, sizeof *call->names);
    json_t *current = build_record(provisioning, request, call);
    is_written = json_equal(current, stored);
    if (is_written) {
        request->is_dirty = false;
        mark_up_recorded(call, request);
        on_record_durable(provisioning, request, request->state, request->revision);
    }
    json_decref(current);
    provision_call_free(call);
    return is_written;
}

static void on_revision_read(void *arg, const struct rp_kv_result *result) {
    struct provision_call *call = arg;
    struct rp_provisioning *provisioning = call->provisioning;
    struct rp_provision_request *request = request_of_call(call);
    struct rp_kv_item item = {0};
    provision_call_free(call);
    if (!request)
        return;
    request->in_flight = false;
    if (result->outcome == RP_KV_NOT_FOUND) {
        request->revision = 0;
    } else if (rp_kv_result_item(result, &item)) {
        request->revision = item.revision;
        request->stored = true;
    } else {
        rp_provision_request_retry_after(provisioning->context, request, READ_RETRY_S);
        return;
    }
    request->revision_known = true;
    if (!take_as_written(provisioning, request, item.value))
        rp_provisioning_step(provisioning, request);
}

/* Splits a record that is larger than a value in the store may be: its names are longer than
 * expected, or the previous version wrote it and the store's limit has been lowered since. A new
 * record takes over the second half of the names and is written first, then the old record is
 * written without those names. Between the two writes both records name these machines, and neither
 * marks one as up that the other does not (rp_provision_request_marks_up): without that, a leader
 * that loads the records would take a machine with tasks for one that boots
 * (docs/incidents/review-4-split-records.md). Returns false if no split is needed. */
static bool split_record(struct rp_provisioning *provisioning,
                         struct rp_provision_request *request) {
    const struct rp_fleet_context *context = provisioning->context;
    json_t *value = build_record(provisioning, request, NULL);
    size_t size_bytes = rp_record_size(value);
    size_t n_names = rp_record_provision_n_names(value);
    char name[RP_TEXT_MAX];
    json_decref(value);
    if (size_bytes <= provisioning->record_max_bytes || n_names < 2 || !request->record.answered)
        return false;
    rp_provision_request_new_name(&provisioning->requests, "s", context->election->fencing_token,
                                  name);
    struct rp_provision_request *second = rp_provision_request_add(&provisioning->requests, name);
    second->record = request->record;
    rp_provision_request_move_machines(context, request, second, n_names / 2);
    second->record.count = (unsigned)(n_names - n_names / 2);
    request->record.count = (unsigned)(n_names / 2);
    rp_string_copy(request->write_after, sizeof request->write_after, name);
    request->is_dirty = true;
    rp_info("provision record split: request=%s n_machines=%zu split_with=%s", request->name,
            n_names, name);
    rp_provision_request_set_state(context, second, RP_PROVISION_RECORDING_NAMES);
    rp_provisioning_step(provisioning, second);
    return true;
}

/* Writes the record, or deletes it once the request has ended. Reads the record's revision first if
 * it is not known. */
static void write_record(struct rp_provisioning *provisioning,
                         struct rp_provision_request *request) {
    const struct rp_fleet_context *context = provisioning->context;
    if (request->state != RP_PROVISION_ENDED && split_record(provisioning, request))
        return;
    struct provision_call *call = provision_call_new(provisioning, request);
    char key[RP_KEY_MAX];
    rp_key(key, RP_KEY_PROVISION, request->name);
    request->in_flight = true;
    if (!request->revision_known) {
        rp_kv_get(context->store, RP_KV_BUDGET_LEADER, key, on_revision_read, call);
        return;
    }
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(context->election, txn);
    rp_kv_txn_if(txn, key, request->revision);
    if (request->state == RP_PROVISION_ENDED) {
        rp_kv_txn_delete(txn, key);
    } else {
        call->names = rp_alloc(MACHINES_PER_RECORD_MAX, sizeof *call->names);
        rp_kv_txn_put(txn, key, build_record(provisioning, request, call), RP_KV_NO_LEASE);
    }
    call->written_state = request->state;
    request->is_dirty = false;
    rp_kv_txn_submit(context->store, RP_KV_BUDGET_LEADER, txn, on_record_written, call);
}

/* ---- the cloud ---- */

static void record_refusal(struct rp_provisioning *provisioning,
                           const struct rp_provision_request *request) {
    const struct rp_fleet_context *context = provisioning->context;
    const struct rp_provision_record *record = &request->record;
    int type = rp_catalog_type_index(context->catalog, record->type);
    int zone = rp_catalog_zone_index(context->catalog, record->zone);
    if (rp_capacity_refusals_record(&provisioning->refusals, type, zone, record->spot,
                                    context->settings->tuning.refused_pause_s,
                                    rp_loop_now(context->loop)))
        rp_debug("machine kind refused for lack of capacity: type=%s zone=%s spot=%d", record->type,
                 record->zone, record->spot);
}

/* Adds a machine that the cloud has named in its response to the request. */
static void add_named_machine(const struct rp_provisioning *provisioning,
                              struct rp_provision_request *request, const char *name) {
    const struct rp_fleet_context *context = provisioning->context;
    struct rp_machine *machine = rp_machine_find(context->cluster, name);
    if ((machine && machine->provision_request) || rp_tombstones_has(&context->tombstones, name))
        return;
    if (!machine)
        machine = rp_machine_add(context->cluster, name, RP_MACHINE_BOOTING);
    machine->provision_request = request;
    rp_machine_set_kind(machine, context->catalog, request->record.type, request->record.zone,
                        request->record.spot);
}

static void on_machines_named(struct rp_provisioning *provisioning,
                              struct rp_provision_request *request,
                              const struct rp_response *answer) {
    struct rp_provision_record *record = &request->record;
    size_t n;
    char(*names)[RP_TEXT_MAX] = rp_cloud_codec_parse_provisioned(answer->body, answer->len, &n);
    if (!names) {
        rp_provision_request_retry_after(provisioning->context, request, CLOUD_RETRY_S);
        return;
    }
    record->answered = true;
    for (size_t i = 0; i < n; i++)
        add_named_machine(provisioning, request, names[i]);
    provisioning->n_provisioned += n;
    rp_info(
        "machines provisioned: request=%s type=%s zone=%s spot=%d n_requested=%u n_machines=%zu",
        request->name, record->type, record->zone, record->spot, record->count, n);
    if (n < record->count)
        record_refusal(provisioning, request);
    free(names);
    rp_provision_request_set_state(provisioning->context, request,
                                   n ? RP_PROVISION_RECORDING_NAMES : RP_PROVISION_ENDED);
    rp_provisioning_step(provisioning, request);
    rp_fleet_context_notify(provisioning->context);
}

static void end_request(struct rp_provisioning *provisioning,
                        struct rp_provision_request *request) {
    rp_provision_request_set_state(provisioning->context, request, RP_PROVISION_ENDED);
    rp_provisioning_step(provisioning, request);
}

static void on_cloud_response(void *arg, const struct rp_response *answer) {
    struct provision_call *call = arg;
    struct rp_provisioning *provisioning = call->provisioning;
    struct rp_provision_request *request = request_of_call(call);
    provision_call_free(call);
    if (!request || request->state != RP_PROVISION_REQUESTING)
        return;
    request->in_flight = false;
    if (answer->status == 200) {
        on_machines_named(provisioning, request, answer);
    } else if (answer->status == 503 && rp_cloud_codec_is_no_capacity(answer->body, answer->len)) {
        record_refusal(provisioning, request);
        end_request(provisioning, request);
        rp_fleet_context_notify(provisioning->context);
    } else if (answer->status == 400) {
        rp_error("provision request rejected by the cloud: request=%s answer=%.200s", request->name,
                 answer->body);
        end_request(provisioning, request);
    } else {
        /* The cloud may have provided machines; only repeating the request under its name shows
         * whether it has. */
        rp_provision_request_retry_after(provisioning->context, request,
                                         answer->status == 429 ? CLOUD_RATE_LIMITED_RETRY_S
                                                               : CLOUD_RETRY_S);
    }
}

static void request_machines(struct rp_provisioning *provisioning,
                             struct rp_provision_request *request) {
    const struct rp_provision_record *record = &request->record;
    request->in_flight = true;
    rp_cloud_call(provisioning->context->cloud, RP_CLOUD_URGENT, "POST", RP_PATH_MACHINES,
                  rp_cloud_codec_write_provision_request(request->name, record->type, record->zone,
                                                         record->spot, record->count),
                  on_cloud_response, provision_call_new(provisioning, request));
}

/* ---- steps ---- */

static bool may_step(const struct rp_fleet_context *context,
                     const struct rp_provision_request *request) {
    struct timespec now = rp_loop_now(context->loop);
    return !request->in_flight && rp_ts_is_reached(now, request->retry_at) &&
           rp_election_is_valid(context->election, now);
}

/* Whether the request's record exists in the store, or may still be written by a request without a
 * response. */
static bool may_be_stored(const struct rp_provision_request *request) {
    return request->stored || !request->revision_known;
}

/* Whether another request's record must be written before this one's. */
static bool should_wait_for_other(const struct rp_provisioning *provisioning,
                                  const struct rp_provision_request *request) {
    if (!*request->write_after)
        return false;
    const struct rp_provision_request *other =
        rp_provision_request_find(&provisioning->requests, request->write_after);
    return other && !other->stored;
}

void rp_provisioning_step(struct rp_provisioning *provisioning,
                          struct rp_provision_request *request) {
    if (!may_step(provisioning->context, request) || should_wait_for_other(provisioning, request))
        return;
    request->write_after[0] = '\0';
    switch (request->state) {
    case RP_PROVISION_RECORDING_INTENT:
    case RP_PROVISION_RECORDING_NAMES:
        write_record(provisioning, request);
        break;
    case RP_PROVISION_REQUESTING:
        request_machines(provisioning, request);
        break;
    case RP_PROVISION_LIVE:
        if (request->is_dirty)
            write_record(provisioning, request);
        break;
    case RP_PROVISION_ENDED:
        if (may_be_stored(request)) {
            write_record(provisioning, request);
        } else {
            rp_provision_request_clear_moved_names(provisioning->context, request);
            rp_provision_request_remove(&provisioning->requests, request);
        }
        break;
    }
}

void rp_provisioning_step_all(struct rp_provisioning *provisioning) {
    for (struct rp_provision_request *request = provisioning->requests.first, *next; request;
         request = next) {
        next = request->next;
        rp_provisioning_step(provisioning, request);
    }
}

/* ---- changes of machines ---- */

void rp_provisioning_record_up(struct rp_provisioning *provisioning, struct rp_machine *machine) {
    struct rp_provision_request *request = machine->provision_request;
    if (machine->up_recorded || !request || request->is_dirty ||
        !rp_provision_request_marks_up(machine))
        return;
    request->is_dirty = true;
    rp_provisioning_step(provisioning, request);
}

void rp_provisioning_on_machine_terminated(struct rp_provisioning *provisioning,
                                           struct rp_provision_request *request) {
    bool may_end =
        request->state == RP_PROVISION_LIVE || request->state == RP_PROVISION_RECORDING_NAMES;
    if (may_end && !rp_provision_request_has_machines(provisioning->context, request))
        rp_provision_request_set_state(provisioning->context, request, RP_PROVISION_ENDED);
    else
        request->is_dirty = true;
}
