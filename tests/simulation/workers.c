/* Simulates the workers: leases, heartbeats, and the commands that they receive in responses to
 * heartbeats or directly. */
#include "internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "protocol/json_text.h"
#include "protocol/worker_codec.h"

/* Time for which a worker waits for the response to a heartbeat before it tries the next node. */
#define HEARTBEAT_TIMEOUT_S 4.0
/* Time from a time-out, a failed connection or an error response to the next heartbeat. */
#define RETRY_S 1.0
/* Time from a response that names the leader to the next heartbeat. */
#define NAMED_LEADER_DELAY_S 0.2
#define REQUEST_BYTES_MAX 65536 /* bytes of a request's body */
/* Minimum time from a heartbeat to one that is sent early because a state has changed. */
#define CHANGE_DELAY_S 0.5

const char *sim_worker_address(const struct sim *sim, const struct sim_worker *worker) {
    return sim->remote ? sim->remote->worker_addr(sim->remote->ctx, (int)(worker - sim->workers))
                       : worker->name;
}

/* forgotten_early: the worker is told to forget an attempt that a direct command of the present
 * leader started. A late copy of the command would start the attempt again. */
static void check_forget(struct sim *sim, const struct sim_worker *worker,
                         const struct sim_task *task) {
    if (task->direct_token > 0 && task->direct_token == worker->fencing_token)
        sim_record_violation(sim, "forgotten_early: %s/%u on %s", task->job, task->index,
                             worker->name);
}

/* `directly`: the command did not come in the response to a heartbeat. */
static void execute_command(struct sim *sim, struct sim_worker *worker, json_t *command,
                            bool directly) {
    const char *signal = json_string_value(json_object_get(command, "signal"));
    const char *name = json_string_value(json_object_get(command, "lift"));
    uint64_t attempt;
    char job[RP_ID_MAX] = "";
    /* An attempt number is an integer from 0 to 2^64 - 1 (PROTOCOL): a worker cannot execute a
     * command with any other value. */
    if (!rp_json_to_count(json_object_get(command, "pull"), &attempt)) {
        sim->n_malformed_commands++;
        return;
    }
    const char *slash = strchr(name, '/');
    memcpy(job, name, (size_t)(slash - name));
    uint32_t index = (uint32_t)strtoul(slash + 1, NULL, 10);
    if (strcmp(signal, "run") == 0) {
        if (sim->breakage != SIM_STARTS_ARE_DROPPED || strcmp(job, sim->jobs[1].spec.id) != 0)
            sim_task_start(sim, worker, job, index, attempt, directly);
        return;
    }
    for (int i = 0; i < worker->n_tasks; i++) {
        struct sim_task *task = &worker->tasks[i];
        if (strcmp(task->job, job) != 0 || task->index != index || task->attempt != attempt)
            continue;
        if (strcmp(signal, "halt") == 0) {
            sim_task_stop(sim, worker, task, json_number_value(json_object_get(command, "ease_s")));
        } else if (task->state == RP_TASK_EXITED) {
            check_forget(sim, worker, task);
            *task = worker->tasks[--worker->n_tasks];
        }
        return;
    }
}

static void execute_commands(struct sim *sim, struct sim_worker *worker, json_t *body,
                             bool directly) {
    json_t *list = json_object_get(body, "signals");
    json_t *command;
    size_t i;
    json_array_foreach(list, i, command) {
        execute_command(sim, worker, command, directly);
    }
}

static bool accept_token(struct sim_worker *worker, json_t *body) {
    uint64_t token;
    if (!rp_json_to_count(json_object_get(body, "warrant"), &token) ||
        token < worker->fencing_token)
        return false;
    if (token > worker->fencing_token)
        worker->changed = true;
    worker->fencing_token = token;
    return true;
}

static json_t *task_entry(const struct sim_task *task) {
    static const char *const phases[] = {"fetching", "waiting", "running", "flushing", "exited"};
    char name[80];
    snprintf(name, sizeof name, "%s/%u", task->job, task->index);
    json_t *entry = json_pack("{s:s,s:o,s:s}", "lift", name, "pull",
                              rp_json_from_count(task->attempt), "tension", phases[task->state]);
    if (task->exit_reason)
        json_object_set_new(entry, "slack_reason", json_string(task->exit_reason));
    if (task->checkpointed)
        json_object_set_new(entry, "stored", json_true());
    return entry;
}

static json_t *heartbeat_body(const struct sim *sim, struct sim_worker *worker) {
    json_t *tasks = json_array();
    for (int i = 0; i < worker->n_tasks; i++)
        json_array_append_new(tasks, task_entry(&worker->tasks[i]));
    worker->sequence_number++;
    json_t *spot_notice_s = worker->reclaimed_at > 0
                                ? json_real(fmax(0, worker->reclaimed_at - sim->now))
                                : json_null();
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:o,s:o,s:o,s:o,s:o}", "sheave", worker->name, "address",
                     sim_worker_address(sim, worker), "frame", sim_types[worker->type].name, "yard",
                     sim_zones[worker->zone], "loaners", worker->spot, "stint",
                     rp_json_from_count(worker->incarnation), "tick",
                     rp_json_from_count(worker->sequence_number), "warrant",
                     rp_json_from_count(worker->fencing_token), "recall_s", spot_notice_s, "lifts",
                     tasks);
}

static struct sim_worker *find_worker(struct sim *sim, const char *name) {
    for (int i = 0; i < sim->size.n_workers; i++)
        if (sim->workers[i].used && strcmp(sim->workers[i].name, name) == 0)
            return &sim->workers[i];
    return NULL;
}

/* Counts a copy of a direct command that the worker executed; it had `n_tasks` before. */
static void record_command_copy(struct sim *sim, const struct sim_worker *worker, int n_tasks) {
    sim->n_command_copies++;
    sim->n_copied_starts += (unsigned long)(worker->n_tasks - n_tasks);
}

int sim_worker_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out) {
    struct sim_worker *worker = find_worker(sim, event->addr);
    int status = 200;
    int n_tasks = worker ? worker->n_tasks : 0;
    if (!worker || !worker->alive || !worker->up || sim->now < worker->one_way_partition_until)
        return 0;
    sim->n_direct_to_unreachable += sim->now < worker->unreachable_until;
    if (strcmp(event->target, RP_PATH_DIRECT) == 0) {
        sim->n_direct_commands++;
        if (sim_count_of(body, "stint") != worker->incarnation || !accept_token(worker, body))
            status = 409;
        else
            execute_commands(sim, worker, body, true);
        if (status == 200 && event->is_command_copy)
            record_command_copy(sim, worker, n_tasks);
        else if (status == 200 && !event->answered)
            sim_inject_command_fault(sim, event);
    }
    *out = heartbeat_body(sim, worker);
    return status;
}

bool sim_worker_is_paused(struct sim *sim, const struct sim_event *event) {
    const struct sim_worker *worker = find_worker(sim, event->addr);
    return worker && (sim->now < worker->paused_until || sim->partitioned_zone == worker->zone + 1);
}

/* ---- heartbeats ---- */

/* The defect SIM_DUPLICATES_GET_NEW_INCARNATION: an old heartbeat appears to be from the worker's
 * next incarnation, without tasks. */
static void give_duplicate_new_incarnation(struct sim_event *copy) {
    json_t *value = rp_json_parse(copy->body, strlen(copy->body));
    json_object_set_new(value, "stint", rp_json_from_count(sim_count_of(value, "stint") + 1));
    json_object_set_new(value, "lifts", json_array());
    free(copy->body);
    copy->body = rp_json_write(value);
    json_decref(value);
}

/* The next heartbeat is sent to the next node, after RETRY_S. */
static void switch_to_next_node(struct sim *sim, struct sim_worker *worker) {
    worker->node = (worker->node + 1) % sim->n_nodes;
    worker->next_heartbeat_at = sim->now + RETRY_S;
}

/* Sends a copy of the heartbeat later, to the same node; with `is_late`, up to five lease times
 * later and to a random node. */
static void send_duplicate(struct sim *sim, const struct sim_event *event, bool is_late) {
    struct sim_event *copy = sim_event_new(sim, EV_HEARTBEAT,
                                           is_late ? 1 + 5 * sim->size.lease_s * sim_uniform(sim)
                                                   : 0.1 + 40 * sim_uniform(sim));
    copy->body = strdup(event->body);
    if (sim->breakage == SIM_DUPLICATES_GET_NEW_INCARNATION)
        give_duplicate_new_incarnation(copy);
    copy->index = event->index;
    copy->heartbeat_sent_number = event->heartbeat_sent_number;
    copy->sent_at = event->sent_at;
    copy->node = event->node;
    if (is_late)
        copy->node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
}

/* Determines when the heartbeat arrives, or that it never does. */
static void delay_heartbeat(struct sim *sim, struct sim_event *event) {
    bool is_held_back = sim->delayed_worker == event->index + 1 && sim->now < sim->delayed_until;
    if (is_held_back) /* heartbeats that are held back arrive in the order of sending */
        event->due_at = sim->delayed_until + 0.5 - 0.025 * (sim->delayed_until - sim->now);
    else if (sim_chance(sim, sim->faults.drop))
        event->due_at = sim->now + SIM_NEVER;
    else if (sim_chance(sim, sim->faults.delay))
        event->due_at = sim->now + 5 + 60 * sim_uniform(sim);
}

/* report_too_long: a controller refuses a request whose body is longer than 64 KiB (PROTOCOL). All
 * tasks of the machine would end with its lease. */
static void check_length(struct sim *sim, const struct sim_worker *worker, const char *body) {
    if (strlen(body) > REQUEST_BYTES_MAX)
        sim_record_violation(sim, "report_too_long: %s lists %d tasks", worker->name,
                             worker->n_tasks);
}

static void send_heartbeat(struct sim *sim, int index) {
    struct sim_worker *worker = &sim->workers[index];
    worker->changed = false;
    if (sim->now < worker->unreachable_until) {
        switch_to_next_node(sim, worker); /* the connection fails */
        return;
    }
    struct sim_event *event = sim_event_new(sim, EV_HEARTBEAT, sim_network_delay(sim));
    json_t *body = heartbeat_body(sim, worker);
    event->body = rp_json_write(body);
    json_decref(body);
    check_length(sim, worker, event->body);
    event->index = index;
    event->node = worker->node;
    event->heartbeat_number = ++worker->heartbeat_number;
    event->heartbeat_sent_number = worker->heartbeat_number;
    event->sent_at = sim->now;
    worker->heartbeat_in_flight = true;
    worker->sent_at = sim->now;
    delay_heartbeat(sim, event);
    bool is_late = sim_chance(sim, sim->faults.late_duplicate);
    sim_inject_heartbeat_fault(sim, event);
    if (is_late || sim_chance(sim, sim->faults.duplicate))
        send_duplicate(sim, event, is_late);
}

/* ---- steps ---- */

static void boot(struct sim *sim, struct sim_worker *worker) {
    worker->up = true;
    worker->incarnation = sim->first_number + 1;
    worker->sequence_number = sim->first_number;
    worker->renewed_at = sim->now;
    worker->next_heartbeat_at = sim->now;
    worker->node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
}

/* The lease expires by the worker's clock, whether the machine is paused or not. The worker then
 * kills all its tasks and begins a new incarnation. */
static void expire_lease(struct sim *sim, struct sim_worker *worker) {
    if (sim->now <= worker->renewed_at + sim->size.lease_s)
        return;
    if (sim->breakage != SIM_WORKERS_KEEP_TASKS)
        worker->n_tasks = 0;
    worker->incarnation++;
    worker->renewed_at = sim->now;
}

void sim_worker_step(struct sim *sim, int index) {
    struct sim_worker *worker = &sim->workers[index];
    if (!worker->used || !worker->alive)
        return;
    if (!worker->up) {
        if (sim->now < worker->boots_at)
            return;
        boot(sim, worker);
    }
    if (worker->reclaimed_at > 0 && sim->now > worker->reclaimed_at) {
        worker->used = worker->alive = false;
        return;
    }
    expire_lease(sim, worker);
    if (sim->now < worker->paused_until)
        return;
    for (int i = 0; i < worker->n_tasks; i++)
        sim_task_step(sim, worker, &worker->tasks[i]);
    if (worker->heartbeat_in_flight && sim->now > worker->sent_at + HEARTBEAT_TIMEOUT_S) {
        worker->heartbeat_in_flight = false;
        switch_to_next_node(sim, worker);
    }
    bool is_due = sim->now >= worker->next_heartbeat_at ||
                  (worker->changed && sim->now > worker->sent_at + CHANGE_DELAY_S);
    if (!worker->heartbeat_in_flight && is_due)
        send_heartbeat(sim, index);
}

/* Whether the worker still waits for this response and receives it. */
static bool is_answer_received(const struct sim *sim, const struct sim_worker *worker,
                               const struct sim_event *event) {
    bool is_awaited = worker->used && worker->alive && worker->heartbeat_in_flight &&
                      event->heartbeat_number == worker->heartbeat_number &&
                      sim->now <= worker->sent_at + HEARTBEAT_TIMEOUT_S;
    return is_awaited && sim->now >= worker->paused_until &&
           sim->now >= worker->one_way_partition_until;
}

void sim_worker_on_heartbeat_answer(struct sim *sim, const struct sim_event *event) {
    struct sim_worker *worker = &sim->workers[event->index];
    if (!is_answer_received(sim, worker, event))
        return;
    worker->heartbeat_in_flight = false;
    worker->next_heartbeat_at = sim->now + RETRY_S;
    const char *text = event->body ? event->body : "{}";
    json_t *body = rp_json_parse(text, strlen(text));
    if (event->status == 200) {
        worker->next_heartbeat_at =
            worker->sent_at + sim->size.heartbeat_s * (0.75 + 0.5 * sim_uniform(sim));
        if (accept_token(worker, body)) {
            worker->renewed_at = worker->sent_at;
            execute_commands(sim, worker, body, false);
            sim_check_lease_renewal(sim, worker);
        }
    } else {
        const char *leader = json_string_value(json_object_get(body, "foreman"));
        int node =
            leader && event->status == 421 ? (int)strtol(leader + strlen("n"), NULL, 10) : -1;
        worker->node = node >= 0 && node != worker->node ? node : (worker->node + 1) % sim->n_nodes;
        if (node >= 0)
            worker->next_heartbeat_at = sim->now + NAMED_LEADER_DELAY_S;
    }
    json_decref(body);
}
