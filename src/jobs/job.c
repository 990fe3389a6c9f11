#include "jobs/job.h"

#include <stdlib.h>
#include "base/memory.h"
#include "protocol/job_codec.h"

/* The clocks of the accepting node and of this node may differ: a job's age is never negative. */
static double age_at_first_seen_s(const struct rp_jobs_context *context, const struct rp_job *job) {
    struct timespec wall_now;
    if (context->loop->is_virtual)
        return 0;
    clock_gettime(CLOCK_REALTIME, &wall_now);
    return fmax(0, rp_ts_since(wall_now, job->accepted_wall_at));
}

struct rp_job *rp_job_create(const struct rp_jobs_context *context, json_t *record,
                             uint64_t revision) {
    struct rp_job *job = rp_alloc(1, sizeof *job);
    if (!rp_record_open_read(record, &job->spec, &job->accepted_wall_at)) {
        free(job);
        return NULL;
    }
    job->record_revision = job->accepted_revision = revision;
    job->first_seen_at = rp_loop_now(context->loop);
    job->age_at_first_seen_s = age_at_first_seen_s(context, job);
    job->image_hash = rp_hash_string(job->spec.image);
    job->team = rp_settings_team(context->settings, job->spec.team);
    rp_job_progress_init(&job->progress, job->spec.n_tasks);
    return job;
}

static uint32_t n_count_blocks(const struct rp_job *job) {
    return (job->spec.n_tasks + RP_JOB_COUNT_BLOCK - 1) / RP_JOB_COUNT_BLOCK;
}

static void free_counts(struct rp_job *job) {
    for (uint32_t i = 0; job->task_allocation_counts && i < n_count_blocks(job); i++)
        free(job->task_allocation_counts[i]);
    free(job->task_allocation_counts);
    job->task_allocation_counts = NULL;
}

/* The task's count, in a block that is created if necessary. */
static uint8_t *count_of(struct rp_job *job, uint32_t task) {
    if (!job->task_allocation_counts)
        job->task_allocation_counts = rp_alloc(n_count_blocks(job), sizeof(uint8_t *));
    uint8_t **block = &job->task_allocation_counts[task / RP_JOB_COUNT_BLOCK];
    if (!*block)
        *block = rp_alloc(RP_JOB_COUNT_BLOCK, 1);
    return &(*block)[task % RP_JOB_COUNT_BLOCK];
}

void rp_job_free(struct rp_job *job) {
    rp_job_spec_free(&job->spec);
    rp_job_progress_free(&job->progress);
    free_counts(job);
    free(job);
}

double rp_job_age_s(const struct rp_job *job, struct timespec now) {
    return job->age_at_first_seen_s + rp_ts_since(now, job->first_seen_at);
}

bool rp_job_is_task_done(const struct rp_job *job, uint32_t task) {
    return rp_job_progress_is_done(&job->progress, task);
}

bool rp_job_is_task_durable(const struct rp_job *job, uint32_t task) {
    bool needs_no_record = job->state == RP_JOB_CLOSED || job->spec.kind == RP_JOB_SERVICE;
    return needs_no_record || rp_job_progress_is_durable(&job->progress, task);
}

unsigned rp_job_n_task_allocations(const struct rp_job *job, uint32_t task) {
    const uint8_t *block =
        job->task_allocation_counts ? job->task_allocation_counts[task / RP_JOB_COUNT_BLOCK] : NULL;
    return block ? block[task % RP_JOB_COUNT_BLOCK] : 0;
}

bool rp_job_find_startable_task(struct rp_job *job, uint32_t *task) {
    for (; job->first_startable_task < job->spec.n_tasks; job->first_startable_task++)
        if (rp_job_n_task_allocations(job, job->first_startable_task) == 0 &&
            !rp_job_is_task_done(job, job->first_startable_task)) {
            *task = job->first_startable_task;
            return true;
        }
    return false;
}

void rp_job_count_allocation(struct rp_job *job, uint32_t task, int sign) {
    uint8_t *count = count_of(job, task);
    *count = (uint8_t)(*count + sign);
    job->n_allocated += (uint32_t)sign;
    /* Waiting jobs hold no counts: there may be many of them, with up to 100,000 tasks each. */
    if (job->n_allocated == 0)
        free_counts(job);
}
