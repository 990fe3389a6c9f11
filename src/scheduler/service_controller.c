#include "scheduler/service_controller.h"

#include <string.h>
#include "base/log.h"
#include "base/string_copy.h"
#include "scheduler/replica_moves.h"
#include "scheduler/replica_placement.h"
#include "scheduler/replica_preemption.h"
#include "scheduler/service_headroom.h"
#include "scheduler/silent_machines.h"
#include "worker/direct_commands.h"

#define CHECK_PERIOD_S 0.25 /* seconds between checks for silent machines and missing replicas */
/* The leader resigns when all workers together keep more exited attempts than this, and more than
 * EXITED_KEPT_PER_MACHINE_MAX for each machine of the fleet. */
#define EXITED_KEPT_MAX 300
/* Exited attempts for each machine of the fleet that all workers together may keep (see
 * EXITED_KEPT_MAX). */
#define EXITED_KEPT_PER_MACHINE_MAX 24
/* Greatest number of replicas of one service that are placed at a time, so that a service of very
 * many replicas does not delay the others. */
#define REPLICAS_PER_TURN_MAX 256
static void on_check_timer(void *arg);

void rp_service_controller_init(struct rp_services *services, struct rp_loop *loop,
                                struct rp_cluster *cluster, struct rp_jobs *jobs,
                                struct rp_workers *workers, struct rp_fleet *fleet,
                                const struct rp_settings *settings,
                                const struct rp_catalog *catalog) {
    memset(services, 0, sizeof *services);
    services->fleet = fleet;
    services->check_timer = (struct rp_timer){.fn = on_check_timer, .arg = services};
    services->loop = loop;
    services->cluster = cluster;
    services->jobs = jobs;
    services->workers = workers;
    services->settings = settings;
    services->catalog = catalog;
}

void rp_service_controller_start(struct rp_services *services) {
    services->arrivals = (struct rp_service_arrivals){0};
    services->counted_until_revision = 0;
    *services->resume_at = '\0';
    rp_timer_set(services->loop, &services->check_timer, CHECK_PERIOD_S);
}

void rp_service_controller_stop(struct rp_services *services) {
    rp_timer_cancel(services->loop, &services->check_timer);
}

/* Whether the allocation is a replica to be started, or a replica to be stopped, so that it starts
 * elsewhere, whose stop has not been sent yet. */
static bool should_send_command(const struct rp_allocation *allocation) {
    return allocation->job->spec.kind == RP_JOB_SERVICE &&
           (allocation->state == RP_ALLOCATION_PLANNED ||
            (rp_replica_preemption_is_ending(allocation) &&
             rp_ts_is_zero(allocation->stop_sent_at)));
}

void rp_service_controller_send_commands(struct rp_services *services) {
    for (struct rp_machine *machine = services->cluster->first; machine; machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            if (should_send_command(&machine->allocations[i])) {
                rp_direct_commands_send(&services->workers->context, machine);
                break;
            }
}

/* Counts the services that were accepted since the last call. */
static void record_arrivals(struct rp_services *services, struct timespec now) {
    uint64_t newest_revision = services->counted_until_revision;
    for (const struct rp_job *job = services->jobs->table.first; job; job = job->next) {
        if (job->spec.kind != RP_JOB_SERVICE || job->state != RP_JOB_OPEN)
            continue;
        if (job->accepted_revision > services->counted_until_revision)
            rp_service_headroom_record_arrival(services, job, now);
        newest_revision =
            job->accepted_revision > newest_revision ? job->accepted_revision : newest_revision;
    }
    services->counted_until_revision = newest_revision;
}

static bool may_place_replicas(const struct rp_services *services, const struct rp_job *job,
                               struct timespec now) {
    return job->spec.kind == RP_JOB_SERVICE && job->state == RP_JOB_OPEN &&
           job->n_allocated < job->spec.n_tasks &&
           rp_ts_is_reached(now, job->start_backoff_until) &&
           rp_cluster_is_job_reconciled(services->cluster, job);
}

static void place_replicas_of(struct rp_services *services, struct rp_job *job,
                              struct timespec now) {
    uint32_t n_max =
        may_place_replicas(services, job, now) ? rp_replica_placement_n_startable(job) : 0;
    if (n_max > REPLICAS_PER_TURN_MAX)
        n_max = REPLICAS_PER_TURN_MAX;
    if (n_max == 0)
        return;
    bool has_capacity = rp_replica_placement_run(services, job, n_max, now);
    if (!has_capacity && services->settings->tuning.preemption)
        rp_replica_preemption_free_quota(services, job, now);
}

/* Gives each service a turn, from the one at which the last call ended, until the steps are spent.
 */
static void place_missing_replicas(struct rp_services *services, struct timespec now) {
    const struct rp_job_table *table = &services->jobs->table;
    struct rp_job *job =
        *services->resume_at ? rp_jobs_find(services->jobs, services->resume_at) : NULL;
    services->steps = rp_step_budget_of(RP_TURN_STEPS_MAX);
    *services->resume_at = '\0';
    for (size_t n = 0; n < table->n_jobs; n++) {
        job = job ? job : table->first;
        if (rp_step_budget_is_spent(&services->steps)) {
            rp_string_copy(services->resume_at, sizeof services->resume_at, job->spec.id);
            return;
        }
        rp_step_budget_take(&services->steps, 1);
        place_replicas_of(services, job, now);
        job = job->next;
    }
}

void rp_service_controller_run(struct rp_services *services) {
    struct timespec now = rp_loop_now(services->loop);
    if (services->jobs->table.n_services == 0 || !rp_jobs_may_start_tasks(services->jobs))
        return;
    record_arrivals(services, now);
    place_missing_replicas(services, now);
    rp_service_controller_send_commands(services);
}

/* Exited attempts that were started directly remain in their machines' heartbeats for as long as
 * this leader's fencing token is valid (worker/command_batch.h). Over days of services that are
 * submitted and cancelled, they would fill the heartbeats. Once their number exceeds both bounds,
 * the leader resigns: under the next term, workers may forget them. */
static bool has_too_many_exited(const struct rp_services *services) {
    size_t n_kept = 0;
    for (const struct rp_machine *machine = services->cluster->first; machine;
         machine = machine->next)
        for (size_t i = 0; i < machine->n_allocations; i++)
            n_kept += machine->allocations[i].state == RP_ALLOCATION_EXITED &&
                      machine->allocations[i].started_directly;
    return n_kept > EXITED_KEPT_MAX &&
           n_kept > EXITED_KEPT_PER_MACHINE_MAX * services->cluster->n_machines;
}

static void on_check_timer(void *arg) {
    struct rp_services *services = arg;
    struct timespec now = rp_loop_now(services->loop);
    rp_timer_set(services->loop, &services->check_timer, CHECK_PERIOD_S);
    if (services->jobs->table.n_services == 0 ||
        !rp_election_is_valid(services->workers->context.election, now))
        return;
    if (has_too_many_exited(services)) {
        rp_info("too many ended attempts kept by workers, resigning");
        rp_election_resign(services->workers->context.election, 0);
        return;
    }
    rp_silent_machines_step(services, now);
    rp_replica_moves_step(services, now);
    rp_service_controller_run(services);
}
