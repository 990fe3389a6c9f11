/* Machines out of reach, paused, lost or new, in combination with changes of the leader, direct
 * commands and cancellations; old heartbeats. */
#include "test.h"

#include "base/log.h"
#include "day.h"

/* The leader ends while machines with long tasks reach no node, hang, or don't hear the new one. */
static void leader_ends_machines_out_of_reach(void **state) {
    (void)state;
    for (unsigned long seed = 400; seed < 409; seed++) {
        struct sim *sim = day_new(seed, 3);
        int out = 0;
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 1, "sweep", 7, 1, 100, i % 2 ? 50 : 0);
        day_run(sim, 45);
        double until = sim->now + 5 + 5 * (double)(seed % 9);
        for (int i = 0; i < sim->size.n_workers; i++) {
            struct sim_worker *worker = &sim->workers[i];
            if (!worker->used || !worker->up || i % 2)
                continue;
            out++;
            *(seed % 3 == 0   ? &worker->unreachable_until
              : seed % 3 == 1 ? &worker->one_way_partition_until
                              : &worker->paused_until) = until;
        }
        assert_at_least(out, 2);
        day_crash_leader(sim, 3);
        day_run(sim, 70);
        day_end(sim);
    }
}

/* New machines are up within two seconds and get work at once while writes lag, and the leader ends
 * before it has recorded them. */
static void fast_machines_slow_writes(void **state) {
    static const struct sim_faults faults = {
        .fast_boot = 1, .delayed_write = 0.2, .slow_store = 0.5};
    unsigned long late = 0;
    (void)state;
    for (unsigned long seed = 410; seed < 418; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        day_submit_long_work(sim, 40);
        for (int i = 0; i < 6; i++) {
            day_run(sim, 4 + 0.37 * (double)(seed % 5));
            sim_submit(sim, sim->now, "sweep", 12, 2, 20, 0);
            day_run(sim, 0.5 + 0.4 * i);
            if (sim_leader(sim) >= 0)
                sim_crash(sim, sim_leader(sim), i % 2 ? 0.3 : 4);
            day_run(sim, 8);
        }
        late += sim->n_delayed_writes;
        day_end(sim);
    }
    assert_at_least(late, 60);
}

/* Machines that reach no node while direct commands reach them, under services' direct starts. */
static void unreachable_machines(void **state) {
    static const struct sim_faults faults = {.unreachable_s = 8, .crash_s = 50};
    unsigned long reached = 0;
    (void)state;
    for (unsigned long seed = 420; seed < 428; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        day_submit_long_work(sim, 30);
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 15 + i * 10, "service", 3, 1, 0, 45 + i * 10);
        day_run(sim, 120);
        reached += sim->n_direct_to_unreachable;
        day_end(sim);
    }
    assert_at_least(reached, 10);
}

/* A command, or its answer, is held up with the machine, which then goes on; the job is cancelled
 * meanwhile, or its user's replicas are wanted elsewhere. */
static void held_up_commands(void **state) {
    static const struct sim_faults faults = {.pause_s = 5};
    unsigned long direct = 0;
    (void)state;
    for (unsigned long seed = 430; seed < 438; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        day_submit_long_work(sim, 30);
        for (int i = 0; i < 10; i++)
            sim_submit(sim, 12 + i * 8, "service", 3, 1, 0, 12.6 + i * 8 + i % 4 * 7);
        day_run(sim, 60);
        day_crash_leader(sim, 0.2);
        day_run(sim, 60);
        direct += sim->n_direct_commands;
        day_end(sim);
    }
    assert_at_least(direct, 100);
}

/* Users call off jobs that run, their machines hang at the same moment, for less than a lease and
 * for longer; the leader changes or doesn't. */
static void cancelled_on_hung_machines(void **state) {
    int confirmed = 0;
    (void)state;
    for (unsigned long seed = 440; seed < 448; seed++) {
        struct sim *sim = day_new(seed, 3);
        day_submit_arrays(sim, 8, 1, 0, 7, 1, 150);
        day_run(sim, 40);
        sim_cancel_running(sim, 5, 4 + 4 * (double)(seed % 8));
        if (seed % 2)
            day_crash_leader(sim, 3);
        day_run(sim, 60);
        for (int i = 0; i < 8; i++)
            confirmed += sim->jobs[i].reported_cancelled;
        day_end(sim);
    }
    assert_int_equal(confirmed, 40);
}

/* Every team is at its limit while jobs are cancelled on machines that are cut off or hang, and the
 * leader changes: what waits may not start before the cancelled tasks are known to be gone. */
static void full_team_at_failover(void **state) {
    (void)state;
    for (unsigned long seed = 450; seed < 458; seed++) {
        struct sim *sim = day_new(seed, 3);
        day_submit_arrays(sim, 10, 1, 0.3, 10, 1, 60);
        day_run(sim, 40);
        assert_at_least(day_count_all_running_tasks(sim), 55); /* of 60 */
        for (int i = 0; i < sim->size.n_workers; i++)
            if (sim->workers[i].used && sim->workers[i].up && i % 3 == 0)
                *(seed % 2 ? &sim->workers[i].paused_until : &sim->workers[i].unreachable_until) =
                    sim->now + 4 + 4 * (double)(seed % 8);
        sim_cancel_running(sim, 4, 0);
        day_crash_leader(sim, seed % 4 ? 0.2 : 3);
        day_run(sim, 60);
        day_end(sim);
    }
}

/* Jobs that may run in one zone only lose machines, arrays too. */
static void zone_bound_jobs_lose_machines(void **state) {
    static const struct sim_faults faults = {
        .machine_crash_s = 6, .spot_notice_s = 6, .crash_s = 60};
    (void)state;
    for (unsigned long seed = 460; seed < 466; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        for (int i = 0; i < 10; i++) {
            int j = i % 3 ? sim_submit(sim, 1 + i * 5, "sweep", 10, 1, 15, 0)
                          : sim_submit(sim, 1 + i * 5, "ensemble", 3, 4, 15, 0);
            sim_set_field(sim, j, "yard", json_string(i % 2 ? "a" : "b"));
        }
        day_run(sim, 90);
        day_end(sim);
    }
}

/* A zone with its workers and a node, the leader or another, is cut off for longer than the lease;
 * jobs are cancelled outside. */
static void cut_zone_with_its_node(void **state) {
    (void)state;
    for (unsigned long seed = 470; seed < 478; seed++) {
        struct sim *sim = day_new(seed, 3);
        day_submit_arrays(sim, 8, 1, 0, 7, 1, 60);
        day_run(sim, 40);
        int inside = seed % 2 ? sim_leader(sim) : (sim_leader(sim) + 1) % sim->n_nodes;
        sim->partitioned_zone = 1 + (int)(seed / 2 % 2);
        sim->node_in_partition = inside + 1;
        sim->nodes[inside].partitioned_until = sim->now + 30;
        for (int i = 0; i < 4; i++)
            sim->jobs[i].cancel_at = sim->now + i;
        day_run(sim, 30);
        sim->partitioned_zone = sim->node_in_partition = 0;
        day_run(sim, 30);
        for (int i = 0; i < 4; i++)
            assert_true(sim->jobs[i].reported_cancelled);
        day_end(sim);
    }
}

/* Copies come after newer ones, from earlier incarnations and attempts too, beyond a lease; others
 * are kept until the next leader acts, and come to every node just then. */
static void old_heartbeats(void **state) {
    static const struct sim_faults faults = {.late_duplicate = 0.1,
                                             .held_duplicate = 0.1,
                                             .pause_s = 25,
                                             .crash_s = 25,
                                             .fast_restart_s = 30};
    unsigned long kept = 0;
    unsigned long leaders = 0;
    (void)state;
    for (unsigned long seed = 500; seed < 510; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        day_submit_long_work(sim, 25);
        for (int i = 0; i < 6; i++)
            sim_submit(sim, 20 + i * 10, "sweep", 10, 2, 12, i % 3 ? 0 : 40 + i * 10);
        day_run(sim, 120);
        kept += sim->n_held_duplicates_delivered;
        leaders += sim->n_leaders;
        day_end(sim);
    }
    assert_true(kept >= 200 && leaders >= 30);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(leader_ends_machines_out_of_reach),
                                       cmocka_unit_test(fast_machines_slow_writes),
                                       cmocka_unit_test(unreachable_machines),
                                       cmocka_unit_test(held_up_commands),
                                       cmocka_unit_test(cancelled_on_hung_machines),
                                       cmocka_unit_test(full_team_at_failover),
                                       cmocka_unit_test(zone_bound_jobs_lose_machines),
                                       cmocka_unit_test(cut_zone_with_its_node),
                                       cmocka_unit_test(old_heartbeats)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
