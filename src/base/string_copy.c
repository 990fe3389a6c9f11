#include "base/string_copy.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"

bool rp_string_try_copy(char *out, size_t size, const char *text) {
    size_t len = strlen(text);
    if (len >= size) {
        out[0] = '\0';
        return false;
    }
    memcpy(out, text, len + 1);
    return true;
}

void rp_string_copy(char *out, size_t size, const char *text) {
    if (rp_string_try_copy(out, size, text))
        return;
    rp_error("text is too long: size_bytes=%zu text=%s", size, text);
    abort();
}
