/** @file
 * The fleet: the machines that this service has from the cloud, as the leader manages them. Each
 * part has a module: scale out and provisioning, release (scale in), reconciliation with the
 * cloud's list, failure detection, and the policy of what is released when. This one owns them,
 * runs them in a tick, and is what other directories call.
 *
 * Only a leader uses it, from rp_fleet_load until rp_fleet_clear. */
#ifndef RP_CLUSTER_FLEET_H
#define RP_CLUSTER_FLEET_H

#include "cluster/failure_detection.h"
#include "cluster/fleet_context.h"
#include "cluster/provisioning.h"
#include "cluster/reconciliation.h"
#include "cluster/release.h"

/** The fleet and its parts. The owner sets the call-backs after rp_fleet_init. */
struct rp_fleet {
    struct rp_fleet_context context; /* its on_changed: machines or capacity have changed */
    struct rp_provisioning provisioning;
    struct rp_release release;
    struct rp_reconciliation reconciliation;
    struct rp_failure_detector failure_detector;
    struct rp_timer timer;
    /** The records of a new term have been read, or not. */
    void (*on_loaded)(void *arg, bool is_loaded);
    void *on_loaded_arg;
};

/** All pointers are borrowed and must outlive the fleet. */
void rp_fleet_init(struct rp_fleet *fleet, struct rp_loop *loop, struct rp_cloud_client *cloud,
                   struct rp_kv_client *store, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs,
                   const struct rp_settings *settings, struct rp_catalog *catalog);
/** Reads the provision records into the cluster state: every machine named there may hold tasks.
 * `on_loaded` tells the outcome; the fleet works from then on. */
void rp_fleet_load(struct rp_fleet *fleet);
/** The term ends: nothing is done, and no answer is read, any more. */
void rp_fleet_clear(struct rp_fleet *fleet);
/** The process ends: what outlives a term is freed, too. */
void rp_fleet_close(struct rp_fleet *fleet);

/** Asks the cloud for at most `count` machines of a kind of the catalog. */
void rp_fleet_scale_out(struct rp_fleet *fleet, int type, int zone, bool spot, unsigned count);
/** Gives the machine back to the cloud; it is never used again. `reason` is a word for the log. */
void rp_fleet_scale_in(struct rp_fleet *fleet, struct rp_machine *machine, const char *reason);
/** Machines asked for whose names aren't known yet. */
unsigned rp_fleet_n_requested(const struct rp_fleet *fleet, int type, int zone, bool spot);
/** Whether the cloud has refused this kind of machine for lack of capacity, and it isn't to be
 * asked for now. */
bool rp_fleet_is_refused(const struct rp_fleet *fleet, int type, int zone, bool spot);
/** Whether the zone seems to be cut off: what is provisioned there can't report. */
bool rp_fleet_is_zone_silent(const struct rp_fleet *fleet, int zone);
/** Whether the cloud has confirmed the deletion of a machine of this name. */
bool rp_fleet_is_terminated(const struct rp_fleet *fleet, const char *machine);

/** The machine has sent a heartbeat: recorded before anything is started on it, so that the next
 * leader knows which machines can't hold tasks. */
void rp_fleet_record_up(struct rp_fleet *fleet, struct rp_machine *machine);
/** Gives a machine that no record names a record of its own. */
void rp_fleet_adopt(struct rp_fleet *fleet, struct rp_machine *machine);
/** What a worker says of its machine, which the record may not know. */
void rp_fleet_set_machine_kind(struct rp_fleet *fleet, struct rp_machine *machine, const char *type,
                               const char *zone, bool spot);
/** Price of a machine in the cloud's currency, for an hour. */
double rp_fleet_hourly_price(const struct rp_catalog *catalog, int type, bool spot);

#endif
