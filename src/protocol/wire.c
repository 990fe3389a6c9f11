#include "protocol/wire.h"

#include <ctype.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_words[] = {"sweep", "ensemble", "service"};
static const char *const priority_words[] = {"low", "normal", "urgent", "critical"};
static const char *const task_words[] = {"fetching", "waiting", "running", "flushing", "exited"};
static const char *const exit_words[] = {"",      "done",    "halted", "peers",  "alone",
                                         "error", "no_room", "in_use", "no_such"};
static const char *const job_words[] = {"pending", "running", "done", "aborted"};
static const char *const op_words[] = {"run", "halt", "forget"};
static const char *const listed_words[] = {"booting", "running", "failed"};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static int word_index(const char *word, const char *const *words, size_t n) {
    for (size_t i = 0; word && i < n; i++)
        if (strcmp(word, words[i]) == 0)
            return (int)i;
    return -1;
}

static bool copy_text(char *out, size_t size, const char *text) {
    if (!text || strlen(text) >= size)
        return false;
    strcpy(out, text);
    return true;
}

static char *dump(json_t *value) {
    char *text = value ? json_dumps(value, JSON_COMPACT) : NULL;
    json_decref(value);
    return text;
}

json_t *rp_codec_parse_object(const char *body, size_t len) {
    json_t *value = json_loadb(body, len, 0, NULL);
    if (json_is_object(value))
        return value;
    json_decref(value);
    return NULL;
}

/* ---- users ---- */

bool rp_job_codec_is_id(const char *id) {
    size_t digits = 0;
    if (!id || strncmp(id, "j-", 2) != 0)
        return false;
    for (const char *c = id + 2; *c; c++, digits++)
        if (!isdigit((unsigned char)*c))
            return false;
    return digits > 0 && digits <= 20;
}

bool rp_user_codec_parse_submission_id(const char *body, size_t len, char id[RP_ID_MAX]) {
    json_t *value = rp_codec_parse_object(body, len);
    const char *text = json_string_value(json_object_get(value, "ref"));
    bool ok = rp_job_codec_is_id(text) && copy_text(id, RP_ID_MAX, text);
    json_decref(value);
    return ok;
}

struct field_reader {
    json_t *in;
    char *why;
    bool ok;
};

static void bad(struct field_reader *reader, const char *name, const char *what) {
    if (reader->ok)
        snprintf(reader->why, 128, "%s: %s", name, what);
    reader->ok = false;
}

/* A field that may be null may also be absent: NULL for both. */
static json_t *optional(struct field_reader *reader, const char *name) {
    json_t *value = json_object_get(reader->in, name);
    return json_is_null(value) ? NULL : value;
}

static void read_text(struct field_reader *reader, const char *name, char *out, size_t size) {
    const char *text = json_string_value(json_object_get(reader->in, name));
    if (!text || !*text)
        bad(reader, name, "a string is needed");
    else if (!copy_text(out, size, text))
        bad(reader, name, "too long");
}

static void read_amount(struct field_reader *reader, const char *name, double *out) {
    json_t *value = json_object_get(reader->in, name);
    *out = json_number_value(value);
    if (!json_is_number(value) || !isfinite(*out) || *out < 0 || *out > 1e12)
        bad(reader, name, "an amount from 0 on is needed");
}

static void read_flag(struct field_reader *reader, const char *name, bool *out) {
    json_t *value = json_object_get(reader->in, name);
    *out = json_is_true(value);
    if (!json_is_boolean(value))
        bad(reader, name, "true or false is needed");
}

static int read_word(struct field_reader *reader, const char *name, const char *const *words,
                     size_t n) {
    int index = word_index(json_string_value(json_object_get(reader->in, name)), words, n);
    if (index < 0)
        bad(reader, name, "not one of the known words");
    return index < 0 ? 0 : index;
}

static void read_types(struct field_reader *reader, struct rp_job_spec *out) {
    json_t *value = optional(reader, "frames");
    if (!value)
        return;
    out->n_types = json_array_size(value);
    if (!json_is_array(value) || out->n_types == 0 || out->n_types > 1000) {
        out->n_types = 0;
        bad(reader, "frames", "a list of machine types is needed");
        return;
    }
    out->types = calloc(out->n_types, sizeof *out->types);
    for (size_t i = 0; out->types && i < out->n_types; i++)
        if (!copy_text(out->types[i], RP_TEXT_MAX, json_string_value(json_array_get(value, i))))
            bad(reader, "frames", "a list of machine types is needed");
}

static void read_shape(struct field_reader *reader, struct rp_job_spec *out) {
    json_t *tasks = json_object_get(reader->in, "lifts");
    if (!json_is_integer(tasks) || json_integer_value(tasks) < 1 ||
        json_integer_value(tasks) > RP_TASKS_MAX)
        bad(reader, "lifts", "a whole number from 1 to 100000 is needed");
    else
        out->n_tasks = (uint32_t)json_integer_value(tasks);
    read_amount(reader, "vcpus", &out->each.cpus);
    read_amount(reader, "cards", &out->each.gpus);
    read_amount(reader, "memory_gb", &out->each.memory_gb);
    read_text(reader, "payload", out->image, sizeof out->image);
    read_amount(reader, "image_gb", &out->image_gb);
    read_types(reader, out);
    json_t *zone = optional(reader, "yard");
    if (zone && (!json_is_string(zone) || !*json_string_value(zone) ||
                 !copy_text(out->zone, sizeof out->zone, json_string_value(zone))))
        bad(reader, "yard", "a zone or null is needed");
}

bool rp_job_codec_read_spec(json_t *object, struct rp_job_spec *out, char why[128]) {
    struct field_reader reader = {.in = object, .why = why, .ok = true};
    memset(out, 0, sizeof *out);
    if (!json_is_object(object)) {
        snprintf(why, 128, "not an object");
        return false;
    }
    read_text(&reader, "ref", out->id, sizeof out->id);
    if (reader.ok && !rp_job_codec_is_id(out->id))
        bad(&reader, "ref", "not a job id");
    read_text(&reader, "rig", out->class_name, sizeof out->class_name);
    read_text(&reader, "crew", out->team, sizeof out->team);
    out->kind = (enum rp_job_kind)read_word(&reader, "haul", kind_words, COUNT(kind_words));
    out->priority =
        (enum rp_priority)read_word(&reader, "precedence", priority_words, COUNT(priority_words));
    read_shape(&reader, out);
    read_flag(&reader, "one_zone", &out->one_zone);
    read_flag(&reader, "spread", &out->spread);
    read_flag(&reader, "loaners", &out->spot);
    read_amount(&reader, "run_guess_s", &out->estimate_s);
    read_amount(&reader, "brace_every_s", &out->checkpoint_s);
    read_amount(&reader, "brace_s", &out->save_s);
    if (optional(&reader, "due_s"))
        read_amount(&reader, "due_s", &out->deadline_s);
    if (!reader.ok)
        rp_job_spec_free(out);
    return reader.ok;
}

bool rp_user_codec_parse_submission(const char *body, size_t len, struct rp_job_spec *out,
                                    char why[128]) {
    json_t *value = rp_codec_parse_object(body, len);
    if (!value) {
        memset(out, 0, sizeof *out);
        snprintf(why, 128, "not a JSON object");
        return false;
    }
    bool ok = rp_job_codec_read_spec(value, out, why);
    json_decref(value);
    return ok;
}

void rp_job_spec_free(struct rp_job_spec *spec) {
    free(spec->types);
    spec->types = NULL;
    spec->n_types = 0;
}

json_t *rp_job_codec_write_spec(const struct rp_job_spec *spec) {
    json_t *types = NULL;
    if (spec->n_types) {
        types = json_array();
        for (size_t i = 0; i < spec->n_types; i++)
            json_array_append_new(types, json_string(spec->types[i]));
    }
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:o*,s:s*,s:b,s:b,s:b,s:f,s:f,s:f,s:o*}",
        "ref", spec->id, "rig", spec->class_name, "crew", spec->team, "haul",
        kind_words[spec->kind], "precedence", priority_words[spec->priority], "lifts",
        (int)spec->n_tasks, "vcpus", spec->each.cpus, "cards", spec->each.gpus, "memory_gb",
        spec->each.memory_gb, "payload", spec->image, "image_gb", spec->image_gb, "frames", types,
        "yard", *spec->zone ? spec->zone : NULL, "one_zone", spec->one_zone, "spread", spec->spread,
        "loaners", spec->spot, "run_guess_s", spec->estimate_s, "brace_every_s", spec->checkpoint_s,
        "brace_s", spec->save_s, "due_s",
        spec->deadline_s > 0 ? json_real(spec->deadline_s) : NULL);
}

char *rp_user_codec_write_job_status(const struct rp_job_status *status) {
    if (status->phase == RP_JOB_DONE || status->phase == RP_JOB_CANCELLED)
        return dump(json_pack("{s:s,s:s}", "ref", status->id, "tension", job_words[status->phase]));
    return dump(json_pack("{s:s,s:s,s:i,s:i}", "ref", status->id, "tension",
                          job_words[status->phase], "done", (int)status->done, "running",
                          (int)status->running));
}

char *rp_codec_write_error(const char *text) {
    return dump(json_pack("{s:s}", "error", text));
}

/* ---- workers ---- */

static bool read_count(json_t *object, const char *name, uint64_t *out) {
    json_t *value = json_object_get(object, name);
    json_int_t n = json_integer_value(value);
    if (!json_is_integer(value) || n < 0)
        return false;
    *out = (uint64_t)n;
    return true;
}

/* "j-000412/3" */
static bool read_task_name(const char *text, char job[RP_ID_MAX], uint32_t *task) {
    const char *slash = text ? strrchr(text, '/') : NULL;
    if (!slash || (size_t)(slash - text) >= RP_ID_MAX || !isdigit((unsigned char)slash[1]))
        return false;
    char *end;
    unsigned long n = strtoul(slash + 1, &end, 10);
    if (*end || n >= RP_TASKS_MAX)
        return false;
    memcpy(job, text, (size_t)(slash - text));
    job[slash - text] = '\0';
    *task = (uint32_t)n;
    return true;
}

static bool read_task_report(json_t *object, struct rp_task_status *out) {
    int state = word_index(json_string_value(json_object_get(object, "tension")), task_words,
                           COUNT(task_words));
    if (state < 0 ||
        !read_task_name(json_string_value(json_object_get(object, "lift")), out->job, &out->task) ||
        !read_count(object, "pull", &out->attempt))
        return false;
    out->state = (enum rp_task_state)state;
    out->saved = json_is_true(json_object_get(object, "stored"));
    out->exit_reason = RP_EXIT_NONE;
    if (out->state == RP_TASK_EXITED) {
        int why = word_index(json_string_value(json_object_get(object, "slack_reason")), exit_words,
                             COUNT(exit_words));
        out->exit_reason = why > 0 ? (enum rp_exit_reason)why : RP_EXIT_OTHER;
    }
    return true;
}

static bool read_report(json_t *value, struct rp_heartbeat *out) {
    json_t *tasks = json_object_get(value, "lifts");
    json_t *notice = json_object_get(value, "recall_s");
    if (!copy_text(out->machine, RP_TEXT_MAX,
                   json_string_value(json_object_get(value, "sheave"))) ||
        !copy_text(out->addr, RP_TEXT_MAX, json_string_value(json_object_get(value, "address"))) ||
        !copy_text(out->type, RP_TEXT_MAX, json_string_value(json_object_get(value, "frame"))) ||
        !copy_text(out->zone, RP_TEXT_MAX, json_string_value(json_object_get(value, "yard"))) ||
        !read_count(value, "stint", &out->incarnation) || !read_count(value, "tick", &out->seq) ||
        !read_count(value, "warrant", &out->fencing_token) || !json_is_array(tasks) ||
        !*out->machine)
        return false;
    out->spot = json_is_true(json_object_get(value, "loaners"));
    out->has_notice = json_is_number(notice);
    out->notice_s = json_number_value(notice);
    size_t n = json_array_size(tasks);
    out->tasks = n ? calloc(n, sizeof *out->tasks) : NULL;
    if (n && !out->tasks)
        return false;
    for (; out->n_tasks < n; out->n_tasks++)
        if (!read_task_report(json_array_get(tasks, out->n_tasks), &out->tasks[out->n_tasks]))
            return false;
    return true;
}

bool rp_worker_codec_parse_heartbeat(const char *body, size_t len, struct rp_heartbeat *out) {
    json_t *value = rp_codec_parse_object(body, len);
    memset(out, 0, sizeof *out);
    bool ok = value && read_report(value, out);
    json_decref(value);
    if (!ok)
        rp_heartbeat_free(out);
    return ok;
}

void rp_heartbeat_free(struct rp_heartbeat *report) {
    free(report->tasks);
    report->tasks = NULL;
    report->n_tasks = 0;
}

static json_t *commands_json(const struct rp_command *commands, size_t n) {
    json_t *list = json_array();
    for (size_t i = 0; i < n; i++) {
        const struct rp_command *command = &commands[i];
        char task[RP_ID_MAX + 16];
        snprintf(task, sizeof task, "%s/%u", command->job, command->task);
        json_t *value = json_pack("{s:s,s:s,s:I}", "signal", op_words[command->kind], "lift", task,
                                  "pull", (json_int_t)command->attempt);
        if (command->kind == RP_COMMAND_STOP)
            json_object_set_new(value, "ease_s", json_real(command->grace_s));
        json_array_append_new(list, value);
    }
    return list;
}

char *rp_worker_codec_write_heartbeat_response(uint64_t token, const struct rp_command *commands,
                                               size_t n) {
    return dump(json_pack("{s:I,s:o}", "warrant", (json_int_t)token, "signals",
                          commands_json(commands, n)));
}

char *rp_worker_codec_write_direct_commands(uint64_t token, uint64_t incarnation,
                                            const struct rp_command *commands, size_t n) {
    return dump(json_pack("{s:I,s:I,s:o}", "warrant", (json_int_t)token, "stint",
                          (json_int_t)incarnation, "signals", commands_json(commands, n)));
}

char *rp_worker_codec_write_leader_hint(const char *leader) {
    return dump(leader ? json_pack("{s:s}", "foreman", leader) : json_object());
}

/* ---- cloud ---- */

static int zone_index(struct rp_catalog *catalog, const char *zone) {
    for (size_t i = 0; i < catalog->n_zones; i++)
        if (strcmp(catalog->zones[i], zone) == 0)
            return (int)i;
    if (catalog->n_zones == RP_ZONES_MAX ||
        !copy_text(catalog->zones[catalog->n_zones], RP_TEXT_MAX, zone)) {
        catalog->n_left_out++;
        return -1;
    }
    return (int)catalog->n_zones++;
}

static bool read_type(json_t *object, struct rp_catalog *catalog, struct rp_machine_type *out) {
    char why[128];
    struct field_reader reader = {.in = object, .why = why, .ok = true};
    json_t *zones = json_object_get(object, "yards");
    read_text(&reader, "name", out->name, sizeof out->name);
    read_amount(&reader, "vcpus", &out->capacity.cpus);
    if (json_object_get(object, "cards"))
        read_amount(&reader, "cards", &out->capacity.gpus);
    read_amount(&reader, "memory_gb", &out->capacity.memory_gb);
    read_amount(&reader, "cache_gb", &out->cache_gb);
    read_amount(&reader, "fetch_gb_per_s", &out->fetch_gb_per_s);
    read_amount(&reader, "price", &out->price);
    read_amount(&reader, "market_price", &out->spot_price);
    read_amount(&reader, "boot_s", &out->boot_s);
    for (size_t i = 0; i < json_array_size(zones); i++) {
        const char *zone = json_string_value(json_array_get(zones, i));
        int index = zone ? zone_index(catalog, zone) : -1;
        if (index >= 0)
            out->zones |= 1u << index;
    }
    return reader.ok;
}

bool rp_cloud_codec_read_catalog(const json_t *value, struct rp_catalog *out) {
    json_t *types = json_object_get(value, "frames");
    bool ok = json_is_array(types);
    memset(out, 0, sizeof *out);
    size_t n = json_array_size(types);
    if (n > RP_TYPES_MAX)
        out->n_left_out += n - RP_TYPES_MAX;
    for (size_t i = 0; ok && i < n && out->n_types < RP_TYPES_MAX; i++) {
        struct rp_machine_type type = {0};
        ok = read_type(json_array_get(types, i), out, &type);
        out->types[out->n_types++] = type;
    }
    return ok && out->n_types > 0;
}

bool rp_cloud_codec_parse_catalog(const char *body, size_t len, struct rp_catalog *out) {
    json_t *value = rp_codec_parse_object(body, len);
    bool ok = rp_cloud_codec_read_catalog(value, out);
    json_decref(value);
    return ok;
}

char *rp_cloud_codec_write_provision_request(const char *request, const char *type,
                                             const char *zone, bool spot, unsigned count) {
    return dump(json_pack("{s:s,s:s,s:s,s:b,s:i}", "hire", request, "frame", type, "yard", zone,
                          "loaners", spot, "count", (int)count));
}

char (*rp_cloud_codec_parse_provisioned(const char *body, size_t len, size_t *n))[RP_TEXT_MAX] {
    json_t *value = rp_codec_parse_object(body, len);
    json_t *names = json_object_get(value, "sheaves");
    char(*out)[RP_TEXT_MAX] = NULL;
    *n = 0;
    if (json_is_array(names))
        out = calloc(json_array_size(names) + 1, sizeof *out);
    for (size_t i = 0; out && i < json_array_size(names); i++)
        if (copy_text(out[*n], RP_TEXT_MAX, json_string_value(json_array_get(names, i))))
            (*n)++;
    json_decref(value);
    return out;
}

bool rp_cloud_codec_is_no_capacity(const char *body, size_t len) {
    json_t *value = rp_codec_parse_object(body, len);
    const char *error = json_string_value(json_object_get(value, "error"));
    bool yes = error && strcmp(error, "no capacity") == 0;
    json_decref(value);
    return yes;
}

char *rp_cloud_codec_write_release(const char *const *machines, size_t n) {
    json_t *list = json_array();
    for (size_t i = 0; i < n; i++)
        json_array_append_new(list, json_string(machines[i]));
    return dump(json_pack("{s:o}", "sheaves", list));
}

struct rp_listed_machine *rp_cloud_codec_parse_machine_list(const char *body, size_t len, size_t *n,
                                                            bool *more) {
    json_t *value = rp_codec_parse_object(body, len);
    json_t *list = json_object_get(value, "sheaves");
    struct rp_listed_machine *out = NULL;
    *n = 0;
    *more = json_is_true(json_object_get(value, "has_next"));
    if (json_is_array(list))
        out = calloc(json_array_size(list) + 1, sizeof *out);
    for (size_t i = 0; out && i < json_array_size(list); i++) {
        json_t *m = json_array_get(list, i);
        struct rp_listed_machine *listed = &out[*n];
        int state = word_index(json_string_value(json_object_get(m, "tension")), listed_words,
                               COUNT(listed_words));
        const char *addr = json_string_value(json_object_get(m, "address"));
        listed->state = state < 0 ? RP_LISTED_RUNNING : (enum rp_listed_state)state;
        listed->spot = json_is_true(json_object_get(m, "loaners"));
        listed->age_s = json_number_value(json_object_get(m, "age_s"));
        copy_text(listed->addr, RP_TEXT_MAX, addr ? addr : "");
        if (copy_text(listed->machine, RP_TEXT_MAX, json_string_value(json_object_get(m, "ref"))) &&
            copy_text(listed->type, RP_TEXT_MAX, json_string_value(json_object_get(m, "frame"))) &&
            copy_text(listed->zone, RP_TEXT_MAX, json_string_value(json_object_get(m, "yard"))))
            (*n)++;
    }
    json_decref(value);
    return out;
}

/* ---- state service ---- */

uint64_t rp_kv_codec_read_revision(const json_t *body) {
    return (uint64_t)json_integer_value(json_object_get(body, "ledger_rev"));
}

bool rp_kv_codec_read_item(json_t *body, struct rp_kv_item *out) {
    out->key = json_string_value(json_object_get(body, "path"));
    out->value = json_object_get(body, "v");
    out->revision = (uint64_t)json_integer_value(json_object_get(body, "key_rev"));
    out->lease = (uint64_t)json_integer_value(json_object_get(body, "lashing"));
    return out->key && out->value;
}

size_t rp_kv_codec_n_items(json_t *body, bool *more) {
    *more = json_is_true(json_object_get(body, "has_next"));
    return json_array_size(json_object_get(body, "rows"));
}

bool rp_kv_codec_read_item_at(json_t *body, size_t i, struct rp_kv_item *out) {
    return rp_kv_codec_read_item(json_array_get(json_object_get(body, "rows"), i), out);
}

size_t rp_kv_codec_n_events(json_t *body) {
    return json_array_size(json_object_get(body, "log"));
}

bool rp_kv_codec_read_event_at(json_t *body, size_t i, struct rp_kv_item *out) {
    json_t *e = json_array_get(json_object_get(body, "log"), i);
    const char *put = json_string_value(json_object_get(e, "write"));
    const char *gone = json_string_value(json_object_get(e, "delete"));
    out->key = put ? put : gone;
    out->value = put ? json_object_get(e, "v") : NULL;
    out->revision = (uint64_t)json_integer_value(json_object_get(e, "key_rev"));
    out->lease = 0;
    return out->key != NULL;
}

bool rp_kv_codec_has_failed_condition(json_t *body, const char *key) {
    json_t *failed = json_object_get(body, "failed");
    for (size_t i = 0; i < json_array_size(failed); i++) {
        const char *k = json_string_value(json_array_get(failed, i));
        if (k && strcmp(k, key) == 0)
            return true;
    }
    return false;
}

uint64_t rp_kv_codec_read_lease(const json_t *body) {
    return (uint64_t)json_integer_value(json_object_get(body, "lashing"));
}

json_t *rp_kv_codec_begin_txn(void) {
    return json_pack("{s:[],s:[]}", "when", "then");
}

void rp_kv_codec_add_condition(json_t *txn, const char *key, uint64_t version) {
    json_array_append_new(json_object_get(txn, "when"),
                          json_pack("{s:s,s:I}", "path", key, "key_rev", (json_int_t)version));
}

void rp_kv_codec_add_put(json_t *txn, const char *key, json_t *value, uint64_t lease) {
    json_t *op = json_pack("{s:s,s:o}", "write", key, "v", value);
    if (lease)
        json_object_set_new(op, "lashing", json_integer((json_int_t)lease));
    json_array_append_new(json_object_get(txn, "then"), op);
}

void rp_kv_codec_add_delete(json_t *txn, const char *key) {
    json_array_append_new(json_object_get(txn, "then"), json_pack("{s:s}", "delete", key));
}

size_t rp_kv_codec_n_changes(const json_t *txn) {
    return json_array_size(json_object_get(txn, "then"));
}

char *rp_kv_codec_write_lease_request(double ttl_s) {
    return dump(json_pack("{s:i}", "ttl_ms", (int)(ttl_s * 1000)));
}
