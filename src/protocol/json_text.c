#include "protocol/json_text.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"

/* The key of the object that holds an integer of 2^63 or more as a string of digits. */
#define COUNT_KEY                                                                                  \
    "\x01"                                                                                         \
    "count"
/* What precedes and follows the digits in the text of such an object. */
#define COUNT_PREFIX "{\"\\u0001count\":\""
#define COUNT_SUFFIX "\"}"
/* Appended to an integer outside of the range, which makes it a real number. */
#define REAL_SUFFIX "e0"
/* The characters of a number in JSON. */
#define NUMBER_CHARACTERS "+-.0123456789Ee"
/* Bytes of the digits of an integer below 2^64, with their NUL. */
#define DIGITS_BYTES 21
/* A number that is rewritten has at least 19 digits: its text grows to less than this multiple. */
#define GROWTH_FACTOR_MAX 3

json_t *rp_json_from_count(uint64_t count) {
    char digits[DIGITS_BYTES];
    if (count <= INT64_MAX)
        return json_integer((json_int_t)count);
    snprintf(digits, sizeof digits, "%" PRIu64, count);
    return json_pack("{s:s}", COUNT_KEY, digits);
}

/* Parses digits alone, without a sign. */
static bool parse_digits(const char *text, size_t len, uint64_t *out) {
    char digits[DIGITS_BYTES];
    if (len == 0 || len >= sizeof digits || !isdigit((unsigned char)*text))
        return false;
    memcpy(digits, text, len);
    digits[len] = '\0';
    char *end;
    errno = 0;
    uint64_t value = strtoull(digits, &end, 10);
    if (errno != 0 || *end)
        return false;
    *out = value;
    return true;
}

bool rp_json_to_count(const json_t *value, uint64_t *out) {
    const char *digits = json_string_value(json_object_get(value, COUNT_KEY));
    if (digits)
        return parse_digits(digits, strlen(digits), out);
    if (!json_is_integer(value) || json_integer_value(value) < 0)
        return false;
    *out = (uint64_t)json_integer_value(value);
    return true;
}

/* ---- parsing ---- */

static bool is_integer(const char *token, size_t len) {
    size_t first = *token == '-';
    for (size_t i = first; i < len; i++)
        if (!isdigit((unsigned char)token[i]))
            return false;
    return len > first;
}

/* Whether the JSON library can hold the integer. */
static bool is_in_library_range(const char *token, size_t len) {
    uint64_t magnitude;
    size_t first = *token == '-';
    return parse_digits(token + first, len - first, &magnitude) && magnitude <= INT64_MAX;
}

/* Appends the number to `out` in a form that the JSON library can hold. Returns the new end. */
static char *append_number(char *out, const char *token, size_t len) {
    uint64_t count;
    if (!is_integer(token, len) || is_in_library_range(token, len))
        return (char *)memcpy(out, token, len) + len;
    if (parse_digits(token, len, &count))
        return out + sprintf(out, COUNT_PREFIX "%" PRIu64 COUNT_SUFFIX, count);
    memcpy(out, token, len);
    return stpcpy(out + len, REAL_SUFFIX);
}

/* Returns a copy of the text, which the caller frees, in which every integer that the JSON library
 * cannot hold is replaced. */
static char *replace_large_integers(const char *text, size_t len, size_t *out_len) {
    char *copy = rp_alloc(GROWTH_FACTOR_MAX, len + 1);
    char *out = copy;
    bool is_in_string = false;
    for (size_t i = 0; i < len;) {
        bool is_escape = is_in_string && text[i] == '\\' && i + 1 < len;
        size_t n = is_escape ? 2 : 1;
        if (text[i] == '"')
            is_in_string = !is_in_string;
        if (!is_in_string && (text[i] == '-' || isdigit((unsigned char)text[i]))) {
            for (n = 1; i + n < len && text[i + n] && strchr(NUMBER_CHARACTERS, text[i + n]); n++)
                ;
            out = append_number(out, text + i, n);
        } else {
            out = (char *)memcpy(out, text + i, n) + n;
        }
        i += n;
    }
    *out_len = (size_t)(out - copy);
    return copy;
}

json_t *rp_json_parse(const char *text, size_t len) {
    json_error_t error;
    json_t *value = json_loadb(text, len, 0, &error);
    if (value || json_error_code(&error) != json_error_numeric_overflow)
        return value;
    size_t copy_len;
    char *copy = replace_large_integers(text, len, &copy_len);
    value = json_loadb(copy, copy_len, 0, NULL);
    free(copy);
    return value;
}

/* ---- writing ---- */

/* Replaces the objects that hold integers by their digits, in place. */
static void unwrap_counts(char *text) {
    const char *from = text;
    char *to = text;
    for (const char *found; (found = strstr(from, COUNT_PREFIX));) {
        const char *digits = found + strlen(COUNT_PREFIX);
        size_t n_digits = strspn(digits, "0123456789");
        memmove(to, from, (size_t)(found - from));
        to += found - from;
        memmove(to, digits, n_digits);
        to += n_digits;
        from = digits + n_digits + strlen(COUNT_SUFFIX);
    }
    if (to != text)
        memmove(to, from, strlen(from) + 1);
}

char *rp_json_write(const json_t *value) {
    char *text = value ? json_dumps(value, JSON_COMPACT) : NULL;
    if (text)
        unwrap_counts(text);
    return text;
}
