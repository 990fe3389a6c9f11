/** @file
 * Provisioning: does what the state of each provision request asks for, and keeps the requests'
 * records up to date.
 *
 * Invariants: a request is recorded before the cloud is asked, so that the next leader asks again
 * by the same name and gets the same machines; a machine's name is durable before it counts as
 * recorded; that it is up is durable before anything is started on it. Each write carries the
 * revision that it replaces, so that a copy which arrives late can't take names away. */
#ifndef RP_CLUSTER_PROVISIONING_H
#define RP_CLUSTER_PROVISIONING_H

#include "cluster/capacity_refusal.h"
#include "cluster/provision_request.h"

/** The provision requests of a term, and what the cloud has refused. */
struct rp_provisioning {
    struct rp_fleet_context *context;
    struct rp_provision_requests requests;
    struct rp_capacity_refusals refusals;
    size_t record_max_bytes; /* of a record: the store's limit, less once it has refused so many */
    unsigned long n_provisioned; /* machines got since the process began */
};

/** The context is borrowed and must be filled in already. */
void rp_provisioning_init(struct rp_provisioning *provisioning, struct rp_fleet_context *context);
/** Forgets all requests and refusals; answers under way are dropped by the context's generation. */
void rp_provisioning_clear(struct rp_provisioning *provisioning);
/** The machine has sent its first heartbeat: records that it is up. */
void rp_provisioning_record_up(struct rp_provisioning *provisioning, struct rp_machine *machine);
/** A machine of the request has been terminated and removed. The request may be freed later. */
void rp_provisioning_on_machine_terminated(struct rp_provisioning *provisioning,
                                           struct rp_provision_request *request);
/** Does what the request's state asks for, unless something is under way or has to wait. The
 * request may be freed. */
void rp_provisioning_step(struct rp_provisioning *provisioning,
                          struct rp_provision_request *request);
/** The same for all requests; called in every tick. */
void rp_provisioning_step_all(struct rp_provisioning *provisioning);

#endif
