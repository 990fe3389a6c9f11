#include "jobs/record_reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"

/* A request for the parts of the first partial record, in flight. */
struct parts_request {
    struct rp_record_reader *reader;
    unsigned long generation;
};

void rp_record_reader_init(struct rp_record_reader *reader, const struct rp_jobs_context *context,
                           struct rp_job_table *table) {
    *reader = (struct rp_record_reader){.context = context, .table = table};
}

static void partial_record_free(struct rp_partial_record *partial) {
    json_decref(partial->record);
    free(partial);
}

void rp_record_reader_clear(struct rp_record_reader *reader) {
    while (reader->first_partial) {
        struct rp_partial_record *partial = reader->first_partial;
        reader->first_partial = partial->next;
        partial_record_free(partial);
    }
    reader->is_reading = false;
}

void rp_record_reader_report_unreadable(struct rp_record_reader *reader, const char *key,
                                        const json_t *value) {
    reader->n_unreadable++;
    if (rp_record_format(value) > RP_FORMAT)
        rp_error("record skipped: reason=later_format key=%s format=%u known_format=%d", key,
                 rp_record_format(value), RP_FORMAT);
    else
        rp_error("record skipped: reason=unreadable key=%s", key);
}

static struct rp_job *add_job(struct rp_record_reader *reader, json_t *record, uint64_t revision) {
    struct rp_job *job = rp_job_create(reader->context, record, revision);
    if (job)
        rp_job_table_insert(reader->table, job);
    return job;
}

static void add_partial_record(struct rp_record_reader *reader, const struct rp_kv_item *item) {
    struct rp_partial_record **link = &reader->first_partial;
    struct rp_partial_record *partial = rp_alloc(1, sizeof *partial);
    snprintf(partial->job_id, sizeof partial->job_id, "%s", item->key + strlen(RP_KEY_OPEN));
    partial->record = json_incref(item->value);
    partial->revision = item->revision;
    while (*link)
        link = &(*link)->next;
    *link = partial;
}

void rp_record_reader_read(struct rp_record_reader *reader, const struct rp_kv_item *item) {
    if (rp_record_format(item->value) <= RP_FORMAT && rp_record_n_parts(item->value)) {
        add_partial_record(reader, item);
        return;
    }
    const struct rp_job *job = add_job(reader, item->value, item->revision);
    if (job)
        rp_debug("job added: job=%s class=%s n_tasks=%u", job->spec.id, job->spec.class_name,
                 job->spec.n_tasks);
    else
        rp_record_reader_report_unreadable(reader, item->key, item->value);
}

struct rp_partial_record *rp_record_reader_find(const struct rp_record_reader *reader,
                                                const char *job_id) {
    struct rp_partial_record *partial = reader->first_partial;
    while (partial && (partial->is_cancelled || strcmp(partial->job_id, job_id) != 0))
        partial = partial->next;
    return partial;
}

bool rp_record_reader_has_partial(const struct rp_record_reader *reader) {
    return reader->first_partial != NULL;
}

/* The number of the part that an item holds; 0 when the item is none of the job's `n_parts` parts.
 */
static unsigned part_number(const struct rp_kv_item *item, const char *job_id, size_t n_parts) {
    char id[RP_ID_MAX];
    unsigned part;
    bool is_of_job = rp_key_part_read(item->key, id, &part) && strcmp(id, job_id) == 0;
    return is_of_job && part <= n_parts ? part : 0;
}

/* Joins the first piece and the listed parts to the whole record; returns NULL when a part is
 * missing. The caller drops its reference to the record. */
static json_t *join_record(const struct rp_partial_record *partial,
                           const struct rp_kv_result *result) {
    json_t *pieces[RP_PARTS_MAX] = {partial->record};
    size_t n_parts = rp_record_n_parts(partial->record);
    size_t n_found = 0;
    size_t n = rp_kv_result_n_items(result);
    for (size_t i = 0; i < n; i++) {
        struct rp_kv_item item;
        if (!rp_kv_result_item_at(result, i, &item))
            continue;
        unsigned part = part_number(&item, partial->job_id, n_parts);
        if (part > 0 && !pieces[part]) {
            pieces[part] = item.value;
            n_found++;
        }
    }
    return n_found == n_parts ? rp_record_join(pieces, n_parts + 1) : NULL;
}

static void add_joined_job(struct rp_record_reader *reader, const struct rp_partial_record *partial,
                           const struct rp_kv_result *result) {
    json_t *record = join_record(partial, result);
    struct rp_job *job = record ? add_job(reader, record, partial->revision) : NULL;
    json_decref(record);
    if (job) {
        job->stored = rp_stored_records_of_parts(rp_record_n_parts(partial->record));
        return;
    }
    char key[RP_KEY_MAX];
    rp_key(key, RP_KEY_OPEN, partial->job_id);
    rp_record_reader_report_unreadable(reader, key, partial->record);
}

static enum rp_parts_outcome process_parts(struct rp_record_reader *reader,
                                           const struct rp_kv_result *result) {
    if (result->outcome != RP_KV_OK)
        return RP_PARTS_FAILED;
    struct rp_partial_record *partial = reader->first_partial;
    enum rp_parts_outcome outcome = partial->is_cancelled ? RP_PARTS_DROPPED : RP_PARTS_READ;
    reader->first_partial = partial->next;
    if (outcome == RP_PARTS_READ)
        add_joined_job(reader, partial, result);
    partial_record_free(partial);
    rp_record_reader_read_next_parts(reader);
    return outcome;
}

static void on_parts_response(void *arg, const struct rp_kv_result *result) {
    struct parts_request *request = arg;
    struct rp_record_reader *reader = request->reader;
    if (rp_jobs_context_is_current(reader->context, request->generation)) {
        reader->is_reading = false;
        reader->on_parts_result(reader->arg, process_parts(reader, result));
    }
    free(request);
}

void rp_record_reader_read_next_parts(struct rp_record_reader *reader) {
    if (reader->is_reading || !reader->first_partial)
        return;
    char prefix[RP_KEY_MAX];
    snprintf(prefix, sizeof prefix, "%s%s/", RP_KEY_PART, reader->first_partial->job_id);
    struct parts_request *request = rp_alloc(1, sizeof *request);
    request->reader = reader;
    request->generation = reader->context->generation;
    reader->is_reading = true;
    rp_kv_list(reader->context->store, RP_KV_BUDGET_LEADER, prefix, NULL, RP_PARTS_MAX,
               on_parts_response, request);
}
