/** @file
 * The machine types that the cloud rents out, and the zones they are in (PROTOCOL, "GET /catalog").
 * Read by the cloud's codec, owned by the controller; indices into it are kept with machines and
 * stay valid, as types and zones keep their order for the life of the process. */
#ifndef RP_MODEL_CATALOG_H
#define RP_MODEL_CATALOG_H

#include <stddef.h>
#include <stdint.h>
#include "model/names.h"
#include "model/resources.h"

/** Bound of machine types: a job's allowed ones are a bit set of 32 bits. */
#define RP_TYPES_MAX 32
/** Bound of zones: a type's ones are a bit set of 32 bits. */
#define RP_ZONES_MAX 32

/** A type of machine. */
struct rp_machine_type {
    char name[RP_TEXT_MAX];
    struct rp_resources capacity;
    double cache_gb; /* of images */
    double fetch_gb_per_s;
    double price, spot_price; /* an hour */
    double boot_s;            /* nominal; some machines take several times as long */
    uint32_t zones;           /* bit set over rp_catalog.zones */
};

/** All types and zones. */
struct rp_catalog {
    struct rp_machine_type types[RP_TYPES_MAX];
    size_t n_types;
    char zones[RP_ZONES_MAX][RP_TEXT_MAX];
    size_t n_zones;
    size_t n_left_out; /* types and zones beyond these bounds */
};

#endif
