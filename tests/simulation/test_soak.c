/* A soak: large jobs of small tasks, of every kind and some without amounts, beside ordinary work
 * under all faults. In CI it is short, with fixed seeds. A longer run is started by hand, with the
 * first seed and the number of seeds in the environment: RP_SOAK_SEED, RP_SOAK_SEEDS. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

#define FIRST_SEED 3000 /* unless RP_SOAK_SEED is set */
#define N_SEEDS 6       /* unless RP_SOAK_SEEDS is set */
#define FAULTS_S 100    /* simulated seconds with faults */
#define LONG_OUTAGES_SEED 3100
#define N_LONG_OUTAGES 4   /* unless RP_SOAK_SEEDS is set */
#define LONG_OUTAGES_S 200 /* simulated seconds with outages of the cloud of up to 125 s */

static const struct sim_faults all_faults = {.drop = 0.01,
                                             .delay = 0.01,
                                             .duplicate = 0.03,
                                             .late_duplicate = 0.02,
                                             .crash_s = 30,
                                             .store_outage_s = 90,
                                             .store_refusal_s = 60,
                                             .one_way_partition_s = 60,
                                             .fast_restart_s = 30,
                                             .pause_s = 40,
                                             .machine_crash_s = 60,
                                             .node_pause_s = 60,
                                             .spot_notice_s = 40,
                                             .replica_exit_s = 30,
                                             .task_error = 0.002};

static unsigned long number_from_environment(const char *name, unsigned long otherwise) {
    const char *text = getenv(name);
    return text ? strtoul(text, NULL, 10) : otherwise;
}

/* Submits a job of small tasks of the team without a limit. */
static void submit_small(struct sim *sim, double submit_at, const char *kind, unsigned n_tasks,
                         double amount, double run_s, double cancel_at) {
    int job = sim_submit(sim, submit_at, kind, n_tasks, amount, run_s, cancel_at);
    sim_set_field(sim, job, "memory_gb", json_real(amount));
    sim_set_field(sim, job, "crew", json_string("guests"));
}

static void submit_small_tasks(struct sim *sim, unsigned long seed) {
    scenario_submit_mixed_work(sim, seed);
    submit_small(sim, 4, "service", 700, 0.0005, 0, 180);
    submit_small(sim, 6, "sweep", 1000, 0.001, 8, 0);
    submit_small(sim, 8, "service", 300, 1e-9, 0, 60 + (double)(seed % 40));
    submit_small(sim, 9, "sweep", 900, 1e-9, 12, 40 + (double)(seed % 60));
    submit_small(sim, 12, "ensemble", 40, 0.0005, 10, 0);
    submit_small(sim, 30, "sweep", 500, 0.02, 6, 0);
}

static void expect_no_malformed_command(const struct sim *sim) {
    assert_int_equal(sim->n_malformed_commands, 0);
}

static void run_seeds(const struct sim_faults *faults, double faults_s, unsigned long first,
                      unsigned long n) {
    scenario_run_seeds(&(struct scenario_seeds){.faults = faults,
                                                .first = first,
                                                .n = n,
                                                .n_nodes = 3,
                                                .faults_s = faults_s,
                                                .prepare = submit_small_tasks,
                                                .check = expect_no_malformed_command});
}

static void large_jobs_of_small_tasks_under_all_faults_break_no_rule(void **state) {
    (void)state;
    run_seeds(&all_faults, FAULTS_S, number_from_environment("RP_SOAK_SEED", FIRST_SEED),
              number_from_environment("RP_SOAK_SEEDS", N_SEEDS));
}

/* Beside these faults the cloud is out for longer than a job may be without an answer, and the
 * responses to watches are slow, so that their changes, whose order is drawn, come together. */
static void run_long_outages(unsigned long first, unsigned long n) {
    struct sim_faults faults = all_faults;
    faults.cloud_outage_s = 60;
    faults.slow_watch = 0.3;
    run_seeds(&faults, LONG_OUTAGES_S, first, n);
}

static void long_cloud_outages_and_slow_watches_break_no_rule(void **state) {
    (void)state;
    run_long_outages(number_from_environment("RP_SOAK_SEED", LONG_OUTAGES_SEED),
                     number_from_environment("RP_SOAK_SEEDS", N_LONG_OUTAGES));
}

/* Seeds 20027 and 20151: leaders end one after the other, the store is out and one machine after
 * another is silent, each for less than 90 s; together they leave a job without a known state for
 * longer, and polls for jobs that have ended are answered. */
static void jobs_stay_known_while_leaders_and_machines_fail_in_turn(void **state) {
    (void)state;
    run_long_outages(20027, 1);
    run_long_outages(20151, 1);
}

/* Seed 5238: a direct command to which no connection was made, whose caller was paused at its
 * time-out, was executed all the same by the simulation, and a task ran twice. */
static void unsent_command_of_a_paused_leader_is_not_executed(void **state) {
    (void)state;
    run_seeds(&all_faults, FAULTS_S, 5238, 1);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_jobs_of_small_tasks_under_all_faults_break_no_rule),
        cmocka_unit_test(long_cloud_outages_and_slow_watches_break_no_rule),
        cmocka_unit_test(jobs_stay_known_while_leaders_and_machines_fail_in_turn),
        cmocka_unit_test(unsent_command_of_a_paused_leader_is_not_executed)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
