#include "config/platform_file.h"

#include <jansson.h>
#include <math.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"

#define PATH_MAX_BYTES 256 /* "params.teams[3].cpus_max" */
#define ITEM_PATH_BYTES 64 /* "params.teams[3]" */
#define MISTAKE_BYTES 96   /* "must lie between 0.001 and 1e+06" */

struct platform_reader {
    const char *file;
    FILE *errors;
    int n_mistakes;
};

/* An object of the file, with where it stands. */
struct section {
    const json_t *object; /* NULL when it is missing, as are all of its fields then */
    const char *path;     /* "" for the whole file */
};

static void tell_mistake(struct platform_reader *reader, const char *path, const char *text) {
    fprintf(reader->errors, "%s: %s: %s\n", reader->file, path, text);
    reader->n_mistakes++;
}

static void tell_field_mistake(struct platform_reader *reader, struct section section,
                               const char *name, const char *text) {
    char path[PATH_MAX_BYTES];
    snprintf(path, sizeof path, "%s%s%s", section.path, *section.path ? "." : "", name);
    tell_mistake(reader, path, text);
}

/* ---- fields that must be there ---- */

/* The value of a field, or NULL and a mistake told when it is missing or of another type. JSON_REAL
 * stands for any number. */
static json_t *need(struct platform_reader *reader, struct section section, const char *name,
                    json_type type) {
    static const char *const type_names[] = {
        [JSON_OBJECT] = "an object",
        [JSON_ARRAY] = "an array",
        [JSON_STRING] = "a string",
        [JSON_REAL] = "a number",
        [JSON_INTEGER] = "a whole number",
        [JSON_TRUE] = "true",
        [JSON_FALSE] = "false",
        [JSON_NULL] = "null",
    };
    char text[MISTAKE_BYTES];
    json_t *value = json_object_get(section.object, name);
    if (!value) {
        tell_field_mistake(reader, section, name, "is missing");
        return NULL;
    }
    if (json_typeof(value) == type || (type == JSON_REAL && json_is_number(value)))
        return value;
    snprintf(text, sizeof text, "must be %s", type_names[type]);
    tell_field_mistake(reader, section, name, text);
    return NULL;
}

static struct section need_section(struct platform_reader *reader, struct section parent,
                                   const char *name, const char *path) {
    return (struct section){.object = need(reader, parent, name, JSON_OBJECT), .path = path};
}

/* Leaves `out` as it is at a mistake. */
static void need_string(struct platform_reader *reader, struct section section, const char *name,
                        char *out, size_t size) {
    const char *text = json_string_value(need(reader, section, name, JSON_STRING));
    if (!text)
        return;
    if (!*text)
        tell_field_mistake(reader, section, name, "is empty");
    else if (strlen(text) >= size)
        tell_field_mistake(reader, section, name, "is too long");
    else
        rp_string_copy(out, size, text);
}

/* Returns `min` at a mistake. */
static double need_number(struct platform_reader *reader, struct section section, const char *name,
                          double min, double max) {
    char text[MISTAKE_BYTES];
    const json_t *value = need(reader, section, name, JSON_REAL);
    double number = json_number_value(value);
    if (!value)
        return min;
    if (isfinite(number) && number >= min && number <= max)
        return number;
    snprintf(text, sizeof text, "must lie between %g and %g", min, max);
    tell_field_mistake(reader, section, name, text);
    return min;
}

/* A list with zeroed memory for its elements. */
struct list {
    const json_t *array;
    size_t n;
    void *elements; /* NULL when there are none; the caller frees them */
};

static struct list need_list(struct platform_reader *reader, struct section section,
                             const char *name, size_t element_size) {
    const json_t *array = need(reader, section, name, JSON_ARRAY);
    size_t n = json_array_size(array);
    return (struct list){.array = array, .n = n, .elements = n ? rp_alloc(n, element_size) : NULL};
}

/* ---- the parts of the file ---- */

static void read_peers(struct platform_reader *reader, struct section root,
                       struct rp_settings *settings) {
    struct list list = need_list(reader, root, "seeds", sizeof *settings->peers);
    settings->peers = list.elements;
    settings->n_peers = list.n;
    for (size_t i = 0; i < list.n; i++) {
        char path[ITEM_PATH_BYTES];
        struct rp_peer *peer = &settings->peers[i];
        struct section section = {.object = json_array_get(list.array, i), .path = path};
        snprintf(path, sizeof path, "seeds[%zu]", i);
        need_string(reader, section, "node_name", peer->name, sizeof peer->name);
        need_string(reader, section, "location", peer->zone, sizeof peer->zone);
        need_string(reader, section, "addr", peer->addr, sizeof peer->addr);
    }
}

static void read_zones(struct platform_reader *reader, struct section params,
                       struct rp_settings *settings) {
    struct list list = need_list(reader, params, "zones", sizeof *settings->zones);
    settings->zones = list.elements;
    settings->n_zones = list.n;
    for (size_t i = 0; i < list.n; i++) {
        const char *zone = json_string_value(json_array_get(list.array, i));
        if (zone && *zone && strlen(zone) < RP_NAME_MAX)
            rp_string_copy(settings->zones[i], sizeof settings->zones[i], zone);
        else
            tell_field_mistake(reader, params, "zones", "must hold zone names");
    }
}

static void read_teams(struct platform_reader *reader, struct section params,
                       struct rp_settings *settings) {
    static const double quota_max = 1e9; /* beyond any cluster */
    struct list list = need_list(reader, params, "teams", sizeof *settings->teams);
    settings->teams = list.elements;
    settings->n_teams = list.n;
    for (size_t i = 0; i < list.n; i++) {
        char path[ITEM_PATH_BYTES];
        struct rp_team *team = &settings->teams[i];
        struct section section = {.object = json_array_get(list.array, i), .path = path};
        snprintf(path, sizeof path, "params.teams[%zu]", i);
        need_string(reader, section, "name", team->name, sizeof team->name);
        team->cpus = need_number(reader, section, "cpus", 0, quota_max);
        team->cpus_max = need_number(reader, section, "cpus_max", 0, quota_max);
        team->gpus = need_number(reader, section, "gpus", 0, quota_max);
        team->gpus_max = need_number(reader, section, "gpus_max", 0, quota_max);
    }
}

static enum rp_objective_kind objective_kind(const char *name) {
    static const char *const names[] = {
        [RP_OBJECTIVE_WAIT] = "wait",
        [RP_OBJECTIVE_FINISHED] = "finished",
        [RP_OBJECTIVE_DEADLINE] = "deadline",
    };
    for (size_t i = 0; name && i < sizeof names / sizeof names[0]; i++)
        if (strcmp(name, names[i]) == 0)
            return (enum rp_objective_kind)i;
    return RP_OBJECTIVE_OTHER;
}

/* Objectives guide the choice of heuristics only, so one that this version doesn't know is passed
 * over. */
static void read_objectives(struct section params, struct rp_settings *settings) {
    const json_t *list = json_object_get(params.object, "objectives");
    size_t n = json_array_size(list);
    settings->objectives = n ? rp_alloc(n, sizeof *settings->objectives) : NULL;
    for (size_t i = 0; i < n; i++) {
        const json_t *object = json_array_get(list, i);
        struct rp_objective *objective = &settings->objectives[settings->n_objectives];
        const char *class_name = json_string_value(json_object_get(object, "class"));
        objective->kind = objective_kind(json_string_value(json_object_get(object, "kind")));
        bool is_known = objective->kind != RP_OBJECTIVE_OTHER;
        if (!is_known || !class_name || strlen(class_name) >= RP_NAME_MAX)
            continue;
        rp_string_copy(objective->class_name, sizeof objective->class_name, class_name);
        objective->within_s = json_number_value(json_object_get(object, "within_s"));
        objective->share = json_number_value(json_object_get(object, "share"));
        objective->times = json_number_value(json_object_get(object, "times"));
        settings->n_objectives++;
    }
}

/* `are_needed`: all of them; else what is absent stays as it is. */
static void read_kv_limits(struct platform_reader *reader, struct section section, bool are_needed,
                           struct rp_kv_limits *out) {
    static const double most = 1e6; /* beyond any store */
    if (are_needed || json_object_get(section.object, "rps"))
        out->rps = need_number(reader, section, "rps", 1, most);
    if (are_needed || json_object_get(section.object, "write_rps"))
        out->write_rps = need_number(reader, section, "write_rps", 1, most);
    if (are_needed || json_object_get(section.object, "value_kb"))
        out->value_kb = need_number(reader, section, "value_kb", 1, most);
    if (are_needed || json_object_get(section.object, "txn_ops"))
        out->txn_ops = (size_t)need_number(reader, section, "txn_ops", 2, most);
}

/* Limits that come at some moment, unannounced: from the activation on everything fits both. */
static void read_state(struct platform_reader *reader, struct section state,
                       struct rp_settings *settings) {
    const json_t *next = json_object_get(state.object, "next");
    read_kv_limits(reader, state, true, &settings->state);
    struct rp_kv_limits later = settings->state;
    if (json_is_object(next))
        read_kv_limits(reader, (struct section){.object = next, .path = "params.state.next"}, false,
                       &later);
    else if (next && !json_is_null(next))
        tell_field_mistake(reader, state, "next", "must be an object");
    settings->state_fit = (struct rp_kv_limits){
        .rps = fmin(settings->state.rps, later.rps),
        .write_rps = fmin(settings->state.write_rps, later.write_rps),
        .value_kb = fmin(settings->state.value_kb, later.value_kb),
        .txn_ops =
            settings->state.txn_ops < later.txn_ops ? settings->state.txn_ops : later.txn_ops};
}

static void read_workers(struct platform_reader *reader, struct section workers,
                         struct rp_settings *settings) {
    static const double day_s = 86400;
    settings->report_s = need_number(reader, workers, "report_s", 0.01, 3600);
    settings->lease_s = need_number(reader, workers, "lease_s", 0.1, day_s);
    settings->gang_wait_s = need_number(reader, workers, "gang_wait_s", 0, day_s);
    settings->gang_peer_s = need_number(reader, workers, "gang_peer_s", 0, day_s);
    settings->cancel_s = need_number(reader, workers, "cancel_s", 0, day_s);
}

static void read_params(struct platform_reader *reader, struct section params,
                        struct rp_settings *settings) {
    struct section workers = need_section(reader, params, "workers", "params.workers");
    struct section state = need_section(reader, params, "state", "params.state");
    struct section cloud = need_section(reader, params, "cloud", "params.cloud");
    struct section limits = need_section(reader, params, "machine_limits", "params.machine_limits");
    settings->n_nodes = (size_t)need_number(reader, params, "nodes", 1, 1000);
    read_zones(reader, params, settings);
    read_teams(reader, params, settings);
    read_objectives(params, settings);
    read_workers(reader, workers, settings);
    read_state(reader, state, settings);
    settings->cloud_rps = need_number(reader, cloud, "rps", 0.01, 1e6);
    settings->list_lag_s = need_number(reader, cloud, "list_lag_s", 0, 3600);
    settings->cpu_share = need_number(reader, limits, "cpu_share", 0.001, 1e6);
    settings->memory_mb = need_number(reader, limits, "mem_mb", 8, 1e9);
    settings->max_connections = (size_t)need_number(reader, limits, "max_connections", 32, 1e9);
}

static void read_root(struct platform_reader *reader, const json_t *object,
                      struct rp_settings *settings) {
    struct section root = {.object = object, .path = ""};
    struct section external = need_section(reader, root, "external", "external");
    struct section params = need_section(reader, root, "params", "params");
    need_string(reader, root, "node_name", settings->node, sizeof settings->node);
    need_string(reader, root, "location", settings->zone, sizeof settings->zone);
    need_string(reader, root, "client_listen", settings->client_listen,
                sizeof settings->client_listen);
    need_string(reader, root, "peer_listen", settings->peer_listen, sizeof settings->peer_listen);
    read_peers(reader, root, settings);
    if (external.object) {
        need_string(reader, external, "cloud", settings->cloud_addr, sizeof settings->cloud_addr);
        need_string(reader, external, "state", settings->state_addr, sizeof settings->state_addr);
    }
    if (params.object)
        read_params(reader, params, settings);
}

int rp_platform_file_parse(struct rp_settings *settings, const char *text, const char *file,
                           FILE *errors) {
    struct platform_reader reader = {.file = file, .errors = errors};
    json_error_t error;
    memset(settings, 0, sizeof *settings);
    rp_tuning_defaults(&settings->tuning);
    json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);
    if (json_is_object(root)) {
        read_root(&reader, root, settings);
    } else {
        fprintf(errors, "%s:%d:%d: %s\n", file, root ? 1 : error.line, root ? 1 : error.column,
                root ? "not a JSON object" : error.text);
        reader.n_mistakes++;
    }
    json_decref(root);
    return reader.n_mistakes;
}
