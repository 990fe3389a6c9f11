/** @file
 * A strict parser of protobuf's text format, driven by protobuf-c's descriptors. It exists since
 * Debian has no C library for this format. Unknown fields, duplicate fields and values of a wrong
 * type are rejected with their line and column. Supports only the types that operator.proto uses:
 * numbers, booleans, strings and lists of strings, without nested messages. Called by tuning.c. */
#ifndef RP_CONFIG_TEXT_FORMAT_H
#define RP_CONFIG_TEXT_FORMAT_H

#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>

/** Bytes of an error's text, with its NUL. A longer text is truncated. */
#define RP_TEXT_FORMAT_ERROR_MAX 160

/** The error at which parsing stopped. */
struct rp_text_format_error {
    int line;   /**< counted from 1 */
    int column; /**< in bytes, counted from 1 */
    char text[RP_TEXT_FORMAT_ERROR_MAX];
};

/** Parses `text` into `out`, which must be a message that was initialized for its descriptor.
 * Stops at the first error, describes it in `error` and returns false. The caller must release
 * `out`, also after an error, by protobuf_c_message_free_unpacked, which frees its strings and
 * lists. */
bool rp_text_format_read(const char *text, ProtobufCMessage *out,
                         struct rp_text_format_error *error);

#endif
