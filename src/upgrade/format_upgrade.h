/** @file
 * Format activation: from when on the service's nodes may write records of today's format.
 *
 * A node that knows the format announces it in a record on a lease, which lives as long as the node
 * does. Once every node of the settings has one, the leader writes the activation, on the condition
 * of all announcements and of its leadership. It is never undone. Until a node knows of it, it
 * writes what the version before reads and takes for the same.
 *
 * Invariant: what rp_upgrade_is_active has told once holds for ever, on every node. The controller
 * starts it; whoever writes records asks it. */
#ifndef RP_UPGRADE_FORMAT_UPGRADE_H
#define RP_UPGRADE_FORMAT_UPGRADE_H

#include "config/settings.h"
#include "election/election.h"

/** What this node has done and knows. The changes are listed at set_state in format_upgrade.c. */
enum rp_upgrade_state {
    /** No format is active that is known of, and this node's announcement isn't known to stand. */
    RP_UPGRADE_UNANNOUNCED,
    /** A lease for the announcement has been asked for. */
    RP_UPGRADE_ACQUIRING_LEASE,
    /** The announcement is being written. */
    RP_UPGRADE_ANNOUNCING,
    /** The announcement stands, and its lease is renewed. */
    RP_UPGRADE_ANNOUNCED,
    /** Every node knows the format: it may be written. Final. */
    RP_UPGRADE_ACTIVE,
    /** A later format is active: this version must neither lead nor write. Final. */
    RP_UPGRADE_TOO_OLD
};

/** Told that more is known of the activation. */
typedef void (*rp_upgrade_fn)(void *arg);

/** A node's view of the upgrade. Others read `state`, `activation_read` and `n_known` only. */
struct rp_upgrade {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_settings *settings;
    enum rp_upgrade_state state;
    uint64_t lease; /* of the announcement */
    struct timespec renewed_at;
    bool is_activating;   /* as leader: the announcements, or the activation, are under way */
    bool activation_read; /* the store has told whether a format is active */
    size_t n_known;       /* nodes seen to know the format, by the leader */
    struct rp_timer timer;
    rp_upgrade_fn on_change;
    void *arg;
};

/** `on_change` is called when the activation is known, and when it was found not to exist yet. */
void rp_upgrade_init(struct rp_upgrade *upgrade, struct rp_loop *loop, struct rp_kv_client *store,
                     struct rp_election *election, const struct rp_settings *settings,
                     rp_upgrade_fn on_change, void *arg);
/** Begins to read the activation, and to announce the format. */
void rp_upgrade_start(struct rp_upgrade *upgrade);
/** Starts nothing more; the announcement ends with its lease. */
void rp_upgrade_stop(struct rp_upgrade *upgrade);
/** Whether records of today's format may be written. */
bool rp_upgrade_is_active(const struct rp_upgrade *upgrade);
/** Somebody has read the activation's record; NULL: there is none. */
void rp_upgrade_on_activation_record(struct rp_upgrade *upgrade, const json_t *record);
/** Marks a record with the format of today once that is active. Takes `record` over, and returns
 * it. */
json_t *rp_upgrade_mark_record(const struct rp_upgrade *upgrade, json_t *record);
/** The state's name in /status. */
const char *rp_upgrade_state_name(const struct rp_upgrade *upgrade);

#endif
