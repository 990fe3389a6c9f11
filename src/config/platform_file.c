#include "config/platform_file.h"

#include <jansson.h>
#include <math.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"

/* Bytes of a field's path, such as "params.teams[3].cpus_max", with its NUL. */
#define FIELD_PATH_BYTES 256
/* Bytes of the path of an array's element, such as "params.teams[3]", with its NUL. */
#define ELEMENT_PATH_BYTES 64
/* Bytes of an error's text, such as "must be between 0.001 and 1e+06, but is 0", with its NUL. */
#define ERROR_TEXT_BYTES 96
/* Maximum error of the time of day, in seconds, of a platform that does not name it. */
#define CLOCK_SKEW_DEFAULT_S 0.025

struct platform_reader {
    const char *file;
    FILE *error_output;
    int n_errors;
};

/* A JSON object of the file. */
struct section {
    const json_t *object; /* NULL when the section is missing; then each of its fields is, too */
    const char *path;     /* path of the object in the file; "" for the file's root object */
};

static void report_error(struct platform_reader *reader, const char *path, const char *text) {
    fprintf(reader->error_output, "%s: %s: %s\n", reader->file, path, text);
    reader->n_errors++;
}

static void report_field_error(struct platform_reader *reader, struct section section,
                               const char *name, const char *text) {
    char path[FIELD_PATH_BYTES];
    snprintf(path, sizeof path, "%s%s%s", section.path, *section.path ? "." : "", name);
    report_error(reader, path, text);
}

/* ---- required fields ---- */

/* Returns the value of a field. When the field is missing or of another type, reports that and
 * returns NULL. The type JSON_REAL also accepts integers. */
static json_t *require_field(struct platform_reader *reader, struct section section,
                             const char *name, json_type type) {
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
    char text[ERROR_TEXT_BYTES];
    json_t *value = json_object_get(section.object, name);
    if (!value) {
        report_field_error(reader, section, name, "is missing");
        return NULL;
    }
    if (json_typeof(value) == type || (type == JSON_REAL && json_is_number(value)))
        return value;
    snprintf(text, sizeof text, "must be %s", type_names[type]);
    report_field_error(reader, section, name, text);
    return NULL;
}

static struct section require_section(struct platform_reader *reader, struct section parent,
                                      const char *name, const char *path) {
    return (struct section){.object = require_field(reader, parent, name, JSON_OBJECT),
                            .path = path};
}

/* Reads a string that is not empty. On an error, reports it and leaves `out` unchanged. */
static void read_string(struct platform_reader *reader, struct section section, const char *name,
                        char *out, size_t size) {
    const char *string = json_string_value(require_field(reader, section, name, JSON_STRING));
    char text[ERROR_TEXT_BYTES];
    if (!string)
        return;
    if (!*string) {
        report_field_error(reader, section, name, "must not be empty");
    } else if (strlen(string) >= size) {
        snprintf(text, sizeof text, "must have at most %zu bytes, but has %zu", size - 1,
                 strlen(string));
        report_field_error(reader, section, name, text);
    } else {
        rp_string_copy(out, size, string);
    }
}

/* Reads a number from `min` to `max`. On an error, reports it and returns `min`. */
static double read_number(struct platform_reader *reader, struct section section, const char *name,
                          double min, double max) {
    char text[ERROR_TEXT_BYTES];
    const json_t *value = require_field(reader, section, name, JSON_REAL);
    double number = json_number_value(value);
    if (!value)
        return min;
    if (isfinite(number) && number >= min && number <= max)
        return number;
    snprintf(text, sizeof text, "must be between %g and %g, but is %g", min, max, number);
    report_field_error(reader, section, name, text);
    return min;
}

/* A JSON array, with zeroed memory for its decoded elements. */
struct list {
    const json_t *array;
    size_t n;
    void *elements; /* owned by the caller; NULL for an empty array */
};

static struct list read_list(struct platform_reader *reader, struct section section,
                             const char *name, size_t element_size) {
    const json_t *array = require_field(reader, section, name, JSON_ARRAY);
    size_t n = json_array_size(array);
    return (struct list){.array = array, .n = n, .elements = n ? rp_alloc(n, element_size) : NULL};
}

/* ---- sections of the file ---- */

static void read_peers(struct platform_reader *reader, struct section root,
                       struct rp_settings *settings) {
    struct list list = read_list(reader, root, "seeds", sizeof *settings->peers);
    settings->peers = list.elements;
    settings->n_peers = list.n;
    for (size_t i = 0; i < list.n; i++) {
        char path[ELEMENT_PATH_BYTES];
        struct rp_peer *peer = &settings->peers[i];
        struct section section = {.object = json_array_get(list.array, i), .path = path};
        snprintf(path, sizeof path, "seeds[%zu]", i);
        read_string(reader, section, "node_name", peer->name, sizeof peer->name);
        read_string(reader, section, "location", peer->zone, sizeof peer->zone);
        read_string(reader, section, "addr", peer->addr, sizeof peer->addr);
    }
}

static void read_zones(struct platform_reader *reader, struct section params,
                       struct rp_settings *settings) {
    struct list list = read_list(reader, params, "zones", sizeof *settings->zones);
    char text[ERROR_TEXT_BYTES];
    settings->zones = list.elements;
    settings->n_zones = list.n;
    snprintf(text, sizeof text, "each zone must be a string of 1 to %d bytes", RP_NAME_MAX - 1);
    for (size_t i = 0; i < list.n; i++) {
        const char *zone = json_string_value(json_array_get(list.array, i));
        if (zone && *zone && strlen(zone) < RP_NAME_MAX)
            rp_string_copy(settings->zones[i], sizeof settings->zones[i], zone);
        else
            report_field_error(reader, params, "zones", text);
    }
}

static void read_teams(struct platform_reader *reader, struct section params,
                       struct rp_settings *settings) {
    static const double quota_max = 1e9; /* more CPUs or GPUs than any cluster has */
    struct list list = read_list(reader, params, "teams", sizeof *settings->teams);
    settings->teams = list.elements;
    settings->n_teams = list.n;
    for (size_t i = 0; i < list.n; i++) {
        char path[ELEMENT_PATH_BYTES];
        struct rp_team *team = &settings->teams[i];
        struct section section = {.object = json_array_get(list.array, i), .path = path};
        snprintf(path, sizeof path, "params.teams[%zu]", i);
        read_string(reader, section, "name", team->name, sizeof team->name);
        team->cpus = read_number(reader, section, "cpus", 0, quota_max);
        team->cpus_max = read_number(reader, section, "cpus_max", 0, quota_max);
        team->gpus = read_number(reader, section, "gpus", 0, quota_max);
        team->gpus_max = read_number(reader, section, "gpus_max", 0, quota_max);
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

/* Objectives only influence the choice of heuristics. An objective of a kind that is unknown to
 * this version is therefore ignored. */
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

/* Reads the limits of a section. With `is_required`, an absent limit is an error; without it, an
 * absent limit keeps its value in `out`. */
static void read_kv_limits(struct platform_reader *reader, struct section section, bool is_required,
                           struct rp_kv_limits *out) {
    static const double limit_max = 1e6; /* more than any store allows */
    if (is_required || json_object_get(section.object, "rps"))
        out->rps = read_number(reader, section, "rps", 1, limit_max);
    if (is_required || json_object_get(section.object, "write_rps"))
        out->write_rps = read_number(reader, section, "write_rps", 1, limit_max);
    if (is_required || json_object_get(section.object, "value_kb"))
        out->value_kb = read_number(reader, section, "value_kb", 1, limit_max);
    if (is_required || json_object_get(section.object, "txn_ops"))
        out->txn_ops = (size_t)read_number(reader, section, "txn_ops", 2, limit_max);
}

/* Reads the current limits of the key-value store and those of `next`, which take effect at some
 * moment without an announcement. Therefore, from the activation of RP_FORMAT on, nodes keep each
 * limit at the lower of its two values. */
static void read_state(struct platform_reader *reader, struct section state,
                       struct rp_settings *settings) {
    const json_t *next = json_object_get(state.object, "next");
    read_kv_limits(reader, state, true, &settings->kv_limits_current);
    struct rp_kv_limits next_limits = settings->kv_limits_current;
    if (json_is_object(next))
        read_kv_limits(reader, (struct section){.object = next, .path = "params.state.next"}, false,
                       &next_limits);
    else if (next && !json_is_null(next))
        report_field_error(reader, state, "next", "must be an object");
    settings->kv_limits_lowest = (struct rp_kv_limits){
        .rps = fmin(settings->kv_limits_current.rps, next_limits.rps),
        .write_rps = fmin(settings->kv_limits_current.write_rps, next_limits.write_rps),
        .value_kb = fmin(settings->kv_limits_current.value_kb, next_limits.value_kb),
        .txn_ops = settings->kv_limits_current.txn_ops < next_limits.txn_ops
                       ? settings->kv_limits_current.txn_ops
                       : next_limits.txn_ops};
}

static void read_workers(struct platform_reader *reader, struct section workers,
                         struct rp_settings *settings) {
    static const double day_s = 86400;
    settings->report_s = read_number(reader, workers, "report_s", 0.01, 3600);
    settings->lease_s = read_number(reader, workers, "lease_s", 0.1, day_s);
    settings->gang_wait_s = read_number(reader, workers, "gang_wait_s", 0, day_s);
    settings->gang_peer_s = read_number(reader, workers, "gang_peer_s", 0, day_s);
    settings->cancel_s = read_number(reader, workers, "cancel_s", 0, day_s);
}

static void read_params(struct platform_reader *reader, struct section params,
                        struct rp_settings *settings) {
    struct section workers = require_section(reader, params, "workers", "params.workers");
    struct section state = require_section(reader, params, "state", "params.state");
    struct section cloud = require_section(reader, params, "cloud", "params.cloud");
    struct section limits =
        require_section(reader, params, "machine_limits", "params.machine_limits");
    settings->n_nodes = (size_t)read_number(reader, params, "nodes", 1, 1000);
    read_zones(reader, params, settings);
    read_teams(reader, params, settings);
    read_objectives(params, settings);
    read_workers(reader, workers, settings);
    read_state(reader, state, settings);
    settings->cloud_rps = read_number(reader, cloud, "rps", 0.01, 1e6);
    settings->list_lag_s = read_number(reader, cloud, "list_lag_s", 0, 3600);
    settings->clock_skew_s = json_is_number(json_object_get(params.object, "skew_ms"))
                                 ? read_number(reader, params, "skew_ms", 0, 1e6) / 1000
                                 : CLOCK_SKEW_DEFAULT_S;
    settings->cpu_share = read_number(reader, limits, "cpu_share", 0.001, 1e6);
    settings->memory_mb = read_number(reader, limits, "mem_mb", 8, 1e9);
    settings->max_connections = (size_t)read_number(reader, limits, "max_connections", 32, 1e9);
}

static void read_root(struct platform_reader *reader, const json_t *object,
                      struct rp_settings *settings) {
    struct section root = {.object = object, .path = ""};
    struct section external = require_section(reader, root, "external", "external");
    struct section params = require_section(reader, root, "params", "params");
    read_string(reader, root, "node_name", settings->node, sizeof settings->node);
    read_string(reader, root, "location", settings->zone, sizeof settings->zone);
    read_string(reader, root, "client_listen", settings->client_listen,
                sizeof settings->client_listen);
    read_string(reader, root, "peer_listen", settings->peer_listen, sizeof settings->peer_listen);
    read_peers(reader, root, settings);
    if (external.object) {
        read_string(reader, external, "cloud", settings->cloud_addr, sizeof settings->cloud_addr);
        read_string(reader, external, "state", settings->kv_addr, sizeof settings->kv_addr);
    }
    if (params.object)
        read_params(reader, params, settings);
}

int rp_platform_file_parse(struct rp_settings *settings, const char *text, const char *file,
                           FILE *error_output) {
    struct platform_reader reader = {.file = file, .error_output = error_output};
    json_error_t error;
    memset(settings, 0, sizeof *settings);
    rp_tuning_defaults(&settings->tuning);
    json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);
    if (json_is_object(root)) {
        read_root(&reader, root, settings);
    } else {
        fprintf(error_output, "%s:%d:%d: %s\n", file, root ? 1 : error.line,
                root ? 1 : error.column, root ? "the file must contain a JSON object" : error.text);
        reader.n_errors++;
    }
    json_decref(root);
    return reader.n_errors;
}
