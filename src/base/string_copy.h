/** @file
 * Bounded string copies that never truncate. */
#ifndef RP_BASE_STRING_COPY_H
#define RP_BASE_STRING_COPY_H

#include <stdbool.h>
#include <stddef.h>

/** Copies `text` into `out`, which has `size` bytes. If it does not fit, sets `out` to "" and
 * returns false, since a truncated name could be the name of another object. */
bool rp_string_try_copy(char *out, size_t size, const char *text)
    __attribute__((warn_unused_result));
/** Like rp_string_try_copy, for a text whose length was checked when it was received. A text that
 * does not fit is a defect of the program and aborts the process. */
void rp_string_copy(char *out, size_t size, const char *text);

#endif
