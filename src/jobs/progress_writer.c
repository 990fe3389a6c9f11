#include "jobs/progress_writer.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"

/* Maximum number of progress records in a transaction: a record has some 2.2 KB, and a transaction
 * may have 64 KiB. */
#define TXN_RECORDS_MAX 24
/* Seconds for which progress waits so that more progress shares its transaction. The end of a
 * finished job is written without this delay. */
#define WRITE_BACK_DELAY_S 2.0
/* Headroom of the write budget that progress leaves to the transactions that finish jobs:
 * FINISH_RESERVE_CHANGES changes, or FINISH_RESERVE_SHARE of the allowed changes per second if that
 * is less. */
#define FINISH_RESERVE_CHANGES 3.0
#define FINISH_RESERVE_SHARE 0.1
/* Bytes of a stored progress record besides its digits. */
#define PROGRESS_RECORD_OVERHEAD_BYTES 16

/* A progress record as carried by a write. */
struct written_record {
    char job_id[RP_ID_MAX];
    struct rp_progress_record record;
    uint8_t bits[RP_CHUNK_BYTES];
};

/* A transaction of progress records, in flight. */
struct progress_write {
    struct rp_progress_writer *writer;
    unsigned long generation;
    size_t n_records, max_records;
    struct written_record records[];
};

/* A read of a progress record's revision, in flight. */
struct revision_read {
    struct rp_progress_writer *writer;
    unsigned long generation;
    char job_id[RP_ID_MAX];
    struct rp_progress_record record;
};

void rp_progress_writer_init(struct rp_progress_writer *writer,
                             const struct rp_jobs_context *context, struct rp_job_table *table,
                             struct rp_garbage_collector *collector) {
    *writer = (struct rp_progress_writer){
        .context = context, .table = table, .collector = collector, .max_records = TXN_RECORDS_MAX};
}

/* Finds the job unless it is closed; NULL when it is closed or not in the table. */
static struct rp_job *find_unclosed_job(const struct rp_progress_writer *writer,
                                        const char *job_id) {
    struct rp_job *job = rp_job_table_find(writer->table, job_id);
    return job && job->state != RP_JOB_CLOSED ? job : NULL;
}

static void add_stored_record(struct rp_job *job, struct rp_progress_record record) {
    struct rp_stored_records stored = rp_progress_record_as_set(record);
    rp_stored_records_add(&job->stored, &stored);
}

/* ---- revisions ---- */

static void on_revision_response(void *arg, const struct rp_kv_result *result) {
    struct revision_read *read = arg;
    const struct rp_progress_writer *writer = read->writer;
    struct rp_kv_item item;
    if (!rp_jobs_context_is_current(writer->context, read->generation))
        goto out;
    struct rp_job *job = find_unclosed_job(writer, read->job_id);
    if (!job)
        goto out;
    rp_job_progress_apply(&job->progress, read->record, RP_PROGRESS_READ_RETURNED);
    if (result->outcome == RP_KV_NOT_FOUND)
        rp_job_progress_set_revision(&job->progress, read->record, RP_KV_ABSENT);
    else if (rp_kv_result_item(result, &item))
        rp_job_progress_set_revision(&job->progress, read->record, item.revision);
    add_stored_record(job, read->record);
    /* The progress has waited long enough: zero makes its write due at once. */
    job->progress.dirty_since = (struct timespec){0};
out:
    free(read);
}

static void read_revision(struct rp_progress_writer *writer, struct rp_job *job,
                          struct rp_progress_record record) {
    struct revision_read *read = rp_alloc(1, sizeof *read);
    char key[RP_KEY_MAX];
    read->writer = writer;
    read->generation = writer->context->generation;
    read->record = record;
    rp_string_copy(read->job_id, sizeof read->job_id, job->spec.id);
    rp_job_progress_apply(&job->progress, record, RP_PROGRESS_READ_SENT);
    rp_progress_record_key(key, job->spec.id, record);
    rp_kv_get(writer->context->store, RP_KV_BUDGET_LEADER, key, on_revision_response, read);
}

/* ---- responses to writes ---- */

/* The store refused a record for its size or a transaction for its length, although both are within
 * the configured limits: the store's limits are lower. The next transactions carry fewer records; a
 * record refused alone backs off, so that the same write is never sent again at once. */
static void reduce_write_size(struct rp_progress_writer *writer,
                              const struct progress_write *write) {
    if (write->n_records > 1) {
        writer->max_records = write->n_records / 2;
        return;
    }
    struct rp_job *job = rp_job_table_find(writer->table, write->records[0].job_id);
    if (job)
        rp_job_progress_back_off(&job->progress, rp_loop_now(writer->context->loop));
}

/* The job ended while the write was in flight: its record may be stored although no job needs it.
 */
static void collect_late_write(struct rp_progress_writer *writer,
                               const struct written_record *written, enum rp_kv_outcome outcome) {
    struct rp_stored_records stored = rp_progress_record_as_set(written->record);
    if (outcome == RP_KV_OK || outcome == RP_KV_UNKNOWN)
        rp_garbage_collector_add(writer->collector, written->job_id, &stored);
}

/* Each write carries the condition that the record still has the revision that the write replaces.
 * Without that condition, a write that is carried out seconds late, after a newer one, removes
 * results that their workers have already forgotten. After a lost response, or a conflict with a
 * write whose response was lost, the revision has to be read. */
static void on_record_write_failed(struct rp_job *job, struct rp_progress_record record,
                                   const struct rp_kv_result *result) {
    char key[RP_KEY_MAX];
    rp_progress_record_key(key, job->spec.id, record);
    bool may_be_written = result->outcome == RP_KV_UNKNOWN;
    bool has_other_revision =
        result->outcome == RP_KV_CONDITION_FAILED && rp_kv_result_has_failed_condition(result, key);
    rp_job_progress_apply(&job->progress, record, RP_PROGRESS_WRITE_FAILED);
    if (may_be_written || has_other_revision)
        rp_job_progress_set_revision(&job->progress, record, RP_PROGRESS_REVISION_UNKNOWN);
    if (may_be_written)
        add_stored_record(job, record);
}

static void on_record_written(struct rp_job *job, const struct written_record *written,
                              uint64_t revision) {
    rp_job_progress_apply(&job->progress, written->record, RP_PROGRESS_WRITE_SUCCEEDED);
    rp_job_progress_set_revision(&job->progress, written->record, revision);
    rp_job_progress_mark_durable(&job->progress, written->record, written->bits);
    add_stored_record(job, written->record);
}

static void on_write_response(void *arg, const struct rp_kv_result *result) {
    struct progress_write *write = arg;
    struct rp_progress_writer *writer = write->writer;
    if (!rp_jobs_context_is_current(writer->context, write->generation))
        goto out;
    for (size_t i = 0; i < write->n_records; i++) {
        const struct written_record *written = &write->records[i];
        struct rp_job *job = find_unclosed_job(writer, written->job_id);
        if (!job)
            collect_late_write(writer, written, result->outcome);
        else if (result->outcome == RP_KV_OK)
            on_record_written(job, written, rp_kv_result_revision(result));
        else
            on_record_write_failed(job, written->record, result);
    }
    if (result->outcome == RP_KV_CONDITION_FAILED &&
        rp_kv_result_has_failed_condition(result, RP_KEY_LEADER))
        rp_election_verify(writer->context->election);
    if (result->outcome == RP_KV_BAD_REQUEST)
        reduce_write_size(writer, write);
    else if (result->outcome == RP_KV_OK && writer->max_records < TXN_RECORDS_MAX)
        writer->max_records++;
out:
    free(write);
}

/* ---- writes ---- */

static void write_record(struct progress_write *write, struct rp_kv_txn *txn, struct rp_job *job,
                         struct rp_progress_record record) {
    const struct rp_jobs_context *context = write->writer->context;
    struct written_record *written = &write->records[write->n_records++];
    const uint8_t *bits = job->progress.done + rp_progress_record_offset(record);
    size_t n_bytes = rp_job_progress_record_bytes(&job->progress, record);
    rp_string_copy(written->job_id, sizeof written->job_id, job->spec.id);
    written->record = record;
    memcpy(written->bits, bits, n_bytes);
    char key[RP_KEY_MAX];
    rp_progress_record_key(key, job->spec.id, record);
    rp_kv_txn_if(txn, key, rp_job_progress_revision(&job->progress, record));
    rp_kv_txn_put(txn, key,
                  rp_upgrade_mark_record(context->upgrade, rp_record_progress(bits, n_bytes)),
                  RP_KV_NO_LEASE);
    rp_job_progress_apply(&job->progress, record, RP_PROGRESS_WRITE_SENT);
}

/* Whether the store accepts a value as long as the job's longest chunk, which has two digits per
 * byte. */
static bool fits_chunk(const struct rp_progress_writer *writer, const struct rp_job *job) {
    struct rp_progress_record first_chunk = {0};
    size_t n_bytes = rp_job_progress_record_bytes(&job->progress, first_chunk);
    double value_bytes = (double)(2 * n_bytes + PROGRESS_RECORD_OVERHEAD_BYTES);
    return value_bytes <= writer->context->settings->kv_limits_current.value_kb * 1024;
}

/* Until every node reads units, progress is written in chunks, which all nodes can read; the
 * progress of a job whose chunk does not fit into a value waits for the activation of RP_FORMAT. */
static void write_job(struct progress_write *write, struct rp_kv_txn *txn, struct rp_job *job) {
    struct rp_progress_writer *writer = write->writer;
    bool is_unit = rp_upgrade_is_active(writer->context->upgrade);
    unsigned n = is_unit ? RP_UNITS_MAX : (RP_UNITS_MAX + RP_CHUNK_UNITS - 1) / RP_CHUNK_UNITS;
    if (!is_unit && !fits_chunk(writer, job))
        return;
    for (unsigned i = 0; i < n && write->n_records < write->max_records; i++) {
        struct rp_progress_record record = {.index = i, .is_unit = is_unit};
        if (!rp_job_progress_can_write(&job->progress, record))
            continue;
        if (rp_job_progress_revision(&job->progress, record) == RP_PROGRESS_REVISION_UNKNOWN)
            read_revision(writer, job, record);
        else
            write_record(write, txn, job, record);
    }
}

static bool is_due(const struct rp_job *job, struct timespec now) {
    const struct rp_job_progress *progress = &job->progress;
    bool has_changes = job->state == RP_JOB_OPEN && progress->dirty_units;
    return has_changes && rp_job_progress_may_write(progress, now) &&
           rp_ts_since(now, progress->dirty_since) >= WRITE_BACK_DELAY_S;
}

/* How many records the next transaction may have; 0: the write budget has no headroom. */
static size_t txn_capacity(const struct rp_progress_writer *writer) {
    const struct rp_jobs_context *context = writer->context;
    double reserve = fmin(FINISH_RESERVE_CHANGES,
                          context->settings->kv_limits_lowest.write_rps * FINISH_RESERVE_SHARE);
    double headroom = rp_kv_write_headroom(context->store, RP_KV_BUDGET_LEADER) - reserve;
    size_t limit = context->settings->kv_limits_lowest.txn_ops;
    size_t capacity = limit < writer->max_records ? limit : writer->max_records;
    if (headroom < 1)
        return 0;
    return (double)capacity > headroom ? (size_t)headroom : capacity;
}

static struct progress_write *new_write(struct rp_progress_writer *writer, size_t max_records) {
    struct progress_write *write =
        rp_alloc(1, sizeof *write + max_records * sizeof write->records[0]);
    write->writer = writer;
    write->generation = writer->context->generation;
    write->max_records = max_records;
    return write;
}

void rp_progress_writer_write_back(struct rp_progress_writer *writer) {
    const struct rp_jobs_context *context = writer->context;
    struct timespec now = rp_loop_now(context->loop);
    size_t max_records = txn_capacity(writer);
    if (max_records == 0)
        return;
    struct progress_write *write = new_write(writer, max_records);
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_election_guard(context->election, txn);
    for (struct rp_job *job = writer->table->first; job && write->n_records < max_records;
         job = job->next) {
        if (!is_due(job, now))
            continue;
        write_job(write, txn, job);
        job->progress.dirty_since = now;
    }
    if (write->n_records > 0) {
        rp_kv_txn_submit(context->store, RP_KV_BUDGET_LEADER, txn, on_write_response, write);
    } else {
        rp_kv_txn_discard(txn);
        free(write);
    }
}
