#include "cluster/quarantine.h"

#include <math.h>
#include <string.h>
#include "base/log.h"
#include "base/string_copy.h"

#define JOB_SUSPECT 2 /* machines on which a job failed, with no success anywhere */
#define SUSPICION_S                                                                                \
    20.0 /* a machine gets nothing meanwhile: the job may yet show whose fault it is */
#define PAUSE_S 0.5
#define PAUSE_MAX_S 30.0

/* Its tasks can end well, or run: what fails of it is the machine's fault. */
static bool works(const struct rp_job *job) {
    return job->n_done > 0 || (job->spec.kind == RP_JOB_SERVICE && job->n_running > 0);
}

bool rp_quarantine_is_job_suspected(const struct rp_job *job) {
    return job->n_failed_machines >= JOB_SUSPECT && !works(job);
}

bool rp_quarantine_note_job_failure(struct rp_job *job, const struct rp_machine *machine) {
    for (unsigned i = 0; i < job->n_failed_machines; i++)
        if (strcmp(job->failed_machines[i], machine->name) == 0)
            return false;
    if (job->n_failed_machines < RP_JOB_FAILED_MACHINES_MAX)
        rp_string_copy(job->failed_machines[job->n_failed_machines++],
                       sizeof job->failed_machines[job->n_failed_machines++], machine->name);
    return true;
}

static void forgive(struct rp_machine *machine) {
    machine->health.consecutive_errors = machine->health.n_error_jobs = 0;
    machine->health.last_error_job = 0;
    machine->health.suspected = false;
}

static void condemn(struct rp_cluster *cluster, struct rp_machine *machine,
                    const struct rp_job *job) {
    if (machine->health.quarantined)
        return;
    rp_info("machine %s is faulty: errors=%u, last job=%s", machine->name,
            machine->health.consecutive_errors, job->spec.id);
    machine->health.quarantined = true;
    for (struct rp_job *j = cluster->jobs->table.first; j; j = j->next)
        for (unsigned i = 0; i < j->n_failed_machines; i++)
            if (strcmp(j->failed_machines[i], machine->name) == 0) {
                j->n_failed_machines--;
                if (i != j->n_failed_machines)
                    rp_string_copy(j->failed_machines[i], sizeof j->failed_machines[i],
                                   j->failed_machines[j->n_failed_machines]);
                break;
            }
}

/* One job's errors are no proof: jobs with a mistake had every third good machine they met given
 * back, with its images (incident 4d52). Two jobs' are, or one's whose tasks end well elsewhere. */
void rp_quarantine_count_machine_error(struct rp_cluster *cluster, const struct rp_job *job,
                                       struct rp_machine *machine, struct timespec now) {
    machine->health.consecutive_errors++;
    if (machine->health.last_error_job != rp_hash_string(job->spec.id)) {
        machine->health.last_error_job = rp_hash_string(job->spec.id);
        machine->health.n_error_jobs++;
    }
    if (machine->health.consecutive_errors < cluster->settings->tuning.faulty_after)
        return;
    if (works(job) || machine->health.n_error_jobs >= 2) {
        condemn(cluster, machine, job);
    } else {
        machine->health.suspected = true;
        machine->health.suspected_until = rp_ts_after(now, SUSPICION_S);
    }
}

/* The job fails everywhere: what it did to the machines' names is undone. */
static void clear_machines(struct rp_cluster *cluster, const struct rp_job *job) {
    for (unsigned i = 0; i < job->n_failed_machines; i++) {
        struct rp_machine *machine = rp_machine_find(cluster, job->failed_machines[i]);
        if (machine && machine->health.n_error_jobs <= 1 &&
            machine->health.last_error_job == rp_hash_string(job->spec.id))
            forgive(machine);
    }
}

void rp_quarantine_on_task_error(struct rp_cluster *cluster, struct rp_job *job,
                                 struct rp_machine *machine, struct timespec now) {
    (void)rp_quarantine_note_job_failure(job, machine);
    if (!rp_quarantine_is_job_suspected(job)) {
        job->start_backoff_until = rp_ts_after(now, PAUSE_S);
        rp_quarantine_count_machine_error(cluster, job, machine, now);
        return;
    }
    clear_machines(cluster, job);
    /* Errors of tasks that were started together count once. */
    if (rp_ts_reached(now, job->start_backoff_until))
        job->n_start_backoffs++;
    double pause = fmin(ldexp(PAUSE_S, (int)fmin(job->n_start_backoffs, 8)), PAUSE_MAX_S);
    job->start_backoff_until = rp_ts_after(now, pause);
}

void rp_quarantine_on_task_success(struct rp_cluster *cluster, struct rp_job *job,
                                   struct rp_machine *machine) {
    forgive(machine);
    job->n_start_backoffs = 0;
    if (job->n_done != 1)
        return;
    for (unsigned i = job->n_failed_machines; i-- > 0;) {
        struct rp_machine *other = rp_machine_find(cluster, job->failed_machines[i]);
        if (other && other->health.consecutive_errors >= cluster->settings->tuning.faulty_after)
            condemn(cluster, other, job);
    }
}

void rp_quarantine_step(struct rp_machine *machine, struct timespec now) {
    if (machine->health.suspected && rp_ts_reached(now, machine->health.suspected_until))
        machine->health.suspected = false;
}
