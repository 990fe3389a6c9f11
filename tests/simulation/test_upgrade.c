/* Days on which the nodes are replaced by a new version while they serve. */
#include "test.h"

#include <dlfcn.h>
#include "base/log.h"
#include "day.h"
#include "store/records.h"

#define DAY_S 150
#define REST_S 200

/* Every node is replaced, with faults all the while: nodes end before their turn and come back
 * old. The limits come down right after the last one is back, and then services come. */
static unsigned old_after_new, new_after_old; /* failovers */

/* Lets the world go on, and counts who leads after whom. */
static void run_counted(struct sim *sim, double seconds) {
    static int was_old = -1; /* -1 nobody, 0 new, 1 old */
    for (double end = sim->now + seconds; sim->now < end && !sim->violation[0];) {
        sim_run(sim, 0.1);
        int leader = sim_leader(sim);
        int now_old = leader < 0 ? -1 : sim->nodes[leader].is_old_version;
        old_after_new += was_old == 0 && now_old == 1;
        new_after_old += was_old == 1 && now_old == 0;
        was_old = now_old < 0 ? was_old : now_old;
    }
}

static void roll(unsigned long seed, int nodes, const struct sim_faults *faults) {
    struct sim *sim = sim_new(seed, faults, SIM_NO_BREAKAGE, nodes);
    sim_start_as_old_version(sim);
    day_submit_array_stream(sim, 0);
    sim_submit(sim, 10, "sweep", 30, 1, 25, 70);
    run_counted(sim, 25 + (double)(seed % 7));
    for (int i = 0; i < nodes; i++) {
        int node = (int)((unsigned long)i * (1 + seed % 2) + seed) % nodes;
        while (!sim->nodes[node].restarts_as_old)
            node = (node + 1) % nodes;
        sim_upgrade(sim, node, 0.2 + (double)(seed % 4));
        run_counted(sim, i + 1 < nodes ? 3 + (double)(seed % 11) : 4);
        day_expect_no_violation(sim, seed);
    }
    sim_lower_limits(sim);
    day_submit_services(sim, sim->now);
    day_submit_array_stream(sim, sim->now);
    sim_run(sim, DAY_S);
    sim_end_faults(sim);
    sim_run(sim, REST_S);
    sim_check_served(sim);
    day_expect_no_violation(sim, seed);
    if (!sim_all_terminal(sim) || sim->format_active_at <= 0)
        fail_msg("seed %lu: work left undone", seed);
    sim_free(sim);
}

static void rolls(void **state) {
    static const struct sim_faults faults = {.drop = 0.005,
                                             .delay = 0.005,
                                             .duplicate = 0.03,
                                             .late_duplicate = 0.02,
                                             .crash_s = 20,
                                             .fast_restart_s = 25,
                                             .store_outage_s = 90,
                                             .pause_s = 40,
                                             .machine_crash_s = 60,
                                             .node_pause_s = 60,
                                             .replica_exit_s = 30};
    (void)state;
    for (unsigned long seed = 1200; seed < 1212; seed++)
        roll(seed, 3, &faults);
    for (unsigned long seed = 1220; seed < 1226; seed++)
        roll(seed, 5, &faults);
    assert_true(old_after_new >= 5 && new_after_old >= 5);
}

/* Without faults the format is active within two seconds of the last node's return, and nothing
 * is lost: no lease ends, and after it a service is accepted and runs at once. */
static void quiet_roll(void **state) {
    struct sim *sim = day_new(43, 5);
    (void)state;
    sim_start_as_old_version(sim);
    day_submit_arrays(sim, 6, 1, 0, 40, 1, 60);
    sim_run(sim, 30);
    for (int i = 0; i < sim->n_nodes; i++) {
        sim_upgrade(sim, i, 3);
        assert_at_most(sim->format_active_at, 0);
        sim_run(sim, i + 1 < sim->n_nodes ? 8 : 3);
    }
    sim_run(sim, 2);
    assert_more_than(sim->format_active_at, 0);
    sim_run(sim, 1);
    sim_lower_limits(sim);
    int job = sim_submit(sim, sim->now, "service", 3, 1, 0, sim->now + 60);
    sim_run(sim, 1);
    assert_true(sim->jobs[job].accepted);
    /* Its team is at its limit, on spot machines: lower work makes way while a machine boots. */
    sim_run(sim, 24);
    for (uint32_t t = 0; t < 3; t++)
        assert_at_most(sim->jobs[job].down_since[t], 0);
    for (int i = 0; i < sim->size.n_workers; i++)
        assert_true(!sim->workers[i].used || sim->workers[i].incarnation <= 1);
    sim_run(sim, 250);
    day_expect_no_violation(sim, 43);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim->n_oversized_writes, 0);
    sim_free(sim);
}

/* While one node is away nothing is activated, and a service isn't accepted; the rest goes on. */
static void absent_node_counts_as_old(void **state) {
    struct sim *sim = day_new(44, 3);
    (void)state;
    sim_start_as_old_version(sim);
    sim_run(sim, 5);
    sim_upgrade(sim, 0, 1);
    sim_upgrade(sim, 1, 1);
    sim_crash(sim, 2, 120);
    int job = sim_submit(sim, 10, "service", 2, 1, 0, 200);
    int array = sim_submit(sim, 10, "sweep", 20, 1, 10, 0);
    sim_run(sim, 100);
    assert_true(sim->format_active_at <= 0 && !sim->jobs[job].accepted);
    assert_true(sim->jobs[array].reported_done);
    sim->nodes[2].restarts_as_old = sim->nodes[2].is_old_version = false; /* it comes back new */
    sim_run(sim, 40);
    assert_true(sim->format_active_at > 0 && sim->jobs[job].accepted);
    sim_run(sim, 100);
    day_expect_no_violation(sim, 44);
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* An operator may keep the way back open: one node that says nothing is enough. */
static void held_back_by_the_operators(void **state) {
    struct sim *sim = day_new(45, 3);
    (void)state;
    sim->nodes[1].restarts_as_old = true;
    sim_crash(sim, 1, 0.1);
    sim_run(sim, 30);
    int job = sim_submit(sim, sim->now, "sweep", 20, 1, 10, 0);
    sim_run(sim, 60);
    assert_true(sim->jobs[job].reported_done);
    assert_int_equal(sim_count_stored(sim, RP_KEY_ROOT "over/"), 1);
    assert_int_equal(rp_record_format(sim_find_record(sim, RP_KEY_ROOT "over/j-000000")), 1);
    day_expect_no_violation(sim, 45);
    sim_free(sim);
}

/* A node that comes back of this version once a later one's format is active keeps away. */
static void too_old_keeps_away(void **state) {
    struct sim *sim = day_new(55, 3);
    (void)state;
    sim_run(sim, 5);
    assert_at_least(sim_leader(sim), 0);
    sim_put_record(sim, RP_KEY_ACTIVATION, "{\"f\":3}");
    for (int i = 0; i < sim->n_nodes; i++)
        sim_crash(sim, i, 0.5);
    sim_run(sim, 20);
    assert_int_equal(sim_leader(sim), -1);
    for (int i = 0; i < sim->n_nodes; i++)
        assert_false(rp_node_is_healthy(sim->nodes[i].node));
    day_expect_no_violation(sim, 55);
    sim_free(sim);
}

/* The checks can fail. */
static void broken_rolls_are_caught(void **state) {
    (void)state;
    /* Somebody says of old nodes that they are new. */
    struct sim *sim = day_new(50, 3);
    sim_start_as_old_version(sim);
    for (int i = 0; i < 3; i++) {
        char key[RP_KEY_MAX];
        char name[8];
        snprintf(name, sizeof name, "n%d", i);
        rp_key(key, RP_KEY_ANNOUNCEMENT, name);
        sim_put_record(sim, key, "{\"f\":2}");
    }
    sim_run(sim, 5);
    sim_upgrade(sim, 0, 0.1);
    sim_upgrade(sim, 1, 0.1);
    sim_run(sim, 20);
    assert_true(strstr(sim->violation, "activated_early") != NULL);
    sim_free(sim);
    /* What is to come is less than the nodes were told. */
    sim = day_new(51, 3);
    sim->announced_limits.value_bytes = 100;
    day_submit_array_stream(sim, 5);
    sim_run(sim, 30);
    assert_true(strstr(sim->violation, "too_large") != NULL);
    sim_free(sim);
    sim = sim_new(52, &day_no_faults, SIM_REPLICAS_NEVER_START, 3);
    day_submit_services(sim, 3);
    sim_run(sim, 10);
    sim_end_faults(sim);
    sim_run(sim, 150);
    assert_true(strstr(sim->violation, "replica_down") != NULL);
    sim_free(sim);
}

/* Outside CI: nodes of the really built version in production (tests/mixed/run). */
static void load_old(const char *library) {
    void *handle = library ? dlopen(library, RTLD_NOW | RTLD_LOCAL) : NULL;
    if (library && !handle)
        fprintf(stderr, "%s\n", dlerror());
    sim_old_engine = handle ? dlsym(handle, SIM_ENGINE_SYMBOL) : NULL;
    if (library && !sim_old_engine)
        exit(2);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(rolls),
                                       cmocka_unit_test(quiet_roll),
                                       cmocka_unit_test(absent_node_counts_as_old),
                                       cmocka_unit_test(held_back_by_the_operators),
                                       cmocka_unit_test(too_old_keeps_away),
                                       cmocka_unit_test(broken_rolls_are_caught)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    load_old(getenv("RP_OLD_NODE"));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
