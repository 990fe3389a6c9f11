#include "worker/phase_probes.h"

#include "cluster/job_phase.h"
#include "worker/probes.h"

/* Seconds between two surveys while no machine has to be probed. */
#define SURVEY_PERIOD_S 0.5
/* Seconds between two surveys, and between two steps, while machines are probed. */
#define ACTIVE_SURVEY_PERIOD_S 0.1
#define ACTIVE_STEP_S 0.02
/* Share of the node's connections that probes may use, as a divisor, and its lower bound: the
 * node's own calls have a sixteenth of the connections (main.c). */
#define CONNECTIONS_DIVISOR 64
#define IN_FLIGHT_MIN 8
/* Seconds until a machine that has not responded to a probe is probed again. */
#define FAILED_PROBE_PAUSE_S 5.0
/* Age in seconds of a machine's newest message up to which a round does not probe it. */
#define PROBED_MESSAGE_AGE_S 0.5

static bool is_due(const struct rp_machine *machine, struct timespec since, struct timespec now) {
    bool is_pausing = machine->contact.n_probes_failed > 0 &&
                      rp_ts_since(now, machine->contact.probed_at) < FAILED_PROBE_PAUSE_S;
    return machine->state == RP_MACHINE_UP && !machine->contact.probing && !is_pausing &&
           rp_job_phase_needs_probe(machine, since);
}

static size_t count_in_flight(const struct rp_cluster *cluster) {
    size_t n = 0;
    for (const struct rp_machine *machine = cluster->first; machine; machine = machine->next)
        n += machine->contact.probing;
    return n;
}

/* Probes machines that the round has not probed yet, as many as may be in flight. Returns whether
 * the round goes on. */
static bool probe_machines(struct rp_phase_probes *probes, struct timespec now) {
    struct rp_worker_context *context = probes->context;
    size_t n_in_flight = count_in_flight(context->cluster);
    for (struct rp_machine *machine = context->cluster->first;
         machine && n_in_flight < probes->n_in_flight_max; machine = machine->next) {
        if (!is_due(machine, probes->round_since, now))
            continue;
        rp_probe_send(context, machine);
        probes->n_sent++;
        n_in_flight++;
    }
    return n_in_flight > 0;
}

/* Without rounds, the machines probed first would be due again before the last ones are probed. */
static void on_step(void *arg) {
    struct rp_phase_probes *probes = arg;
    const struct rp_worker_context *context = probes->context;
    struct timespec now = rp_loop_now(context->loop);
    bool is_in_round = !rp_ts_is_zero(probes->round_since);
    if (!is_in_round)
        probes->round_since = rp_ts_sub(now, rp_ts(PROBED_MESSAGE_AGE_S));
    if (rp_election_is_valid(context->election, now)) {
        rp_job_phase_survey(context->cluster, ACTIVE_SURVEY_PERIOD_S);
        is_in_round = probe_machines(probes, now);
    }
    if (!is_in_round)
        probes->round_since = (struct timespec){0};
    rp_timer_set(context->loop, &probes->timer, is_in_round ? ACTIVE_STEP_S : SURVEY_PERIOD_S);
}

void rp_phase_probes_init(struct rp_phase_probes *probes, struct rp_worker_context *context) {
    size_t share = context->settings->max_connections / CONNECTIONS_DIVISOR;
    *probes =
        (struct rp_phase_probes){.context = context,
                                 .timer = {.fn = on_step, .arg = probes},
                                 .n_in_flight_max = share > IN_FLIGHT_MIN ? share : IN_FLIGHT_MIN};
}

void rp_phase_probes_start(struct rp_phase_probes *probes) {
    rp_timer_set(probes->context->loop, &probes->timer, SURVEY_PERIOD_S);
}

void rp_phase_probes_stop(struct rp_phase_probes *probes) {
    rp_timer_cancel(probes->context->loop, &probes->timer);
}
