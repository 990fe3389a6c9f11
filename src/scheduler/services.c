#include "scheduler/services.h"

#include <math.h>
#include <string.h>
#include "base/log.h"
#include "cluster/fleet.h"
#include "worker/direct_commands.h"
#include "worker/probes.h"

/* What makes a machine worse for a replica, in seconds of a later start. */
#define SAME_MACHINE_S 0.4 /* for each replica of the job that one loss would take as well */
#define SAME_MOST 4        /* but not more than for so many */
#define SAME_ZONE_S 0.8    /* for each that a zone has beyond its even part */
#define LOST_WORK_SHARE 0.02
#define ERROR_S 5.0
#define FAILED_HERE_S 20.0
#define SPOT_S 40.0
#define GPU_S 120.0 /* such machines are wanted whole, and cost many times as much */
#define KEPT_S 0.3  /* a machine that holds services anyway isn't kept longer by one more */
#define FETCH_LEFT_S 0.3
#define NEXT_REPORT_S 1.5 /* where a start has to go with the next report's answer */
#define WATCH_S 0.25
#define KEPT_LEAST 300   /* ended attempts that are kept known, in all, */
#define KEPT_EACH 24     /* and for each machine */
#define MOVE_PRICE_S 3.0 /* what may speak against the machine that a replica is moved to */
#define SILENT_SLACK_S 0.6
#define PROBE_SLACK_S 0.15 /* a report later than this is asked for */
#define PROBES 2           /* so many questions without an answer, one after the other */
#define GONE_SHARE 0.2     /* of the machines: where more are silent, it is a cut that ends */
#define ZONE_SHARE 0.4     /* the same of a zone's */
#define LED_S 3.0          /* a new leader has heard of every machine that is there by then */
#define FLOW_S 60.0        /* time constant of what is remembered of arrivals */

static void watch_due(void *arg);

void rp_services_init(struct rp_services *services, struct rp_loop *loop,
                      struct rp_cluster *cluster, struct rp_jobs *jobs, struct rp_workers *workers,
                      struct rp_fleet *fleet, const struct rp_settings *settings,
                      const struct rp_catalog *catalog) {
    memset(services, 0, sizeof *services);
    services->fleet = fleet;
    services->watch = (struct rp_timer){.fn = watch_due, .arg = services};
    services->loop = loop;
    services->cluster = cluster;
    services->jobs = jobs;
    services->workers = workers;
    services->settings = settings;
    services->catalog = catalog;
}

void rp_services_start(struct rp_services *services) {
    services->flow = (struct rp_service_flow){0};
    services->counted = 0;
    rp_timer_set(services->loop, &services->watch, WATCH_S);
}

void rp_services_stop(struct rp_services *services) {
    rp_timer_cancel(services->loop, &services->watch);
}

/* ---- room that lower work gives ---- */

static bool lower(const struct rp_allocation *allocation, const struct rp_job *job) {
    return allocation->job->spec.kind == RP_JOB_ARRAY &&
           allocation->job->spec.priority < job->spec.priority;
}

/* Stopped without time to save: it is over by the time when a start that follows is carried out. */
static bool going(const struct rp_allocation *allocation) {
    return allocation->state == RP_ALLOCATION_SEEN && allocation->stop_requested &&
           allocation->grace_s <= 0;
}

static bool may_go(const struct rp_allocation *allocation, const struct rp_job *job) {
    return lower(allocation, job) && !allocation->stop_requested &&
           (allocation->state == RP_ALLOCATION_SEEN || allocation->state == RP_ALLOCATION_PLANNED);
}

/* The work that is lost with it, in seconds. */
static double worth(const struct rp_allocation *allocation, struct timespec now) {
    double ran =
        rp_ts_zero(allocation->running_since) ? 0 : rp_ts_since(now, allocation->running_since);
    double kept = allocation->job->spec.checkpoint_s;
    return allocation->state == RP_ALLOCATION_PLANNED ? 0 : 1 + (kept > 0 ? fmin(ran, kept) : ran);
}

static void free_allocation(struct rp_released_resources *freed,
                            const struct rp_allocation *allocation, const struct rp_job *job) {
    rp_resources_add(&freed->capacity, &allocation->job->spec.each);
    if (allocation->job->team == job->team)
        rp_resources_add(&freed->quota, &allocation->job->spec.each);
}

/* What stops under way on the machine give back before anything that is started there now. */
static struct rp_released_resources freed_already(const struct rp_machine *machine,
                                                  const struct rp_job *job) {
    struct rp_released_resources freed = {0};
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (going(&machine->allocations[i]))
            free_allocation(&freed, &machine->allocations[i], job);
    return freed;
}

enum lack { LACK_NOTHING, LACK_ROOM, LACK_QUOTA };

/* What one more task of the job still lacks on the machine. */
static enum lack lacking(const struct rp_services *services, const struct rp_machine *machine,
                         const struct rp_job *job, const struct rp_released_resources *freed) {
    struct rp_resources room = rp_machine_free_resources(services->cluster, machine);
    struct rp_resources over = rp_cluster_over_quota(services->cluster, job);
    rp_resources_add(&room, &freed->capacity);
    if (!rp_resources_fit(&job->spec.each, &room))
        return LACK_ROOM;
    bool quota = over.cpus <= freed->quota.cpus && over.gpus <= freed->quota.gpus;
    return quota ? LACK_NOTHING : LACK_QUOTA;
}

/* The room that costs least to take; where the team's limit is in the way, one of its own. */
static struct rp_allocation *cheapest(struct rp_machine *machine, const struct rp_job *job,
                                      enum lack lack, const bool *taken, struct timespec now) {
    struct rp_allocation *best = NULL;
    double best_worth = 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if ((taken && taken[i]) || !may_go(allocation, job) ||
            (lack == LACK_QUOTA && allocation->job->team != job->team))
            continue;
        double price = worth(allocation, now) + 1000.0 * (double)allocation->job->spec.priority;
        if (!best || price < best_worth) {
            best = allocation;
            best_worth = price;
        }
    }
    return best;
}

#define ALLOCATIONS_MAX 1024

/* Seconds of work that are lost if the machine makes room for one task; negative: it can't. */
static double room_price(const struct rp_services *services, struct rp_machine *machine,
                         const struct rp_job *job, struct timespec now) {
    struct rp_released_resources freed = freed_already(machine, job);
    bool taken[ALLOCATIONS_MAX] = {false};
    enum lack lack = lacking(services, machine, job, &freed);
    double price = 0;
    if (lack != LACK_NOTHING &&
        (!services->settings->tuning.preemption || machine->n_allocations > ALLOCATIONS_MAX))
        return -1;
    for (; lack != LACK_NOTHING; lack = lacking(services, machine, job, &freed)) {
        struct rp_allocation *allocation = cheapest(machine, job, lack, taken, now);
        if (!allocation)
            return -1;
        taken[allocation - machine->allocations] = true;
        free_allocation(&freed, allocation, job);
        price += worth(allocation, now);
    }
    return price;
}

/* Returns what is given back by the time of the start. */
static struct rp_released_resources make_room(struct rp_services *services,
                                              struct rp_machine *machine, const struct rp_job *job,
                                              struct timespec now) {
    struct rp_released_resources freed = freed_already(machine, job);
    for (enum lack lack; (lack = lacking(services, machine, job, &freed)) != LACK_NOTHING;) {
        struct rp_allocation *allocation = cheapest(machine, job, lack, NULL, now);
        if (!allocation)
            break;
        services->n_made_room++;
        if (allocation->state == RP_ALLOCATION_PLANNED) {
            rp_allocation_remove(services->cluster, machine,
                                 (size_t)(allocation - machine->allocations));
            continue; /* its room is free, and its team's part, as counted anew */
        }
        rp_allocation_request_stop(allocation, 0);
        free_allocation(&freed, allocation, job);
    }
    return freed;
}

/* ---- the best machine ---- */

/* Until the image is there. Images fetched at the same time may share the machine's rate. */
static double fetch_s(const struct rp_services *services, const struct rp_machine *machine,
                      const struct rp_job *job, struct timespec now) {
    double rate = services->catalog->types[machine->type].fetch_gb_per_s;
    uint64_t others[8];
    size_t n = 0;
    if (rp_machine_has_image(machine, job->image_hash) || rate <= 0)
        return 0;
    double own = job->spec.image_gb / rate;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED || allocation->task_state != RP_TASK_FETCHING)
            continue;
        uint64_t hash = allocation->job->image_hash;
        if (hash == job->image_hash)
            return fmax(FETCH_LEFT_S, own - rp_ts_since(now, allocation->planned_at));
        bool known = rp_machine_has_image(machine, hash);
        for (size_t k = 0; k < n; k++)
            known |= others[k] == hash;
        if (!known && n < sizeof others / sizeof others[0])
            others[n++] = hash;
    }
    return own * (double)(1 + n);
}

static bool fresh(const struct rp_services *services, const struct rp_machine *machine,
                  struct timespec now) {
    return !machine->contact.unreachable &&
           rp_ts_since(now, machine->contact.last_heard) <
               1.25 * services->settings->report_s + SILENT_SLACK_S;
}

/* Its room is kept for a gang. */
static bool kept(const struct rp_machine *machine, struct timespec now) {
    return *machine->reservation.job_id && !rp_ts_reached(now, machine->reservation.until);
}

/* How many more of the job's replicas the zone would have than an even part of them. */
static double zone_excess(const struct rp_services *services, const struct rp_job *job, int zone) {
    double even = ceil((double)job->spec.n_tasks / fmax(1, (double)services->catalog->n_zones));
    return fmin(fmax(0, job->zone_count[zone] + 1 - even), SAME_MOST);
}

/* What speaks against the machine, in seconds; negative: it can't take the task. */
static double price_of(const struct rp_services *services, struct rp_machine *machine,
                       const struct rp_job *job, struct timespec now) {
    if (!rp_machine_is_usable(machine) || machine->scale_in.draining || kept(machine, now) ||
        !fresh(services, machine, now) ||
        !rp_cluster_is_allowed(services->cluster, &job->spec, machine->type, machine->zone,
                               machine->spot))
        return -1;
    double lost = room_price(services, machine, job, now);
    if (lost < 0)
        return -1;
    const struct rp_resources *capacity = &services->catalog->types[machine->type].capacity;
    bool gpus = capacity->gpus > 0 && job->spec.each.gpus <= 0;
    bool serves = false;
    double price = fetch_s(services, machine, job, now) + lost * LOST_WORK_SHARE;
    unsigned same = 0;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state == RP_ALLOCATION_EXITED)
            continue;
        serves |= allocation->job->spec.kind == RP_JOB_SERVICE;
        same += allocation->job == job && same < SAME_MOST;
    }
    price += same * SAME_MACHINE_S + zone_excess(services, job, machine->zone) * SAME_ZONE_S;
    for (unsigned i = 0; i < job->n_failed_machines; i++)
        price += strcmp(job->failed_machines[i], machine->name) == 0 ? FAILED_HERE_S : 0;
    price += rp_direct_commands_is_full(machine) ? NEXT_REPORT_S : 0;
    price += ERROR_S * machine->health.consecutive_errors + (machine->spot ? SPOT_S : 0) +
             (gpus ? GPU_S : 0);
    return price + (serves ? 0 : KEPT_S);
}

/* The machine on which the task, which is on none, runs soonest; NULL: on none. */
static struct rp_machine *best_for(const struct rp_services *services, const struct rp_job *job,
                                   uint32_t task, struct timespec now) {
    static const struct rp_released_resources all = {{1e12, 1e12, 1e12}, {1e12, 1e12, 1e12}};
    struct rp_machine *best = NULL;
    double best_price = 0;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next) {
        double price = price_of(services, machine, job, now);
        if (price < 0 || (best && price >= best_price) ||
            !rp_cluster_may_start_after_release(services->cluster, job, task, machine, &all))
            continue;
        best = machine;
        best_price = price;
    }
    return best;
}

static bool place_task(struct rp_services *services, struct rp_job *job, uint32_t task,
                       struct timespec now) {
    struct rp_machine *best = best_for(services, job, task, now);
    if (!best)
        return false;
    struct rp_released_resources freed = make_room(services, best, job, now);
    if (!rp_cluster_may_start_after_release(services->cluster, job, task, best, &freed))
        return false;
    rp_allocation_add(services->cluster, best, job, task,
                      rp_cluster_next_attempt(services->cluster), RP_ALLOCATION_PLANNED);
    services->n_placed++;
    return true;
}

/* ---- room within a team's limit ---- */

static bool beyond(const struct rp_resources *over) {
    return over->cpus > 0 || over->gpus > 0;
}

/* What the team of the job lacks for its missing replicas, once all that is being stopped is gone.
 */
static struct rp_resources quota_lack(const struct rp_services *services,
                                      const struct rp_job *job) {
    struct rp_resources over = rp_cluster_over_quota(services->cluster, job);
    double more = job->spec.n_tasks - job->n_allocated - 1.0;
    over.cpus += more * job->spec.each.cpus;
    over.gpus += more * job->spec.each.gpus;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++) {
            const struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->state == RP_ALLOCATION_EXITED || !allocation->stop_requested ||
                allocation->job->team != job->team)
                continue;
            over.cpus -= allocation->job->spec.each.cpus;
            over.gpus -= allocation->job->spec.each.gpus;
        }
    return over;
}

/* A team at its limit, whose lower work sits where a replica can't go (on spot machines, say),
 * would have no machine rented for it either: that work makes way wherever it is. */
static void free_quota(struct rp_services *services, const struct rp_job *job,
                       struct timespec now) {
    struct rp_resources over = quota_lack(services, job);
    while (isfinite(over.cpus) && isfinite(over.gpus) && beyond(&over)) {
        struct rp_machine *from = NULL;
        struct rp_allocation *best = NULL;
        for (struct rp_machine *machine = services->cluster->first; machine;
             machine = machine->next) {
            struct rp_allocation *allocation = cheapest(machine, job, LACK_QUOTA, NULL, now);
            if (allocation && (!best || worth(allocation, now) < worth(best, now))) {
                best = allocation;
                from = machine;
            }
        }
        if (!best)
            return;
        const struct rp_job_spec *spec = &best->job->spec;
        over.cpus -= spec->each.cpus;
        over.gpus -= spec->each.gpus;
        services->n_made_room++;
        if (best->state == RP_ALLOCATION_PLANNED)
            rp_allocation_remove(services->cluster, from, (size_t)(best - from->allocations));
        else
            rp_allocation_request_stop(best, spec->checkpoint_s > 0 ? spec->save_s * 1.2 + 1 : 0);
    }
}

/* ---- what arrives ---- */

static void note_arrival(struct rp_services *services, const struct rp_job *job,
                         struct timespec now) {
    struct rp_service_flow *flow = &services->flow;
    double cpus = job->spec.n_tasks * job->spec.each.cpus;
    double decay = rp_ts_zero(flow->at) ? 0 : exp(-rp_ts_since(now, flow->at) / FLOW_S);
    flow->cpus_per_s = flow->cpus_per_s * decay + cpus / FLOW_S;
    flow->largest = fmax(flow->largest * decay, cpus);
    flow->at = now;
}

static double longest_boot_s(const struct rp_catalog *catalog) {
    double boot = 0;
    for (size_t t = 0; t < catalog->n_types; t++)
        if (catalog->types[t].capacity.gpus <= 0)
            boot = fmax(boot, catalog->types[t].boot_s);
    return boot;
}

double rp_services_reserve_cpus(const struct rp_services *services) {
    const struct rp_service_flow *flow = &services->flow;
    if (rp_ts_zero(flow->at))
        return 0;
    double decay = exp(-rp_ts_since(rp_loop_now(services->loop), flow->at) / FLOW_S);
    double arriving = flow->cpus_per_s * longest_boot_s(services->catalog);
    return services->settings->tuning.service_reserve * (arriving + flow->largest) * decay;
}

double rp_services_ready_cpus_of(const struct rp_services *services,
                                 const struct rp_machine *machine) {
    if (machine->type < 0 || machine->spot || machine->scale_in.draining ||
        services->catalog->types[machine->type].capacity.gpus > 0)
        return 0;
    if (machine->state == RP_MACHINE_BOOTING)
        return services->catalog->types[machine->type].capacity.cpus;
    if (!rp_machine_is_usable(machine))
        return 0;
    double room = rp_machine_free_resources(services->cluster, machine).cpus;
    for (size_t i = 0; i < machine->n_allocations; i++) {
        const struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_EXITED &&
            allocation->job->spec.kind == RP_JOB_ARRAY &&
            allocation->job->spec.priority < RP_PRIORITY_CRITICAL)
            room += allocation->job->spec.each.cpus;
    }
    return fmax(0, room);
}

double rp_services_ready_cpus(const struct rp_services *services) {
    double cpus = 0;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        cpus += rp_services_ready_cpus_of(services, machine);
    return cpus;
}

/* ---- placing ---- */

/* A replica to be started, or one to be stopped, so that it starts elsewhere, that wasn't told yet.
 */
static bool to_send(const struct rp_allocation *allocation) {
    return allocation->job->spec.kind == RP_JOB_SERVICE &&
           (allocation->state == RP_ALLOCATION_PLANNED ||
            (going(allocation) && rp_ts_zero(allocation->stop_sent_at)));
}

void rp_services_send(struct rp_services *services) {
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (to_send(&machine->allocations[i])) {
                rp_direct_commands_send(&services->workers->context, machine);
                break;
            }
}

static void place_job(struct rp_services *services, struct rp_job *job, struct timespec now) {
    if (!rp_cluster_is_job_reconciled(services->cluster, job))
        return;
    for (uint32_t task = 0; task < job->spec.n_tasks; task++)
        if (rp_job_n_task_allocations(job, task) == 0 && !place_task(services, job, task, now)) {
            if (services->settings->tuning.preemption)
                free_quota(services, job, now);
            return;
        }
}

void rp_services_run(struct rp_services *services) {
    struct timespec now = rp_loop_now(services->loop);
    uint64_t newest = services->counted;
    if (services->jobs->table.n_services == 0 || !rp_jobs_may_start_tasks(services->jobs))
        return;
    for (struct rp_job *job = services->jobs->table.first; job; job = job->next) {
        if (job->spec.kind != RP_JOB_SERVICE || job->state != RP_JOB_OPEN)
            continue;
        if (job->accepted_revision > services->counted)
            note_arrival(services, job, now);
        newest = job->accepted_revision > newest ? job->accepted_revision : newest;
        if (job->n_allocated < job->spec.n_tasks && rp_ts_reached(now, job->start_backoff_until))
            place_job(services, job, now);
    }
    services->counted = newest;
    rp_services_send(services);
}

/* ---- replicas that are moved ---- */

static bool holds_replicas(const struct rp_machine *machine) {
    for (size_t i = 0; i < machine->n_allocations; i++)
        if (machine->allocations[i].state != RP_ALLOCATION_EXITED &&
            machine->allocations[i].job->spec.kind == RP_JOB_SERVICE)
            return true;
    return false;
}

/* Whether some replica is missing, being stopped, or not running yet. */
static bool any_unsteady(const struct rp_services *services) {
    for (const struct rp_job *job = services->jobs->table.first; job; job = job->next)
        if (job->spec.kind == RP_JOB_SERVICE && job->state == RP_JOB_OPEN &&
            job->n_running < job->spec.n_tasks)
            return true;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (machine->allocations[i].job->spec.kind == RP_JOB_SERVICE &&
                going(&machine->allocations[i]))
                return true;
    return false;
}

/* Whether the replica could go on at once on another machine. */
static bool could_go(const struct rp_services *services, const struct rp_machine *from,
                     const struct rp_allocation *allocation, struct timespec now) {
    struct rp_job *job = allocation->job;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next) {
        bool zone =
            machine->zone == from->zone ||
            (!job->spec.one_zone && (!job->spec.spread || job->zone_count[machine->zone] + 1 <=
                                                              (job->spec.n_tasks + 1) / 2));
        double price = machine == from || !zone ? -1 : price_of(services, machine, job, now);
        if (price >= 0 && price < MOVE_PRICE_S && rp_machine_has_image(machine, job->image_hash))
            return true;
    }
    return false;
}

/* A machine that is draining, or is faulty, loses its replicas one by one: the next is stopped
 * once all are running again, and only if another machine holds its image and has room. (Stopped
 * all together, by the room that a round had seen, the last ones found it taken, and waited for a
 * machine to boot.) */
static void drain(struct rp_services *services, struct rp_machine *machine, struct timespec now) {
    for (size_t i = 0; i < machine->n_allocations; i++) {
        struct rp_allocation *allocation = &machine->allocations[i];
        if (allocation->state != RP_ALLOCATION_SEEN || allocation->stop_requested ||
            allocation->job->spec.kind != RP_JOB_SERVICE)
            continue;
        if (could_go(services, machine, allocation, now)) {
            rp_allocation_request_stop(allocation, 0);
            services->n_moved++;
        } else {
            machine->scale_in.draining = false; /* it stays */
        }
        return;
    }
}

static void drain_one(struct rp_services *services, struct timespec now) {
    if (any_unsteady(services))
        return;
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next)
        if (machine->state == RP_MACHINE_UP &&
            (machine->scale_in.draining || machine->health.quarantined) &&
            holds_replicas(machine)) {
            drain(services, machine, now);
            return;
        }
}

/* ---- machines that fall silent with replicas on them ---- */

/* The zones (bit set) in which so many machines are silent that it is a cut that ends, rather than
 * machines that hang or have died; all of them where that holds for the whole fleet. At the
 * beginning of a zone's cut its machines fall silent within one report's time, before the first is
 * given back. */
static uint32_t zones_in_doubt(const struct rp_services *services, struct timespec now) {
    double known[RP_ZONES_MAX] = {0}, silent[RP_ZONES_MAX] = {0}, all = 0, all_silent = 0;
    uint32_t zones = 0;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next) {
        if (machine->contact.incarnation == 0 || machine->zone < 0 ||
            machine->state == RP_MACHINE_RELEASING)
            continue;
        known[machine->zone]++;
        silent[machine->zone] += !fresh(services, machine, now);
    }
    for (int z = 0; z < RP_ZONES_MAX; z++) {
        all += known[z];
        all_silent += silent[z];
        if (silent[z] > fmax(1, ZONE_SHARE * known[z]))
            zones |= UINT32_C(1) << z;
    }
    return all_silent > fmax(1, GONE_SHARE * all) ? UINT32_MAX : zones;
}

/* A machine that hangs or has died takes its replicas with it, and nobody may start them elsewhere
 * before its lease is over, unless it is certainly gone: the cloud's answer to its deletion makes
 * that certain within a moment. So one that neither reports nor answers questions is given back.
 * Not where many are silent: then it is the network, behind which they go on. */
static void watch_machine(struct rp_services *services, struct rp_machine *machine, uint32_t doubt,
                          struct timespec now) {
    if (machine->state != RP_MACHINE_UP || !holds_replicas(machine))
        return;
    double silent =
        rp_ts_since(now, machine->contact.last_heard) - 1.25 * services->settings->report_s;
    if (silent < PROBE_SLACK_S) {
        machine->contact.probes_failed = 0;
        return;
    }
    bool cut = machine->zone >= 0 && (doubt >> machine->zone & 1);
    if (machine->contact.probes_failed >= PROBES && !cut &&
        !rp_fleet_is_zone_silent(services->fleet, machine->zone) &&
        rp_ts_since(now, services->fleet->context.led_since) >
            services->settings->report_s * 1.25 + LED_S)
        rp_fleet_scale_in(services->fleet, machine, "replicas_wait");
    else
        rp_probe_send(&services->workers->context, machine);
}

/* Ended attempts that were started directly stay in their machines' reports for as long as the
 * token is ours (worker/command_batch.c). Over days of services that come and go they would fill
 * the reports: once there are many, another term begins, under which workers may forget them. */
static bool much_to_forget(const struct rp_services *services) {
    size_t kept = 0;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            kept += machine->allocations[i].state == RP_ALLOCATION_EXITED &&
                    machine->allocations[i].started_directly;
    return kept > KEPT_LEAST && kept > KEPT_EACH * services->cluster->n_machines;
}

static void watch_due(void *arg) {
    struct rp_services *services = arg;
    struct timespec now = rp_loop_now(services->loop);
    rp_timer_set(services->loop, &services->watch, WATCH_S);
    if (services->jobs->table.n_services == 0 ||
        !rp_election_is_valid(services->workers->context.election, now))
        return;
    if (much_to_forget(services)) {
        rp_info("many ended attempts are kept known: another term lets workers forget them");
        rp_election_resign(services->workers->context.election, 0);
        return;
    }
    uint32_t doubt = zones_in_doubt(services, now);
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next)
        watch_machine(services, machine, doubt, now);
    drain_one(services, now);
    rp_services_run(services);
}
