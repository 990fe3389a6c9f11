#include "jobs/jobs.h"
#include "protocol/job_codec.h"

#include <string.h>

/* Seconds between two ticks. Each tick resumes the watch after a failure and sends the writes,
 * deletions and reads that are due. */
#define TICK_PERIOD_S 0.25

static void on_tick(void *arg) {
    struct rp_jobs *jobs = arg;
    rp_timer_set(jobs->context.loop, &jobs->tick_timer, TICK_PERIOD_S);
    rp_job_watch_resume(&jobs->watch);
    if (!rp_job_watch_check_leadership(&jobs->watch))
        return;
    rp_job_finisher_finish_all(&jobs->finisher);
    rp_progress_writer_write_back(&jobs->progress_writer);
    rp_garbage_collector_collect(&jobs->garbage_collector);
    rp_record_reader_read_next_parts(&jobs->record_reader);
}

static void on_loaded(void *arg, bool is_complete) {
    struct rp_jobs *jobs = arg;
    if (is_complete) {
        rp_timer_set(jobs->context.loop, &jobs->tick_timer, TICK_PERIOD_S);
        rp_job_watch_start(&jobs->watch);
    }
    jobs->on_loaded(jobs->arg, is_complete);
}

static void on_job_closed(void *arg, struct rp_job *job) {
    struct rp_jobs *jobs = arg;
    if (jobs->on_job_closed)
        jobs->on_job_closed(jobs->arg, job);
}

static void on_jobs_changed(void *arg) {
    struct rp_jobs *jobs = arg;
    if (jobs->on_open_jobs_changed)
        jobs->on_open_jobs_changed(jobs->arg);
}

static void on_parts_result(void *arg, enum rp_parts_outcome outcome) {
    struct rp_jobs *jobs = arg;
    rp_job_loader_on_parts_result(&jobs->loader, outcome);
    if (outcome == RP_PARTS_READ && jobs->watch.is_running)
        on_jobs_changed(jobs);
}

static void connect_parts(struct rp_jobs *jobs) {
    struct rp_jobs_context *context = &jobs->context;
    struct rp_job_table *table = &jobs->table;
    struct rp_garbage_collector *collector = &jobs->garbage_collector;
    rp_garbage_collector_init(collector, context);
    rp_record_reader_init(&jobs->record_reader, context, table);
    rp_job_watch_init(&jobs->watch, context, table, &jobs->record_reader, collector,
                      &jobs->deleted_records);
    rp_job_loader_init(&jobs->loader, context, table, &jobs->record_reader, &jobs->watch,
                       collector);
    rp_progress_writer_init(&jobs->progress_writer, context, table, collector);
    rp_job_finisher_init(&jobs->finisher, context, table, collector, &jobs->deleted_records);
    table->on_job_closed = on_job_closed;
    jobs->record_reader.on_parts_result = on_parts_result;
    jobs->watch.on_jobs_changed = on_jobs_changed;
    jobs->loader.on_loaded = on_loaded;
    table->arg = jobs->record_reader.arg = jobs->watch.arg = jobs->loader.arg = jobs;
}

void rp_jobs_init(struct rp_jobs *jobs, struct rp_loop *loop, struct rp_kv_client *store,
                  struct rp_election *election, const struct rp_upgrade *upgrade,
                  const struct rp_settings *settings) {
    memset(jobs, 0, sizeof *jobs);
    jobs->context = (struct rp_jobs_context){.loop = loop,
                                             .store = store,
                                             .election = election,
                                             .settings = settings,
                                             .upgrade = upgrade};
    jobs->tick_timer = (struct rp_timer){.fn = on_tick, .arg = jobs};
    connect_parts(jobs);
}

void rp_jobs_load(struct rp_jobs *jobs) {
    rp_jobs_clear(jobs);
    rp_job_loader_start(&jobs->loader);
}

void rp_jobs_clear(struct rp_jobs *jobs) {
    jobs->context.generation++;
    rp_timer_cancel(jobs->context.loop, &jobs->tick_timer);
    rp_job_loader_stop(&jobs->loader);
    rp_job_watch_stop(&jobs->watch);
    rp_garbage_collector_clear(&jobs->garbage_collector);
    rp_record_reader_clear(&jobs->record_reader);
    rp_deleted_records_clear(&jobs->deleted_records);
    rp_job_table_clear(&jobs->table);
}

struct rp_job *rp_jobs_find(const struct rp_jobs *jobs, const char *id) {
    return rp_job_table_find(&jobs->table, id);
}

double rp_jobs_staleness_s(const struct rp_jobs *jobs) {
    return rp_job_watch_staleness_s(&jobs->watch);
}

bool rp_jobs_may_answer_heartbeats(const struct rp_jobs *jobs) {
    return rp_job_watch_may_answer_heartbeats(&jobs->watch);
}

bool rp_jobs_may_start_tasks(const struct rp_jobs *jobs) {
    return rp_job_watch_may_start_tasks(&jobs->watch);
}

void rp_jobs_record_store_isolation(struct rp_jobs *jobs) {
    rp_job_watch_record_store_isolation(&jobs->watch);
}

void rp_jobs_on_task_done(struct rp_jobs *jobs, struct rp_job *job, uint32_t task) {
    /* A replica of a service is never done, whatever its worker reports when it ends. */
    if (job->state != RP_JOB_OPEN || job->spec.kind == RP_JOB_SERVICE)
        return;
    struct timespec now = rp_loop_now(jobs->context.loop);
    bool is_gang = job->spec.kind == RP_JOB_GANG;
    uint32_t first = is_gang ? 0 : task;
    uint32_t end = is_gang ? job->spec.n_tasks : task + 1;
    for (uint32_t i = first; i < end; i++)
        job->n_done += rp_job_progress_mark_done(&job->progress, i, now);
    if (job->n_done == job->spec.n_tasks) {
        rp_job_table_set_state(&jobs->table, job, RP_JOB_COMPLETE);
        rp_job_finisher_finish(&jobs->finisher, job);
    }
}

void rp_jobs_release(struct rp_jobs *jobs, struct rp_job *job) {
    rp_job_table_release(&jobs->table, job);
}

void rp_jobs_record_run_time(struct rp_jobs *jobs, struct rp_job *job, double run_s) {
    rp_run_time_estimator_record(&jobs->run_time_estimator, job, run_s);
}

double rp_jobs_expected_run_s(const struct rp_jobs *jobs, const struct rp_job *job) {
    return rp_run_time_estimator_expected_s(&jobs->run_time_estimator, job);
}
