/* Whole nodes in a small world, the rules checked after each step (sim.h). */
#include "test.h"

#include "log.h"
#include "sim.h"

#define DAY_S 150
#define REST_S 250

static void submit_some(struct sim *s, unsigned long seed) {
    sim_submit(s, 1, "sweep", 20, 1, 8, 0);
    sim_submit(s, 2, "sweep", 40, 1, 15, 0);
    sim_submit(s, 3, "ensemble", 3, 8, 12, 0);
    sim_submit(s, 10, "sweep", 30, 2, 10, 20 + (double)(seed % 17));
    sim_submit(s, 20, "ensemble", 2, 20, 20, 0);
    sim_submit(s, 30, "sweep", 1, 1, 3, 0);
    sim_submit(s, 45, "ensemble", 4, 4, 25, 60 + (double)(seed % 13));
    sim_submit(s, 60, "sweep", 40, 1, 6, 0);
    sim_submit(s, 80, "sweep", 12, 3, 20, 0);
    sim_submit(s, 15, "sweep", 2, 1, 200, 40); /* ends by its cancellation only */
}

struct kept_answer {
    struct rp_request req;
    int status;
    char body[8192];
};

static void keep_answer(struct rp_request *req, int status, const char *body, int retry_after) {
    struct kept_answer *a = (struct kept_answer *)(void *)req;
    (void)retry_after;
    a->status = status;
    snprintf(a->body, sizeof a->body, "%s", body);
}

static void check_status_page(struct sim *s) {
    struct kept_answer a = {
        .req = {.method = "GET", .target = "/status", .body = "", .respond = keep_answer}};
    rp_node_peer_request(s->nodes[sim_leader(s)].node, &a.req);
    json_t *v = json_loads(a.body, 0, NULL);
    assert_int_equal(a.status, 200);
    assert_string_equal(json_string_value(json_object_get(v, "state")), "leading");
    assert_true(json_integer_value(json_object_get(v, "starts")) >= 100);
    assert_true(json_is_object(json_object_get(json_object_get(v, "latencies"), "submit_s")));
    json_decref(v);
}

static void quiet_day(void **state) {
    static const struct sim_faults none = {0};
    struct sim *s = sim_new(1, &none, SIM_SOUND);
    (void)state;
    submit_some(s, 1);
    sim_run(s, DAY_S);
    sim_run(s, REST_S);
    assert_string_equal(s->broken, "");
    assert_true(sim_all_over(s));
    assert_true(s->n_starts >= 120);
    check_status_page(s);
    sim_free(s);
}

/* A node that alone gets no answer from the state service leaves the load balancer, and comes back;
 * in an outage, when all of them get none, all stay. */
static void deaf_node_steps_aside(void **state) {
    static const struct sim_faults none = {0};
    struct sim *s = sim_new(5, &none, SIM_SOUND);
    (void)state;
    sim_run(s, 5);
    s->nodes[1].deaf_until = s->now + 8;
    sim_run(s, 4);
    assert_true(rp_node_healthy(s->nodes[0].node));
    assert_false(rp_node_healthy(s->nodes[1].node));
    sim_run(s, 8);
    assert_true(rp_node_healthy(s->nodes[1].node));
    s->outage_until = s->now + 10;
    sim_run(s, 6);
    for (int i = 0; i < SIM_NODES; i++)
        assert_true(rp_node_healthy(s->nodes[i].node));
    sim_free(s);
}

/* Incident c8a9: a leader that reached the state service but no worker kept the key for 50 s, and
 * returned every machine. */
static void isolated_leader_gives_way(void **state) {
    static const struct sim_faults none = {0};
    struct sim *s = sim_new(6, &none, SIM_SOUND);
    (void)state;
    for (int i = 0; i < 6; i++)
        sim_submit(s, 1, "sweep", 30, 1, 60, 0);
    sim_run(s, 60);
    int leader = sim_leader(s);
    unsigned long returned = s->nodes[leader].node->fleet.n_returned;
    assert_true(s->nodes[leader].node->picture.n_machines >= 4);
    s->cut_from_workers = leader + 1;
    sim_run(s, 11);
    assert_true(sim_leader(s) >= 0 && sim_leader(s) != leader);
    assert_int_equal(s->nodes[sim_leader(s)].node->fleet.n_returned, 0);
    assert_true(s->nodes[leader].node->fleet.n_returned <= returned + 1);
    assert_string_equal(s->broken, "");
    sim_free(s);
}

/* Days with one kind of trouble, then all together; afterwards the world is left in peace, and all
 * that was accepted must come to its end. */
static void days_of_trouble(const struct sim_faults *faults, unsigned long first, int days) {
    for (unsigned long seed = first; seed < first + (unsigned long)days; seed++) {
        struct sim *s = sim_new(seed, faults, SIM_SOUND);
        submit_some(s, seed);
        sim_run(s, DAY_S);
        s->faults = (struct sim_faults){0};
        sim_run(s, REST_S);
        if (s->broken[0])
            fail_msg("seed %lu: %s", seed, s->broken);
        if (!sim_all_over(s))
            fail_msg("seed %lu: work left undone", seed);
        sim_free(s);
    }
}

static void bad_network(void **state) {
    static const struct sim_faults f = {.lose = 0.02, .late = 0.02, .repeat = 0.05};
    (void)state;
    days_of_trouble(&f, 100, 8);
}

static void crashes(void **state) {
    static const struct sim_faults f = {.crash_s = 12, .repeat = 0.02};
    (void)state;
    days_of_trouble(&f, 200, 8);
}

static void state_troubles(void **state) {
    static const struct sim_faults f = {.outage_s = 40, .deaf_s = 25, .late = 0.01};
    (void)state;
    days_of_trouble(&f, 300, 8);
}

static void machine_troubles(void **state) {
    static const struct sim_faults f = {
        .hang_s = 15, .death_s = 20, .take_s = 10, .task_error = 0.02};
    (void)state;
    days_of_trouble(&f, 400, 8);
}

static void everything(void **state) {
    static const struct sim_faults f = {.lose = 0.01,
                                        .late = 0.01,
                                        .repeat = 0.03,
                                        .crash_s = 25,
                                        .outage_s = 80,
                                        .deaf_s = 60,
                                        .hang_s = 25,
                                        .death_s = 40,
                                        .stall_s = 30,
                                        .task_error = 0.01};
    (void)state;
    days_of_trouble(&f, 500, 24);
}

/* The checks can fail: each broken world must be caught on some day. */
static void catches(enum sim_breakage breakage, const struct sim_faults *faults, const char *rule) {
    for (unsigned long seed = 900; seed < 930; seed++) {
        struct sim *s = sim_new(seed, faults, breakage);
        submit_some(s, seed);
        sim_run(s, DAY_S);
        bool caught = strstr(s->broken, rule) != NULL;
        sim_free(s);
        if (caught)
            return;
    }
    fail_msg("no %s in 30 days", rule);
}

static void broken_worlds_are_caught(void **state) {
    static const struct sim_faults cut = {.hang_s = 6};
    static const struct sim_faults calm = {0};
    static const struct sim_faults late = {.lose = 0.05, .late = 0.1, .repeat = 0.1, .crash_s = 10};
    (void)state;
    catches(SIM_WORKERS_KEEP_TASKS, &cut, "ran_twice");
    catches(SIM_WORKERS_IGNORE_STOPS, &calm, "ran_cancelled");
    catches(SIM_STATE_IGNORES_CONDITIONS, &late, "went_back");
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(quiet_day),
                                       cmocka_unit_test(deaf_node_steps_aside),
                                       cmocka_unit_test(isolated_leader_gives_way),
                                       cmocka_unit_test(bad_network),
                                       cmocka_unit_test(crashes),
                                       cmocka_unit_test(state_troubles),
                                       cmocka_unit_test(machine_troubles),
                                       cmocka_unit_test(everything),
                                       cmocka_unit_test(broken_worlds_are_caught)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    return cmocka_run_group_tests(tests, NULL, NULL);
}
