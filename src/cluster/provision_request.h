/** @file
 * Provision requests. A provision request is one call to the cloud for machines, with one stored
 * record and the machines that the cloud provided (docs/safety.md). Every machine that may hold
 * tasks is marked as up by each durable record that names it. More than one record names a machine
 * only while it moves from one request to another.
 *
 * This module has the list of requests and their state machine; provisioning.c performs the steps
 * of each state. */
#ifndef RP_CLUSTER_PROVISION_REQUEST_H
#define RP_CLUSTER_PROVISION_REQUEST_H

#include "cluster/fleet_context.h"
#include "store/records.h"

/** The state of a request; rp_provision_request_set_state lists the edges. */
enum rp_provision_state {
    RP_PROVISION_RECORDING_INTENT, /* the record of the intent is being written */
    RP_PROVISION_REQUESTING, /* the request is being sent to the cloud, under a name that is never
                                reused */
    RP_PROVISION_RECORDING_NAMES, /* the record with the machines' names is being written */
    RP_PROVISION_LIVE,            /* the durable record names the request's machines */
    RP_PROVISION_ENDED            /* the request has no machine: its record is being deleted */
};

/** A provision request. Its machines point to it (`rp_machine.provision_request`). */
struct rp_provision_request {
    char name[RP_TEXT_MAX];
    enum rp_provision_state state;
    struct rp_provision_record record;
    bool stored;    /* the record exists in the store */
    bool in_flight; /* a call about the request, to the store or the cloud, is in flight */
    bool is_dirty; /* the stored record must be written again: the machines' names, or which of them
                      are up, have changed */
    uint64_t revision;             /* the store's revision of the record; 0: there is no record */
    bool revision_known;           /* false: the revision must be read before the next write */
    struct timespec retry_at;      /* no step is performed before this instant */
    char write_after[RP_TEXT_MAX]; /* name of the request that takes over machines of this request,
                                      and whose record must therefore be written before this
                                      request's record; "": none */
    char (*moved_names)[RP_TEXT_MAX]; /* machines that the record names although they belong to
                                         other requests; owned */
    size_t n_moved_names;
    struct rp_provision_request *next;
};

/** The requests of a term, the newest first. */
struct rp_provision_requests {
    struct rp_provision_request *first;
    unsigned long n_named; /* number of names assigned by this process; no name is reused */
};

/** The request of this name; NULL if there is none. */
struct rp_provision_request *rp_provision_request_find(const struct rp_provision_requests *requests,
                                                       const char *name);
/** Adds a request that has no record yet. The list owns it. */
struct rp_provision_request *rp_provision_request_add(struct rp_provision_requests *requests,
                                                      const char *name);
/** Removes the request from the list and frees it. No machine may point to it any more. */
void rp_provision_request_remove(struct rp_provision_requests *requests,
                                 struct rp_provision_request *request);
/** Makes a name for a request, unique across all leaders: the fencing token and a count. */
void rp_provision_request_new_name(struct rp_provision_requests *requests, const char *prefix,
                                   uint64_t fencing_token, char name[RP_TEXT_MAX]);
/** The only function that changes a request's state. Makes the next step due at once. Reaching
 * RP_PROVISION_LIVE marks the request's machines as recorded. */
void rp_provision_request_set_state(const struct rp_fleet_context *context,
                                    struct rp_provision_request *request,
                                    enum rp_provision_state state);
/** Delays the next step of the request. */
void rp_provision_request_retry_after(const struct rp_fleet_context *context,
                                      struct rp_provision_request *request, double delay_s);
/** Whether any machine belongs to the request. */
bool rp_provision_request_has_machines(const struct rp_fleet_context *context,
                                       const struct rp_provision_request *request);
/** Moves the request's machines to `second`, except for the first `n_kept`. */
void rp_provision_request_move_machines(const struct rp_fleet_context *context,
                                        struct rp_provision_request *request,
                                        struct rp_provision_request *second, size_t n_kept);
/** Notes that the request's record names the machine although the machine belongs to another
 * request. The record has to be written again, and the machine is not marked as up before. */
void rp_provision_request_add_moved_name(struct rp_provision_request *request,
                                         struct rp_machine *machine);
/** Forgets the moved names: the record does not name them any more. Marks the records dirty in
 * which machines can be marked as up now. */
void rp_provision_request_clear_moved_names(const struct rp_fleet_context *context,
                                            struct rp_provision_request *request);
/** Whether the next record of the machine's request marks the machine as up. While a record that
 * does not mark it names it, too, a leader that loads both could take it for one that boots. */
bool rp_provision_request_marks_up(const struct rp_machine *machine);

#endif
