/** @file
 * A call to a worker's own address (PROTOCOL, "Controller nodes -> workers"): the call's target,
 * and whether the call's response may still be read. Workers execute such calls at any time, even
 * late. By then another node may lead, or the machine may be in another incarnation or terminated.
 * Used by direct_commands.c, probes.c and worker_fencing.c. */
#ifndef RP_WORKER_DIRECT_CALL_H
#define RP_WORKER_DIRECT_CALL_H

#include "worker/worker_context.h"

/** The target of a call, and the fencing token under which it was sent. */
struct rp_direct_call {
    struct rp_worker_context *context;
    uint64_t fencing_token;
    uint64_t incarnation;
    struct timespec sent_at;
    char machine[RP_TEXT_MAX];
};

/** The outcome of a call, as its response shows it. */
enum rp_direct_outcome {
    RP_DIRECT_EXECUTED, /* status 200: the response lists the machine's tasks after the commands
                           were executed */
    RP_DIRECT_REFUSED,  /* status 409: no command was executed; the response lists the machine's
                           tasks */
    RP_DIRECT_UNSENT,   /* no connection could be made: the call will never be executed */
    RP_DIRECT_UNKNOWN   /* no response, or no readable one: the call may still be executed */
};

/** Makes a call to the machine in its present incarnation and this leader's present term. */
struct rp_direct_call rp_direct_call_to(struct rp_worker_context *context,
                                        const struct rp_machine *machine);
/** The machine that was called; NULL when this leader's term has changed since the call, or when
 * the machine is no longer in the cluster state. */
struct rp_machine *rp_direct_call_find_machine(const struct rp_direct_call *call);
/** Like rp_direct_call_find_machine, but NULL also when the machine is in another incarnation by
 * now. */
struct rp_machine *rp_direct_call_find_incarnation(const struct rp_direct_call *call);
/** Decodes the response's list of tasks into `heartbeat`. The list is empty unless the call was
 * executed or refused. The caller must free it with rp_heartbeat_free for every outcome. */
enum rp_direct_outcome rp_direct_call_read(const struct rp_response *response,
                                           struct rp_heartbeat *heartbeat);

#endif
