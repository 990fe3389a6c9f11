#include "cluster/quarantine.h"

#include <math.h>
#include <string.h>
#include "base/log.h"
#include "base/string_copy.h"

/* Machines on which a job failed, with no success anywhere, until it is suspected. */
#define JOB_SUSPECTED_MACHINES 2
/* Jobs that failed on a machine in a row until it is at fault, whatever becomes of them elsewhere.
 */
#define MACHINE_AT_FAULT_JOBS 2
/* A suspected machine gets nothing meanwhile: the job may yet show whose fault it is. */
#define SUSPICION_S 20.0
/* Before a job that failed is started again; doubles while it fails wherever it starts. */
#define START_BACKOFF_S 0.5
#define START_BACKOFF_MAX_S 30.0
#define START_BACKOFF_DOUBLINGS_MAX 8

/* Whether the job's tasks can end well, or run: what fails of it is the machine's fault. */
static bool has_proved_itself(const struct rp_job *job) {
    return job->n_done > 0 || (job->spec.kind == RP_JOB_SERVICE && job->n_running > 0);
}

bool rp_quarantine_is_job_suspected(const struct rp_job *job) {
    return job->n_failed_machines >= JOB_SUSPECTED_MACHINES && !has_proved_itself(job);
}

/* ---- machines on which a job failed ---- */

/* The machine's position among those on which the job failed; n_failed_machines: it is none. */
static unsigned failed_machine_index(const struct rp_job *job, const struct rp_machine *machine) {
    unsigned i = 0;
    while (i < job->n_failed_machines && strcmp(job->failed_machines[i], machine->name) != 0)
        i++;
    return i;
}

bool rp_quarantine_note_job_failure(struct rp_job *job, const struct rp_machine *machine) {
    if (failed_machine_index(job, machine) < job->n_failed_machines)
        return false;
    if (job->n_failed_machines < RP_JOB_FAILED_MACHINES_MAX) {
        char *name = job->failed_machines[job->n_failed_machines++];
        rp_string_copy(name, sizeof job->failed_machines[0], machine->name);
    }
    return true;
}

/* The machine was at fault: the job's error there says nothing about the job. */
static void remove_failed_machine(struct rp_job *job, const struct rp_machine *machine) {
    unsigned index = failed_machine_index(job, machine);
    if (index == job->n_failed_machines)
        return;
    unsigned last = --job->n_failed_machines;
    if (index != last)
        rp_string_copy(job->failed_machines[index], sizeof job->failed_machines[index],
                       job->failed_machines[last]);
}

/* ---- machines ---- */

static void clear_errors(struct rp_machine *machine) {
    machine->health.n_consecutive_errors = machine->health.n_error_jobs = 0;
    machine->health.last_error_job = 0;
    machine->health.suspected = false;
}

static void quarantine(struct rp_cluster *cluster, struct rp_machine *machine,
                       const struct rp_job *job) {
    if (machine->health.quarantined)
        return;
    rp_info("machine quarantined: machine=%s n_errors=%u job=%s", machine->name,
            machine->health.n_consecutive_errors, job->spec.id);
    machine->health.quarantined = true;
    for (struct rp_job *other = cluster->jobs->table.first; other; other = other->next)
        remove_failed_machine(other, machine);
}

static bool has_too_many_errors(const struct rp_cluster *cluster,
                                const struct rp_machine *machine) {
    return machine->health.n_consecutive_errors >= cluster->settings->tuning.faulty_after;
}

/* One job's errors are no proof: jobs with a mistake had every third good machine they met given
 * back, with its images (incident 4d52). Two jobs' are, or one's whose tasks end well elsewhere. */
void rp_quarantine_count_machine_error(struct rp_cluster *cluster, const struct rp_job *job,
                                       struct rp_machine *machine, struct timespec now) {
    struct rp_machine_health *health = &machine->health;
    uint64_t job_hash = rp_hash_string(job->spec.id);
    health->n_consecutive_errors++;
    if (health->last_error_job != job_hash) {
        health->last_error_job = job_hash;
        health->n_error_jobs++;
    }
    if (!has_too_many_errors(cluster, machine))
        return;
    if (has_proved_itself(job) || health->n_error_jobs >= MACHINE_AT_FAULT_JOBS) {
        quarantine(cluster, machine, job);
    } else {
        health->suspected = true;
        health->suspected_until = rp_ts_after(now, SUSPICION_S);
    }
}

void rp_quarantine_step(struct rp_machine *machine, struct timespec now) {
    if (machine->health.suspected && rp_ts_reached(now, machine->health.suspected_until))
        machine->health.suspected = false;
}

/* ---- ends of tasks ---- */

/* The job fails everywhere: its errors are taken off the machines that had no others. */
static void clear_machines_of(struct rp_cluster *cluster, const struct rp_job *job) {
    uint64_t job_hash = rp_hash_string(job->spec.id);
    for (unsigned i = 0; i < job->n_failed_machines; i++) {
        struct rp_machine *machine = rp_machine_find(cluster, job->failed_machines[i]);
        if (machine && machine->health.n_error_jobs <= 1 &&
            machine->health.last_error_job == job_hash)
            clear_errors(machine);
    }
}

static double start_backoff_s(const struct rp_job *job) {
    double n_doublings = fmin(job->n_start_backoffs, START_BACKOFF_DOUBLINGS_MAX);
    return fmin(ldexp(START_BACKOFF_S, (int)n_doublings), START_BACKOFF_MAX_S);
}

void rp_quarantine_on_task_error(struct rp_cluster *cluster, struct rp_job *job,
                                 struct rp_machine *machine, struct timespec now) {
    (void)rp_quarantine_note_job_failure(job, machine);
    if (!rp_quarantine_is_job_suspected(job)) {
        job->start_backoff_until = rp_ts_after(now, START_BACKOFF_S);
        rp_quarantine_count_machine_error(cluster, job, machine, now);
        return;
    }
    clear_machines_of(cluster, job);
    /* Errors of tasks that were started together count once. */
    if (rp_ts_reached(now, job->start_backoff_until))
        job->n_start_backoffs++;
    job->start_backoff_until = rp_ts_after(now, start_backoff_s(job));
}

void rp_quarantine_on_task_success(struct rp_cluster *cluster, struct rp_job *job,
                                   struct rp_machine *machine) {
    clear_errors(machine);
    job->n_start_backoffs = 0;
    if (job->n_done != 1)
        return;
    /* The job's first success shows that its errors were the machines' fault. */
    for (unsigned i = job->n_failed_machines; i-- > 0;) {
        struct rp_machine *other = rp_machine_find(cluster, job->failed_machines[i]);
        if (other && has_too_many_errors(cluster, other))
            quarantine(cluster, other, job);
    }
}
