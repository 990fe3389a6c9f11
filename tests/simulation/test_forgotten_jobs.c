/* Accepted jobs stay known to their users at the size of production: half as many machines again as
 * the largest deployment, reports 4 s apart, five nodes with its limits. Users poll every node each
 * second. The rule forgotten (rules.c) judges every response other than the job's state. */
#include "test.h"

#include <string.h>
#include "base/log.h"
#include "scenario.h"

#define N_NODES 5
#define FETCH_S 115.0  /* a large image over links that are a third slower than usual */
#define SETTLED_S 30.0 /* machines for the first jobs are up by then */
#define JUDGED_S 78.0  /* longer than a job may be without an answer */
#define LONG_RUN_S 300.0

/* Machines, capacity of each kind, report, lease and cancellation in seconds, requests and changes
 * of the store and requests of the cloud per second. */
static const struct sim_size production_size = {1290, 161, 4, 22, 47, 800, 80, 10};

static struct sim *new_production(unsigned long seed) {
    struct sim *sim =
        sim_new_sized(seed, &scenario_no_faults, SIM_NO_BREAKAGE, N_NODES, &production_size);
    scenario_remove_team_limit(sim);
    return sim;
}

/* Submits a job whose tasks fill a small machine each. */
static int submit_wide_job(struct sim *sim, double submit_at, const char *kind, unsigned n_tasks,
                           double fetch_s) {
    int job = sim_submit(sim, submit_at, kind, n_tasks, 8, LONG_RUN_S, 0);
    sim->jobs[job].fetch_s = fetch_s;
    return job;
}

/* Fault (review/12): a job is pending only by reports of all its machines that are at most 2.8 s
 * old. With reports 4 s apart, one of many machines always had an older one: no node answered while
 * a job of many machines fetched its image. */
static void wide_jobs_are_answered_while_images_are_fetched(void **state) {
    (void)state;
    struct sim *sim = new_production(8801);
    scenario_submit_arrays(sim, 40, 1, 0.1, 40, 1, LONG_RUN_S);
    submit_wide_job(sim, 2, "sweep", 36, FETCH_S);
    submit_wide_job(sim, 2, "sweep", 120, FETCH_S);
    submit_wide_job(sim, 2, "sweep", 400, FETCH_S);
    submit_wide_job(sim, 2, "ensemble", 16, FETCH_S);
    scenario_run(sim, SETTLED_S);
    sim->has_polls_at_all_nodes = true;
    sim_end_faults(sim);
    scenario_run(sim, JUDGED_S);
    sim_free(sim);
}

/* The same with sizes drawn from the seed: the fleets of the deployments and half as many machines
 * again, three or five nodes, reports 3 or 4 s apart, and jobs of 6 to 200 machines. A leader ends
 * while the images are fetched. */
static void wide_jobs_are_answered_on_fleets_of_many_sizes(void **state) {
    static const struct sim_size sizes[] = {{857, 107, 4, 22, 47, 800, 80, 10},
                                            {734, 92, 3, 17.5, 47.5, 300, 50, 8},
                                            {1286, 161, 4, 22, 47, 800, 80, 10},
                                            {1101, 138, 4, 17.5, 47.5, 300, 50, 8}};
    (void)state;
    for (unsigned long seed = 8810; seed < 8814; seed++) {
        struct sim *sim = sim_new_sized(seed, &scenario_no_faults, SIM_NO_BREAKAGE,
                                        seed % 2 ? 3 : 5, &sizes[seed % 4]);
        scenario_remove_team_limit(sim);
        scenario_submit_arrays(sim, 20, 1, 0.1, 40, 1, LONG_RUN_S);
        for (int i = 0; i < 8; i++)
            submit_wide_job(sim, 2 + i, i % 3 ? "sweep" : "ensemble",
                            6 + (unsigned)gsl_rng_uniform_int(sim->rng, i % 3 ? 194 : 20),
                            FETCH_S + i);
        sim_run(sim, SETTLED_S);
        scenario_crash_leader(sim, 3);
        sim_run(sim, 10);
        sim_end_faults(sim);
        sim->has_polls_at_all_nodes = true;
        sim_run(sim, JUDGED_S);
        scenario_expect_no_violation(sim, seed);
        sim_free(sim);
    }
}

/* The same with 4,000 machines, of which one job holds every fourth. */
static void wide_job_is_answered_on_4000_machines(void **state) {
    static const struct sim_size users_fleet = {4200, 500, 4, 22, 47, 2400, 240, 30};
    (void)state;
    struct sim *sim =
        sim_new_sized(8805, &scenario_no_faults, SIM_NO_BREAKAGE, N_NODES, &users_fleet);
    scenario_remove_team_limit(sim);
    scenario_submit_arrays(sim, 200, 1, 0.02, 40, 4, LONG_RUN_S);
    submit_wide_job(sim, 2, "sweep", 1000, FETCH_S);
    scenario_run(sim, SETTLED_S);
    sim_end_faults(sim);
    scenario_run(sim, JUDGED_S);
    sim_free(sim);
}

/* A quarter of the machines is out of reach from SETTLED_S on, and every leader ends after
 * TERM_S. */
#define SILENT_S 140.0
#define TERM_S 14.0
#define N_LEADERS 8

/* Fault (review/11): each leader reckoned a whole lease anew for the machines that it did not hear.
 * With leaders in series, a waiting job that may have had a task there was neither started nor
 * answered. */
static void waiting_jobs_are_answered_while_leaders_end_in_series(void **state) {
    (void)state;
    struct sim *sim = new_production(8803);
    scenario_submit_arrays(sim, 100, 1, 0.1, 40, 1, LONG_RUN_S);
    scenario_run(sim, SETTLED_S);
    for (int i = 0; i < sim->size.n_workers; i += 4)
        sim->workers[i].unreachable_until = sim->workers[i].one_way_partition_until =
            sim->now + SILENT_S;
    scenario_run(sim, production_size.lease_s);
    for (int i = 0; i < N_LEADERS; i++) {
        scenario_crash_leader(sim, 3);
        scenario_run(sim, TERM_S);
    }
    sim_free(sim);
}

/* Runs a simulation in which responses about the first job are dropped; the rule must find that. */
static void expect_forgotten(enum sim_breakage breakage, bool do_faults_end, const char *detail) {
    struct sim *sim = sim_new(8804, &scenario_no_faults, breakage, 3);
    sim->has_polls_at_all_nodes = true;
    scenario_submit_arrays(sim, 4, 1, 0.1, 4, 1, LONG_RUN_S);
    sim_run(sim, 2);
    if (do_faults_end)
        sim_end_faults(sim);
    sim_run(sim, 100);
    if (!strstr(sim->violation, "forgotten: j-000000") || !strstr(sim->violation, detail))
        fail_msg("expected the first job to be forgotten, %s: %s", detail, sim->violation);
    sim_free(sim);
}

static void dropped_responses_break_the_rule(void **state) {
    (void)state;
    expect_forgotten(SIM_POLLS_ARE_DROPPED, false, "state for 90 s");
    expect_forgotten(SIM_POLLS_ARE_DROPPED, true, "state for 75 s");
    expect_forgotten(SIM_POLLS_AT_NODE_ARE_DROPPED, true, "state by n1 for 75 s");
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(wide_jobs_are_answered_while_images_are_fetched),
        cmocka_unit_test(wide_jobs_are_answered_on_fleets_of_many_sizes),
        cmocka_unit_test(wide_job_is_answered_on_4000_machines),
        cmocka_unit_test(waiting_jobs_are_answered_while_leaders_end_in_series),
        cmocka_unit_test(dropped_responses_break_the_rule)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
