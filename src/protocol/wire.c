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

static char *dump(json_t *v) {
    char *text = v ? json_dumps(v, JSON_COMPACT) : NULL;
    json_decref(v);
    return text;
}

json_t *rp_wire_parse(const char *body, size_t len) {
    json_t *v = json_loadb(body, len, 0, NULL);
    if (json_is_object(v))
        return v;
    json_decref(v);
    return NULL;
}

/* ---- users ---- */

bool rp_wire_id_valid(const char *id) {
    size_t digits = 0;
    if (!id || strncmp(id, "j-", 2) != 0)
        return false;
    for (const char *c = id + 2; *c; c++, digits++)
        if (!isdigit((unsigned char)*c))
            return false;
    return digits > 0 && digits <= 20;
}

bool rp_wire_submission_id(const char *body, size_t len, char id[RP_ID_MAX]) {
    json_t *v = rp_wire_parse(body, len);
    const char *text = json_string_value(json_object_get(v, "ref"));
    bool ok = rp_wire_id_valid(text) && copy_text(id, RP_ID_MAX, text);
    json_decref(v);
    return ok;
}

struct field_reader {
    json_t *in;
    char *why;
    bool ok;
};

static void bad(struct field_reader *r, const char *name, const char *what) {
    if (r->ok)
        snprintf(r->why, 128, "%s: %s", name, what);
    r->ok = false;
}

/* A field that may be null may also be absent: NULL for both. */
static json_t *optional(struct field_reader *r, const char *name) {
    json_t *v = json_object_get(r->in, name);
    return json_is_null(v) ? NULL : v;
}

static void read_text(struct field_reader *r, const char *name, char *out, size_t size) {
    const char *text = json_string_value(json_object_get(r->in, name));
    if (!text || !*text)
        bad(r, name, "a string is needed");
    else if (!copy_text(out, size, text))
        bad(r, name, "too long");
}

static void read_amount(struct field_reader *r, const char *name, double *out) {
    json_t *v = json_object_get(r->in, name);
    *out = json_number_value(v);
    if (!json_is_number(v) || !isfinite(*out) || *out < 0 || *out > 1e12)
        bad(r, name, "an amount from 0 on is needed");
}

static void read_flag(struct field_reader *r, const char *name, bool *out) {
    json_t *v = json_object_get(r->in, name);
    *out = json_is_true(v);
    if (!json_is_boolean(v))
        bad(r, name, "true or false is needed");
}

static int read_word(struct field_reader *r, const char *name, const char *const *words, size_t n) {
    int index = word_index(json_string_value(json_object_get(r->in, name)), words, n);
    if (index < 0)
        bad(r, name, "not one of the known words");
    return index < 0 ? 0 : index;
}

static void read_types(struct field_reader *r, struct rp_job_spec *out) {
    json_t *v = optional(r, "frames");
    if (!v)
        return;
    out->n_types = json_array_size(v);
    if (!json_is_array(v) || out->n_types == 0 || out->n_types > 1000) {
        out->n_types = 0;
        bad(r, "frames", "a list of machine types is needed");
        return;
    }
    out->types = calloc(out->n_types, sizeof *out->types);
    for (size_t i = 0; out->types && i < out->n_types; i++)
        if (!copy_text(out->types[i], RP_TEXT_MAX, json_string_value(json_array_get(v, i))))
            bad(r, "frames", "a list of machine types is needed");
}

static void read_shape(struct field_reader *r, struct rp_job_spec *out) {
    json_t *tasks = json_object_get(r->in, "lifts");
    if (!json_is_integer(tasks) || json_integer_value(tasks) < 1 ||
        json_integer_value(tasks) > RP_TASKS_MAX)
        bad(r, "lifts", "a whole number from 1 to 100000 is needed");
    else
        out->n_tasks = (uint32_t)json_integer_value(tasks);
    read_amount(r, "vcpus", &out->each.cpus);
    read_amount(r, "cards", &out->each.gpus);
    read_amount(r, "memory_gb", &out->each.memory_gb);
    read_text(r, "payload", out->image, sizeof out->image);
    read_amount(r, "image_gb", &out->image_gb);
    read_types(r, out);
    json_t *zone = optional(r, "yard");
    if (zone && (!json_is_string(zone) || !*json_string_value(zone) ||
                 !copy_text(out->zone, sizeof out->zone, json_string_value(zone))))
        bad(r, "yard", "a zone or null is needed");
}

bool rp_wire_spec_read(json_t *in, struct rp_job_spec *out, char why[128]) {
    struct field_reader r = {.in = in, .why = why, .ok = true};
    memset(out, 0, sizeof *out);
    if (!json_is_object(in)) {
        snprintf(why, 128, "not an object");
        return false;
    }
    read_text(&r, "ref", out->id, sizeof out->id);
    if (r.ok && !rp_wire_id_valid(out->id))
        bad(&r, "ref", "not a job id");
    read_text(&r, "rig", out->class_name, sizeof out->class_name);
    read_text(&r, "crew", out->team, sizeof out->team);
    out->kind = (enum rp_kind)read_word(&r, "haul", kind_words, COUNT(kind_words));
    out->priority =
        (enum rp_priority)read_word(&r, "precedence", priority_words, COUNT(priority_words));
    read_shape(&r, out);
    read_flag(&r, "one_zone", &out->one_zone);
    read_flag(&r, "spread", &out->spread);
    read_flag(&r, "loaners", &out->spot);
    read_amount(&r, "run_guess_s", &out->estimate_s);
    read_amount(&r, "brace_every_s", &out->checkpoint_s);
    read_amount(&r, "brace_s", &out->save_s);
    if (optional(&r, "due_s"))
        read_amount(&r, "due_s", &out->deadline_s);
    if (!r.ok)
        rp_job_spec_free(out);
    return r.ok;
}

bool rp_wire_submission(const char *body, size_t len, struct rp_job_spec *out, char why[128]) {
    json_t *v = rp_wire_parse(body, len);
    if (!v) {
        memset(out, 0, sizeof *out);
        snprintf(why, 128, "not a JSON object");
        return false;
    }
    bool ok = rp_wire_spec_read(v, out, why);
    json_decref(v);
    return ok;
}

void rp_job_spec_free(struct rp_job_spec *spec) {
    free(spec->types);
    spec->types = NULL;
    spec->n_types = 0;
}

json_t *rp_wire_spec_json(const struct rp_job_spec *s) {
    json_t *types = NULL;
    if (s->n_types) {
        types = json_array();
        for (size_t i = 0; i < s->n_types; i++)
            json_array_append_new(types, json_string(s->types[i]));
    }
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:o*,s:s*,s:b,s:b,s:b,s:f,s:f,s:f,s:o*}",
        "ref", s->id, "rig", s->class_name, "crew", s->team, "haul", kind_words[s->kind],
        "precedence", priority_words[s->priority], "lifts", (int)s->n_tasks, "vcpus", s->each.cpus,
        "cards", s->each.gpus, "memory_gb", s->each.memory_gb, "payload", s->image, "image_gb",
        s->image_gb, "frames", types, "yard", *s->zone ? s->zone : NULL, "one_zone", s->one_zone,
        "spread", s->spread, "loaners", s->spot, "run_guess_s", s->estimate_s, "brace_every_s",
        s->checkpoint_s, "brace_s", s->save_s, "due_s",
        s->deadline_s > 0 ? json_real(s->deadline_s) : NULL);
}

char *rp_wire_job_status(const struct rp_job_status *st) {
    if (st->word == RP_JOB_DONE || st->word == RP_JOB_CANCELLED)
        return dump(json_pack("{s:s,s:s}", "ref", st->id, "tension", job_words[st->word]));
    return dump(json_pack("{s:s,s:s,s:i,s:i}", "ref", st->id, "tension", job_words[st->word],
                          "done", (int)st->done, "running", (int)st->running));
}

char *rp_wire_error(const char *text) {
    return dump(json_pack("{s:s}", "error", text));
}

/* ---- workers ---- */

static bool read_count(json_t *in, const char *name, uint64_t *out) {
    json_t *v = json_object_get(in, name);
    json_int_t n = json_integer_value(v);
    if (!json_is_integer(v) || n < 0)
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

static bool read_task_report(json_t *in, struct rp_task_report *out) {
    int state = word_index(json_string_value(json_object_get(in, "tension")), task_words,
                           COUNT(task_words));
    if (state < 0 ||
        !read_task_name(json_string_value(json_object_get(in, "lift")), out->job, &out->task) ||
        !read_count(in, "pull", &out->attempt))
        return false;
    out->state = (enum rp_task_state)state;
    out->saved = json_is_true(json_object_get(in, "stored"));
    out->why = RP_EXIT_NONE;
    if (out->state == RP_TASK_EXITED) {
        int why = word_index(json_string_value(json_object_get(in, "slack_reason")), exit_words,
                             COUNT(exit_words));
        out->why = why > 0 ? (enum rp_exit)why : RP_EXIT_OTHER;
    }
    return true;
}

static bool read_report(json_t *v, struct rp_report *out) {
    json_t *tasks = json_object_get(v, "lifts");
    json_t *notice = json_object_get(v, "recall_s");
    if (!copy_text(out->machine, RP_TEXT_MAX, json_string_value(json_object_get(v, "sheave"))) ||
        !copy_text(out->addr, RP_TEXT_MAX, json_string_value(json_object_get(v, "address"))) ||
        !copy_text(out->type, RP_TEXT_MAX, json_string_value(json_object_get(v, "frame"))) ||
        !copy_text(out->zone, RP_TEXT_MAX, json_string_value(json_object_get(v, "yard"))) ||
        !read_count(v, "stint", &out->session) || !read_count(v, "tick", &out->seq) ||
        !read_count(v, "warrant", &out->token) || !json_is_array(tasks) || !*out->machine)
        return false;
    out->spot = json_is_true(json_object_get(v, "loaners"));
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

bool rp_wire_report(const char *body, size_t len, struct rp_report *out) {
    json_t *v = rp_wire_parse(body, len);
    memset(out, 0, sizeof *out);
    bool ok = v && read_report(v, out);
    json_decref(v);
    if (!ok)
        rp_report_free(out);
    return ok;
}

void rp_report_free(struct rp_report *report) {
    free(report->tasks);
    report->tasks = NULL;
    report->n_tasks = 0;
}

static json_t *commands_json(const struct rp_command *commands, size_t n) {
    json_t *list = json_array();
    for (size_t i = 0; i < n; i++) {
        const struct rp_command *c = &commands[i];
        char task[RP_ID_MAX + 16];
        snprintf(task, sizeof task, "%s/%u", c->job, c->task);
        json_t *v = json_pack("{s:s,s:s,s:I}", "signal", op_words[c->op], "lift", task, "pull",
                              (json_int_t)c->attempt);
        if (c->op == RP_OP_STOP)
            json_object_set_new(v, "ease_s", json_real(c->grace_s));
        json_array_append_new(list, v);
    }
    return list;
}

char *rp_wire_report_answer(uint64_t token, const struct rp_command *commands, size_t n) {
    return dump(json_pack("{s:I,s:o}", "warrant", (json_int_t)token, "signals",
                          commands_json(commands, n)));
}

char *rp_wire_direct(uint64_t token, uint64_t session, const struct rp_command *commands,
                     size_t n) {
    return dump(json_pack("{s:I,s:I,s:o}", "warrant", (json_int_t)token, "stint",
                          (json_int_t)session, "signals", commands_json(commands, n)));
}

char *rp_wire_not_here(const char *leader) {
    return dump(leader ? json_pack("{s:s}", "foreman", leader) : json_object());
}

/* ---- cloud ---- */

static int zone_index(struct rp_catalog *c, const char *zone) {
    for (size_t i = 0; i < c->n_zones; i++)
        if (strcmp(c->zones[i], zone) == 0)
            return (int)i;
    if (c->n_zones == RP_ZONES_MAX || !copy_text(c->zones[c->n_zones], RP_TEXT_MAX, zone)) {
        c->n_left_out++;
        return -1;
    }
    return (int)c->n_zones++;
}

static bool read_type(json_t *in, struct rp_catalog *c, struct rp_type *out) {
    char why[128];
    struct field_reader r = {.in = in, .why = why, .ok = true};
    json_t *zones = json_object_get(in, "yards");
    read_text(&r, "name", out->name, sizeof out->name);
    read_amount(&r, "vcpus", &out->capacity.cpus);
    if (json_object_get(in, "cards"))
        read_amount(&r, "cards", &out->capacity.gpus);
    read_amount(&r, "memory_gb", &out->capacity.memory_gb);
    read_amount(&r, "cache_gb", &out->cache_gb);
    read_amount(&r, "fetch_gb_per_s", &out->fetch_gb_per_s);
    read_amount(&r, "price", &out->price);
    read_amount(&r, "market_price", &out->spot_price);
    read_amount(&r, "boot_s", &out->boot_s);
    for (size_t i = 0; i < json_array_size(zones); i++) {
        const char *zone = json_string_value(json_array_get(zones, i));
        int index = zone ? zone_index(c, zone) : -1;
        if (index >= 0)
            out->zones |= 1u << index;
    }
    return r.ok;
}

bool rp_wire_catalog_read(const json_t *v, struct rp_catalog *out) {
    json_t *types = json_object_get(v, "frames");
    bool ok = json_is_array(types);
    memset(out, 0, sizeof *out);
    size_t n = json_array_size(types);
    if (n > RP_TYPES_MAX)
        out->n_left_out += n - RP_TYPES_MAX;
    for (size_t i = 0; ok && i < n && out->n_types < RP_TYPES_MAX; i++) {
        struct rp_type type = {0};
        ok = read_type(json_array_get(types, i), out, &type);
        out->types[out->n_types++] = type;
    }
    return ok && out->n_types > 0;
}

bool rp_wire_catalog(const char *body, size_t len, struct rp_catalog *out) {
    json_t *v = rp_wire_parse(body, len);
    bool ok = rp_wire_catalog_read(v, out);
    json_decref(v);
    return ok;
}

char *rp_wire_rent(const char *request, const char *type, const char *zone, bool spot,
                   unsigned count) {
    return dump(json_pack("{s:s,s:s,s:s,s:b,s:i}", "hire", request, "frame", type, "yard", zone,
                          "loaners", spot, "count", (int)count));
}

char (*rp_wire_rented(const char *body, size_t len, size_t *n))[RP_TEXT_MAX] {
    json_t *v = rp_wire_parse(body, len);
    json_t *names = json_object_get(v, "sheaves");
    char(*out)[RP_TEXT_MAX] = NULL;
    *n = 0;
    if (json_is_array(names))
        out = calloc(json_array_size(names) + 1, sizeof *out);
    for (size_t i = 0; out && i < json_array_size(names); i++)
        if (copy_text(out[*n], RP_TEXT_MAX, json_string_value(json_array_get(names, i))))
            (*n)++;
    json_decref(v);
    return out;
}

bool rp_wire_no_capacity(const char *body, size_t len) {
    json_t *v = rp_wire_parse(body, len);
    const char *error = json_string_value(json_object_get(v, "error"));
    bool yes = error && strcmp(error, "no capacity") == 0;
    json_decref(v);
    return yes;
}

char *rp_wire_delete(const char *const *machines, size_t n) {
    json_t *list = json_array();
    for (size_t i = 0; i < n; i++)
        json_array_append_new(list, json_string(machines[i]));
    return dump(json_pack("{s:o}", "sheaves", list));
}

struct rp_listed *rp_wire_listed(const char *body, size_t len, size_t *n, bool *more) {
    json_t *v = rp_wire_parse(body, len);
    json_t *list = json_object_get(v, "sheaves");
    struct rp_listed *out = NULL;
    *n = 0;
    *more = json_is_true(json_object_get(v, "has_next"));
    if (json_is_array(list))
        out = calloc(json_array_size(list) + 1, sizeof *out);
    for (size_t i = 0; out && i < json_array_size(list); i++) {
        json_t *m = json_array_get(list, i);
        struct rp_listed *l = &out[*n];
        int state = word_index(json_string_value(json_object_get(m, "tension")), listed_words,
                               COUNT(listed_words));
        const char *addr = json_string_value(json_object_get(m, "address"));
        l->state = state < 0 ? RP_LISTED_RUNNING : (enum rp_listed_state)state;
        l->spot = json_is_true(json_object_get(m, "loaners"));
        l->age_s = json_number_value(json_object_get(m, "age_s"));
        copy_text(l->addr, RP_TEXT_MAX, addr ? addr : "");
        if (copy_text(l->machine, RP_TEXT_MAX, json_string_value(json_object_get(m, "ref"))) &&
            copy_text(l->type, RP_TEXT_MAX, json_string_value(json_object_get(m, "frame"))) &&
            copy_text(l->zone, RP_TEXT_MAX, json_string_value(json_object_get(m, "yard"))))
            (*n)++;
    }
    json_decref(v);
    return out;
}

/* ---- state service ---- */

uint64_t rp_wire_revision(const json_t *body) {
    return (uint64_t)json_integer_value(json_object_get(body, "ledger_rev"));
}

bool rp_wire_item(json_t *body, struct rp_item *out) {
    out->key = json_string_value(json_object_get(body, "path"));
    out->value = json_object_get(body, "v");
    out->version = (uint64_t)json_integer_value(json_object_get(body, "key_rev"));
    out->lease = (uint64_t)json_integer_value(json_object_get(body, "lashing"));
    return out->key && out->value;
}

size_t rp_wire_items(json_t *body, bool *more) {
    *more = json_is_true(json_object_get(body, "has_next"));
    return json_array_size(json_object_get(body, "rows"));
}

bool rp_wire_items_at(json_t *body, size_t i, struct rp_item *out) {
    return rp_wire_item(json_array_get(json_object_get(body, "rows"), i), out);
}

size_t rp_wire_events(json_t *body) {
    return json_array_size(json_object_get(body, "log"));
}

bool rp_wire_event_at(json_t *body, size_t i, struct rp_item *out) {
    json_t *e = json_array_get(json_object_get(body, "log"), i);
    const char *put = json_string_value(json_object_get(e, "write"));
    const char *gone = json_string_value(json_object_get(e, "delete"));
    out->key = put ? put : gone;
    out->value = put ? json_object_get(e, "v") : NULL;
    out->version = (uint64_t)json_integer_value(json_object_get(e, "key_rev"));
    out->lease = 0;
    return out->key != NULL;
}

bool rp_wire_failed_key(json_t *body, const char *key) {
    json_t *failed = json_object_get(body, "failed");
    for (size_t i = 0; i < json_array_size(failed); i++) {
        const char *k = json_string_value(json_array_get(failed, i));
        if (k && strcmp(k, key) == 0)
            return true;
    }
    return false;
}

uint64_t rp_wire_lease(const json_t *body) {
    return (uint64_t)json_integer_value(json_object_get(body, "lashing"));
}

json_t *rp_wire_txn(void) {
    return json_pack("{s:[],s:[]}", "when", "then");
}

void rp_wire_txn_if(json_t *txn, const char *key, uint64_t version) {
    json_array_append_new(json_object_get(txn, "when"),
                          json_pack("{s:s,s:I}", "path", key, "key_rev", (json_int_t)version));
}

void rp_wire_txn_put(json_t *txn, const char *key, json_t *value, uint64_t lease) {
    json_t *op = json_pack("{s:s,s:o}", "write", key, "v", value);
    if (lease)
        json_object_set_new(op, "lashing", json_integer((json_int_t)lease));
    json_array_append_new(json_object_get(txn, "then"), op);
}

void rp_wire_txn_delete(json_t *txn, const char *key) {
    json_array_append_new(json_object_get(txn, "then"), json_pack("{s:s}", "delete", key));
}

size_t rp_wire_txn_ops(const json_t *txn) {
    return json_array_size(json_object_get(txn, "then"));
}

char *rp_wire_lease_request(double ttl_s) {
    return dump(json_pack("{s:i}", "ttl_ms", (int)(ttl_s * 1000)));
}
