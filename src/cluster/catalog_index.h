/** @file
 * Finds machine types and zones of the catalog by name; cluster modules refer to them by index. */
#ifndef RP_CLUSTER_CATALOG_INDEX_H
#define RP_CLUSTER_CATALOG_INDEX_H

#include "model/catalog.h"

/** The index of the machine type of this name; RP_CATALOG_NONE if the catalog does not have it. */
int rp_catalog_type_index(const struct rp_catalog *catalog, const char *name);
/** The index of the zone of this name; RP_CATALOG_NONE if the catalog does not have it. */
int rp_catalog_zone_index(const struct rp_catalog *catalog, const char *name);

/** The index of a type or zone that the catalog does not have. */
#define RP_CATALOG_NONE (-1)

#endif
