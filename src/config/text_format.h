/** @file
 * A strict reader of protobuf's text format, driven by protobuf-c's descriptors: Debian has no
 * C library for it. Unknown fields, duplicates and wrong types are refused with line and column. */
#ifndef RP_CONFIG_TEXT_FORMAT_H
#define RP_CONFIG_TEXT_FORMAT_H

#include <protobuf-c/protobuf-c.h>

struct rp_text_error {
    int line, column;
    char text[160];
};

/** Reads `text` into `out`, an initialised message of its descriptor. Memory taken for strings and
 * lists is released by protobuf_c_message_free_unpacked on a heap message. Returns 0 or -1. */
int rp_text_read(const char *text, ProtobufCMessage *out, struct rp_text_error *error);

#endif
