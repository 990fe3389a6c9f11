#include "digest_workloads.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULTS_S 150.0     /* virtual time for which faults occur */
#define COMPLETION_S 100.0 /* virtual time without faults afterwards, in which the jobs finish */
#define NO_CPU_LIMIT 1e6
#define N_HEURISTICS 4 /* number of heuristics in each configuration of run_full_fleet */

/* Submits jobs of every kind except services. */
static void submit_jobs(struct sim *sim, unsigned long seed) {
    sim_submit(sim, 1, "sweep", 20, 1, 8, 0);
    sim_submit(sim, 2, "sweep", 40, 1, 15, 0);
    sim_submit(sim, 3, "ensemble", 3, 8, 12, 0);
    sim_submit(sim, 10, "sweep", 30, 2, 10, 20 + (double)(seed % 17));
    sim_submit(sim, 15, "sweep", 2, 1, 200, 40); /* ends only by its cancellation */
    sim_submit(sim, 20, "ensemble", 2, 20, 20, 0);
    sim_submit(sim, 30, "sweep", 1, 1, 3, 0);
    sim_submit(sim, 45, "ensemble", 4, 4, 25, 60 + (double)(seed % 13));
    sim_submit(sim, 60, "sweep", 40, 1, 6, 0);
    sim_submit(sim, 80, "sweep", 12, 3, 20, 0);
}

static void submit_services(struct sim *sim, double from) {
    sim_submit(sim, from + 1, "service", 3, 1, 0, from + 150);
    sim_submit(sim, from + 2, "service", 6, 1, 0, from + 100);
    sim_submit(sim, from + 5, "service", 2, 2, 0, from + 140);
    sim_submit(sim, from + 40, "service", 4, 1, 0, from + 145);
}

/* Submits many short jobs, so that at any time some write to the key-value store is pending. */
static void submit_short_jobs(struct sim *sim) {
    for (int i = 0; i < 60; i++)
        sim_submit(sim, 10 + i, "sweep", 3, 1, 2, i % 5 == 4 ? 12 + i : 0);
}

static void remove_team_limit(struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = NO_CPU_LIMIT;
}

/* Runs the simulation with faults until FAULTS_S, then without faults until the jobs can finish. */
static void run_until_finished(struct sim *sim) {
    if (sim->now < FAULTS_S)
        sim_run(sim, FAULTS_S - sim->now);
    sim_end_faults(sim);
    sim_run(sim, COMPLETION_S);
}

/* Runs the simulation until a node leads and returns that node; after 60 s without a leader,
 * returns node 0. */
static int wait_for_leader(struct sim *sim) {
    for (int i = 0; i < 600 && sim_leader(sim) < 0; i++)
        sim_run(sim, 0.1);
    return sim_leader(sim) < 0 ? 0 : sim_leader(sim);
}

void run_mixed_jobs(struct sim *sim, unsigned long seed) {
    submit_jobs(sim, seed);
    run_until_finished(sim);
}

void run_frequent_queries(struct sim *sim, unsigned long seed) {
    sim->has_eager_users = sim->has_concurrent_reads = true;
    run_mixed_jobs(sim, seed);
}

void run_services(struct sim *sim, unsigned long seed) {
    remove_team_limit(sim);
    submit_jobs(sim, seed);
    for (int i = 0; i < 10; i++)
        sim_submit(sim, 1 + 3 * i, "sweep", 40, 2, 20, 0);
    submit_services(sim, 20);
    run_until_finished(sim);
}

void run_team_limits(struct sim *sim, unsigned long seed) {
    for (int i = 0; i < sim->n_nodes; i++) {
        sim->settings[i].teams[0].cpus_max = seed % 2 ? NO_CPU_LIMIT : 60;
        sim->settings[i].teams[1].cpus = 24;
        sim->settings[i].teams[1].cpus_max = seed % 3 ? 0 : 40;
    }
    for (int i = 0; i < 10; i++)
        sim_submit(sim, 1, "sweep", 40, 2, 20 + (double)(seed % 5), 0);
    for (int i = 0; i < 4; i++) {
        int job = sim_submit(sim, 30 + 10 * i, i == 3 ? "ensemble:low" : "sweep", 12, 1, 15, 0);
        sim_set_field(sim, job, "crew", json_string("guests"));
        sim_set_field(sim, job, "precedence", json_string(i % 2 ? "low" : "urgent"));
    }
    run_until_finished(sim);
}

void run_leader_refused_by_store(struct sim *sim, unsigned long seed) {
    submit_jobs(sim, seed);
    for (int i = 0; i < 5; i++)
        sim_submit(sim, 1, "sweep", 12, 1, 90, 0);
    sim_run(sim, 45);
    sim->nodes[wait_for_leader(sim)].store_refusal_until = sim->now + 4 + (double)(seed % 3) * 8;
    sim_cancel_running(sim, 4, seed % 2 ? 20 : 0);
    sim_run(sim, 2);
    sim->store_outage_until = sim->now + 15;
    run_until_finished(sim);
}

void run_cancellations_at_failover(struct sim *sim, unsigned long seed) {
    submit_jobs(sim, seed);
    submit_short_jobs(sim);
    sim_run(sim, 38 + (double)(seed % 7));
    for (int i = 0; i < 10; i++)
        sim->jobs[i].cancel_at = sim->now - 0.5 + 0.5 * i;
    int leader = wait_for_leader(sim);
    if (seed % 3 == 2)
        rp_election_resign(&sim->nodes[leader].node->election, 5);
    else
        sim_crash(sim, leader, seed % 3 ? 3 : 0.2);
    run_until_finished(sim);
}

void run_paused_leader(struct sim *sim, unsigned long seed) {
    submit_jobs(sim, seed);
    submit_short_jobs(sim);
    sim_run(sim, 30 + 0.07 * (double)(seed % 11));
    sim->nodes[wait_for_leader(sim)].paused_until = sim->now + 1.5;
    sim_run(sim, 15);
    sim->nodes[wait_for_leader(sim)].paused_until = sim->now + 20;
    sim_run(sim, 30);
    sim->nodes[wait_for_leader(sim)].partitioned_until = sim->now + 25;
    run_until_finished(sim);
}

void run_partitioned_zone(struct sim *sim, unsigned long seed) {
    submit_jobs(sim, seed);
    sim_run(sim, 30);
    sim->partitioned_zone = 1 + (int)(seed % 2);
    sim->node_in_partition = 1 + wait_for_leader(sim);
    sim_run(sim, 25);
    sim->partitioned_zone = sim->node_in_partition = 0;
    sim->node_without_heartbeats = 1 + wait_for_leader(sim);
    sim_run(sim, 15);
    sim->node_without_heartbeats = 0;
    sim->cloud_outage_until = sim->now + 30;
    run_until_finished(sim);
}

void run_query_overload(struct sim *sim, unsigned long seed) {
    for (int i = 0; i < 100; i++)
        sim_submit(sim, 1 + i * 0.2, "sweep", 2, 1, 40 + (double)(seed % 5), 0);
    sim_run(sim, 30);
    sim->has_eager_users = true;
    sim_run(sim, 15);
    sim_crash(sim, wait_for_leader(sim), 2);
    sim_run(sim, 30);
    sim_end_faults(sim);
    sim_run(sim, 40);
}

void run_long_records(struct sim *sim, unsigned long seed) {
    submit_jobs(sim, seed);
    sim_run(sim, 8);
    sim_lower_limits(sim);
    for (int i = 0; i < 3; i++)
        sim_submit_long(sim, 9 + 4 * i, 30, 10);
    sim_run(sim, 5 + (double)(seed % 5));
    sim_crash(sim, wait_for_leader(sim), 2);
    run_until_finished(sim);
}

/* Sets objectives for both classes of jobs of submit_jobs, and heuristics that are not among the
 * defaults. */
static void set_objectives_and_heuristics(struct rp_settings *settings, unsigned long seed) {
    static const char *const names[][N_HEURISTICS] = {{"FCFS-RND", "RR-LM", "ESW-SM", "EDF-CP"},
                                                      {"LJF-LA", "SJF-EA", "ESW-LD", "SRW-BF"},
                                                      {"LTJF-ED", "STJF-LAA", "ESW-EAA", "EDF-CP"},
                                                      {"SRW-CFH", "FCFS-FFH", "ESW-BF", "RR-SM"}};
    static const struct rp_objective objectives[] = {
        {.kind = RP_OBJECTIVE_FINISHED, .class_name = "a", .within_s = 90, .share = 0.9},
        {.kind = RP_OBJECTIVE_DEADLINE, .class_name = "a", .times = 1, .share = 0.9},
        {.kind = RP_OBJECTIVE_WAIT, .class_name = "g", .within_s = 30, .share = 0.9}};
    settings->objectives = malloc(sizeof objectives);
    if (!settings->objectives)
        abort();
    memcpy(settings->objectives, objectives, sizeof objectives);
    settings->n_objectives = sizeof objectives / sizeof objectives[0];
    settings->tuning.n_heuristics = N_HEURISTICS;
    for (size_t i = 0; i < N_HEURISTICS; i++)
        snprintf(settings->tuning.heuristics[i], sizeof settings->tuning.heuristics[i], "%s",
                 names[seed % (sizeof names / sizeof names[0])][i]);
}

void run_full_fleet(struct sim *sim, unsigned long seed) {
    remove_team_limit(sim);
    for (int i = 0; i < sim->n_nodes; i++)
        set_objectives_and_heuristics(&sim->settings[i], seed);
    for (int i = 0; i < 40; i++) {
        int job = sim_submit(sim, 1 + 2 * i, "sweep", 40, 2, 20 + 5 * (i % 5), 0);
        if (i % 4 == 0)
            sim_set_field(sim, job, "due_s", json_real(60 + 10 * i));
    }
    for (int i = 0; i < 3; i++) {
        sim_submit(sim, 40 + 3 * i, "ensemble", 4, 24, 20, 0);
        sim_submit(sim, 45 + 3 * i, "ensemble:low", 6, 24, 20, 0);
        sim_submit(sim, 50 + 3 * i, "ensemble:low", 1, 24, 20, 0);
    }
    submit_services(sim, 60);
    run_until_finished(sim);
}

void run_failing_tasks(struct sim *sim, unsigned long seed) {
    submit_jobs(sim, seed);
    sim->jobs[seed % 5].fails_always = true;
    sim_run(sim, 25);
    for (int i = 0; i < sim->size.n_workers; i += 4)
        sim->workers[i].fails_tasks = true;
    run_until_finished(sim);
}

void run_rolling_upgrade(struct sim *sim, unsigned long seed) {
    sim_start_as_old_version(sim);
    submit_jobs(sim, seed);
    sim_run(sim, 25 + (double)(seed % 7));
    for (int i = 0; i < sim->n_nodes; i++) {
        int node = (i + (int)(seed % 5)) % sim->n_nodes;
        sim_upgrade(sim, node, 0.2 + (double)(seed % 4));
        sim_run(sim, 4 + (double)(seed % 6));
    }
    sim_run(sim, 4);
    sim_lower_limits(sim);
    submit_services(sim, sim->now);
    for (int i = 0; i < 4; i++)
        sim_submit(sim, sim->now + 10 * i, "sweep", 40, 1, 14, 0);
    sim_run(sim, FAULTS_S);
    run_until_finished(sim);
}

void run_incomplete_upgrade(struct sim *sim, unsigned long seed) {
    sim_start_as_old_version(sim);
    submit_jobs(sim, seed);
    sim_submit_long(sim, 5, 30, 10);
    sim_run(sim, 20);
    for (int i = 0; i + 1 < sim->n_nodes; i++) {
        sim_upgrade(sim, i, 1);
        sim_run(sim, 8);
    }
    sim_submit(sim, sim->now, "service", 2, 1, 0, sim->now + 60);
    run_until_finished(sim);
}

void run_large_fleet(struct sim *sim, unsigned long seed) {
    remove_team_limit(sim);
    for (int i = 0; i < 50; i++)
        sim_submit(sim, 1 + i * 0.05, "sweep", 40, 8, 15 + (double)(seed % 4), 0);
    for (int i = 0; i < 6; i++)
        sim_submit(sim, 40 + i, "ensemble", 8, 8, 10, 0);
    sim_submit(sim, 30, "service", 12, 2, 0, 70);
    sim_run(sim, 40);
    sim_crash(sim, wait_for_leader(sim), 5);
    sim_run(sim, 20);
    sim->nodes[wait_for_leader(sim)].paused_until = sim->now + 12;
    sim_run(sim, 30);
    sim_end_faults(sim);
    sim_run(sim, 15);
}
