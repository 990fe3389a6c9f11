/* Changes of the leader in combination with cancellations, fast restarts and delayed writes. */
#include "test.h"

#include "base/log.h"
#include "day.h"

/* Jobs are cancelled in the very seconds in which the work of one node goes to another: by an end,
 * a restart within a split second, or leadership given up. */
static void cancelled_while_work_changes_hands(void **state) {
    int confirmed = 0;
    (void)state;
    for (unsigned long seed = 100; seed < 108; seed++) {
        struct sim *sim = day_new(seed, 3);
        day_submit_arrays(sim, 10, 1, 0, 6, 1, 120);
        day_run(sim, 40);
        uint64_t token = day_leader(sim)->election.fencing_token;
        for (int i = 0; i < 10; i++)
            sim->jobs[i].cancel_at = sim->now - 0.5 + 0.5 * i;
        if (seed % 3 == 0)
            day_crash_leader(sim, 3);
        else if (seed % 3 == 1)
            day_crash_leader(sim, 0.2);
        else
            rp_election_resign(&day_leader(sim)->election, 5);
        day_run(sim, 16);
        assert_more_than(day_leader(sim)->election.fencing_token, token);
        for (int i = 0; i < 10; i++)
            confirmed += sim->jobs[i].reported_cancelled;
        day_end(sim);
    }
    assert_at_least(confirmed, 70);
}

/* The first answers of a new leader came without stops, and renewed the leases of cancelled tasks:
 * a machine that hung right then ran them for one more lease. Here the old leader is refused by the
 * key-value store, an outage gives its key another 10 s, and its workers still hold their leases
 * when the new one begins, more than cancel_s - lease_s after the cancellations. */
static void first_answers_carry_stops(void **state) {
    int hung = 0;
    (void)state;
    for (unsigned long seed = 110; seed < 116; seed++) {
        struct sim *sim =
            sim_new_sized(seed, &day_no_faults, SIM_NO_BREAKAGE, 3, &day_large_limits);
        day_submit_arrays(sim, 5, 1, 0, 12, 1, 100);
        day_run(sim, 40);
        int leader = sim_leader(sim);
        sim->nodes[leader].store_refusal_until = sim->now + 60;
        for (int i = 0; i < 3; i++)
            sim->jobs[i].cancel_at = sim->now;
        day_run(sim, 2.5);
        assert_true(sim->jobs[0].reported_cancelled || sim->jobs[1].reported_cancelled);
        sim->store_outage_until = sim->now + 8;
        day_run(sim, 8);
        for (int i = 0; i < 1000 && (sim_leader(sim) < 0 || sim_leader(sim) == leader); i++)
            day_run(sim, 0.02);
        assert_true(sim_leader(sim) != leader);
        for (int i = 0; i < 150; i++) {
            day_run(sim, 0.02);
            for (int k = 0; k < sim->size.n_workers; k++) {
                struct sim_worker *worker = &sim->workers[k];
                /* It hangs as soon as it has taken the new leader's first answer. */
                if (worker->used && worker->up && worker->n_tasks > 0 &&
                    worker->paused_until <= 0 && worker->incarnation == 1 &&
                    worker->fencing_token == day_leader(sim)->election.fencing_token) {
                    worker->paused_until = sim->now + 21;
                    hung++;
                }
            }
        }
        day_run(sim, 40);
        day_end(sim);
    }
    assert_at_least(hung, 20);
}

/* A machine that is about to go back was answered without stops, while the cloud didn't answer. */
static void releasing_machine_gets_stops(void **state) {
    struct sim *sim = day_new(118, 3);
    (void)state;
    day_submit_arrays(sim, 5, 1, 0, 12, 1, 100);
    day_run(sim, 40);
    struct rp_node *node = day_leader(sim);
    int on_it = 0;
    sim->cloud_outage_until = sim->now + 60;
    for (struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        if (machine->state == RP_MACHINE_UP && machine->n_allocations > 0) {
            on_it += (int)machine->n_allocations;
            rp_fleet_scale_in(&node->fleet, machine, "to see what becomes of its tasks");
        }
    assert_at_least(on_it, 50);
    day_run(sim, 1);
    for (int i = 0; i < 5; i++)
        sim->jobs[i].cancel_at = sim->now;
    day_run(sim, 8);
    assert_int_equal(day_count_all_running_tasks(sim), 0);
    day_end(sim);
}

static void ten_leaders(void **state) {
    (void)state;
    for (unsigned long seed = 120; seed < 124; seed++) {
        struct sim *sim = day_new(seed, 3);
        unsigned changes = 0;
        day_submit_long_work(sim, 40);
        day_run(sim, 20);
        for (int i = 0; i < 12; i++) {
            sim->jobs[i % sim->n_jobs].cancel_at = i == 5 ? sim->now : 0;
            uint64_t token = sim_leader(sim) >= 0 ? day_leader(sim)->election.fencing_token : 0;
            if (sim_leader(sim) >= 0)
                sim_crash(sim, sim_leader(sim), i % 2 ? 0.1 : 3);
            if (i == 6)
                sim->store_outage_until = sim->now + 12;
            day_run(sim, 10);
            changes += sim_leader(sim) >= 0 && day_leader(sim)->election.fencing_token != token;
        }
        assert_at_least(changes, 10);
        day_end(sim);
    }
}

/* Nodes hand over and back, all end, and one returns, all within seconds. */
static void hand_over_and_back(void **state) {
    (void)state;
    for (unsigned long seed = 130; seed < 136; seed++) {
        struct sim *sim = day_new(seed, 3);
        day_submit_long_work(sim, 60);
        day_run(sim, 25);
        int first = sim_leader(sim);
        for (int turn = 0; turn < 4; turn++) {
            if (sim_leader(sim) >= 0)
                rp_election_resign(&day_leader(sim)->election, 1);
            day_run(sim, 0.3 + 0.7 * (turn % 2));
            sim->jobs[turn].cancel_at = turn == 1 ? sim->now : 0;
        }
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, i == first ? 0.05 + 0.1 * (double)(seed % 8) : 25);
        day_run(sim, 13);                         /* another's key takes its lease to go */
        assert_int_equal(sim_leader(sim), first); /* alone, and back within a second */
        day_run(sim, 30);
        day_end(sim);
    }
}

/* Every node is away for longer than the workers' lease. */
static void all_nodes_away(void **state) {
    (void)state;
    for (unsigned long seed = 140; seed < 144; seed++) {
        struct sim *sim = day_new(seed, 3);
        day_submit_long_work(sim, 60);
        day_run(sim, 25);
        sim->jobs[0].cancel_at = sim->now - 0.3;
        day_run(sim, 0.1);
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, sim->size.lease_s + 3 + i);
        day_run(sim, sim->size.lease_s + 2);
        assert_int_equal(day_count_all_running_tasks(sim), 0);
        day_end(sim);
    }
}

/* The tasks of a job end far apart, the leader changes in between, and writes come late: no result
 * is lost that a worker has forgotten. */
static void tasks_that_end_far_apart(void **state) {
    static const struct sim_faults faults = {.delayed_write = 0.3};
    unsigned long late = 0;
    (void)state;
    for (unsigned long seed = 150; seed < 158; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        for (int i = 0; i < 8; i++) {
            int j = sim_submit(sim, 1 + i, "sweep", 3, 1, 6, 0);
            sim->jobs[j].stagger_s = 25;
        }
        day_run(sim, 30);
        day_crash_leader(sim, 3);
        day_run(sim, 60);
        late += sim->n_delayed_writes;
        day_end(sim);
    }
    assert_at_least(late, 100);
}

/* A node loses the key-value store and the other nodes, not its workers and users, and jobs are
 * cancelled through the new leader. */
static void partitioned_leader_and_cancellations(void **state) {
    (void)state;
    for (unsigned long seed = 520; seed < 526; seed++) {
        struct sim *sim = sim_new_sized(seed, &day_no_faults, SIM_NO_BREAKAGE, seed % 2 ? 3 : 5,
                                        &day_large_limits);
        day_submit_arrays(sim, 8, 1, 0, 7, 1, 120);
        day_run(sim, 40);
        int leader = sim_leader(sim);
        sim->nodes[leader].partitioned_until = sim->now + 45;
        for (int i = 0; i < 6; i++)
            sim->jobs[i].cancel_at = sim->now + 3 * i;
        day_run(sim, 20);
        assert_true(sim_leader(sim) != leader);
        day_run(sim, 50);
        day_end(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(cancelled_while_work_changes_hands),
                                       cmocka_unit_test(first_answers_carry_stops),
                                       cmocka_unit_test(releasing_machine_gets_stops),
                                       cmocka_unit_test(ten_leaders),
                                       cmocka_unit_test(hand_over_and_back),
                                       cmocka_unit_test(all_nodes_away),
                                       cmocka_unit_test(tasks_that_end_far_apart),
                                       cmocka_unit_test(partitioned_leader_and_cancellations)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
