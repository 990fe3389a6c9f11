#include "api/status.h"

#include <jansson.h>
#include "protocol/wire.h"
#include "scheduler/service_headroom.h"

static json_t *class_counts(const struct rp_status_sources *sources) {
    json_t *classes = json_object();
    for (const struct rp_job *job = sources->jobs->table.first; job; job = job->next) {
        /* What is over stays in the table while machines still list some of it. */
        if (job->state == RP_JOB_CLOSED)
            continue;
        json_t *c = json_object_get(classes, job->spec.class_name);
        if (!c) {
            c = json_pack("{s:i,s:i,s:i,s:i}", "jobs", 0, "waiting", 0, "placed", 0, "running", 0);
            json_object_set_new(classes, job->spec.class_name, c);
        }
        const struct {
            const char *name;
            json_int_t more;
        } adds[] = {{"jobs", 1},
                    {"waiting", job->spec.n_tasks - job->n_done - job->n_allocated},
                    {"placed", job->n_allocated},
                    {"running", job->n_running}};
        for (size_t i = 0; i < sizeof adds / sizeof adds[0]; i++) {
            json_t *value = json_object_get(c, adds[i].name);
            json_integer_set(value, json_integer_value(value) + adds[i].more);
        }
    }
    return classes;
}

static json_t *machine_counts(const struct rp_status_sources *sources) {
    static const char *const states[] = {"booting", "unknown", "up", "lost", "returning"};
    int counts[5] = {0};
    json_t *value = json_object();
    for (const struct rp_machine *machine = sources->cluster->first; machine;
         machine = machine->next)
        counts[machine->state]++;
    for (int i = 0; i < 5; i++)
        json_object_set_new(value, states[i], json_integer(counts[i]));
    return value;
}

static json_t *service_counts(const struct rp_status_sources *sources) {
    const struct rp_services *services = sources->services;
    return json_pack("{s:I,s:I,s:I,s:I,s:f,s:f,s:I,s:I}", "jobs",
                     (json_int_t)sources->jobs->table.n_services, "placed",
                     (json_int_t)services->n_placed, "tasks_stopped_for_them",
                     (json_int_t)services->n_preempted, "moved", (json_int_t)services->n_moved,
                     "reserve_cpus", rp_service_headroom_wanted_cpus(services), "ready_cpus",
                     sources->leading ? rp_service_headroom_ready_cpus(services) : 0.0, "direct",
                     (json_int_t)sources->workers->n_direct, "direct_unanswered",
                     (json_int_t)sources->workers->n_direct_lost);
}

/* What went beyond a fixed bound, was put off or left out, and logged. */
static unsigned long over_bounds(const struct rp_status_sources *sources) {
    return sources->workers->n_over_bounds + sources->scheduler->n_over_bounds +
           sources->jobs->run_time_estimator.n_unclassified + sources->catalog->n_left_out;
}

static json_t *plan_winners(const struct rp_status_sources *sources) {
    json_t *wins = json_object();
    for (size_t i = 0; i < sources->settings->tuning.n_heuristics; i++)
        json_object_set_new(wins, sources->settings->tuning.heuristics[i],
                            json_integer((json_int_t)sources->scheduler->wins[i]));
    return wins;
}

struct counter {
    const char *name;
    unsigned long value;
};

static void put_counters(json_t *value, const struct counter *counters, size_t n) {
    for (size_t i = 0; i < n; i++)
        json_object_set_new(value, counters[i].name, json_integer((json_int_t)counters[i].value));
}

/* Which node this is, which part it plays, and which version it is of. */
static json_t *identity(const struct rp_status_sources *sources) {
    return json_pack("{s:s,s:s,s:i,s:s,s:s,s:s,s:I,s:b}", "node", sources->settings->node,
                     "version", RP_VERSION, "format", RP_FORMAT, "upgrade",
                     rp_upgrade_state_name(sources->upgrade), "state", sources->node_state,
                     "leader", sources->election->leader, "token",
                     (json_int_t)sources->election->fencing_token, "lease_proven",
                     rp_election_is_valid(sources->election, rp_loop_now(sources->loop)));
}

char *rp_status_json(const struct rp_status_sources *sources) {
    const struct counter counters[] = {{"nodes_known", sources->upgrade->n_known},
                                       {"state_too_fast", sources->store->n_too_fast},
                                       {"state_too_large", sources->store->n_bad},
                                       {"state_shed", sources->store->n_shed},
                                       {"unreadable", sources->jobs->record_reader.n_unreadable},
                                       {"rounds", sources->scheduler->n_cycles},
                                       {"starts", sources->workers->n_starts},
                                       {"preempted", sources->scheduler->n_preempted},
                                       {"rented", sources->fleet->n_provisioned},
                                       {"refused", sources->fleet->n_refused},
                                       {"returned", sources->fleet->n_released},
                                       {"accepted", sources->api->n_accepted},
                                       {"stale_reports", sources->workers->n_stale},
                                       {"over_bounds", over_bounds(sources)}};
    json_t *value = identity(sources);
    put_counters(value, counters, sizeof counters / sizeof counters[0]);
    json_object_set_new(value, "classes", class_counts(sources));
    json_object_set_new(value, "machines", machine_counts(sources));
    json_object_set_new(value, "plan_winners", plan_winners(sources));
    json_object_set_new(value, "services", service_counts(sources));
    json_object_set_new(value, "latencies", rp_metrics_json(sources->metrics));
    json_object_set_new(value, "standby", rp_standby_json(sources->standby));
    char *text = json_dumps(value, JSON_COMPACT);
    json_decref(value);
    return text;
}
