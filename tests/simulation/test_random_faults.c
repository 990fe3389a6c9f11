/* Simulated scenarios with random faults: one kind at a time, then all together. After each step
 * rules.c checks the safety rules of PROTOCOL, such as: no task runs on two machines, no task of a
 * cancelled job runs more than cancel_s after the confirmation, no job is forgotten. Every test but
 * broken_simulations_are_caught fails if a rule is violated or an accepted job does not end after
 * the faults. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

#define FAULTS_S 150     /* simulated seconds with faults */
#define COMPLETION_S 250 /* simulated seconds after the faults, within which all jobs must end */

static void check_status_page(struct sim *sim) {
    struct scenario_answer answer = {
        .req = {.method = "GET", .target = "/status", .body = "", .respond = scenario_keep_answer}};
    rp_node_peer_request(sim->nodes[sim_leader(sim)].node, &answer.req);
    json_t *status = json_loads(answer.body, 0, NULL);
    assert_int_equal(answer.status, 200);
    assert_string_equal(json_string_value(json_object_get(status, "state")), "leading");
    assert_true(json_integer_value(json_object_get(status, "starts")) >= 100);
    assert_true(json_is_object(json_object_get(json_object_get(status, "latencies"), "submit_s")));
    json_decref(status);
}

static void scenario_without_faults_ends_all_jobs(void **state) {
    struct sim *sim = scenario_new(1, 3);
    (void)state;
    scenario_submit_mixed_work(sim, 1);
    sim_run(sim, FAULTS_S);
    sim_run(sim, COMPLETION_S);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    assert_at_least(sim->n_starts, 120);
    check_status_page(sim);
    sim_free(sim);
}

/* Runs one scenario with the faults for each of `n_seeds` seeds. */
static void run_fault_scenarios_on(int n_nodes, const struct sim_faults *faults,
                                   unsigned long first_seed, unsigned long n_seeds) {
    scenario_run_seeds(&(struct scenario_seeds){.faults = faults,
                                                .first = first_seed,
                                                .n = n_seeds,
                                                .n_nodes = n_nodes,
                                                .prepare = scenario_submit_mixed_work});
}

static void run_fault_scenarios(const struct sim_faults *faults, unsigned long first_seed,
                                unsigned long n_seeds) {
    run_fault_scenarios_on(3, faults, first_seed, n_seeds);
}

static void lossy_network_breaks_no_rule(void **state) {
    static const struct sim_faults faults = {.drop = 0.02, .delay = 0.02, .duplicate = 0.05};
    (void)state;
    run_fault_scenarios(&faults, 100, 8);
}

static void node_crashes_break_no_rule(void **state) {
    static const struct sim_faults faults = {.crash_s = 12, .duplicate = 0.02};
    (void)state;
    run_fault_scenarios(&faults, 200, 8);
}

static void store_outages_and_refusals_break_no_rule(void **state) {
    static const struct sim_faults faults = {
        .store_outage_s = 40, .store_refusal_s = 25, .delay = 0.01};
    (void)state;
    run_fault_scenarios(&faults, 300, 8);
}

static void machine_faults_break_no_rule(void **state) {
    static const struct sim_faults faults = {
        .pause_s = 15, .machine_crash_s = 20, .spot_notice_s = 10, .task_error = 0.02};
    (void)state;
    run_fault_scenarios(&faults, 400, 8);
}

static void all_faults_on_three_nodes_break_no_rule(void **state) {
    static const struct sim_faults faults = {.drop = 0.01,
                                             .delay = 0.01,
                                             .duplicate = 0.03,
                                             .crash_s = 25,
                                             .store_outage_s = 80,
                                             .store_refusal_s = 60,
                                             .pause_s = 25,
                                             .machine_crash_s = 40,
                                             .node_pause_s = 30,
                                             .task_error = 0.01};
    (void)state;
    run_fault_scenarios(&faults, 500, 24);
}

/* The heartbeats of some machines arrive, but the responses to these heartbeats do not, and the
 * leader changes meanwhile. No rule may be broken. */
static void one_way_partitions_break_no_rule(void **state) {
    static const struct sim_faults faults = {.one_way_partition_s = 12, .crash_s = 50};
    (void)state;
    run_fault_scenarios(&faults, 600, 8);
}

/* Copies of heartbeats arrive seconds to five leases late: after the machine has begun another
 * incarnation, after the leader has changed, or after the machine was terminated. */
static void late_duplicates_of_heartbeats_break_no_rule(void **state) {
    static const struct sim_faults faults = {.late_duplicate = 0.1,
                                             .pause_s = 20,
                                             .machine_crash_s = 30,
                                             .crash_s = 30,
                                             .spot_notice_s = 20};
    (void)state;
    run_fault_scenarios(&faults, 620, 8);
}

/* Nodes lose their connections to the key-value store and the other nodes, but not to the workers.
 * No rule may be broken. */
static void partitioned_nodes_break_no_rule(void **state) {
    static const struct sim_faults faults = {
        .partitioned_node_s = 20, .duplicate = 0.02, .delay = 0.01};
    (void)state;
    run_fault_scenarios(&faults, 640, 4);
    run_fault_scenarios_on(5, &faults, 650, 4);
}

/* Processes and machines restart within 50 to 500 ms at any moment: between the write of a key and
 * its response, during an election, or during a failover. Requests that they sent before the
 * restart arrive late and repeatedly. */
static void fast_restarts_break_no_rule(void **state) {
    static const struct sim_faults faults = {
        .fast_restart_s = 4, .duplicate = 0.1, .delay = 0.03, .drop = 0.01, .late_duplicate = 0.05};
    (void)state;
    run_fault_scenarios(&faults, 660, 6);
    run_fault_scenarios_on(5, &faults, 670, 6);
}

static void all_faults_on_five_nodes_break_no_rule(void **state) {
    static const struct sim_faults faults = {.drop = 0.01,
                                             .delay = 0.01,
                                             .duplicate = 0.03,
                                             .late_duplicate = 0.03,
                                             .crash_s = 30,
                                             .store_outage_s = 90,
                                             .store_refusal_s = 60,
                                             .partitioned_node_s = 50,
                                             .one_way_partition_s = 40,
                                             .fast_restart_s = 20,
                                             .pause_s = 30,
                                             .machine_crash_s = 50,
                                             .node_pause_s = 40,
                                             .spot_notice_s = 30,
                                             .task_error = 0.01};
    (void)state;
    run_fault_scenarios_on(5, &faults, 700, 16);
}

/* Shows that a check of the rules can fail: with this breakage of the simulation, a violation of
 * the rule must be found with one of 30 seeds. */
static void assert_violation_is_found(enum sim_breakage breakage, const struct sim_faults *faults,
                                      const char *rule) {
    for (unsigned long seed = 900; seed < 930; seed++) {
        struct sim *sim = sim_new(seed, faults, breakage, 3);
        scenario_submit_mixed_work(sim, seed);
        sim_set_field(sim, sim_submit(sim, 5, "sweep", 4, 1, 5, 0), "yard", json_string("a"));
        sim_run(sim, FAULTS_S);
        sim_end_faults(sim);
        sim_run(sim, COMPLETION_S);
        sim_check_served(sim);
        bool caught = strstr(sim->violation, rule) != NULL;
        sim_free(sim);
        if (caught)
            return;
    }
    fail_msg("expected a violation of %s with one of 30 seeds, breakage %d", rule, (int)breakage);
}

static void broken_simulations_are_caught(void **state) {
    static const struct sim_faults pauses = {.pause_s = 6};
    static const struct sim_faults no_faults = {0};
    static const struct sim_faults lossy_network = {
        .drop = 0.05, .delay = 0.1, .duplicate = 0.1, .crash_s = 10};
    (void)state;
    assert_violation_is_found(SIM_WORKERS_KEEP_TASKS, &pauses, "ran_twice");
    assert_violation_is_found(SIM_WORKERS_IGNORE_STOPS, &no_faults, "ran_cancelled");
    assert_violation_is_found(SIM_STORE_IGNORES_CONDITIONS, &lossy_network, "went_back");
    static const struct sim_faults duplicates = {.late_duplicate = 0.2};
    static const struct sim_faults partitions = {
        .partitioned_node_s = 8, .delay = 0.05, .duplicate = 0.05};
    assert_violation_is_found(SIM_DUPLICATES_GET_NEW_INCARNATION, &duplicates, "ran_twice");
    /* The text ": " accepts whichever rule is violated first. */
    assert_violation_is_found(SIM_STORE_IGNORES_CONDITIONS, &partitions, ": ");
    assert_violation_is_found(SIM_POLLS_ARE_DROPPED, &no_faults, "forgotten");
    assert_violation_is_found(SIM_LARGE_JOBS_NEVER_START, &no_faults, "not_started");
    static const struct sim_faults invalid_requests = {.invalid_request_s = 5};
    assert_violation_is_found(SIM_INVALID_IS_ACCEPTED, &invalid_requests, "invented");
    assert_violation_is_found(SIM_ANSWERS_ARE_STALE, &no_faults, "went_back");
    assert_violation_is_found(SIM_UNKNOWN_IS_FOUND, &invalid_requests, "invented");
    assert_violation_is_found(SIM_DONE_TOO_EARLY, &no_faults, "not_done");
    assert_violation_is_found(SIM_GANG_ENDS_ARE_HIDDEN, &no_faults, "not_served");
    assert_violation_is_found(SIM_LIMIT_IS_LOWER, &no_faults, "quota");
    assert_violation_is_found(SIM_MACHINES_IN_WRONG_ZONE, &no_faults, "wrong_place");
    assert_violation_is_found(SIM_STARTS_ARE_DROPPED, &no_faults, "left_waiting");
    assert_violation_is_found(SIM_RENEWED_WITHOUT_STOPS, &no_faults, "kept_cancelled");
    assert_violation_is_found(SIM_RUNNING_IS_PENDING, &no_faults, "state");
    assert_violation_is_found(SIM_PENDING_IS_RUNNING, &no_faults, "state");
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(scenario_without_faults_ends_all_jobs),
        cmocka_unit_test(lossy_network_breaks_no_rule),
        cmocka_unit_test(node_crashes_break_no_rule),
        cmocka_unit_test(store_outages_and_refusals_break_no_rule),
        cmocka_unit_test(machine_faults_break_no_rule),
        cmocka_unit_test(all_faults_on_three_nodes_break_no_rule),
        cmocka_unit_test(one_way_partitions_break_no_rule),
        cmocka_unit_test(late_duplicates_of_heartbeats_break_no_rule),
        cmocka_unit_test(partitioned_nodes_break_no_rule),
        cmocka_unit_test(fast_restarts_break_no_rule),
        cmocka_unit_test(all_faults_on_five_nodes_break_no_rule),
        cmocka_unit_test(broken_simulations_are_caught)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
