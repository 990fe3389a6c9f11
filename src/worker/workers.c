#include "worker/workers.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "cluster/quarantine.h"
#include "protocol/codec.h"
#include "protocol/worker_codec.h"

/* Below the 64 KiB that a line of an answer may have, at some 90 bytes a command. */
#define COMMANDS_MAX 400
/* Drift of both clocks with room to spare, and the steps of timers. */
/* A worker waits so long for an answer, then it goes to another node (PROTOCOL). */
#define ANSWER_WAIT_S 4.0
#define REPORT_SLACK_S 0.75 /* of a report's time on its way */
/* A machine from before the takeover has shown our token by then, if answers reach it. */
#define TOKEN_PATIENCE_S 8.0
#define WAIT_FOR_LEADER_S                                                                          \
    3.7 /* a report waits so long for a leader to be known: less than ANSWER_WAIT_S */
#define WAIT_STEP_S 0.1
#define PROBE_S 0.7  /* for the answer to a question */
#define DIRECT_S 1.0 /* for the answer to a direct command */
#define DIRECT_KEPT                                                                                \
    192 /* ended attempts started directly that its reports, of 64 KiB, may list                   \
         */
#define REPLICA_STEADY_S 30.0 /* a replica that ran for so long has not failed at its start */
#define REPLICA_PAUSE_S 0.5
#define REPLICA_PAUSE_MAX_S 30.0

static void waiting_due(void *arg);

void rp_workers_init(struct rp_workers *workers, struct rp_loop *loop, struct rp_election *election,
                     struct rp_cluster *cluster, struct rp_jobs *jobs, struct rp_fleet *fleet,
                     const struct rp_settings *settings, struct rp_metrics *metrics,
                     struct rp_net net) {
    memset(workers, 0, sizeof *workers);
    workers->net = net;
    workers->metrics = metrics;
    workers->loop = loop;
    workers->election = election;
    workers->cluster = cluster;
    workers->jobs = jobs;
    workers->fleet = fleet;
    workers->settings = settings;
    workers->waiting_timer = (struct rp_timer){.fn = waiting_due, .arg = workers};
}

static void respond(struct rp_request *req, int status, char *body) {
    req->respond(req, status, body ? body : "{}", 0);
    free(body);
}

static void not_here(struct rp_workers *workers, struct rp_request *req) {
    const struct rp_election *election = workers->election;
    const char *leader = rp_election_leader(election, rp_loop_now(workers->loop));
    respond(req, 421, rp_worker_codec_write_leader_hint(leader));
}

/* ---- reports that come while nobody is known to lead ---- */

/* A report that waits here for a leader. The connection may go meanwhile, and its buffer with it.
 */
struct rp_waiting_heartbeat {
    struct rp_request *req;
    struct timespec until;
    char *body;
    size_t len;
    struct rp_waiting_heartbeat *next;
};

/* Sent away without a name, a worker tries node after node, a second each and four at one that
 * stands still, and may find the next leader only when its lease is over. It waits a little
 * instead, where the news of a leader will come. */
static bool may_come_soon(const struct rp_workers *workers, struct timespec now) {
    const struct rp_election *election = workers->election;
    bool coming = election->state == RP_ELECTION_HOLDING_KEY ? rp_election_is_valid(election, now)
                                                             : !rp_election_leader(election, now);
    return !workers->ready && coming && rp_kv_failing_s(election->store) <= 0;
}

static void wait_for_leader(struct rp_workers *workers, struct rp_request *req) {
    struct rp_waiting_heartbeat *waiting = calloc(1, sizeof *waiting);
    if (!waiting || !(waiting->body = malloc(req->len + 1)))
        abort();
    memcpy(waiting->body, req->body, req->len);
    waiting->req = req;
    waiting->len = req->len;
    waiting->until = rp_ts_after(rp_loop_now(workers->loop), WAIT_FOR_LEADER_S);
    waiting->next = workers->waiting_heartbeats;
    workers->waiting_heartbeats = waiting;
    if (!workers->waiting_timer.heap_index)
        rp_timer_set(workers->loop, &workers->waiting_timer, WAIT_STEP_S);
}

static void waiting_due(void *arg) {
    struct rp_workers *workers = arg;
    struct timespec now = rp_loop_now(workers->loop);
    bool wait = may_come_soon(workers, now);
    struct rp_waiting_heartbeat *list = workers->waiting_heartbeats, *waiting;
    workers->waiting_heartbeats = NULL;
    while ((waiting = list)) {
        list = waiting->next;
        if (wait && !rp_ts_reached(now, waiting->until)) {
            waiting->next = workers->waiting_heartbeats;
            workers->waiting_heartbeats = waiting;
            continue;
        }
        waiting->req->body = waiting->body;
        waiting->req->len = waiting->len;
        if (workers->ready)
            rp_workers_on_heartbeat(workers, waiting->req);
        else
            not_here(workers, waiting->req);
        free(waiting->body);
        free(waiting);
    }
    if (workers->waiting_heartbeats)
        rp_timer_set(workers->loop, &workers->waiting_timer, WAIT_STEP_S);
}

/* Every answer renews a lease, and so lets what runs there run on: only a leader whose lease is
 * provable may give one, and only while it hears what users cancel. */
static bool may_answer(const struct rp_workers *workers, struct timespec now) {
    return rp_election_is_valid(workers->election, now) &&
           rp_jobs_may_answer_heartbeats(workers->jobs);
}

/* ---- reading the report into the cluster state ---- */

static struct rp_allocation *find_allocation(struct rp_machine *machine, const struct rp_job *job,
                                             uint32_t task, uint64_t attempt) {
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->task == task && allocation->attempt == attempt && allocation->job == job)
            return allocation;
    }
    return NULL;
}

static void add_unknown_task(struct rp_workers *workers, struct rp_machine *machine,
                             const struct rp_task_status *status) {
    struct rp_unknown_task unknown_task = {.task = status->task,
                                           .attempt = status->attempt,
                                           .exited = status->state == RP_TASK_EXITED};
    rp_string_copy(unknown_task.job, sizeof unknown_task.job, status->job);
    if (rp_machine_add_unknown_task(workers->cluster, machine, &unknown_task))
        return;
    /* The machine gets no work while it has any, so the rest is stopped from a later report. */
    if (workers->n_over_bounds++ == 0)
        rp_error("machine %s holds over %d tasks of unknown jobs", machine->name,
                 RP_UNKNOWN_TASKS_KEPT);
}

/* A replica that ended by itself runs again elsewhere at once. One that ended soon after its start
 * speaks against the machine first; once replicas of the job have ended so on several machines it
 * is the job's own fault, and the pauses grow, so that a bad image costs little. */
static void replica_ended(struct rp_workers *workers, struct rp_machine *machine,
                          const struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    struct timespec now = rp_loop_now(workers->loop);
    if (allocation->stop_requested ||
        (allocation->exit_reason != RP_EXIT_DONE && allocation->exit_reason != RP_EXIT_ERROR))
        return;
    if (!rp_ts_zero(allocation->running_since) &&
        rp_ts_since(now, allocation->running_since) > REPLICA_STEADY_S) {
        job->consecutive_early_exits = job->n_failed_machines = 0;
        return;
    }
    unsigned before = job->n_failed_machines;
    bool held = !rp_ts_reached(now, job->start_backoff_until);
    if (!rp_quarantine_note_job_failure(job, machine) && held)
        return;
    if (!rp_quarantine_is_job_suspected(job) && allocation->exit_reason == RP_EXIT_ERROR)
        rp_quarantine_count_machine_error(workers->cluster, job, machine, now);
    job->consecutive_early_exits++;
    double pause =
        before == 0 ? 0 : ldexp(REPLICA_PAUSE_S, (int)fmin(job->consecutive_early_exits, 8) - 2);
    job->start_backoff_until = rp_ts_after(now, fmin(pause, REPLICA_PAUSE_MAX_S));
}

static void task_exited(struct rp_workers *workers, struct rp_machine *machine,
                        struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    struct timespec now = rp_loop_now(workers->loop);
    bool ran = allocation->running_since.tv_sec != 0;
    rp_debug("task %s/%u attempt=%llu exited on %s why=%d", job->spec.id, allocation->task,
             (unsigned long long)allocation->attempt, machine->name, (int)allocation->exit_reason);
    if (job->spec.kind == RP_JOB_SERVICE)
        replica_ended(workers, machine, allocation);
    switch (allocation->exit_reason) {
    case RP_EXIT_DONE:
        if (ran)
            rp_jobs_record_run_time(workers->jobs, job,
                                    rp_ts_since(now, allocation->running_since));
        rp_jobs_task_done(workers->jobs, job, allocation->task);
        rp_quarantine_on_task_success(workers->cluster, job, machine);
        break;
    case RP_EXIT_ERROR:
        if (job->spec.kind != RP_JOB_SERVICE)
            rp_quarantine_on_task_error(workers->cluster, job, machine, now);
        break;
    case RP_EXIT_NO_CAPACITY:
    case RP_EXIT_ALREADY_PRESENT:
    case RP_EXIT_UNKNOWN_TASK:
        job->start_backoff_until =
            rp_ts_after(now, allocation->exit_reason == RP_EXIT_UNKNOWN_TASK ? 5 : 1);
        break;
    default:
        break;
    }
}

static void read_task(struct rp_workers *workers, struct rp_machine *machine,
                      const struct rp_task_status *status) {
    struct rp_job *job = rp_jobs_find(workers->jobs, status->job);
    if (!job || status->task >= job->spec.n_tasks) {
        add_unknown_task(workers, machine, status);
        return;
    }
    struct rp_allocation *allocation = find_allocation(machine, job, status->task, status->attempt);
    if (!allocation) {
        /* An old copy of a report, read before any newer one, may name an allocation that is long
         * gone; one that shows our token doesn't. */
        if (status->state != RP_TASK_EXITED && machine->contact.fencing_token_seen &&
            rp_job_n_task_allocations(job, status->task))
            rp_error("task %s/%u may be in two places, one is %s", job->spec.id, status->task,
                     machine->name);
        allocation = rp_allocation_add(workers->cluster, machine, job, status->task,
                                       status->attempt, RP_ALLOCATION_SEEN);
    }
    allocation->marked = true;
    allocation->seen_seq = machine->contact.seq;
    if (allocation->state == RP_ALLOCATION_EXITED)
        return;
    if (status->state == RP_TASK_EXITED) {
        rp_allocation_set_state(workers->cluster, machine, allocation, RP_ALLOCATION_EXITED);
        allocation->task_state = status->state;
        allocation->exit_reason = status->exit_reason;
        task_exited(workers, machine, allocation);
        return;
    }
    rp_allocation_set_state(workers->cluster, machine, allocation, RP_ALLOCATION_SEEN);
    if (status->state == RP_TASK_RUNNING && allocation->task_state != RP_TASK_RUNNING) {
        job->n_running++;
        allocation->running_since = rp_loop_now(workers->loop);
        rp_debug("task %s/%u runs on %s, %.1fs after its start", job->spec.id, status->task,
                 machine->name, rp_ts_since(allocation->running_since, allocation->planned_at));
    } else if (status->state != RP_TASK_RUNNING && allocation->task_state == RP_TASK_RUNNING) {
        job->n_running--;
    }
    if (status->state != RP_TASK_FETCHING && allocation->task_state == RP_TASK_FETCHING)
        rp_machine_note_image(workers->cluster, machine, job->image_hash, job->spec.image_gb);
    allocation->task_state = status->state;
    double ran = allocation->running_since.tv_sec
                     ? rp_ts_since(rp_loop_now(workers->loop), allocation->running_since)
                     : 0;
    if (ran > job->run_floor_s)
        job->run_floor_s = ran;
    if (job->state != RP_JOB_OPEN || rp_job_is_task_done(job, status->task))
        rp_allocation_request_stop(allocation, 0);
}

/* ---- machines whose reports come, but which our answers don't reach ---- */

/* Such a machine looks like a good one: now and then it reports, with room and a newer session, and
 * what is started on it vanishes. A worker that got an answer stays with this node and reports
 * again with the next number within the time that it would have waited; one that got none is
 * elsewhere by then. Until that shows, the machine gets no work, and it goes back in the end
 * (fleet.c). */
static void note_hearing(struct rp_workers *workers, struct rp_machine *machine,
                         const struct rp_heartbeat *heartbeat) {
    struct timespec now = rp_loop_now(workers->loop);
    bool first = machine->contact.incarnation == 0;
    /* Reports are report_s apart, give or take a quarter: where that is 4 s, every second report of
     * a good machine came later than 4 s after the one before, and a quarter of a large fleet stood
     * idle as deaf. One that got no answer asks another node first: by then 6 s are over. */
    double limit = fmax(ANSWER_WAIT_S, workers->settings->report_s * 1.25 + REPORT_SLACK_S);
    /* Answers to direct commands have numbers of their own in between. */
    bool follows =
        heartbeat->incarnation == machine->contact.incarnation &&
        heartbeat->seq > machine->contact.heartbeat_seq &&
        heartbeat->seq <= machine->contact.heartbeat_seq + 1 + machine->contact.n_direct &&
        rp_ts_since(now, machine->contact.last_heartbeat) < limit;
    if (first || follows) {
        if (rp_machine_is_one_way_partitioned(machine) &&
            rp_ts_since(now, machine->contact.answers_lost_since) > ANSWER_WAIT_S)
            rp_info("machine %s gets answers again", machine->name);
        machine->contact.answers_lost_since = (struct timespec){0};
    } else if (!rp_machine_is_one_way_partitioned(machine)) {
        machine->contact.answers_lost_since = now;
        rp_debug("machine %s: nothing shows that it gets answers", machine->name);
    }
}

/* What the newest report doesn't name is not there: a start in an older answer was dropped, since
 * a worker has one report in flight and never executes an answer it has stopped waiting for. A
 * start sent directly may still arrive: only its own answer, or being listed, settles it; and what
 * a newer answer to a direct command has listed is there, whatever an older report says. */
static void settle_missing(struct rp_workers *workers, struct rp_machine *machine, uint64_t seq) {
    for (size_t i = machine->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &machine->allocations[i];
        bool in_flight = allocation->state == RP_ALLOCATION_SENT && allocation->sent_seq >= seq;
        bool may_arrive = allocation->state == RP_ALLOCATION_SENT && allocation->started_directly;
        if (!allocation->marked && allocation->state != RP_ALLOCATION_PLANNED && !in_flight &&
            !may_arrive && allocation->seen_seq < seq)
            rp_allocation_remove(workers->cluster, machine, i);
    }
}

static void take_notice(struct rp_workers *workers, struct rp_machine *machine,
                        const struct rp_heartbeat *heartbeat) {
    if (!heartbeat->has_notice)
        return;
    if (!machine->spot_notice.received)
        rp_info("machine %s is taken back in %.1fs, places=%zu", machine->name, heartbeat->notice_s,
                machine->n_allocations);
    machine->spot_notice.received = true;
    machine->spot_notice.ends_at = rp_ts_after(rp_loop_now(workers->loop), heartbeat->notice_s);
    for (size_t i = machine->n_allocations; i-- > 0;) {
        if (i >= machine->n_allocations)
            continue; /* stopping a gang has dropped allocations here */
        struct rp_allocation *allocation = &machine->allocations[i];
        const struct rp_job_spec *spec = &allocation->job->spec;
        double grace = spec->save_s * 1.5 + 1;
        bool idle =
            allocation->task_state == RP_TASK_FETCHING || allocation->task_state == RP_TASK_WAITING;
        /* A gang's progress is safe only if all of its tasks are told within gang_peer_s: each
         * machine reports before that. */
        if (spec->kind == RP_JOB_GANG && spec->n_tasks > 1 && !allocation->stop_requested)
            rp_cluster_stop_job(workers->cluster, allocation->job,
                                spec->checkpoint_s > 0 && !idle ? grace : 0);
        else if (allocation->state == RP_ALLOCATION_PLANNED)
            rp_allocation_remove(workers->cluster, machine, i);
        else if (spec->kind == RP_JOB_SERVICE)
            rp_allocation_request_stop(
                allocation, 0); /* so it runs elsewhere sooner than when the machine goes */
        else if (idle)
            rp_allocation_request_stop(allocation, 0);
        else if (spec->checkpoint_s > 0)
            rp_allocation_request_stop(allocation, grace);
    }
}

/* A report that was on its way while an answer to a direct command came: what it lists is older
 * than what is known; it still settles starts in earlier reports' answers. */
static void mark_listed(struct rp_workers *workers, struct rp_machine *machine,
                        const struct rp_heartbeat *heartbeat) {
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        struct rp_job *job = rp_jobs_find(workers->jobs, heartbeat->tasks[i].job);
        struct rp_allocation *allocation =
            job ? find_allocation(machine, job, heartbeat->tasks[i].task,
                                  heartbeat->tasks[i].attempt)
                : NULL;
        if (allocation)
            allocation->marked = true;
    }
}

static void read_report(struct rp_workers *workers, struct rp_machine *machine,
                        const struct rp_heartbeat *heartbeat) {
    note_hearing(workers, machine, heartbeat);
    if (heartbeat->incarnation > machine->contact.incarnation && machine->contact.incarnation > 0)
        rp_machine_end_incarnation(workers->cluster, machine);
    bool behind = heartbeat->incarnation == machine->contact.incarnation &&
                  heartbeat->seq < machine->contact.seq;
    rp_machine_note_contact(workers->cluster, machine, heartbeat->addr, heartbeat->incarnation);
    machine->contact.heartbeat_seq = heartbeat->seq;
    machine->contact.n_direct = 0;
    machine->contact.last_heartbeat = machine->contact.last_heard = rp_loop_now(workers->loop);
    machine->contact.unreachable = machine->contact.known_by_fencing_only = false;
    rp_machine_note_fencing_token(workers->cluster, machine,
                                  heartbeat->fencing_token == workers->election->fencing_token);
    for (size_t i = 0; i < machine->n_allocations; i++)
        machine->allocations[i].marked = false;
    if (behind) {
        mark_listed(workers, machine, heartbeat);
    } else {
        machine->contact.seq = heartbeat->seq;
        rp_machine_clear_unknown_tasks(workers->cluster, machine);
        for (size_t i = 0; i < heartbeat->n_tasks; i++)
            read_task(workers, machine, &heartbeat->tasks[i]);
    }
    settle_missing(workers, machine, heartbeat->seq);
    take_notice(workers, machine, heartbeat);
    /* Only a report that shows our token proves that no start of an earlier leader is still on
     * its way; until then the machine may hold more than it says. */
    if (machine->state != RP_MACHINE_RELEASING && machine->contact.fencing_token_seen)
        rp_machine_set_state(workers->cluster, machine, RP_MACHINE_UP);
    rp_fleet_record_up(workers->fleet, machine);
}

/* ---- commands ---- */

struct batch {
    struct rp_command *list;
    size_t n;
};

static void command(struct batch *batch, enum rp_command_kind op, const char *job, uint32_t task,
                    uint64_t attempt, double grace_s) {
    if (batch->n == COMMANDS_MAX)
        return;
    struct rp_command *command = &batch->list[batch->n++];
    command->kind = op;
    rp_string_copy(command->job, sizeof command->job, job);
    command->task = task;
    command->attempt = attempt;
    command->grace_s = grace_s;
}

static void command_unknown_tasks(struct batch *batch, const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_unknown_tasks; i++) {
        const struct rp_unknown_task *unknown_task = &machine->unknown_tasks[i];
        if (unknown_task->exited && !machine->contact.fencing_token_seen)
            continue;
        command(batch, unknown_task->exited ? RP_COMMAND_FORGET : RP_COMMAND_STOP,
                unknown_task->job, unknown_task->task, unknown_task->attempt, 0);
    }
}

/* A worker that has forgotten an attempt would begin it anew on a late copy of its start. Starts in
 * answers to reports have no late copies, direct ones may have; those die with the token, which is
 * part of the attempt's number, or with the session. */
static bool may_forget(const struct rp_workers *workers, const struct rp_machine *machine,
                       const struct rp_allocation *allocation) {
    /* Until the token is seen, an earlier leader's start may still be on its way. */
    if (!machine->contact.fencing_token_seen ||
        (allocation->started_directly &&
         allocation->attempt >> 32 == workers->election->fencing_token))
        return false;
    /* A result must be durable before the worker may lose it. */
    return allocation->exit_reason != RP_EXIT_DONE ||
           rp_job_is_task_durable(allocation->job, allocation->task);
}

/* Stops and removals: they can be repeated and late without harm. */
static void command_ends(const struct rp_workers *workers, struct batch *batch,
                         struct rp_machine *machine, struct timespec now) {
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        const char *job = allocation->job->spec.id;
        if (allocation->state == RP_ALLOCATION_EXITED) {
            if (may_forget(workers, machine, allocation))
                command(batch, RP_COMMAND_FORGET, job, allocation->task, allocation->attempt, 0);
        } else if (allocation->stop_requested && allocation->state != RP_ALLOCATION_PLANNED) {
            bool saving = allocation->task_state == RP_TASK_SAVING && allocation->grace_s > 0;
            if (saving)
                continue;
            allocation->stop_sent_at = now;
            allocation->job->interrupted = true;
            /* A direct start that nothing has been heard of may still arrive, after this stop:
             * started and stopped in one go, its attempt is known there, and over. */
            if (allocation->started_directly && allocation->state == RP_ALLOCATION_SENT)
                command(batch, RP_COMMAND_START, job, allocation->task, allocation->attempt, 0);
            command(batch, RP_COMMAND_STOP, job, allocation->task, allocation->attempt,
                    allocation->grace_s);
        }
    }
}

static bool start_still_good(struct rp_workers *workers, const struct rp_machine *machine,
                             const struct rp_allocation *allocation) {
    return allocation->job->state == RP_JOB_OPEN && rp_machine_is_usable(machine) &&
           rp_cluster_is_job_reconciled(workers->cluster, allocation->job) &&
           rp_jobs_may_start_tasks(workers->jobs);
}

/* A direct start whose answer was lost is said again: the same attempt can't begin twice. */
static void command_again(struct rp_workers *workers, struct batch *batch,
                          struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_SENT || !allocation->started_directly ||
            allocation->direct_start_pending || allocation->stop_requested)
            continue;
        command(batch, RP_COMMAND_START, allocation->job->spec.id, allocation->task,
                allocation->attempt, 0);
        if (!start_still_good(workers, machine, allocation)) {
            rp_allocation_request_stop(allocation, 0);
            command(batch, RP_COMMAND_STOP, allocation->job->spec.id, allocation->task,
                    allocation->attempt, 0);
        }
    }
}

/* Attempts started directly have to be kept known by their workers for the rest of the term, so
 * only services' replicas are, and, within bounds, what a takeover would delay. */
static bool starts_directly(const struct rp_workers *workers, const struct rp_machine *machine,
                            const struct rp_job *job) {
    return job->spec.kind == RP_JOB_SERVICE ||
           (job->spec.kind == RP_JOB_ARRAY && machine->contact.known_by_fencing_only &&
            workers->direct_left > 0);
}

static void command_starts(struct rp_workers *workers, struct batch *batch,
                           struct rp_machine *machine, bool direct) {
    for (size_t i = machine->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_PLANNED ||
            (direct && !starts_directly(workers, machine, allocation->job)))
            continue;
        if (!start_still_good(workers, machine, allocation)) {
            rp_allocation_remove(workers->cluster, machine, i);
            continue;
        }
        if (batch->n == COMMANDS_MAX)
            return;
        command(batch, RP_COMMAND_START, allocation->job->spec.id, allocation->task,
                allocation->attempt, 0);
        rp_allocation_set_state(workers->cluster, machine, allocation, RP_ALLOCATION_SENT);
        allocation->sent_seq = machine->contact.heartbeat_seq;
        allocation->started_directly = allocation->direct_start_pending = direct;
        workers->direct_left -= direct && allocation->job->spec.kind == RP_JOB_ARRAY;
        workers->n_starts++;
        rp_metrics_add(workers->metrics, RP_METRIC_START,
                       rp_job_age_s(allocation->job, rp_loop_now(workers->loop)));
        rp_debug("start %s/%u attempt=%llu on %s%s", allocation->job->spec.id, allocation->task,
                 (unsigned long long)allocation->attempt, machine->name, direct ? " directly" : "");
    }
}

/* Every answer renews the machine's lease, which the worker reckons from the sending of its report:
 * that was before it was received here. */
static void answer(struct rp_workers *workers, struct rp_request *req, struct rp_machine *machine,
                   const struct batch *batch, struct timespec received) {
    struct timespec now = rp_loop_now(workers->loop);
    if (!may_answer(workers, now)) {
        not_here(workers, req);
        return;
    }
    if (machine) {
        struct timespec held = rp_ts_after(received, rp_settings_worker_lease_s(workers->settings));
        if (rp_ts_cmp(held, machine->contact.lease_expiry) > 0)
            machine->contact.lease_expiry = held;
        machine->contact.last_answer = now;
        if (rp_ts_zero(machine->contact.first_answer))
            machine->contact.first_answer = now;
    }
    respond(req, 200,
            rp_worker_codec_write_heartbeat_response(workers->election->fencing_token,
                                                     batch ? batch->list : NULL,
                                                     batch ? batch->n : 0));
}

/* The machine of the report; NULL if nobody's record names it and it may be a copy of a report sent
 * long ago, by a machine that is gone: only one that shows our token proves that there is one. */
static struct rp_machine *machine_of(struct rp_workers *workers,
                                     const struct rp_heartbeat *heartbeat) {
    struct rp_machine *machine = rp_machine_find(workers->cluster, heartbeat->machine);
    if (!machine && heartbeat->fencing_token != workers->election->fencing_token)
        return NULL;
    if (!machine) {
        /* Nobody's record names it, so no leader has ever started anything on it. */
        rp_info("machine %s reports and is in no record: adopted", heartbeat->machine);
        machine = rp_machine_add(workers->cluster, heartbeat->machine, RP_MACHINE_BOOTING);
    }
    rp_fleet_describe_machine(workers->fleet, machine, heartbeat->type, heartbeat->zone,
                              heartbeat->spot);
    return machine;
}

/* A machine that may hold tasks of an earlier leader and shows no sign of our answers is answered
 * no more: so its lease ends, and with it what it holds. Once it is lost it may come back. */
static bool starved(const struct rp_workers *workers, const struct rp_machine *machine) {
    return machine->state == RP_MACHINE_UNRECONCILED &&
           !rp_ts_zero(machine->contact.first_answer) &&
           rp_ts_since(rp_loop_now(workers->loop), machine->contact.first_answer) >
               TOKEN_PATIENCE_S;
}

/* A report of a session that is over, held back on its way by a cut: what it lists is gone, and
 * runs elsewhere by now. Only results stay true. */
static void take_results(struct rp_workers *workers, const struct rp_machine *machine,
                         const struct rp_heartbeat *heartbeat) {
    if (heartbeat->incarnation < machine->contact.incarnation)
        return;
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        const struct rp_task_status *status = &heartbeat->tasks[i];
        struct rp_job *job = rp_jobs_find(workers->jobs, status->job);
        if (job && status->task < job->spec.n_tasks && status->state == RP_TASK_EXITED &&
            status->exit_reason == RP_EXIT_DONE)
            rp_jobs_task_done(workers->jobs, job, status->task);
    }
}

static void answer_with_commands(struct rp_workers *workers, struct rp_request *req,
                                 struct rp_machine *machine, struct timespec received) {
    struct batch batch = {.list = calloc(COMMANDS_MAX, sizeof *batch.list)};
    if (!batch.list) {
        respond(req, 503, NULL);
        return;
    }
    /* What is over is stopped by the very first answer, which renews the lease like any other: a
     * machine that hung right after a first answer without stops ran cancelled work for one more
     * lease; one that was about to go back, while the cloud didn't answer, for ever. */
    command_unknown_tasks(&batch, machine);
    command_ends(workers, &batch, machine, rp_loop_now(workers->loop));
    if (machine->contact.fencing_token_seen) {
        command_again(workers, &batch, machine);
        command_starts(workers, &batch, machine, false);
    }
    answer(workers, req, machine, &batch, received);
    free(batch.list);
}

static size_t busy_allocations(const struct rp_machine *machine) {
    size_t n = 0;
    for (size_t i = 0; i < machine->n_allocations; i++)
        n += machine->allocations[i].state != RP_ALLOCATION_EXITED;
    return n;
}

/* Rounds keep a distance, and on a large fleet nearly every report brings news between two of them:
 * a start planned a moment after the answer had to wait for the machine's next report, seconds
 * later. So the answer waits for the round, which is a small part of what a worker waits. Whether
 * it may be given at all is asked when it is given, as for any other. */
static void hold(struct rp_workers *workers, struct rp_request *req,
                 const struct rp_machine *machine) {
    if (workers->n_held == workers->cap_held) {
        size_t cap = workers->cap_held ? workers->cap_held * 2 : 64;
        struct rp_held_heartbeat *held = realloc(workers->held_heartbeats, cap * sizeof *held);
        if (!held)
            abort();
        workers->held_heartbeats = held;
        workers->cap_held = cap;
    }
    struct rp_held_heartbeat *h = &workers->held_heartbeats[workers->n_held++];
    *h = (struct rp_held_heartbeat){.req = req,
                                    .incarnation = machine->contact.incarnation,
                                    .seq = machine->contact.heartbeat_seq,
                                    .received = rp_loop_now(workers->loop)};
    rp_string_copy(h->machine, sizeof h->machine, machine->name);
}

static void handle(struct rp_workers *workers, struct rp_request *req,
                   const struct rp_heartbeat *heartbeat) {
    struct rp_machine *machine = machine_of(workers, heartbeat);
    struct timespec received = rp_loop_now(workers->loop);
    if (!machine) {
        answer(workers, req, NULL, NULL, received);
        return;
    }
    if (machine->state == RP_MACHINE_LOST && machine->contact.lost_incarnation > 0 &&
        heartbeat->incarnation == machine->contact.lost_incarnation) {
        take_results(workers, machine, heartbeat);
        respond(req, 503, rp_codec_write_error("this session's lease has ended"));
        return;
    }
    if (machine->state == RP_MACHINE_LOST &&
        heartbeat->fencing_token != workers->election->fencing_token) {
        /* It may be of a session that is over, or of the next one, of which nothing can be there.
         * Once it shows our token it is the next one's. (Taken for a report of the lost session,
         * the reports of all machines that were cut off during a takeover were refused until they
         * had gone back.) */
        take_results(workers, machine, heartbeat);
        answer(workers, req, machine, NULL, received);
        return;
    }
    bool old = heartbeat->incarnation < machine->contact.incarnation ||
               (heartbeat->incarnation == machine->contact.incarnation &&
                heartbeat->seq <= machine->contact.heartbeat_seq);
    if (old) {
        /* A copy, late by seconds or by many leases: it proves nothing, and its answer renews no
         * lease, for nobody waits for it. */
        workers->n_stale++;
        respond(req, 503, rp_codec_write_error("a newer report is known"));
        return;
    }
    size_t busy = busy_allocations(machine);
    bool was_up = machine->state == RP_MACHINE_UP;
    read_report(workers, machine, heartbeat);
    if (!machine->recorded)
        rp_fleet_adopt(workers->fleet, machine);
    if (starved(workers, machine)) {
        respond(req, 503, rp_codec_write_error("no answer seems to reach this machine"));
        return;
    }
    bool news =
        machine->state != RP_MACHINE_RELEASING && (busy_allocations(machine) < busy || !was_up);
    if (news && workers->on_capacity_freed && !workers->on_capacity_freed(workers->arg))
        hold(workers, req, machine);
    else
        answer_with_commands(workers, req, machine, received);
}

void rp_workers_answer_held_heartbeats(struct rp_workers *workers) {
    struct rp_held_heartbeat *held = workers->held_heartbeats;
    size_t n = workers->n_held;
    workers->held_heartbeats = NULL;
    workers->n_held = workers->cap_held = 0;
    for (size_t i = 0; i < n; i++) {
        struct rp_machine *machine =
            workers->ready ? rp_machine_find(workers->cluster, held[i].machine) : NULL;
        if (!workers->ready)
            not_here(workers, held[i].req);
        else if (!machine || machine->contact.incarnation != held[i].incarnation ||
                 machine->contact.heartbeat_seq != held[i].seq)
            respond(held[i].req, 503, rp_codec_write_error("a newer report is known"));
        else if (machine->state == RP_MACHINE_LOST || machine->state == RP_MACHINE_RELEASING)
            respond(held[i].req, 503, rp_codec_write_error("this machine goes back"));
        else
            answer_with_commands(workers, held[i].req, machine, held[i].received);
    }
    free(held);
}

/* ---- direct commands ---- */

struct direct {
    struct rp_workers *w;
    uint64_t token, session;
    char machine[RP_TEXT_MAX];
    uint64_t *attempts; /* started by it */
    size_t n;
};

static struct direct *direct_new(struct rp_workers *workers, const struct rp_machine *machine,
                                 size_t n) {
    struct direct *command = rp_alloc(1, sizeof *command);
    command->attempts = rp_alloc(n + 1, sizeof *command->attempts);
    command->w = workers;
    command->token = workers->election->fencing_token;
    command->session = machine->contact.incarnation;
    rp_string_copy(command->machine, sizeof command->machine, machine->name);
    return command;
}

static void direct_free(struct direct *command) {
    free(command->attempts);
    free(command);
}

/* The machine that was asked, if it still is in the same session under the same leader. */
static struct rp_machine *direct_machine(const struct direct *command) {
    struct rp_machine *machine = command->w->election->fencing_token == command->token
                                     ? rp_machine_find(command->w->cluster, command->machine)
                                     : NULL;
    return machine && machine->contact.incarnation == command->session ? machine : NULL;
}

/* Takes in what the machine lists, if nothing newer is known. Nothing is concluded from what it
 * doesn't list, and no lease is renewed. */
static void take_listing(struct rp_workers *workers, struct rp_machine *machine,
                         const struct rp_heartbeat *heartbeat) {
    machine->contact.last_heard = rp_loop_now(workers->loop);
    if (heartbeat->incarnation != machine->contact.incarnation ||
        heartbeat->seq <= machine->contact.seq)
        return;
    machine->contact.seq = heartbeat->seq;
    for (size_t i = 0; i < heartbeat->n_tasks; i++) {
        const struct rp_task_status *status = &heartbeat->tasks[i];
        struct rp_job *job = rp_jobs_find(workers->jobs, status->job);
        /* What this leader hasn't started, reports tell of. */
        if (job && status->task < job->spec.n_tasks &&
            find_allocation(machine, job, status->task, status->attempt))
            read_task(workers, machine, status);
    }
}

/* What became of the starts that the command carried. */
static void settle_direct(struct direct *command, struct rp_machine *machine, bool refused) {
    for (size_t i = machine->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &machine->allocations[i];
        bool mine = false;
        for (size_t k = 0; k < command->n; k++)
            mine |= allocation->attempt == command->attempts[k];
        if (!mine)
            continue;
        allocation->direct_start_pending = false;
        /* Refused whole, or never sent. (Carried out, it is listed: in this answer, or in a newer
         * report that came before it. Without an answer it may still arrive.) */
        if (allocation->state == RP_ALLOCATION_SENT && refused)
            rp_allocation_remove(command->w->cluster, machine, i);
    }
}

static void direct_answered(void *arg, const struct rp_answer *answer) {
    struct direct *command = arg;
    struct rp_workers *workers = command->w;
    struct rp_machine *machine = direct_machine(command);
    struct rp_heartbeat heartbeat;
    bool read = machine && (answer->status == 200 || answer->status == 409) &&
                rp_worker_codec_parse_heartbeat(answer->body, answer->len, &heartbeat);
    if (!machine)
        goto out;
    workers->n_direct_lost += !read;
    size_t busy = busy_allocations(machine);
    if (read) {
        if (heartbeat.fencing_token > workers->election->fencing_token)
            rp_election_verify(workers->election);
        take_listing(workers, machine, &heartbeat);
        rp_heartbeat_free(&heartbeat);
    }
    settle_direct(command, machine, answer->unsent || (read && answer->status == 409));
    machine->contact.unreachable = answer->unsent;
    if ((busy_allocations(machine) < busy || answer->unsent) && workers->on_capacity_freed)
        workers->on_capacity_freed(workers->arg);
out:
    direct_free(command);
}

bool rp_workers_is_direct_full(const struct rp_machine *machine) {
    size_t n = 0;
    for (size_t i = 0; i < machine->n_allocations; i++)
        n += machine->allocations[i].state == RP_ALLOCATION_EXITED &&
             machine->allocations[i].started_directly;
    return n >= DIRECT_KEPT;
}

static void note_attempts(struct direct *command, const struct batch *batch) {
    for (size_t i = 0; i < batch->n; i++)
        if (batch->list[i].kind == RP_COMMAND_START)
            command->attempts[command->n++] = batch->list[i].attempt;
}

void rp_workers_send_direct(struct rp_workers *workers, struct rp_machine *machine) {
    struct timespec now = rp_loop_now(workers->loop);
    struct batch batch = {.list = calloc(COMMANDS_MAX, sizeof *batch.list)};
    /* Else it goes with the answer to the next report. */
    if (!batch.list || !rp_machine_is_usable(machine) || !*machine->addr ||
        rp_workers_is_direct_full(machine) || !rp_election_is_valid(workers->election, now))
        goto out;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->stop_requested && allocation->grace_s <= 0 &&
            allocation->state == RP_ALLOCATION_SEEN) {
            allocation->job->interrupted = true;
            allocation->stop_sent_at = now;
            command(&batch, RP_COMMAND_STOP, allocation->job->spec.id, allocation->task,
                    allocation->attempt, 0);
        }
    }
    command_starts(workers, &batch, machine, true);
    if (batch.n == 0)
        goto out;
    struct direct *d = direct_new(workers, machine, batch.n);
    note_attempts(d, &batch);
    char *body = rp_worker_codec_write_direct_commands(
        workers->election->fencing_token, machine->contact.incarnation, batch.list, batch.n);
    machine->contact.n_direct++;
    workers->n_direct++;
    workers->net.call_once(workers->net.ctx, machine->addr, "POST", RP_PATH_DIRECT, body, DIRECT_S,
                           direct_answered, d);
    free(body);
out:
    free(batch.list);
}

/* ---- the token of a new leader ---- */

#define FENCE_SENT_MOST 4 /* to a machine: two for its session, a stop, a removal */

static void fence_answered(void *arg, const struct rp_answer *answer);

struct fence {
    struct direct *direct; /* to whom, in which session, under which token */
    char addr[RP_TEXT_MAX];
    unsigned n_sent;
    rp_workers_fenced_fn fn;
    void *arg;
};

static void fence_end(struct fence *fence, bool fenced) {
    rp_workers_fenced_fn fn = fence->fn;
    void *arg = fence->arg;
    rp_debug("machine %s %s", fence->direct->machine,
             fenced ? "shows this term's token, by a direct command" : "could not be fenced");
    direct_free(fence->direct);
    free(fence);
    fn(arg, fenced);
}

/* The command that shows the token; to a machine that has shown it, the ends of tasks whose jobs
 * are over: what they use counts against everybody until they are gone. */
static void fence_send(struct fence *fence, const struct rp_machine *machine) {
    struct rp_workers *workers = fence->direct->w;
    struct batch batch = {.list = calloc(COMMANDS_MAX, sizeof *batch.list)};
    if (!batch.list)
        abort();
    if (machine->contact.known_by_fencing_only)
        command_unknown_tasks(&batch, machine);
    char *body = rp_worker_codec_write_direct_commands(fence->direct->token, fence->direct->session,
                                                       batch.list, batch.n);
    fence->n_sent++;
    workers->net.call_once(workers->net.ctx, fence->addr, "POST", RP_PATH_DIRECT, body, DIRECT_S,
                           fence_answered, fence);
    free(body);
    free(batch.list);
}

/* The machine shows our token in what it says after the command: no start of an earlier leader can
 * be accepted there any more, so what it lists is all there is. Its lease was renewed last by a
 * report that it sent before now. Newer than any report so far, it counts as one: what was sent
 * before it is refused, and the worker reports again. */
static bool take_fenced(struct rp_workers *workers, struct rp_machine *machine,
                        const struct rp_heartbeat *heartbeat) {
    bool newer = heartbeat->incarnation > machine->contact.incarnation ||
                 (heartbeat->incarnation == machine->contact.incarnation &&
                  heartbeat->seq > machine->contact.seq);
    bool first = machine->state == RP_MACHINE_UNRECONCILED;
    if (heartbeat->fencing_token != workers->election->fencing_token || !newer ||
        !(first || machine->contact.known_by_fencing_only))
        return false;
    if (first)
        rp_fleet_describe_machine(workers->fleet, machine, heartbeat->type, heartbeat->zone,
                                  heartbeat->spot);
    if (first)
        machine->contact.lease_expiry =
            rp_ts_after(rp_loop_now(workers->loop), rp_settings_worker_lease_s(workers->settings));
    read_report(workers, machine, heartbeat);
    machine->contact.known_by_fencing_only = true;
    return true;
}

static void fence_answered(void *arg, const struct rp_answer *answer) {
    struct fence *fence = arg;
    struct direct *command = fence->direct;
    struct rp_workers *workers = command->w;
    struct rp_machine *machine = workers->election->fencing_token == command->token
                                     ? rp_machine_find(workers->cluster, command->machine)
                                     : NULL;
    struct rp_heartbeat heartbeat;
    bool fenced = false, again = false;
    if (machine && (answer->status == 200 || answer->status == 409) &&
        rp_worker_codec_parse_heartbeat(answer->body, answer->len, &heartbeat)) {
        bool same = strcmp(heartbeat.machine, command->machine) == 0;
        if (same && heartbeat.fencing_token > command->token)
            rp_election_verify(workers->election);
        fenced = same && answer->status == 200 && take_fenced(workers, machine, &heartbeat);
        machine->contact.n_direct +=
            !fenced; /* this answer has used a number since the newest report */
        bool other_session =
            same && answer->status == 409 && heartbeat.incarnation != command->session;
        again = other_session || (fenced && machine->n_unknown_live > 0);
        command->session = heartbeat.incarnation;
        rp_heartbeat_free(&heartbeat);
    }
    if (fenced && workers->on_capacity_freed)
        workers->on_capacity_freed(workers->arg);
    if (again && fence->n_sent < FENCE_SENT_MOST)
        fence_send(fence, machine);
    else
        fence_end(fence, machine && machine->contact.known_by_fencing_only);
}

void rp_workers_fence(struct rp_workers *workers, struct rp_machine *machine, const char *addr,
                      uint64_t incarnation, rp_workers_fenced_fn fn, void *arg) {
    struct fence *fence = rp_alloc(1, sizeof *fence);
    *fence = (struct fence){.direct = direct_new(workers, machine, 0), .fn = fn, .arg = arg};
    fence->direct->session = incarnation;
    snprintf(fence->addr, sizeof fence->addr, "%s", addr);
    fence_send(fence, machine);
}

static bool has_planned(const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].state == RP_ALLOCATION_PLANNED)
            return true;
    return false;
}

void rp_workers_send_fenced(struct rp_workers *workers) {
    for (struct rp_machine *machine = workers->cluster->first; machine && workers->direct_left > 0;
         machine = machine->next)
        if (machine->contact.known_by_fencing_only && has_planned(machine))
            rp_workers_send_direct(workers, machine);
}

static void probe_answered(void *arg, const struct rp_answer *answer) {
    struct direct *command = arg;
    struct rp_machine *machine = direct_machine(command);
    struct rp_heartbeat heartbeat;
    if (!machine)
        goto out;
    machine->contact.probing = false;
    machine->contact.probes_failed++;
    if (answer->status != 200 ||
        !rp_worker_codec_parse_heartbeat(answer->body, answer->len, &heartbeat))
        goto out;
    machine->contact.probes_failed = 0;
    take_listing(command->w, machine, &heartbeat);
    rp_heartbeat_free(&heartbeat);
out:
    direct_free(command);
}

void rp_workers_probe(struct rp_workers *workers, struct rp_machine *machine) {
    if (machine->contact.probing || !*machine->addr)
        return;
    machine->contact.probing = true;
    machine->contact.probed_at = rp_loop_now(workers->loop);
    machine->contact.n_direct++;
    workers->net.call_once(workers->net.ctx, machine->addr, "GET", RP_PATH_PROBE, NULL, PROBE_S,
                           probe_answered, direct_new(workers, machine, 0));
}

void rp_workers_close(struct rp_workers *workers) {
    free(workers->held_heartbeats);
    workers->held_heartbeats = NULL;
    workers->n_held = workers->cap_held = 0;
    rp_timer_cancel(workers->loop, &workers->waiting_timer);
    while (workers->waiting_heartbeats) {
        struct rp_waiting_heartbeat *waiting = workers->waiting_heartbeats;
        workers->waiting_heartbeats = waiting->next;
        free(waiting->body);
        free(waiting);
    }
}

void rp_workers_on_heartbeat(struct rp_workers *workers, struct rp_request *req) {
    struct rp_heartbeat report;
    workers->n_heartbeats++;
    if (may_come_soon(workers, rp_loop_now(workers->loop))) {
        wait_for_leader(workers, req);
        return;
    }
    if (!workers->ready || !may_answer(workers, rp_loop_now(workers->loop))) {
        not_here(workers, req);
        return;
    }
    if (!rp_worker_codec_parse_heartbeat(req->body, req->len, &report)) {
        respond(req, 400, rp_codec_write_error("not a report"));
        return;
    }
    if (rp_fleet_is_terminated(workers->fleet, report.machine)) {
        respond(req, 503, rp_codec_write_error("this machine has been returned"));
    } else if (report.fencing_token > workers->election->fencing_token) {
        rp_election_verify(workers->election);
        respond(req, 503, rp_codec_write_error("a newer token is known"));
    } else {
        handle(workers, req, &report);
    }
    rp_heartbeat_free(&report);
}
