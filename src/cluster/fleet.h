/* Machines and rentals: what is rented, recorded, watched in the cloud's list and returned. */
#ifndef RP_FLEET_H
#define RP_FLEET_H

#include "cloud/cloud_client.h"
#include "cluster/cluster.h"
#include "cluster/tombstones.h"

enum rp_rental_state {
    RP_RENTAL_WRITING,   /* the intent is being recorded */
    RP_RENTAL_ASKING,    /* the cloud is being asked, by a name never used for anything else */
    RP_RENTAL_RECORDING, /* the machines' names are being recorded */
    RP_RENTAL_LIVE,
    RP_RENTAL_ENDED /* holds no machine: the record goes */
};

struct rp_rental {
    char name[RP_TEXT_MAX];
    enum rp_rental_state state;
    struct rp_rental_record record;
    bool stored;      /* the record exists */
    bool busy;        /* a request about it is under way */
    bool changed;     /* the names differ from the record */
    uint64_t version; /* of the record, 0: there is none */
    bool version_known;
    struct timespec retry;
    char after[RP_TEXT_MAX]; /* written only once that one is: it takes over some of the names */
    struct rp_rental *next;
};

/* What the cloud has lately refused of a kind of machine. */
struct rp_refusal {
    struct timespec until;
    double pause_s; /* grows while the kind goes on being refused; 0: it isn't */
};

struct rp_fleet {
    struct rp_loop *loop;
    struct rp_cloud_client *cloud;
    struct rp_state_client *state;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    const struct rp_settings *settings;
    struct rp_catalog *catalog;
    struct rp_rental *rentals;
    struct rp_refusal refusals[RP_TYPES_MAX][RP_ZONES_MAX][2]; /* ordinary, spot */
    struct rp_gone_machines gone;
    unsigned long generation;
    unsigned long next_name;
    size_t value_most; /* bytes of a record */
    struct timespec led_since;
    struct timespec proven_since;   /* leadership was provable ever since; zero: it isn't now */
    struct timespec isolated_since; /* most machines fell silent together; zero: they didn't */
    unsigned mute_ticks;            /* in a row without any report, though many were due */
    uint32_t zones_out;             /* bit set: most machines of the zone are silent */
    struct timespec zone_out_seen[RP_ZONES_MAX]; /* when they last were; zero: never */
    struct timespec many_lost_seen; /* when a good part of the machines was lost; zero: never */
    bool listing, deleting;
    bool news; /* a machine was lost in this tick */
    struct timespec next_list, next_catalog;
    char list_after[RP_TEXT_MAX];
    struct rp_timer timer;
    void (*on_loaded)(void *arg, bool ok);
    void (*on_changed)(void *arg);
    void *arg;
    unsigned long n_rented, n_refused, n_returned;
};

void rp_fleet_init(struct rp_fleet *fleet, struct rp_loop *loop, struct rp_cloud_client *cloud,
                   struct rp_state_client *state, struct rp_election *election,
                   struct rp_cluster *cluster, struct rp_jobs *jobs,
                   const struct rp_settings *settings, struct rp_catalog *catalog);
/* Reads the rental records into the cluster state: every machine named there may hold tasks. */
void rp_fleet_load(struct rp_fleet *fleet);
void rp_fleet_clear(struct rp_fleet *fleet);
/* The process ends: what outlives a term goes, too. */
void rp_fleet_close(struct rp_fleet *fleet);
void rp_fleet_rent(struct rp_fleet *fleet, int type, int zone, bool spot, unsigned count);
/* Whether the zone seems to be cut off: what is rented there can't report. */
bool rp_fleet_zone_out(const struct rp_fleet *fleet, int zone);
bool rp_fleet_refused(const struct rp_fleet *fleet, int type, int zone, bool spot);
/* Rentals asked for whose machines aren't known yet. */
unsigned rp_fleet_pending(const struct rp_fleet *fleet, int type, int zone, bool spot);
/* The machine has reported: recorded before anything is started on it, so that the next leader
 * knows which machines can't hold tasks. */
void rp_fleet_came_up(struct rp_fleet *fleet, struct rp_machine *machine);
void rp_fleet_adopt(struct rp_fleet *fleet, struct rp_machine *machine);
bool rp_fleet_gone(const struct rp_fleet *fleet, const char *machine);
void rp_fleet_return(struct rp_fleet *fleet, struct rp_machine *machine, const char *why);
/* What a worker says of its machine, which the record may not know. */
void rp_fleet_describe(struct rp_fleet *fleet, struct rp_machine *machine, const char *type,
                       const char *zone, bool spot);
double rp_fleet_price(const struct rp_catalog *catalog, int type, bool spot);

#endif
