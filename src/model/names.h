/** @file
 * The maximum lengths of names, which all structs store in fixed-size arrays, and the hash function
 * of the tables that index them. Used by all layers above. */
#ifndef RP_MODEL_NAMES_H
#define RP_MODEL_NAMES_H

#include <stdint.h>

/** Bytes of a job's id, with its NUL. */
#define RP_ID_MAX 48
/** Bytes of the name of a class, team, image, machine type, zone or machine, or of an address, with
 * its NUL. */
#define RP_TEXT_MAX 96

/** Returns the 64-bit FNV-1a hash of a text. It is the same on all nodes and in all versions. */
static inline uint64_t rp_hash_string(const char *text) {
    const uint64_t offset_basis = 14695981039346656037u;
    const uint64_t prime = 1099511628211u;
    uint64_t hash = offset_basis;
    for (; *text; text++)
        hash = (hash ^ (unsigned char)*text) * prime;
    return hash;
}

#endif
