#include "cluster/cluster.h"

#include <stdlib.h>
#include <string.h>

/* An attempt's number consists of the lower bits of the term's fencing token and, below them, a
 * count. With 63 bits in all, nodes of earlier versions, whose JSON integers are signed, can read
 * the number in reports. Tokens with the same lower bits are 2^31 changes of the store apart. */
#define TOKEN_BITS 31
#define COUNT_BITS 32
/* The numbers that are left when the term should end. More than a term can use up before it does.
 */
#define RESERVED_NUMBERS (UINT64_C(1) << 24)

int rp_cluster_init(struct rp_cluster *cluster, struct rp_loop *loop, struct rp_jobs *jobs,
                    const struct rp_settings *settings, const struct rp_catalog *catalog) {
    memset(cluster, 0, sizeof *cluster);
    cluster->loop = loop;
    cluster->jobs = jobs;
    cluster->settings = settings;
    cluster->catalog = catalog;
    cluster->team_cpus = calloc(settings->n_teams + 1, sizeof(double));
    cluster->team_gpus = calloc(settings->n_teams + 1, sizeof(double));
    return cluster->team_cpus && cluster->team_gpus ? 0 : -1;
}

static void remove_all_machines(struct rp_cluster *cluster) {
    while (cluster->first)
        rp_machine_remove(cluster, cluster->first, RP_EVIDENCE_TERM_OVER);
    free(cluster->unreconciled);
    cluster->unreconciled = NULL;
    cluster->n_unreconciled = cluster->cap_unreconciled = 0;
}

void rp_cluster_reset(struct rp_cluster *cluster, uint64_t token) {
    remove_all_machines(cluster);
    for (size_t i = 0; i < cluster->settings->n_teams; i++)
        cluster->team_cpus[i] = cluster->team_gpus[i] = 0;
    cluster->fencing_token = token;
    cluster->attempt_base = (token & ((UINT64_C(1) << TOKEN_BITS) - 1)) << COUNT_BITS;
    cluster->attempt_next = 0;
    cluster->n_failed_direct_starts = 0;
    cluster->phases_surveyed_at = (struct timespec){0};
    cluster->n_phase_gaps = 0;
    cluster->longest_phase_gap_s = 0;
}

void rp_cluster_free(struct rp_cluster *cluster) {
    remove_all_machines(cluster);
    free(cluster->team_cpus);
    free(cluster->team_gpus);
}

uint64_t rp_cluster_next_attempt(struct rp_cluster *cluster) {
    return cluster->attempt_base + ++cluster->attempt_next;
}

bool rp_cluster_is_short_of_attempts(const struct rp_cluster *cluster) {
    return cluster->attempt_next >= (UINT64_C(1) << COUNT_BITS) - RESERVED_NUMBERS;
}

void rp_cluster_stop_job(struct rp_cluster *cluster, struct rp_job *job, double grace_s) {
    /* The search ends with the job's last allocation: most jobs have few, and many jobs may be
     * cancelled in one turn of the event loop. */
    uint32_t n_left = job->n_allocations;
    for (struct rp_machine *machine = cluster->first; machine && n_left > 0;
         machine = machine->next)
        for (size_t i = machine->n_allocations; i-- > 0 && n_left > 0;) {
            struct rp_allocation *allocation = &machine->allocations[i];
            if (allocation->job != job)
                continue;
            n_left--;
            if (allocation->state == RP_ALLOCATION_PLANNED)
                rp_allocation_remove(cluster, machine, i);
            else if (allocation->state != RP_ALLOCATION_EXITED)
                rp_allocation_request_stop(allocation, grace_s);
        }
}
