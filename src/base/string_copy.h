/** @file
 * Bounded copies of strings. */
#ifndef RP_BASE_STRING_COPY_H
#define RP_BASE_STRING_COPY_H

#include <stdbool.h>
#include <stddef.h>

/** Copies `text` into `out` of `size` bytes. Returns false, and leaves "" in `out`, when it doesn't
 * fit: part of a name would be another name. */
bool rp_string_try_copy(char *out, size_t size, const char *text)
    __attribute__((warn_unused_result));
/** The same for what was checked before, where it came in: a text that doesn't fit is a fault of
 * the program, and ends it. */
void rp_string_copy(char *out, size_t size, const char *text);

#endif
