#include "scheduler/quota.h"

#include <math.h>
#include <stdlib.h>
#include "base/log.h"
#include "scheduler/room.h"

#define EPS 1e-9
#define STOPS_MOST 64       /* machines freed in one round */
#define GRACE_SLACK 1.2     /* of the time that a task says it needs to save */
#define KEPT_PROGRESS_S 5.0 /* what a task that saves is taken to lose at most */

/* What each team uses beyond its guarantee, without what is being stopped already. */
struct surplus {
    struct rp_resources *of;
};

static bool counts(const struct rp_allocation *a) {
    return a->state != RP_ALLOCATION_EXITED && !a->stop && a->job->team >= 0;
}

static bool surplus_fill(const struct rp_round *r, struct surplus *surplus) {
    surplus->of = calloc(r->settings->n_teams + 1, sizeof *surplus->of);
    if (!surplus->of)
        return false;
    for (size_t i = 0; i < r->settings->n_teams; i++) {
        surplus->of[i].cpus = -r->settings->teams[i].cpus;
        surplus->of[i].gpus = -r->settings->teams[i].gpus;
    }
    for (const struct rp_machine *m = r->cluster->first; m; m = m->next)
        for (size_t i = 0; i < m->n_allocations; i++)
            if (counts(&m->allocations[i]))
                rp_resources_add(&surplus->of[m->allocations[i].job->team],
                                 &m->allocations[i].job->spec.each);
    return true;
}

/* Whether the task belongs to another team that stays at its guarantee without it. */
static bool may_stop(const struct surplus *surplus, const struct rp_allocation *a,
                     const struct rp_job *job) {
    if (!counts(a) || a->job->team == job->team || a->job->spec.kind != RP_ARRAY)
        return false;
    const struct rp_resources *over = &surplus->of[a->job->team], *each = &a->job->spec.each;
    return over->cpus >= each->cpus - EPS && over->gpus >= each->gpus - EPS;
}

/* The machine's room once what is being stopped there has ended. */
static struct rp_resources room_soon(const struct rp_round *r, const struct rp_machine *m) {
    struct rp_resources room = rp_machine_free(r->cluster, m);
    for (size_t i = 0; i < m->n_allocations; i++)
        if (m->allocations[i].state != RP_ALLOCATION_EXITED && m->allocations[i].stop)
            rp_resources_add(&room, &m->allocations[i].job->spec.each);
    return room;
}

static bool usable_for(const struct rp_round *r, const struct rp_machine *m,
                       const struct rp_job *job) {
    return rp_machine_usable(m) && !rp_room_reserved_for(r, m) &&
           rp_cluster_allows(r->cluster, &job->spec, m->type, m->zone, m->spot);
}

/* Tasks of the job that find room where other work is being stopped already. */
static uint32_t coming(const struct rp_round *r, const struct rp_job *job) {
    uint32_t tasks = 0;
    for (const struct rp_machine *m = r->cluster->first; m; m = m->next) {
        struct rp_resources now = rp_machine_free(r->cluster, m), soon = room_soon(r, m);
        if (!usable_for(r, m, job))
            continue;
        for (; rp_resources_fit(&job->spec.each, &soon); tasks++)
            rp_resources_sub(&soon, &job->spec.each);
        for (; tasks > 0 && rp_resources_fit(&job->spec.each, &now); tasks--)
            rp_resources_sub(&now, &job->spec.each);
    }
    return tasks;
}

/* Run time that is lost if one task of the job is given room on the machine; negative: it can't be.
 */
static double stop_cost(const struct rp_round *r, const struct surplus *surplus,
                        const struct rp_machine *m, const struct rp_job *job, struct timespec now) {
    struct rp_resources room = room_soon(r, m);
    double cost = 0;
    if (rp_resources_fit(&job->spec.each, &room))
        return -1; /* it has room already, or will have */
    for (size_t i = 0; i < m->n_allocations && !rp_resources_fit(&job->spec.each, &room); i++) {
        const struct rp_allocation *a = &m->allocations[i];
        if (!may_stop(surplus, a, job))
            continue;
        double ran = rp_ts_zero(a->running) ? 0 : rp_ts_since(now, a->running);
        cost += a->job->spec.checkpoint_s > 0 ? fmin(ran, KEPT_PROGRESS_S) : ran;
        rp_resources_add(&room, &a->job->spec.each);
    }
    return rp_resources_fit(&job->spec.each, &room) ? cost : -1;
}

static void stop_work(struct rp_round *r, struct surplus *surplus, struct rp_machine *m,
                      const struct rp_job *job) {
    struct rp_resources room = room_soon(r, m);
    for (size_t i = m->n_allocations; i-- > 0 && !rp_resources_fit(&job->spec.each, &room);) {
        struct rp_allocation *a = &m->allocations[i];
        const struct rp_job_spec *spec = &a->job->spec;
        if (!may_stop(surplus, a, job))
            continue;
        rp_resources_add(&room, &spec->each);
        surplus->of[a->job->team].cpus -= spec->each.cpus;
        surplus->of[a->job->team].gpus -= spec->each.gpus;
        if (a->state == RP_ALLOCATION_PLANNED) {
            rp_allocation_drop(r->cluster, m, i);
            continue;
        }
        rp_allocation_stop(a, spec->checkpoint_s > 0 ? spec->save_s * GRACE_SLACK + 1 : 0);
        r->n_preempted++;
    }
}

/* Frees the machine where least is lost; false when there is none. */
static bool free_one(struct rp_round *r, struct surplus *surplus, const struct rp_job *job,
                     struct timespec now) {
    struct rp_machine *best = NULL;
    double best_cost = 0;
    for (struct rp_machine *m = r->cluster->first; m; m = m->next) {
        double cost = usable_for(r, m, job) ? stop_cost(r, surplus, m, job, now) : -1;
        if (cost >= 0 && (!best || cost < best_cost)) {
            best = m;
            best_cost = cost;
        }
    }
    if (best)
        stop_work(r, surplus, best, job);
    return best;
}

/* Tasks of the group that the plan has no room for now. */
static uint32_t missing(const struct rp_plan *plan, const struct rp_plan_group *group,
                        size_t index) {
    uint32_t placed = 0;
    for (size_t p = 0; p < plan->n_puts; p++)
        if (plan->puts[p].group == index && plan->puts[p].now)
            placed += plan->puts[p].count;
    return placed < group->n ? group->n - placed : 0;
}

void rp_guarantees_enforce(struct rp_round *r, const struct rp_round_input *x,
                           const struct rp_plan *plan, struct timespec now) {
    struct surplus surplus = {0};
    unsigned stops = 0;
    if (!r->settings->tuning.preemption || !rp_cluster_settled(r->cluster))
        return;
    for (size_t g = 0; g < x->in.n_groups && stops < STOPS_MOST; g++) {
        const struct rp_plan_group *group = &x->groups[g];
        const struct rp_job *job = group->ref;
        if (!group->guaranteed || (group->kind == RP_GANG && job->spec.n_tasks > 1))
            continue;
        uint32_t want = missing(plan, group, g), soon = want > 0 ? coming(r, job) : 0;
        if (want <= soon || (!surplus.of && !surplus_fill(r, &surplus)))
            continue;
        unsigned before = stops;
        for (uint32_t i = soon; i < want && stops < STOPS_MOST; i++) {
            if (!free_one(r, &surplus, job, now))
                break;
            stops++;
        }
        if (stops > before)
            rp_info("job %s is within its team's guarantee: other teams' work is stopped for "
                    "tasks=%u",
                    job->spec.id, stops - before);
    }
    free(surplus.of);
}
