/** @file
 * A strict reader of protobuf's text format, driven by protobuf-c's descriptors: Debian has no C
 * library for it. Unknown fields, duplicates and wrong types are refused with line and column.
 * Supports what operator.proto uses: numbers, booleans, strings and lists of strings; no nested
 * messages. Called by tuning.c. */
#ifndef RP_CONFIG_TEXT_FORMAT_H
#define RP_CONFIG_TEXT_FORMAT_H

#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>

/** Bytes of an error's text, with its NUL; a longer one is cut. */
#define RP_TEXT_FORMAT_ERROR_MAX 160

/** The mistake at which reading ended. */
struct rp_text_format_error {
    int line;   /**< from 1 on */
    int column; /**< in bytes, from 1 on */
    char text[RP_TEXT_FORMAT_ERROR_MAX];
};

/** Reads `text` into `out`, an initialised message of its descriptor. Returns false at the first
 * mistake, which `error` tells then. Strings and lists in `out` are released by
 * protobuf_c_message_free_unpacked, also after a mistake. */
bool rp_text_format_read(const char *text, ProtobufCMessage *out,
                         struct rp_text_format_error *error);

#endif
