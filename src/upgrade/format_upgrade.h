/** @file
 * Format activation: decides when the service's nodes may begin to write records of RP_FORMAT.
 *
 * A node that supports the format announces it in a record attached to a lease, which exists as
 * long as the node runs. Once every node of the settings has announced it, the leader writes the
 * activation, on the condition of all announcements and of its leadership. The activation is never
 * undone. Until a node has read it, the node writes records that the previous version reads with
 * the same meaning.
 *
 * Invariant: once rp_upgrade_is_active has returned true, the format is active forever, on every
 * node. The controller starts this module; modules that write records call rp_upgrade_is_active. */
#ifndef RP_UPGRADE_FORMAT_UPGRADE_H
#define RP_UPGRADE_FORMAT_UPGRADE_H

#include "config/settings.h"
#include "election/election.h"

/** State of this node's upgrade. The transitions are listed at set_state in format_upgrade.c. */
enum rp_upgrade_state {
    /** No activation of RP_FORMAT is known, and this node's announcement is not known to exist. */
    RP_UPGRADE_UNANNOUNCED,
    /** A lease for this node's announcement has been requested. */
    RP_UPGRADE_ACQUIRING_LEASE,
    /** This node's announcement is being written. */
    RP_UPGRADE_ANNOUNCING,
    /** This node's announcement exists, and its lease is renewed. */
    RP_UPGRADE_ANNOUNCED,
    /** Every node supports RP_FORMAT: records of it may be written. Final. */
    RP_UPGRADE_ACTIVE,
    /** A later format is active: this version must neither lead nor write. Final. */
    RP_UPGRADE_TOO_OLD
};

/** Called when a read has shown whether RP_FORMAT is active. */
typedef void (*rp_upgrade_fn)(void *arg);

/** A node's view of the upgrade. Other modules only read `state`, `has_read_activation` and
 * `n_nodes_announced`. */
struct rp_upgrade {
    struct rp_loop *loop;
    struct rp_kv_client *store;
    struct rp_election *election;
    const struct rp_settings *settings;
    enum rp_upgrade_state state;
    uint64_t lease; /* lease of the announcement */
    struct timespec renewed_at;
    bool is_activating; /* this leader awaits the response to its list of announcements or to its
                           write of the activation */
    bool has_read_activation; /* a read has shown whether a format is active */
    size_t n_nodes_announced; /* as leader: nodes whose announcement was in the latest list */
    struct rp_timer timer;
    rp_upgrade_fn on_change;
    void *arg;
};

/** `on_change` is called when the activation becomes known, and when the first read of its record
 * finds that none exists yet. */
void rp_upgrade_init(struct rp_upgrade *upgrade, struct rp_loop *loop, struct rp_kv_client *store,
                     struct rp_election *election, const struct rp_settings *settings,
                     rp_upgrade_fn on_change, void *arg);
/** Begins to read the activation record, and to announce that this node supports RP_FORMAT. */
void rp_upgrade_start(struct rp_upgrade *upgrade);
/** Starts no further requests; the announcement ends with its lease. */
void rp_upgrade_stop(struct rp_upgrade *upgrade);
/** Whether records of RP_FORMAT may be written. */
bool rp_upgrade_is_active(const struct rp_upgrade *upgrade);
/** Handles the activation's record, which was read by any module; NULL: there is none. */
void rp_upgrade_on_activation_record(struct rp_upgrade *upgrade, const json_t *record);
/** Marks a record with RP_FORMAT once that format is active. Takes ownership of `record`, and
 * returns it. */
json_t *rp_upgrade_mark_record(const struct rp_upgrade *upgrade, json_t *record);
/** The state's name in /status. */
const char *rp_upgrade_state_name(const struct rp_upgrade *upgrade);

#endif
