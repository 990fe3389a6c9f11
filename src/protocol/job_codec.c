#include "protocol/job_codec.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

#define ID_PREFIX "j-"
#define ID_DIGITS_MAX 20 /* maximum number of digits of a job id; 2^64 - 1 has 20 digits */
/* Maximum length of a submission's list of allowed machine types. It bounds the memory that a
 * submission makes a node allocate. */
#define ALLOWED_TYPES_MAX 1000

static const char *const kind_names[] = {
    [RP_JOB_ARRAY] = "sweep",
    [RP_JOB_GANG] = "ensemble",
    [RP_JOB_SERVICE] = "service",
};
static const struct rp_codec_enum_names kinds = RP_CODEC_ENUM_NAMES(kind_names);

static const char *const priority_names[] = {
    [RP_PRIORITY_LOW] = "low",
    [RP_PRIORITY_NORMAL] = "normal",
    [RP_PRIORITY_HIGH] = "urgent",
    [RP_PRIORITY_CRITICAL] = "critical",
};
static const struct rp_codec_enum_names priorities = RP_CODEC_ENUM_NAMES(priority_names);

bool rp_job_codec_is_id(const char *text) {
    size_t n_digits = 0;
    if (!text || strncmp(text, ID_PREFIX, strlen(ID_PREFIX)) != 0)
        return false;
    for (const char *c = text + strlen(ID_PREFIX); *c; c++, n_digits++)
        if (!isdigit((unsigned char)*c))
            return false;
    return n_digits > 0 && n_digits <= ID_DIGITS_MAX;
}

static void read_allowed_types(struct rp_codec_reader *reader, struct rp_job_spec *out) {
    const json_t *types = rp_codec_reader_optional(reader, "frames");
    if (!types)
        return;
    size_t n = json_array_size(types);
    if (n == 0 || n > ALLOWED_TYPES_MAX) {
        rp_codec_reader_fail(reader, "frames", RP_CODEC_TYPES_NEEDED);
        return;
    }
    out->n_types = n;
    out->types = rp_alloc(n, sizeof *out->types);
    for (size_t i = 0; i < n; i++)
        if (!rp_codec_copy_text(out->types[i], RP_TEXT_MAX,
                                json_string_value(json_array_get(types, i))))
            rp_codec_reader_fail(reader, "frames", RP_CODEC_TYPES_NEEDED);
}

static void read_n_tasks(struct rp_codec_reader *reader, struct rp_job_spec *out) {
    const json_t *value = json_object_get(reader->object, "lifts");
    json_int_t n = json_integer_value(value);
    if (!json_is_integer(value) || n < 1 || n > RP_TASKS_MAX)
        rp_codec_reader_fail(reader, "lifts", RP_CODEC_N_TASKS_NEEDED);
    else
        out->n_tasks = (uint32_t)n;
}

static void read_zone(struct rp_codec_reader *reader, struct rp_job_spec *out) {
    const json_t *zone = rp_codec_reader_optional(reader, "yard");
    if (!zone)
        return;
    const char *name = json_string_value(zone);
    if (!name || !*name || !rp_codec_copy_text(out->zone, sizeof out->zone, name))
        rp_codec_reader_fail(reader, "yard", RP_CODEC_ZONE_NEEDED);
}

/* Reads the number of tasks and the requirements of each task. */
static void read_tasks(struct rp_codec_reader *reader, struct rp_job_spec *out) {
    read_n_tasks(reader, out);
    rp_codec_reader_amount(reader, "vcpus", &out->task_resources.cpus);
    rp_codec_reader_amount(reader, "cards", &out->task_resources.gpus);
    rp_codec_reader_amount(reader, "memory_gb", &out->task_resources.memory_gb);
    out->task_resources.task_slots = 1;
    rp_codec_reader_text(reader, "payload", out->image, sizeof out->image);
    rp_codec_reader_amount(reader, "image_gb", &out->image_gb);
    read_allowed_types(reader, out);
    read_zone(reader, out);
}

bool rp_job_codec_read_spec(const json_t *object, struct rp_job_spec *out,
                            struct rp_codec_error *error) {
    struct rp_codec_reader reader = {.object = object};
    memset(out, 0, sizeof *out);
    *error = (struct rp_codec_error){.reason = RP_CODEC_NOT_AN_OBJECT};
    if (!json_is_object(object))
        return false;
    rp_codec_reader_text(&reader, "ref", out->id, sizeof out->id);
    if (rp_codec_reader_is_ok(&reader) && !rp_job_codec_is_id(out->id))
        rp_codec_reader_fail(&reader, "ref", RP_CODEC_NOT_A_JOB_ID);
    rp_codec_reader_text(&reader, "rig", out->class_name, sizeof out->class_name);
    rp_codec_reader_text(&reader, "crew", out->team, sizeof out->team);
    out->kind = (enum rp_job_kind)rp_codec_reader_enum_value(&reader, "haul", kinds);
    out->priority = (enum rp_priority)rp_codec_reader_enum_value(&reader, "precedence", priorities);
    read_tasks(&reader, out);
    rp_codec_reader_flag(&reader, "one_zone", &out->one_zone);
    rp_codec_reader_flag(&reader, "spread", &out->spread);
    rp_codec_reader_flag(&reader, "loaners", &out->spot);
    rp_codec_reader_amount(&reader, "run_guess_s", &out->run_time_estimate_s);
    rp_codec_reader_amount(&reader, "brace_every_s", &out->checkpoint_interval_s);
    rp_codec_reader_amount(&reader, "brace_s", &out->save_duration_s);
    if (rp_codec_reader_optional(&reader, "due_s"))
        rp_codec_reader_amount(&reader, "due_s", &out->deadline_s);
    *error = reader.error;
    bool is_ok = rp_codec_reader_is_ok(&reader);
    if (!is_ok)
        rp_job_spec_free(out);
    return is_ok;
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
        kind_names[spec->kind], "precedence", priority_names[spec->priority], "lifts",
        (int)spec->n_tasks, "vcpus", spec->task_resources.cpus, "cards", spec->task_resources.gpus,
        "memory_gb", spec->task_resources.memory_gb, "payload", spec->image, "image_gb",
        spec->image_gb, "frames", types, "yard", *spec->zone ? spec->zone : NULL, "one_zone",
        spec->one_zone, "spread", spec->spread, "loaners", spec->spot, "run_guess_s",
        spec->run_time_estimate_s, "brace_every_s", spec->checkpoint_interval_s, "brace_s",
        spec->save_duration_s, "due_s", spec->deadline_s > 0 ? json_real(spec->deadline_s) : NULL);
}
