#include "cluster/job_phase.h"

#include <math.h>
#include "base/log.h"
#include "base/memory.h"
#include "cluster/start_permission.h"
#include "cluster/task_evidence.h"

/* Seconds for which a survey is used again, and for which one is that leaves a job undetermined. */
#define SURVEY_PERIOD_S 0.5
#define UNDETERMINED_PERIOD_S 0.1
/* Seconds without a known phase after which a job's machines are probed. In most jobs a task runs
 * within that time. */
#define PROBE_AFTER_S 6.0
/* The longest interval between two heartbeats as a multiple of report_s (PROTOCOL, "Workers"), and
 * seconds beyond it after which a heartbeat is late. */
#define HEARTBEAT_INTERVAL_FACTOR 1.25
#define HEARTBEAT_LATE_S 0.75
/* Seconds without a known phase after which a line is logged about a job, and seconds until the
 * next line about the same job. */
#define GAP_LOGGED_AFTER_S 20.0
#define GAP_LOG_PERIOD_S 30.0
/* Maximum number of jobs about which one survey logs a line. */
#define GAP_LOG_JOBS_MAX 3

/* A type, zone and kind of which there are machines that may hold unreported tasks. */
struct machine_kind {
    int type, zone;
    bool spot;
};

/* The distinct kinds of the machines that may hold unreported tasks. */
struct unknown_kinds {
    struct machine_kind *kinds;
    size_t n;
};

static void add_unknown_kind(struct unknown_kinds *unknown, const struct rp_machine *machine) {
    for (size_t i = 0; i < unknown->n; i++) {
        const struct machine_kind *kind = &unknown->kinds[i];
        if (kind->type == machine->type && kind->zone == machine->zone &&
            kind->spot == machine->spot)
            return;
    }
    unknown->kinds = rp_realloc(unknown->kinds, unknown->n + 1, sizeof *unknown->kinds);
    unknown->kinds[unknown->n++] =
        (struct machine_kind){.type = machine->type, .zone = machine->zone, .spot = machine->spot};
}

/* Whether a machine may hold tasks of this job that no message to this leader describes. */
static bool may_be_unreported(const struct rp_cluster *cluster, const struct rp_job *job,
                              const struct unknown_kinds *unknown) {
    /* A job whose record is newer than this leader's fencing token was accepted after the previous
     * leader's lease had ended: no other leader can have started any of its tasks. */
    if (job->accepted_revision > cluster->fencing_token)
        return false;
    for (size_t i = 0; i < unknown->n; i++) {
        const struct machine_kind *kind = &unknown->kinds[i];
        if (kind->type < 0 || kind->zone < 0 ||
            rp_cluster_is_kind_allowed(cluster, &job->spec, kind->type, kind->zone, kind->spot))
            return true;
    }
    return false;
}

/* Whether the machine's next heartbeat should have arrived by now. */
static bool is_heartbeat_late(const struct rp_cluster *cluster, const struct rp_machine *machine,
                              struct timespec now) {
    double interval_max_s =
        cluster->settings->report_s * HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_LATE_S;
    return rp_ts_since(now, machine->contact.last_message_at) > interval_max_s;
}

static void survey_allocation(const struct rp_machine *machine,
                              const struct rp_allocation *allocation, bool is_silent) {
    struct rp_job_survey *survey = &allocation->job->survey;
    struct timespec described_at = machine->contact.described_at;
    bool is_seen = allocation->state == RP_ALLOCATION_SEEN;
    if (!is_seen && allocation->state != RP_ALLOCATION_SENT)
        return;
    if (is_seen && allocation->task_state == RP_TASK_RUNNING) {
        survey->n_running++;
        if (rp_ts_cmp(described_at, survey->running_as_of) > 0)
            survey->running_as_of = described_at;
    } else {
        survey->has_silent |= is_silent;
        if (rp_ts_cmp(described_at, survey->idle_as_of) < 0)
            survey->idle_as_of = described_at;
    }
}

static void survey_machine(const struct rp_cluster *cluster, const struct rp_machine *machine,
                           struct timespec now, struct unknown_kinds *unknown) {
    bool is_described = rp_machine_has_complete_task_list(machine);
    bool is_silent = is_heartbeat_late(cluster, machine, now);
    if (!is_described)
        add_unknown_kind(unknown, machine);
    for (size_t i = 0; i < machine->n_allocations; i++) {
        if (is_described)
            survey_allocation(machine, &machine->allocations[i], is_silent);
        else if (machine->allocations[i].state != RP_ALLOCATION_EXITED)
            machine->allocations[i].job->survey.has_unknown = true;
    }
}

/* Whether there may have been no moment without a running task: after the message that one has
 * stopped, no message has shown that another one, of another machine, does not run. */
static bool may_have_overlapped(const struct rp_job *job) {
    bool has_started_tasks = rp_ts_cmp(job->survey.idle_as_of, job->survey.surveyed_at) < 0;
    return has_started_tasks && rp_ts_cmp(job->survey.idle_as_of, job->stopped_running_at) < 0;
}

/* Fills in the status as the newest survey has it. */
static void read_survey(const struct rp_job *job, struct timespec now,
                        struct rp_job_status *status) {
    const struct rp_job_survey *survey = &job->survey;
    struct timespec as_of = survey->idle_as_of;
    status->phase = RP_JOB_QUEUED;
    status->done = job->n_done;
    status->running = survey->n_running;
    if (survey->n_running > 0) {
        status->phase = RP_JOB_RUNNING;
        as_of = survey->running_as_of;
    } else if (survey->has_unknown || may_have_overlapped(job)) {
        status->phase = RP_JOB_UNDETERMINED;
    }
    status->age_s = fmax(0, rp_ts_since(now, as_of));
    if (status->age_s > RP_JOB_PHASE_AGE_MAX_S)
        status->phase = RP_JOB_UNDETERMINED;
}

/* ---- jobs whose phase is not known ---- */

const char *rp_phase_gap_cause_name(enum rp_phase_gap_cause cause) {
    static const char *const names[] = {
        [RP_PHASE_GAP_NONE] = "none",
        [RP_PHASE_GAP_UNRECONCILED] = "unreconciled_machine",
        [RP_PHASE_GAP_SILENT_MACHINE] = "silent_machine",
        [RP_PHASE_GAP_OLD_HEARTBEATS] = "old_heartbeats",
    };
    return names[cause];
}

static enum rp_phase_gap_cause gap_cause(const struct rp_job *job, struct timespec now) {
    struct rp_job_status status = {0};
    read_survey(job, now, &status);
    if (status.phase != RP_JOB_UNDETERMINED)
        return RP_PHASE_GAP_NONE;
    if (job->survey.n_running == 0 && job->survey.has_unknown)
        return RP_PHASE_GAP_UNRECONCILED;
    /* A running task whose machine's message is old is on a machine that does not report, or it
     * reports shortly. */
    return job->survey.n_running > 0 || job->survey.has_silent ? RP_PHASE_GAP_SILENT_MACHINE
                                                               : RP_PHASE_GAP_OLD_HEARTBEATS;
}

/* Probing begins after PROBE_AFTER_S and goes on, whenever the phase is not known, until a task
 * runs or none is started. */
static void observe_gap(struct rp_job *job, struct timespec now) {
    struct rp_phase_gap *gap = &job->phase_gap;
    if (job->state == RP_JOB_CLOSED) {
        *gap = (struct rp_phase_gap){0};
        return;
    }
    bool has_idle_tasks = rp_ts_cmp(job->survey.idle_as_of, job->survey.surveyed_at) < 0;
    gap->cause = gap_cause(job, now);
    if (gap->cause == RP_PHASE_GAP_NONE)
        gap->since = gap->logged = (struct timespec){0};
    else if (rp_ts_is_zero(gap->since))
        gap->since = now;
    if (job->survey.n_running > 0 || !has_idle_tasks)
        gap->needs_probes = false;
    else if (gap->cause == RP_PHASE_GAP_OLD_HEARTBEATS &&
             rp_ts_since(now, gap->since) > PROBE_AFTER_S)
        gap->needs_probes = true;
}

/* Returns whether a line was logged. */
static bool log_gap(struct rp_job *job, struct timespec now) {
    struct rp_phase_gap *gap = &job->phase_gap;
    double gap_s = rp_ts_is_zero(gap->since) ? 0 : rp_ts_since(now, gap->since);
    bool is_due = rp_ts_is_zero(gap->logged) || rp_ts_since(now, gap->logged) > GAP_LOG_PERIOD_S;
    if (gap_s < GAP_LOGGED_AFTER_S || !is_due)
        return false;
    gap->logged = now;
    rp_info("state of a job unknown: job=%s reason=%s unknown_s=%.1f", job->spec.id,
            rp_phase_gap_cause_name(gap->cause), gap_s);
    return true;
}

static void observe_gaps(struct rp_cluster *cluster, struct timespec now) {
    int n_logged = 0;
    cluster->n_phase_gaps = 0;
    cluster->longest_phase_gap_s = 0;
    for (struct rp_job *job = cluster->jobs->table.first; job; job = job->next) {
        observe_gap(job, now);
        if (rp_ts_is_zero(job->phase_gap.since))
            continue;
        cluster->n_phase_gaps++;
        cluster->longest_phase_gap_s =
            fmax(cluster->longest_phase_gap_s, rp_ts_since(now, job->phase_gap.since));
        if (n_logged < GAP_LOG_JOBS_MAX)
            n_logged += log_gap(job, now);
    }
}

bool rp_job_phase_needs_probe(const struct rp_machine *machine, struct timespec since) {
    if (rp_ts_cmp(machine->contact.described_at, since) >= 0)
        return false;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        const struct rp_phase_gap *gap = &allocation->job->phase_gap;
        bool is_started =
            allocation->state == RP_ALLOCATION_SENT || allocation->state == RP_ALLOCATION_SEEN;
        if (is_started && gap->needs_probes && gap->cause == RP_PHASE_GAP_OLD_HEARTBEATS)
            return true;
    }
    return false;
}

/* ---- the survey ---- */

static void survey_machines(struct rp_cluster *cluster, struct timespec now) {
    struct unknown_kinds unknown = {0};
    cluster->phases_surveyed_at = now;
    for (struct rp_job *job = cluster->jobs->table.first; job; job = job->next)
        job->survey = (struct rp_job_survey){.surveyed_at = now, .idle_as_of = now};
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        survey_machine(cluster, machine, now, &unknown);
    for (struct rp_job *job = cluster->jobs->table.first; job && unknown.n > 0; job = job->next)
        job->survey.has_unknown |= may_be_unreported(cluster, job, &unknown);
    free(unknown.kinds);
    observe_gaps(cluster, now);
}

void rp_job_phase_survey(struct rp_cluster *cluster, double max_age_s) {
    struct timespec now = rp_loop_now(cluster->loop);
    if (rp_ts_is_zero(cluster->phases_surveyed_at) ||
        rp_ts_since(now, cluster->phases_surveyed_at) >= max_age_s)
        survey_machines(cluster, now);
}

void rp_job_phase_read(struct rp_cluster *cluster, struct rp_job *job,
                       struct rp_job_status *status) {
    struct timespec now = rp_loop_now(cluster->loop);
    double survey_age_s = rp_ts_since(now, cluster->phases_surveyed_at);
    bool is_surveyed = !rp_ts_is_zero(job->survey.surveyed_at);
    if (!is_surveyed || survey_age_s >= SURVEY_PERIOD_S)
        survey_machines(cluster, now);
    read_survey(job, now, status);
    if (status->phase == RP_JOB_UNDETERMINED &&
        rp_ts_since(now, cluster->phases_surveyed_at) >= UNDETERMINED_PERIOD_S) {
        survey_machines(cluster, now);
        read_survey(job, now, status);
    }
}
