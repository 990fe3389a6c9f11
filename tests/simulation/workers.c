/* The workers: leases, heartbeats, and the commands that come with answers or directly. */
#include "internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "protocol/wire.h"

const char *sim_worker_address(const struct sim *sim, const struct sim_worker *worker) {
    return sim->remote ? sim->remote->worker_addr(sim->remote->ctx, (int)(worker - sim->workers))
                       : worker->name;
}

static void worker_command(struct sim *sim, struct sim_worker *worker, json_t *c) {
    const char *op = json_string_value(json_object_get(c, "signal"));
    const char *name = json_string_value(json_object_get(c, "lift"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(c, "pull"));
    char job[RP_ID_MAX] = "";
    const char *slash = strchr(name, '/');
    memcpy(job, name, (size_t)(slash - name));
    uint32_t index = (uint32_t)strtoul(slash + 1, NULL, 10);
    if (strcmp(op, "run") == 0) {
        if (sim->breakage != SIM_STARTS_ARE_DROPPED || strcmp(job, sim->jobs[1].spec.id) != 0)
            sim_task_start(sim, worker, job, index, attempt);
        return;
    }
    for (int i = 0; i < worker->n_tasks; i++) {
        struct sim_task *task = &worker->tasks[i];
        if (strcmp(task->job, job) != 0 || task->index != index || task->attempt != attempt)
            continue;
        if (strcmp(op, "halt") == 0) {
            sim_task_stop(sim, worker, task, json_number_value(json_object_get(c, "ease_s")));
        } else if (task->state == RP_TASK_EXITED) {
            *task = worker->tasks[--worker->n_tasks];
        }
        return;
    }
}

static void worker_commands(struct sim *sim, struct sim_worker *worker, json_t *body) {
    json_t *list = json_object_get(body, "signals"), *c;
    size_t i;
    json_array_foreach(list, i, c) {
        worker_command(sim, worker, c);
    }
}

static bool accept_token(struct sim_worker *worker, json_t *body) {
    uint64_t token = (uint64_t)json_integer_value(json_object_get(body, "warrant"));
    if (!json_object_get(body, "warrant") || token < worker->fencing_token)
        return false;
    if (token > worker->fencing_token)
        worker->changed = true;
    worker->fencing_token = token;
    return true;
}

static json_t *heartbeat_body(const struct sim *sim, struct sim_worker *worker) {
    double now = sim->now;
    static const char *const words[] = {"fetching", "waiting", "running", "flushing", "exited"};
    json_t *tasks = json_array();
    for (int i = 0; i < worker->n_tasks; i++) {
        const struct sim_task *task = &worker->tasks[i];
        char name[80];
        snprintf(name, sizeof name, "%s/%u", task->job, task->index);
        json_t *value = json_pack("{s:s,s:I,s:s}", "lift", name, "pull", (json_int_t)task->attempt,
                                  "tension", words[task->state]);
        if (task->exit_reason)
            json_object_set_new(value, "slack_reason", json_string(task->exit_reason));
        if (task->checkpointed)
            json_object_set_new(value, "stored", json_true());
        json_array_append_new(tasks, value);
    }
    worker->sequence_number++;
    json_t *notice =
        worker->reclaimed_at > 0 ? json_real(fmax(0, worker->reclaimed_at - now)) : json_null();
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o}", "sheave", worker->name, "address",
                     sim_worker_address(sim, worker), "frame", sim_types[worker->type].name, "yard",
                     sim_zones[worker->zone], "loaners", worker->spot, "stint",
                     (json_int_t)worker->incarnation, "tick", (json_int_t)worker->sequence_number,
                     "warrant", (json_int_t)worker->fencing_token, "recall_s", notice, "lifts",
                     tasks);
}

/* A direct command or question, when it arrives. 0: nobody is there to answer. */
int sim_worker_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out) {
    struct sim_worker *worker = NULL;
    int status = 200;
    for (int i = 0; i < sim->size.workers; i++)
        if (sim->workers[i].used && strcmp(sim->workers[i].name, event->addr) == 0)
            worker = &sim->workers[i];
    if (!worker || !worker->alive || !worker->up || sim->now < worker->one_way_partition_until)
        return 0;
    sim->n_direct_to_unreachable += sim->now < worker->unreachable_until;
    if (strcmp(event->target, RP_PATH_DIRECT) == 0) {
        sim->n_direct++;
        if ((uint64_t)json_integer_value(json_object_get(body, "stint")) != worker->incarnation ||
            !accept_token(worker, body))
            status = 409;
        else
            worker_commands(sim, worker, body);
    }
    *out = heartbeat_body(sim, worker);
    return status;
}

/* The machine hangs, or its zone is cut off: what is on its way to it waits. */
bool sim_worker_is_paused(const struct sim *sim, const struct sim_event *event) {
    for (int i = 0; i < sim->size.workers; i++)
        if (sim->workers[i].used && strcmp(sim->workers[i].name, event->addr) == 0)
            return sim->now < sim->workers[i].paused_until ||
                   sim->partitioned_zone == sim->workers[i].zone + 1;
    return false;
}

/* Of a broken world: an old report passes for one of the next session. */
static void make_duplicate_look_new(struct sim_event *copy) {
    json_t *value = json_loads(copy->body, 0, NULL);
    json_object_set_new(value, "stint",
                        json_integer(json_integer_value(json_object_get(value, "stint")) + 1));
    json_object_set_new(value, "lifts", json_array());
    free(copy->body);
    copy->body = json_dumps(value, JSON_COMPACT);
    json_decref(value);
}

static void send_heartbeat(struct sim *sim, int index) {
    struct sim_worker *worker = &sim->workers[index];
    if (sim->now < worker->unreachable_until) {
        worker->node = (worker->node + 1) % sim->n_nodes; /* no connection can be made */
        worker->next_heartbeat_at = sim->now + 1;
        worker->changed = false;
        return;
    }
    struct sim_event *event = sim_event_new(sim, EV_HEARTBEAT, sim_network_delay(sim));
    json_t *report = heartbeat_body(sim, worker);
    event->body = json_dumps(report, JSON_COMPACT);
    json_decref(report);
    event->index = index;
    event->node = worker->node;
    event->heartbeat_number = ++worker->heartbeat_number;
    worker->heartbeat_in_flight = true;
    worker->changed = false;
    worker->sent_at = sim->now;
    if (sim->delayed_worker == index + 1 && sim->now < sim->delayed_until)
        event->due_at =
            sim->delayed_until + 0.5 - 0.025 * (sim->delayed_until - sim->now); /* in their order */
    else if (sim_chance(sim, sim->faults.drop))
        event->due_at = sim->now + 1e9;
    else if (sim_chance(sim, sim->faults.delay))
        event->due_at = sim->now + 5 + 60 * sim_uniform(sim);
    bool far = sim_chance(sim, sim->faults.late_duplicate);
    sim_fault_heartbeat(sim, event);
    if (far || sim_chance(sim, sim->faults.duplicate)) {
        struct sim_event *copy = sim_event_new(sim, EV_HEARTBEAT,
                                               far ? 1 + 5 * sim->size.lease_s * sim_uniform(sim)
                                                   : 0.1 + 40 * sim_uniform(sim));
        copy->body = strdup(event->body);
        if (sim->breakage == SIM_DUPLICATES_LOOK_NEW)
            make_duplicate_look_new(copy);
        copy->index = index;
        copy->node = event->node;
        copy->heartbeat_number = 0;
        if (far)
            copy->node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    }
}

void sim_worker_step(struct sim *sim, int index) {
    struct sim_worker *worker = &sim->workers[index];
    if (!worker->used || !worker->alive)
        return;
    if (!worker->up) {
        if (sim->now < worker->boots_at)
            return;
        worker->up = true;
        worker->incarnation = 1;
        worker->renewed_at = sim->now;
        worker->next_heartbeat_at = sim->now;
        worker->node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    }
    if (worker->reclaimed_at > 0 && sim->now > worker->reclaimed_at) {
        worker->used = worker->alive = false;
        return;
    }
    /* The lease ends by the worker's clock whether the machine hangs or not. */
    if (sim->now > worker->renewed_at + sim->size.lease_s) {
        if (sim->breakage != SIM_WORKERS_KEEP_TASKS)
            worker->n_tasks = 0;
        worker->incarnation++;
        worker->renewed_at = sim->now;
    }
    if (sim->now < worker->paused_until)
        return;
    for (int i = 0; i < worker->n_tasks; i++)
        sim_task_step(sim, worker, &worker->tasks[i]);
    if (worker->heartbeat_in_flight && sim->now > worker->sent_at + 4) {
        worker->heartbeat_in_flight = false;
        worker->node = (worker->node + 1) % sim->n_nodes;
        worker->next_heartbeat_at = sim->now + 1;
    }
    if (!worker->heartbeat_in_flight && (sim->now >= worker->next_heartbeat_at ||
                                         (worker->changed && sim->now > worker->sent_at + 0.5)))
        send_heartbeat(sim, index);
}

void sim_worker_on_heartbeat_answer(struct sim *sim, const struct sim_event *event) {
    struct sim_worker *worker = &sim->workers[event->index];
    if (!worker->used || !worker->alive || !worker->heartbeat_in_flight ||
        event->heartbeat_number != worker->heartbeat_number || sim->now > worker->sent_at + 4 ||
        sim->now < worker->paused_until || sim->now < worker->one_way_partition_until)
        return;
    worker->heartbeat_in_flight = false;
    worker->next_heartbeat_at = sim->now + 1;
    json_t *body = json_loads(event->body ? event->body : "{}", 0, NULL);
    if (event->status == 200) {
        worker->next_heartbeat_at =
            worker->sent_at + sim->size.heartbeat_s * (0.75 + 0.5 * sim_uniform(sim));
        if (accept_token(worker, body)) {
            worker->renewed_at = worker->sent_at;
            worker_commands(sim, worker, body);
            sim_check_lease_renewal(sim, worker);
        }
    } else {
        const char *leader = json_string_value(json_object_get(body, "foreman"));
        int node = leader && event->status == 421 ? atoi(leader + strlen("n")) : -1;
        worker->node = node >= 0 && node != worker->node ? node : (worker->node + 1) % sim->n_nodes;
        if (node >= 0)
            worker->next_heartbeat_at = sim->now + 0.2;
    }
    json_decref(body);
}
