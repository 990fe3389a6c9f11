#include "api/status.h"

#include <jansson.h>
#include "protocol/json_text.h"
#include "scheduler/service_headroom.h"

#define N_OF(array) (sizeof(array) / sizeof((array)[0]))

/* A field of the status and its value. */
struct counter {
    const char *name;
    unsigned long value;
};

static void set_counters(json_t *object, const struct counter *counters, size_t n) {
    for (size_t i = 0; i < n; i++)
        json_object_set_new(object, counters[i].name, json_integer((json_int_t)counters[i].value));
}

static void add_counters(json_t *object, const struct counter *counters, size_t n) {
    for (size_t i = 0; i < n; i++) {
        json_t *sum = json_object_get(object, counters[i].name);
        json_integer_set(sum, json_integer_value(sum) + (json_int_t)counters[i].value);
    }
}

/* The node's name, version, state and leadership. */
static json_t *identity(const struct rp_status_sources *sources) {
    const struct rp_election *election = sources->election;
    bool is_valid = rp_election_is_valid(election, rp_loop_now(sources->loop));
    return json_pack("{s:s,s:s,s:i,s:s,s:s,s:s,s:o,s:b}", "node", sources->settings->node,
                     "version", RP_VERSION, "format", RP_FORMAT, "upgrade",
                     rp_upgrade_state_name(sources->upgrade), "state", sources->node_state,
                     "leader", election->leader, "token",
                     rp_json_from_count(election->fencing_token), "lease_proven", is_valid);
}

/* The number of logged events in which something exceeded a fixed bound and was deferred or left
 * out. */
static unsigned long n_over_bounds(const struct rp_status_sources *sources) {
    return sources->workers->context.counters.n_unknown_tasks_over_limit +
           sources->scheduler->n_over_bounds + sources->jobs->run_time_estimator.n_unclassified +
           sources->catalog->n_left_out;
}

static void set_node_counters(json_t *object, const struct rp_status_sources *sources) {
    const struct rp_worker_counters *worker_counters = &sources->workers->context.counters;
    const struct counter counters[] = {
        {"nodes_known", sources->upgrade->n_nodes_announced},
        {"state_too_fast", sources->store->n_rate_limited},
        {"state_too_large", sources->store->n_rejected},
        {"state_shed", sources->store->n_shed},
        {"unreadable", sources->jobs->record_reader.n_unreadable},
        {"rounds", sources->scheduler->n_cycles},
        {"starts", worker_counters->n_starts},
        {"preempted", sources->scheduler->n_preempted},
        {"rented", sources->fleet->provisioning.n_provisioned},
        {"refused", sources->fleet->provisioning.refusals.n_refused},
        {"returned", sources->fleet->release.n_released},
        {"accepted", sources->api->n_accepted},
        {"undetermined", sources->api->n_undetermined},
        {"undetermined_jobs", sources->cluster->n_phase_gaps},
        {"undetermined_longest_s", (unsigned long)sources->cluster->longest_phase_gap_s},
        {"phase_probes", sources->phase_probes->n_sent},
        {"rule_violations", sources->api->n_rule_violations},
        {"stale_reports", worker_counters->n_stale_heartbeats},
        {"over_bounds", n_over_bounds(sources)}};
    set_counters(object, counters, N_OF(counters));
}

/* The counters of a class; added, all zero, for its first job. */
static json_t *class_entry(json_t *classes, const char *name) {
    static const struct counter zeros[] = {
        {"jobs", 0}, {"waiting", 0}, {"placed", 0}, {"running", 0}};
    json_t *entry = json_object_get(classes, name);
    if (entry)
        return entry;
    entry = json_object();
    set_counters(entry, zeros, N_OF(zeros));
    json_object_set_new(classes, name, entry);
    return entry;
}

static json_t *class_counts(const struct rp_status_sources *sources) {
    json_t *classes = json_object();
    for (const struct rp_job *job = sources->jobs->table.first; job; job = job->next) {
        /* A closed job remains in the table while machines still list tasks of it. */
        if (job->state == RP_JOB_CLOSED)
            continue;
        const struct counter counters[] = {
            {"jobs", 1},
            {"waiting", job->spec.n_tasks - job->n_done - job->n_allocated},
            {"placed", job->n_allocated},
            {"running", job->n_running}};
        add_counters(class_entry(classes, job->spec.class_name), counters, N_OF(counters));
    }
    return classes;
}

static json_t *machine_counts(const struct rp_status_sources *sources) {
    struct counter counters[] = {[RP_MACHINE_BOOTING] = {"booting", 0},
                                 [RP_MACHINE_UNRECONCILED] = {"unknown", 0},
                                 [RP_MACHINE_UP] = {"up", 0},
                                 [RP_MACHINE_LOST] = {"lost", 0},
                                 [RP_MACHINE_RELEASING] = {"returning", 0}};
    json_t *object = json_object();
    for (const struct rp_machine *machine = sources->cluster->first; machine;
         machine = machine->next)
        counters[rp_machine_is_releasing(machine) ? RP_MACHINE_RELEASING : machine->state].value++;
    set_counters(object, counters, N_OF(counters));
    return object;
}

static json_t *plan_winners(const struct rp_status_sources *sources) {
    const struct rp_tuning *tuning = &sources->settings->tuning;
    json_t *wins = json_object();
    for (size_t i = 0; i < tuning->n_heuristics; i++)
        json_object_set_new(wins, tuning->heuristics[i],
                            json_integer((json_int_t)sources->scheduler->n_wins[i]));
    return wins;
}

static json_t *service_counts(const struct rp_status_sources *sources) {
    const struct rp_services *services = sources->services;
    const struct rp_worker_counters *worker_counters = &sources->workers->context.counters;
    const struct counter placements[] = {{"jobs", sources->jobs->table.n_services},
                                         {"placed", services->n_placed},
                                         {"tasks_stopped_for_them", services->n_preempted},
                                         {"moved", services->n_moved}};
    const struct counter commands[] = {{"direct", worker_counters->n_direct_commands},
                                       {"direct_unanswered", worker_counters->n_direct_unanswered}};
    double ready_cpus = sources->is_leading ? rp_service_headroom_ready_cpus(services) : 0.0;
    json_t *object = json_object();
    set_counters(object, placements, N_OF(placements));
    json_object_set_new(object, "reserve_cpus",
                        json_real(rp_service_headroom_target_cpus(services)));
    json_object_set_new(object, "ready_cpus", json_real(ready_cpus));
    set_counters(object, commands, N_OF(commands));
    return object;
}

char *rp_status_json(const struct rp_status_sources *sources) {
    json_t *object = identity(sources);
    set_node_counters(object, sources);
    json_object_set_new(object, "classes", class_counts(sources));
    json_object_set_new(object, "machines", machine_counts(sources));
    json_object_set_new(object, "plan_winners", plan_winners(sources));
    json_object_set_new(object, "services", service_counts(sources));
    json_object_set_new(object, "latencies", rp_metrics_json(sources->metrics));
    json_object_set_new(object, "standby", rp_standby_json(sources->standby));
    char *text = rp_json_write(object);
    json_decref(object);
    return text;
}
