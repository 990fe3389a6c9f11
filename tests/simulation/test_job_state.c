/* What the nodes tell users about a job that has not ended: "pending" states that no task runs, and
 * "running" that one does (PROTOCOL, "GET /v1/jobs/{id}"). Users poll every node each second, and
 * rules.c checks each answer. Fault (review/6): nodes that could not reach the leader told the
 * state of half a minute ago. A node that does not know the state may refuse a poll, but only for a
 * while. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

#define SETTLED_S 32.0 /* the first jobs run by then */
#define RUN_S 60.0     /* run time of their tasks */
/* Least share of the polls that every node must answer while the key-value store works and a leader
 * leads. A user polls again after 5 s, and may not go without an answer for 75 s. */
#define ANSWERED_MIN 0.9
#define CLOSE_TO_ALL 0.99
/* Writes a second that the leader may spend on the records, of the 20 that the store accepts. */
#define RECORDS_PER_S 1

/* One job of each kind, which run for a minute, one that is cancelled, and one that ends. */
static struct sim *start_jobs(unsigned long seed, int n_nodes) {
    struct sim *sim = scenario_new(seed, n_nodes);
    sim->has_polls_at_all_nodes = true;
    sim_submit(sim, 1, "sweep", 12, 1, RUN_S, 0);
    sim_submit(sim, 1, "ensemble", 3, 4, RUN_S, 0);
    sim_submit(sim, 1, "service", 3, 1, 0, SETTLED_S + 100);
    sim_submit(sim, 1, "sweep", 6, 1, RUN_S, SETTLED_S + 15);
    sim_submit(sim, SETTLED_S + 4, "sweep", 4, 1, 5, 0);
    scenario_run(sim, SETTLED_S);
    return sim;
}

static void forget_polls(struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++)
        sim->n_polls_at[i] = sim->n_polls_answered_at[i] = 0;
}

/* Fails the test unless each node has answered that share of the polls since forget_polls. */
static void expect_answers(const struct sim *sim, double min_share) {
    for (int i = 0; i < sim->n_nodes; i++) {
        double n_polls = (double)sim->n_polls_at[i];
        double n_answered = (double)sim->n_polls_answered_at[i];
        if (n_polls < 10 || n_answered < min_share * n_polls)
            fail_msg("node %d answered %.0f of %.0f polls, expected %.0f %%", i, n_answered,
                     n_polls, 100 * min_share);
    }
}

static void end(struct sim *sim) {
    sim->peer_delay_s = 0;
    sim_end_faults(sim);
    scenario_run(sim, SCENARIO_COMPLETION_S);
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

static void every_node_answers_without_faults(void **state) {
    (void)state;
    struct sim *sim = start_jobs(81, 3);
    forget_polls(sim);
    scenario_run(sim, 30);
    expect_answers(sim, CLOSE_TO_ALL);
    assert_int_equal(scenario_leader(sim)->phase_report.n_published, 0);
    end(sim);
}

/* The nodes refuse one another's connections (review/6): those that follow have the leader's
 * records in the key-value store. */
static void nodes_answer_while_peers_refuse_connections(void **state) {
    (void)state;
    for (int n_nodes = 3; n_nodes <= 5; n_nodes += 2) {
        struct sim *sim = start_jobs(82, n_nodes);
        sim->peer_partition_until = sim->now + 40;
        forget_polls(sim);
        scenario_run(sim, 40);
        expect_answers(sim, ANSWERED_MIN);
        assert_at_most(scenario_leader(sim)->phase_report.n_published, 40 * RECORDS_PER_S);
        end(sim);
    }
}

/* Responses of the leader take a second, and later longer than a node waits for them. */
static void nodes_answer_while_leader_is_slow(void **state) {
    (void)state;
    struct sim *sim = start_jobs(83, 3);
    sim->peer_delay_s = 1;
    forget_polls(sim);
    scenario_run(sim, 15);
    sim->peer_delay_s = 4;
    scenario_run(sim, 15);
    expect_answers(sim, ANSWERED_MIN);
    end(sim);
}

/* The leader stands still for less than its lease, then ends while a machine with tasks is out of
 * reach. The next leader may not call jobs pending that may have tasks there. */
static void new_leader_states_nothing_about_unreported_tasks(void **state) {
    (void)state;
    struct sim *sim = start_jobs(84, 3);
    sim->nodes[sim_leader(sim)].paused_until = sim->now + 5;
    scenario_run(sim, 8);
    for (int i = 0; i < sim->size.n_workers; i++)
        if (sim->workers[i].used && sim->workers[i].n_tasks > 0)
            sim->workers[i].unreachable_until = sim->now + 10;
    scenario_crash_leader(sim, 3);
    scenario_run(sim, 18);
    forget_polls(sim);
    scenario_run(sim, 15);
    expect_answers(sim, ANSWERED_MIN);
    end(sim);
}

/* A node that has just started knows no state. It asks the leader, or reads the leader's records
 * if that refuses its connections. */
static void restarted_node_answers_at_once(void **state) {
    (void)state;
    for (int are_peers_refused = 0; are_peers_refused < 2; are_peers_refused++) {
        struct sim *sim = start_jobs(85, 3);
        sim->peer_partition_until = are_peers_refused ? sim->now + 40 : 0;
        scenario_run(sim, 5);
        sim_crash(sim, (sim_leader(sim) + 1) % 3, 0.2);
        scenario_run(sim, 1);
        forget_polls(sim);
        scenario_run(sim, 20);
        expect_answers(sim, ANSWERED_MIN);
        end(sim);
    }
}

/* Faults of all kinds at random: nodes, connections between them, machines, the key-value store. */
static void states_hold_at_every_node_under_random_faults(void **state) {
    static const struct sim_faults faults = {.peer_partition_s = 20,
                                             .crash_s = 35,
                                             .node_pause_s = 30,
                                             .partitioned_node_s = 60,
                                             .unreachable_s = 30,
                                             .pause_s = 40,
                                             .machine_crash_s = 40,
                                             .spot_notice_s = 40,
                                             .one_way_partition_s = 60,
                                             .store_refusal_s = 60,
                                             .slow_store = 0.05,
                                             .delayed_write = 0.02,
                                             .drop = 0.002,
                                             .late_duplicate = 0.02};
    (void)state;
    scenario_run_seeds(&(struct scenario_seeds){.faults = &faults,
                                                .first = 8600,
                                                .n = 16,
                                                .prepare = scenario_submit_for_polls_at_all_nodes});
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_node_answers_without_faults),
        cmocka_unit_test(nodes_answer_while_peers_refuse_connections),
        cmocka_unit_test(nodes_answer_while_leader_is_slow),
        cmocka_unit_test(new_leader_states_nothing_about_unreported_tasks),
        cmocka_unit_test(restarted_node_answers_at_once),
        cmocka_unit_test(states_hold_at_every_node_under_random_faults)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
