/* Changes of the leader combined with cancellations, fast restarts of nodes and delayed writes to
 * the key-value store. After each step rules.c checks the safety rules of PROTOCOL, such as: no
 * task runs on two machines, no task of a cancelled job runs more than cancel_s after the
 * confirmation, no job is forgotten. Every test fails if a rule is violated or an accepted job does
 * not end. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

/* Jobs are cancelled around a change of the leader, one every 0.5 s, the first one 0.5 s before the
 * change. The cause of the change is that the leader crashes (the process restarts after 3 s, or
 * after 0.2 s) or resigns. A cancelled job must not continue to run under the new leader. */
static void cancelled_jobs_stay_cancelled_across_leader_change(void **state) {
    int n_confirmed = 0;
    (void)state;
    for (unsigned long seed = 100; seed < 108; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        scenario_submit_arrays(sim, 10, 1, 0, 6, 1, 120);
        scenario_run(sim, 40);
        uint64_t token = scenario_leader(sim)->election.fencing_token;
        for (int i = 0; i < 10; i++)
            sim->jobs[i].cancel_at = sim->now - 0.5 + 0.5 * i;
        if (seed % 3 == 0)
            scenario_crash_leader(sim, 3);
        else if (seed % 3 == 1)
            scenario_crash_leader(sim, 0.2);
        else
            rp_election_resign(&scenario_leader(sim)->election, 5);
        scenario_run(sim, 16);
        assert_more_than(scenario_leader(sim)->election.fencing_token, token);
        for (int i = 0; i < 10; i++)
            n_confirmed += sim->jobs[i].reported_cancelled;
        scenario_end(sim);
    }
    assert_at_least(n_confirmed, 70);
}

/* Fault: the first responses of a new leader to heartbeats renewed the workers' leases, but did not
 * contain the commands that stop cancelled tasks. A machine that hung right after such a response
 * ran its cancelled tasks for one more lease. In this test the key-value store refuses the old
 * leader, and then an outage extends the validity of the leader's key by another 10 s. The workers
 * therefore still hold their leases when the new leader begins, more than cancel_s - lease_s after
 * the cancellations. Machines hang right after the new leader's first response; none may run a
 * cancelled task more than cancel_s after the confirmation. */
static void first_answers_of_new_leader_stop_cancelled_tasks(void **state) {
    int n_hung = 0;
    (void)state;
    for (unsigned long seed = 110; seed < 116; seed++) {
        struct sim *sim =
            sim_new_sized(seed, &scenario_no_faults, SIM_NO_BREAKAGE, 3, &scenario_large_limits);
        scenario_submit_arrays(sim, 5, 1, 0, 12, 1, 100);
        scenario_run(sim, 40);
        int leader = sim_leader(sim);
        sim->nodes[leader].store_refusal_until = sim->now + 60;
        for (int i = 0; i < 3; i++)
            sim->jobs[i].cancel_at = sim->now;
        scenario_run(sim, 2.5);
        assert_true(sim->jobs[0].reported_cancelled || sim->jobs[1].reported_cancelled);
        sim->store_outage_until = sim->now + 8;
        scenario_run(sim, 8);
        for (int i = 0; i < 1000 && (sim_leader(sim) < 0 || sim_leader(sim) == leader); i++)
            scenario_run(sim, 0.02);
        assert_true(sim_leader(sim) != leader);
        for (int i = 0; i < 150; i++) {
            scenario_run(sim, 0.02);
            for (int k = 0; k < sim->size.n_workers; k++) {
                struct sim_worker *worker = &sim->workers[k];
                /* The machine hangs as soon as it has accepted the new leader's first response. */
                if (worker->used && worker->up && worker->n_tasks > 0 &&
                    worker->paused_until <= 0 && worker->incarnation == 1 &&
                    worker->fencing_token == scenario_leader(sim)->election.fencing_token) {
                    worker->paused_until = sim->now + 21;
                    n_hung++;
                }
            }
        }
        scenario_run(sim, 40);
        scenario_end(sim);
    }
    assert_at_least(n_hung, 20);
}

/* Fault: while the cloud did not respond, the leader's responses to a machine that was being
 * released did not contain the commands that stop its cancelled tasks. These tasks must have
 * stopped 8 s after the cancellations. */
static void machine_being_released_receives_stops(void **state) {
    struct sim *sim = scenario_new(118, 3);
    (void)state;
    scenario_submit_arrays(sim, 5, 1, 0, 12, 1, 100);
    scenario_run(sim, 40);
    struct rp_node *node = scenario_leader(sim);
    int n_allocations = 0;
    sim->cloud_outage_until = sim->now + 60;
    for (struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        if (machine->state == RP_MACHINE_UP && machine->n_allocations > 0) {
            n_allocations += (int)machine->n_allocations;
            rp_fleet_scale_in(&node->fleet, machine, "for the test");
        }
    assert_at_least(n_allocations, 50);
    scenario_run(sim, 1);
    for (int i = 0; i < 5; i++)
        sim->jobs[i].cancel_at = sim->now;
    scenario_run(sim, 8);
    assert_int_equal(scenario_count_all_running_tasks(sim), 0);
    scenario_end(sim);
}

/* The leader crashes twelve times, once every 10 s, while jobs run; one job is cancelled, and the
 * seventh crash coincides with a 12 s outage of the key-value store. At least ten crashes must lead
 * to a new leader within 10 s, and every job must end. */
static void repeated_leader_crashes_lose_no_job(void **state) {
    (void)state;
    for (unsigned long seed = 120; seed < 124; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        unsigned n_leader_changes = 0;
        scenario_submit_long_work(sim, 40);
        scenario_run(sim, 20);
        for (int i = 0; i < 12; i++) {
            sim->jobs[i % sim->n_jobs].cancel_at = i == 5 ? sim->now : 0;
            uint64_t token =
                sim_leader(sim) >= 0 ? scenario_leader(sim)->election.fencing_token : 0;
            if (sim_leader(sim) >= 0)
                sim_crash(sim, sim_leader(sim), i % 2 ? 0.1 : 3);
            if (i == 6)
                sim->store_outage_until = sim->now + 12;
            scenario_run(sim, 10);
            n_leader_changes +=
                sim_leader(sim) >= 0 && scenario_leader(sim)->election.fencing_token != token;
        }
        assert_at_least(n_leader_changes, 10);
        scenario_end(sim);
    }
}

/* Within seconds the leader resigns up to four times and all nodes crash. Only the node that led
 * first restarts within a second, and it must lead again, alone. */
static void only_node_restarted_leads_after_resignations(void **state) {
    (void)state;
    for (unsigned long seed = 130; seed < 136; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        scenario_submit_long_work(sim, 60);
        scenario_run(sim, 25);
        int first_leader = sim_leader(sim);
        for (int turn = 0; turn < 4; turn++) {
            if (sim_leader(sim) >= 0)
                rp_election_resign(&scenario_leader(sim)->election, 1);
            scenario_run(sim, 0.3 + 0.7 * (turn % 2));
            sim->jobs[turn].cancel_at = turn == 1 ? sim->now : 0;
        }
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, i == first_leader ? 0.05 + 0.1 * (double)(seed % 8) : 25);
        /* The key of another node is deleted only when its lease expires. */
        scenario_run(sim, 13);
        /* Only the first leader runs again: it has restarted within a second. */
        assert_int_equal(sim_leader(sim), first_leader);
        scenario_run(sim, 30);
        scenario_end(sim);
    }
}

/* Every node is down for longer than the workers' lease. 2 s after the end of that lease no task
 * may still run. */
static void tasks_end_while_all_nodes_are_down_beyond_lease(void **state) {
    (void)state;
    for (unsigned long seed = 140; seed < 144; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        scenario_submit_long_work(sim, 60);
        scenario_run(sim, 25);
        sim->jobs[0].cancel_at = sim->now - 0.3;
        scenario_run(sim, 0.1);
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, sim->size.lease_s + 3 + i);
        scenario_run(sim, sim->size.lease_s + 2);
        assert_int_equal(scenario_count_all_running_tasks(sim), 0);
        scenario_end(sim);
    }
}

/* The tasks of each job end 25 s apart, the leader changes in between, and 30 % of the transactions
 * are carried out late. A result that its worker has already forgotten must not be lost. */
static void results_survive_leader_change_with_delayed_writes(void **state) {
    static const struct sim_faults faults = {.delayed_write = 0.3};
    unsigned long n_delayed_writes = 0;
    (void)state;
    for (unsigned long seed = 150; seed < 158; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        for (int i = 0; i < 8; i++) {
            int array = sim_submit(sim, 1 + i, "sweep", 3, 1, 6, 0);
            sim->jobs[array].stagger_s = 25;
        }
        scenario_run(sim, 30);
        scenario_crash_leader(sim, 3);
        scenario_run(sim, 60);
        n_delayed_writes += sim->n_delayed_writes;
        scenario_end(sim);
    }
    assert_at_least(n_delayed_writes, 100);
}

/* The leader loses the key-value store and the other nodes, but not its workers and users. Another
 * node becomes the leader, and jobs are cancelled through it. No cancelled task may run for longer
 * than cancel_s after the confirmation, not even on a worker whose heartbeats still reach the old
 * leader. */
static void cancellations_hold_while_old_leader_is_partitioned(void **state) {
    (void)state;
    for (unsigned long seed = 520; seed < 526; seed++) {
        struct sim *sim = sim_new_sized(seed, &scenario_no_faults, SIM_NO_BREAKAGE,
                                        seed % 2 ? 3 : 5, &scenario_large_limits);
        scenario_submit_arrays(sim, 8, 1, 0, 7, 1, 120);
        scenario_run(sim, 40);
        int leader = sim_leader(sim);
        sim->nodes[leader].partitioned_until = sim->now + 45;
        for (int i = 0; i < 6; i++)
            sim->jobs[i].cancel_at = sim->now + 3 * i;
        scenario_run(sim, 20);
        assert_true(sim_leader(sim) != leader);
        scenario_run(sim, 50);
        scenario_end(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(cancelled_jobs_stay_cancelled_across_leader_change),
        cmocka_unit_test(first_answers_of_new_leader_stop_cancelled_tasks),
        cmocka_unit_test(machine_being_released_receives_stops),
        cmocka_unit_test(repeated_leader_crashes_lose_no_job),
        cmocka_unit_test(only_node_restarted_leads_after_resignations),
        cmocka_unit_test(tasks_end_while_all_nodes_are_down_beyond_lease),
        cmocka_unit_test(results_survive_leader_change_with_delayed_writes),
        cmocka_unit_test(cancellations_hold_while_old_leader_is_partitioned)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
