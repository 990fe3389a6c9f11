/** @file
 * Where a node has the machine catalog from: the cloud, or, while the cloud doesn't answer, what a
 * leader has stored of it. Without the machine types a node can neither judge submissions nor lead.
 * The controller owns it, sets `on_known` and `arg` before it starts it, and tells it when this
 * node leads. */
#ifndef RP_CLOUD_CATALOG_SOURCE_H
#define RP_CLOUD_CATALOG_SOURCE_H

#include "cloud/cloud_client.h"
#include "config/settings.h"
#include "election/election.h"
#include "model/catalog.h"
#include "store/kv_client.h"
#include "upgrade/format_upgrade.h"

/** Told that the machine types are known. */
typedef void (*rp_catalog_fn)(void *arg);

/** A node's source of the machine catalog. Others read `known` only. */
struct rp_catalog_source {
    struct rp_loop *loop;
    struct rp_cloud_client *cloud;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_upgrade *upgrade;
    const struct rp_settings *settings;
    struct rp_catalog *catalog; /* filled in once `known` */
    bool known;
    json_t *from_cloud; /* the cloud's own answer; NULL: this process has had none */
    struct rp_timer cloud_timer, stored_timer;
    rp_catalog_fn on_known;
    void *arg;
};

/** `catalog` is filled in once, before `on_known` is called; its types keep their indexes. */
void rp_catalog_source_init(struct rp_catalog_source *source, struct rp_loop *loop,
                            struct rp_cloud_client *cloud, struct rp_kv_client *store,
                            struct rp_election *election, const struct rp_upgrade *upgrade,
                            const struct rp_settings *settings, struct rp_catalog *catalog);
/** Asks the cloud until it answers, and after a moment the store as well. */
void rp_catalog_source_start(struct rp_catalog_source *source);
/** Asks no more, and frees what it holds. */
void rp_catalog_source_close(struct rp_catalog_source *source);
/** This node leads: what it has from the cloud is stored for the next process that finds none. */
void rp_catalog_source_lead(struct rp_catalog_source *source);

#endif
