#include "base/memory.h"

#include <stdlib.h>

#include "base/log.h"

static void *abort_if_null(void *memory, size_t n, size_t size) {
    if (memory)
        return memory;
    rp_error("out of memory: n=%zu size_bytes=%zu", n, size);
    abort();
}

void *rp_alloc(size_t n, size_t size) {
    return abort_if_null(calloc(n ? n : 1, size), n, size);
}

void *rp_realloc(void *array, size_t n, size_t size) {
    return abort_if_null(reallocarray(array, n ? n : 1, size), n, size);
}
