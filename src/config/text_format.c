#include "config/text_format.h"

#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_DEPTH_MAX 8

struct reader {
    const char *at;
    const char *line_start;
    int line;
    struct rp_text_error *error;
};

static int fail_at(struct reader *r, const char *where, const char *fmt, ...) {
    va_list ap;
    r->error->line = r->line;
    r->error->column = (int)(where - r->line_start) + 1;
    va_start(ap, fmt);
    vsnprintf(r->error->text, sizeof r->error->text, fmt, ap);
    va_end(ap);
    return -1;
}

static void skip_blank(struct reader *r) {
    for (;; r->at++) {
        if (*r->at == '#')
            while (*r->at && *r->at != '\n')
                r->at++;
        if (*r->at == '\n') {
            r->line++;
            r->line_start = r->at + 1;
        } else if (!isspace((unsigned char)*r->at)) {
            return;
        }
    }
}

static bool word_char(char c) {
    return isalnum((unsigned char)c) || c == '_';
}

static int read_word(struct reader *r, char *out, size_t size) {
    size_t n = 0;
    const char *start = r->at;
    while (word_char(r->at[n]))
        n++;
    if (n == 0)
        return fail_at(r, start, "a name was expected");
    if (n >= size)
        return fail_at(r, start, "name too long");
    memcpy(out, start, n);
    out[n] = '\0';
    r->at += n;
    return 0;
}

static int read_number(struct reader *r, const char *name, double *out) {
    const char *start = r->at;
    char *end;
    errno = 0;
    *out = strtod(start, &end);
    if (end == start || word_char(*end))
        return fail_at(r, start, "%s: a number was expected", name);
    if (errno == ERANGE || !isfinite(*out))
        return fail_at(r, start, "%s: number out of range", name);
    r->at = end;
    return 0;
}

static int read_string(struct reader *r, const char *name, char **out) {
    char quote = *r->at;
    const char *start = r->at;
    if (quote != '"' && quote != '\'')
        return fail_at(r, start, "%s: a quoted string was expected", name);
    const char *end = ++r->at;
    while (*end && *end != quote && *end != '\n' && *end != '\\')
        end++;
    if (*end == '\\')
        return fail_at(r, end, "%s: escapes are not accepted", name);
    if (*end != quote)
        return fail_at(r, start, "%s: string without an end", name);
    *out = strndup(r->at, (size_t)(end - r->at));
    r->at = end + 1;
    return *out ? 0 : fail_at(r, start, "out of memory");
}

static int read_bool(struct reader *r, const char *name, protobuf_c_boolean *out) {
    const char *start = r->at;
    char word[16];
    if (read_word(r, word, sizeof word) < 0 ||
        (strcmp(word, "true") != 0 && strcmp(word, "false") != 0))
        return fail_at(r, start, "%s: true or false was expected", name);
    *out = strcmp(word, "true") == 0;
    return 0;
}

static int read_scalar(struct reader *r, const ProtobufCFieldDescriptor *field, void *slot) {
    const char *start = r->at;
    double number;
    switch (field->type) {
    case PROTOBUF_C_TYPE_DOUBLE:
        return read_number(r, field->name, (double *)slot);
    case PROTOBUF_C_TYPE_UINT32:
        if (read_number(r, field->name, &number) < 0)
            return -1;
        if (number < 0 || number > UINT32_MAX || number != floor(number))
            return fail_at(r, start, "%s: a whole number from 0 on was expected", field->name);
        *(uint32_t *)slot = (uint32_t)number;
        return 0;
    case PROTOBUF_C_TYPE_BOOL:
        return read_bool(r, field->name, (protobuf_c_boolean *)slot);
    case PROTOBUF_C_TYPE_STRING:
        return read_string(r, field->name, (char **)slot);
    default:
        return fail_at(r, start, "%s: fields of this type are not supported", field->name);
    }
}

static int read_repeated(struct reader *r, const ProtobufCFieldDescriptor *field,
                         ProtobufCMessage *out) {
    size_t *count = (size_t *)(void *)((char *)out + field->quantifier_offset);
    char ***list = (char ***)(void *)((char *)out + field->offset);
    if (field->type != PROTOBUF_C_TYPE_STRING)
        return fail_at(r, r->at, "%s: lists of this type are not supported", field->name);
    bool bracket = *r->at == '[';
    if (bracket)
        r->at++;
    do {
        char *text = NULL;
        skip_blank(r);
        if (read_string(r, field->name, &text) < 0)
            return -1;
        char **more = realloc(*list, (*count + 1) * sizeof(char *));
        if (!more) {
            free(text);
            return fail_at(r, r->at, "out of memory");
        }
        *list = more;
        more[(*count)++] = text;
        skip_blank(r);
    } while (bracket && *r->at == ',' && r->at++);
    if (bracket && *r->at++ != ']')
        return fail_at(r, r->at - 1, "%s: ',' or ']' was expected", field->name);
    return 0;
}

static int read_field(struct reader *r, ProtobufCMessage *out, bool *seen) {
    char name[64];
    const char *start = r->at;
    if (read_word(r, name, sizeof name) < 0)
        return -1;
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field_by_name(out->descriptor, name);
    if (!field)
        return fail_at(r, start, "unknown field '%s'", name);
    size_t index = (size_t)(field - out->descriptor->fields);
    bool repeated = field->label == PROTOBUF_C_LABEL_REPEATED;
    if (seen[index] && !repeated)
        return fail_at(r, start, "field '%s' is given twice", name);
    seen[index] = true;
    skip_blank(r);
    if (*r->at != ':')
        return fail_at(r, r->at, "%s: ':' was expected", name);
    r->at++;
    skip_blank(r);
    if (repeated)
        return read_repeated(r, field, out);
    if (read_scalar(r, field, (char *)out + field->offset) < 0)
        return -1;
    if (field->type != PROTOBUF_C_TYPE_STRING)
        *(protobuf_c_boolean *)((char *)out + field->quantifier_offset) = 1;
    return 0;
}

int rp_text_read(const char *text, ProtobufCMessage *out, struct rp_text_error *error) {
    struct reader r = {.at = text, .line_start = text, .line = 1, .error = error};
    bool *seen = calloc(out->descriptor->n_fields + 1, sizeof *seen);
    int rc = 0;
    if (!seen)
        return fail_at(&r, text, "out of memory");
    while (rc == 0) {
        skip_blank(&r);
        if (!*r.at)
            break;
        rc = read_field(&r, out, seen);
        if (rc == 0 && (*r.at == ',' || *r.at == ';'))
            r.at++;
    }
    free(seen);
    return rc;
}
