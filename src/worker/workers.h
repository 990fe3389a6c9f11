/** @file
 * Workers' reports and the commands that go back in their answers. */
#ifndef RP_WORKER_WORKERS_H
#define RP_WORKER_WORKERS_H

#include "base/metrics.h"
#include "cluster/cluster.h"
#include "cluster/fleet.h"

/** A report that brought news, whose answer waits for the round that this calls for. */
struct rp_held_heartbeat {
    struct rp_request *req;
    char machine[RP_TEXT_MAX];
    uint64_t incarnation, seq;
    struct timespec received;
};

struct rp_workers {
    struct rp_loop *loop;
    struct rp_election *election;
    struct rp_cluster *cluster;
    struct rp_jobs *jobs;
    struct rp_fleet *fleet;
    const struct rp_settings *settings;
    struct rp_metrics *metrics;
    struct rp_net net;
    unsigned long n_direct, n_direct_lost;
    bool ready; /* the records are loaded */
    /* Room became free. False: a round comes within a moment, and answers wait for it. */
    bool (*on_capacity_freed)(void *arg);
    void *arg;
    struct rp_held_heartbeat *held_heartbeats;
    size_t n_held, cap_held;
    struct rp_waiting_heartbeat
        *waiting_heartbeats; /* reports that wait until it is known who leads */
    struct rp_timer waiting_timer;
    unsigned long n_heartbeats, n_stale, n_starts;
    unsigned direct_left; /* tasks of arrays that may still be started directly after a takeover */
    unsigned long
        n_over_bounds; /* tasks of unknown jobs beyond RP_UNKNOWN_TASKS_MAX on a machine */
};

void rp_workers_init(struct rp_workers *workers, struct rp_loop *loop, struct rp_election *election,
                     struct rp_cluster *cluster, struct rp_jobs *jobs, struct rp_fleet *fleet,
                     const struct rp_settings *settings, struct rp_metrics *metrics,
                     struct rp_net net);
void rp_workers_on_heartbeat(struct rp_workers *workers, struct rp_request *req);
/** Sends the machine at once, not with the answer to its next report, what room for services takes:
 * stops that give no time to save, then the starts of replicas. */
void rp_workers_send_direct(struct rp_workers *workers, struct rp_machine *machine);
/** The machine has to keep so many ended attempts known that it gets no more direct starts. */
bool rp_workers_is_direct_full(const struct rp_machine *machine);
/** Asks a machine that has been silent whether it is there. */
void rp_workers_probe(struct rp_workers *workers, struct rp_machine *machine);
typedef void (*rp_workers_fenced_fn)(void *arg, bool fenced);
/** Shows this leader's token to a machine that may hold tasks of an earlier one, by a direct
 * command that does nothing else; `fn` is told, later, whether the machine is known by its answer
 * now. The worker's session is corrected by its answer if it is another one. */
void rp_workers_fence(struct rp_workers *workers, struct rp_machine *machine, const char *addr,
                      uint64_t incarnation, rp_workers_fenced_fn fn, void *arg);
/** Sends what has been planned for machines that are known by such an answer alone: their workers
 * may still wait for the leader before, for up to four seconds, and report only then. */
void rp_workers_send_fenced(struct rp_workers *workers);
/** A round has been run, or none will be: the reports that waited for it are answered. */
void rp_workers_answer_held_heartbeats(struct rp_workers *workers);
/** Forgets them unanswered: the process ends. */
void rp_workers_close(struct rp_workers *workers);

#endif
