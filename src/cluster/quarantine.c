#include "cluster/quarantine.h"

#include <math.h>
#include <string.h>
#include "base/log.h"

#define JOB_SUSPECT 2 /* machines on which a job failed, with no success anywhere */
#define SUSPICION_S                                                                                \
    20.0 /* a machine gets nothing meanwhile: the job may yet show whose fault it is */
#define PAUSE_S 0.5
#define PAUSE_MAX_S 30.0

/* Its tasks can end well, or run: what fails of it is the machine's fault. */
static bool works(const struct rp_job *job) {
    return job->n_done > 0 || (job->spec.kind == RP_SERVICE && job->n_running > 0);
}

bool rp_task_errors_job_suspect(const struct rp_job *job) {
    return job->n_error_on >= JOB_SUSPECT && !works(job);
}

bool rp_task_errors_note(struct rp_job *job, const struct rp_machine *machine) {
    for (unsigned i = 0; i < job->n_error_on; i++)
        if (strcmp(job->error_on[i], machine->name) == 0)
            return false;
    if (job->n_error_on < RP_JOB_ERRORS_KEPT)
        strcpy(job->error_on[job->n_error_on++], machine->name);
    return true;
}

static void forgive(struct rp_machine *machine) {
    machine->errors_row = machine->n_error_jobs = 0;
    machine->last_error_job = 0;
    machine->suspect = false;
}

static void condemn(struct rp_cluster *cluster, struct rp_machine *machine,
                    const struct rp_job *job) {
    if (machine->faulty)
        return;
    rp_info("machine %s is faulty: errors=%u, last job=%s", machine->name, machine->errors_row,
            job->spec.id);
    machine->faulty = true;
    for (struct rp_job *j = cluster->jobs->first; j; j = j->next)
        for (unsigned i = 0; i < j->n_error_on; i++)
            if (strcmp(j->error_on[i], machine->name) == 0) {
                j->n_error_on--;
                if (i != j->n_error_on)
                    strcpy(j->error_on[i], j->error_on[j->n_error_on]);
                break;
            }
}

/* One job's errors are no proof: jobs with a mistake had every third good machine they met given
 * back, with its images (incident 4d52). Two jobs' are, or one's whose tasks end well elsewhere. */
void rp_task_errors_count(struct rp_cluster *cluster, const struct rp_job *job,
                          struct rp_machine *machine, struct timespec now) {
    machine->errors_row++;
    if (machine->last_error_job != rp_text_hash(job->spec.id)) {
        machine->last_error_job = rp_text_hash(job->spec.id);
        machine->n_error_jobs++;
    }
    if (machine->errors_row < cluster->settings->tuning.faulty_after)
        return;
    if (works(job) || machine->n_error_jobs >= 2) {
        condemn(cluster, machine, job);
    } else {
        machine->suspect = true;
        machine->suspect_until = rp_ts_after(now, SUSPICION_S);
    }
}

/* The job fails everywhere: what it did to the machines' names is undone. */
static void clear_machines(struct rp_cluster *cluster, const struct rp_job *job) {
    for (unsigned i = 0; i < job->n_error_on; i++) {
        struct rp_machine *machine = rp_machine_find(cluster, job->error_on[i]);
        if (machine && machine->n_error_jobs <= 1 &&
            machine->last_error_job == rp_text_hash(job->spec.id))
            forgive(machine);
    }
}

void rp_task_errors_failure(struct rp_cluster *cluster, struct rp_job *job,
                            struct rp_machine *machine, struct timespec now) {
    (void)rp_task_errors_note(job, machine);
    if (!rp_task_errors_job_suspect(job)) {
        job->held_until = rp_ts_after(now, PAUSE_S);
        rp_task_errors_count(cluster, job, machine, now);
        return;
    }
    clear_machines(cluster, job);
    /* Errors of tasks that were started together count once. */
    if (rp_ts_reached(now, job->held_until))
        job->pauses++;
    double pause = fmin(ldexp(PAUSE_S, (int)fmin(job->pauses, 8)), PAUSE_MAX_S);
    job->held_until = rp_ts_after(now, pause);
}

void rp_task_errors_success(struct rp_cluster *cluster, struct rp_job *job,
                            struct rp_machine *machine) {
    forgive(machine);
    job->pauses = 0;
    if (job->n_done != 1)
        return;
    for (unsigned i = job->n_error_on; i-- > 0;) {
        struct rp_machine *other = rp_machine_find(cluster, job->error_on[i]);
        if (other && other->errors_row >= cluster->settings->tuning.faulty_after)
            condemn(cluster, other, job);
    }
}

void rp_task_errors_step(struct rp_machine *machine, struct timespec now) {
    if (machine->suspect && rp_ts_reached(now, machine->suspect_until))
        machine->suspect = false;
}
