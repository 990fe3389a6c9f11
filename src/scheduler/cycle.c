#include "scheduler/cycle.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "scheduler/quota.h"
#include "base/log.h"
#include "scheduler/room.h"
#include "scheduler/cycle_input.h"

static void tick(void *arg);

void rp_round_init(struct rp_round *r, struct rp_loop *loop, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs, struct rp_fleet *fleet,
                   struct rp_services *services, const struct rp_settings *settings,
                   struct rp_metrics *metrics) {
    memset(r, 0, sizeof *r);
    r->services = services;
    r->metrics = metrics;
    r->loop = loop;
    r->election = election;
    r->cluster = cluster;
    r->jobs = jobs;
    r->fleet = fleet;
    r->settings = settings;
    r->timer = (struct rp_timer){.fn = tick, .arg = r};
    for (size_t i = 0; i < settings->tuning.n_heuristics; i++)
        if (rp_heuristic_named(settings->tuning.heuristics[i], &r->heuristics[r->n_heuristics]))
            r->n_heuristics++;
}

void rp_round_start(struct rp_round *r) {
    r->active = true;
    rp_timer_set(r->loop, &r->timer, 0.2);
}

void rp_round_stop(struct rp_round *r) {
    r->active = false;
    rp_timer_cancel(r->loop, &r->timer);
}

static void tick(void *arg) {
    struct rp_round *r = arg;
    rp_timer_set(r->loop, &r->timer, r->settings->tuning.round_period_s);
    rp_round_run(r);
}

/* ---- applying the winner ---- */

static bool next_task(struct rp_job *job, uint32_t *task) {
    for (; job->cursor < job->spec.n_tasks; job->cursor++)
        if (rp_job_allocations(job, job->cursor) == 0 && !rp_job_task_done(job, job->cursor)) {
            *task = job->cursor;
            return true;
        }
    return false;
}

static void start_tasks(struct rp_round *r, struct rp_job *job, struct rp_machine *m,
                        uint32_t count, uint64_t gang_attempt) {
    for (uint32_t i = 0; i < count; i++) {
        uint32_t task;
        if (!next_task(job, &task) || !rp_cluster_may_start(r->cluster, job, task, m))
            return;
        rp_allocation_add(r->cluster, m, job, task,
                          gang_attempt ? gang_attempt : rp_cluster_attempt(r->cluster),
                          RP_ALLOCATION_PLANNED);
    }
}

static void apply_starts(struct rp_round *r, const struct rp_round_input *x,
                         const struct rp_plan *plan) {
    for (size_t i = 0; i < plan->n_puts;) {
        const struct rp_plan_group *g = &x->groups[plan->puts[i].group];
        size_t end = i;
        bool all_now = true;
        while (end < plan->n_puts && plan->puts[end].group == plan->puts[i].group)
            all_now &= plan->puts[end++].now;
        /* A gang starts once the plan places all its tasks on machines that are up. */
        bool gang = g->kind == RP_GANG;
        uint64_t attempt = gang && all_now ? rp_cluster_attempt(r->cluster) : 0;
        for (; i < end; i++) {
            const struct rp_plan_put *put = &plan->puts[i];
            if (put->now && (!gang || all_now))
                start_tasks(r, g->ref, x->machines[put->machine].ref, put->count, attempt);
        }
    }
}

static void apply_rentals(struct rp_round *r, const struct rp_round_input *x,
                          const struct rp_plan *plan) {
    for (size_t k = 0; k < x->in.n_kinds; k++) {
        const struct rp_plan_kind *kind = &x->kinds[k];
        unsigned n = 0;
        for (size_t i = 0; i < plan->n_fresh; i++)
            n += plan->fresh[i] == k;
        if (n > 0)
            rp_fleet_rent(r->fleet, kind->type, kind->zone, kind->spot, n);
    }
}

/* Whether services could go to the machine. */
static bool ready_room(const struct rp_round *r, const struct rp_machine *m) {
    return !m->spot && rp_round_catalog(r)->types[m->type].capacity.gpus <= 0;
}

/* Services come at any moment and are to run within seconds, while a machine takes half a minute
 * and more to boot: where room for what comes in that time isn't there, free or held by work that
 * can be stopped at once, one machine more is rented, of the kind with most capacity per price. */
static void hold_ready(struct rp_round *r, const struct rp_round_input *x,
                       const struct rp_plan *plan) {
    const struct rp_plan_kind *best = NULL;
    if (plan->n_fresh > 0 ||
        rp_services_ready_cpus(r->services) >= rp_services_reserve_cpus(r->services))
        return;
    for (size_t k = 0; k < x->in.n_kinds; k++) {
        const struct rp_plan_kind *kind = &x->kinds[k];
        if (kind->spot || kind->capacity.gpus > 0)
            continue;
        if (rp_fleet_pending(r->fleet, kind->type, kind->zone, kind->spot) > 0)
            return;
        if (!kind->refused && kind->price > 0 &&
            (!best || kind->capacity.cpus / kind->price > best->capacity.cpus / best->price))
            best = kind;
    }
    if (best)
        rp_fleet_rent(r->fleet, best->type, best->zone, false, 1);
}

static void apply_returns(struct rp_round *r, const struct rp_round_input *x,
                          const struct rp_plan *plan, struct timespec now) {
    const struct rp_tuning *t = &r->settings->tuning;
    double reserve = rp_services_reserve_cpus(r->services);
    /* Summed up once: for each idle machine anew, thousands of them cost a round seconds. */
    double ready = rp_services_ready_cpus(r->services);
    bool *wanted = calloc(x->in.n_machines + 1, sizeof *wanted);
    if (!wanted)
        return;
    for (size_t p = 0; p < plan->n_puts; p++)
        if (plan->puts[p].machine < x->in.n_machines)
            wanted[plan->puts[p].machine] = true;
    for (size_t i = 0; i < x->in.n_machines; i++) {
        struct rp_machine *m = x->machines[i].ref;
        /* What is kept for a gang stands idle until the last of its machines is free, and no plan
         * puts anything there: given back at its unit's end, it was rented again at once, for
         * minutes on end, and the gang never had all of them together. */
        if (!m || wanted[i] || !rp_machine_idle(m) || m->state != RP_MACHINE_UP ||
            rp_room_reserved_for(r, m))
            continue;
        double age = rp_ts_since(now, m->rented);
        double into = fmod(age, t->billing_unit_s);
        double part = rp_services_ready_cpus_of(r->services, m);
        /* The first minute is paid for in any case (PROTOCOL, price). */
        if (age >= RP_MIN_CHARGE_S - t->return_margin_s &&
            into >= t->billing_unit_s - t->return_margin_s &&
            !(ready_room(r, m) && ready - part < reserve - RP_READY_SLACK_CPUS)) {
            rp_fleet_return(r->fleet, m, "idle near its unit's end");
            ready -= part;
        }
    }
    free(wanted);
}

static double main_of(const struct rp_resources *c) {
    return c->gpus > 0 ? c->gpus : c->cpus;
}

/* For the log: where the capacity of each type goes. */
static void log_use(const struct rp_round *r) {
    const struct rp_catalog *c = rp_round_catalog(r);
    for (size_t t = 0; t < c->n_types; t++) {
        double total = 0, by[RP_TASK_EXITED + 1] = {0};
        unsigned up = 0, booting = 0, idle = 0;
        for (const struct rp_machine *m = r->cluster->first; m; m = m->next) {
            if (m->type != (int)t)
                continue;
            up += m->state == RP_MACHINE_UP;
            booting += m->state == RP_MACHINE_BOOTING;
            idle += m->state == RP_MACHINE_UP && m->n_allocations == 0;
            total += m->state == RP_MACHINE_UP ? main_of(&c->types[t].capacity) : 0;
            for (size_t i = 0; i < m->n_allocations; i++)
                if (m->allocations[i].state != RP_ALLOCATION_EXITED)
                    by[m->allocations[i].task_state] += c->types[t].capacity.gpus > 0
                                                            ? m->allocations[i].job->spec.each.gpus
                                                            : m->allocations[i].job->spec.each.cpus;
        }
        rp_debug("use %s: up=%u idle=%u booting=%u capacity=%.0f fetching=%.1f waiting=%.1f "
                 "running=%.1f "
                 "saving=%.1f",
                 c->types[t].name, up, idle, booting, total, by[RP_TASK_FETCHING],
                 by[RP_TASK_WAITING], by[RP_TASK_RUNNING], by[RP_TASK_SAVING]);
    }
}

void rp_round_run(struct rp_round *r) {
    struct timespec now = rp_loop_now(r->loop);
    struct rp_round_input x;
    struct rp_plan plan = {0};
    if (!r->active || !rp_election_valid(r->election, now) || !rp_jobs_may_start(r->jobs))
        return;
    r->last = now;
    r->n_rounds++;
    rp_services_run(r->services);
    rp_room_mend_gangs(r, now);
    if (!rp_round_input_build(r, &x, now))
        goto out;
    size_t winner = rp_plan_best(&x.in, r->heuristics, r->n_heuristics, &plan);
    if (plan.failed)
        goto out;
    r->wins[winner]++;
    r->n_looks += plan.n_looks;
    memcpy(r->short_of_room, plan.short_of_room, sizeof r->short_of_room);
    rp_debug("round %lu: jobs=%zu machines=%zu now=%u wait=%u new=%zu left=%.0f cost=%.3f by %s",
             r->n_rounds, x.in.n_groups, x.in.n_machines, plan.n_now, plan.n_wait, plan.n_fresh,
             plan.left, plan.cost, r->settings->tuning.heuristics[winner]);
    if (rp_log_current() >= RP_LOG_DEBUG && r->n_rounds % 10 == 0)
        log_use(r);
    rp_room_prefer_holders(r, &x, &plan, now);
    apply_starts(r, &x, &plan);
    rp_services_send(r->services);
    /* While machines from before the takeover are unknown, what they run is, too: renting for
     * tasks that may be running already would be waste. */
    if (rp_cluster_settled(r->cluster)) {
        apply_rentals(r, &x, &plan);
        hold_ready(r, &x, &plan);
        rp_guarantees_enforce(r, &x, &plan, now);
        rp_room_preempt(r, &x, &plan, now);
        rp_room_gather(r, &x, &plan, now);
        rp_room_drain_machines(r, &x, now);
    }
    apply_returns(r, &x, &plan, now);
    r->took_s = rp_ts_since(rp_loop_now(r->loop), now);
    rp_metrics_add(r->metrics, RP_METRIC_ROUND, r->took_s);
out:
    rp_plan_free(&plan);
    rp_round_input_free(&x);
}
