/* Injects faults into the simulation, each alone or with others: at random (struct sim_faults), or
 * when a test sets the time until which a fault lasts. */
#include "internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HELD_DUPLICATES_MAX 200 /* copies of heartbeats held for the next leader */
#define COMMAND_COPY_MIN_S 0.005
#define PAUSED_MAX 8 /* machines that one call of sim_cancel_running pauses */

/* ---- messages in transit ---- */

/* Copies the first key with the prefix that the transaction changes; returns false if there is
 * none.
 */
static bool find_changed_key(const char *body, const char *prefix, char key[RP_KEY_MAX]) {
    json_t *txn = json_loads(body, JSON_DECODE_ANY, NULL);
    json_t *change;
    size_t i;
    key[0] = '\0';
    json_array_foreach(json_object_get(txn, "then"), i, change) {
        const char *changed = json_string_value(json_object_get(change, "write"));
        changed = changed ? changed : json_string_value(json_object_get(change, "delete"));
        if (!*key && changed && strncmp(changed, prefix, strlen(prefix)) == 0)
            snprintf(key, RP_KEY_MAX, "%s", changed);
    }
    json_decref(txn);
    return *key != '\0';
}

/* Makes a transaction get no response. A copy is executed after `after_s` seconds, the original is
 * not. */
static void lose_answer(struct sim *sim, struct sim_event *event, double after_s) {
    (void)sim_request_duplicate(sim, event, after_s);
    event->unsent = true;
    event->due_at = event->deadline;
}

static void interrupt(struct sim *sim, struct sim_event *event) {
    struct sim_interruption *interruption = &sim->interruption;
    char key[RP_KEY_MAX];
    if (!find_changed_key(event->body, interruption->prefix, key))
        return;
    bool has_happened = interruption->happened_at > 0;
    bool is_repeated = interruption->repeats && strcmp(key, interruption->key) == 0;
    interruption->n_seen++;
    if (has_happened ? !is_repeated : interruption->n_seen < interruption->nth)
        return;
    if (!has_happened) {
        interruption->happened_at = sim->now;
        interruption->node = event->node;
        strcpy(interruption->key, key);
    }
    if (interruption->kind == SIM_WRITE_LOST) {
        event->unsent = true;
        event->due_at = event->deadline;
    } else {
        lose_answer(sim, event,
                    interruption->kind == SIM_WRITE_LATE ? SIM_LATE_WRITE_S
                                                         : event->due_at - sim->now);
    }
}

/* Makes a transaction get no response: it is executed at once, or 2 to 12 s later and thereby after
 * newer transactions. */
void sim_inject_transaction_fault(struct sim *sim, struct sim_event *event) {
    bool is_delayed = sim_chance(sim, sim->faults.delayed_write);
    bool is_answer_dropped = !is_delayed && sim_chance(sim, sim->faults.dropped_answer);
    if (sim->interruption.prefix)
        interrupt(sim, event);
    if (!is_delayed && !is_answer_dropped)
        return;
    lose_answer(sim, event, is_delayed ? 2 + 10 * sim_uniform(sim) : event->due_at - sim->now);
    sim->n_delayed_writes += is_delayed;
    sim->n_dropped_answers += is_answer_dropped;
}

/* The delay has the same probability in each order of magnitude. */
void sim_inject_command_fault(struct sim *sim, const struct sim_event *event) {
    const struct sim_faults *faults = &sim->faults;
    if (!sim_chance(sim, faults->command_copy))
        return;
    double after_s =
        COMMAND_COPY_MIN_S * pow(faults->command_copy_max_s / COMMAND_COPY_MIN_S, sim_uniform(sim));
    sim_request_duplicate(sim, event, after_s)->is_command_copy = true;
}

/* Holds a copy of the heartbeat, which reaches every node when the next leader begins to lead. */
void sim_inject_heartbeat_fault(struct sim *sim, const struct sim_event *event) {
    if (!sim_chance(sim, sim->faults.held_duplicate) ||
        sim->n_held_duplicates == HELD_DUPLICATES_MAX)
        return;
    struct sim_event *copy = sim_event_new(sim, EV_HEARTBEAT, 1e9);
    copy->heartbeat_sent_number = event->heartbeat_sent_number;
    copy->sent_at = event->sent_at;
    copy->body = strdup(event->body);
    copy->index = event->index;
    copy->held_for_next_leader = true;
    sim->n_held_duplicates++;
}

/* Delivers the held copies within half a second when a new leader, which has a new fencing token,
 * is found. */
static void deliver_held_duplicates(struct sim *sim) {
    int leader = sim_leader(sim);
    uint64_t token = leader >= 0 && sim->nodes[leader].node
                         ? sim->nodes[leader].node->election.fencing_token
                         : 0;
    if (!token || token == sim->last_fencing_token)
        return;
    sim->last_fencing_token = token;
    sim->n_leaders++;
    for (int i = 0; i < sim->n_events; i++)
        if (sim->events[i]->held_for_next_leader) {
            sim->events[i]->due_at = sim->now + 0.5 * sim_uniform(sim);
            sim->n_held_duplicates_delivered++;
        }
}

/* ---- users ---- */

void sim_read_concurrently(struct sim *sim, int job) {
    if (!sim->has_concurrent_reads)
        return;
    for (int k = 0; k < 3 * sim->n_nodes; k++) {
        struct sim_event *event = sim_event_new(sim, EV_CONCURRENT_READ, 0.05 * sim_uniform(sim));
        event->node = k % sim->n_nodes;
        event->index = job;
        event->user_op = k < sim->n_nodes ? USER_SUBMITS : USER_POLLS;
        sim->n_concurrent_reads++;
    }
}

/* A copy of the first job's submission with an unused id and one error: kind 0 lacks a field, 1
 * names an unknown team, 2 needs more CPUs than any machine has, 3 an unknown machine type, others
 * an unknown zone. */
static char *invalid_submission(struct sim *sim, int kind) {
    static const char *const fields[] = {"rig",     "crew",        "haul",    "precedence",
                                         "lifts",   "vcpus",       "cards",   "memory_gb",
                                         "payload", "image_gb",    "spread",  "one_zone",
                                         "loaners", "run_guess_s", "brace_s", "brace_every_s"};
    char id[32];
    snprintf(id, sizeof id, "j-%06d", 900000 + (int)(sim->n_invalid_requests % 90000));
    json_t *value = json_loads(sim->jobs[0].body, 0, NULL);
    json_object_set_new(value, "ref", json_string(id));
    if (kind == 0)
        json_object_del(value,
                        fields[gsl_rng_uniform_int(sim->rng, sizeof fields / sizeof fields[0])]);
    else if (kind == 1)
        json_object_set_new(value, "crew", json_string("nobody's"));
    else if (kind == 2)
        json_object_set_new(value, "vcpus", json_real(33));
    else if (kind == 3)
        json_object_set_new(value, "frames", json_pack("[s]", "a-type-of-no-machine"));
    else
        json_object_set_new(value, "yard", json_string("a-zone-of-no-machine"));
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}

static void send_invalid_request(struct sim *sim) {
    int node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    int kind = (int)gsl_rng_uniform_int(sim->rng, 7);
    sim->n_invalid_requests++;
    struct sim_call call = {.method = "POST",
                            .target = "/v1/jobs",
                            .answer = EV_INVALID_ANSWER,
                            .user_op = USER_SUBMITS};
    char *body = NULL;
    if (kind == 5) {
        call.method = "GET";
        call.target = "/v1/jobs/j-899999";
        call.index = 404;
        call.user_op = USER_POLLS;
    } else if (kind == 6) {
        call.body = "[\"j-000001\"]";
        call.index = 400;
    } else {
        call.body = body = invalid_submission(sim, kind);
        call.index = kind == 0 ? 400 : 422;
    }
    sim_node_receive(sim, node, &call);
    free(body);
}

/* Whether the task runs and its job is being cancelled or may be cancelled now. */
static bool is_cancellable(const struct sim_job *job, const struct sim_task *task, int n_left) {
    return task->state == RP_TASK_RUNNING && !job->reported_done &&
           (job->cancel_requested || n_left > 0);
}

/* The cancellations are sent within a fifth of a second; up to PAUSED_MAX of the jobs' machines are
 * paused at once. */
void sim_cancel_running(struct sim *sim, int count, double pause_s) {
    int n_paused = 0;
    for (int i = 0; i < sim->size.n_workers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; worker->used && worker->alive && k < worker->n_tasks; k++) {
            struct sim_job *job = &sim->jobs[worker->tasks[k].job_index];
            if (!is_cancellable(job, &worker->tasks[k], count))
                continue;
            if (!job->cancel_requested) {
                count--;
                job->cancel_at = sim->now + 0.2 * sim_uniform(sim);
                job->cancel_requested = true;
            }
            if (pause_s > 0 && n_paused < PAUSED_MAX && sim->now >= worker->paused_until) {
                worker->paused_until = sim->now + pause_s;
                n_paused++;
            }
        }
    }
}

/* ---- steps ---- */

static bool happens_within_step(struct sim *sim, double mean_s) {
    return mean_s > 0 && sim_chance(sim, SIM_STEP_S / mean_s);
}

/* A fault that is enabled draws a random number in every step, even if it does not apply to the
 * machine, because the order of the draws determines the course of the run (internal.h). */

static void crash_nodes(struct sim *sim, int node) {
    if (happens_within_step(sim, sim->faults.crash_s))
        sim_crash(sim, node, sim_chance(sim, 0.3) ? 0.1 : 3);
    if (happens_within_step(sim, sim->faults.crash_s * 4))
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, 0.1 + 4 * sim_uniform(sim));
}

static void partition_nodes(struct sim *sim, int node) {
    const struct sim_faults *faults = &sim->faults;
    if (happens_within_step(sim, faults->store_outage_s))
        sim->store_outage_until = sim->now + 1 + 19 * sim_uniform(sim);
    if (happens_within_step(sim, faults->store_refusal_s))
        sim->nodes[node].store_refusal_until = sim->now + 1 + 20 * sim_uniform(sim);
    if (happens_within_step(sim, faults->partitioned_node_s))
        sim->nodes[node].partitioned_until = sim->now + 3 + 25 * sim_uniform(sim);
}

/* Restarts the machine: it loses its tasks and has a new incarnation. */
static void restart_machine(struct sim *sim, struct sim_worker *worker) {
    worker->n_tasks = 0;
    worker->incarnation++;
    if (sim->are_restarted_workers_new) {
        worker->incarnation = sim->first_number + 1;
        worker->sequence_number = sim->first_number;
        worker->fencing_token = 0;
    }
    worker->renewed_at = sim->now;
    worker->heartbeat_in_flight = false;
    worker->heartbeat_number++;
    worker->next_heartbeat_at = sim->now + 0.05 + 0.45 * sim_uniform(sim);
}

static void restart_fast(struct sim *sim, int node, struct sim_worker *worker) {
    if (happens_within_step(sim, sim->faults.fast_restart_s))
        sim_crash(sim, node, 0.05 + 0.45 * sim_uniform(sim));
    if (happens_within_step(sim, sim->faults.fast_restart_s / 4) && worker->used && worker->up)
        restart_machine(sim, worker);
}

/* Applies faults to the machine, which is a random one. The configured mean times are those between
 * two faults among eight machines, hence the division by 8. */
static void fail_machine(struct sim *sim, struct sim_worker *worker) {
    const struct sim_faults *faults = &sim->faults;
    if (happens_within_step(sim, faults->pause_s / 8))
        worker->paused_until = sim->now + 40 * sim_uniform(sim);
    if (happens_within_step(sim, faults->spot_notice_s / 8) && worker->used && worker->spot &&
        worker->reclaimed_at <= 0) {
        worker->reclaimed_at = sim->now + (sim_chance(sim, 0.3) ? 0.01 : 5 + 10 * sim_uniform(sim));
        worker->changed = true;
    }
    if (happens_within_step(sim, faults->machine_crash_s / 8) && worker->used)
        worker->alive = false;
    if (happens_within_step(sim, faults->unreachable_s / 8))
        worker->unreachable_until = sim->now + 3 + 50 * sim_uniform(sim);
}

static void fail_cloud(struct sim *sim) {
    if (!happens_within_step(sim, sim->faults.cloud_outage_s) || sim->now < sim->cloud_outage_until)
        return;
    sim->cloud_outage_until = sim->now + 5 + 120 * sim_uniform(sim);
    sim->is_cloud_silent = sim_chance(sim, 0.5);
}

static void inject_random_faults(struct sim *sim) {
    const struct sim_faults *faults = &sim->faults;
    int node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    struct sim_worker *worker =
        &sim->workers[gsl_rng_uniform_int(sim->rng, (unsigned long)sim->size.n_workers)];
    crash_nodes(sim, node);
    partition_nodes(sim, node);
    if (happens_within_step(sim, faults->one_way_partition_s / 8))
        worker->one_way_partition_until = sim->now + 3 + 50 * sim_uniform(sim);
    restart_fast(sim, node, worker);
    if (happens_within_step(sim, faults->node_pause_s))
        sim->nodes[node].paused_until = sim->now + 12 * sim_uniform(sim);
    fail_machine(sim, worker);
    if (happens_within_step(sim, faults->peer_partition_s))
        sim->peer_partition_until = sim->now + 2 + 20 * sim_uniform(sim);
    if (happens_within_step(sim, faults->invalid_request_s))
        send_invalid_request(sim);
    fail_cloud(sim);
}

void sim_inject_faults(struct sim *sim) {
    inject_random_faults(sim);
    deliver_held_duplicates(sim);
}

void sim_end_faults(struct sim *sim) {
    sim->faults = (struct sim_faults){0};
    sim->faults_ended_at = sim->now;
    sim->store_outage_until = sim->cloud_outage_until = 0;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->nodes[i].store_refusal_until = sim->nodes[i].partitioned_until = 0;
    for (int i = 0; i < sim->size.n_workers; i++)
        sim->workers[i].one_way_partition_until = sim->workers[i].unreachable_until = 0;
    sim->peer_partition_until = 0;
    sim->partitioned_zone = sim->node_in_partition = sim->node_without_heartbeats = 0;
}
