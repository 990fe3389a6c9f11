#include "cluster/job_phase.h"

#include <math.h>
#include "base/memory.h"
#include "cluster/start_permission.h"
#include "cluster/task_evidence.h"

/* Seconds for which a survey is used again, and for which one is that leaves a job undetermined. */
#define SURVEY_PERIOD_S 0.5
#define UNDETERMINED_PERIOD_S 0.1

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

static void survey_allocation(const struct rp_machine *machine,
                              const struct rp_allocation *allocation) {
    struct rp_job_survey *survey = &allocation->job->survey;
    struct timespec described_at = machine->contact.described_at;
    bool is_seen = allocation->state == RP_ALLOCATION_SEEN;
    if (!is_seen && allocation->state != RP_ALLOCATION_SENT)
        return;
    if (is_seen && allocation->task_state == RP_TASK_RUNNING) {
        survey->n_running++;
        if (rp_ts_cmp(described_at, survey->running_as_of) > 0)
            survey->running_as_of = described_at;
    } else if (rp_ts_cmp(described_at, survey->idle_as_of) < 0) {
        survey->idle_as_of = described_at;
    }
}

static void survey_machine(const struct rp_machine *machine, struct timespec now,
                           struct unknown_kinds *unknown) {
    bool is_described = rp_machine_has_complete_task_list(machine);
    if (rp_machine_is_unreconciled(machine, now))
        add_unknown_kind(unknown, machine);
    for (size_t i = 0; i < machine->n_allocations; i++) {
        if (is_described)
            survey_allocation(machine, &machine->allocations[i]);
        else if (machine->allocations[i].state != RP_ALLOCATION_EXITED)
            machine->allocations[i].job->survey.has_unknown = true;
    }
}

static void survey_machines(struct rp_cluster *cluster, struct timespec now) {
    struct unknown_kinds unknown = {0};
    cluster->phases_surveyed_at = now;
    for (struct rp_job *job = cluster->jobs->table.first; job; job = job->next)
        job->survey = (struct rp_job_survey){.surveyed_at = now, .idle_as_of = now};
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        survey_machine(machine, now, &unknown);
    for (struct rp_job *job = cluster->jobs->table.first; job && unknown.n > 0; job = job->next)
        job->survey.has_unknown |= may_be_unreported(cluster, job, &unknown);
    free(unknown.kinds);
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
