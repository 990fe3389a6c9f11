#include "cluster/catalog_index.h"

#include <string.h>

int rp_catalog_type_index(const struct rp_catalog *catalog, const char *name) {
    for (size_t i = 0; i < catalog->n_types; i++)
        if (strcmp(catalog->types[i].name, name) == 0)
            return (int)i;
    return RP_CATALOG_NONE;
}

int rp_catalog_zone_index(const struct rp_catalog *catalog, const char *name) {
    for (size_t i = 0; i < catalog->n_zones; i++)
        if (strcmp(catalog->zones[i], name) == 0)
            return (int)i;
    return RP_CATALOG_NONE;
}
