#include "jobs/garbage_collector.h"

#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"

/* A transaction of deletions, in flight. */
struct deletion {
    struct rp_garbage_collector *collector;
    unsigned long generation;
    char job_id[RP_ID_MAX];
    struct rp_stored_records records;
};

void rp_garbage_collector_init(struct rp_garbage_collector *collector,
                               const struct rp_jobs_context *context) {
    *collector = (struct rp_garbage_collector){
        .context = context, .max_changes = context->settings->kv_limits_lowest.txn_ops};
}

static void drop_first(struct rp_garbage_collector *collector) {
    struct rp_garbage *garbage = collector->first_garbage;
    collector->first_garbage = garbage->next;
    free(garbage);
}

void rp_garbage_collector_clear(struct rp_garbage_collector *collector) {
    while (collector->first_garbage)
        drop_first(collector);
    collector->is_deleting = false;
}

void rp_garbage_collector_add(struct rp_garbage_collector *collector, const char *job_id,
                              const struct rp_stored_records *records) {
    struct rp_garbage **link = &collector->first_garbage;
    if (rp_stored_records_is_empty(records))
        return;
    while (*link && strcmp((*link)->job_id, job_id) != 0)
        link = &(*link)->next;
    if (!*link) {
        *link = rp_alloc(1, sizeof **link);
        rp_string_copy((*link)->job_id, sizeof(*link)->job_id, job_id);
    }
    rp_stored_records_add(&(*link)->records, records);
}

void rp_garbage_collector_delete_within(const struct rp_garbage_collector *collector,
                                        struct rp_kv_txn *txn, const char *job_id,
                                        struct rp_stored_records *records) {
    rp_stored_records_delete(txn, job_id, records, collector->max_changes);
}

/* A job's move to its terminal state, which must be atomic, takes two changes and is sent
 * regardless of this limit. */
void rp_garbage_collector_on_txn_refused(struct rp_garbage_collector *collector) {
    collector->max_changes = collector->max_changes > 2 ? collector->max_changes / 2 : 1;
    rp_error(
        "key-value store accepts fewer changes in a transaction than configured: n_changes=%zu",
        collector->max_changes);
}

static void on_deletion_response(void *arg, const struct rp_kv_result *result) {
    struct deletion *deletion = arg;
    struct rp_garbage_collector *collector = deletion->collector;
    struct rp_garbage *garbage = collector->first_garbage;
    if (!rp_jobs_context_is_current(collector->context, deletion->generation))
        goto out;
    collector->is_deleting = false;
    if (!garbage || strcmp(garbage->job_id, deletion->job_id) != 0)
        goto out;
    if (result->outcome == RP_KV_OK)
        rp_stored_records_remove(&garbage->records, &deletion->records);
    else if (result->outcome == RP_KV_BAD_REQUEST)
        rp_garbage_collector_on_txn_refused(collector);
    else if (result->outcome == RP_KV_CONDITION_FAILED)
        /* The job is open after all, or another node leads: none of its records may be deleted. */
        garbage->records = (struct rp_stored_records){0};
    if (rp_stored_records_is_empty(&garbage->records))
        drop_first(collector);
out:
    free(deletion);
}

void rp_garbage_collector_collect(struct rp_garbage_collector *collector) {
    const struct rp_jobs_context *context = collector->context;
    const struct rp_garbage *garbage = collector->first_garbage;
    double headroom = rp_kv_write_headroom(context->store, RP_KV_BUDGET_LEADER);
    if (!garbage || collector->is_deleting || headroom < 1)
        return;
    size_t max_changes =
        headroom < (double)collector->max_changes ? (size_t)headroom : collector->max_changes;
    struct deletion *deletion = rp_alloc(1, sizeof *deletion);
    deletion->collector = collector;
    deletion->generation = context->generation;
    deletion->records = garbage->records;
    rp_string_copy(deletion->job_id, sizeof deletion->job_id, garbage->job_id);
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(context->election, txn);
    rp_key(key, RP_KEY_OPEN, garbage->job_id);
    rp_kv_txn_if(txn, key, RP_KV_ABSENT);
    struct rp_stored_records remaining = garbage->records;
    rp_stored_records_delete(txn, garbage->job_id, &remaining, max_changes);
    rp_stored_records_remove(&deletion->records, &remaining);
    collector->is_deleting = true;
    rp_kv_txn_submit(context->store, RP_KV_BUDGET_LEADER, txn, on_deletion_response, deletion);
}
