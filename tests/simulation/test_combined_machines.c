/* Machines that are unreachable, paused, lost or new, combined with changes of the leader, direct
 * commands and cancellations; and duplicates of old heartbeats. After each step rules.c checks the
 * safety rules of PROTOCOL, such as: no task runs on two machines, no task of a cancelled job runs
 * more than cancel_s after the confirmation, no job is forgotten. Every test fails if a rule is
 * violated or an accepted job does not end. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

/* The leader crashes while half of the machines, with long tasks on them, reach no node, receive no
 * responses from any node, or hang, for 5 to 45 s. The new leader must not start the tasks of these
 * machines elsewhere while the tasks may still run there. */
static void leader_crash_while_machines_are_silent_breaks_no_rule(void **state) {
    (void)state;
    for (unsigned long seed = 400; seed < 409; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        int n_silent = 0;
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 1, "sweep", 7, 1, 100, i % 2 ? 50 : 0);
        scenario_run(sim, 45);
        double until = sim->now + 5 + 5 * (double)(seed % 9);
        for (int i = 0; i < sim->size.n_workers; i++) {
            struct sim_worker *worker = &sim->workers[i];
            if (!worker->used || !worker->up || i % 2)
                continue;
            n_silent++;
            *(seed % 3 == 0   ? &worker->unreachable_until
              : seed % 3 == 1 ? &worker->one_way_partition_until
                              : &worker->paused_until) = until;
        }
        assert_at_least(n_silent, 2);
        scenario_crash_leader(sim, 3);
        scenario_run(sim, 70);
        scenario_end(sim);
    }
}

/* New machines are up within two seconds and receive work at once, while writes to the key-value
 * store are delayed, and the leader crashes before it has recorded the machines. */
static void leader_crash_before_new_machine_is_recorded_breaks_no_rule(void **state) {
    static const struct sim_faults faults = {
        .fast_boot = 1, .delayed_write = 0.2, .slow_store = 0.5};
    unsigned long n_delayed_writes = 0;
    (void)state;
    for (unsigned long seed = 410; seed < 418; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        scenario_submit_long_work(sim, 40);
        for (int i = 0; i < 6; i++) {
            scenario_run(sim, 4 + 0.37 * (double)(seed % 5));
            sim_submit(sim, sim->now, "sweep", 12, 2, 20, 0);
            scenario_run(sim, 0.5 + 0.4 * i);
            if (sim_leader(sim) >= 0)
                sim_crash(sim, sim_leader(sim), i % 2 ? 0.3 : 4);
            scenario_run(sim, 8);
        }
        n_delayed_writes += sim->n_delayed_writes;
        scenario_end(sim);
    }
    assert_at_least(n_delayed_writes, 60);
}

/* Machines reach no node with their heartbeats, while direct commands reach them: the leader starts
 * replicas of services on such machines by direct commands. No rule may be broken. */
static void direct_starts_on_unreachable_machines_break_no_rule(void **state) {
    static const struct sim_faults faults = {.unreachable_s = 8, .crash_s = 50};
    unsigned long n_direct_commands = 0;
    (void)state;
    for (unsigned long seed = 420; seed < 428; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        scenario_submit_long_work(sim, 30);
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 15 + i * 10, "service", 3, 1, 0, 45 + i * 10);
        scenario_run(sim, 120);
        n_direct_commands += sim->n_direct_to_unreachable;
        scenario_end(sim);
    }
    assert_at_least(n_direct_commands, 10);
}

/* A machine is paused, which delays a direct command to the machine, or the command's response,
 * until the machine resumes. Meanwhile the job is cancelled, or its replicas are started on other
 * machines. */
static void direct_commands_delayed_by_paused_machines_break_no_rule(void **state) {
    static const struct sim_faults faults = {.pause_s = 5};
    unsigned long n_direct_commands = 0;
    (void)state;
    for (unsigned long seed = 430; seed < 438; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        scenario_submit_long_work(sim, 30);
        for (int i = 0; i < 10; i++)
            sim_submit(sim, 12 + i * 8, "service", 3, 1, 0, 12.6 + i * 8 + i % 4 * 7);
        scenario_run(sim, 60);
        scenario_crash_leader(sim, 0.2);
        scenario_run(sim, 60);
        n_direct_commands += sim->n_direct_commands;
        scenario_end(sim);
    }
    assert_at_least(n_direct_commands, 100);
}

/* Users cancel running jobs whose machines hang at the same moment, for 4 to 32 s, which is shorter
 * or longer than a lease (14 s). With every second seed the leader crashes as well. All 40
 * cancellations must be confirmed. */
static void cancellations_on_paused_machines_are_confirmed(void **state) {
    int n_confirmed = 0;
    (void)state;
    for (unsigned long seed = 440; seed < 448; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        scenario_submit_arrays(sim, 8, 1, 0, 7, 1, 150);
        scenario_run(sim, 40);
        sim_cancel_running(sim, 5, 4 + 4 * (double)(seed % 8));
        if (seed % 2)
            scenario_crash_leader(sim, 3);
        scenario_run(sim, 60);
        for (int i = 0; i < 8; i++)
            n_confirmed += sim->jobs[i].reported_cancelled;
        scenario_end(sim);
    }
    assert_int_equal(n_confirmed, 40);
}

/* A team is at its CPU limit while its jobs are cancelled on machines that hang or reach no node,
 * and the leader changes. Waiting tasks must not start before it is certain that the cancelled
 * tasks have ended; otherwise the team would exceed its limit. */
static void full_team_stays_within_limit_at_failover(void **state) {
    (void)state;
    for (unsigned long seed = 450; seed < 458; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        scenario_submit_arrays(sim, 10, 1, 0.3, 10, 1, 60);
        scenario_run(sim, 40);
        assert_at_least(scenario_count_all_running_tasks(sim),
                        55); /* of the 60 that the limit allows */
        for (int i = 0; i < sim->size.n_workers; i++)
            if (sim->workers[i].used && sim->workers[i].up && i % 3 == 0)
                *(seed % 2 ? &sim->workers[i].paused_until : &sim->workers[i].unreachable_until) =
                    sim->now + 4 + 4 * (double)(seed % 8);
        sim_cancel_running(sim, 4, 0);
        scenario_crash_leader(sim, seed % 4 ? 0.2 : 3);
        scenario_run(sim, 60);
        scenario_end(sim);
    }
}

/* Each gang or array is bound to one zone. Meanwhile machines crash, and the cloud reclaims spot
 * machines, in most cases with a notice. All jobs must still end. */
static void zone_bound_jobs_end_despite_lost_machines(void **state) {
    static const struct sim_faults faults = {
        .machine_crash_s = 6, .spot_notice_s = 6, .crash_s = 60};
    (void)state;
    for (unsigned long seed = 460; seed < 466; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        for (int i = 0; i < 10; i++) {
            int job = i % 3 ? sim_submit(sim, 1 + i * 5, "sweep", 10, 1, 15, 0)
                            : sim_submit(sim, 1 + i * 5, "ensemble", 3, 4, 15, 0);
            sim_set_field(sim, job, "yard", json_string(i % 2 ? "a" : "b"));
        }
        scenario_run(sim, 90);
        scenario_end(sim);
    }
}

/* A network partition separates a zone, with its workers and one node (the leader or another one),
 * from the rest for 30 s, longer than the lease. Jobs are cancelled through the nodes outside, and
 * all these cancellations must be confirmed. */
static void jobs_are_cancelled_outside_partitioned_zone(void **state) {
    (void)state;
    for (unsigned long seed = 470; seed < 478; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        scenario_submit_arrays(sim, 8, 1, 0, 7, 1, 60);
        scenario_run(sim, 40);
        int node_inside = seed % 2 ? sim_leader(sim) : (sim_leader(sim) + 1) % sim->n_nodes;
        sim->partitioned_zone = 1 + (int)(seed / 2 % 2);
        sim->node_in_partition = node_inside + 1;
        sim->nodes[node_inside].partitioned_until = sim->now + 30;
        for (int i = 0; i < 4; i++)
            sim->jobs[i].cancel_at = sim->now + i;
        scenario_run(sim, 30);
        sim->partitioned_zone = sim->node_in_partition = 0;
        scenario_run(sim, 30);
        for (int i = 0; i < 4; i++)
            assert_true(sim->jobs[i].reported_cancelled);
        scenario_end(sim);
    }
}

/* Copies of heartbeats arrive after newer heartbeats, later than a lease, also from earlier
 * incarnations and attempts. Other copies are held until the next leader begins, and arrive at
 * every node just then. */
static void duplicates_of_old_heartbeats_break_no_rule(void **state) {
    static const struct sim_faults faults = {.late_duplicate = 0.1,
                                             .held_duplicate = 0.1,
                                             .pause_s = 25,
                                             .crash_s = 25,
                                             .fast_restart_s = 30};
    unsigned long n_held_duplicates_delivered = 0;
    unsigned long n_leaders = 0;
    (void)state;
    for (unsigned long seed = 500; seed < 510; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        scenario_submit_long_work(sim, 25);
        for (int i = 0; i < 6; i++)
            sim_submit(sim, 20 + i * 10, "sweep", 10, 2, 12, i % 3 ? 0 : 40 + i * 10);
        scenario_run(sim, 120);
        n_held_duplicates_delivered += sim->n_held_duplicates_delivered;
        n_leaders += sim->n_leaders;
        scenario_end(sim);
    }
    assert_true(n_held_duplicates_delivered >= 200 && n_leaders >= 30);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(leader_crash_while_machines_are_silent_breaks_no_rule),
        cmocka_unit_test(leader_crash_before_new_machine_is_recorded_breaks_no_rule),
        cmocka_unit_test(direct_starts_on_unreachable_machines_break_no_rule),
        cmocka_unit_test(direct_commands_delayed_by_paused_machines_break_no_rule),
        cmocka_unit_test(cancellations_on_paused_machines_are_confirmed),
        cmocka_unit_test(full_team_stays_within_limit_at_failover),
        cmocka_unit_test(zone_bound_jobs_end_despite_lost_machines),
        cmocka_unit_test(jobs_are_cancelled_outside_partitioned_zone),
        cmocka_unit_test(duplicates_of_old_heartbeats_break_no_rule)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
