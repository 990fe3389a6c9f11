/** @file
 * Provision requests: what is asked of the cloud, or has been got from it, in one call, with one
 * stored record each (docs/safety.md). Every machine that may hold tasks is named by the durable
 * record of exactly one request.
 *
 * This module holds the list of requests and their state machine; provisioning.h does what the
 * states ask for. */
#ifndef RP_CLUSTER_PROVISION_REQUEST_H
#define RP_CLUSTER_PROVISION_REQUEST_H

#include "cluster/fleet_context.h"
#include "store/records.h"

/** Where a request stands; rp_provision_request_set_state has the edges. */
enum rp_provision_state {
    RP_PROVISION_RECORDING_INTENT, /* the intent is being recorded */
    RP_PROVISION_REQUESTING, /* the cloud is being asked, by a name never used for anything else */
    RP_PROVISION_RECORDING_NAMES, /* the machines' names are being recorded */
    RP_PROVISION_LIVE,            /* the record names its machines */
    RP_PROVISION_ENDED            /* holds no machine: its record is deleted */
};

/** A provision request. Its machines point to it (`rp_machine.provision_request`). */
struct rp_provision_request {
    char name[RP_TEXT_MAX];
    enum rp_provision_state state;
    struct rp_provision_record record;
    bool stored;                   /* the record exists */
    bool in_flight;                /* a call to the store or to the cloud about it is under way */
    bool is_dirty;                 /* the names, or which machines are up, differ from the record */
    uint64_t revision;             /* of the record, 0: there is none */
    bool revision_known;           /* false: it has to be read before the next write */
    struct timespec retry_at;      /* nothing is done before */
    char write_after[RP_TEXT_MAX]; /* written only once that one is: it takes over some names */
    struct rp_provision_request *next;
};

/** The requests of a term, the youngest first. */
struct rp_provision_requests {
    struct rp_provision_request *first;
    unsigned long n_named; /* names given by this process, never used again */
};

/** The request of this name; NULL: there is none. */
struct rp_provision_request *rp_provision_request_find(const struct rp_provision_requests *requests,
                                                       const char *name);
/** Adds a request that has no record yet. It belongs to the list. */
struct rp_provision_request *rp_provision_request_add(struct rp_provision_requests *requests,
                                                      const char *name);
/** Takes it out of the list and frees it. No machine may point to it any more. */
void rp_provision_request_remove(struct rp_provision_requests *requests,
                                 struct rp_provision_request *request);
/** A name for a request, unique over all leaders: the token and a count. */
void rp_provision_request_new_name(struct rp_provision_requests *requests, const char *prefix,
                                   uint64_t fencing_token, char name[RP_TEXT_MAX]);
/** The one place where a request changes its state. What was put off is due at once. Reaching
 * RP_PROVISION_LIVE marks its machines as recorded. */
void rp_provision_request_set_state(const struct rp_fleet_context *context,
                                    struct rp_provision_request *request,
                                    enum rp_provision_state state);
/** Puts off what the state asks for. */
void rp_provision_request_retry_after(const struct rp_fleet_context *context,
                                      struct rp_provision_request *request, double delay_s);
/** Whether any machine belongs to the request. */
bool rp_provision_request_has_machines(const struct rp_fleet_context *context,
                                       const struct rp_provision_request *request);
/** Gives its machines to `second`, all but the first `n_kept`. */
void rp_provision_request_move_machines(const struct rp_fleet_context *context,
                                        const struct rp_provision_request *request,
                                        struct rp_provision_request *second, size_t n_kept);

#endif
