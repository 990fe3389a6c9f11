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

static int fail_at(struct reader *reader, const char *where, const char *fmt, ...) {
    va_list ap;
    reader->error->line = reader->line;
    reader->error->column = (int)(where - reader->line_start) + 1;
    va_start(ap, fmt);
    vsnprintf(reader->error->text, sizeof reader->error->text, fmt, ap);
    va_end(ap);
    return -1;
}

static void skip_blank(struct reader *reader) {
    for (;; reader->at++) {
        if (*reader->at == '#')
            while (*reader->at && *reader->at != '\n')
                reader->at++;
        if (*reader->at == '\n') {
            reader->line++;
            reader->line_start = reader->at + 1;
        } else if (!isspace((unsigned char)*reader->at)) {
            return;
        }
    }
}

static bool word_char(char c) {
    return isalnum((unsigned char)c) || c == '_';
}

static int read_word(struct reader *reader, char *out, size_t size) {
    size_t n = 0;
    const char *start = reader->at;
    while (word_char(reader->at[n]))
        n++;
    if (n == 0)
        return fail_at(reader, start, "a name was expected");
    if (n >= size)
        return fail_at(reader, start, "name too long");
    memcpy(out, start, n);
    out[n] = '\0';
    reader->at += n;
    return 0;
}

static int read_number(struct reader *reader, const char *name, double *out) {
    const char *start = reader->at;
    char *end;
    errno = 0;
    *out = strtod(start, &end);
    if (end == start || word_char(*end))
        return fail_at(reader, start, "%s: a number was expected", name);
    if (errno == ERANGE || !isfinite(*out))
        return fail_at(reader, start, "%s: number out of range", name);
    reader->at = end;
    return 0;
}

static int read_string(struct reader *reader, const char *name, char **out) {
    char quote = *reader->at;
    const char *start = reader->at;
    if (quote != '"' && quote != '\'')
        return fail_at(reader, start, "%s: a quoted string was expected", name);
    const char *end = ++reader->at;
    while (*end && *end != quote && *end != '\n' && *end != '\\')
        end++;
    if (*end == '\\')
        return fail_at(reader, end, "%s: escapes are not accepted", name);
    if (*end != quote)
        return fail_at(reader, start, "%s: string without an end", name);
    *out = strndup(reader->at, (size_t)(end - reader->at));
    reader->at = end + 1;
    return *out ? 0 : fail_at(reader, start, "out of memory");
}

static int read_bool(struct reader *reader, const char *name, protobuf_c_boolean *out) {
    const char *start = reader->at;
    char word[16];
    if (read_word(reader, word, sizeof word) < 0 ||
        (strcmp(word, "true") != 0 && strcmp(word, "false") != 0))
        return fail_at(reader, start, "%s: true or false was expected", name);
    *out = strcmp(word, "true") == 0;
    return 0;
}

static int read_scalar(struct reader *reader, const ProtobufCFieldDescriptor *field, void *slot) {
    const char *start = reader->at;
    double number;
    switch (field->type) {
    case PROTOBUF_C_TYPE_DOUBLE:
        return read_number(reader, field->name, (double *)slot);
    case PROTOBUF_C_TYPE_UINT32:
        if (read_number(reader, field->name, &number) < 0)
            return -1;
        if (number < 0 || number > UINT32_MAX || number != floor(number))
            return fail_at(reader, start, "%s: a whole number from 0 on was expected", field->name);
        *(uint32_t *)slot = (uint32_t)number;
        return 0;
    case PROTOBUF_C_TYPE_BOOL:
        return read_bool(reader, field->name, (protobuf_c_boolean *)slot);
    case PROTOBUF_C_TYPE_STRING:
        return read_string(reader, field->name, (char **)slot);
    default:
        return fail_at(reader, start, "%s: fields of this type are not supported", field->name);
    }
}

static int read_repeated(struct reader *reader, const ProtobufCFieldDescriptor *field,
                         ProtobufCMessage *out) {
    size_t *count = (size_t *)(void *)((char *)out + field->quantifier_offset);
    char ***list = (char ***)(void *)((char *)out + field->offset);
    if (field->type != PROTOBUF_C_TYPE_STRING)
        return fail_at(reader, reader->at, "%s: lists of this type are not supported", field->name);
    bool bracket = *reader->at == '[';
    if (bracket)
        reader->at++;
    do {
        char *text = NULL;
        skip_blank(reader);
        if (read_string(reader, field->name, &text) < 0)
            return -1;
        char **more = realloc(*list, (*count + 1) * sizeof(char *));
        if (!more) {
            free(text);
            return fail_at(reader, reader->at, "out of memory");
        }
        *list = more;
        more[(*count)++] = text;
        skip_blank(reader);
    } while (bracket && *reader->at == ',' && reader->at++);
    if (bracket && *reader->at++ != ']')
        return fail_at(reader, reader->at - 1, "%s: ',' or ']' was expected", field->name);
    return 0;
}

static int read_field(struct reader *reader, ProtobufCMessage *out, bool *seen) {
    char name[64];
    const char *start = reader->at;
    if (read_word(reader, name, sizeof name) < 0)
        return -1;
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field_by_name(out->descriptor, name);
    if (!field)
        return fail_at(reader, start, "unknown field '%s'", name);
    size_t index = (size_t)(field - out->descriptor->fields);
    bool repeated = field->label == PROTOBUF_C_LABEL_REPEATED;
    if (seen[index] && !repeated)
        return fail_at(reader, start, "field '%s' is given twice", name);
    seen[index] = true;
    skip_blank(reader);
    if (*reader->at != ':')
        return fail_at(reader, reader->at, "%s: ':' was expected", name);
    reader->at++;
    skip_blank(reader);
    if (repeated)
        return read_repeated(reader, field, out);
    if (read_scalar(reader, field, (char *)out + field->offset) < 0)
        return -1;
    if (field->type != PROTOBUF_C_TYPE_STRING)
        *(protobuf_c_boolean *)((char *)out + field->quantifier_offset) = 1;
    return 0;
}

int rp_text_read(const char *text, ProtobufCMessage *out, struct rp_text_error *error) {
    struct reader reader = {.at = text, .line_start = text, .line = 1, .error = error};
    bool *seen = calloc(out->descriptor->n_fields + 1, sizeof *seen);
    int rc = 0;
    if (!seen)
        return fail_at(&reader, text, "out of memory");
    while (rc == 0) {
        skip_blank(&reader);
        if (!*reader.at)
            break;
        rc = read_field(&reader, out, seen);
        if (rc == 0 && (*reader.at == ',' || *reader.at == ';'))
            reader.at++;
    }
    free(seen);
    return rc;
}
