/** @file
 * Machines and rentals: what is rented, recorded, watched in the cloud's list and returned. */
#ifndef RP_CLUSTER_FLEET_H
#define RP_CLUSTER_FLEET_H

#include "cloud/cloud_client.h"
#include "cluster/cluster.h"
#include "cluster/tombstones.h"

enum rp_provision_state {
    RP_PROVISION_RECORDING_INTENT, /* the intent is being recorded */
    RP_PROVISION_REQUESTING, /* the cloud is being asked, by a name never used for anything else */
    RP_PROVISION_RECORDING_NAMES, /* the machines' names are being recorded */
    RP_PROVISION_LIVE,
    RP_PROVISION_ENDED /* holds no machine: the record goes */
};

struct rp_provision_request {
    char name[RP_TEXT_MAX];
    enum rp_provision_state state;
    struct rp_provision_record record;
    bool stored;       /* the record exists */
    bool in_flight;    /* a request about it is under way */
    bool is_dirty;     /* the names differ from the record */
    uint64_t revision; /* of the record, 0: there is none */
    bool revision_known;
    struct timespec retry_at;
    char write_after[RP_TEXT_MAX]; /* written only once that one is: it takes over some of the names
                                    */
    struct rp_provision_request *next;
};

/** What the cloud has lately refused of a kind of machine. */
struct rp_capacity_refusal {
    struct timespec until;
    double backoff_s; /* grows while the kind goes on being refused; 0: it isn't */
};

struct rp_fleet {
    struct rp_loop *loop;
    struct rp_cloud_client *cloud;
    struct rp_kv_client *store;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    const struct rp_settings *settings;
    struct rp_catalog *catalog;
    struct rp_provision_request *provision_requests;
    struct rp_capacity_refusal refusals[RP_TYPES_MAX][RP_ZONES_MAX][2]; /* ordinary, spot */
    struct rp_tombstones tombstones;
    unsigned long generation;
    unsigned long next_name;
    size_t value_max_bytes; /* bytes of a record */
    struct timespec led_since;
    struct timespec proven_since;   /* leadership was provable ever since; zero: it isn't now */
    struct timespec isolated_since; /* most machines fell silent together; zero: they didn't */
    unsigned silent_ticks;          /* in a row without any report, though many were due */
    uint32_t silent_zones;          /* bit set: most machines of the zone are silent */
    struct timespec zone_silent_at[RP_ZONES_MAX]; /* when they last were; zero: never */
    struct timespec mass_loss_at; /* when a good part of the machines was lost; zero: never */
    bool listing, deleting;
    bool machine_lost; /* a machine was lost in this tick */
    struct timespec next_list, next_catalog;
    char list_after[RP_TEXT_MAX];
    struct rp_timer timer;
    void (*on_loaded)(void *arg, bool ok);
    void (*on_changed)(void *arg);
    void *arg;
    unsigned long n_provisioned, n_refused, n_released;
};

void rp_fleet_init(struct rp_fleet *fleet, struct rp_loop *loop, struct rp_cloud_client *cloud,
                   struct rp_kv_client *store, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs,
                   const struct rp_settings *settings, struct rp_catalog *catalog);
/** Reads the rental records into the cluster state: every machine named there may hold tasks. */
void rp_fleet_load(struct rp_fleet *fleet);
void rp_fleet_clear(struct rp_fleet *fleet);
/** The process ends: what outlives a term goes, too. */
void rp_fleet_close(struct rp_fleet *fleet);
void rp_fleet_scale_out(struct rp_fleet *fleet, int type, int zone, bool spot, unsigned count);
/** Whether the zone seems to be cut off: what is rented there can't report. */
bool rp_fleet_is_zone_silent(const struct rp_fleet *fleet, int zone);
bool rp_fleet_is_refused(const struct rp_fleet *fleet, int type, int zone, bool spot);
/** Rentals asked for whose machines aren't known yet. */
unsigned rp_fleet_n_requested(const struct rp_fleet *fleet, int type, int zone, bool spot);
/** The machine has reported: recorded before anything is started on it, so that the next leader
 * knows which machines can't hold tasks. */
void rp_fleet_record_up(struct rp_fleet *fleet, struct rp_machine *machine);
void rp_fleet_adopt(struct rp_fleet *fleet, struct rp_machine *machine);
bool rp_fleet_is_terminated(const struct rp_fleet *fleet, const char *machine);
void rp_fleet_scale_in(struct rp_fleet *fleet, struct rp_machine *machine, const char *why);
/** What a worker says of its machine, which the record may not know. */
void rp_fleet_describe_machine(struct rp_fleet *fleet, struct rp_machine *machine, const char *type,
                               const char *zone, bool spot);
double rp_fleet_hourly_price(const struct rp_catalog *catalog, int type, bool spot);

#endif
