/** @file
 * Allocation that can't fail. A node keeps nothing on disk and what it holds in memory can be read
 * again from the key-value store and the workers: when memory is out, ending the process and
 * starting anew is safer than going on with a part of the state missing, which would have to be
 * handled, and tested, at each place. */
#ifndef RP_BASE_MEMORY_H
#define RP_BASE_MEMORY_H

#include <stddef.h>

/** `n` zeroed elements of `size` bytes; ends the process when memory is out. The caller frees them.
 */
void *rp_alloc(size_t n, size_t size);
/** Changes an array to `n` elements of `size` bytes, as realloc does; new ones are not zeroed. Ends
 * the process when memory is out. */
void *rp_realloc(void *array, size_t n, size_t size);

#endif
