/** @file
 * A call to a worker's own address (PROTOCOL, "Controller nodes -> workers"): whom it was sent to,
 * and whether the response may still be read. Workers execute such calls at any time, also late,
 * and by then another leader may lead, or the machine may be in another incarnation or terminated.
 * Used by direct_commands.c, probes.c and worker_fencing.c. */
#ifndef RP_WORKER_DIRECT_CALL_H
#define RP_WORKER_DIRECT_CALL_H

#include "worker/worker_context.h"

/** Whom the call was sent to, under which token. */
struct rp_direct_call {
    struct rp_worker_context *context;
    uint64_t fencing_token;
    uint64_t incarnation;
    char machine[RP_TEXT_MAX];
};

/** What a response says of its call. */
enum rp_direct_outcome {
    RP_DIRECT_EXECUTED, /* 200: the response lists the tasks after the commands */
    RP_DIRECT_REFUSED,  /* 409: nothing was executed; the response lists the tasks */
    RP_DIRECT_UNSENT,   /* no connection could be made: it will never be executed */
    RP_DIRECT_UNKNOWN   /* no response, or no readable one: it may yet be executed */
};

/** A call to the machine in its present incarnation and term. */
struct rp_direct_call rp_direct_call_to(struct rp_worker_context *context,
                                        const struct rp_machine *machine);
/** The machine that was called, if this leader's term is still the same; else NULL. */
struct rp_machine *rp_direct_call_find_machine(const struct rp_direct_call *call);
/** The same, and NULL if the machine is in another incarnation by now. */
struct rp_machine *rp_direct_call_find_incarnation(const struct rp_direct_call *call);
/** Decodes the response's list of tasks, which is there (and else empty) when the call was executed
 * or refused. The caller must free it with rp_heartbeat_free, whatever the outcome. */
enum rp_direct_outcome rp_direct_call_read(const struct rp_answer *response,
                                           struct rp_heartbeat *heartbeat);

#endif
