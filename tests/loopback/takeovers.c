/* Measures failovers with real processes on loopback: kills or stops the leading node again and
 * again. The simulation (tests/simulation/) provides the key-value store, the cloud, the workers
 * and the users, and checks its rules after each step (rules.c). Prints a line for each end of a
 * leader. CI runs it with two ends and checks only the rules: more take minutes, and the times
 * depend on the machine. tests/loopback/run starts several. */
#include <stdio.h>
#include <stdlib.h>
#include "base/log.h"
#include "loopback/cluster.h"

#define WORKERS 40
#define STEP_S 0.02
#define STARTUP_S 20.0        /* time before the first leader may be ended */
#define STEADY_S 3.0          /* time for which a leader leads before it is ended */
#define START_TIMEOUT_S 60    /* the run fails if no task starts under a new token in this time */
#define DRAIN_TIMEOUT_S 100.0 /* after the last end, for all jobs to finish */
#define JOB_INTERVAL_S 0.35

/* Phases of a run and the edges between them, each made by set_phase:
 * - STARTING -> STEADY: the first leader has started a task and STARTUP_S has passed.
 * - STEADY -> LEADERLESS: the leader was ended after STEADY_S.
 * - LEADERLESS -> STEADY: the next leader has started a task.
 * - LEADERLESS -> DRAINING: the next leader has started a task after the last end. */
enum phase {
    STARTING,   /* no leader has started a task yet */
    STEADY,     /* a leader leads and will be ended */
    LEADERLESS, /* the leader was ended and no other one has started a task */
    DRAINING    /* no more ends and no new jobs; the submitted jobs finish */
};

struct takeovers {
    struct cluster cluster;
    int n_required_ends; /* ends of a leader after which the run drains */
    int n_ends;          /* ends of a leader after which another one has started a task */
    int n_stopped;
    enum phase phase;
    double phase_since;
    double ended_at;      /* time of the last end of a leader */
    double claimed_at;    /* when another node held the leader's key after that end; 0: not yet */
    uint64_t ended_token; /* fencing token of the last leader that was ended */
    double next_job_at;
    double downtime_s; /* each end is a kill with a restart after this time; 0: kills and stops */
    bool was_stopped;  /* the last leader was stopped for a while, not killed */
};

/* ---- the course of a run ---- */

/* The only function that changes the run's phase. */
static void set_phase(struct takeovers *run, enum phase phase) {
    run->phase = phase;
    run->phase_since = run->cluster.sim->now;
}

static void submit_next_job(struct takeovers *run) {
    struct sim *sim = run->cluster.sim;
    if (sim->now < run->next_job_at || sim->n_jobs >= SIM_JOBS - 8 || run->phase == DRAINING)
        return;
    run->next_job_at = sim->now + JOB_INTERVAL_S;
    int n = sim->n_jobs;
    double cancel_at = n % 6 == 5 ? sim->now + 2 + n % 4 : 0;
    if (n == 0)
        (void)sim_submit(sim, sim->now, "service", 2, 1, 0, 0);
    else if (n % 9 == 4)
        (void)sim_submit(sim, sim->now, "ensemble", 2 + (unsigned)(n % 2), 2, 4, cancel_at);
    else
        (void)sim_submit(sim, sim->now, "sweep", 2 + (unsigned)(n % 4), 1, 2.5, cancel_at);
}

static void end_leader(struct takeovers *run, int leader) {
    struct cluster *cluster = &run->cluster;
    run->was_stopped = run->downtime_s == 0 && (run->n_ends + (int)cluster->seed) % 4 == 3;
    run->ended_token = cluster->sim->started_token;
    run->ended_at = cluster->sim->now;
    run->claimed_at = 0;
    if (run->was_stopped) {
        cluster_stop_node(cluster, leader, 6 + run->n_ends % 5);
        run->n_stopped++;
    } else {
        cluster_kill_node(cluster, leader,
                          run->downtime_s > 0 ? run->downtime_s : 4 + run->n_ends % 3);
    }
    set_phase(run, LEADERLESS); /* STEADY -> LEADERLESS: the leader was killed or stopped */
}

/* Kills the nodes, prints the result and exits with the code. */
static _Noreturn void finish(struct takeovers *run, int exit_code) {
    const struct sim *sim = run->cluster.sim;
    cluster_end_nodes(&run->cluster);
    printf("cluster seed=%lu ends=%d stopped=%d jobs=%d done=%lu starts=%lu rules=%s\n",
           run->cluster.seed, run->n_ends, run->n_stopped, sim->n_jobs, sim->n_done_jobs,
           sim->n_starts, *sim->violation ? sim->violation : "kept");
    fflush(stdout);
    exit(exit_code);
}

static bool is_key_held_by_running_node(const struct takeovers *run) {
    const struct cluster *cluster = &run->cluster;
    int holder = cluster_key_holder(cluster);
    return holder >= 0 && cluster->nodes[holder].pid && !cluster->nodes[holder].is_stopped;
}

/* In phase LEADERLESS: checks whether another leader has started a task, and ends the run if none
 * has within START_TIMEOUT_S. */
static void check_failover(struct takeovers *run) {
    struct sim *sim = run->cluster.sim;
    if (run->claimed_at == 0 && is_key_held_by_running_node(run))
        run->claimed_at = sim->now;
    if (sim->started_token > run->ended_token) {
        printf("end seed=%lu n=%d how=%s claimed_s=%.2f first_start_s=%.2f\n", run->cluster.seed,
               run->n_ends, run->was_stopped ? "stop" : "kill", run->claimed_at - run->ended_at,
               sim->started_at - run->ended_at);
        fflush(stdout);
        run->n_ends++;
        /* LEADERLESS -> STEADY or DRAINING: the next leader has started a task. */
        set_phase(run, run->n_ends == run->n_required_ends ? DRAINING : STEADY);
    } else if (sim->now - run->ended_at > START_TIMEOUT_S) {
        printf("end seed=%lu n=%d how=%s no start for %d s\n", run->cluster.seed, run->n_ends,
               run->was_stopped ? "stop" : "kill", START_TIMEOUT_S);
        finish(run, 1);
    }
}

/* In phase DRAINING: ends the run once all jobs have finished or DRAIN_TIMEOUT_S has passed. */
static void finish_when_drained(struct takeovers *run) {
    struct sim *sim = run->cluster.sim;
    if (sim->faults_ended_at == 0) {
        sim_end_faults(sim);
        sim->jobs[0].cancel_at = sim->now; /* the service ends only by its cancellation */
    }
    if (!sim_all_terminal(sim) && sim->now < run->phase_since + DRAIN_TIMEOUT_S)
        return;
    sim_check_served(sim);
    finish(run, *sim->violation ? 1 : 0);
}

static bool is_ready_for_next_end(const struct takeovers *run) {
    bool has_been_steady = run->cluster.sim->now > run->phase_since + STEADY_S;
    return cluster_are_all_running(&run->cluster) && has_been_steady &&
           cluster_key_holder(&run->cluster) >= 0;
}

static void on_step(void *arg) {
    struct takeovers *run = arg;
    struct cluster *cluster = &run->cluster;
    struct sim *sim = cluster->sim;
    rp_timer_set(&cluster->loop, &cluster->timer, STEP_S);
    submit_next_job(run);
    sim_step(sim, cluster_now(cluster));
    if (!cluster_restore_nodes(cluster) || *sim->violation)
        finish(run, 1);
    switch (run->phase) {
    case STARTING:
        if (sim->started_token > 0 && sim->now > STARTUP_S)
            set_phase(run, STEADY); /* STARTING -> STEADY: the first leader has started a task */
        break;
    case STEADY:
        if (is_ready_for_next_end(run))
            end_leader(run, cluster_key_holder(&run->cluster));
        break;
    case LEADERLESS:
        check_failover(run);
        break;
    case DRAINING:
        finish_when_drained(run);
        break;
    }
}

int main(int argc, char **argv) {
    static const struct sim_size size = {WORKERS, 6, 2, 14, 39, 200, 20, 5};
    static struct takeovers run;
    struct cluster *cluster = &run.cluster;
    if (argc < 7 || argc > 8) {
        fprintf(stderr,
                "usage: takeovers PROGRAM OPERATOR_FILE DIRECTORY PORT SEED ENDS [DOWNTIME_S]\n");
        return 2;
    }
    cluster->program = argv[1];
    cluster->operator_file = argv[2];
    cluster->directory = argv[3];
    cluster->next_port = (int)strtol(argv[4], NULL, 10);
    cluster->seed = strtoul(argv[5], NULL, 10);
    cluster->n_workers = WORKERS;
    run.n_required_ends = (int)strtol(argv[6], NULL, 10);
    run.downtime_s = argc > 7 ? strtod(argv[7], NULL) : 0;
    rp_log_setup("cluster", rp_log_level_named("error"));
    cluster_open(cluster, &size);
    cluster->timer = (struct rp_timer){.fn = on_step, .arg = &run};
    rp_timer_set(&cluster->loop, &cluster->timer, STEP_S);
    return rp_loop_run(&cluster->loop) < 0 ? 2 : 0;
}
