#include "protocol/codec.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include "base/string_copy.h"
#include "protocol/json_text.h"

/* Maximum of the amounts that are read. It is above any amount of the protocol, and far below the
 * largest integers that a double represents exactly. */
#define AMOUNT_MAX 1e12

static const char *const reason_texts[] = {
    [RP_CODEC_OK] = "",
    [RP_CODEC_NOT_JSON] = "not a JSON object",
    [RP_CODEC_NOT_AN_OBJECT] = "not an object",
    [RP_CODEC_STRING_NEEDED] = "a string is needed",
    [RP_CODEC_TOO_LONG] = "too long",
    [RP_CODEC_AMOUNT_NEEDED] = "an amount from 0 on is needed",
    [RP_CODEC_BOOLEAN_NEEDED] = "true or false is needed",
    [RP_CODEC_UNKNOWN_ENUM_NAME] = "not one of the known words",
    [RP_CODEC_TYPES_NEEDED] = "a list of machine types is needed",
    [RP_CODEC_N_TASKS_NEEDED] = "a whole number from 1 to 100000 is needed",
    [RP_CODEC_ZONE_NEEDED] = "a zone or null is needed",
    [RP_CODEC_NOT_A_JOB_ID] = "not a job id",
};

void rp_codec_error_text(const struct rp_codec_error *error, char out[RP_CODEC_ERROR_MAX]) {
    const char *text = reason_texts[error->reason];
    if (error->field)
        snprintf(out, RP_CODEC_ERROR_MAX, "%s: %s", error->field, text);
    else
        rp_string_copy(out, RP_CODEC_ERROR_MAX, text);
}

json_t *rp_codec_parse_object(const char *body, size_t len) {
    json_t *value = rp_json_parse(body, len);
    if (json_is_object(value))
        return value;
    json_decref(value);
    return NULL;
}

char *rp_codec_write(json_t *value) {
    char *text = rp_json_write(value);
    json_decref(value);
    return text;
}

char *rp_codec_write_error(const char *text) {
    return rp_codec_write(json_pack("{s:s}", "error", text));
}

bool rp_codec_copy_text(char *out, size_t size, const char *text) {
    if (!text || strlen(text) >= size)
        return false;
    rp_string_copy(out, size, text);
    return true;
}

bool rp_codec_copy_string(const json_t *object, const char *name, char *out, size_t size) {
    return rp_codec_copy_text(out, size, json_string_value(json_object_get(object, name)));
}

bool rp_codec_read_count(const json_t *object, const char *name, uint64_t *out) {
    return rp_json_to_count(json_object_get(object, name), out);
}

int rp_codec_find_enum_value(const json_t *object, const char *name,
                             struct rp_codec_enum_names names) {
    const char *enum_name = json_string_value(json_object_get(object, name));
    for (size_t i = 0; enum_name && i < names.n; i++)
        if (strcmp(enum_name, names.names[i]) == 0)
            return (int)i;
    return RP_CODEC_NO_ENUM_VALUE;
}

void rp_codec_reader_fail(struct rp_codec_reader *reader, const char *name,
                          enum rp_codec_reason reason) {
    if (rp_codec_reader_is_ok(reader))
        reader->error = (struct rp_codec_error){.reason = reason, .field = name};
}

bool rp_codec_reader_is_ok(const struct rp_codec_reader *reader) {
    return reader->error.reason == RP_CODEC_OK;
}

json_t *rp_codec_reader_optional(const struct rp_codec_reader *reader, const char *name) {
    json_t *value = json_object_get(reader->object, name);
    return json_is_null(value) ? NULL : value;
}

void rp_codec_reader_text(struct rp_codec_reader *reader, const char *name, char *out,
                          size_t size) {
    const char *text = json_string_value(json_object_get(reader->object, name));
    if (!text || !*text)
        rp_codec_reader_fail(reader, name, RP_CODEC_STRING_NEEDED);
    else if (!rp_codec_copy_text(out, size, text))
        rp_codec_reader_fail(reader, name, RP_CODEC_TOO_LONG);
}

void rp_codec_reader_amount(struct rp_codec_reader *reader, const char *name, double *out) {
    const json_t *value = json_object_get(reader->object, name);
    *out = json_number_value(value);
    bool is_in_range = isfinite(*out) && *out >= 0 && *out <= AMOUNT_MAX;
    if (!json_is_number(value) || !is_in_range)
        rp_codec_reader_fail(reader, name, RP_CODEC_AMOUNT_NEEDED);
}

void rp_codec_reader_flag(struct rp_codec_reader *reader, const char *name, bool *out) {
    const json_t *value = json_object_get(reader->object, name);
    *out = json_is_true(value);
    if (!json_is_boolean(value))
        rp_codec_reader_fail(reader, name, RP_CODEC_BOOLEAN_NEEDED);
}

int rp_codec_reader_enum_value(struct rp_codec_reader *reader, const char *name,
                               struct rp_codec_enum_names names) {
    int value = rp_codec_find_enum_value(reader->object, name, names);
    if (value != RP_CODEC_NO_ENUM_VALUE)
        return value;
    rp_codec_reader_fail(reader, name, RP_CODEC_UNKNOWN_ENUM_NAME);
    return 0;
}
