/** @file
 * Machine types and zones are kept as indices in the catalog. */
#ifndef RP_CLUSTER_CATALOG_INDEX_H
#define RP_CLUSTER_CATALOG_INDEX_H

#include "model/catalog.h"

/** The index of a machine type in the catalog; RP_CATALOG_NONE if it has none of this name. */
int rp_catalog_type_index(const struct rp_catalog *catalog, const char *name);
/** The index of a zone in the catalog; RP_CATALOG_NONE if it has none of this name. */
int rp_catalog_zone_index(const struct rp_catalog *catalog, const char *name);

/** The index of a type or zone that the catalog doesn't have. */
#define RP_CATALOG_NONE (-1)

#endif
