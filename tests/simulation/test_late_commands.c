/* Copies of direct commands that were executed and answered reach their machines once more, from
 * milliseconds to minutes later: the task may have ended, may have been cancelled, forgotten or
 * moved to another machine since. Fault (of another service): after `forget` a worker no longer
 * knows an attempt, so that a late copy of its start command starts it again (PROTOCOL, `run`).
 * Here a worker is not told to forget an attempt that a direct command started before the term
 * ends, whose fencing token the copy carries. Answers to heartbeats cannot be late (PROTOCOL,
 * "Delayed messages"). */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

#define FAULTS_S 170.0
#define COPY_MAX_S 150.0 /* latest copy */
#define N_SEEDS 10
#define SEED 8900

/* Services whose replicas end, move and are cancelled, and arrays, which are started directly after
 * a failover to a standby. */
static void submit_work(struct sim *sim) {
    scenario_remove_team_limit(sim);
    for (int i = 0; i < 24; i++)
        sim_submit(sim, 2 + i * 6, "service", 2 + (unsigned)(i % 3), 1, 0, 30 + i * 6);
    scenario_submit_array_stream(sim, 0);
    for (int i = 0; i < 12; i++)
        sim_submit(sim, 8 + i * 12, "sweep", 6, 1, 9, i % 3 ? 0 : 14 + i * 12);
}

/* Runs seeds with copies of every second direct command, none of which may start a task; returns
 * how many of them workers executed. */
static unsigned long run_with_copies(const struct sim_faults *faults, unsigned long first_seed,
                                     bool are_restarted_workers_new) {
    unsigned long n_copies = 0;
    for (unsigned long seed = first_seed; seed < first_seed + N_SEEDS; seed++) {
        struct sim *sim = sim_new(seed, faults, SIM_NO_BREAKAGE, seed % 2 ? 3 : 5);
        sim->faults.command_copy = 0.5;
        sim->faults.command_copy_max_s = COPY_MAX_S;
        sim->are_restarted_workers_new = are_restarted_workers_new;
        submit_work(sim);
        sim_run(sim, FAULTS_S);
        sim_end_faults(sim);
        sim_run(sim, SCENARIO_COMPLETION_S);
        sim_check_served(sim);
        scenario_expect_no_violation(sim, seed);
        assert_true(sim_all_terminal(sim));
        if (sim->n_copied_starts > 0)
            fail_msg("seed %lu: copies of answered commands started %lu tasks", seed,
                     sim->n_copied_starts);
        n_copies += sim->n_command_copies;
        sim_free(sim);
    }
    return n_copies;
}

static void copies_of_answered_commands_start_nothing(void **state) {
    static const struct sim_faults faults = {.replica_exit_s = 8, .spot_notice_s = 40};
    (void)state;
    assert_at_least(run_with_copies(&faults, SEED, false), 200);
}

/* Leaders and workers are back within half a second; a leader that is only paused goes on in its
 * term. Some machines hang or cannot be reached. */
static void copies_start_nothing_beside_fast_restarts(void **state) {
    static const struct sim_faults faults = {.replica_exit_s = 8,
                                             .fast_restart_s = 10,
                                             .node_pause_s = 40,
                                             .pause_s = 30,
                                             .unreachable_s = 30,
                                             .crash_s = 60,
                                             .task_error = 0.01};
    (void)state;
    assert_at_least(run_with_copies(&faults, SEED + N_SEEDS, false), 100);
}

/* The same with workers that begin anew within their lease, with session 1 and no token: they
 * accept any copy of a command to their first session. PROTOCOL does not say whether workers do
 * that. */
static void copies_start_nothing_on_workers_that_begin_anew(void **state) {
    static const struct sim_faults faults = {.replica_exit_s = 8, .fast_restart_s = 6};
    (void)state;
    assert_at_least(run_with_copies(&faults, SEED + 2 * N_SEEDS, true), 100);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(copies_of_answered_commands_start_nothing),
        cmocka_unit_test(copies_start_nothing_beside_fast_restarts),
        cmocka_unit_test(copies_start_nothing_on_workers_that_begin_anew)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
