#include "digest_days.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULTS_S 150.0     /* virtual time for which faults occur */
#define COMPLETION_S 100.0 /* virtual time without faults afterwards, in which the jobs finish */
#define NO_CPU_LIMIT 1e6
#define N_HEURISTICS 4 /* number of heuristics in each configuration of run_full_fleet */

/* Submits jobs of every kind except services. */
static void submit_jobs(struct sim *world, unsigned long seed) {
    sim_submit(world, 1, "sweep", 20, 1, 8, 0);
    sim_submit(world, 2, "sweep", 40, 1, 15, 0);
    sim_submit(world, 3, "ensemble", 3, 8, 12, 0);
    sim_submit(world, 10, "sweep", 30, 2, 10, 20 + (double)(seed % 17));
    sim_submit(world, 15, "sweep", 2, 1, 200, 40); /* ends only by its cancellation */
    sim_submit(world, 20, "ensemble", 2, 20, 20, 0);
    sim_submit(world, 30, "sweep", 1, 1, 3, 0);
    sim_submit(world, 45, "ensemble", 4, 4, 25, 60 + (double)(seed % 13));
    sim_submit(world, 60, "sweep", 40, 1, 6, 0);
    sim_submit(world, 80, "sweep", 12, 3, 20, 0);
}

static void submit_services(struct sim *world, double from) {
    sim_submit(world, from + 1, "service", 3, 1, 0, from + 150);
    sim_submit(world, from + 2, "service", 6, 1, 0, from + 100);
    sim_submit(world, from + 5, "service", 2, 2, 0, from + 140);
    sim_submit(world, from + 40, "service", 4, 1, 0, from + 145);
}

/* Submits many short jobs, so that at any time some write to the key-value store is pending. */
static void submit_short_jobs(struct sim *world) {
    for (int i = 0; i < 60; i++)
        sim_submit(world, 10 + i, "sweep", 3, 1, 2, i % 5 == 4 ? 12 + i : 0);
}

static void remove_team_limit(struct sim *world) {
    for (int i = 0; i < world->n_nodes; i++)
        world->settings[i].teams[0].cpus_max = NO_CPU_LIMIT;
}

/* Runs the simulation with faults until FAULTS_S, then without faults until the jobs can finish. */
static void run_until_finished(struct sim *world) {
    if (world->now < FAULTS_S)
        sim_run(world, FAULTS_S - world->now);
    sim_end_faults(world);
    sim_run(world, COMPLETION_S);
}

/* Runs the simulation until a node leads and returns that node; after 60 s without a leader,
 * returns node 0. */
static int wait_for_leader(struct sim *world) {
    for (int i = 0; i < 600 && sim_leader(world) < 0; i++)
        sim_run(world, 0.1);
    return sim_leader(world) < 0 ? 0 : sim_leader(world);
}

void run_mixed_jobs(struct sim *world, unsigned long seed) {
    submit_jobs(world, seed);
    run_until_finished(world);
}

void run_frequent_queries(struct sim *world, unsigned long seed) {
    world->has_eager_users = world->has_concurrent_reads = true;
    run_mixed_jobs(world, seed);
}

void run_services(struct sim *world, unsigned long seed) {
    remove_team_limit(world);
    submit_jobs(world, seed);
    for (int i = 0; i < 10; i++)
        sim_submit(world, 1 + 3 * i, "sweep", 40, 2, 20, 0);
    submit_services(world, 20);
    run_until_finished(world);
}

void run_team_limits(struct sim *world, unsigned long seed) {
    for (int i = 0; i < world->n_nodes; i++) {
        world->settings[i].teams[0].cpus_max = seed % 2 ? NO_CPU_LIMIT : 60;
        world->settings[i].teams[1].cpus = 24;
        world->settings[i].teams[1].cpus_max = seed % 3 ? 0 : 40;
    }
    for (int i = 0; i < 10; i++)
        sim_submit(world, 1, "sweep", 40, 2, 20 + (double)(seed % 5), 0);
    for (int i = 0; i < 4; i++) {
        int job = sim_submit(world, 30 + 10 * i, i == 3 ? "ensemble:low" : "sweep", 12, 1, 15, 0);
        sim_set_field(world, job, "crew", json_string("guests"));
        sim_set_field(world, job, "precedence", json_string(i % 2 ? "low" : "urgent"));
    }
    run_until_finished(world);
}

void run_leader_refused_by_store(struct sim *world, unsigned long seed) {
    submit_jobs(world, seed);
    for (int i = 0; i < 5; i++)
        sim_submit(world, 1, "sweep", 12, 1, 90, 0);
    sim_run(world, 45);
    world->nodes[wait_for_leader(world)].store_refusal_until =
        world->now + 4 + (double)(seed % 3) * 8;
    sim_cancel_running(world, 4, seed % 2 ? 20 : 0);
    sim_run(world, 2);
    world->store_outage_until = world->now + 15;
    run_until_finished(world);
}

void run_cancellations_at_failover(struct sim *world, unsigned long seed) {
    submit_jobs(world, seed);
    submit_short_jobs(world);
    sim_run(world, 38 + (double)(seed % 7));
    for (int i = 0; i < 10; i++)
        world->jobs[i].cancel_at = world->now - 0.5 + 0.5 * i;
    int leader = wait_for_leader(world);
    if (seed % 3 == 2)
        rp_election_resign(&world->nodes[leader].node->election, 5);
    else
        sim_crash(world, leader, seed % 3 ? 3 : 0.2);
    run_until_finished(world);
}

void run_paused_leader(struct sim *world, unsigned long seed) {
    submit_jobs(world, seed);
    submit_short_jobs(world);
    sim_run(world, 30 + 0.07 * (double)(seed % 11));
    world->nodes[wait_for_leader(world)].paused_until = world->now + 1.5;
    sim_run(world, 15);
    world->nodes[wait_for_leader(world)].paused_until = world->now + 20;
    sim_run(world, 30);
    world->nodes[wait_for_leader(world)].partitioned_until = world->now + 25;
    run_until_finished(world);
}

void run_partitioned_zone(struct sim *world, unsigned long seed) {
    submit_jobs(world, seed);
    sim_run(world, 30);
    world->partitioned_zone = 1 + (int)(seed % 2);
    world->node_in_partition = 1 + wait_for_leader(world);
    sim_run(world, 25);
    world->partitioned_zone = world->node_in_partition = 0;
    world->node_without_heartbeats = 1 + wait_for_leader(world);
    sim_run(world, 15);
    world->node_without_heartbeats = 0;
    world->cloud_outage_until = world->now + 30;
    run_until_finished(world);
}

void run_query_overload(struct sim *world, unsigned long seed) {
    for (int i = 0; i < 100; i++)
        sim_submit(world, 1 + i * 0.2, "sweep", 2, 1, 40 + (double)(seed % 5), 0);
    sim_run(world, 30);
    world->has_eager_users = true;
    sim_run(world, 15);
    sim_crash(world, wait_for_leader(world), 2);
    sim_run(world, 30);
    sim_end_faults(world);
    sim_run(world, 40);
}

void run_long_records(struct sim *world, unsigned long seed) {
    submit_jobs(world, seed);
    sim_run(world, 8);
    sim_lower_limits(world);
    for (int i = 0; i < 3; i++)
        sim_submit_long(world, 9 + 4 * i, 30, 10);
    sim_run(world, 5 + (double)(seed % 5));
    sim_crash(world, wait_for_leader(world), 2);
    run_until_finished(world);
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

void run_full_fleet(struct sim *world, unsigned long seed) {
    remove_team_limit(world);
    for (int i = 0; i < world->n_nodes; i++)
        set_objectives_and_heuristics(&world->settings[i], seed);
    for (int i = 0; i < 40; i++) {
        int job = sim_submit(world, 1 + 2 * i, "sweep", 40, 2, 20 + 5 * (i % 5), 0);
        if (i % 4 == 0)
            sim_set_field(world, job, "due_s", json_real(60 + 10 * i));
    }
    for (int i = 0; i < 3; i++) {
        sim_submit(world, 40 + 3 * i, "ensemble", 4, 24, 20, 0);
        sim_submit(world, 45 + 3 * i, "ensemble:low", 6, 24, 20, 0);
        sim_submit(world, 50 + 3 * i, "ensemble:low", 1, 24, 20, 0);
    }
    submit_services(world, 60);
    run_until_finished(world);
}

void run_failing_tasks(struct sim *world, unsigned long seed) {
    submit_jobs(world, seed);
    world->jobs[seed % 5].fails_always = true;
    sim_run(world, 25);
    for (int i = 0; i < world->size.n_workers; i += 4)
        world->workers[i].fails_tasks = true;
    run_until_finished(world);
}

void run_rolling_upgrade(struct sim *world, unsigned long seed) {
    sim_start_as_old_version(world);
    submit_jobs(world, seed);
    sim_run(world, 25 + (double)(seed % 7));
    for (int i = 0; i < world->n_nodes; i++) {
        int node = (i + (int)(seed % 5)) % world->n_nodes;
        sim_upgrade(world, node, 0.2 + (double)(seed % 4));
        sim_run(world, 4 + (double)(seed % 6));
    }
    sim_run(world, 4);
    sim_lower_limits(world);
    submit_services(world, world->now);
    for (int i = 0; i < 4; i++)
        sim_submit(world, world->now + 10 * i, "sweep", 40, 1, 14, 0);
    sim_run(world, FAULTS_S);
    run_until_finished(world);
}

void run_incomplete_upgrade(struct sim *world, unsigned long seed) {
    sim_start_as_old_version(world);
    submit_jobs(world, seed);
    sim_submit_long(world, 5, 30, 10);
    sim_run(world, 20);
    for (int i = 0; i + 1 < world->n_nodes; i++) {
        sim_upgrade(world, i, 1);
        sim_run(world, 8);
    }
    sim_submit(world, world->now, "service", 2, 1, 0, world->now + 60);
    run_until_finished(world);
}

void run_large_fleet(struct sim *world, unsigned long seed) {
    remove_team_limit(world);
    for (int i = 0; i < 50; i++)
        sim_submit(world, 1 + i * 0.05, "sweep", 40, 8, 15 + (double)(seed % 4), 0);
    for (int i = 0; i < 6; i++)
        sim_submit(world, 40 + i, "ensemble", 8, 8, 10, 0);
    sim_submit(world, 30, "service", 12, 2, 0, 70);
    sim_run(world, 40);
    sim_crash(world, wait_for_leader(world), 5);
    sim_run(world, 20);
    world->nodes[wait_for_leader(world)].paused_until = world->now + 12;
    sim_run(world, 30);
    sim_end_faults(world);
    sim_run(world, 15);
}
