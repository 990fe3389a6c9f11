/* Simulates the tasks on workers. A start command makes a task fetch its image, or exit at once
 * ("in_use", "no_room"). When the fetch ends, a task of an array or a service runs, while a task of
 * a gang waits; it runs when all tasks of the attempt are placed, and exits ("alone") if that takes
 * longer than GANG_WAIT_S. A running task exits when it has finished ("done", "error") or when
 * another task of its gang is missing ("peers"). A stop command makes a task exit ("halted"), after
 * a checkpoint if it runs and the grace period is long enough. */
#include "internal.h"

#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

/* Time for which a gang's task waits for the other tasks: gang_wait_s of the settings. */
#define GANG_WAIT_S 40.0
/* Run time after which a gang's task exits if another is missing: gang_peer_s of the settings. */
#define GANG_PEER_S 5.0
#define FAILS_AFTER_S 0.5 /* run time of a task on a machine that fails all tasks */
#define INITIAL_TASKS 16  /* tasks that a machine's first allocation of memory holds */
#define ROUNDING 1e-6     /* tolerance of sums of CPUs and of GB of memory */

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

static void exit_task(struct sim_worker *worker, struct sim_task *task, const char *reason,
                      double now) {
    task->state = RP_TASK_EXITED;
    task->exit_reason = reason;
    worker->changed = true;
    worker->exited_at = now;
}

/* ---- start and stop ---- */

/* Whether the machine has free capacity for one more task besides those that have not exited. */
static bool has_capacity(const struct sim *sim, const struct sim_worker *worker,
                         const struct rp_job_spec *spec) {
    const struct sim_machine_type *type = &sim_types[worker->type];
    double cpus = 0;
    double memory_gb = 0;
    for (int i = 0; i < worker->n_tasks; i++) {
        const struct sim_task *task = &worker->tasks[i];
        if (task->state == RP_TASK_EXITED)
            continue;
        cpus += sim->jobs[task->job_index].spec.task_resources.cpus;
        memory_gb += sim->jobs[task->job_index].spec.task_resources.memory_gb;
    }
    return cpus + spec->task_resources.cpus <= type->cpus + ROUNDING &&
           memory_gb + spec->task_resources.memory_gb <= type->memory + ROUNDING;
}

/* Updates the counters that tests read when a start command is executed. */
static void count_start(struct sim *sim, struct sim_worker *worker) {
    if (worker->exited_at > 0) {
        sim->idle_s += sim->now - worker->exited_at;
        sim->n_idle_periods++;
        worker->exited_at = 0;
    }
    if (worker->fencing_token > sim->started_token) {
        sim->started_token = worker->fencing_token;
        sim->started_at = sim->now;
    }
}

static struct sim_task *new_task(struct sim_worker *worker) {
    if (worker->n_tasks == worker->cap_tasks) {
        worker->cap_tasks = worker->cap_tasks ? worker->cap_tasks * 2 : INITIAL_TASKS;
        worker->tasks = rp_realloc(worker->tasks, (size_t)worker->cap_tasks, sizeof *worker->tasks);
    }
    return &worker->tasks[worker->n_tasks++];
}

void sim_task_start(struct sim *sim, struct sim_worker *worker, const char *job_id, uint32_t index,
                    uint64_t attempt, bool directly) {
    int job_index = find_job(sim, job_id);
    bool is_in_use = false;
    for (int i = 0; i < worker->n_tasks; i++) {
        const struct sim_task *other = &worker->tasks[i];
        if (strcmp(other->job, job_id) != 0 || other->index != index)
            continue;
        if (other->attempt == attempt)
            return;
        is_in_use |= other->state != RP_TASK_EXITED;
    }
    if (worker->n_tasks == SIM_TASKS || job_index < 0)
        return;
    const struct sim_job *job = &sim->jobs[job_index];
    bool fits = has_capacity(sim, worker, &job->spec);
    count_start(sim, worker);
    sim_record_start_command(sim, job);
    struct sim_task *task = new_task(worker);
    *task = (struct sim_task){.index = index,
                              .attempt = attempt,
                              .job_index = job_index,
                              .direct_token = directly ? worker->fencing_token : 0};
    strcpy(task->job, job_id);
    worker->changed = true;
    if (is_in_use)
        exit_task(worker, task, "in_use", sim->now);
    else if (!fits)
        exit_task(worker, task, "no_room", sim->now);
    else
        task->ready_at = sim->now + (job->fetch_s > 0 ? job->fetch_s : 0.5 + sim_uniform(sim));
    if (sim->breakage == SIM_REPLICAS_NEVER_START && job->spec.kind == RP_JOB_SERVICE)
        task->ready_at = SIM_NEVER;
    if (sim->breakage == SIM_LARGE_JOBS_NEVER_START && job->spec.n_tasks >= SIM_LARGE_JOB_TASKS)
        task->ready_at = SIM_NEVER;
}

void sim_task_stop(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
                   double grace_s) {
    const struct rp_job_spec *spec = &sim->jobs[task->job_index].spec;
    bool is_ignored =
        sim->breakage == SIM_WORKERS_IGNORE_STOPS || sim->breakage == SIM_RENEWED_WITHOUT_STOPS;
    if (is_ignored || task->state == RP_TASK_EXITED)
        return;
    if (task->state == RP_TASK_RUNNING && spec->checkpoint_interval_s > 0 &&
        grace_s >= spec->save_duration_s) {
        task->state = RP_TASK_SAVING;
        task->stopped_at = sim->now;
        task->ready_at = sim->now + spec->save_duration_s;
        worker->changed = true;
    } else if (task->state != RP_TASK_SAVING || grace_s == 0) {
        exit_task(worker, task, "halted", sim->now);
    }
}

/* ---- steps ---- */

/* Counts the tasks of the gang attempt that are placed or done; unless `ready_only`, also those
 * that still fetch their image. */
static int count_gang_members(const struct sim *sim, const struct sim_task *task, bool ready_only) {
    int n = 0;
    for (int i = 0; i < sim->size.n_workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; worker->used && worker->alive && k < worker->n_tasks; k++) {
            const struct sim_task *other = &worker->tasks[k];
            if (other->job_index != task->job_index || other->attempt != task->attempt)
                continue;
            n += sim_task_is_placed(other) || (!ready_only && other->state == RP_TASK_FETCHING) ||
                 (other->exit_reason && strcmp(other->exit_reason, "done") == 0);
        }
    }
    return n;
}

/* Makes the user of a job with `cancel_at_end` cancel it at the moment at which its last task is
 * done. */
static void cancel_at_last_exit(struct sim *sim, struct sim_job *job) {
    for (uint32_t i = 0; i < job->spec.n_tasks; i++)
        if (!job->done[i])
            return;
    if (!job->cancel_at_end || job->cancel_requested)
        return;
    job->cancel_at = sim->now;
    sim->n_cancelled_at_end++;
}

static void end_fetch(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    const struct sim_job *job = &sim->jobs[task->job_index];
    if (sim->now < task->ready_at)
        return;
    task->state = job->spec.kind == RP_JOB_GANG ? RP_TASK_WAITING : RP_TASK_RUNNING;
    task->ready_at = sim->now;
    /* Saved progress is not repeated: the task has that much less time to run. */
    task->running_since = sim->now - job->checkpointed_s[task->index];
    worker->changed = true;
    sim_check_start(sim, worker, task);
}

static void wait_for_gang(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    if (count_gang_members(sim, task, true) == (int)sim->jobs[task->job_index].spec.n_tasks) {
        task->state = RP_TASK_RUNNING;
        task->running_since = sim->now;
        worker->changed = true;
    } else if (sim->now > task->ready_at + GANG_WAIT_S) {
        exit_task(worker, task, "alone", sim->now);
    }
}

/* Makes a replica exit at random (replica_exit_s), or at once if the job always fails. */
static void run_replica(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    double exit_s = sim->faults.replica_exit_s;
    if (sim_chance(sim, exit_s > 0 ? SIM_STEP_S / exit_s : 0) ||
        sim->jobs[task->job_index].fails_always)
        exit_task(worker, task, sim_chance(sim, 0.5) ? "done" : "error", sim->now);
}

static void finish_task(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    struct sim_job *job = &sim->jobs[task->job_index];
    if (job->fails_always || (!job->done[task->index] && sim_chance(sim, sim->faults.task_error))) {
        sim->n_task_errors++;
        exit_task(worker, task, "error", sim->now);
        return;
    }
    job->done[task->index] = sim->breakage != SIM_DONE_TOO_EARLY;
    for (uint32_t i = 0; job->spec.kind == RP_JOB_GANG && i < job->spec.n_tasks; i++)
        job->done[i] = true;
    exit_task(worker, task, "done", sim->now);
    cancel_at_last_exit(sim, job);
}

static void run_task(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    const struct sim_job *job = &sim->jobs[task->job_index];
    double due_at =
        task->running_since + job->spec.run_time_estimate_s + task->index * job->stagger_s;
    if (job->spec.kind == RP_JOB_GANG && sim->now > task->running_since + GANG_PEER_S &&
        count_gang_members(sim, task, false) < (int)job->spec.n_tasks) {
        exit_task(worker, task, "peers", sim->now);
    } else if (worker->fails_tasks && sim->now > task->running_since + FAILS_AFTER_S) {
        sim->n_task_errors++;
        exit_task(worker, task, "error", sim->now);
    } else if (job->spec.kind == RP_JOB_SERVICE) {
        run_replica(sim, worker, task);
    } else if (job->done[task->index] || sim->now > due_at) {
        finish_task(sim, worker, task);
    }
}

static void end_checkpoint(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    struct sim_job *job = &sim->jobs[task->job_index];
    if (sim->now < task->ready_at)
        return;
    task->checkpointed = true;
    if (job->spec.kind != RP_JOB_GANG)
        job->checkpointed_s[task->index] = task->stopped_at - task->running_since;
    exit_task(worker, task, "halted", sim->now);
}

void sim_task_step(struct sim *sim, struct sim_worker *worker, struct sim_task *task) {
    switch (task->state) {
    case RP_TASK_FETCHING:
        end_fetch(sim, worker, task);
        break;
    case RP_TASK_WAITING:
        wait_for_gang(sim, worker, task);
        break;
    case RP_TASK_RUNNING:
        run_task(sim, worker, task);
        break;
    case RP_TASK_SAVING:
        end_checkpoint(sim, worker, task);
        break;
    default:
        break;
    }
}
