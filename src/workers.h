/* Workers' reports and the commands that go back in their answers. */
#ifndef RP_WORKERS_H
#define RP_WORKERS_H

#include "fleet.h"
#include "metrics.h"
#include "picture.h"

struct rp_workers {
    struct rp_loop *loop;
    struct rp_election *election;
    struct rp_picture *picture;
    struct rp_jobs *jobs;
    struct rp_fleet *fleet;
    const struct rp_settings *settings;
    struct rp_metrics *metrics;
    bool ready;                 /* the records are loaded */
    void (*on_room)(void *arg); /* places became free */
    void *arg;
    unsigned long n_reports, n_stale, n_starts;
    unsigned long n_over_bounds; /* tasks of unknown jobs beyond RP_FOREIGN_KEPT on a machine */
};

void rp_workers_init(struct rp_workers *w, struct rp_loop *loop, struct rp_election *election,
                     struct rp_picture *picture, struct rp_jobs *jobs, struct rp_fleet *fleet,
                     const struct rp_settings *settings, struct rp_metrics *metrics);
void rp_workers_report(struct rp_workers *w, struct rp_request *req);
/* How long after an answer the machine's tasks may still live, on our clock. */
double rp_workers_lease_s(const struct rp_settings *settings);

#endif
