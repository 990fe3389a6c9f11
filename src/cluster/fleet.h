/** @file
 * The fleet: the machines that this service has provisioned from the cloud, as managed by the
 * leader. Each part has its own module: scale-out and provisioning, release (scale-in),
 * reconciliation with the cloud's list, failure detection, and the release policy. This module owns
 * these parts, runs them in a tick, and is the interface for other directories.
 *
 * Only a leader uses it, from rp_fleet_load until rp_fleet_clear. */
#ifndef RP_CLUSTER_FLEET_H
#define RP_CLUSTER_FLEET_H

#include "cluster/failure_detection.h"
#include "cluster/fleet_context.h"
#include "cluster/provisioning.h"
#include "cluster/reconciliation.h"
#include "cluster/release.h"
#include "cluster/withheld_answers.h"

/** The fleet and its parts. The owner sets the callbacks after rp_fleet_init. */
struct rp_fleet {
    struct rp_fleet_context context; /* on_changed is called when machines or capacity change */
    struct rp_provisioning provisioning;
    struct rp_release release;
    struct rp_reconciliation reconciliation;
    struct rp_failure_detector failure_detector;
    struct rp_withheld_answers withheld_answers;
    struct rp_timer timer;
    /** Called when the loading of the provision records for a new term ends; `is_loaded` is false
     * if the loading failed. */
    void (*on_loaded)(void *arg, bool is_loaded);
    void *on_loaded_arg;
};

/** Initializes an empty fleet. All pointers are borrowed and must outlive the fleet. */
void rp_fleet_init(struct rp_fleet *fleet, struct rp_loop *loop, struct rp_cloud_client *cloud,
                   struct rp_kv_client *store, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs,
                   const struct rp_settings *settings, struct rp_catalog *catalog);
/** Loads the provision records into the cluster state: every machine that a record marks
 * as up may hold tasks. `on_loaded` reports the outcome; on success the ticks start. */
void rp_fleet_load(struct rp_fleet *fleet);
/** Called when the term ends: stops the ticks. Responses to calls in flight are discarded. */
void rp_fleet_clear(struct rp_fleet *fleet);
/** Called when the process ends: clears the fleet and frees the data that outlives a term. */
void rp_fleet_close(struct rp_fleet *fleet);

/** Requests at most `count` machines of a kind of the catalog from the cloud. */
void rp_fleet_scale_out(struct rp_fleet *fleet, int type, int zone, bool spot, unsigned count);
/** Returns the machine to the cloud; the machine is never used again. `reason` is written to the
 * log. */
void rp_fleet_scale_in(struct rp_fleet *fleet, struct rp_machine *machine, const char *reason);
/** Number of machines of the kind that have been requested and whose names are not known yet. */
unsigned rp_fleet_n_requested(const struct rp_fleet *fleet, int type, int zone, bool spot);
/** Whether the cloud has refused this kind of machine for lack of capacity, and its backoff has not
 * ended. */
bool rp_fleet_is_refused(const struct rp_fleet *fleet, int type, int zone, bool spot);
/** Whether most machines of the zone are silent, so that the zone seems to be partitioned: machines
 * provisioned there cannot report. */
bool rp_fleet_is_zone_silent(const struct rp_fleet *fleet, int zone);
/** Whether machines may be returned for their price alone. While the cloud does not respond, it
 * neither deletes machines nor provides new ones: a machine that is being released could take no
 * task for as long as the outage lasts. */
bool rp_fleet_may_scale_in_idle(const struct rp_fleet *fleet);
/** Whether the cloud has confirmed the deletion of a machine of this name. */
bool rp_fleet_is_terminated(const struct rp_fleet *fleet, const char *machine);

/** Called when the machine has sent a heartbeat: records durably that the machine is up. The record
 * is written before any task is started on the machine, so that the next leader can determine which
 * machines cannot hold tasks. */
void rp_fleet_record_up(struct rp_fleet *fleet, struct rp_machine *machine);
/** Whether the machine may be answered. If not, the durable record that names it is written without
 * it, and its worker reports again. */
bool rp_fleet_may_answer(struct rp_fleet *fleet, struct rp_machine *machine);
/** Creates a provision record for a machine that no record names. */
void rp_fleet_adopt(struct rp_fleet *fleet, struct rp_machine *machine);
/** Sets the machine's type, zone and spot flag as its worker reports them, unless a provision
 * record already provided them. */
void rp_fleet_set_machine_kind(struct rp_fleet *fleet, struct rp_machine *machine, const char *type,
                               const char *zone, bool spot);
/** Price of a machine for one hour, in the cloud's currency. */
double rp_fleet_hourly_price(const struct rp_catalog *catalog, int type, bool spot);

#endif
