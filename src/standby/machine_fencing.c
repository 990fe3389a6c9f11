#include "standby/machine_fencing.h"

#include <stdlib.h>
#include "base/log.h"
#include "base/memory.h"
#include "base/string_copy.h"
#include "worker/worker_fencing.h"

/* Maximum number of machines that are being fenced at a time; docs/standby.md, "Leading". */
#define IN_FLIGHT_MAX 128
/* Seconds from when this node leads to the first pass. In this time this node responds to the
 * heartbeats that wait at it, which also gives those machines its fencing token. */
#define FIRST_PASS_DELAY_S 0.15
/* Seconds from the first pass to the second, which also fences the machines whose heartbeat was
 * answered but which have not sent this leader's fencing token back since. */
#define SECOND_PASS_DELAY_S 1.2

static void fence_next(struct rp_machine_fencing *fencing);

static void on_fenced(void *arg, bool is_fenced) {
    struct rp_machine_fencing *fencing = arg;
    fencing->n_in_flight--;
    if (is_fenced)
        fencing->n_fenced++;
    else
        fencing->n_unfenced++;
    fence_next(fencing);
}

/* Sends this leader's fencing token to the machine, unless the machine has been removed, has been
 * reconciled meanwhile by sending the token back, or has no known address. */
static void fence_machine(struct rp_machine_fencing *fencing, const char *name) {
    struct rp_machine *machine = rp_machine_find(fencing->cluster, name);
    const struct rp_directory_machine *entry = rp_machine_directory_find(fencing->directory, name);
    bool is_needed = machine && machine->state == RP_MACHINE_UNRECONCILED;
    bool is_reachable = entry && *entry->addr;
    if (!is_needed || !is_reachable)
        return;
    fencing->n_in_flight++;
    rp_worker_fence(&fencing->workers->context, machine, entry->addr, entry->incarnation, on_fenced,
                    fencing);
}

static void fence_next(struct rp_machine_fencing *fencing) {
    while (fencing->n_in_flight < IN_FLIGHT_MAX && fencing->next_machine < fencing->n_machines)
        fence_machine(fencing, fencing->machines[fencing->next_machine++]);
}

/* The first pass omits machines whose heartbeat has just been answered: they send the token back
 * with their next heartbeat. */
static bool is_in_pass(const struct rp_machine_fencing *fencing, const struct rp_machine *machine) {
    bool is_answered = !rp_ts_is_zero(machine->contact.first_answer_at);
    return machine->state == RP_MACHINE_UNRECONCILED && (fencing->is_second_pass || !is_answered);
}

static void list_machines(struct rp_machine_fencing *fencing) {
    const struct rp_cluster *cluster = fencing->cluster;
    free(fencing->machines);
    fencing->machines = rp_alloc(cluster->n_machines + 1, sizeof *fencing->machines);
    fencing->n_machines = fencing->next_machine = 0;
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        if (is_in_pass(fencing, machine)) {
            char *name = fencing->machines[fencing->n_machines++];
            rp_string_copy(name, sizeof *fencing->machines, machine->name);
        }
}

static void on_pass_due(void *arg) {
    struct rp_machine_fencing *fencing = arg;
    list_machines(fencing);
    rp_debug("fencing machines: n_machines=%zu n_in_directory=%zu directory_term=%llu",
             fencing->n_machines, fencing->directory->n_machines,
             (unsigned long long)fencing->directory->term);
    fence_next(fencing);
    if (!fencing->is_second_pass)
        rp_timer_set(fencing->loop, &fencing->timer, SECOND_PASS_DELAY_S);
    fencing->is_second_pass = true;
}

void rp_machine_fencing_init(struct rp_machine_fencing *fencing, struct rp_loop *loop,
                             struct rp_cluster *cluster, struct rp_workers *workers,
                             const struct rp_machine_directory *directory) {
    *fencing = (struct rp_machine_fencing){.loop = loop,
                                           .cluster = cluster,
                                           .workers = workers,
                                           .directory = directory,
                                           .timer = {.fn = on_pass_due, .arg = fencing}};
}

void rp_machine_fencing_start(struct rp_machine_fencing *fencing) {
    fencing->n_fenced = fencing->n_unfenced = 0;
    fencing->is_second_pass = false;
    rp_timer_set(fencing->loop, &fencing->timer, FIRST_PASS_DELAY_S);
}

void rp_machine_fencing_stop(struct rp_machine_fencing *fencing) {
    rp_timer_cancel(fencing->loop, &fencing->timer);
    fencing->n_machines = fencing->next_machine = 0;
}

void rp_machine_fencing_close(struct rp_machine_fencing *fencing) {
    rp_machine_fencing_stop(fencing);
    free(fencing->machines);
    fencing->machines = NULL;
}
