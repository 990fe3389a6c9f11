/* What goes wrong in the simulated world: each trouble alone or with others, seeded (sim_faults) or
 * at times that a test chooses, by setting what it lasts until. */
#include "sim_parts.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEPT_MOST 200 /* copies kept for the next leader */

/* ---- on the way ---- */

static void copy_request(struct sim *s, const struct sim_event *e, double after) {
    struct sim_event *copy = sim_event_new(s, EV_REQUEST, after);
    double due = copy->due;
    *copy = (struct sim_event){.kind = EV_REQUEST, .due = due, .node = e->node, .answered = true};
    strcpy(copy->addr, e->addr);
    strcpy(copy->method, e->method);
    copy->target = strdup(e->target);
    copy->body = e->body ? strdup(e->body) : NULL;
}

/* A transaction that gets no answer: carried out at once, or seconds later and after newer ones. */
void sim_trouble_txn(struct sim *s, struct sim_event *e) {
    bool late = sim_chance(s, s->faults.late_write);
    bool lost = !late && sim_chance(s, s->faults.lost_answer);
    if (!late && !lost)
        return;
    copy_request(s, e, late ? 2 + 10 * sim_uniform(s) : e->due - s->now);
    e->unsent = true;
    e->due = e->deadline;
    s->n_late_writes += late;
    s->n_lost_answers += lost;
}

/* A copy that is kept, and comes to every node just as the next leader begins. */
void sim_trouble_report(struct sim *s, const struct sim_event *e) {
    if (!sim_chance(s, s->faults.kept) || s->n_kept == KEPT_MOST)
        return;
    struct sim_event *copy = sim_event_new(s, EV_REPORT, 1e9);
    copy->body = strdup(e->body);
    copy->worker = e->worker;
    copy->for_next = true;
    s->n_kept++;
}

static void deliver_kept(struct sim *s) {
    int leader = sim_leader(s);
    uint64_t token =
        leader >= 0 && s->nodes[leader].node ? s->nodes[leader].node->election.token : 0;
    if (!token || token == s->last_token)
        return;
    s->last_token = token;
    s->n_leaders++;
    for (int i = 0; i < s->n_events; i++)
        if (s->events[i]->for_next) {
            s->events[i]->due = s->now + 0.5 * sim_uniform(s);
            s->n_kept_delivered++;
        }
}

/* ---- users ---- */

/* Right after a job was accepted, ended or cancelled, its user asks all nodes, again and again
 * within milliseconds, and submits it once more. */
void sim_look_closely(struct sim *s, int job) {
    if (!s->close_looks)
        return;
    for (int k = 0; k < 3 * s->n_nodes; k++) {
        struct sim_event *e = sim_event_new(s, EV_LOOK, 0.05 * sim_uniform(s));
        e->node = k % s->n_nodes;
        e->worker = job;
        e->user_op = k < s->n_nodes ? USER_SUBMITS : USER_POLLS;
        s->n_looks++;
    }
}

/* A submission that is like a sound one but for what makes it odd. */
static char *odd_submission(struct sim *s, int kind) {
    static const char *const fields[] = {"rig",     "crew",        "haul",    "precedence",
                                         "lifts",   "vcpus",       "cards",   "memory_gb",
                                         "payload", "image_gb",    "spread",  "one_zone",
                                         "loaners", "run_guess_s", "brace_s", "brace_every_s"};
    char id[32];
    snprintf(id, sizeof id, "j-%06d", 900000 + (int)(s->n_odd % 90000));
    json_t *v = json_loads(s->jobs[0].body, 0, NULL);
    json_object_set_new(v, "ref", json_string(id));
    if (kind == 0)
        json_object_del(v, fields[gsl_rng_uniform_int(s->rng, sizeof fields / sizeof fields[0])]);
    else if (kind == 1)
        json_object_set_new(v, "crew", json_string("nobody's"));
    else if (kind == 2)
        json_object_set_new(v, "vcpus", json_real(33));
    else if (kind == 3)
        json_object_set_new(v, "frames", json_pack("[s]", "a-type-of-no-machine"));
    else
        json_object_set_new(v, "yard", json_string("a-zone-of-no-machine"));
    char *text = json_dumps(v, JSON_COMPACT);
    json_decref(v);
    return text;
}

static void odd_request(struct sim *s) {
    int node = (int)gsl_rng_uniform_int(s->rng, (unsigned long)s->n_nodes);
    int kind = (int)gsl_rng_uniform_int(s->rng, 7);
    s->n_odd++;
    if (kind == 5) {
        sim_ask(s, node, "GET", "/v1/jobs/j-899999", "", EV_ODD, 404, USER_POLLS);
    } else if (kind == 6) {
        sim_ask(s, node, "POST", "/v1/jobs", "[\"j-000001\"]", EV_ODD, 400, USER_SUBMITS);
    } else {
        char *body = odd_submission(s, kind);
        sim_ask(s, node, "POST", "/v1/jobs", body, EV_ODD, kind == 0 ? 400 : 422, USER_SUBMITS);
        free(body);
    }
}

/* Users call off that many jobs that run, all within a fifth of a second; up to eight of their
 * machines hang at the same time. */
void sim_cancel_now(struct sim *s, int count, double hang_s) {
    int hung = 0;
    for (int i = 0; i < s->size.workers; i++) {
        struct sim_worker *w = &s->workers[i];
        for (int k = 0; w->used && w->alive && k < w->n_tasks; k++) {
            struct sim_job *job = &s->jobs[w->tasks[k].job_index];
            if (w->tasks[k].state != RP_TASK_RUNNING || job->told_done ||
                (!job->cancel_asked && count <= 0))
                continue;
            if (!job->cancel_asked) {
                count--;
                job->cancel_at = s->now + 0.2 * sim_uniform(s);
                job->cancel_asked = true;
            }
            if (hang_s > 0 && hung < 8 && s->now >= w->hung_until) {
                w->hung_until = s->now + hang_s;
                hung++;
            }
        }
    }
}

/* ---- steps ---- */

static bool every(struct sim *s, double mean) {
    return mean > 0 && sim_chance(s, SIM_STEP_S / mean);
}

static void seeded_troubles(struct sim *s) {
    const struct sim_faults *f = &s->faults;
    int node = (int)gsl_rng_uniform_int(s->rng, (unsigned long)s->n_nodes);
    struct sim_worker *w = &s->workers[gsl_rng_uniform_int(s->rng, (unsigned long)s->size.workers)];
    if (every(s, f->crash_s))
        sim_crash(s, node, sim_chance(s, 0.3) ? 0.1 : 3);
    if (every(s, f->crash_s * 4))
        for (int i = 0; i < s->n_nodes; i++)
            sim_crash(s, i, 0.1 + 4 * sim_uniform(s));
    if (every(s, f->outage_s))
        s->outage_until = s->now + 1 + 19 * sim_uniform(s);
    if (every(s, f->refused_s))
        s->nodes[node].refused_until = s->now + 1 + 20 * sim_uniform(s);
    if (every(s, f->alone_s))
        s->nodes[node].alone_until = s->now + 3 + 25 * sim_uniform(s);
    if (every(s, f->deaf_s / 8))
        w->deaf_until = s->now + 3 + 50 * sim_uniform(s);
    if (every(s, f->blink_s))
        sim_crash(s, node, 0.05 + 0.45 * sim_uniform(s));
    if (every(s, f->blink_s / 4) && w->used && w->up) {
        w->n_tasks = 0; /* the machine was off for a moment: a new session, nothing on it */
        w->session++;
        w->answered_sent = s->now;
        w->in_flight = false;
        w->flight++;
        w->next = s->now + 0.05 + 0.45 * sim_uniform(s);
    }
    if (every(s, f->stall_s))
        s->nodes[node].stalled_until = s->now + 12 * sim_uniform(s);
    if (every(s, f->hang_s / 8))
        w->hung_until = s->now + 40 * sim_uniform(s);
    if (every(s, f->take_s / 8) && w->used && w->spot && w->taken_at <= 0) {
        w->taken_at = s->now + (sim_chance(s, 0.3) ? 0.01 : 5 + 10 * sim_uniform(s));
        w->changed = true;
    }
    if (every(s, f->death_s / 8) && w->used)
        w->alive = false;
    if (every(s, f->mute_s / 8))
        w->mute_until = s->now + 3 + 50 * sim_uniform(s);
    if (every(s, f->apart_s))
        s->apart_until = s->now + 2 + 20 * sim_uniform(s);
    if (every(s, f->odd_s))
        odd_request(s);
}

void sim_trouble_step(struct sim *s) {
    seeded_troubles(s);
    deliver_kept(s);
}

void sim_calm(struct sim *s) {
    s->faults = (struct sim_faults){0};
    s->calm_since = s->now;
    s->outage_until = 0;
    for (int i = 0; i < s->n_nodes; i++)
        s->nodes[i].refused_until = s->nodes[i].alone_until = 0;
    for (int i = 0; i < s->size.workers; i++)
        s->workers[i].deaf_until = s->workers[i].mute_until = 0;
    s->apart_until = 0;
    s->cut_zone = s->cut_node = s->cut_from_workers = 0;
}
