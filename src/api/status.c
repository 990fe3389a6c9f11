#include "api/status.h"

#include <jansson.h>
#include "protocol/wire.h"

static json_t *class_counts(const struct rp_node *n) {
    json_t *classes = json_object();
    for (const struct rp_job *job = n->jobs.first; job; job = job->next) {
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
                    {"waiting", job->spec.n_tasks - job->n_done - job->n_counted},
                    {"placed", job->n_counted},
                    {"running", job->n_running}};
        for (size_t i = 0; i < sizeof adds / sizeof adds[0]; i++) {
            json_t *v = json_object_get(c, adds[i].name);
            json_integer_set(v, json_integer_value(v) + adds[i].more);
        }
    }
    return classes;
}

static json_t *machine_counts(const struct rp_node *n) {
    static const char *const states[] = {"booting", "unknown", "up", "lost", "returning"};
    int counts[5] = {0};
    json_t *v = json_object();
    for (const struct rp_machine *m = n->cluster.first; m; m = m->next)
        counts[m->state]++;
    for (int i = 0; i < 5; i++)
        json_object_set_new(v, states[i], json_integer(counts[i]));
    return v;
}

static json_t *service_counts(const struct rp_node *n) {
    const struct rp_services *s = &n->services;
    return json_pack(
        "{s:I,s:I,s:I,s:I,s:f,s:f,s:I,s:I}", "jobs", (json_int_t)n->jobs.n_services, "placed",
        (json_int_t)s->n_placed, "tasks_stopped_for_them", (json_int_t)s->n_made_room, "moved",
        (json_int_t)s->n_moved, "reserve_cpus", rp_services_reserve_cpus(s), "ready_cpus",
        n->at == RP_NODE_LEADING ? rp_services_ready_cpus(s) : 0.0, "direct",
        (json_int_t)n->workers.n_direct, "direct_unanswered", (json_int_t)n->workers.n_direct_lost);
}

/* What went beyond a fixed bound, was put off or left out, and logged. */
static unsigned long over_bounds(const struct rp_node *n) {
    return n->workers.n_over_bounds + n->round.n_over_bounds + n->jobs.n_over_bounds +
           n->catalog.n_left_out;
}

static json_t *plan_winners(const struct rp_node *n) {
    json_t *wins = json_object();
    for (size_t i = 0; i < n->settings->tuning.n_heuristics; i++)
        json_object_set_new(wins, n->settings->tuning.heuristics[i],
                            json_integer((json_int_t)n->round.wins[i]));
    return wins;
}

struct counter {
    const char *name;
    unsigned long value;
};

static void put_counters(json_t *v, const struct counter *counters, size_t n) {
    for (size_t i = 0; i < n; i++)
        json_object_set_new(v, counters[i].name, json_integer((json_int_t)counters[i].value));
}

/* Which node this is, which part it plays, and which version it is of. */
static json_t *identity(const struct rp_node *n) {
    static const char *const states[] = {"following", "recovering", "leading"};
    return json_pack("{s:s,s:s,s:i,s:s,s:s,s:s,s:I,s:b}", "node", n->settings->node, "version",
                     RP_VERSION, "format", RP_FORMAT, "upgrade", rp_upgrade_word(&n->upgrade),
                     "state", states[n->at], "leader", n->election.leader, "token",
                     (json_int_t)n->election.token, "lease_proven",
                     rp_election_valid(&n->election, rp_loop_now(n->loop)));
}

char *rp_status_json(const struct rp_node *n) {
    const struct counter counters[] = {
        {"nodes_known", n->upgrade.n_known},   {"state_too_fast", n->state.n_too_fast},
        {"state_too_large", n->state.n_bad},   {"state_shed", n->state.n_shed},
        {"unreadable", n->jobs.n_unreadable},  {"rounds", n->round.n_rounds},
        {"starts", n->workers.n_starts},       {"preempted", n->round.n_preempted},
        {"rented", n->fleet.n_rented},         {"refused", n->fleet.n_refused},
        {"returned", n->fleet.n_returned},     {"accepted", n->n_accepted},
        {"stale_reports", n->workers.n_stale}, {"over_bounds", over_bounds(n)}};
    json_t *v = identity(n);
    put_counters(v, counters, sizeof counters / sizeof counters[0]);
    json_object_set_new(v, "classes", class_counts(n));
    json_object_set_new(v, "machines", machine_counts(n));
    json_object_set_new(v, "plan_winners", plan_winners(n));
    json_object_set_new(v, "services", service_counts(n));
    json_object_set_new(v, "latencies", rp_metrics_json(&n->metrics));
    json_object_set_new(v, "standby", rp_standby_json(&n->standby));
    char *text = json_dumps(v, JSON_COMPACT);
    json_decref(v);
    return text;
}
