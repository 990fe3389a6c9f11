/** @file
 * Memory allocation that aborts the process on failure. A node stores nothing on disk, and its
 * state in memory can be read again from the key-value store and the workers. When memory is
 * exhausted, a restart is safer than continuing with a part of the state missing, which would have
 * to be handled, and tested, at each call. */
#ifndef RP_BASE_MEMORY_H
#define RP_BASE_MEMORY_H

#include <stddef.h>

/** Allocates `n` zeroed elements of `size` bytes; aborts the process when memory is exhausted. The
 * caller frees them. */
void *rp_alloc(size_t n, size_t size);
/** Resizes an array to `n` elements of `size` bytes, as realloc does; new elements are not zeroed.
 * Aborts the process when memory is exhausted. */
void *rp_realloc(void *array, size_t n, size_t size);

#endif
