#include "config/settings.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "operator.pb-c.h"
#include "scheduler/planner.h"
#include "config/text_format.h"

/* Workers drop a report's answer after this long. */
#define LATE_COMMANDS_S 4.0
#define LEASE_DRIFT 1.002 /* four times what clocks may drift */
/* The news of a leader whose watch is sound are never older than its hold and an answer's time. */
#define NEWS_WAIT_S 4.5

struct reading {
    const char *file;
    FILE *errors;
    int mistakes;
};

static void mistake(struct reading *r, const char *path, const char *what) {
    fprintf(r->errors, "%s: %s: %s\n", r->file, path, what);
    r->mistakes++;
}

static void join(char *out, size_t size, const char *path, const char *name) {
    snprintf(out, size, "%s%s%s", path, *path ? "." : "", name);
}

static json_t *need(struct reading *r, json_t *in, const char *path, const char *name,
                    json_type type) {
    static const char *const names[] = {"an object", "an array", "a string", "a whole number",
                                        "a number",  "true",     "false",    "null"};
    char full[256], text[64];
    json_t *v = json_object_get(in, name);
    join(full, sizeof full, path, name);
    if (v && (json_typeof(v) == type || (type == JSON_REAL && json_is_number(v))))
        return v;
    if (v)
        snprintf(text, sizeof text, "must be %s", names[type]);
    mistake(r, full, v ? text : "is missing");
    return NULL;
}

static void need_string(struct reading *r, json_t *in, const char *path, const char *name,
                        char *out, size_t size) {
    char full[256];
    json_t *v = need(r, in, path, name, JSON_STRING);
    const char *text = v ? json_string_value(v) : NULL;
    join(full, sizeof full, path, name);
    if (text && *text && strlen(text) < size)
        strcpy(out, text);
    else if (text)
        mistake(r, full, *text ? "is too long" : "is empty");
}

static double need_number(struct reading *r, json_t *in, const char *path, const char *name,
                          double min, double max) {
    char full[256], text[96];
    json_t *v = need(r, in, path, name, JSON_REAL);
    double number = v ? json_number_value(v) : min;
    if (v && (!isfinite(number) || number < min || number > max)) {
        join(full, sizeof full, path, name);
        snprintf(text, sizeof text, "must lie between %g and %g", min, max);
        mistake(r, full, text);
        number = min;
    }
    return number;
}

static void *need_list(struct reading *r, json_t *in, const char *path, const char *name,
                       size_t item, json_t **list, size_t *count) {
    *list = need(r, in, path, name, JSON_ARRAY);
    *count = json_array_size(*list);
    return *count ? calloc(*count, item) : NULL;
}

static void read_peers(struct reading *r, json_t *root, struct rp_settings *s) {
    json_t *list;
    s->peers = need_list(r, root, "", "seeds", sizeof *s->peers, &list, &s->n_peers);
    for (size_t i = 0; i < s->n_peers; i++) {
        char path[64];
        json_t *p = json_array_get(list, i);
        snprintf(path, sizeof path, "seeds[%zu]", i);
        need_string(r, p, path, "node_name", s->peers[i].name, RP_NAME_MAX);
        need_string(r, p, path, "location", s->peers[i].zone, RP_NAME_MAX);
        need_string(r, p, path, "addr", s->peers[i].addr, RP_ADDR_MAX);
    }
}

static void read_zones(struct reading *r, json_t *params, struct rp_settings *s) {
    json_t *list;
    s->zones = need_list(r, params, "params", "zones", sizeof *s->zones, &list, &s->n_zones);
    for (size_t i = 0; i < s->n_zones; i++) {
        const char *zone = json_string_value(json_array_get(list, i));
        if (zone && *zone && strlen(zone) < RP_NAME_MAX)
            strcpy(s->zones[i], zone);
        else
            mistake(r, "params.zones", "must hold zone names");
    }
}

static void read_teams(struct reading *r, json_t *params, struct rp_settings *s) {
    json_t *list;
    s->teams = need_list(r, params, "params", "teams", sizeof *s->teams, &list, &s->n_teams);
    for (size_t i = 0; i < s->n_teams; i++) {
        char path[64];
        json_t *t = json_array_get(list, i);
        struct rp_team *team = &s->teams[i];
        snprintf(path, sizeof path, "params.teams[%zu]", i);
        need_string(r, t, path, "name", team->name, RP_NAME_MAX);
        team->cpus = need_number(r, t, path, "cpus", 0, 1e9);
        team->cpus_max = need_number(r, t, path, "cpus_max", 0, 1e9);
        team->gpus = need_number(r, t, path, "gpus", 0, 1e9);
        team->gpus_max = need_number(r, t, path, "gpus_max", 0, 1e9);
    }
}

static enum rp_objective_kind objective_kind(const char *name) {
    if (name && strcmp(name, "wait") == 0)
        return RP_AIM_WAIT;
    if (name && strcmp(name, "finished") == 0)
        return RP_AIM_FINISHED;
    if (name && strcmp(name, "deadline") == 0)
        return RP_AIM_DEADLINE;
    return RP_AIM_OTHER;
}

/* Aims guide the choice of order only, so an aim that this version does not know is passed over. */
static void read_objectives(json_t *params, struct rp_settings *s) {
    json_t *list = json_object_get(params, "objectives");
    size_t n = json_array_size(list);
    s->objectives = n ? calloc(n, sizeof *s->objectives) : NULL;
    for (size_t i = 0; s->objectives && i < n; i++) {
        json_t *o = json_array_get(list, i);
        struct rp_objective *aim = &s->objectives[s->n_objectives];
        const char *class_name = json_string_value(json_object_get(o, "class"));
        aim->kind = objective_kind(json_string_value(json_object_get(o, "kind")));
        if (aim->kind == RP_AIM_OTHER || !class_name || strlen(class_name) >= RP_NAME_MAX)
            continue;
        strcpy(aim->class_name, class_name);
        aim->within_s = json_number_value(json_object_get(o, "within_s"));
        aim->share = json_number_value(json_object_get(o, "share"));
        aim->times = json_number_value(json_object_get(o, "times"));
        s->n_objectives++;
    }
}

/* `needed`: all of them; else what is absent stays as it is. */
static void read_limits(struct reading *r, json_t *in, const char *path, bool needed,
                        struct rp_state_limits *out) {
    if (needed || json_object_get(in, "rps"))
        out->rps = need_number(r, in, path, "rps", 1, 1e6);
    if (needed || json_object_get(in, "write_rps"))
        out->write_rps = need_number(r, in, path, "write_rps", 1, 1e6);
    if (needed || json_object_get(in, "value_kb"))
        out->value_kb = need_number(r, in, path, "value_kb", 1, 1e6);
    if (needed || json_object_get(in, "txn_ops"))
        out->txn_ops = (size_t)need_number(r, in, path, "txn_ops", 2, 1e6);
}

/* Limits that come at some moment, unannounced: from the activation on everything fits both. */
static void read_state(struct reading *r, json_t *state, struct rp_settings *s) {
    json_t *next = json_object_get(state, "next");
    read_limits(r, state, "params.state", true, &s->state);
    struct rp_state_limits later = s->state;
    if (next && !json_is_null(next) && !json_is_object(next))
        mistake(r, "params.state.next", "must be an object");
    else if (json_is_object(next))
        read_limits(r, next, "params.state.next", false, &later);
    s->state_fit = (struct rp_state_limits){
        .rps = fmin(s->state.rps, later.rps),
        .write_rps = fmin(s->state.write_rps, later.write_rps),
        .value_kb = fmin(s->state.value_kb, later.value_kb),
        .txn_ops = s->state.txn_ops < later.txn_ops ? s->state.txn_ops : later.txn_ops};
}

static void read_params(struct reading *r, json_t *params, struct rp_settings *s) {
    json_t *workers = need(r, params, "params", "workers", JSON_OBJECT);
    json_t *state = need(r, params, "params", "state", JSON_OBJECT);
    json_t *cloud = need(r, params, "params", "cloud", JSON_OBJECT);
    json_t *limits = need(r, params, "params", "machine_limits", JSON_OBJECT);
    s->n_nodes = (size_t)need_number(r, params, "params", "nodes", 1, 1000);
    read_zones(r, params, s);
    read_teams(r, params, s);
    read_objectives(params, s);
    s->report_s = need_number(r, workers, "params.workers", "report_s", 0.01, 3600);
    s->lease_s = need_number(r, workers, "params.workers", "lease_s", 0.1, 86400);
    s->gang_wait_s = need_number(r, workers, "params.workers", "gang_wait_s", 0, 86400);
    s->gang_peer_s = need_number(r, workers, "params.workers", "gang_peer_s", 0, 86400);
    s->cancel_s = need_number(r, workers, "params.workers", "cancel_s", 0, 86400);
    read_state(r, state, s);
    s->cloud_rps = need_number(r, cloud, "params.cloud", "rps", 0.01, 1e6);
    s->list_lag_s = need_number(r, cloud, "params.cloud", "list_lag_s", 0, 3600);
    s->cpu_share = need_number(r, limits, "params.machine_limits", "cpu_share", 0.001, 1e6);
    s->memory_mb = need_number(r, limits, "params.machine_limits", "mem_mb", 8, 1e9);
    s->max_connections =
        (size_t)need_number(r, limits, "params.machine_limits", "max_connections", 32, 1e9);
}

int rp_settings_parse(struct rp_settings *s, const char *text, const char *file, FILE *errors) {
    struct reading r = {.file = file, .errors = errors};
    json_error_t error;
    memset(s, 0, sizeof *s);
    rp_tuning_defaults(&s->tuning);
    json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);
    if (!json_is_object(root)) {
        fprintf(errors, "%s:%d:%d: %s\n", file, root ? 1 : error.line, root ? 1 : error.column,
                root ? "not a JSON object" : error.text);
        json_decref(root);
        return 1;
    }
    json_t *external = need(&r, root, "", "external", JSON_OBJECT);
    json_t *params = need(&r, root, "", "params", JSON_OBJECT);
    need_string(&r, root, "", "node_name", s->node, RP_NAME_MAX);
    need_string(&r, root, "", "location", s->zone, RP_NAME_MAX);
    need_string(&r, root, "", "client_listen", s->client_listen, RP_ADDR_MAX);
    need_string(&r, root, "", "peer_listen", s->peer_listen, RP_ADDR_MAX);
    read_peers(&r, root, s);
    if (external) {
        need_string(&r, external, "external", "cloud", s->cloud_addr, RP_ADDR_MAX);
        need_string(&r, external, "external", "state", s->state_addr, RP_ADDR_MAX);
    }
    if (params)
        read_params(&r, params, s);
    json_decref(root);
    return r.mistakes;
}

void rp_settings_free(struct rp_settings *s) {
    free(s->peers);
    free(s->zones);
    free(s->teams);
    free(s->objectives);
    memset(s, 0, sizeof *s);
}

int rp_settings_team(const struct rp_settings *s, const char *name) {
    for (size_t i = 0; i < s->n_teams; i++)
        if (strcmp(s->teams[i].name, name) == 0)
            return (int)i;
    return -1;
}

void rp_tuning_defaults(struct rp_tuning *t) {
    static const char *const heuristics[] = {"ESW-CP", "ESW-SM", "ESW-BF"};
    *t = (struct rp_tuning){.round_period_s = 10,
                            .billing_unit_s = 20,
                            .return_margin_s = 10,
                            .leader_ttl_s = 0, /* 0: chosen by rp_settings_complete */
                            .leader_check_s = 0.5,
                            .boot_patience = 3.5,
                            .refused_pause_s = 15,
                            .leader_write_share = 0.6,
                            .faulty_after = 2,
                            .preemption = true,
                            .keep_old_forms = false,
                            .service_reserve = 1,
                            .suspect_after_s = 2.75};
    const size_t n = sizeof heuristics / sizeof heuristics[0];
    for (size_t i = 0; i < n; i++)
        strcpy(t->heuristics[i], heuristics[i]);
    t->n_heuristics = n;
}

/* A leader may stand still for two seconds, and its answer be under way, without losing its term.
 */
#define SUSPECT_LEAST_S 2.5

struct range {
    const char *name;
    double value, min, max;
};

static int check_ranges(const struct range *ranges, size_t n, const char *file, FILE *errors) {
    int mistakes = 0;
    for (size_t i = 0; i < n; i++) {
        const struct range *r = &ranges[i];
        if (r->value >= r->min && r->value <= r->max)
            continue;
        fprintf(errors, "%s: %s: must lie between %g and %g\n", file, r->name, r->min, r->max);
        mistakes++;
    }
    return mistakes;
}

static int take_heuristics(struct rp_tuning *t, const Ridgepulley__OperatorSettings *m,
                           const char *file, FILE *errors) {
    int mistakes = 0;
    if (m->n_heuristic == 0)
        return 0;
    if (m->n_heuristic > RP_HEURISTICS_MAX) {
        fprintf(errors, "%s: heuristic: at most %d\n", file, RP_HEURISTICS_MAX);
        return 1;
    }
    t->n_heuristics = 0;
    for (size_t i = 0; i < m->n_heuristic; i++) {
        struct rp_heuristic h;
        if (!rp_heuristic_named(m->heuristic[i], &h)) {
            fprintf(errors, "%s: heuristic: '%s' is not known\n", file, m->heuristic[i]);
            mistakes++;
            continue;
        }
        snprintf(t->heuristics[t->n_heuristics++], sizeof t->heuristics[0], "%s", m->heuristic[i]);
    }
    return mistakes;
}

int rp_tuning_parse(struct rp_tuning *t, const char *text, const char *file, FILE *errors) {
    Ridgepulley__OperatorSettings *m = malloc(sizeof *m);
    struct rp_text_error error;
    int mistakes = 0;
    if (!m)
        return 1;
    ridgepulley__operator_settings__init(m);
    if (rp_text_read(text, &m->base, &error) < 0) {
        fprintf(errors, "%s:%d:%d: %s\n", file, error.line, error.column, error.text);
        mistakes = 1;
        goto out;
    }
#define TAKE(field)                                                                                \
    if (m->has_##field)                                                                            \
    t->field = m->field
    TAKE(round_period_s);
    TAKE(billing_unit_s);
    TAKE(return_margin_s);
    TAKE(leader_ttl_s);
    TAKE(leader_check_s);
    TAKE(boot_patience);
    TAKE(refused_pause_s);
    TAKE(leader_write_share);
    TAKE(faulty_after);
    TAKE(preemption);
    TAKE(keep_old_forms);
    TAKE(service_reserve);
    TAKE(standby);
    TAKE(suspect_after_s);
#undef TAKE
    mistakes += take_heuristics(t, m, file, errors);
    const struct range ranges[] = {
        {"round_period_s", t->round_period_s, 0.5, 60},
        {"billing_unit_s", t->billing_unit_s, 1, 86400},
        {"return_margin_s", t->return_margin_s, 0, 3600},
        {"leader_ttl_s", m->has_leader_ttl_s ? t->leader_ttl_s : 1, 1, 600},
        {"leader_check_s", t->leader_check_s, 0.1, 10},
        {"boot_patience", t->boot_patience, 1, 100},
        {"refused_pause_s", t->refused_pause_s, 0, 3600},
        {"leader_write_share", t->leader_write_share, 0.1, 0.9},
        {"faulty_after", t->faulty_after, 1, 1000},
        {"service_reserve", t->service_reserve, 0, 100},
        {"suspect_after_s", t->suspect_after_s, SUSPECT_LEAST_S, 60}};
    mistakes += check_ranges(ranges, sizeof ranges / sizeof ranges[0], file, errors);
out:
    protobuf_c_message_free_unpacked(&m->base, NULL);
    return mistakes;
}

/* A cancellation is confirmed by any node. A leader that can't hear of it (the state service
 * refuses it alone, then there is an outage in which nobody can take over) renews the leases of the
 * cancelled tasks for so long at the most; what it renewed last ends lease_s later, and that is
 * within cancel_s of the confirmation. Longer than the leader's own lease isn't needed. */
double rp_settings_news_s(const struct rp_settings *s) {
    double most = s->cancel_s - s->lease_s * LEASE_DRIFT - LATE_COMMANDS_S;
    return fmin(s->tuning.leader_ttl_s + NEWS_WAIT_S, most);
}

void rp_settings_complete(struct rp_settings *s) {
    struct rp_tuning *t = &s->tuning;
    if (t->leader_ttl_s > 0)
        return;
    /* Long, since a leader that can't renew must stop answering workers, and an outage of the
     * state service must not cost their leases; but never so long that a change of leader would
     * endanger the leases, or a cancellation's time. */
    double most = fmin(0.72 * s->lease_s, 0.9 * (s->cancel_s - s->lease_s - LATE_COMMANDS_S));
    t->leader_ttl_s = fmax(1, fmin(10, most));
}

int rp_settings_check(const struct rp_settings *s, FILE *errors) {
    const struct rp_tuning *t = &s->tuning;
    int mistakes = 0;
    if (t->return_margin_s >= t->billing_unit_s) {
        fprintf(errors, "return_margin_s must be below billing_unit_s\n");
        mistakes++;
    }
    if (t->leader_check_s >= t->leader_ttl_s) {
        fprintf(errors, "leader_check_s must be below leader_ttl_s\n");
        mistakes++;
    }
    if (t->leader_ttl_s >= s->lease_s) {
        fprintf(errors, "leader_ttl_s must be below the workers' lease_s (%g)\n", s->lease_s);
        mistakes++;
    }
    /* A cancelled task on a machine that can't be reached ends only with the machine's lease. */
    if (rp_settings_news_s(s) <= t->leader_ttl_s) {
        fprintf(errors,
                "cancel_s (%g) must exceed lease_s + leader_ttl_s + 4 s, or a cancellation can't "
                "be kept through a change of leader\n",
                s->cancel_s);
        mistakes++;
    }
    return mistakes;
}
