/* Simulates the users: they submit, poll and cancel jobs, and check each response against the
 * earlier ones. */
#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"

/* Seconds for which a user waits for the response to a poll (PROTOCOL). */
#define POLL_TIMEOUT_S 2.0

void sim_send_for_user(struct sim *sim, int job, enum sim_user_op operation, int node) {
    static const char *const path_suffixes[] = {"", "", "/cancel"};
    char target[128];
    if (sim->node_in_partition == node + 1)
        return;
    snprintf(target, sizeof target,
             operation == USER_SUBMITS ? "/v1/jobs%.0s%.0s" : "/v1/jobs/%s%s",
             sim->jobs[job].spec.id, path_suffixes[operation]);
    sim_node_receive(
        sim, node,
        &(struct sim_call){.method = operation == USER_POLLS ? "GET" : "POST",
                           .target = target,
                           .body = operation == USER_SUBMITS ? sim->jobs[job].body : "",
                           .answer = EV_USER_ANSWER,
                           .index = job,
                           .user_op = operation});
}

static void send_to_any_node(struct sim *sim, int job, enum sim_user_op operation) {
    sim_send_for_user(sim, job, operation,
                      (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes));
}

/* The phase that the user reads in the response, as changed by a deliberate defect; NULL: none. */
static const char *phase_seen_by_user(const struct sim *sim, const struct sim_job *job,
                                      const json_t *body) {
    const char *phase = json_string_value(json_object_get(body, "tension"));
    bool is_end_hidden = sim->breakage == SIM_GANG_ENDS_ARE_HIDDEN && job->spec.kind == RP_JOB_GANG;
    if (is_end_hidden && phase && strcmp(phase, "done") == 0)
        phase = "running";
    if (sim->breakage == SIM_ANSWERS_ARE_STALE && job->reported_done)
        phase = "pending";
    if (sim->breakage == SIM_RUNNING_IS_PENDING && phase && strcmp(phase, "running") == 0)
        phase = "pending";
    if (sim->breakage == SIM_PENDING_IS_RUNNING && phase && strcmp(phase, "pending") == 0)
        phase = "running";
    return phase;
}

static void record_acceptance(struct sim *sim, int index) {
    struct sim_job *job = &sim->jobs[index];
    if (job->accepted)
        return;
    job->accepted_at = sim->now;
    job->accepted = true;
    /* Until submit_at, the user waits before the submission is repeated. */
    if (job->cancel_on_acceptance)
        job->cancel_at = job->submit_at = sim->now;
    sim_read_concurrently(sim, index);
}

/* went_back: a job that was reported as cancelled is reported as done. */
static void record_done(struct sim *sim, int index) {
    struct sim_job *job = &sim->jobs[index];
    if (job->reported_cancelled)
        sim_record_violation(sim, "went_back: %s", job->spec.id);
    sim_check_done(sim, job);
    if (job->reported_done)
        return;
    sim->n_done_jobs++;
    job->terminal_reported_at = sim->now;
    job->reported_done = true;
    sim_read_concurrently(sim, index);
}

/* went_back: a job is reported as cancelled that was reported as done, or whose cancellation
 * no user requested. */
static void record_cancelled(struct sim *sim, int index) {
    struct sim_job *job = &sim->jobs[index];
    if (job->reported_done || !job->cancel_requested)
        sim_record_violation(sim, "went_back: %s cancelled", job->spec.id);
    if (job->reported_cancelled)
        return;
    job->cancelled_at = job->terminal_reported_at = sim->now;
    job->reported_cancelled = true;
    sim_read_concurrently(sim, index);
}

/* forgotten: a request about an accepted job is refused with 404, 400 or 422. went_back: see
 * also record_done and record_cancelled; a job that was reported as done or cancelled is reported
 * in an earlier phase by a response to a request sent after that report. */
void sim_user_on_answer(struct sim *sim, const struct sim_event *event) {
    struct sim_job *job = &sim->jobs[event->index];
    bool is_dropped = sim->breakage == SIM_POLLS_ARE_DROPPED ||
                      (sim->breakage == SIM_POLLS_AT_NODE_ARE_DROPPED && event->node == 1);
    if (is_dropped && event->index == 0 && job->accepted)
        return;
    bool is_refused = event->status == 404 || event->status == 400 || event->status == 422;
    if (is_refused && job->accepted)
        sim_record_violation(sim, "forgotten: %s gets %d", job->spec.id, event->status);
    json_t *body = json_loads(event->body, 0, NULL);
    const char *phase = phase_seen_by_user(sim, job, body);
    if (phase) {
        if (event->user_op == USER_POLLS && sim->now <= event->sent_at + POLL_TIMEOUT_S) {
            sim->n_polls_answered++;
            sim->n_polls_answered_at[event->node]++;
            sim_record_poll_answer(job, event->node);
        }
        record_acceptance(sim, event->index);
        if (strcmp(phase, "done") == 0)
            record_done(sim, event->index);
        else if (strcmp(phase, "aborted") == 0)
            record_cancelled(sim, event->index);
        else if ((job->reported_done || job->reported_cancelled) &&
                 event->sent_at > job->terminal_reported_at)
            /* Responses may overtake one another: only requests sent after the report count. */
            sim_record_violation(sim, "went_back: %s is %s", job->spec.id, phase);
        sim_check_phase(sim, event, phase);
    }
    json_decref(body);
}

static void poll_node(struct sim *sim, int job, int node) {
    sim_record_poll(sim, &sim->jobs[job], node);
    sim->n_polls++;
    sim->n_polls_at[node]++;
    sim_send_for_user(sim, job, USER_POLLS, node);
}

static void poll(struct sim *sim, int job) {
    if (!sim->has_polls_at_all_nodes) {
        poll_node(sim, job, (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes));
        return;
    }
    for (int node = 0; node < sim->n_nodes; node++)
        poll_node(sim, job, node);
    sim->jobs[job].next_poll_at = sim->now + 1;
}

void sim_user_step(struct sim *sim, int index) {
    struct sim_job *job = &sim->jobs[index];
    if (sim->now < job->submit_at)
        return;
    if (!job->accepted || sim_chance(sim, 0.0002)) {
        if (!job->accepted)
            job->submit_at = sim->now + 1;
        send_to_any_node(sim, index, USER_SUBMITS);
        return;
    }
    bool is_terminal = job->reported_cancelled || job->reported_done;
    if (job->cancel_at > 0 && sim->now > job->cancel_at && (!is_terminal || job->cancel_again)) {
        /* With `cancel_again`, one more cancellation follows when the job is terminal. */
        job->cancel_again = job->cancel_again && !is_terminal;
        job->cancel_requested = true;
        job->cancel_at = sim->now + 1;
        send_to_any_node(sim, index, USER_CANCELS);
    }
    if (sim->now > job->next_poll_at) {
        /* With hundreds of jobs, most of the load would otherwise be polls of terminal jobs. */
        bool polls_rarely = is_terminal && sim->n_jobs > 128;
        double interval_s = (polls_rarely ? 20 : 2) + 3 * sim_uniform(sim);
        job->next_poll_at = sim->now + interval_s * (sim->has_eager_users ? 0.05 : 1);
        poll(sim, index);
    }
}

static json_t *job_body(const char *id, const char *kind, unsigned tasks, double cpus,
                        double run_s) {
    bool is_gang = strncmp(kind, "ensemble", strlen("ensemble")) == 0;
    bool is_service = strcmp(kind, "service") == 0;
    bool is_low = !is_gang || strcmp(kind, "ensemble:low") == 0;
    const char *class_name = is_gang ? "g" : "a";
    const char *priority = is_low ? "low" : "urgent";
    if (is_service) {
        class_name = "s";
        priority = "critical";
    }
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "ref",
        id, "rig", class_name, "crew", "t", "haul", is_gang ? "ensemble" : kind, "precedence",
        priority, "lifts", (int)tasks, "vcpus", cpus, "cards", 0.0, "memory_gb", 2.0, "payload",
        "img-1", "image_gb", 1.0, "frames", "yard", "one_zone", is_gang, "spread", is_service,
        "loaners", !is_service, "run_guess_s", is_service ? 0.0 : run_s, "brace_every_s",
        is_service ? 0.0 : 5.0, "brace_s", 1.0, "due_s");
}

int sim_submit(struct sim *sim, double submit_at, const char *kind, unsigned tasks, double cpus,
               double run_s, double cancel_at) {
    struct sim_job *job = &sim->jobs[sim->n_jobs];
    char id[32];
    struct rp_codec_error error;
    snprintf(id, sizeof id, "j-%06d", sim->n_jobs);
    json_t *body = job_body(id, kind, tasks, cpus, run_s);
    if (!body || !rp_job_codec_read_spec(body, &job->spec, &error))
        abort();
    job->used = true;
    job->done = rp_alloc(SIM_JOB_TASKS, sizeof *job->done);
    job->checkpointed_s = rp_alloc(SIM_JOB_TASKS, sizeof *job->checkpointed_s);
    job->down_since = rp_alloc(SIM_JOB_TASKS, sizeof *job->down_since);
    job->body = json_dumps(body, JSON_COMPACT);
    job->submit_at = submit_at;
    job->cancel_at = cancel_at;
    json_decref(body);
    return sim->n_jobs++;
}

void sim_set_field(struct sim *sim, int index, const char *field, json_t *value) {
    struct sim_job *job = &sim->jobs[index];
    struct rp_codec_error error;
    json_t *spec = json_loads(job->body, 0, NULL);
    json_object_set_new(spec, field, value);
    rp_job_spec_free(&job->spec);
    if (!rp_job_codec_read_spec(spec, &job->spec, &error))
        abort();
    free(job->body);
    job->body = json_dumps(spec, JSON_COMPACT);
    json_decref(spec);
}

int sim_submit_long(struct sim *sim, double submit_at, unsigned tasks, double run_s) {
    int index = sim_submit(sim, submit_at, "sweep", tasks, 1, run_s, 0);
    struct sim_job *job = &sim->jobs[index];
    json_t *value = json_loads(job->body, 0, NULL);
    json_t *types = json_array();
    char text[RP_TEXT_MAX];
    memset(text, 1, sizeof text - 1); /* a control character takes six bytes in JSON */
    text[sizeof text - 1] = '\0';
    json_object_set_new(value, "rig", json_string(text));
    json_object_set_new(value, "payload", json_string(text));
    for (int i = 0; i < 900; i++) {
        snprintf(text, sizeof text, "a-type-that-no-machine-is-of-%d", i);
        json_array_append_new(types, json_string(i % 300 == 7 ? "wide" : text));
    }
    json_object_set_new(value, "frames", types);
    free(job->body);
    job->body = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return index;
}
