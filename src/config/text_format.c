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

#define FIELD_NAME_BYTES 64 /* buffer of a field's name, with its NUL */
#define BOOLEAN_BYTES 16    /* buffer of the text of a boolean, with its NUL */

/* The state of the parser. Each function below that returns bool and takes a parser returns false
 * on an error and has then described it in `error`. */
struct parser {
    const char *position; /* address of the next byte to be read */
    const char *line_start;
    int line; /* counted from 1 */
    struct rp_text_format_error *error;
};

/* Describes an error at the position `where` of the current line. Returns false. */
static bool fail_at(struct parser *parser, const char *where, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
static bool fail_at(struct parser *parser, const char *where, const char *format, ...) {
    va_list ap;
    parser->error->line = parser->line;
    parser->error->column = (int)(where - parser->line_start) + 1;
    va_start(ap, format);
    vsnprintf(parser->error->text, sizeof parser->error->text, format, ap);
    va_end(ap);
    return false;
}

static void skip_blanks_and_comments(struct parser *parser) {
    for (;; parser->position++) {
        if (*parser->position == '#')
            while (*parser->position && *parser->position != '\n')
                parser->position++;
        if (*parser->position == '\n') {
            parser->line++;
            parser->line_start = parser->position + 1;
        } else if (!isspace((unsigned char)*parser->position)) {
            return;
        }
    }
}

static bool is_word_char(char byte) {
    return isalnum((unsigned char)byte) || byte == '_';
}

static bool read_word(struct parser *parser, char *out, size_t size) {
    size_t len = 0;
    const char *start = parser->position;
    while (is_word_char(start[len]))
        len++;
    if (len == 0)
        return fail_at(parser, start, "a name was expected");
    if (len >= size)
        return fail_at(parser, start, "name is longer than %zu bytes", size - 1);
    memcpy(out, start, len);
    out[len] = '\0';
    parser->position += len;
    return true;
}

static bool read_number(struct parser *parser, const char *name, double *out) {
    const char *start = parser->position;
    char *end;
    errno = 0;
    *out = strtod(start, &end);
    if (end == start || is_word_char(*end))
        return fail_at(parser, start, "%s: a number was expected", name);
    if (errno == ERANGE || !isfinite(*out))
        return fail_at(parser, start, "%s: number is out of range", name);
    parser->position = end;
    return true;
}

static bool read_whole_number(struct parser *parser, const char *name, uint32_t *out) {
    const char *start = parser->position;
    double number;
    if (!read_number(parser, name, &number))
        return false;
    if (number < 0 || number > UINT32_MAX || number != floor(number))
        return fail_at(parser, start,
                       "%s: a whole number from 0 to 4294967295 was expected, not %g", name,
                       number);
    *out = (uint32_t)number;
    return true;
}

/* Reads a quoted string into `out`, which the caller frees. */
static bool read_string(struct parser *parser, const char *name, char **out) {
    char quote = *parser->position;
    const char *start = parser->position;
    if (quote != '"' && quote != '\'')
        return fail_at(parser, start, "%s: a quoted string was expected", name);
    const char *end = ++parser->position;
    while (*end && *end != quote && *end != '\n' && *end != '\\')
        end++;
    if (*end == '\\')
        return fail_at(parser, end, "%s: escape sequences are not supported", name);
    if (*end != quote)
        return fail_at(parser, start, "%s: string has no closing quote", name);
    size_t len = (size_t)(end - parser->position);
    *out = rp_alloc(len + 1, sizeof **out);
    memcpy(*out, parser->position, len);
    parser->position = end + 1;
    return true;
}

static bool read_boolean(struct parser *parser, const char *name, protobuf_c_boolean *out) {
    const char *start = parser->position;
    char word[BOOLEAN_BYTES];
    if (!read_word(parser, word, sizeof word) ||
        (strcmp(word, "true") != 0 && strcmp(word, "false") != 0))
        return fail_at(parser, start, "%s: true or false was expected", name);
    *out = strcmp(word, "true") == 0;
    return true;
}

static bool read_scalar(struct parser *parser, const ProtobufCFieldDescriptor *field, void *out) {
    switch (field->type) {
    case PROTOBUF_C_TYPE_DOUBLE:
        return read_number(parser, field->name, out);
    case PROTOBUF_C_TYPE_UINT32:
        return read_whole_number(parser, field->name, out);
    case PROTOBUF_C_TYPE_BOOL:
        return read_boolean(parser, field->name, out);
    case PROTOBUF_C_TYPE_STRING:
        return read_string(parser, field->name, out);
    default:
        return fail_at(parser, parser->position, "%s: fields of this type are not supported",
                       field->name);
    }
}

/* Reads one string, or several in brackets, and appends them to the message's list. */
static bool read_repeated(struct parser *parser, const ProtobufCFieldDescriptor *field,
                          ProtobufCMessage *out) {
    size_t *count = (size_t *)(void *)((char *)out + field->quantifier_offset);
    char ***list = (char ***)(void *)((char *)out + field->offset);
    if (field->type != PROTOBUF_C_TYPE_STRING)
        return fail_at(parser, parser->position, "%s: lists of this type are not supported",
                       field->name);
    bool has_bracket = *parser->position == '[';
    if (has_bracket)
        parser->position++;
    for (;;) {
        char *text = NULL;
        skip_blanks_and_comments(parser);
        if (!read_string(parser, field->name, &text))
            return false;
        *list = rp_realloc(*list, *count + 1, sizeof **list);
        (*list)[(*count)++] = text;
        skip_blanks_and_comments(parser);
        if (!has_bracket)
            return true;
        char separator = *parser->position;
        if (separator != ',' && separator != ']')
            return fail_at(parser, parser->position, "%s: ',' or ']' was expected", field->name);
        parser->position++;
        if (separator == ']')
            return true;
    }
}

static bool read_value(struct parser *parser, const ProtobufCFieldDescriptor *field,
                       ProtobufCMessage *out) {
    if (field->label == PROTOBUF_C_LABEL_REPEATED)
        return read_repeated(parser, field, out);
    if (!read_scalar(parser, field, (char *)out + field->offset))
        return false;
    if (field->type != PROTOBUF_C_TYPE_STRING)
        *(protobuf_c_boolean *)((char *)out + field->quantifier_offset) = 1;
    return true;
}

/* Reads a field's name and value. `seen` holds, for each field of the message, whether it has
 * already occurred. */
static bool read_field(struct parser *parser, ProtobufCMessage *out, bool *seen) {
    char name[FIELD_NAME_BYTES];
    const char *start = parser->position;
    if (!read_word(parser, name, sizeof name))
        return false;
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field_by_name(out->descriptor, name);
    if (!field)
        return fail_at(parser, start, "unknown field '%s'", name);
    size_t index = (size_t)(field - out->descriptor->fields);
    if (seen[index] && field->label != PROTOBUF_C_LABEL_REPEATED)
        return fail_at(parser, start, "field '%s' occurs twice", name);
    seen[index] = true;
    skip_blanks_and_comments(parser);
    if (*parser->position != ':')
        return fail_at(parser, parser->position, "%s: ':' was expected", name);
    parser->position++;
    skip_blanks_and_comments(parser);
    return read_value(parser, field, out);
}

bool rp_text_format_read(const char *text, ProtobufCMessage *out,
                         struct rp_text_format_error *error) {
    struct parser parser = {.position = text, .line_start = text, .line = 1, .error = error};
    bool *seen = rp_alloc(out->descriptor->n_fields, sizeof *seen);
    bool is_ok = true;
    for (;;) {
        skip_blanks_and_comments(&parser);
        if (!*parser.position)
            break;
        is_ok = read_field(&parser, out, seen);
        if (!is_ok)
            break;
        if (*parser.position == ',' || *parser.position == ';')
            parser.position++;
    }
    free(seen);
    return is_ok;
}
