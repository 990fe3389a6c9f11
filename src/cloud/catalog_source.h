/** @file
 * Obtains a node's machine catalog: from the cloud or, while the cloud does not respond, from the
 * copy that a leader has stored in the key-value store. Without the machine types a node can
 * neither validate submissions nor lead. The controller owns the source, sets `on_known` and `arg`
 * before it starts it, and has it store the catalog when this node leads. */
#ifndef RP_CLOUD_CATALOG_SOURCE_H
#define RP_CLOUD_CATALOG_SOURCE_H

#include "cloud/cloud_client.h"
#include "config/settings.h"
#include "election/election.h"
#include "model/catalog.h"
#include "store/kv_client.h"
#include "upgrade/format_upgrade.h"

/** Called when the machine types have become known. */
typedef void (*rp_catalog_fn)(void *arg);

/** A node's source of the machine catalog. Other modules read only `is_known` and, once it is set,
 * `catalog`. */
struct rp_catalog_source {
    struct rp_loop *loop;
    struct rp_cloud_client *cloud;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_upgrade *upgrade;
    const struct rp_settings *settings;
    struct rp_catalog *catalog; /* filled in when `is_known` is set */
    bool is_known;
    json_t *cloud_catalog; /* the catalog as the cloud sent it; NULL: not yet received */
    struct rp_timer cloud_timer, stored_timer;
    rp_catalog_fn on_known;
    void *arg;
};

/** Initializes the source. `catalog` is filled in once, before `on_known` is called; its types keep
 * their indexes. */
void rp_catalog_source_init(struct rp_catalog_source *source, struct rp_loop *loop,
                            struct rp_cloud_client *cloud, struct rp_kv_client *store,
                            struct rp_election *election, const struct rp_upgrade *upgrade,
                            const struct rp_settings *settings, struct rp_catalog *catalog);
/** Requests the catalog from the cloud until it responds with one and, after a short delay, also
 * reads the stored one until the machine types are known. */
void rp_catalog_source_start(struct rp_catalog_source *source);
/** Stops requesting the catalog, and frees what the source owns. */
void rp_catalog_source_close(struct rp_catalog_source *source);
/** Stores the catalog received from the cloud, for processes that start while the cloud does not
 * respond. Called when this node leads, and when RP_FORMAT becomes active while this node leads. */
void rp_catalog_source_store(struct rp_catalog_source *source);

#endif
