#include "scheduler/room.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "scheduler/reservation.h"

#define START_COUNTS_S 31 /* a start that is stopped sooner counts for no aim (PROTOCOL) */
#define MOVE_S 10         /* stopping a task here and starting it there */
#define HOLDER_WORTH_S 15 /* a fetch this long is worth freeing a machine with the image */
#define DRAINING_OF 40    /* one machine, and one more of so many, may be draining at a time */
#define GATHER_MAX_S 60   /* a machine that isn't free by then isn't kept for a gang */
#define ONES_OF 8         /* of so many machines one may be kept for a gang of one task */
#define GATHER_ONE_S 45   /* a gang of one task has waited for so long before one is kept for it */
#define GATHER_SLACK_S 6  /* run times are estimates */
#define MEND_WAITS 8      /* gang_wait_s after which a gang that hasn't begun is started anew */
#define SOON_S 8          /* room that comes by itself this soon is waited for */
#define MOVE_AGAIN_S 60   /* a replica that came so recently isn't moved again */
#define MOVE_PART 0.25    /* of a machine that its replicas may hold at most for them to be moved */
#define MOVE_EVERY_S 20   /* such machines are drained one after the other */
#define STAYS_S 300       /* how much longer a replica is expected to be wanted */

/* ---- gangs that lost a task ---- */

/* What is known of a gang's attempt. */
struct attempt {
    uint64_t number;
    bool begun;            /* some task runs, saves or is being stopped */
    struct timespec since; /* when its first allocation was planned */
};

static struct attempt attempt_of(const struct rp_scheduler *scheduler, const struct rp_job *job) {
    struct attempt a = {0};
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++) {
            const struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->job != job || allocation->state == RP_ALLOCATION_EXITED)
                continue;
            /* Of two attempts at once the older one is ending: nothing can join it. */
            a.begun |= allocation->stop_requested ||
                       (a.number && allocation->attempt != a.number) ||
                       (allocation->task_state != RP_TASK_FETCHING &&
                        allocation->task_state != RP_TASK_WAITING);
            if (!a.number || rp_ts_cmp(allocation->planned_at, a.since) < 0)
                a.since = allocation->planned_at;
            a.number = allocation->attempt;
        }
    return a;
}

/* Where the task of this attempt has just exited: until its removal is confirmed, starting the same
 * attempt there again would do nothing. */
static struct rp_machine *left_on(const struct rp_scheduler *scheduler, const struct rp_job *job,
                                  uint32_t task, uint64_t attempt) {
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (machine->allocations[i].job == job && machine->allocations[i].task == task &&
                machine->allocations[i].attempt == attempt)
                return machine;
    return NULL;
}

/* Returns false when no machine can take the task now. */
static bool replace_task(struct rp_scheduler *scheduler, struct rp_job *job, uint32_t task,
                         uint64_t attempt) {
    struct rp_machine *last = left_on(scheduler, job, task, attempt), *best = NULL;
    if (last) {
        /* It holds the image by now: it is kept for the task. */
        rp_reservation_make(scheduler, last, job, 0);
        return false;
    }
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        const struct rp_job *kept = rp_reservation_job(scheduler, machine);
        if ((kept && kept != job) || !rp_cluster_may_start(scheduler->cluster, job, task, machine))
            continue;
        bool has = rp_machine_has_image(machine, job->image_hash);
        if (!best || (has && !rp_machine_has_image(best, job->image_hash)))
            best = machine;
        if (kept == job)
            best = machine;
        if (kept == job || has)
            break;
    }
    if (best)
        rp_allocation_add(scheduler->cluster, best, job, task, attempt, RP_ALLOCATION_PLANNED);
    return best;
}

/* A gang whose tasks still fetch their image or wait for one another is completed by a new start
 * with the same attempt number. So a task that waits on a machine with the image may exit as alone
 * after gang_wait_s, while another fetches for longer: stopping all of them, as for a gang that
 * runs, gave the fetches up, and a gang with a large image never began. */
static void mend_gang(struct rp_scheduler *scheduler, struct rp_job *job, struct timespec now) {
    struct attempt a = attempt_of(scheduler, job);
    double patience = scheduler->settings->gang_wait_s * MEND_WAITS;
    bool missing = false;
    if (job->gang_attempt != a.number) {
        /* Not the oldest allocation's time: each that exits as alone is followed by a new one. */
        job->gang_attempt = a.number;
        job->gang_incomplete_since = a.since;
    }
    if (a.begun || rp_ts_since(now, job->gang_incomplete_since) > patience) {
        rp_cluster_stop_job(scheduler->cluster, job, 0);
        return;
    }
    for (uint32_t task = 0; task < job->spec.n_tasks; task++)
        if (rp_job_n_task_allocations(job, task) == 0)
            missing |= !replace_task(scheduler, job, task, a.number);
    if (!missing)
        job->machine_missing_since = (struct timespec){0};
    else if (rp_ts_zero(job->machine_missing_since))
        job->machine_missing_since = now;
    else if (rp_ts_since(now, job->machine_missing_since) > scheduler->settings->gang_wait_s)
        /* Machines are rented only for what a plan places, and a gang that holds some is in none:
         * with no other work about it waited for ever. Stopped, it is planned anew as a whole. */
        rp_cluster_stop_job(scheduler->cluster, job, 0);
}

/* After a takeover a gang's tasks are heard of one by one: those not heard of yet are no reason to
 * stop the others (every takeover stopped every gang of several tasks). */
void rp_room_mend_gangs(struct rp_scheduler *scheduler, struct timespec now) {
    for (struct rp_job *job = scheduler->jobs->table.first; job; job = job->next)
        if (job->spec.kind != RP_JOB_GANG || job->state != RP_JOB_OPEN)
            continue;
        else if (job->n_allocated == 0 || job->n_allocated == job->spec.n_tasks)
            job->machine_missing_since = (struct timespec){0};
        else if (rp_cluster_is_job_reconciled(scheduler->cluster, job))
            mend_gang(scheduler, job, now);
}

/* ---- room for higher priorities ---- */

static bool may_stop(const struct rp_allocation *allocation, enum rp_priority above) {
    return allocation->state != RP_ALLOCATION_EXITED &&
           allocation->job->spec.kind == RP_JOB_ARRAY && allocation->job->spec.priority < above;
}

/* Work that is lost, and that is kept waiting, if the machine's lower tasks are stopped for one
 * task of the job; negative when that wouldn't do. */
static double stop_price(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                         const struct rp_job *job, struct timespec now) {
    struct rp_resources room = rp_machine_free_resources(scheduler->cluster, machine);
    double price = 1;
    for (size_t i = 0; i < machine->n_allocations && !rp_resources_fit(&job->spec.each, &room);
         i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (!may_stop(allocation, job->spec.priority))
            continue;
        rp_resources_add(&room, &allocation->job->spec.each);
        /* What is being stopped already costs nothing more: so a second look chooses the same
         * machine again, and not one more. */
        if (allocation->stop_requested)
            continue;
        double ran =
            allocation->running_since.tv_sec ? rp_ts_since(now, allocation->running_since) : 0;
        price += allocation->job->spec.checkpoint_s > 0 ? fmin(ran, 5) : ran;
    }
    return rp_resources_fit(&job->spec.each, &room) ? price : -1;
}

static void stop_for(struct rp_scheduler *scheduler, struct rp_machine *machine,
                     const struct rp_job *job) {
    struct rp_resources room = rp_machine_free_resources(scheduler->cluster, machine);
    unsigned stopped = 0;
    double longest = 0;
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].stop_requested &&
            may_stop(&machine->allocations[i], job->spec.priority))
            rp_resources_add(&room, &machine->allocations[i].job->spec.each);
    for (size_t i = machine->n_allocations; i-- > 0 && !rp_resources_fit(&job->spec.each, &room);) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->stop_requested || !may_stop(allocation, job->spec.priority))
            continue;
        rp_resources_add(&room, &allocation->job->spec.each);
        stopped++;
        if (allocation->state == RP_ALLOCATION_PLANNED) {
            rp_allocation_remove(scheduler->cluster, machine, i);
            continue;
        }
        const struct rp_job_spec *spec = &allocation->job->spec;
        double grace = spec->checkpoint_s > 0 ? spec->save_s * 1.2 + 1 : 0;
        rp_allocation_request_stop(allocation, grace);
        longest = fmax(longest, grace);
        scheduler->n_preempted++;
    }
    rp_reservation_make(scheduler, machine, job, longest);
    if (stopped)
        rp_info("job %s gets room on %s: tasks stopped=%u", job->spec.id, machine->name, stopped);
}

/* The machine where room for the job costs least; of those that hold its image, if asked so. */
static struct rp_machine *cheapest_stop(struct rp_scheduler *scheduler, const struct rp_job *job,
                                        bool with_image, struct timespec now) {
    struct rp_machine *best = NULL;
    double best_price = 0;
    for (struct rp_machine *machine = scheduler->cluster->first; machine; machine = machine->next) {
        if (!rp_machine_is_usable(machine) || rp_reservation_job(scheduler, machine) ||
            (with_image && !rp_machine_has_image(machine, job->image_hash)) ||
            !rp_cluster_is_allowed(scheduler->cluster, &job->spec, machine->type, machine->zone,
                                   machine->spot))
            continue;
        double price = stop_price(scheduler, machine, job, now);
        if (price >= 0 && (!best || price < best_price)) {
            best = machine;
            best_price = price;
        }
    }
    return best;
}

static bool may_preempt(const struct rp_job *job) {
    return job->spec.priority >= RP_PRIORITY_HIGH && job->spec.kind == RP_JOB_GANG &&
           job->spec.n_tasks == 1;
}

/* An urgent gang that would have to fetch its image, though another machine holds it and only has
 * to be freed of lower work, has that machine freed: saving that work takes less than the fetch,
 * which a whole machine would stand idle for. */
void rp_room_prefer_holders(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                            struct rp_plan *plan, struct timespec now) {
    if (!scheduler->settings->tuning.preemption || !rp_cluster_is_reconciled(scheduler->cluster))
        return;
    for (size_t i = 0; i < plan->n_placements; i++) {
        struct rp_placement *placement = &plan->placements[i];
        const struct rp_job *job = input->groups[placement->group].ref;
        const struct rp_machine *machine = placement->machine < input->plan_input.n_machines
                                               ? input->machines[placement->machine].ref
                                               : NULL;
        if (!placement->starts_now || !machine || !may_preempt(job) ||
            rp_machine_has_image(machine, job->image_hash))
            continue;
        double rate = rp_scheduler_catalog(scheduler)->types[machine->type].fetch_gb_per_s;
        if (rate <= 0 || job->spec.image_gb / rate < HOLDER_WORTH_S)
            continue;
        struct rp_machine *holder = cheapest_stop(scheduler, job, true, now);
        if (!holder)
            continue;
        stop_for(scheduler, holder, job);
        placement->count = 0;
    }
}

/* Only gangs of one task are given room this way, one machine at a time: what is stopped for a
 * larger gang would stand empty until the last of its machines is free. */
void rp_room_preempt(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                     const struct rp_plan *plan, struct timespec now) {
    if (!scheduler->settings->tuning.preemption || !rp_cluster_is_reconciled(scheduler->cluster))
        return;
    for (size_t g = 0; g < input->plan_input.n_groups; g++) {
        const struct rp_job *job = input->groups[g].ref;
        bool now_placed = false, soon = false;
        if (input->groups[g].has_reservation || !may_preempt(job))
            continue;
        for (size_t p = 0; p < plan->n_placements; p++) {
            const struct rp_placement *placement = &plan->placements[p];
            if (placement->group != g)
                continue;
            now_placed |= placement->starts_now;
            const struct rp_machine *machine = placement->machine < input->plan_input.n_machines
                                                   ? input->machines[placement->machine].ref
                                                   : NULL;
            soon |= machine && machine->state == RP_MACHINE_UP &&
                    input->machines[placement->machine].busy_s < SOON_S;
        }
        struct rp_machine *machine =
            now_placed || soon ? NULL : cheapest_stop(scheduler, job, false, now);
        if (machine)
            stop_for(scheduler, machine, job);
    }
}

/* ---- machines gathered for a gang of several ---- */

/* When a machine could start one of the gang's tasks. */
struct candidate {
    struct rp_machine *machine;
    double start_s; /* with the fetch */
    double free_s;  /* by its work's estimated ends, or once lower work is stopped */
    bool stop;
};

static int by_start(const void *a, const void *b) {
    const struct candidate *left = a, *right = b;
    return left->start_s < right->start_s ? -1 : left->start_s > right->start_s;
}

static bool candidate_for(struct rp_scheduler *scheduler, const struct rp_job *job,
                          const struct rp_plan_machine *machine, struct candidate *c,
                          struct timespec now) {
    *c = (struct candidate){.machine = machine->ref};
    if (!machine->ref || machine->reserved_for || !rp_machine_is_usable(machine->ref) ||
        rp_reservation_job(scheduler, machine->ref) ||
        !rp_cluster_is_allowed(scheduler->cluster, &job->spec, machine->type, machine->zone,
                               machine->spot) ||
        rp_plan_share_of_machine(&job->spec.each, &machine->capacity) <= 0.5)
        return false;
    c->free_s = rp_plan_machine_fits_after_s(machine, &job->spec.each);
    if (c->free_s > SOON_S && job->spec.priority >= RP_PRIORITY_HIGH &&
        scheduler->settings->tuning.preemption &&
        stop_price(scheduler, machine->ref, job, now) >= 0) {
        c->stop = true;
        c->free_s = SOON_S;
    }
    bool has = rp_machine_has_image(machine->ref, job->image_hash);
    c->start_s =
        c->free_s +
        (has || machine->fetch_gb_per_s <= 0 ? 0 : job->spec.image_gb / machine->fetch_gb_per_s);
    return c->free_s < GATHER_MAX_S;
}

/* The machines, of one zone if need be, that could start the gang soonest; false if there aren't
 * enough of them. They are the first of `list`. */
static bool soonest(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                    const struct rp_job *job, struct candidate *list, struct timespec now) {
    size_t n_zones = job->spec.one_zone ? rp_scheduler_catalog(scheduler)->n_zones : 1;
    struct candidate *best = calloc(job->spec.n_tasks, sizeof *best);
    bool found = false;
    for (size_t z = 0; best && z < n_zones; z++) {
        size_t n = 0, want = job->spec.n_tasks;
        for (size_t i = 0; i < input->plan_input.n_machines; i++)
            if (n_zones == 1 || input->machines[i].zone == (int)z)
                n += candidate_for(scheduler, job, &input->machines[i], &list[n], now);
        qsort(list, n, sizeof *list, by_start);
        if (n < want || (found && list[want - 1].start_s >= best[want - 1].start_s))
            continue;
        memcpy(best, list, want * sizeof *best);
        found = true;
    }
    if (found)
        memcpy(list, best, job->spec.n_tasks * sizeof *best);
    free(best);
    return found;
}

static void gather_for(struct rp_scheduler *scheduler, struct rp_job *job,
                       const struct candidate *list) {
    double longest = 0;
    for (uint32_t i = 0; i < job->spec.n_tasks; i++)
        longest = fmax(longest, list[i].free_s);
    for (uint32_t i = 0; i < job->spec.n_tasks; i++) {
        if (list[i].stop)
            stop_for(scheduler, list[i].machine, job);
        rp_reservation_make(scheduler, list[i].machine, job, longest + GATHER_SLACK_S);
    }
    rp_info("job %s: machines=%u are kept for it, free in %.0fs", job->spec.id, job->spec.n_tasks,
            longest);
}

/* Whether the plan has room for all of the gang, either now or on machines still to come up.
 */
static bool gang_served(const struct rp_cycle_input *input, const struct rp_plan *plan,
                        size_t group) {
    bool all_now = true, fresh = false;
    size_t puts = 0;
    for (size_t p = 0; p < plan->n_placements; p++) {
        const struct rp_placement *placement = &plan->placements[p];
        if (placement->group != group)
            continue;
        const struct rp_machine *machine = placement->machine < input->plan_input.n_machines
                                               ? input->machines[placement->machine].ref
                                               : NULL;
        puts++;
        all_now &= placement->starts_now;
        fresh |= !machine || machine->state == RP_MACHINE_BOOTING;
    }
    return puts > 0 && (all_now || fresh);
}

/* A task that takes a whole machine mostly finds one soon. Where it doesn't, on few machines that
 * smaller work of its priority keeps full, it waited for ever (incident f8f1). It needs no more
 * than one machine, so several such gangs can have one kept at the same time. */
static void gather_ones(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                        const struct rp_plan *plan, struct candidate *list, struct timespec now) {
    size_t kept = 0, most = 1 + input->plan_input.n_machines / ONES_OF;
    for (size_t g = 0; g < input->plan_input.n_groups; g++) {
        const struct rp_job *job = input->groups[g].ref;
        kept += rp_reservation_is_exclusive(job) && job->spec.n_tasks == 1 &&
                input->groups[g].has_reservation;
    }
    for (size_t g = 0; g < input->plan_input.n_groups && kept < most; g++) {
        const struct rp_plan_group *group = &input->groups[g];
        struct rp_job *job = group->ref;
        if (!rp_reservation_is_exclusive(job) || job->spec.n_tasks != 1 || group->has_reservation ||
            group->age_s < GATHER_ONE_S || gang_served(input, plan, g) ||
            !rp_cluster_is_job_reconciled(scheduler->cluster, job) ||
            !soonest(scheduler, input, job, list, now))
            continue;
        gather_for(scheduler, job, list);
        kept++;
    }
}

/* The gang of several tasks that waits longest, of the highest priority, for machines that no plan
 * has for it; n_groups: there is none, or machines are being kept for one. */
static size_t gang_to_gather(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                             const struct rp_plan *plan) {
    size_t chosen = input->plan_input.n_groups;
    for (size_t g = 0; g < input->plan_input.n_groups; g++) {
        const struct rp_plan_group *group = &input->groups[g];
        const struct rp_job *job = group->ref;
        if (!rp_reservation_is_exclusive(job) || job->spec.n_tasks == 1)
            continue;
        if (group->has_reservation)
            return input->plan_input.n_groups; /* one at a time */
        bool before = chosen == input->plan_input.n_groups ||
                      group->priority > input->groups[chosen].priority ||
                      (group->priority == input->groups[chosen].priority &&
                       group->age_s > input->groups[chosen].age_s);
        if (before && rp_cluster_is_job_reconciled(scheduler->cluster, job) &&
            !gang_served(input, plan, g))
            chosen = g;
    }
    return chosen;
}

/* Plans place a gang whole or not at all, and what falls free meanwhile is taken by work that
 * needs less: on a full fleet a gang of several whole machines would never find them free together.
 * The machines that can be free soonest are kept for one gang at a time; all of them at once, so
 * that no two gangs hold a part each of what both need, and for a bounded time. */
void rp_room_gather(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                    const struct rp_plan *plan, struct timespec now) {
    struct candidate *list = calloc(input->plan_input.n_machines + 1, sizeof *list);
    size_t chosen = gang_to_gather(scheduler, input, plan);
    if (!list)
        return;
    if (chosen < input->plan_input.n_groups &&
        soonest(scheduler, input, input->groups[chosen].ref, list, now))
        gather_for(scheduler, input->groups[chosen].ref, list);
    gather_ones(scheduler, input, plan, list, now);
    free(list);
}

/* ---- moving the last work of a machine elsewhere ---- */

/* A task that keeps its progress when stopped, or a replica, which has none; and whose start counts
 * already. */
static bool movable(const struct rp_allocation *allocation, struct timespec now) {
    const struct rp_job_spec *spec = &allocation->job->spec;
    bool keeps =
        spec->kind == RP_JOB_SERVICE || (spec->checkpoint_s > 0 && spec->kind == RP_JOB_ARRAY);
    return allocation->state == RP_ALLOCATION_SEEN && allocation->task_state == RP_TASK_RUNNING &&
           !allocation->stop_requested && keeps &&
           rp_ts_since(now, allocation->running_since) >
               (spec->kind == RP_JOB_SERVICE ? MOVE_AGAIN_S : START_COUNTS_S);
}

/* Until the allocation is free by itself. */
static double stays_s(const struct rp_scheduler *scheduler, const struct rp_machine *machine,
                      const struct rp_allocation *allocation, struct timespec now) {
    if (allocation->state == RP_ALLOCATION_EXITED)
        return 0;
    return allocation->job->spec.kind == RP_JOB_SERVICE
               ? STAYS_S
               : rp_allocation_remaining_s(scheduler, machine, allocation, now);
}

/* The room of every machine, in the order of the cluster's list, as it is used up by tasks that are
 * to move. */
struct rooms {
    struct rp_resources *free;
    bool *source; /* machines being drained: nothing moves there */
    size_t n;
    double ready_cpus; /* for services, of all machines; looked at for each machine */
};

/* What one_zone and spread say of the task in another zone, once it has left its own. */
static bool zone_takes(const struct rp_machine *from, const struct rp_machine *target,
                       const struct rp_job *job) {
    if (from->zone == target->zone || (!job->spec.one_zone && !job->spec.spread))
        return true;
    return !job->spec.one_zone && job->zone_count[target->zone] + 1 <= (job->spec.n_tasks + 1) / 2;
}

/* The machine that has to be kept least longer for a task that moves to it; -1 when none has room.
 */
static double cheapest_move(const struct rp_scheduler *scheduler, const struct rooms *rooms,
                            const struct rp_machine *from, const struct rp_allocation *allocation,
                            size_t *where, struct timespec now) {
    double left = stays_s(scheduler, from, allocation, now) + MOVE_S + allocation->job->spec.save_s;
    double best = -1;
    size_t at = 0;
    for (const struct rp_machine *other = scheduler->cluster->first; other;
         other = other->next, at++) {
        if (other == from || rooms->source[at] || !rp_machine_is_usable(other) ||
            rp_reservation_job(scheduler, other) || rp_machine_is_idle(other) ||
            !rp_cluster_is_allowed(scheduler->cluster, &allocation->job->spec, other->type,
                                   other->zone, other->spot) ||
            !zone_takes(from, other, allocation->job) ||
            !rp_resources_fit(&allocation->job->spec.each, &rooms->free[at]) ||
            !rp_machine_has_image(other, allocation->job->image_hash))
            continue;
        double busy = 0;
        for (size_t k = 0; k < other->n_allocations; k++)
            busy = fmax(busy, stays_s(scheduler, other, &other->allocations[k], now));
        double more = fmax(0, left - busy) * rp_fleet_hourly_price(rp_scheduler_catalog(scheduler),
                                                                   other->type, other->spot);
        if (best < 0 || more < best) {
            best = more;
            *where = at;
        }
    }
    return best;
}

/* Takes the room for all tasks of `m` on other machines; returns how much longer these have to be
 * kept for them, in money, or a negative number when there is no room: then none is taken. */
static double move_price(const struct rp_scheduler *scheduler, struct rooms *rooms,
                         const struct rp_machine *machine, struct timespec now) {
    double price = 0;
    size_t *to = calloc(machine->n_allocations + 1, sizeof *to), n = 0;
    if (!to)
        return -1;
    for (; n < machine->n_allocations && price >= 0; n++) {
        to[n] = rooms->n;
        if (machine->allocations[n].state == RP_ALLOCATION_EXITED)
            continue;
        double more =
            cheapest_move(scheduler, rooms, machine, &machine->allocations[n], &to[n], now);
        if (more < 0) {
            price = -1;
            break;
        }
        rp_resources_sub(&rooms->free[to[n]], &machine->allocations[n].job->spec.each);
        price = fmax(price, more);
    }
    for (size_t i = 0; price < 0 && i < n; i++)
        if (to[i] < rooms->n)
            rp_resources_add(&rooms->free[to[i]], &machine->allocations[i].job->spec.each);
    free(to);
    return price;
}

static bool type_wanted(const struct rp_cycle_input *input, int type) {
    for (size_t g = 0; g < input->plan_input.n_groups; g++)
        if (input->groups[g].types >> type & 1)
            return true;
    return false;
}

/* What is saved if the machine's tasks go elsewhere; negative when they can't, or needn't. */
static double drain_saving(const struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                           struct rooms *rooms, const struct rp_machine *machine,
                           struct timespec now) {
    double price =
               rp_fleet_hourly_price(rp_scheduler_catalog(scheduler), machine->type, machine->spot),
           busy = 0;
    if (!rp_machine_is_usable(machine) || rp_machine_is_idle(machine) ||
        machine->scale_in.draining || type_wanted(input, machine->type) ||
        rp_reservation_job(scheduler, machine))
        return -1;
    const struct rp_resources *capacity =
        &rp_scheduler_catalog(scheduler)->types[machine->type].capacity;
    bool ready = capacity->gpus <= 0 && !machine->spot;
    double replicas = 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        if (machine->allocations[i].state == RP_ALLOCATION_EXITED)
            continue;
        if (!movable(&machine->allocations[i], now))
            return -1;
        busy = fmax(busy, stays_s(scheduler, machine, &machine->allocations[i], now));
        if (machine->allocations[i].job->spec.kind == RP_JOB_SERVICE)
            replicas += rp_plan_share_of_machine(&machine->allocations[i].job->spec.each, capacity);
    }
    /* A move is a moment without the replica, and the machine that it frees costs little. */
    if (replicas > MOVE_PART ||
        (replicas > 0 && rp_ts_since(now, scheduler->replicas_moved_at) < MOVE_EVERY_S))
        return -1;
    if (ready &&
        rooms->ready_cpus - rp_services_ready_cpus_of(scheduler->services, machine) <
            rp_services_reserve_cpus(scheduler->services) + capacity->cpus - RP_READY_SLACK_CPUS)
        return -1;
    if (busy <= 2 * MOVE_S)
        return -1;
    struct rp_resources *before = calloc(rooms->n + 1, sizeof *before);
    if (!before)
        return -1;
    memcpy(before, rooms->free, rooms->n * sizeof *before);
    double more = move_price(scheduler, rooms, machine, now);
    memcpy(rooms->free, before, rooms->n * sizeof *before);
    free(before);
    double saving = price * (busy - MOVE_S) - more;
    return more >= 0 && saving > price * MOVE_S ? saving : -1;
}

/* The room now, less what the machines being drained already move elsewhere: the room found for one
 * machine's tasks must not be found twice. Returns how many these are. */
static size_t rooms_fill(const struct rp_scheduler *scheduler, struct rooms *rooms,
                         struct timespec now) {
    size_t at = 0, moving = 0;
    rooms->ready_cpus = rp_services_ready_cpus(scheduler->services);
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next, at++) {
        rooms->free[at] = rp_machine_free_resources(scheduler->cluster, machine);
        rooms->source[at] = machine->scale_in.draining;
        moving += machine->scale_in.draining;
    }
    for (const struct rp_machine *machine = scheduler->cluster->first; machine;
         machine = machine->next)
        if (machine->scale_in.draining)
            (void)move_price(scheduler, rooms, machine, now);
    return moving;
}

static void drain_one(struct rp_scheduler *scheduler, struct rooms *rooms,
                      struct rp_machine *machine, size_t at, struct timespec now) {
    rp_info("machine %s is emptied: tasks=%zu fit elsewhere", machine->name,
            machine->n_allocations);
    (void)move_price(scheduler, rooms, machine, now);
    rooms->source[at] = true;
    rooms->ready_cpus -= rp_services_ready_cpus_of(scheduler->services, machine);
    machine->scale_in.draining = true;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_job_spec *spec = &machine->allocations[i].job->spec;
        if (machine->allocations[i].state == RP_ALLOCATION_EXITED)
            continue;
        /* Replicas are moved one by one (services.c). */
        if (spec->kind == RP_JOB_SERVICE)
            scheduler->replicas_moved_at = now;
        else
            rp_allocation_request_stop(&machine->allocations[i], spec->save_s * 1.2 + 1);
    }
}

/* Where a load falls, the last long tasks sit on many machines, each kept for a task or two. Where
 * they fit on machines that are kept anyway, and nothing waits for the room, they are stopped with
 * their progress saved, and the machine goes back: one at a time of a small fleet, more of a large
 * one. */
void rp_room_drain_machines(struct rp_scheduler *scheduler, const struct rp_cycle_input *input,
                            struct timespec now) {
    struct rooms rooms = {.n = scheduler->cluster->n_machines};
    rooms.free = calloc(rooms.n + 1, sizeof *rooms.free);
    rooms.source = calloc(rooms.n + 1, sizeof *rooms.source);
    if (!rooms.free || !rooms.source)
        goto out;
    size_t most = 1 + rooms.n / DRAINING_OF, moving = rooms_fill(scheduler, &rooms, now);
    while (moving < most) {
        struct rp_machine *best = NULL;
        double best_saving = 0;
        size_t best_at = 0, at = 0;
        for (struct rp_machine *machine = scheduler->cluster->first; machine;
             machine = machine->next, at++) {
            double saving = drain_saving(scheduler, input, &rooms, machine, now);
            if (saving > best_saving) {
                best = machine;
                best_saving = saving;
                best_at = at;
            }
        }
        if (!best)
            break;
        drain_one(scheduler, &rooms, best, best_at, now);
        moving++;
    }
out:
    free(rooms.free);
    free(rooms.source);
}
