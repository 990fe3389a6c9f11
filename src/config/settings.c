#include "config/settings.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/string_copy.h"
#include "config/text_format.h"
#include "model/heuristic.h"
#include "operator.pb-c.h"

/* Workers drop a report's answer after this long. */
#define LATE_COMMANDS_S 4.0
#define LEASE_DRIFT 1.002 /* four times what clocks may drift */
#define LEASE_MARGIN_S 0.25
/* The news of a leader whose watch is sound are never older than its hold and an answer's time. */
#define NEWS_WAIT_S 4.5

struct reading {
    const char *file;
    FILE *errors;
    int mistakes;
};

static void mistake(struct reading *reader, const char *path, const char *what) {
    fprintf(reader->errors, "%s: %s: %s\n", reader->file, path, what);
    reader->mistakes++;
}

static void join(char *out, size_t size, const char *path, const char *name) {
    snprintf(out, size, "%s%s%s", path, *path ? "." : "", name);
}

static json_t *need(struct reading *reader, json_t *object, const char *path, const char *name,
                    json_type type) {
    static const char *const names[] = {"an object", "an array", "a string", "a whole number",
                                        "a number",  "true",     "false",    "null"};
    char full[256], text[64];
    json_t *value = json_object_get(object, name);
    join(full, sizeof full, path, name);
    if (value && (json_typeof(value) == type || (type == JSON_REAL && json_is_number(value))))
        return value;
    if (value)
        snprintf(text, sizeof text, "must be %s", names[type]);
    mistake(reader, full, value ? text : "is missing");
    return NULL;
}

static void need_string(struct reading *reader, json_t *object, const char *path, const char *name,
                        char *out, size_t size) {
    char full[256];
    json_t *value = need(reader, object, path, name, JSON_STRING);
    const char *text = value ? json_string_value(value) : NULL;
    join(full, sizeof full, path, name);
    if (text && *text && strlen(text) < size)
        strcpy(out, text);
    else if (text)
        mistake(reader, full, *text ? "is too long" : "is empty");
}

static double need_number(struct reading *reader, json_t *object, const char *path,
                          const char *name, double min, double max) {
    char full[256], text[96];
    json_t *value = need(reader, object, path, name, JSON_REAL);
    double number = value ? json_number_value(value) : min;
    if (value && (!isfinite(number) || number < min || number > max)) {
        join(full, sizeof full, path, name);
        snprintf(text, sizeof text, "must lie between %g and %g", min, max);
        mistake(reader, full, text);
        number = min;
    }
    return number;
}

static void *need_list(struct reading *reader, json_t *object, const char *path, const char *name,
                       size_t item, json_t **list, size_t *count) {
    *list = need(reader, object, path, name, JSON_ARRAY);
    *count = json_array_size(*list);
    return *count ? calloc(*count, item) : NULL;
}

static void read_peers(struct reading *reader, json_t *root, struct rp_settings *settings) {
    json_t *list;
    settings->peers =
        need_list(reader, root, "", "seeds", sizeof *settings->peers, &list, &settings->n_peers);
    for (size_t i = 0; i < settings->n_peers; i++) {
        char path[64];
        json_t *p = json_array_get(list, i);
        snprintf(path, sizeof path, "seeds[%zu]", i);
        need_string(reader, p, path, "node_name", settings->peers[i].name, RP_NAME_MAX);
        need_string(reader, p, path, "location", settings->peers[i].zone, RP_NAME_MAX);
        need_string(reader, p, path, "addr", settings->peers[i].addr, RP_ADDR_MAX);
    }
}

static void read_zones(struct reading *reader, json_t *params, struct rp_settings *settings) {
    json_t *list;
    settings->zones = need_list(reader, params, "params", "zones", sizeof *settings->zones, &list,
                                &settings->n_zones);
    for (size_t i = 0; i < settings->n_zones; i++) {
        const char *zone = json_string_value(json_array_get(list, i));
        if (zone && *zone && strlen(zone) < RP_NAME_MAX)
            rp_string_copy(settings->zones[i], sizeof settings->zones[i], zone);
        else
            mistake(reader, "params.zones", "must hold zone names");
    }
}

static void read_teams(struct reading *reader, json_t *params, struct rp_settings *settings) {
    json_t *list;
    settings->teams = need_list(reader, params, "params", "teams", sizeof *settings->teams, &list,
                                &settings->n_teams);
    for (size_t i = 0; i < settings->n_teams; i++) {
        char path[64];
        json_t *t = json_array_get(list, i);
        struct rp_team *team = &settings->teams[i];
        snprintf(path, sizeof path, "params.teams[%zu]", i);
        need_string(reader, t, path, "name", team->name, RP_NAME_MAX);
        team->cpus = need_number(reader, t, path, "cpus", 0, 1e9);
        team->cpus_max = need_number(reader, t, path, "cpus_max", 0, 1e9);
        team->gpus = need_number(reader, t, path, "gpus", 0, 1e9);
        team->gpus_max = need_number(reader, t, path, "gpus_max", 0, 1e9);
    }
}

static enum rp_objective_kind objective_kind(const char *name) {
    if (name && strcmp(name, "wait") == 0)
        return RP_OBJECTIVE_WAIT;
    if (name && strcmp(name, "finished") == 0)
        return RP_OBJECTIVE_FINISHED;
    if (name && strcmp(name, "deadline") == 0)
        return RP_OBJECTIVE_DEADLINE;
    return RP_OBJECTIVE_OTHER;
}

/* Aims guide the choice of order only, so an aim that this version does not know is passed over. */
static void read_objectives(json_t *params, struct rp_settings *settings) {
    json_t *list = json_object_get(params, "objectives");
    size_t n = json_array_size(list);
    settings->objectives = n ? calloc(n, sizeof *settings->objectives) : NULL;
    for (size_t i = 0; settings->objectives && i < n; i++) {
        json_t *o = json_array_get(list, i);
        struct rp_objective *aim = &settings->objectives[settings->n_objectives];
        const char *class_name = json_string_value(json_object_get(o, "class"));
        aim->kind = objective_kind(json_string_value(json_object_get(o, "kind")));
        if (aim->kind == RP_OBJECTIVE_OTHER || !class_name || strlen(class_name) >= RP_NAME_MAX)
            continue;
        rp_string_copy(aim->class_name, sizeof aim->class_name, class_name);
        aim->within_s = json_number_value(json_object_get(o, "within_s"));
        aim->share = json_number_value(json_object_get(o, "share"));
        aim->times = json_number_value(json_object_get(o, "times"));
        settings->n_objectives++;
    }
}

/* `needed`: all of them; else what is absent stays as it is. */
static void read_limits(struct reading *reader, json_t *object, const char *path, bool needed,
                        struct rp_kv_limits *out) {
    if (needed || json_object_get(object, "rps"))
        out->rps = need_number(reader, object, path, "rps", 1, 1e6);
    if (needed || json_object_get(object, "write_rps"))
        out->write_rps = need_number(reader, object, path, "write_rps", 1, 1e6);
    if (needed || json_object_get(object, "value_kb"))
        out->value_kb = need_number(reader, object, path, "value_kb", 1, 1e6);
    if (needed || json_object_get(object, "txn_ops"))
        out->txn_ops = (size_t)need_number(reader, object, path, "txn_ops", 2, 1e6);
}

/* Limits that come at some moment, unannounced: from the activation on everything fits both. */
static void read_state(struct reading *reader, json_t *state, struct rp_settings *settings) {
    json_t *next = json_object_get(state, "next");
    read_limits(reader, state, "params.state", true, &settings->state);
    struct rp_kv_limits later = settings->state;
    if (next && !json_is_null(next) && !json_is_object(next))
        mistake(reader, "params.state.next", "must be an object");
    else if (json_is_object(next))
        read_limits(reader, next, "params.state.next", false, &later);
    settings->state_fit = (struct rp_kv_limits){
        .rps = fmin(settings->state.rps, later.rps),
        .write_rps = fmin(settings->state.write_rps, later.write_rps),
        .value_kb = fmin(settings->state.value_kb, later.value_kb),
        .txn_ops =
            settings->state.txn_ops < later.txn_ops ? settings->state.txn_ops : later.txn_ops};
}

static void read_params(struct reading *reader, json_t *params, struct rp_settings *settings) {
    json_t *workers = need(reader, params, "params", "workers", JSON_OBJECT);
    json_t *state = need(reader, params, "params", "state", JSON_OBJECT);
    json_t *cloud = need(reader, params, "params", "cloud", JSON_OBJECT);
    json_t *limits = need(reader, params, "params", "machine_limits", JSON_OBJECT);
    settings->n_nodes = (size_t)need_number(reader, params, "params", "nodes", 1, 1000);
    read_zones(reader, params, settings);
    read_teams(reader, params, settings);
    read_objectives(params, settings);
    settings->report_s = need_number(reader, workers, "params.workers", "report_s", 0.01, 3600);
    settings->lease_s = need_number(reader, workers, "params.workers", "lease_s", 0.1, 86400);
    settings->gang_wait_s = need_number(reader, workers, "params.workers", "gang_wait_s", 0, 86400);
    settings->gang_peer_s = need_number(reader, workers, "params.workers", "gang_peer_s", 0, 86400);
    settings->cancel_s = need_number(reader, workers, "params.workers", "cancel_s", 0, 86400);
    read_state(reader, state, settings);
    settings->cloud_rps = need_number(reader, cloud, "params.cloud", "rps", 0.01, 1e6);
    settings->list_lag_s = need_number(reader, cloud, "params.cloud", "list_lag_s", 0, 3600);
    settings->cpu_share =
        need_number(reader, limits, "params.machine_limits", "cpu_share", 0.001, 1e6);
    settings->memory_mb = need_number(reader, limits, "params.machine_limits", "mem_mb", 8, 1e9);
    settings->max_connections =
        (size_t)need_number(reader, limits, "params.machine_limits", "max_connections", 32, 1e9);
}

int rp_settings_parse(struct rp_settings *settings, const char *text, const char *file,
                      FILE *errors) {
    struct reading reader = {.file = file, .errors = errors};
    json_error_t error;
    memset(settings, 0, sizeof *settings);
    rp_tuning_defaults(&settings->tuning);
    json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);
    if (!json_is_object(root)) {
        fprintf(errors, "%s:%d:%d: %s\n", file, root ? 1 : error.line, root ? 1 : error.column,
                root ? "not a JSON object" : error.text);
        json_decref(root);
        return 1;
    }
    json_t *external = need(&reader, root, "", "external", JSON_OBJECT);
    json_t *params = need(&reader, root, "", "params", JSON_OBJECT);
    need_string(&reader, root, "", "node_name", settings->node, RP_NAME_MAX);
    need_string(&reader, root, "", "location", settings->zone, RP_NAME_MAX);
    need_string(&reader, root, "", "client_listen", settings->client_listen, RP_ADDR_MAX);
    need_string(&reader, root, "", "peer_listen", settings->peer_listen, RP_ADDR_MAX);
    read_peers(&reader, root, settings);
    if (external) {
        need_string(&reader, external, "external", "cloud", settings->cloud_addr, RP_ADDR_MAX);
        need_string(&reader, external, "external", "state", settings->state_addr, RP_ADDR_MAX);
    }
    if (params)
        read_params(&reader, params, settings);
    json_decref(root);
    return reader.mistakes;
}

void rp_settings_free(struct rp_settings *settings) {
    free(settings->peers);
    free(settings->zones);
    free(settings->teams);
    free(settings->objectives);
    memset(settings, 0, sizeof *settings);
}

int rp_settings_team(const struct rp_settings *settings, const char *name) {
    for (size_t i = 0; i < settings->n_teams; i++)
        if (strcmp(settings->teams[i].name, name) == 0)
            return (int)i;
    return -1;
}

void rp_tuning_defaults(struct rp_tuning *tuning) {
    static const char *const heuristics[] = {"ESW-CP", "ESW-SM", "ESW-BF"};
    *tuning = (struct rp_tuning){.round_period_s = 10,
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
        rp_string_copy(tuning->heuristics[i], sizeof tuning->heuristics[i], heuristics[i]);
    tuning->n_heuristics = n;
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
        const struct range *range = &ranges[i];
        if (range->value >= range->min && range->value <= range->max)
            continue;
        fprintf(errors, "%s: %s: must lie between %g and %g\n", file, range->name, range->min,
                range->max);
        mistakes++;
    }
    return mistakes;
}

static int take_heuristics(struct rp_tuning *tuning, const Ridgepulley__OperatorSettings *message,
                           const char *file, FILE *errors) {
    int mistakes = 0;
    if (message->n_heuristic == 0)
        return 0;
    if (message->n_heuristic > RP_HEURISTICS_MAX) {
        fprintf(errors, "%s: heuristic: at most %d\n", file, RP_HEURISTICS_MAX);
        return 1;
    }
    tuning->n_heuristics = 0;
    for (size_t i = 0; i < message->n_heuristic; i++) {
        struct rp_heuristic h;
        if (!rp_heuristic_named(message->heuristic[i], &h)) {
            fprintf(errors, "%s: heuristic: '%s' is not known\n", file, message->heuristic[i]);
            mistakes++;
            continue;
        }
        snprintf(tuning->heuristics[tuning->n_heuristics++], sizeof tuning->heuristics[0], "%s",
                 message->heuristic[i]);
    }
    return mistakes;
}

int rp_tuning_parse(struct rp_tuning *tuning, const char *text, const char *file, FILE *errors) {
    Ridgepulley__OperatorSettings *message = malloc(sizeof *message);
    struct rp_text_error error;
    int mistakes = 0;
    if (!message)
        return 1;
    ridgepulley__operator_settings__init(message);
    if (rp_text_read(text, &message->base, &error) < 0) {
        fprintf(errors, "%s:%d:%d: %s\n", file, error.line, error.column, error.text);
        mistakes = 1;
        goto out;
    }
#define TAKE(field)                                                                                \
    if (message->has_##field)                                                                      \
    tuning->field = message->field
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
    mistakes += take_heuristics(tuning, message, file, errors);
    const struct range ranges[] = {
        {"round_period_s", tuning->round_period_s, 0.5, 60},
        {"billing_unit_s", tuning->billing_unit_s, 1, 86400},
        {"return_margin_s", tuning->return_margin_s, 0, 3600},
        {"leader_ttl_s", message->has_leader_ttl_s ? tuning->leader_ttl_s : 1, 1, 600},
        {"leader_check_s", tuning->leader_check_s, 0.1, 10},
        {"boot_patience", tuning->boot_patience, 1, 100},
        {"refused_pause_s", tuning->refused_pause_s, 0, 3600},
        {"leader_write_share", tuning->leader_write_share, 0.1, 0.9},
        {"faulty_after", tuning->faulty_after, 1, 1000},
        {"service_reserve", tuning->service_reserve, 0, 100},
        {"suspect_after_s", tuning->suspect_after_s, SUSPECT_LEAST_S, 60}};
    mistakes += check_ranges(ranges, sizeof ranges / sizeof ranges[0], file, errors);
out:
    protobuf_c_message_free_unpacked(&message->base, NULL);
    return mistakes;
}

/* A cancellation is confirmed by any node. A leader that can't hear of it (the state service
 * refuses it alone, then there is an outage in which nobody can take over) renews the leases of the
 * cancelled tasks for so long at the most; what it renewed last ends lease_s later, and that is
 * within cancel_s of the confirmation. Longer than the leader's own lease isn't needed. */
double rp_settings_max_staleness_s(const struct rp_settings *settings) {
    double most = settings->cancel_s - settings->lease_s * LEASE_DRIFT - LATE_COMMANDS_S;
    return fmin(settings->tuning.leader_ttl_s + NEWS_WAIT_S, most);
}

void rp_settings_complete(struct rp_settings *settings) {
    struct rp_tuning *tuning = &settings->tuning;
    if (tuning->leader_ttl_s > 0)
        return;
    /* Long, since a leader that can't renew must stop answering workers, and an outage of the
     * state service must not cost their leases; but never so long that a change of leader would
     * endanger the leases, or a cancellation's time. */
    double most = fmin(0.72 * settings->lease_s,
                       0.9 * (settings->cancel_s - settings->lease_s - LATE_COMMANDS_S));
    tuning->leader_ttl_s = fmax(1, fmin(10, most));
}

int rp_settings_check(const struct rp_settings *settings, FILE *errors) {
    const struct rp_tuning *tuning = &settings->tuning;
    int mistakes = 0;
    if (tuning->return_margin_s >= tuning->billing_unit_s) {
        fprintf(errors, "return_margin_s must be below billing_unit_s\n");
        mistakes++;
    }
    if (tuning->leader_check_s >= tuning->leader_ttl_s) {
        fprintf(errors, "leader_check_s must be below leader_ttl_s\n");
        mistakes++;
    }
    if (tuning->leader_ttl_s >= settings->lease_s) {
        fprintf(errors, "leader_ttl_s must be below the workers' lease_s (%g)\n",
                settings->lease_s);
        mistakes++;
    }
    /* A cancelled task on a machine that can't be reached ends only with the machine's lease. */
    if (rp_settings_max_staleness_s(settings) <= tuning->leader_ttl_s) {
        fprintf(errors,
                "cancel_s (%g) must exceed lease_s + leader_ttl_s + 4 s, or a cancellation can't "
                "be kept through a change of leader\n",
                settings->cancel_s);
        mistakes++;
    }
    return mistakes;
}

double rp_settings_worker_lease_s(const struct rp_settings *settings) {
    return settings->lease_s * LEASE_DRIFT + LEASE_MARGIN_S;
}
