/* What goes wrong in the simulated world: each trouble alone or with others, seeded (sim_faults) or
 * at times that a test chooses, by setting what it lasts until. */
#include "sim_parts.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEPT_MOST 200 /* copies kept for the next leader */

/* ---- on the way ---- */

static void copy_request(struct sim *sim, const struct sim_event *event, double after) {
    struct sim_event *copy = sim_event_new(sim, EV_REQUEST, after);
    double due = copy->due;
    *copy =
        (struct sim_event){.kind = EV_REQUEST, .due = due, .node = event->node, .answered = true};
    strcpy(copy->addr, event->addr);
    strcpy(copy->method, event->method);
    copy->target = strdup(event->target);
    copy->body = event->body ? strdup(event->body) : NULL;
}

/* A transaction that gets no answer: carried out at once, or seconds later and after newer ones. */
void sim_trouble_txn(struct sim *sim, struct sim_event *event) {
    bool late = sim_chance(sim, sim->faults.late_write);
    bool lost = !late && sim_chance(sim, sim->faults.lost_answer);
    if (!late && !lost)
        return;
    copy_request(sim, event, late ? 2 + 10 * sim_uniform(sim) : event->due - sim->now);
    event->unsent = true;
    event->due = event->deadline;
    sim->n_late_writes += late;
    sim->n_lost_answers += lost;
}

/* A copy that is kept, and comes to every node just as the next leader begins. */
void sim_trouble_report(struct sim *sim, const struct sim_event *event) {
    if (!sim_chance(sim, sim->faults.kept) || sim->n_kept == KEPT_MOST)
        return;
    struct sim_event *copy = sim_event_new(sim, EV_REPORT, 1e9);
    copy->body = strdup(event->body);
    copy->worker = event->worker;
    copy->for_next = true;
    sim->n_kept++;
}

static void deliver_kept(struct sim *sim) {
    int leader = sim_leader(sim);
    uint64_t token = leader >= 0 && sim->nodes[leader].node
                         ? sim->nodes[leader].node->election.fencing_token
                         : 0;
    if (!token || token == sim->last_token)
        return;
    sim->last_token = token;
    sim->n_leaders++;
    for (int i = 0; i < sim->n_events; i++)
        if (sim->events[i]->for_next) {
            sim->events[i]->due = sim->now + 0.5 * sim_uniform(sim);
            sim->n_kept_delivered++;
        }
}

/* ---- users ---- */

/* Right after a job was accepted, ended or cancelled, its user asks all nodes, again and again
 * within milliseconds, and submits it once more. */
void sim_look_closely(struct sim *sim, int job) {
    if (!sim->close_looks)
        return;
    for (int k = 0; k < 3 * sim->n_nodes; k++) {
        struct sim_event *event = sim_event_new(sim, EV_LOOK, 0.05 * sim_uniform(sim));
        event->node = k % sim->n_nodes;
        event->worker = job;
        event->user_op = k < sim->n_nodes ? USER_SUBMITS : USER_POLLS;
        sim->n_looks++;
    }
}

/* A submission that is like a sound one but for what makes it odd. */
static char *odd_submission(struct sim *sim, int kind) {
    static const char *const fields[] = {"rig",     "crew",        "haul",    "precedence",
                                         "lifts",   "vcpus",       "cards",   "memory_gb",
                                         "payload", "image_gb",    "spread",  "one_zone",
                                         "loaners", "run_guess_s", "brace_s", "brace_every_s"};
    char id[32];
    snprintf(id, sizeof id, "j-%06d", 900000 + (int)(sim->n_odd % 90000));
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

static void odd_request(struct sim *sim) {
    int node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    int kind = (int)gsl_rng_uniform_int(sim->rng, 7);
    sim->n_odd++;
    if (kind == 5) {
        sim_ask(sim, node, "GET", "/v1/jobs/j-899999", "", EV_ODD, 404, USER_POLLS);
    } else if (kind == 6) {
        sim_ask(sim, node, "POST", "/v1/jobs", "[\"j-000001\"]", EV_ODD, 400, USER_SUBMITS);
    } else {
        char *body = odd_submission(sim, kind);
        sim_ask(sim, node, "POST", "/v1/jobs", body, EV_ODD, kind == 0 ? 400 : 422, USER_SUBMITS);
        free(body);
    }
}

/* Users call off that many jobs that run, all within a fifth of a second; up to eight of their
 * machines hang at the same time. */
void sim_cancel_now(struct sim *sim, int count, double hang_s) {
    int hung = 0;
    for (int i = 0; i < sim->size.workers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; worker->used && worker->alive && k < worker->n_tasks; k++) {
            struct sim_job *job = &sim->jobs[worker->tasks[k].job_index];
            if (worker->tasks[k].state != RP_TASK_RUNNING || job->told_done ||
                (!job->cancel_asked && count <= 0))
                continue;
            if (!job->cancel_asked) {
                count--;
                job->cancel_at = sim->now + 0.2 * sim_uniform(sim);
                job->cancel_asked = true;
            }
            if (hang_s > 0 && hung < 8 && sim->now >= worker->hung_until) {
                worker->hung_until = sim->now + hang_s;
                hung++;
            }
        }
    }
}

/* ---- steps ---- */

static bool every(struct sim *sim, double mean) {
    return mean > 0 && sim_chance(sim, SIM_STEP_S / mean);
}

static void seeded_troubles(struct sim *sim) {
    const struct sim_faults *faults = &sim->faults;
    int node = (int)gsl_rng_uniform_int(sim->rng, (unsigned long)sim->n_nodes);
    struct sim_worker *worker =
        &sim->workers[gsl_rng_uniform_int(sim->rng, (unsigned long)sim->size.workers)];
    if (every(sim, faults->crash_s))
        sim_crash(sim, node, sim_chance(sim, 0.3) ? 0.1 : 3);
    if (every(sim, faults->crash_s * 4))
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, 0.1 + 4 * sim_uniform(sim));
    if (every(sim, faults->outage_s))
        sim->outage_until = sim->now + 1 + 19 * sim_uniform(sim);
    if (every(sim, faults->refused_s))
        sim->nodes[node].refused_until = sim->now + 1 + 20 * sim_uniform(sim);
    if (every(sim, faults->alone_s))
        sim->nodes[node].alone_until = sim->now + 3 + 25 * sim_uniform(sim);
    if (every(sim, faults->deaf_s / 8))
        worker->deaf_until = sim->now + 3 + 50 * sim_uniform(sim);
    if (every(sim, faults->blink_s))
        sim_crash(sim, node, 0.05 + 0.45 * sim_uniform(sim));
    if (every(sim, faults->blink_s / 4) && worker->used && worker->up) {
        worker->n_tasks = 0; /* the machine was off for a moment: a new session, nothing on it */
        worker->session++;
        worker->answered_sent = sim->now;
        worker->in_flight = false;
        worker->flight++;
        worker->next = sim->now + 0.05 + 0.45 * sim_uniform(sim);
    }
    if (every(sim, faults->stall_s))
        sim->nodes[node].stalled_until = sim->now + 12 * sim_uniform(sim);
    if (every(sim, faults->hang_s / 8))
        worker->hung_until = sim->now + 40 * sim_uniform(sim);
    if (every(sim, faults->take_s / 8) && worker->used && worker->spot && worker->taken_at <= 0) {
        worker->taken_at = sim->now + (sim_chance(sim, 0.3) ? 0.01 : 5 + 10 * sim_uniform(sim));
        worker->changed = true;
    }
    if (every(sim, faults->death_s / 8) && worker->used)
        worker->alive = false;
    if (every(sim, faults->mute_s / 8))
        worker->mute_until = sim->now + 3 + 50 * sim_uniform(sim);
    if (every(sim, faults->apart_s))
        sim->apart_until = sim->now + 2 + 20 * sim_uniform(sim);
    if (every(sim, faults->odd_s))
        odd_request(sim);
}

void sim_trouble_step(struct sim *sim) {
    seeded_troubles(sim);
    deliver_kept(sim);
}

void sim_calm(struct sim *sim) {
    sim->faults = (struct sim_faults){0};
    sim->calm_since = sim->now;
    sim->outage_until = 0;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->nodes[i].refused_until = sim->nodes[i].alone_until = 0;
    for (int i = 0; i < sim->size.workers; i++)
        sim->workers[i].deaf_until = sim->workers[i].mute_until = 0;
    sim->apart_until = 0;
    sim->cut_zone = sim->cut_node = sim->cut_from_workers = 0;
}
