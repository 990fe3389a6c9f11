#include "cluster/quarantine.h"

#include <math.h>
#include <string.h>
#include "base/log.h"
#include "base/string_copy.h"

/* Number of machines on which a job must have failed, without any success, to be suspected. */
#define JOB_SUSPECTED_MACHINES 2
/* Number of jobs that must have failed on a machine, without a success in between, for it to be
 * faulty regardless of the results of these jobs on other machines. */
#define MACHINE_AT_FAULT_JOBS 2
/* Time for which no task is started on a suspected machine: the results of the job's tasks on other
 * machines may show during that time whether the job is at fault. */
#define SUSPICION_S 20.0
/* Backoff before a job that failed is started again; the backoff doubles while the job fails on
 * every machine. */
#define START_BACKOFF_S 0.5
#define START_BACKOFF_MAX_S 30.0
#define START_BACKOFF_DOUBLINGS_MAX 8

/* Whether a task of the job has succeeded, or a replica of the service runs: errors of its tasks
 * are then attributed to their machines. */
static bool has_working_task(const struct rp_job *job) {
    return job->n_done > 0 || (job->spec.kind == RP_JOB_SERVICE && job->n_running > 0);
}

bool rp_quarantine_is_job_suspected(const struct rp_job *job) {
    return job->n_failed_machines >= JOB_SUSPECTED_MACHINES && !has_working_task(job);
}

/* ---- machines on which a job failed ---- */

/* The machine's index among the machines on which the job failed; n_failed_machines if it is not
 * one of them. */
static unsigned failed_machine_index(const struct rp_job *job, const struct rp_machine *machine) {
    unsigned i = 0;
    while (i < job->n_failed_machines && strcmp(job->failed_machines[i], machine->name) != 0)
        i++;
    return i;
}

bool rp_quarantine_record_job_failure(struct rp_job *job, const struct rp_machine *machine) {
    if (failed_machine_index(job, machine) < job->n_failed_machines)
        return false;
    if (job->n_failed_machines < RP_JOB_FAILED_MACHINES_MAX) {
        char *name = job->failed_machines[job->n_failed_machines++];
        rp_string_copy(name, sizeof job->failed_machines[0], machine->name);
    }
    return true;
}

/* Removes a faulty machine from the job's failed machines: an error on a faulty machine does not
 * show that the job is faulty. */
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

/* Errors of a single job do not prove that the machine is faulty: without this rule, faulty jobs
 * caused every third good machine on which they ran to be released, with its images (incident
 * 4d52). Errors of two jobs prove that the machine is faulty, and so do errors of one job whose
 * tasks succeed on other machines. */
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
    if (has_working_task(job) || health->n_error_jobs >= MACHINE_AT_FAULT_JOBS) {
        quarantine(cluster, machine, job);
    } else {
        health->suspected = true;
        health->suspected_until = rp_ts_after(now, SUSPICION_S);
    }
}

void rp_quarantine_step(struct rp_machine *machine, struct timespec now) {
    if (machine->health.suspected && rp_ts_is_reached(now, machine->health.suspected_until))
        machine->health.suspected = false;
}

/* ---- results of tasks ---- */

/* The job is faulty: clears the errors of machines on which no other job has failed. */
static void clear_errors_caused_by(struct rp_cluster *cluster, const struct rp_job *job) {
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
    (void)rp_quarantine_record_job_failure(job, machine);
    if (!rp_quarantine_is_job_suspected(job)) {
        job->start_backoff_until = rp_ts_after(now, START_BACKOFF_S);
        rp_quarantine_count_machine_error(cluster, job, machine, now);
        return;
    }
    clear_errors_caused_by(cluster, job);
    /* Errors of tasks that were started together count once towards the backoff. */
    if (rp_ts_is_reached(now, job->start_backoff_until))
        job->n_start_backoffs++;
    job->start_backoff_until = rp_ts_after(now, start_backoff_s(job));
}

void rp_quarantine_on_task_success(struct rp_cluster *cluster, struct rp_job *job,
                                   struct rp_machine *machine) {
    clear_errors(machine);
    job->n_start_backoffs = 0;
    if (job->n_done != 1)
        return;
    /* The job's first success shows that the machines on which it failed are faulty. */
    for (unsigned i = job->n_failed_machines; i-- > 0;) {
        struct rp_machine *other = rp_machine_find(cluster, job->failed_machines[i]);
        if (other && has_too_many_errors(cluster, other))
            quarantine(cluster, other, job);
    }
}
