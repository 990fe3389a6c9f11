#include "jobs/job_finisher.h"

#include <stdlib.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"

/* A finishing transaction in flight. */
struct finish_request {
    struct rp_job_finisher *finisher;
    unsigned long generation;
    char job_id[RP_ID_MAX];
    struct rp_stored_records remaining; /* records that the transaction does not delete */
};

void rp_job_finisher_init(struct rp_job_finisher *finisher, const struct rp_jobs_context *context,
                          struct rp_job_table *table, struct rp_garbage_collector *collector,
                          struct rp_deleted_records *deleted) {
    *finisher = (struct rp_job_finisher){
        .context = context, .table = table, .collector = collector, .deleted = deleted};
}

static void on_job_finished(struct rp_job_finisher *finisher, struct rp_job *job,
                            const struct rp_stored_records *remaining) {
    rp_info("job done: job=%s n_tasks=%u age_s=%.1f", job->spec.id, job->spec.n_tasks,
            rp_job_age_s(job, rp_loop_now(finisher->context->loop)));
    rp_garbage_collector_add(finisher->collector, job->spec.id, remaining);
    rp_job_table_set_state(finisher->table, job, RP_JOB_CLOSED);
}

static void on_finish_response(void *arg, const struct rp_kv_result *result) {
    struct finish_request *request = arg;
    struct rp_job_finisher *finisher = request->finisher;
    const struct rp_jobs_context *context = finisher->context;
    if (!rp_jobs_context_is_current(context, request->generation))
        goto out;
    struct rp_job *job = rp_job_table_find(finisher->table, request->job_id);
    if (!job || job->state != RP_JOB_FINISHING)
        goto out;
    if (result->outcome == RP_KV_OK) {
        rp_deleted_records_add(finisher->deleted, request->job_id, rp_kv_result_revision(result));
        on_job_finished(finisher, job, &request->remaining);
        goto out;
    }
    rp_job_table_set_state(finisher->table, job, RP_JOB_COMPLETE);
    if (result->outcome == RP_KV_CONDITION_FAILED &&
        rp_kv_result_has_failed_condition(result, RP_KEY_LEADER)) {
        rp_election_verify(context->election);
    } else if (result->outcome == RP_KV_BAD_REQUEST) {
        rp_garbage_collector_on_txn_refused(finisher->collector);
        rp_job_progress_back_off(&job->progress, rp_loop_now(context->loop));
    }
    /* Another conflict means that the job was cancelled, or that an earlier transaction without a
     * response was carried out: the watch shows which. After any other outcome the tick sends the
     * transaction again. */
out:
    free(request);
}

void rp_job_finisher_finish(struct rp_job_finisher *finisher, struct rp_job *job) {
    const struct rp_jobs_context *context = finisher->context;
    struct timespec now = rp_loop_now(context->loop);
    if (job->state != RP_JOB_COMPLETE || !rp_election_is_valid(context->election, now) ||
        !rp_job_progress_may_write(&job->progress, now))
        return;
    struct finish_request *request = rp_alloc(1, sizeof *request);
    request->finisher = finisher;
    request->generation = context->generation;
    rp_string_copy(request->job_id, sizeof request->job_id, job->spec.id);
    char key[RP_KEY_MAX];
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(context->election, txn);
    rp_key(key, RP_KEY_OPEN, job->spec.id);
    rp_kv_txn_if(txn, key, job->record_revision);
    rp_kv_txn_delete(txn, key);
    rp_key(key, RP_KEY_TERMINAL, job->spec.id);
    rp_kv_txn_put(txn, key,
                  rp_upgrade_mark_record(context->upgrade, rp_record_terminal(RP_JOB_DONE)),
                  RP_KV_NO_LEASE);
    /* The move to the terminal state is atomic. The records that no node reads any more are deleted
     * as they fit, in this transaction or after it. */
    request->remaining = job->stored;
    rp_garbage_collector_delete_within(finisher->collector, txn, job->spec.id, &request->remaining);
    rp_job_table_set_state(finisher->table, job, RP_JOB_FINISHING);
    rp_kv_txn_submit(context->store, RP_KV_BUDGET_LEADER, txn, on_finish_response, request);
}

void rp_job_finisher_finish_all(struct rp_job_finisher *finisher) {
    struct rp_job *next;
    for (struct rp_job *job = finisher->table->first; job; job = next) {
        next = job->next;
        rp_job_finisher_finish(finisher, job);
    }
}
