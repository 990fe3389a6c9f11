#include "worker/workers.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "cluster/quarantine.h"
#include "base/log.h"
#include "protocol/wire.h"

/* Below the 64 KiB that a line of an answer may have, at some 90 bytes a command. */
#define COMMANDS_MAX 400
/* Drift of both clocks with room to spare, and the steps of timers. */
#define LEASE_DRIFT 1.002
#define LEASE_MARGIN_S 0.25
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

void rp_workers_init(struct rp_workers *w, struct rp_loop *loop, struct rp_election *election,
                     struct rp_cluster *cluster, struct rp_jobs *jobs, struct rp_fleet *fleet,
                     const struct rp_settings *settings, struct rp_metrics *metrics,
                     struct rp_net net) {
    memset(w, 0, sizeof *w);
    w->net = net;
    w->metrics = metrics;
    w->loop = loop;
    w->election = election;
    w->cluster = cluster;
    w->jobs = jobs;
    w->fleet = fleet;
    w->settings = settings;
    w->waiting_timer = (struct rp_timer){.fn = waiting_due, .arg = w};
}

double rp_workers_lease_s(const struct rp_settings *settings) {
    return settings->lease_s * LEASE_DRIFT + LEASE_MARGIN_S;
}

static void respond(struct rp_request *req, int status, char *body) {
    req->respond(req, status, body ? body : "{}", 0);
    free(body);
}

static void not_here(struct rp_workers *w, struct rp_request *req) {
    const struct rp_election *e = w->election;
    const char *leader = rp_election_leader(e, rp_loop_now(w->loop));
    respond(req, 421, rp_wire_not_here(leader));
}

/* ---- reports that come while nobody is known to lead ---- */

/* A report that waits here for a leader. The connection may go meanwhile, and its buffer with it.
 */
struct rp_waiting_report {
    struct rp_request *req;
    struct timespec until;
    char *body;
    size_t len;
    struct rp_waiting_report *next;
};

/* Sent away without a name, a worker tries node after node, a second each and four at one that
 * stands still, and may find the next leader only when its lease is over. It waits a little
 * instead, where the news of a leader will come. */
static bool may_come_soon(const struct rp_workers *w, struct timespec now) {
    const struct rp_election *e = w->election;
    bool coming = e->at == RP_HOLDING ? rp_election_valid(e, now) : !rp_election_leader(e, now);
    return !w->ready && coming && rp_state_failing_s(e->state) <= 0;
}

static void wait_for_leader(struct rp_workers *w, struct rp_request *req) {
    struct rp_waiting_report *s = calloc(1, sizeof *s);
    if (!s || !(s->body = malloc(req->len + 1)))
        abort(); /* out of memory: a restart is the honest answer */
    memcpy(s->body, req->body, req->len);
    s->req = req;
    s->len = req->len;
    s->until = rp_ts_after(rp_loop_now(w->loop), WAIT_FOR_LEADER_S);
    s->next = w->waiting_reports;
    w->waiting_reports = s;
    if (!w->waiting_timer.heap_index)
        rp_timer_set(w->loop, &w->waiting_timer, WAIT_STEP_S);
}

static void waiting_due(void *arg) {
    struct rp_workers *w = arg;
    struct timespec now = rp_loop_now(w->loop);
    bool wait = may_come_soon(w, now);
    struct rp_waiting_report *list = w->waiting_reports, *s;
    w->waiting_reports = NULL;
    while ((s = list)) {
        list = s->next;
        if (wait && !rp_ts_reached(now, s->until)) {
            s->next = w->waiting_reports;
            w->waiting_reports = s;
            continue;
        }
        s->req->body = s->body;
        s->req->len = s->len;
        if (w->ready)
            rp_workers_report(w, s->req);
        else
            not_here(w, s->req);
        free(s->body);
        free(s);
    }
    if (w->waiting_reports)
        rp_timer_set(w->loop, &w->waiting_timer, WAIT_STEP_S);
}

/* Every answer renews a lease, and so lets what runs there run on: only a leader whose lease is
 * provable may give one, and only while it hears what users cancel. */
static bool may_answer(const struct rp_workers *w, struct timespec now) {
    return rp_election_valid(w->election, now) && rp_jobs_may_answer(w->jobs);
}

/* ---- reading the report into the cluster state ---- */

static struct rp_allocation *find_allocation(struct rp_machine *m, const struct rp_job *job,
                                             uint32_t task, uint64_t attempt) {
    for (size_t i = 0; i < m->n_allocations; i++) {
        struct rp_allocation *allocation = &m->allocations[i];
        if (allocation->task == task && allocation->attempt == attempt && allocation->job == job)
            return allocation;
    }
    return NULL;
}

static void add_unknown_task(struct rp_workers *w, struct rp_machine *m,
                             const struct rp_task_report *t) {
    struct rp_unknown_task f = {
        .task = t->task, .attempt = t->attempt, .exited = t->state == RP_TASK_EXITED};
    strcpy(f.job, t->job);
    if (rp_machine_add_unknown_task(w->cluster, m, &f))
        return;
    /* The machine gets no work while it has any, so the rest is stopped from a later report. */
    if (w->n_over_bounds++ == 0)
        rp_error("machine %s holds over %d tasks of unknown jobs", m->name, RP_UNKNOWN_TASKS_KEPT);
}

/* A replica that ended by itself runs again elsewhere at once. One that ended soon after its start
 * speaks against the machine first; once replicas of the job have ended so on several machines it
 * is the job's own fault, and the pauses grow, so that a bad image costs little. */
static void replica_ended(struct rp_workers *w, struct rp_machine *m,
                          const struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    struct timespec now = rp_loop_now(w->loop);
    if (allocation->stop || (allocation->why != RP_EXIT_DONE && allocation->why != RP_EXIT_ERROR))
        return;
    if (!rp_ts_zero(allocation->running) &&
        rp_ts_since(now, allocation->running) > REPLICA_STEADY_S) {
        job->ends_row = job->n_error_on = 0;
        return;
    }
    unsigned before = job->n_error_on;
    bool held = !rp_ts_reached(now, job->held_until);
    if (!rp_task_errors_note(job, m) && held)
        return;
    if (!rp_task_errors_job_suspect(job) && allocation->why == RP_EXIT_ERROR)
        rp_task_errors_count(w->cluster, job, m, now);
    job->ends_row++;
    double pause = before == 0 ? 0 : ldexp(REPLICA_PAUSE_S, (int)fmin(job->ends_row, 8) - 2);
    job->held_until = rp_ts_after(now, fmin(pause, REPLICA_PAUSE_MAX_S));
}

static void task_exited(struct rp_workers *w, struct rp_machine *m,
                        struct rp_allocation *allocation) {
    struct rp_job *job = allocation->job;
    struct timespec now = rp_loop_now(w->loop);
    bool ran = allocation->running.tv_sec != 0;
    rp_debug("task %s/%u attempt=%llu exited on %s why=%d", job->spec.id, allocation->task,
             (unsigned long long)allocation->attempt, m->name, (int)allocation->why);
    if (job->spec.kind == RP_SERVICE)
        replica_ended(w, m, allocation);
    switch (allocation->why) {
    case RP_EXIT_DONE:
        if (ran)
            rp_jobs_observe(w->jobs, job, rp_ts_since(now, allocation->running));
        rp_jobs_task_done(w->jobs, job, allocation->task);
        rp_task_errors_success(w->cluster, job, m);
        break;
    case RP_EXIT_ERROR:
        if (job->spec.kind != RP_SERVICE)
            rp_task_errors_failure(w->cluster, job, m, now);
        break;
    case RP_EXIT_NO_ROOM:
    case RP_EXIT_BUSY:
    case RP_EXIT_UNKNOWN:
        job->held_until = rp_ts_after(now, allocation->why == RP_EXIT_UNKNOWN ? 5 : 1);
        break;
    default:
        break;
    }
}

static void read_task(struct rp_workers *w, struct rp_machine *m, const struct rp_task_report *t) {
    struct rp_job *job = rp_jobs_find(w->jobs, t->job);
    if (!job || t->task >= job->spec.n_tasks) {
        add_unknown_task(w, m, t);
        return;
    }
    struct rp_allocation *allocation = find_allocation(m, job, t->task, t->attempt);
    if (!allocation) {
        /* An old copy of a report, read before any newer one, may name an allocation that is long
         * gone; one that shows our token doesn't. */
        if (t->state != RP_TASK_EXITED && m->token_seen && rp_job_allocations(job, t->task))
            rp_error("task %s/%u may be in two places, one is %s", job->spec.id, t->task, m->name);
        allocation = rp_allocation_add(w->cluster, m, job, t->task, t->attempt, RP_ALLOCATION_SEEN);
    }
    allocation->marked = true;
    allocation->seen_seq = m->seq;
    if (allocation->state == RP_ALLOCATION_EXITED)
        return;
    if (t->state == RP_TASK_EXITED) {
        rp_allocation_set_state(w->cluster, m, allocation, RP_ALLOCATION_EXITED);
        allocation->task_state = t->state;
        allocation->why = t->why;
        task_exited(w, m, allocation);
        return;
    }
    rp_allocation_set_state(w->cluster, m, allocation, RP_ALLOCATION_SEEN);
    if (t->state == RP_TASK_RUNNING && allocation->task_state != RP_TASK_RUNNING) {
        job->n_running++;
        allocation->running = rp_loop_now(w->loop);
        rp_debug("task %s/%u runs on %s, %.1fs after its start", job->spec.id, t->task, m->name,
                 rp_ts_since(allocation->running, allocation->since));
    } else if (t->state != RP_TASK_RUNNING && allocation->task_state == RP_TASK_RUNNING) {
        job->n_running--;
    }
    if (t->state != RP_TASK_FETCHING && allocation->task_state == RP_TASK_FETCHING)
        rp_machine_note_image(w->cluster, m, job->image_hash, job->spec.image_gb);
    allocation->task_state = t->state;
    double ran =
        allocation->running.tv_sec ? rp_ts_since(rp_loop_now(w->loop), allocation->running) : 0;
    if (ran > job->run_floor_s)
        job->run_floor_s = ran;
    if (job->state != RP_JOB_OPEN || rp_job_task_done(job, t->task))
        rp_allocation_stop(allocation, 0);
}

/* ---- machines whose reports come, but which our answers don't reach ---- */

/* Such a machine looks like a good one: now and then it reports, with room and a newer session, and
 * what is started on it vanishes. A worker that got an answer stays with this node and reports
 * again with the next number within the time that it would have waited; one that got none is
 * elsewhere by then. Until that shows, the machine gets no work, and it goes back in the end
 * (fleet.c). */
static void note_hearing(struct rp_workers *w, struct rp_machine *m, const struct rp_report *r) {
    struct timespec now = rp_loop_now(w->loop);
    bool first = m->session == 0;
    /* Reports are report_s apart, give or take a quarter: where that is 4 s, every second report of
     * a good machine came later than 4 s after the one before, and a quarter of a large fleet stood
     * idle as deaf. One that got no answer asks another node first: by then 6 s are over. */
    double limit = fmax(ANSWER_WAIT_S, w->settings->report_s * 1.25 + REPORT_SLACK_S);
    /* Answers to direct commands have numbers of their own in between. */
    bool follows = r->session == m->session && r->seq > m->report_seq &&
                   r->seq <= m->report_seq + 1 + m->n_direct &&
                   rp_ts_since(now, m->last_report) < limit;
    if (first || follows) {
        if (rp_machine_misses_answers(m) && rp_ts_since(now, m->answers_lost_since) > ANSWER_WAIT_S)
            rp_info("machine %s gets answers again", m->name);
        m->answers_lost_since = (struct timespec){0};
    } else if (!rp_machine_misses_answers(m)) {
        m->answers_lost_since = now;
        rp_debug("machine %s: nothing shows that it gets answers", m->name);
    }
}

/* What the newest report doesn't name is not there: a start in an older answer was dropped, since
 * a worker has one report in flight and never executes an answer it has stopped waiting for. A
 * start sent directly may still arrive: only its own answer, or being listed, settles it; and what
 * a newer answer to a direct command has listed is there, whatever an older report says. */
static void settle_missing(struct rp_workers *w, struct rp_machine *m, uint64_t seq) {
    for (size_t i = m->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &m->allocations[i];
        bool in_flight = allocation->state == RP_ALLOCATION_SENT && allocation->sent_seq >= seq;
        bool may_arrive = allocation->state == RP_ALLOCATION_SENT && allocation->direct;
        if (!allocation->marked && allocation->state != RP_ALLOCATION_PLANNED && !in_flight &&
            !may_arrive && allocation->seen_seq < seq)
            rp_allocation_drop(w->cluster, m, i);
    }
}

static void take_notice(struct rp_workers *w, struct rp_machine *m, const struct rp_report *r) {
    if (!r->has_notice)
        return;
    if (!m->noticed)
        rp_info("machine %s is taken back in %.1fs, places=%zu", m->name, r->notice_s,
                m->n_allocations);
    m->noticed = true;
    m->notice_end = rp_ts_after(rp_loop_now(w->loop), r->notice_s);
    for (size_t i = m->n_allocations; i-- > 0;) {
        if (i >= m->n_allocations)
            continue; /* stopping a gang has dropped allocations here */
        struct rp_allocation *allocation = &m->allocations[i];
        const struct rp_job_spec *spec = &allocation->job->spec;
        double grace = spec->save_s * 1.5 + 1;
        bool idle =
            allocation->task_state == RP_TASK_FETCHING || allocation->task_state == RP_TASK_WAITING;
        /* A gang's progress is safe only if all of its tasks are told within gang_peer_s: each
         * machine reports before that. */
        if (spec->kind == RP_GANG && spec->n_tasks > 1 && !allocation->stop)
            rp_cluster_stop_job(w->cluster, allocation->job,
                                spec->checkpoint_s > 0 && !idle ? grace : 0);
        else if (allocation->state == RP_ALLOCATION_PLANNED)
            rp_allocation_drop(w->cluster, m, i);
        else if (spec->kind == RP_SERVICE)
            rp_allocation_stop(allocation,
                               0); /* so it runs elsewhere sooner than when the machine goes */
        else if (idle)
            rp_allocation_stop(allocation, 0);
        else if (spec->checkpoint_s > 0)
            rp_allocation_stop(allocation, grace);
    }
}

/* A report that was on its way while an answer to a direct command came: what it lists is older
 * than what is known; it still settles starts in earlier reports' answers. */
static void mark_listed(struct rp_workers *w, struct rp_machine *m, const struct rp_report *r) {
    for (size_t i = 0; i < r->n_tasks; i++) {
        struct rp_job *job = rp_jobs_find(w->jobs, r->tasks[i].job);
        struct rp_allocation *allocation =
            job ? find_allocation(m, job, r->tasks[i].task, r->tasks[i].attempt) : NULL;
        if (allocation)
            allocation->marked = true;
    }
}

static void read_report(struct rp_workers *w, struct rp_machine *m, const struct rp_report *r) {
    note_hearing(w, m, r);
    if (r->session > m->session && m->session > 0)
        rp_machine_session_over(w->cluster, m);
    bool behind = r->session == m->session && r->seq < m->seq;
    rp_machine_note_contact(w->cluster, m, r->addr, r->session);
    m->report_seq = r->seq;
    m->n_direct = 0;
    m->last_report = m->last_heard = rp_loop_now(w->loop);
    m->unreached = m->fenced = false;
    rp_machine_note_token(w->cluster, m, r->token == w->election->token);
    for (size_t i = 0; i < m->n_allocations; i++)
        m->allocations[i].marked = false;
    if (behind) {
        mark_listed(w, m, r);
    } else {
        m->seq = r->seq;
        rp_machine_clear_unknown_tasks(w->cluster, m);
        for (size_t i = 0; i < r->n_tasks; i++)
            read_task(w, m, &r->tasks[i]);
    }
    settle_missing(w, m, r->seq);
    take_notice(w, m, r);
    /* Only a report that shows our token proves that no start of an earlier leader is still on
     * its way; until then the machine may hold more than it says. */
    if (m->state != RP_MACHINE_RETURNING && m->token_seen)
        rp_machine_set_state(w->cluster, m, RP_MACHINE_UP);
    rp_fleet_came_up(w->fleet, m);
}

/* ---- commands ---- */

struct batch {
    struct rp_command *list;
    size_t n;
};

static void command(struct batch *b, enum rp_op op, const char *job, uint32_t task,
                    uint64_t attempt, double grace_s) {
    if (b->n == COMMANDS_MAX)
        return;
    struct rp_command *c = &b->list[b->n++];
    c->op = op;
    strcpy(c->job, job);
    c->task = task;
    c->attempt = attempt;
    c->grace_s = grace_s;
}

static void command_unknown_tasks(struct batch *b, const struct rp_machine *m) {
    for (size_t i = 0; i < m->n_unknown_tasks; i++) {
        const struct rp_unknown_task *f = &m->unknown_tasks[i];
        if (f->exited && !m->token_seen)
            continue;
        command(b, f->exited ? RP_OP_FORGET : RP_OP_STOP, f->job, f->task, f->attempt, 0);
    }
}

/* A worker that has forgotten an attempt would begin it anew on a late copy of its start. Starts in
 * answers to reports have no late copies, direct ones may have; those die with the token, which is
 * part of the attempt's number, or with the session. */
static bool may_forget(const struct rp_workers *w, const struct rp_machine *m,
                       const struct rp_allocation *allocation) {
    /* Until the token is seen, an earlier leader's start may still be on its way. */
    if (!m->token_seen || (allocation->direct && allocation->attempt >> 32 == w->election->token))
        return false;
    /* A result must be durable before the worker may lose it. */
    return allocation->why != RP_EXIT_DONE ||
           rp_job_task_durable(allocation->job, allocation->task);
}

/* Stops and removals: they can be repeated and late without harm. */
static void command_ends(const struct rp_workers *w, struct batch *b, struct rp_machine *m,
                         struct timespec now) {
    for (size_t i = 0; i < m->n_allocations; i++) {
        struct rp_allocation *allocation = &m->allocations[i];
        const char *job = allocation->job->spec.id;
        if (allocation->state == RP_ALLOCATION_EXITED) {
            if (may_forget(w, m, allocation))
                command(b, RP_OP_FORGET, job, allocation->task, allocation->attempt, 0);
        } else if (allocation->stop && allocation->state != RP_ALLOCATION_PLANNED) {
            bool saving = allocation->task_state == RP_TASK_SAVING && allocation->grace_s > 0;
            if (saving)
                continue;
            allocation->stop_sent = now;
            allocation->job->interrupted = true;
            /* A direct start that nothing has been heard of may still arrive, after this stop:
             * started and stopped in one go, its attempt is known there, and over. */
            if (allocation->direct && allocation->state == RP_ALLOCATION_SENT)
                command(b, RP_OP_START, job, allocation->task, allocation->attempt, 0);
            command(b, RP_OP_STOP, job, allocation->task, allocation->attempt, allocation->grace_s);
        }
    }
}

static bool start_still_good(struct rp_workers *w, const struct rp_machine *m,
                             const struct rp_allocation *allocation) {
    return allocation->job->state == RP_JOB_OPEN && rp_machine_usable(m) &&
           rp_cluster_job_settled(w->cluster, allocation->job) && rp_jobs_may_start(w->jobs);
}

/* A direct start whose answer was lost is said again: the same attempt can't begin twice. */
static void command_again(struct rp_workers *w, struct batch *b, struct rp_machine *m) {
    for (size_t i = 0; i < m->n_allocations; i++) {
        struct rp_allocation *allocation = &m->allocations[i];
        if (allocation->state != RP_ALLOCATION_SENT || !allocation->direct ||
            allocation->direct_open || allocation->stop)
            continue;
        command(b, RP_OP_START, allocation->job->spec.id, allocation->task, allocation->attempt, 0);
        if (!start_still_good(w, m, allocation)) {
            rp_allocation_stop(allocation, 0);
            command(b, RP_OP_STOP, allocation->job->spec.id, allocation->task, allocation->attempt,
                    0);
        }
    }
}

/* Attempts started directly have to be kept known by their workers for the rest of the term, so
 * only services' replicas are, and, within bounds, what a takeover would delay. */
static bool starts_directly(const struct rp_workers *w, const struct rp_machine *m,
                            const struct rp_job *job) {
    return job->spec.kind == RP_SERVICE ||
           (job->spec.kind == RP_ARRAY && m->fenced && w->direct_left > 0);
}

static void command_starts(struct rp_workers *w, struct batch *b, struct rp_machine *m,
                           bool direct) {
    for (size_t i = m->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &m->allocations[i];
        if (allocation->state != RP_ALLOCATION_PLANNED ||
            (direct && !starts_directly(w, m, allocation->job)))
            continue;
        if (!start_still_good(w, m, allocation)) {
            rp_allocation_drop(w->cluster, m, i);
            continue;
        }
        if (b->n == COMMANDS_MAX)
            return;
        command(b, RP_OP_START, allocation->job->spec.id, allocation->task, allocation->attempt, 0);
        rp_allocation_set_state(w->cluster, m, allocation, RP_ALLOCATION_SENT);
        allocation->sent_seq = m->report_seq;
        allocation->direct = allocation->direct_open = direct;
        w->direct_left -= direct && allocation->job->spec.kind == RP_ARRAY;
        w->n_starts++;
        rp_metrics_add(w->metrics, RP_METRIC_START,
                       rp_job_age_s(allocation->job, rp_loop_now(w->loop)));
        rp_debug("start %s/%u attempt=%llu on %s%s", allocation->job->spec.id, allocation->task,
                 (unsigned long long)allocation->attempt, m->name, direct ? " directly" : "");
    }
}

/* Every answer renews the machine's lease, which the worker reckons from the sending of its report:
 * that was before it was received here. */
static void answer(struct rp_workers *w, struct rp_request *req, struct rp_machine *m,
                   const struct batch *b, struct timespec received) {
    struct timespec now = rp_loop_now(w->loop);
    if (!may_answer(w, now)) {
        not_here(w, req);
        return;
    }
    if (m) {
        struct timespec held = rp_ts_after(received, rp_workers_lease_s(w->settings));
        if (rp_ts_cmp(held, m->held_until) > 0)
            m->held_until = held;
        m->last_answer = now;
        if (rp_ts_zero(m->first_answer))
            m->first_answer = now;
    }
    respond(req, 200, rp_wire_report_answer(w->election->token, b ? b->list : NULL, b ? b->n : 0));
}

/* The machine of the report; NULL if nobody's record names it and it may be a copy of a report sent
 * long ago, by a machine that is gone: only one that shows our token proves that there is one. */
static struct rp_machine *machine_of(struct rp_workers *w, const struct rp_report *r) {
    struct rp_machine *m = rp_machine_find(w->cluster, r->machine);
    if (!m && r->token != w->election->token)
        return NULL;
    if (!m) {
        /* Nobody's record names it, so no leader has ever started anything on it. */
        rp_info("machine %s reports and is in no record: adopted", r->machine);
        m = rp_machine_add(w->cluster, r->machine, RP_MACHINE_BOOTING);
    }
    rp_fleet_describe(w->fleet, m, r->type, r->zone, r->spot);
    return m;
}

/* A machine that may hold tasks of an earlier leader and shows no sign of our answers is answered
 * no more: so its lease ends, and with it what it holds. Once it is lost it may come back. */
static bool starved(const struct rp_workers *w, const struct rp_machine *m) {
    return m->state == RP_MACHINE_UNKNOWN && !rp_ts_zero(m->first_answer) &&
           rp_ts_since(rp_loop_now(w->loop), m->first_answer) > TOKEN_PATIENCE_S;
}

/* A report of a session that is over, held back on its way by a cut: what it lists is gone, and
 * runs elsewhere by now. Only results stay true. */
static void take_results(struct rp_workers *w, const struct rp_machine *m,
                         const struct rp_report *r) {
    if (r->session < m->session)
        return;
    for (size_t i = 0; i < r->n_tasks; i++) {
        const struct rp_task_report *t = &r->tasks[i];
        struct rp_job *job = rp_jobs_find(w->jobs, t->job);
        if (job && t->task < job->spec.n_tasks && t->state == RP_TASK_EXITED &&
            t->why == RP_EXIT_DONE)
            rp_jobs_task_done(w->jobs, job, t->task);
    }
}

static void answer_with_commands(struct rp_workers *w, struct rp_request *req, struct rp_machine *m,
                                 struct timespec received) {
    struct batch b = {.list = calloc(COMMANDS_MAX, sizeof *b.list)};
    if (!b.list) {
        respond(req, 503, NULL);
        return;
    }
    /* What is over is stopped by the very first answer, which renews the lease like any other: a
     * machine that hung right after a first answer without stops ran cancelled work for one more
     * lease; one that was about to go back, while the cloud didn't answer, for ever. */
    command_unknown_tasks(&b, m);
    command_ends(w, &b, m, rp_loop_now(w->loop));
    if (m->token_seen) {
        command_again(w, &b, m);
        command_starts(w, &b, m, false);
    }
    answer(w, req, m, &b, received);
    free(b.list);
}

static size_t busy_allocations(const struct rp_machine *m) {
    size_t n = 0;
    for (size_t i = 0; i < m->n_allocations; i++)
        n += m->allocations[i].state != RP_ALLOCATION_EXITED;
    return n;
}

/* Rounds keep a distance, and on a large fleet nearly every report brings news between two of them:
 * a start planned a moment after the answer had to wait for the machine's next report, seconds
 * later. So the answer waits for the round, which is a small part of what a worker waits. Whether
 * it may be given at all is asked when it is given, as for any other. */
static void hold(struct rp_workers *w, struct rp_request *req, const struct rp_machine *m) {
    if (w->n_held == w->cap_held) {
        size_t cap = w->cap_held ? w->cap_held * 2 : 64;
        struct rp_held_report *held = realloc(w->held, cap * sizeof *held);
        if (!held)
            abort(); /* out of memory: a restart is the honest answer */
        w->held = held;
        w->cap_held = cap;
    }
    struct rp_held_report *h = &w->held[w->n_held++];
    *h = (struct rp_held_report){
        .req = req, .session = m->session, .seq = m->report_seq, .received = rp_loop_now(w->loop)};
    strcpy(h->machine, m->name);
}

static void handle(struct rp_workers *w, struct rp_request *req, const struct rp_report *r) {
    struct rp_machine *m = machine_of(w, r);
    struct timespec received = rp_loop_now(w->loop);
    if (!m) {
        answer(w, req, NULL, NULL, received);
        return;
    }
    if (m->state == RP_MACHINE_LOST && m->lost_session > 0 && r->session == m->lost_session) {
        take_results(w, m, r);
        respond(req, 503, rp_wire_error("this session's lease has ended"));
        return;
    }
    if (m->state == RP_MACHINE_LOST && r->token != w->election->token) {
        /* It may be of a session that is over, or of the next one, of which nothing can be there.
         * Once it shows our token it is the next one's. (Taken for a report of the lost session,
         * the reports of all machines that were cut off during a takeover were refused until they
         * had gone back.) */
        take_results(w, m, r);
        answer(w, req, m, NULL, received);
        return;
    }
    bool old = r->session < m->session || (r->session == m->session && r->seq <= m->report_seq);
    if (old) {
        /* A copy, late by seconds or by many leases: it proves nothing, and its answer renews no
         * lease, for nobody waits for it. */
        w->n_stale++;
        respond(req, 503, rp_wire_error("a newer report is known"));
        return;
    }
    size_t busy = busy_allocations(m);
    bool was_up = m->state == RP_MACHINE_UP;
    read_report(w, m, r);
    if (!m->recorded)
        rp_fleet_adopt(w->fleet, m);
    if (starved(w, m)) {
        respond(req, 503, rp_wire_error("no answer seems to reach this machine"));
        return;
    }
    bool news = m->state != RP_MACHINE_RETURNING && (busy_allocations(m) < busy || !was_up);
    if (news && w->on_room && !w->on_room(w->arg))
        hold(w, req, m);
    else
        answer_with_commands(w, req, m, received);
}

void rp_workers_answer_held(struct rp_workers *w) {
    struct rp_held_report *held = w->held;
    size_t n = w->n_held;
    w->held = NULL;
    w->n_held = w->cap_held = 0;
    for (size_t i = 0; i < n; i++) {
        struct rp_machine *m = w->ready ? rp_machine_find(w->cluster, held[i].machine) : NULL;
        if (!w->ready)
            not_here(w, held[i].req);
        else if (!m || m->session != held[i].session || m->report_seq != held[i].seq)
            respond(held[i].req, 503, rp_wire_error("a newer report is known"));
        else if (m->state == RP_MACHINE_LOST || m->state == RP_MACHINE_RETURNING)
            respond(held[i].req, 503, rp_wire_error("this machine goes back"));
        else
            answer_with_commands(w, held[i].req, m, held[i].received);
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

static struct direct *direct_new(struct rp_workers *w, const struct rp_machine *m, size_t n) {
    struct direct *d = calloc(1, sizeof *d);
    if (!d)
        abort(); /* out of memory: a restart is the honest answer */
    d->attempts = calloc(n + 1, sizeof *d->attempts);
    if (!d->attempts)
        abort();
    d->w = w;
    d->token = w->election->token;
    d->session = m->session;
    strcpy(d->machine, m->name);
    return d;
}

static void direct_free(struct direct *d) {
    free(d->attempts);
    free(d);
}

/* The machine that was asked, if it still is in the same session under the same leader. */
static struct rp_machine *direct_machine(const struct direct *d) {
    struct rp_machine *m =
        d->w->election->token == d->token ? rp_machine_find(d->w->cluster, d->machine) : NULL;
    return m && m->session == d->session ? m : NULL;
}

/* Takes in what the machine lists, if nothing newer is known. Nothing is concluded from what it
 * doesn't list, and no lease is renewed. */
static void take_listing(struct rp_workers *w, struct rp_machine *m, const struct rp_report *r) {
    m->last_heard = rp_loop_now(w->loop);
    if (r->session != m->session || r->seq <= m->seq)
        return;
    m->seq = r->seq;
    for (size_t i = 0; i < r->n_tasks; i++) {
        const struct rp_task_report *t = &r->tasks[i];
        struct rp_job *job = rp_jobs_find(w->jobs, t->job);
        /* What this leader hasn't started, reports tell of. */
        if (job && t->task < job->spec.n_tasks && find_allocation(m, job, t->task, t->attempt))
            read_task(w, m, t);
    }
}

/* What became of the starts that the command carried. */
static void settle_direct(struct direct *d, struct rp_machine *m, bool refused) {
    for (size_t i = m->n_allocations; i-- > 0;) {
        struct rp_allocation *allocation = &m->allocations[i];
        bool mine = false;
        for (size_t k = 0; k < d->n; k++)
            mine |= allocation->attempt == d->attempts[k];
        if (!mine)
            continue;
        allocation->direct_open = false;
        /* Refused whole, or never sent. (Carried out, it is listed: in this answer, or in a newer
         * report that came before it. Without an answer it may still arrive.) */
        if (allocation->state == RP_ALLOCATION_SENT && refused)
            rp_allocation_drop(d->w->cluster, m, i);
    }
}

static void direct_answered(void *arg, const struct rp_answer *a) {
    struct direct *d = arg;
    struct rp_workers *w = d->w;
    struct rp_machine *m = direct_machine(d);
    struct rp_report r;
    bool read = m && (a->status == 200 || a->status == 409) && rp_wire_report(a->body, a->len, &r);
    if (!m)
        goto out;
    w->n_direct_lost += !read;
    size_t busy = busy_allocations(m);
    if (read) {
        if (r.token > w->election->token)
            rp_election_doubt(w->election);
        take_listing(w, m, &r);
        rp_report_free(&r);
    }
    settle_direct(d, m, a->unsent || (read && a->status == 409));
    m->unreached = a->unsent;
    if ((busy_allocations(m) < busy || a->unsent) && w->on_room)
        w->on_room(w->arg);
out:
    direct_free(d);
}

bool rp_workers_direct_full(const struct rp_machine *m) {
    size_t n = 0;
    for (size_t i = 0; i < m->n_allocations; i++)
        n += m->allocations[i].state == RP_ALLOCATION_EXITED && m->allocations[i].direct;
    return n >= DIRECT_KEPT;
}

static void note_attempts(struct direct *d, const struct batch *b) {
    for (size_t i = 0; i < b->n; i++)
        if (b->list[i].op == RP_OP_START)
            d->attempts[d->n++] = b->list[i].attempt;
}

void rp_workers_direct(struct rp_workers *w, struct rp_machine *m) {
    struct timespec now = rp_loop_now(w->loop);
    struct batch b = {.list = calloc(COMMANDS_MAX, sizeof *b.list)};
    /* Else it goes with the answer to the next report. */
    if (!b.list || !rp_machine_usable(m) || !*m->addr || rp_workers_direct_full(m) ||
        !rp_election_valid(w->election, now))
        goto out;
    for (size_t i = 0; i < m->n_allocations; i++) {
        struct rp_allocation *allocation = &m->allocations[i];
        if (allocation->stop && allocation->grace_s <= 0 &&
            allocation->state == RP_ALLOCATION_SEEN) {
            allocation->job->interrupted = true;
            allocation->stop_sent = now;
            command(&b, RP_OP_STOP, allocation->job->spec.id, allocation->task, allocation->attempt,
                    0);
        }
    }
    command_starts(w, &b, m, true);
    if (b.n == 0)
        goto out;
    struct direct *d = direct_new(w, m, b.n);
    note_attempts(d, &b);
    char *body = rp_wire_direct(w->election->token, m->session, b.list, b.n);
    m->n_direct++;
    w->n_direct++;
    w->net.call_once(w->net.ctx, m->addr, "POST", RP_PATH_DIRECT, body, DIRECT_S, direct_answered,
                     d);
    free(body);
out:
    free(b.list);
}

/* ---- the token of a new leader ---- */

#define FENCE_SENT_MOST 4 /* to a machine: two for its session, a stop, a removal */

static void fence_answered(void *arg, const struct rp_answer *a);

struct fence {
    struct direct *direct; /* to whom, in which session, under which token */
    char addr[RP_TEXT_MAX];
    unsigned n_sent;
    rp_workers_fenced_fn fn;
    void *arg;
};

static void fence_end(struct fence *f, bool fenced) {
    rp_workers_fenced_fn fn = f->fn;
    void *arg = f->arg;
    rp_debug("machine %s %s", f->direct->machine,
             fenced ? "shows this term's token, by a direct command" : "could not be fenced");
    direct_free(f->direct);
    free(f);
    fn(arg, fenced);
}

/* The command that shows the token; to a machine that has shown it, the ends of tasks whose jobs
 * are over: what they use counts against everybody until they are gone. */
static void fence_send(struct fence *f, const struct rp_machine *m) {
    struct rp_workers *w = f->direct->w;
    struct batch b = {.list = calloc(COMMANDS_MAX, sizeof *b.list)};
    if (!b.list)
        abort(); /* out of memory: a restart is the honest answer */
    if (m->fenced)
        command_unknown_tasks(&b, m);
    char *body = rp_wire_direct(f->direct->token, f->direct->session, b.list, b.n);
    f->n_sent++;
    w->net.call_once(w->net.ctx, f->addr, "POST", RP_PATH_DIRECT, body, DIRECT_S, fence_answered,
                     f);
    free(body);
    free(b.list);
}

/* The machine shows our token in what it says after the command: no start of an earlier leader can
 * be accepted there any more, so what it lists is all there is. Its lease was renewed last by a
 * report that it sent before now. Newer than any report so far, it counts as one: what was sent
 * before it is refused, and the worker reports again. */
static bool take_fenced(struct rp_workers *w, struct rp_machine *m, const struct rp_report *r) {
    bool newer = r->session > m->session || (r->session == m->session && r->seq > m->seq);
    bool first = m->state == RP_MACHINE_UNKNOWN;
    if (r->token != w->election->token || !newer || !(first || m->fenced))
        return false;
    if (first)
        rp_fleet_describe(w->fleet, m, r->type, r->zone, r->spot);
    if (first)
        m->held_until = rp_ts_after(rp_loop_now(w->loop), rp_workers_lease_s(w->settings));
    read_report(w, m, r);
    m->fenced = true;
    return true;
}

static void fence_answered(void *arg, const struct rp_answer *a) {
    struct fence *f = arg;
    struct direct *d = f->direct;
    struct rp_workers *w = d->w;
    struct rp_machine *m =
        w->election->token == d->token ? rp_machine_find(w->cluster, d->machine) : NULL;
    struct rp_report r;
    bool fenced = false, again = false;
    if (m && (a->status == 200 || a->status == 409) && rp_wire_report(a->body, a->len, &r)) {
        bool same = strcmp(r.machine, d->machine) == 0;
        if (same && r.token > d->token)
            rp_election_doubt(w->election);
        fenced = same && a->status == 200 && take_fenced(w, m, &r);
        m->n_direct += !fenced; /* this answer has used a number since the newest report */
        bool other_session = same && a->status == 409 && r.session != d->session;
        again = other_session || (fenced && m->n_unknown_live > 0);
        d->session = r.session;
        rp_report_free(&r);
    }
    if (fenced && w->on_room)
        w->on_room(w->arg);
    if (again && f->n_sent < FENCE_SENT_MOST)
        fence_send(f, m);
    else
        fence_end(f, m && m->fenced);
}

void rp_workers_fence(struct rp_workers *w, struct rp_machine *m, const char *addr,
                      uint64_t session, rp_workers_fenced_fn fn, void *arg) {
    struct fence *f = calloc(1, sizeof *f);
    if (!f)
        abort(); /* out of memory: a restart is the honest answer */
    *f = (struct fence){.direct = direct_new(w, m, 0), .fn = fn, .arg = arg};
    f->direct->session = session;
    snprintf(f->addr, sizeof f->addr, "%s", addr);
    fence_send(f, m);
}

static bool has_planned(const struct rp_machine *m) {
    for (size_t i = 0; i < m->n_allocations; i++)
        if (m->allocations[i].state == RP_ALLOCATION_PLANNED)
            return true;
    return false;
}

void rp_workers_send_fenced(struct rp_workers *w) {
    for (struct rp_machine *m = w->cluster->first; m && w->direct_left > 0; m = m->next)
        if (m->fenced && has_planned(m))
            rp_workers_direct(w, m);
}

static void probe_answered(void *arg, const struct rp_answer *a) {
    struct direct *d = arg;
    struct rp_machine *m = direct_machine(d);
    struct rp_report r;
    if (!m)
        goto out;
    m->probing = false;
    m->probes_failed++;
    if (a->status != 200 || !rp_wire_report(a->body, a->len, &r))
        goto out;
    m->probes_failed = 0;
    take_listing(d->w, m, &r);
    rp_report_free(&r);
out:
    direct_free(d);
}

void rp_workers_probe(struct rp_workers *w, struct rp_machine *m) {
    if (m->probing || !*m->addr)
        return;
    m->probing = true;
    m->probed = rp_loop_now(w->loop);
    m->n_direct++;
    w->net.call_once(w->net.ctx, m->addr, "GET", RP_PATH_SHOW, NULL, PROBE_S, probe_answered,
                     direct_new(w, m, 0));
}

void rp_workers_close(struct rp_workers *w) {
    free(w->held);
    w->held = NULL;
    w->n_held = w->cap_held = 0;
    rp_timer_cancel(w->loop, &w->waiting_timer);
    while (w->waiting_reports) {
        struct rp_waiting_report *s = w->waiting_reports;
        w->waiting_reports = s->next;
        free(s->body);
        free(s);
    }
}

void rp_workers_report(struct rp_workers *w, struct rp_request *req) {
    struct rp_report report;
    w->n_reports++;
    if (may_come_soon(w, rp_loop_now(w->loop))) {
        wait_for_leader(w, req);
        return;
    }
    if (!w->ready || !may_answer(w, rp_loop_now(w->loop))) {
        not_here(w, req);
        return;
    }
    if (!rp_wire_report(req->body, req->len, &report)) {
        respond(req, 400, rp_wire_error("not a report"));
        return;
    }
    if (rp_fleet_gone(w->fleet, report.machine)) {
        respond(req, 503, rp_wire_error("this machine has been returned"));
    } else if (report.token > w->election->token) {
        rp_election_doubt(w->election);
        respond(req, 503, rp_wire_error("a newer token is known"));
    } else {
        handle(w, req, &report);
    }
    rp_report_free(&report);
}
