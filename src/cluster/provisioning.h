/** @file
 * Provisioning: performs the next step of each provision request according to its state, and keeps
 * the requests' records up to date.
 *
 * Invariants: a request is recorded before it is sent to the cloud, so that the next leader can
 * repeat it under the same name and receives the same machines; a machine's name is durable before
 * the machine counts as recorded; a machine is durably marked as up before any task is started on
 * it. Each write carries the revision that it replaces, so that a copy of a write that arrives late
 * cannot remove names. */
#ifndef RP_CLUSTER_PROVISIONING_H
#define RP_CLUSTER_PROVISIONING_H

#include "cluster/capacity_refusal.h"
#include "cluster/provision_request.h"
#include "cluster/withheld_answers.h"

/** The provision requests of a term, and the kinds of machines that the cloud has refused. */
struct rp_provisioning {
    struct rp_fleet_context *context;
    struct rp_provision_requests requests;
    struct rp_capacity_refusals refusals;
    struct rp_withheld_answers *withheld_answers; /* its record is read with the requests */
    size_t record_max_bytes; /* largest size of a record: the store's limit, or less after the store
                                has refused a record */
    unsigned long n_provisioned; /* machines received from the cloud since the process started */
};

/** The context is borrowed and must be initialized already. */
void rp_provisioning_init(struct rp_provisioning *provisioning, struct rp_fleet_context *context);
/** Removes all requests and refusals. Responses to calls in flight are discarded because the
 * context's generation has changed. */
void rp_provisioning_clear(struct rp_provisioning *provisioning);
/** Called when the machine has sent a heartbeat: records durably that it is up, unless a record
 * says so already. */
void rp_provisioning_record_up(struct rp_provisioning *provisioning, struct rp_machine *machine);
/** Called when a machine of the request has been terminated and removed. The request is freed in a
 * later step if this was its last machine. */
void rp_provisioning_on_machine_terminated(struct rp_provisioning *provisioning,
                                           struct rp_provision_request *request);
/** Performs the next step of the request's state, unless a call is in flight or the step has to
 * wait. The request may be freed. */
void rp_provisioning_step(struct rp_provisioning *provisioning,
                          struct rp_provision_request *request);
/** Calls rp_provisioning_step for all requests; called in every tick. */
void rp_provisioning_step_all(struct rp_provisioning *provisioning);

#endif
