/** @file
 * Shows a new leader's fencing token to the machines of the leader before, by direct commands, at
 * once instead of with each machine's next heartbeat. A worker that has seen the token drops what
 * an earlier leader may still send, and its answer tells what runs there.
 *
 * Addresses come from the standby's copy of the machine directory. They only save time: a machine
 * that isn't reached is reconciled by its heartbeat or its lease's expiry. standby.c begins the
 * fencing when this node leads, and ends it with its term. */
#ifndef RP_STANDBY_MACHINE_FENCING_H
#define RP_STANDBY_MACHINE_FENCING_H

#include "standby/machine_directory.h"
#include "worker/workers.h"

/** The fencing of one term's machines. */
struct rp_machine_fencing {
    struct rp_loop *loop;
    struct rp_cluster *cluster;
    struct rp_workers *workers;
    const struct rp_machine_directory *directory;
    struct rp_timer timer;
    char (*machines)[RP_TEXT_MAX]; /* to be shown the token, in the order of the cluster state */
    size_t n_machines, next_machine;
    size_t n_under_way;
    bool is_second_pass;
    unsigned long n_fenced, n_unfenced; /* in this term, or in the last that this node had */
};

/** Sets the fencing up without starting it; what it refers to outlives it. */
void rp_machine_fencing_init(struct rp_machine_fencing *fencing, struct rp_loop *loop,
                             struct rp_cluster *cluster, struct rp_workers *workers,
                             const struct rp_machine_directory *directory);
/** This node leads: machines are asked in a moment, and those that remain a second time. */
void rp_machine_fencing_start(struct rp_machine_fencing *fencing);
/** The term has ended: no further machine is asked. */
void rp_machine_fencing_stop(struct rp_machine_fencing *fencing);
/** Stops, and frees the list of machines. */
void rp_machine_fencing_close(struct rp_machine_fencing *fencing);

#endif
