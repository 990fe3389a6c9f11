/** @file
 * Where a node has the machine types from: the cloud, or, while the cloud doesn't answer, what a
 * leader has stored of them. Without the types a node can't judge submissions, nor lead. */
#ifndef RP_CLOUD_CATALOG_SOURCE_H
#define RP_CLOUD_CATALOG_SOURCE_H

#include "cloud/cloud_client.h"
#include "config/settings.h"
#include "election/election.h"
#include "model/catalog.h"
#include "store/kv_client.h"
#include "upgrade/format_upgrade.h"

struct rp_catalog_source {
    struct rp_loop *loop;
    struct rp_cloud_client *cloud;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_upgrade *upgrade;
    const struct rp_settings *settings;
    struct rp_catalog *catalog;
    bool known;
    json_t *from_cloud; /* the cloud's own answer; NULL: this process has had none */
    struct rp_timer cloud_timer, stored_timer;
    void (*on_known)(void *arg);
    void *arg;
};

/** `catalog` is filled in once, before `on_known` is called; its types keep their indexes. */
void rp_catalog_source_init(struct rp_catalog_source *source, struct rp_loop *loop,
                            struct rp_cloud_client *cloud, struct rp_kv_client *store,
                            struct rp_election *election, const struct rp_upgrade *upgrade,
                            const struct rp_settings *settings, struct rp_catalog *catalog);
void rp_catalog_source_start(struct rp_catalog_source *source);
void rp_catalog_source_close(struct rp_catalog_source *source);
/** This node leads: what it has from the cloud is stored for the next process that finds none. */
void rp_catalog_source_lead(struct rp_catalog_source *source);

#endif
