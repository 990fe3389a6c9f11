/** @file
 * JSON text with integers through the protocol's whole range, from 0 to 2^64 - 1 (PROTOCOL, "The
 * protocols": counts, versions, tokens and attempts). The JSON library's integers are signed: it
 * refuses a text with a larger one as a whole, and would write it as a negative number.
 *
 * A value of 2^63 or more is held as an object with a key of its own. Such an object cannot come
 * from a string of a message, since quotation marks in a string are escaped in JSON text. */
#ifndef RP_PROTOCOL_JSON_TEXT_H
#define RP_PROTOCOL_JSON_TEXT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A value that rp_json_write writes as this integer. The caller owns the value. */
json_t *rp_json_from_count(uint64_t count);
/** Reads an integer from 0 to 2^64 - 1. Returns false, and leaves `out` unchanged, for any other
 * value and for NULL. */
bool rp_json_to_count(const json_t *value, uint64_t *out);
/** Parses a text of `len` bytes. Integers outside of the range become real numbers. Returns a value
 * that the caller must json_decref, or NULL when the text is not JSON. */
json_t *rp_json_parse(const char *text, size_t len);
/** Writes a value without whitespace. Returns a text that the caller frees, or NULL when `value` is
 * NULL. */
char *rp_json_write(const json_t *value);

#endif
