/** @file
 * Sends a new leader's fencing token to the machines of the previous leader by direct commands, at
 * once instead of with the response to each machine's next heartbeat. A worker that has received
 * the token drops what an earlier leader may still send, and its response reports what runs there.
 *
 * Addresses come from the standby's copy of the machine directory. They only save time: a machine
 * that is not reached is reconciled by its heartbeat or by the expiry of its lease. standby.c
 * starts the fencing when this node leads, and stops it when the term ends. */
#ifndef RP_STANDBY_MACHINE_FENCING_H
#define RP_STANDBY_MACHINE_FENCING_H

#include "standby/machine_directory.h"
#include "worker/workers.h"

/** The fencing of the machines in one term. */
struct rp_machine_fencing {
    struct rp_loop *loop;
    struct rp_cluster *cluster;
    struct rp_workers *workers;
    const struct rp_machine_directory *directory;
    struct rp_timer timer;
    char (*machines)[RP_TEXT_MAX]; /* the machines of the current pass, in the order of the cluster
                                      state */
    size_t n_machines, next_machine;
    size_t n_in_flight; /* machines whose response is awaited */
    bool is_second_pass;
    unsigned long n_fenced, n_unfenced; /* attempts to fence a machine that succeeded, or failed, in
                                           this or the last term of this node */
};

/** Initializes the fencing without starting it. Everything that it refers to must outlive it. */
void rp_machine_fencing_init(struct rp_machine_fencing *fencing, struct rp_loop *loop,
                             struct rp_cluster *cluster, struct rp_workers *workers,
                             const struct rp_machine_directory *directory);
/** Starts the fencing when this node begins to lead: a first pass after a short delay, and a second
 * pass over the machines that have not been reconciled by then. */
void rp_machine_fencing_start(struct rp_machine_fencing *fencing);
/** Stops the fencing when the term ends: the token is sent to no further machine. */
void rp_machine_fencing_stop(struct rp_machine_fencing *fencing);
/** Stops the fencing and frees the list of machines. */
void rp_machine_fencing_close(struct rp_machine_fencing *fencing);

#endif
