/** @file
 * Which format the service's nodes write. A node that knows the format of today says so in a record
 * that lives as long as it does; once every node of the settings has one, the leader writes the
 * activation, on the condition of all of them and of its leadership. It is never undone. Until a
 * node knows of it, it writes what the version before reads and means the same. */
#ifndef RP_UPGRADE_FORMAT_UPGRADE_H
#define RP_UPGRADE_FORMAT_UPGRADE_H

#include "config/settings.h"
#include "election/election.h"

enum rp_upgrade_state {
    RP_UPGRADE_LOOKING,    /* has not read the activation yet, or it isn't there */
    RP_UPGRADE_LEASING,    /* a lease for this node's record has been asked for */
    RP_UPGRADE_ANNOUNCING, /* the record is being written */
    RP_UPGRADE_ANNOUNCED,  /* it stands, and its lease is renewed */
    RP_UPGRADE_ACTIVE,     /* every node knows the format: it may be written */
    RP_UPGRADE_TOO_OLD     /* a later format is active: this version must keep away */
};

struct rp_upgrade {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_settings *settings;
    enum rp_upgrade_state state;
    uint64_t lease;
    struct timespec renewed_at;
    bool activating;
    bool activation_read; /* the service has told whether a format is active */
    size_t n_known;       /* nodes seen to know the format, by the leader */
    struct rp_timer timer;
    void (*on_change)(void *arg);
    void *arg;
};

void rp_upgrade_init(struct rp_upgrade *upgrade, struct rp_loop *loop, struct rp_kv_client *store,
                     struct rp_election *election, const struct rp_settings *settings,
                     void (*on_change)(void *arg), void *arg);
void rp_upgrade_start(struct rp_upgrade *upgrade);
void rp_upgrade_stop(struct rp_upgrade *upgrade);
bool rp_upgrade_is_active(const struct rp_upgrade *upgrade);
/** Somebody has read the activation's record; NULL: there is none. */
void rp_upgrade_on_activation_record(struct rp_upgrade *upgrade, const json_t *record);
/** Marks a record with the format of today once that is active. Takes `record` over, and returns
 * it.
 */
json_t *rp_upgrade_mark_record(const struct rp_upgrade *upgrade, json_t *record);
const char *rp_upgrade_state_name(const struct rp_upgrade *upgrade);

#endif
