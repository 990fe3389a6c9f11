/** @file
 * The lengths of names, which are stored in place everywhere, and the hash by which tables file
 * them. Used by all layers above. */
#ifndef RP_MODEL_NAMES_H
#define RP_MODEL_NAMES_H

#include <stdint.h>

/** Bytes of a job's id, with its final zero. */
#define RP_ID_MAX 48
/** Bytes of the name of a class, team, image, machine type, zone or machine, or of an address, with
 * its final zero. */
#define RP_TEXT_MAX 96

/** The text's hash, by FNV-1a in 64 bits. The same in all nodes and versions. */
static inline uint64_t rp_hash_string(const char *text) {
    const uint64_t offset_basis = 14695981039346656037u;
    const uint64_t prime = 1099511628211u;
    uint64_t hash = offset_basis;
    for (; *text; text++)
        hash = (hash ^ (unsigned char)*text) * prime;
    return hash;
}

#endif
