/* Days of random faults: one kind at a time, then all together. Whatever happens, the rules hold,
 * and afterwards all that was accepted comes to its end. */
#include "test.h"

#include "base/log.h"
#include "day.h"

#define DAY_S 150
#define REST_S 250

static void check_status_page(struct sim *sim) {
    struct day_answer answer = {
        .req = {.method = "GET", .target = "/status", .body = "", .respond = day_keep_answer}};
    rp_node_peer_request(sim->nodes[sim_leader(sim)].node, &answer.req);
    json_t *value = json_loads(answer.body, 0, NULL);
    assert_int_equal(answer.status, 200);
    assert_string_equal(json_string_value(json_object_get(value, "state")), "leading");
    assert_true(json_integer_value(json_object_get(value, "starts")) >= 100);
    assert_true(json_is_object(json_object_get(json_object_get(value, "latencies"), "submit_s")));
    json_decref(value);
}

static void quiet_day(void **state) {
    struct sim *sim = day_new(1, 3);
    (void)state;
    day_submit_mixed_work(sim, 1);
    sim_run(sim, DAY_S);
    sim_run(sim, REST_S);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    assert_at_least(sim->n_starts, 120);
    check_status_page(sim);
    sim_free(sim);
}

/* Days with one kind of fault, then all together; afterwards the world is left in peace, and all
 * that was accepted must come to its end. */
static void days_of_faults_on(int nodes, const struct sim_faults *faults, unsigned long first,
                              int days) {
    for (unsigned long seed = first; seed < first + (unsigned long)days; seed++) {
        struct sim *sim = sim_new(seed, faults, SIM_NO_BREAKAGE, nodes);
        day_submit_mixed_work(sim, seed);
        sim_run(sim, DAY_S);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        if (sim->violation[0])
            fail_msg("seed %lu: %s", seed, sim->violation);
        if (!sim_all_terminal(sim))
            fail_msg("seed %lu: work left undone", seed);
        sim_free(sim);
    }
}

static void days_of_faults(const struct sim_faults *faults, unsigned long first, int days) {
    days_of_faults_on(3, faults, first, days);
}

static void bad_network(void **state) {
    static const struct sim_faults faults = {.drop = 0.02, .delay = 0.02, .duplicate = 0.05};
    (void)state;
    days_of_faults(&faults, 100, 8);
}

static void crashes(void **state) {
    static const struct sim_faults faults = {.crash_s = 12, .duplicate = 0.02};
    (void)state;
    days_of_faults(&faults, 200, 8);
}

static void state_troubles(void **state) {
    static const struct sim_faults faults = {
        .store_outage_s = 40, .store_refusal_s = 25, .delay = 0.01};
    (void)state;
    days_of_faults(&faults, 300, 8);
}

static void machine_troubles(void **state) {
    static const struct sim_faults faults = {
        .pause_s = 15, .machine_crash_s = 20, .spot_notice_s = 10, .task_error = 0.02};
    (void)state;
    days_of_faults(&faults, 400, 8);
}

static void everything(void **state) {
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
    days_of_faults(&faults, 500, 24);
}

/* Machines whose heartbeats arrive while answers don't, with failovers among it. */
static void one_way_partitions(void **state) {
    static const struct sim_faults faults = {.one_way_partition_s = 12, .crash_s = 50};
    (void)state;
    days_of_faults(&faults, 600, 8);
}

/* Copies of heartbeats seconds to five leases late, across incarnations, leaders, and machines that
 * are gone. */
static void late_duplicates(void **state) {
    static const struct sim_faults faults = {.late_duplicate = 0.1,
                                             .pause_s = 20,
                                             .machine_crash_s = 30,
                                             .crash_s = 30,
                                             .spot_notice_s = 20};
    (void)state;
    days_of_faults(&faults, 620, 8);
}

/* Nodes that lose the key-value store and the other nodes, but not the workers. */
static void partitioned_nodes(void **state) {
    static const struct sim_faults faults = {
        .partitioned_node_s = 20, .duplicate = 0.02, .delay = 0.01};
    (void)state;
    days_of_faults(&faults, 640, 4);
    days_of_faults_on(5, &faults, 650, 4);
}

/* Processes and machines back within 50 to 500 ms, at any moment: between the write of a key and
 * its answer, during an election, during a failover; their old requests arrive late, and again. */
static void fast_restarts(void **state) {
    static const struct sim_faults faults = {
        .fast_restart_s = 4, .duplicate = 0.1, .delay = 0.03, .drop = 0.01, .late_duplicate = 0.05};
    (void)state;
    days_of_faults(&faults, 660, 6);
    days_of_faults_on(5, &faults, 670, 6);
}

static void everything_on_five(void **state) {
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
    days_of_faults_on(5, &faults, 700, 16);
}

/* The checks can fail: each broken world must be caught on some day. */
static void catches(enum sim_breakage breakage, const struct sim_faults *faults, const char *rule) {
    for (unsigned long seed = 900; seed < 930; seed++) {
        struct sim *sim = sim_new(seed, faults, breakage, 3);
        day_submit_mixed_work(sim, seed);
        sim_set_field(sim, sim_submit(sim, 5, "sweep", 4, 1, 5, 0), "yard", json_string("a"));
        sim_run(sim, DAY_S);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        bool caught = strstr(sim->violation, rule) != NULL;
        sim_free(sim);
        if (caught)
            return;
    }
    fail_msg("no %s in 30 days, world %d", rule, (int)breakage);
}

static void broken_worlds_are_caught(void **state) {
    static const struct sim_faults cut = {.pause_s = 6};
    static const struct sim_faults calm = {0};
    static const struct sim_faults late = {
        .drop = 0.05, .delay = 0.1, .duplicate = 0.1, .crash_s = 10};
    (void)state;
    catches(SIM_WORKERS_KEEP_TASKS, &cut, "ran_twice");
    catches(SIM_WORKERS_IGNORE_STOPS, &calm, "ran_cancelled");
    catches(SIM_STORE_IGNORES_CONDITIONS, &late, "went_back");
    static const struct sim_faults copies = {.late_duplicate = 0.2};
    static const struct sim_faults alone = {
        .partitioned_node_s = 8, .delay = 0.05, .duplicate = 0.05};
    catches(SIM_DUPLICATES_GET_NEW_INCARNATION, &copies, "ran_twice");
    catches(SIM_STORE_IGNORES_CONDITIONS, &alone, ": "); /* whichever rule is first */
    catches(SIM_POLLS_ARE_DROPPED, &calm, "forgotten");
    catches(SIM_LARGE_JOBS_NEVER_START, &calm, "not_started");
    static const struct sim_faults odd = {.invalid_request_s = 5};
    catches(SIM_INVALID_IS_ACCEPTED, &odd, "invented");
    catches(SIM_ANSWERS_ARE_STALE, &calm, "went_back");
    catches(SIM_UNKNOWN_IS_FOUND, &odd, "invented");
    catches(SIM_DONE_TOO_EARLY, &calm, "not_done");
    catches(SIM_GANG_ENDS_ARE_HIDDEN, &calm, "not_served");
    catches(SIM_LIMIT_IS_LOWER, &calm, "quota");
    catches(SIM_MACHINES_IN_WRONG_ZONE, &calm, "wrong_place");
    catches(SIM_STARTS_ARE_DROPPED, &calm, "left_waiting");
    catches(SIM_RENEWED_WITHOUT_STOPS, &calm, "kept_cancelled");
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(quiet_day),
                                       cmocka_unit_test(bad_network),
                                       cmocka_unit_test(crashes),
                                       cmocka_unit_test(state_troubles),
                                       cmocka_unit_test(machine_troubles),
                                       cmocka_unit_test(everything),
                                       cmocka_unit_test(one_way_partitions),
                                       cmocka_unit_test(late_duplicates),
                                       cmocka_unit_test(partitioned_nodes),
                                       cmocka_unit_test(fast_restarts),
                                       cmocka_unit_test(everything_on_five),
                                       cmocka_unit_test(broken_worlds_are_caught)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
