#include "jobs/job_loader.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

#define LIST_PAGE_ITEMS 1000 /* items; the store's maximum for one list */

/* A request for a page of a list, in flight. */
struct list_request {
    struct rp_job_loader *loader;
    unsigned long generation;
};

typedef void (*item_fn)(struct rp_job_loader *loader, const struct rp_kv_item *item);

static void list_open_jobs(struct rp_job_loader *loader, const char *after);
static void list_progress(struct rp_job_loader *loader, const char *after);

void rp_job_loader_init(struct rp_job_loader *loader, struct rp_jobs_context *context,
                        struct rp_job_table *table, struct rp_record_reader *reader,
                        struct rp_job_watch *watch, struct rp_garbage_collector *collector) {
    *loader = (struct rp_job_loader){.context = context,
                                     .table = table,
                                     .reader = reader,
                                     .watch = watch,
                                     .collector = collector};
}

static void fail(struct rp_job_loader *loader) {
    loader->context->generation++; /* responses to requests of this load are ignored */
    loader->on_loaded(loader->arg, false);
}

/* Whether the response holds a page of a list for the current load. Fails the load if the request
 * failed. */
static bool has_page(const struct list_request *request, const struct rp_kv_result *result) {
    if (!rp_jobs_context_is_current(request->loader->context, request->generation))
        return false;
    if (result->outcome != RP_KV_OK)
        fail(request->loader);
    return result->outcome == RP_KV_OK;
}

static void read_progress_record(struct rp_job_loader *loader, const struct rp_kv_item *item) {
    char job_id[RP_ID_MAX];
    struct rp_progress_record record;
    if (!rp_progress_record_read_key(item->key, job_id, &record))
        return;
    struct rp_stored_records stored = rp_progress_record_as_set(record);
    struct rp_job *job = rp_job_table_find(loader->table, job_id);
    if (!job) {
        rp_garbage_collector_add(loader->collector, job_id, &stored);
        return;
    }
    size_t n_bytes = rp_job_progress_record_bytes(&job->progress, record);
    if (n_bytes == 0)
        return;
    uint8_t *bits =
        rp_job_progress_durable_bits(&job->progress) + rp_progress_record_offset(record);
    if (!rp_record_progress_read(item->value, bits, n_bytes)) {
        rp_record_reader_report_unreadable(loader->reader, item->key, item->value);
        return;
    }
    rp_job_progress_set_revision(&job->progress, record, item->revision);
    rp_stored_records_add(&job->stored, &stored);
}

static void restore_progress(struct rp_job_loader *loader) {
    for (struct rp_job *job = loader->table->first; job; job = job->next) {
        /* A replica of a service is never done, whatever progress a node of the first format has
         * written. */
        if (job->spec.kind == RP_JOB_SERVICE)
            continue;
        job->n_done = rp_job_progress_restore(&job->progress);
        if (job->n_done == job->spec.n_tasks)
            rp_job_table_set_state(loader->table, job, RP_JOB_COMPLETE);
    }
}

/* Passes each item of a page to `read_item`. Returns whether another page follows after `last_key`,
 * which is borrowed from the result. */
static bool read_page(struct rp_job_loader *loader, const struct rp_kv_result *result,
                      item_fn read_item, const char **last_key) {
    struct rp_kv_item item = {0};
    size_t n = rp_kv_result_n_items(result);
    for (size_t i = 0; i < n; i++)
        if (rp_kv_result_item_at(result, i, &item))
            read_item(loader, &item);
    *last_key = item.key;
    return rp_kv_result_has_more(result) && n > 0;
}

static void on_progress_page(void *arg, const struct rp_kv_result *result) {
    struct list_request *request = arg;
    struct rp_job_loader *loader = request->loader;
    const char *last_key;
    if (!has_page(request, result))
        goto out;
    if (read_page(loader, result, read_progress_record, &last_key)) {
        list_progress(loader, last_key);
        goto out;
    }
    restore_progress(loader);
    loader->is_loading = false;
    loader->on_loaded(loader->arg, true);
out:
    free(request);
}

static void read_fence(struct rp_job_loader *loader, const struct rp_kv_item *item) {
    if (rp_job_watch_is_fence(item))
        rp_election_record_fence(loader->context->election, item->revision);
}

static void read_open_item(struct rp_job_loader *loader, const struct rp_kv_item *item) {
    if (!rp_job_watch_is_fence(item) &&
        !rp_job_table_find(loader->table, item->key + strlen(RP_KEY_OPEN)))
        rp_record_reader_read(loader->reader, item);
}

static void continue_with_parts(struct rp_job_loader *loader) {
    if (rp_record_reader_has_partial(loader->reader))
        rp_record_reader_read_next_parts(loader->reader);
    else
        list_progress(loader, NULL);
}

static void on_open_jobs_page(void *arg, const struct rp_kv_result *result) {
    struct list_request *request = arg;
    struct rp_job_loader *loader = request->loader;
    const char *last_key;
    if (!has_page(request, result))
        goto out;
    /* A fence on the page may end this term: it is read before the jobs, which would otherwise be
     * added to the emptied table. */
    (void)read_page(loader, result, read_fence, &last_key);
    if (!rp_jobs_context_is_current(loader->context, request->generation))
        goto out;
    bool has_next = read_page(loader, result, read_open_item, &last_key);
    rp_job_watch_on_list_page(loader->watch, rp_kv_result_revision(result),
                              rp_kv_result_has_more(result));
    if (has_next)
        list_open_jobs(loader, last_key);
    else
        continue_with_parts(loader);
out:
    free(request);
}

static struct list_request *new_request(struct rp_job_loader *loader) {
    struct list_request *request = rp_alloc(1, sizeof *request);
    request->loader = loader;
    request->generation = loader->context->generation;
    return request;
}

static void list_open_jobs(struct rp_job_loader *loader, const char *after) {
    rp_kv_list(loader->context->store, RP_KV_BUDGET_LEADER, RP_KEY_OPEN, after, LIST_PAGE_ITEMS,
               on_open_jobs_page, new_request(loader));
}

static void list_progress(struct rp_job_loader *loader, const char *after) {
    rp_kv_list(loader->context->store, RP_KV_BUDGET_LEADER, RP_KEY_PROGRESS, after, LIST_PAGE_ITEMS,
               on_progress_page, new_request(loader));
}

void rp_job_loader_start(struct rp_job_loader *loader) {
    loader->is_loading = true;
    rp_job_watch_on_load_start(loader->watch);
    list_open_jobs(loader, NULL);
}

void rp_job_loader_stop(struct rp_job_loader *loader) {
    loader->is_loading = false;
}

void rp_job_loader_on_parts_result(struct rp_job_loader *loader, enum rp_parts_outcome outcome) {
    if (!loader->is_loading)
        return;
    if (outcome == RP_PARTS_FAILED)
        fail(loader);
    else if (!rp_record_reader_has_partial(loader->reader))
        list_progress(loader, NULL);
}
