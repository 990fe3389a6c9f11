#include "cluster/withheld_answers.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "store/records.h"

/* The longest interval between two heartbeats as a multiple of report_s (PROTOCOL, "Workers"), and
 * seconds beyond it after which a machine has not reported to a new leader. */
#define HEARTBEAT_INTERVAL_FACTOR 1.25
#define HEARTBEAT_LATE_S 1.5
#define BYTES_PER_KB 1024
/* Changes that the leader's write budget keeps for other writes. */
#define WRITE_RESERVE_CHANGES 1.0

/* A read or a write of the record, in flight. */
struct withheld_call {
    struct rp_withheld_answers *withheld;
    unsigned long generation;
};

static struct withheld_call *call_new(struct rp_withheld_answers *withheld) {
    struct withheld_call *call = rp_alloc(1, sizeof *call);
    call->withheld = withheld;
    call->generation = withheld->context->generation;
    withheld->is_in_flight = true;
    return call;
}

/* Whether the call belongs to this term. */
static bool is_current(const struct withheld_call *call) {
    return call->generation == call->withheld->context->generation;
}

void rp_withheld_answers_init(struct rp_withheld_answers *withheld,
                              struct rp_fleet_context *context) {
    *withheld = (struct rp_withheld_answers){.context = context};
}

void rp_withheld_answers_clear(struct rp_withheld_answers *withheld) {
    json_decref(withheld->loaded);
    withheld->loaded = NULL;
    withheld->n_records = 0;
    withheld->is_in_flight = withheld->is_revision_known = withheld->is_stale = false;
}

/* ---- one machine ---- */

/* The only function that changes a machine's withholding. Its edges:
 * - NONE -> SUBMITTED: a write that names the machine is about to be submitted;
 * - NONE -> RECORDED: an earlier leader's record names the machine;
 * - SUBMITTED -> RECORDED: the write was carried out;
 * - SUBMITTED, RECORDED -> ENDING: the machine reports;
 * - SUBMITTED -> NONE: the write was certainly not carried out;
 * - ENDING -> NONE: a record without the machine was written. */
static void set_withholding(struct rp_machine *machine, enum rp_withholding withholding) {
    machine->withholding = withholding;
    if (withholding == RP_WITHHOLDING_NONE)
        machine->withheld_until_wall_s = 0;
}

/* Whether the machine may hold tasks of an earlier leader and has not reported in time. */
static bool is_overdue(const struct rp_fleet_context *context, const struct rp_machine *machine,
                       struct timespec now) {
    double limit_s = context->settings->report_s * HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_LATE_S;
    return machine->withholding == RP_WITHHOLDING_NONE &&
           !rp_machine_has_complete_task_list(machine) &&
           rp_ts_since(now, context->led_since) > limit_s &&
           rp_ts_since(now, machine->contact.last_message_at) > limit_s;
}

static bool is_named(const struct rp_machine *machine) {
    return machine->withholding == RP_WITHHOLDING_SUBMITTED ||
           machine->withholding == RP_WITHHOLDING_RECORDED;
}

/* ---- the records ---- */

/* Writes the key of a record, which are numbered from 0. */
static void record_key(char key[RP_KEY_MAX], size_t index) {
    char name[2] = {(char)('0' + index), '\0'};
    rp_key(key, RP_KEY_WITHHELD, name);
}

/* The time of day in seconds, later by the bound of its error, at which the machine's lease has
 * ended for certain; 0 if it has ended. It does not change while a record names the machine, since
 * it would grow with each leader. */
static double lease_end_wall_s(const struct rp_fleet_context *context, struct rp_machine *machine) {
    double left_s = rp_ts_since(machine->contact.lease_expiry, rp_loop_now(context->loop));
    double wall_s = rp_ts_s(rp_loop_wall_now(context->loop));
    double skew_s = context->settings->clock_skew_s;
    if (machine->withheld_until_wall_s <= 0)
        machine->withheld_until_wall_s = wall_s + fmax(0, left_s) + skew_s;
    return machine->withheld_until_wall_s < wall_s - skew_s ? 0 : machine->withheld_until_wall_s;
}

/* The machine's lease ends when the record says, by a time of day that may be late by the bound of
 * its error, or when this leader reckons, whichever is earlier. */
static void apply_entry(const struct rp_fleet_context *context, struct rp_machine *machine,
                        double lease_end_s) {
    double left_s =
        lease_end_s - rp_ts_s(rp_loop_wall_now(context->loop)) + context->settings->clock_skew_s;
    struct timespec lease_expiry = rp_ts_after(rp_loop_now(context->loop), fmax(0, left_s));
    machine->withheld_until_wall_s = lease_end_s;
    set_withholding(machine, RP_WITHHOLDING_RECORDED);
    if (rp_ts_cmp(lease_expiry, machine->contact.lease_expiry) < 0)
        machine->contact.lease_expiry = lease_expiry;
    rp_debug("lease of a silent machine known from the record: machine=%s left_s=%.1f",
             machine->name, left_s);
}

static void read_entry(void *arg, const char *name, double lease_end_s) {
    struct rp_withheld_answers *withheld = arg;
    struct rp_machine *machine = rp_machine_find(withheld->context->cluster, name);
    if (machine && machine->state == RP_MACHINE_UNRECONCILED)
        apply_entry(withheld->context, machine, lease_end_s);
    else
        withheld->is_stale = true;
}

void rp_withheld_answers_on_load_start(struct rp_withheld_answers *withheld) {
    rp_withheld_answers_clear(withheld);
    withheld->revision = RP_KV_ABSENT;
}

void rp_withheld_answers_on_record(struct rp_withheld_answers *withheld,
                                   const struct rp_kv_item *item) {
    char first[RP_KEY_MAX];
    record_key(first, 0);
    if (strcmp(item->key, first) == 0)
        withheld->revision = item->revision;
    if (!withheld->loaded)
        withheld->loaded = json_array();
    json_array_append(withheld->loaded, item->value);
    withheld->n_records++;
}

void rp_withheld_answers_on_loaded(struct rp_withheld_answers *withheld) {
    json_t *record;
    size_t i;
    withheld->is_revision_known = true;
    json_array_foreach(withheld->loaded, i, record) {
        if (rp_record_withheld_read(record, read_entry, withheld))
            continue;
        rp_error("record skipped: reason=unreadable key=%s%zu", RP_KEY_WITHHELD, i);
        withheld->is_stale = true;
    }
    json_decref(withheld->loaded);
    withheld->loaded = NULL;
}

/* Only the revision is read again: what the record names is known. */
static void on_revision_read(void *arg, const struct rp_kv_result *result) {
    struct withheld_call *call = arg;
    struct rp_withheld_answers *withheld = call->withheld;
    struct rp_kv_item item;
    if (is_current(call)) {
        bool is_found = rp_kv_result_item(result, &item);
        withheld->is_in_flight = false;
        withheld->is_revision_known = is_found || result->outcome == RP_KV_NOT_FOUND;
        withheld->revision = is_found ? item.revision : RP_KV_ABSENT;
    }
    free(call);
}

static void read_revision(struct rp_withheld_answers *withheld) {
    char key[RP_KEY_MAX];
    record_key(key, 0);
    rp_kv_get(withheld->context->store, RP_KV_BUDGET_LEADERSHIP, key, on_revision_read,
              call_new(withheld));
}

/* ---- writing ---- */

static void end_write(struct rp_withheld_answers *withheld, const struct rp_kv_result *result) {
    bool is_done = result->outcome == RP_KV_OK;
    bool is_void = result->outcome == RP_KV_REFUSED || result->outcome == RP_KV_BAD_REQUEST;
    withheld->is_in_flight = false;
    /* After a failed condition, or without a response, only a read shows the revision. */
    withheld->is_revision_known = is_done || is_void;
    if (is_done)
        withheld->revision = rp_kv_result_revision(result);
    if (is_done)
        withheld->n_written++;
    for (struct rp_machine *machine = withheld->context->cluster->first; machine;
         machine = machine->next) {
        bool is_submitted = machine->withholding == RP_WITHHOLDING_SUBMITTED;
        if (is_done && is_submitted)
            set_withholding(machine, RP_WITHHOLDING_RECORDED);
        else if (is_void && is_submitted)
            set_withholding(machine, RP_WITHHOLDING_NONE);
        else if (is_done && machine->withholding == RP_WITHHOLDING_ENDING &&
                 machine->is_omitted_from_record)
            set_withholding(machine, RP_WITHHOLDING_NONE);
        machine->is_omitted_from_record = false;
    }
    if (!is_done)
        withheld->is_stale = true;
}

static void on_written(void *arg, const struct rp_kv_result *result) {
    struct withheld_call *call = arg;
    if (is_current(call)) {
        end_write(call->withheld, result);
        rp_withheld_answers_step(call->withheld);
    }
    free(call);
}

/* Records that are being made, and how many machines fit. */
struct record_set {
    json_t *records[RP_WITHHELD_RECORDS_MAX];
    size_t n, n_max;
    size_t record_bytes; /* for the names in one record */
    size_t n_bytes_left; /* in the last record */
};

static struct record_set record_set_new(const struct rp_fleet_context *context) {
    const struct rp_kv_limits *limits = &context->settings->kv_limits_lowest;
    struct record_set set = {.n_max = limits->txn_ops};
    size_t value_bytes = (size_t)(limits->value_kb * BYTES_PER_KB);
    if (set.n_max > RP_WITHHELD_RECORDS_MAX)
        set.n_max = RP_WITHHELD_RECORDS_MAX;
    if (value_bytes > RP_WITHHELD_FRAME_BYTES)
        set.record_bytes = value_bytes - RP_WITHHELD_FRAME_BYTES;
    return set;
}

/* Takes the space of a machine's name, in a further record if the last one is full. Returns false
 * if there is none. */
static bool take_space(struct record_set *set, const struct rp_machine *machine) {
    size_t n_bytes = strlen(machine->name) + RP_WITHHELD_NAME_BYTES;
    bool needs_record = set->n == 0 || set->n_bytes_left < n_bytes;
    if (n_bytes > set->record_bytes || (needs_record && set->n == set->n_max))
        return false;
    if (needs_record) {
        set->n++;
        set->n_bytes_left = set->record_bytes;
    }
    set->n_bytes_left -= n_bytes;
    return true;
}

/* Takes the space of the machines that are named already. They fit: they did before. */
static void take_space_of_named(struct record_set *set, const struct rp_cluster *cluster) {
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        if (is_named(machine))
            (void)take_space(set, machine);
}

/* Withholds the answers to overdue machines, as many as fit; returns their number. */
static size_t select_machines(const struct rp_withheld_answers *withheld) {
    const struct rp_fleet_context *context = withheld->context;
    struct timespec now = rp_loop_now(context->loop);
    struct record_set set = record_set_new(context);
    size_t n = 0;
    take_space_of_named(&set, context->cluster);
    for (struct rp_machine *machine = context->cluster->first; machine; machine = machine->next)
        if (is_overdue(context, machine, now) && take_space(&set, machine)) {
            set_withholding(machine, RP_WITHHOLDING_SUBMITTED);
            n++;
        }
    return n;
}

static struct record_set make_records(const struct rp_withheld_answers *withheld) {
    const struct rp_fleet_context *context = withheld->context;
    struct record_set set = record_set_new(context);
    for (struct rp_machine *machine = context->cluster->first; machine; machine = machine->next) {
        size_t n_before = set.n;
        machine->is_omitted_from_record = machine->withholding == RP_WITHHOLDING_ENDING;
        if (!is_named(machine) || !take_space(&set, machine))
            continue;
        if (set.n > n_before)
            set.records[set.n - 1] = rp_record_withheld();
        rp_record_withheld_add(set.records[set.n - 1], machine->name,
                               lease_end_wall_s(context, machine));
    }
    /* Records that exist, and the first one, are written even if they name no machine. */
    while (set.n < withheld->n_records || set.n == 0)
        set.records[set.n++] = rp_record_withheld();
    return set;
}

static void write_records(struct rp_withheld_answers *withheld) {
    const struct rp_fleet_context *context = withheld->context;
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    size_t n_new = select_machines(withheld);
    if (n_new > 0)
        rp_info("answers withheld: n_machines=%zu", n_new);
    struct record_set set = make_records(withheld);
    withheld->is_stale = false;
    withheld->n_records = set.n;
    rp_election_guard(context->election, txn);
    for (size_t i = 0; i < set.n; i++) {
        record_key(key, i);
        if (i == 0)
            rp_kv_txn_if(txn, key, withheld->revision);
        rp_kv_txn_put(txn, key, rp_record_mark(set.records[i]), RP_KV_NO_LEASE);
    }
    rp_kv_txn_submit(context->store, RP_KV_BUDGET_LEADERSHIP, txn, on_written, call_new(withheld));
}

/* Whether the record has to change at once: a machine reports that gets no answer until then. */
static bool is_write_urgent(const struct rp_withheld_answers *withheld) {
    for (const struct rp_machine *machine = withheld->context->cluster->first; machine;
         machine = machine->next)
        if (machine->withholding == RP_WITHHOLDING_ENDING)
            return true;
    return false;
}

/* Whether the records should change when the write budget allows it. */
static bool is_write_due(const struct rp_withheld_answers *withheld) {
    const struct rp_fleet_context *context = withheld->context;
    struct timespec now = rp_loop_now(context->loop);
    struct record_set set = record_set_new(context);
    take_space_of_named(&set, context->cluster);
    for (const struct rp_machine *machine = context->cluster->first; machine;
         machine = machine->next)
        if (is_overdue(context, machine, now) && take_space(&set, machine))
            return true;
    return withheld->is_stale;
}

/* A machine that has shown this leader's fencing token by a direct command needs no record. */
static void release_reconciled(const struct rp_withheld_answers *withheld) {
    for (struct rp_machine *machine = withheld->context->cluster->first; machine;
         machine = machine->next)
        if (is_named(machine) && machine->state == RP_MACHINE_UP)
            set_withholding(machine, RP_WITHHOLDING_ENDING);
}

void rp_withheld_answers_step(struct rp_withheld_answers *withheld) {
    const struct rp_fleet_context *context = withheld->context;
    if (withheld->is_in_flight || !rp_upgrade_is_active(withheld->upgrade))
        return;
    release_reconciled(withheld);
    bool has_headroom =
        rp_kv_write_headroom(context->store, RP_KV_BUDGET_LEADER) > WRITE_RESERVE_CHANGES;
    if (!is_write_urgent(withheld) && !(has_headroom && is_write_due(withheld)))
        return;
    if (withheld->is_revision_known)
        write_records(withheld);
    else
        read_revision(withheld);
}

void rp_withheld_answers_release(struct rp_withheld_answers *withheld, struct rp_machine *machine) {
    if (is_named(machine))
        set_withholding(machine, RP_WITHHOLDING_ENDING);
    rp_withheld_answers_step(withheld);
}
