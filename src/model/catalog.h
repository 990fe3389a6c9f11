/** @file
 * The machine types that the cloud offers, and the zones in which it offers them (PROTOCOL, "GET
 * /catalog"). Filled by the cloud's codec and owned by the controller. Types and zones keep their
 * order for the lifetime of the process, so that indices into the catalog, which are stored with
 * machines, remain valid. */
#ifndef RP_MODEL_CATALOG_H
#define RP_MODEL_CATALOG_H

#include <stddef.h>
#include <stdint.h>
#include "model/names.h"
#include "model/resources.h"

/** Maximum number of machine types. A job's allowed types are a bit set of 32 bits. */
#define RP_TYPES_MAX 32
/** Maximum number of zones. A type's zones are a bit set of 32 bits. */
#define RP_ZONES_MAX 32

/** A type of machine. */
struct rp_machine_type {
    char name[RP_TEXT_MAX];
    struct rp_resources capacity;
    double cache_gb; /* size of the image cache */
    double fetch_gb_per_s;
    double price, spot_price; /* per hour: price of an on-demand and of a spot machine */
    double boot_s;            /* nominal boot time; some machines need a multiple of it */
    uint32_t zones;           /* bit set over rp_catalog.zones */
};

/** All machine types and zones. */
struct rp_catalog {
    struct rp_machine_type types[RP_TYPES_MAX];
    size_t n_types;
    char zones[RP_ZONES_MAX][RP_TEXT_MAX];
    size_t n_zones;
    size_t n_left_out; /* number of the cloud's types and zones that are not stored here */
};

#endif
