#include "jobs/job_table.h"

#include <string.h>

static size_t bucket_of(const char *id) {
    return (size_t)(rp_hash_string(id) % RP_JOB_TABLE_BUCKETS);
}

struct rp_job *rp_job_table_find(const struct rp_job_table *table, const char *id) {
    struct rp_job *job = table->buckets[bucket_of(id)];
    while (job && strcmp(job->spec.id, id) != 0)
        job = job->hash_next;
    return job;
}

static void link_in_order(struct rp_job_table *table, struct rp_job *job) {
    struct rp_job *after = table->last;
    while (after && rp_ts_cmp(after->accepted_wall_at, job->accepted_wall_at) > 0)
        after = after->prev;
    job->prev = after;
    job->next = after ? after->next : table->first;
    *(job->next ? &job->next->prev : &table->last) = job;
    *(after ? &after->next : &table->first) = job;
}

void rp_job_table_insert(struct rp_job_table *table, struct rp_job *job) {
    struct rp_job **bucket = &table->buckets[bucket_of(job->spec.id)];
    job->hash_next = *bucket;
    *bucket = job;
    link_in_order(table, job);
    table->n_jobs++;
    table->n_services += job->spec.kind == RP_JOB_SERVICE;
}

static void table_remove(struct rp_job_table *table, struct rp_job *job) {
    struct rp_job **link = &table->buckets[bucket_of(job->spec.id)];
    while (*link != job)
        link = &(*link)->hash_next;
    *link = job->hash_next;
    *(job->prev ? &job->prev->next : &table->first) = job->next;
    *(job->next ? &job->next->prev : &table->last) = job->prev;
    table->n_jobs--;
}

/* The edges, with their events:
 * OPEN -> COMPLETE       the last task was reported done, or the stored progress shows on loading
 *                        that all tasks are done
 * COMPLETE -> FINISHING  the finishing transaction was sent
 * FINISHING -> COMPLETE  the finishing transaction failed or got no response: it is sent again
 * FINISHING -> CLOSED    the finishing transaction succeeded
 * any other -> CLOSED    the watch shows that the record was deleted: the job was cancelled, or a
 *                        finishing transaction that got no response was carried out */
void rp_job_table_set_state(struct rp_job_table *table, struct rp_job *job,
                            enum rp_job_state state) {
    job->state = state;
    if (state != RP_JOB_CLOSED)
        return;
    table->n_services -= job->spec.kind == RP_JOB_SERVICE;
    /* The call-back drops the job's allocations, and dropping the last reference frees a closed
     * job: this reference keeps the job valid until the call-back has returned. */
    job->n_refs++;
    table->on_job_closed(table->arg, job);
    rp_job_table_release(table, job);
}

void rp_job_table_release(struct rp_job_table *table, struct rp_job *job) {
    job->n_refs--;
    if (job->state == RP_JOB_CLOSED && job->n_refs == 0) {
        table_remove(table, job);
        rp_job_free(job);
    }
}

void rp_job_table_clear(struct rp_job_table *table) {
    struct rp_job *next;
    for (struct rp_job *job = table->first; job; job = next) {
        next = job->next;
        rp_job_free(job);
    }
    memset(table->buckets, 0, sizeof table->buckets);
    table->first = table->last = NULL;
    table->n_jobs = table->n_services = 0;
}
