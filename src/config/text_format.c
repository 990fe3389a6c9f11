#include "config/text_format.h"

#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

#define FIELD_NAME_MAX 64 /* bytes of a field's name, with its NUL */
#define BOOLEAN_MAX 16    /* bytes of the word for a boolean, with its NUL */

/* Where the reader stands. All functions below that return bool return false at a mistake, which
 * they have written to `error`. */
struct reader {
    const char *position;
    const char *line_start;
    int line;
    struct rp_text_format_error *error;
};

/* Writes the mistake at `where`; returns false. */
static bool fail_at(struct reader *reader, const char *where, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
static bool fail_at(struct reader *reader, const char *where, const char *format, ...) {
    va_list ap;
    reader->error->line = reader->line;
    reader->error->column = (int)(where - reader->line_start) + 1;
    va_start(ap, format);
    vsnprintf(reader->error->text, sizeof reader->error->text, format, ap);
    va_end(ap);
    return false;
}

static void skip_blanks_and_comments(struct reader *reader) {
    for (;; reader->position++) {
        if (*reader->position == '#')
            while (*reader->position && *reader->position != '\n')
                reader->position++;
        if (*reader->position == '\n') {
            reader->line++;
            reader->line_start = reader->position + 1;
        } else if (!isspace((unsigned char)*reader->position)) {
            return;
        }
    }
}

static bool is_word_char(char byte) {
    return isalnum((unsigned char)byte) || byte == '_';
}

static bool read_word(struct reader *reader, char *out, size_t size) {
    size_t len = 0;
    const char *start = reader->position;
    while (is_word_char(start[len]))
        len++;
    if (len == 0)
        return fail_at(reader, start, "a name was expected");
    if (len >= size)
        return fail_at(reader, start, "name too long");
    memcpy(out, start, len);
    out[len] = '\0';
    reader->position += len;
    return true;
}

static bool read_number(struct reader *reader, const char *name, double *out) {
    const char *start = reader->position;
    char *end;
    errno = 0;
    *out = strtod(start, &end);
    if (end == start || is_word_char(*end))
        return fail_at(reader, start, "%s: a number was expected", name);
    if (errno == ERANGE || !isfinite(*out))
        return fail_at(reader, start, "%s: number out of range", name);
    reader->position = end;
    return true;
}

static bool read_whole_number(struct reader *reader, const char *name, uint32_t *out) {
    const char *start = reader->position;
    double number;
    if (!read_number(reader, name, &number))
        return false;
    if (number < 0 || number > UINT32_MAX || number != floor(number))
        return fail_at(reader, start, "%s: a whole number from 0 on was expected", name);
    *out = (uint32_t)number;
    return true;
}

/* The caller frees what `out` gets. */
static bool read_string(struct reader *reader, const char *name, char **out) {
    char quote = *reader->position;
    const char *start = reader->position;
    if (quote != '"' && quote != '\'')
        return fail_at(reader, start, "%s: a quoted string was expected", name);
    const char *end = ++reader->position;
    while (*end && *end != quote && *end != '\n' && *end != '\\')
        end++;
    if (*end == '\\')
        return fail_at(reader, end, "%s: escapes are not accepted", name);
    if (*end != quote)
        return fail_at(reader, start, "%s: string without an end", name);
    size_t len = (size_t)(end - reader->position);
    *out = rp_alloc(len + 1, sizeof **out);
    memcpy(*out, reader->position, len);
    reader->position = end + 1;
    return true;
}

static bool read_boolean(struct reader *reader, const char *name, protobuf_c_boolean *out) {
    const char *start = reader->position;
    char word[BOOLEAN_MAX];
    if (!read_word(reader, word, sizeof word) ||
        (strcmp(word, "true") != 0 && strcmp(word, "false") != 0))
        return fail_at(reader, start, "%s: true or false was expected", name);
    *out = strcmp(word, "true") == 0;
    return true;
}

static bool read_scalar(struct reader *reader, const ProtobufCFieldDescriptor *field, void *out) {
    switch (field->type) {
    case PROTOBUF_C_TYPE_DOUBLE:
        return read_number(reader, field->name, out);
    case PROTOBUF_C_TYPE_UINT32:
        return read_whole_number(reader, field->name, out);
    case PROTOBUF_C_TYPE_BOOL:
        return read_boolean(reader, field->name, out);
    case PROTOBUF_C_TYPE_STRING:
        return read_string(reader, field->name, out);
    default:
        return fail_at(reader, reader->position, "%s: fields of this type are not supported",
                       field->name);
    }
}

/* Reads one string, or several in brackets, and adds them to the message's list. */
static bool read_repeated(struct reader *reader, const ProtobufCFieldDescriptor *field,
                          ProtobufCMessage *out) {
    size_t *count = (size_t *)(void *)((char *)out + field->quantifier_offset);
    char ***list = (char ***)(void *)((char *)out + field->offset);
    if (field->type != PROTOBUF_C_TYPE_STRING)
        return fail_at(reader, reader->position, "%s: lists of this type are not supported",
                       field->name);
    bool has_bracket = *reader->position == '[';
    if (has_bracket)
        reader->position++;
    for (;;) {
        char *text = NULL;
        skip_blanks_and_comments(reader);
        if (!read_string(reader, field->name, &text))
            return false;
        *list = rp_realloc(*list, *count + 1, sizeof **list);
        (*list)[(*count)++] = text;
        skip_blanks_and_comments(reader);
        if (!has_bracket)
            return true;
        char separator = *reader->position;
        if (separator != ',' && separator != ']')
            return fail_at(reader, reader->position, "%s: ',' or ']' was expected", field->name);
        reader->position++;
        if (separator == ']')
            return true;
    }
}

static bool read_value(struct reader *reader, const ProtobufCFieldDescriptor *field,
                       ProtobufCMessage *out) {
    if (field->label == PROTOBUF_C_LABEL_REPEATED)
        return read_repeated(reader, field, out);
    if (!read_scalar(reader, field, (char *)out + field->offset))
        return false;
    if (field->type != PROTOBUF_C_TYPE_STRING)
        *(protobuf_c_boolean *)((char *)out + field->quantifier_offset) = 1;
    return true;
}

/* `seen` tells for each field of the message whether it was given before. */
static bool read_field(struct reader *reader, ProtobufCMessage *out, bool *seen) {
    char name[FIELD_NAME_MAX];
    const char *start = reader->position;
    if (!read_word(reader, name, sizeof name))
        return false;
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field_by_name(out->descriptor, name);
    if (!field)
        return fail_at(reader, start, "unknown field '%s'", name);
    size_t index = (size_t)(field - out->descriptor->fields);
    if (seen[index] && field->label != PROTOBUF_C_LABEL_REPEATED)
        return fail_at(reader, start, "field '%s' is given twice", name);
    seen[index] = true;
    skip_blanks_and_comments(reader);
    if (*reader->position != ':')
        return fail_at(reader, reader->position, "%s: ':' was expected", name);
    reader->position++;
    skip_blanks_and_comments(reader);
    return read_value(reader, field, out);
}

bool rp_text_format_read(const char *text, ProtobufCMessage *out,
                         struct rp_text_format_error *error) {
    struct reader reader = {.position = text, .line_start = text, .line = 1, .error = error};
    bool *seen = rp_alloc(out->descriptor->n_fields, sizeof *seen);
    bool is_ok = true;
    for (;;) {
        skip_blanks_and_comments(&reader);
        if (!*reader.position)
            break;
        is_ok = read_field(&reader, out, seen);
        if (!is_ok)
            break;
        if (*reader.position == ',' || *reader.position == ';')
            reader.position++;
    }
    free(seen);
    return is_ok;
}
