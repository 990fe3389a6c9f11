/* Tasks on workers: start, image fetch, gang start, run, checkpoint, stop and exit. */
#include "internal.h"

#include <stdlib.h>
#include <string.h>

#define GANG_WAIT_S 40.0
#define GANG_PEER_S 5.0

static int find_job(const struct sim *sim, const char *id) {
    for (int i = 0; i < sim->n_jobs; i++)
        if (strcmp(sim->jobs[i].spec.id, id) == 0)
            return i;
    return -1;
}

bool sim_task_is_placed(const struct sim_task *task) {
    return task->state == RP_TASK_WAITING || task->state == RP_TASK_RUNNING ||
           task->state == RP_TASK_SAVING;
}

static void exit_task(struct sim_worker *worker, struct sim_task *task, const char *why,
                      double now) {
    task->state = RP_TASK_EXITED;
    task->exit_reason = why;
    worker->changed = true;
    worker->exited_at = now;
}

void sim_task_start(struct sim *sim, struct sim_worker *worker, const char *job, uint32_t index,
                    uint64_t attempt) {
    struct sim_task *task = NULL;
    double cpus = 0, memory = 0;
    int j = find_job(sim, job);
    bool busy = false;
    for (int i = 0; i < worker->n_tasks; i++) {
        task = &worker->tasks[i];
        if (strcmp(task->job, job) == 0 && task->index == index) {
            if (task->attempt == attempt)
                return;
            busy |= task->state != RP_TASK_EXITED;
        }
        if (task->state != RP_TASK_EXITED) {
            cpus += sim->jobs[task->job_index].spec.each.cpus;
            memory += sim->jobs[task->job_index].spec.each.memory_gb;
        }
    }
    if (worker->n_tasks == SIM_TASKS || j < 0)
        return;
    if (worker->exited_at > 0) {
        sim->idle_s += sim->now - worker->exited_at;
        sim->n_idle++;
        worker->exited_at = 0;
    }
    sim_check_command(sim, &sim->jobs[j]);
    if (attempt >> 32 > sim->started_token) {
        sim->started_token = attempt >> 32;
        sim->started_at = sim->now;
    }
    task = &worker->tasks[worker->n_tasks++];
    *task = (struct sim_task){.index = index, .attempt = attempt, .job_index = j};
    strcpy(task->job, job);
    worker->changed = true;
    if (busy)
        exit_task(worker, task, "in_use", sim->now);
    else if (cpus + sim->jobs[j].spec.each.cpus > sim_types[worker->type].cpus + 1e-6 ||
             memory + sim->jobs[j].spec.each.memory_gb > sim_types[worker->type].memory + 1e-6)
        exit_task(worker, task, "no_room", sim->now);
    else
        task->ready_at = sim->now + 0.5 + sim_uniform(sim);
    if (sim->breakage == SIM_REPLICAS_NEVER_START && sim->jobs[j].spec.kind == RP_JOB_SERVICE)
        task->ready_at = 1e9;
    if (sim->breakage == SIM_LARGE_NEVER_BEGIN && sim->jobs[j].spec.n_tasks >= SIM_LARGE)
        task->ready_at = 1e9;
}

void sim_task_stop(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
                   double grace) {
    const struct rp_job_spec *spec = &sim->jobs[task->job_index].spec;
    if (sim->breakage == SIM_WORKERS_IGNORE_STOPS || sim->breakage == SIM_RENEWED_WITHOUT_STOPS ||
        task->state == RP_TASK_EXITED)
        return;
    if (task->state == RP_TASK_RUNNING && spec->checkpoint_s > 0 && grace >= spec->save_s) {
        task->state = RP_TASK_SAVING;
        task->stopped_at = sim->now;
        task->ready_at = sim->now + spec->save_s;
        worker->changed = true;
    } else if (task->state != RP_TASK_SAVING || grace == 0) {
        exit_task(worker, task, "halted", sim->now);
    }
}

/* Members of the gang attempt that are in one of the states; `lost` when fewer than all live. */
static int count_gang_members(const struct sim *sim, const struct sim_task *task, bool ready_only) {
    int n = 0;
    for (int i = 0; i < sim->size.workers; i++)
        for (int k = 0;
             sim->workers[i].used && sim->workers[i].alive && k < sim->workers[i].n_tasks; k++) {
            const struct sim_task *other = &sim->workers[i].tasks[k];
            if (other->job_index == task->job_index && other->attempt == task->attempt &&
                (sim_task_is_placed(other) || (!ready_only && other->state == RP_TASK_FETCHING) ||
                 (other->exit_reason && strcmp(other->exit_reason, "done") == 0)))
                n++;
        }
    return n;
}

/* Users who call a job off at the very moment at which its last task ends. */
static void cancel_at_last_exit(struct sim *sim, struct sim_job *job) {
    for (uint32_t i = 0; i < job->spec.n_tasks; i++)
        if (!job->done[i])
            return;
    if (!job->cancel_at_end || job->cancel_asked)
        return;
    job->cancel_at = sim->now;
    sim->n_cancelled_at_end++;
}

void sim_task_step(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    struct sim_job *job = &sim->jobs[task->job_index];
    bool gang = job->spec.kind == RP_JOB_GANG;
    switch (task->state) {
    case RP_TASK_FETCHING:
        if (sim->now < task->ready_at)
            break;
        task->state = gang ? RP_TASK_WAITING : RP_TASK_RUNNING;
        task->ready_at = sim->now;
        task->began_at =
            sim->now - job->checkpointed_s[task->index]; /* what was saved isn't done again */
        worker->changed = true;
        sim_check_start(sim, worker, task);
        break;
    case RP_TASK_WAITING:
        if (count_gang_members(sim, task, true) == (int)job->spec.n_tasks) {
            task->state = RP_TASK_RUNNING;
            task->began_at = sim->now;
            worker->changed = true;
        } else if (sim->now > task->ready_at + GANG_WAIT_S) {
            exit_task(worker, task, "alone", sim->now);
        }
        break;
    case RP_TASK_RUNNING:
        if (gang && sim->now > task->began_at + GANG_PEER_S &&
            count_gang_members(sim, task, false) < (int)job->spec.n_tasks) {
            exit_task(worker, task, "peers", sim->now);
        } else if (worker->fails_tasks && sim->now > task->began_at + 0.5) {
            sim->n_task_errors++;
            exit_task(worker, task, "error", sim->now);
        } else if (job->spec.kind == RP_JOB_SERVICE) {
            if (sim_chance(sim, sim->faults.replica_exit_s > 0
                                    ? SIM_STEP_S / sim->faults.replica_exit_s
                                    : 0) ||
                job->fails_always)
                exit_task(worker, task, sim_chance(sim, 0.5) ? "done" : "error", sim->now);
        } else if (job->done[task->index] || sim->now > task->began_at + job->spec.estimate_s +
                                                            task->index * job->stagger_s) {
            if (job->fails_always ||
                (!job->done[task->index] && sim_chance(sim, sim->faults.task_error))) {
                sim->n_task_errors++;
                exit_task(worker, task, "error", sim->now);
                break;
            }
            job->done[task->index] = sim->breakage != SIM_DONE_TOO_EARLY;
            if (gang)
                for (uint32_t i = 0; i < job->spec.n_tasks; i++)
                    job->done[i] = true;
            exit_task(worker, task, "done", sim->now);
            cancel_at_last_exit(sim, job);
        }
        break;
    case RP_TASK_SAVING:
        if (sim->now >= task->ready_at) {
            task->checkpointed = true;
            if (!gang)
                job->checkpointed_s[task->index] = task->stopped_at - task->began_at;
            exit_task(worker, task, "halted", sim->now);
        }
        break;
    default:
        break;
    }
}
