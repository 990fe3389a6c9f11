/** @file
 * Probes of machines whose heartbeats do not prove together that no task of a job runs
 * (cluster/job_phase.h). All machines that the survey names are probed at about the same time, so
 * that their messages are recent together, whatever the interval of the heartbeats and however many
 * machines the job has.
 *
 * Invariant: at most a fixed share of the node's connections is in use for probes, since the calls
 * to the key-value store need them, too. The node (controller/node.h) starts and stops the probes
 * with its leadership. */
#ifndef RP_WORKER_PHASE_PROBES_H
#define RP_WORKER_PHASE_PROBES_H

#include "worker/worker_context.h"

/** The probes of a leader. */
struct rp_phase_probes {
    struct rp_worker_context *context; /* borrowed */
    struct rp_timer timer;
    /* The machines probed in the present round are those with messages from before this instant;
     * zero: between two rounds. */
    struct timespec round_since;
    size_t n_in_flight_max;
    unsigned long n_sent;
};

/** Initializes the probes without starting them. */
void rp_phase_probes_init(struct rp_phase_probes *probes, struct rp_worker_context *context);
/** Starts to survey the jobs and to probe machines. */
void rp_phase_probes_start(struct rp_phase_probes *probes);
/** Stops; responses to probes in flight are still read if this node leads in the same term. */
void rp_phase_probes_stop(struct rp_phase_probes *probes);

#endif
