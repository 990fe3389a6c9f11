/* Takeovers by a standby, in the simulated world. The rules are checked after each step
 * (rules.c); each test shows besides that its fault came about. */
#include "test.h"

#include "base/log.h"
#include "day.h"

#define TAKEOVER_MOST_S                                                                            \
    5.0 /* from a leader's end to the first start under the next one's token                       \
         */

/* A world in the middle of work of every kind, with more of it coming every second. */
static struct sim *busy_world(unsigned long seed, int n_nodes) {
    struct sim *sim = day_new(seed, n_nodes);
    sim_submit(sim, 1, "sweep", 30, 1, 25, 0);
    sim_submit(sim, 1, "sweep", 40, 1, 8, 0);
    sim_submit(sim, 2, "ensemble", 3, 4, 20, 0);
    sim_submit(sim, 3, "ensemble", 2, 6, 12, 0);
    for (int i = 0; i < 60; i++)
        sim_submit(sim, 10 + i, "sweep", 3, 1, 2, i % 5 == 4 ? 12 + i : 0);
    day_run(sim, 30 + (double)(seed % 7));
    assert_at_least(sim_leader(sim), 0);
    return sim;
}

static uint64_t token_of(const struct sim *sim) {
    return sim->nodes[sim_leader(sim)].node->election.fencing_token;
}

static unsigned long takeovers(const struct sim *sim) {
    unsigned long n = 0;
    for (int i = 0; i < sim->n_nodes; i++)
        if (sim->nodes[i].alive)
            n += sim->nodes[i].node->standby.n_failovers;
    return n;
}

static double until_started(struct sim *sim, uint64_t token, double most_s) {
    double since = sim->now;
    while (sim->started_token <= token && sim->now < since + most_s)
        day_run(sim, 0.1);
    return sim->started_token > token ? sim->started_at - since : most_s;
}

static void killed_leader_is_replaced(void **state) {
    (void)state;
    for (unsigned long seed = 1; seed <= 12; seed++) {
        struct sim *sim = busy_world(seed, seed % 2 ? 3 : 5);
        uint64_t token = token_of(sim);
        sim_crash(sim, sim_leader(sim), 20);
        double took_s = until_started(sim, token, 20);
        if (took_s > TAKEOVER_MOST_S)
            fail_msg("seed %lu: first start after %.2f s", seed, took_s);
        assert_at_least(takeovers(sim), 1);
        day_end(sim);
    }
}

/* Without the setting nothing of this happens. */
static void disabled_means_none(void **state) {
    (void)state;
    sim_standby = false;
    struct sim *sim = busy_world(1, 3);
    uint64_t token = token_of(sim);
    sim_crash(sim, sim_leader(sim), 20);
    assert_more_than(until_started(sim, token, 20), 7);
    assert_int_equal(takeovers(sim), 0);
    assert_null(sim_find_record(sim, RP_KEY_FENCE));
    day_end(sim);
}

static void short_stalls_cost_no_term(void **state) {
    (void)state;
    for (unsigned long seed = 20; seed < 24; seed++) {
        struct sim *sim = busy_world(seed, 3);
        uint64_t token = token_of(sim);
        for (int i = 0; i < 4; i++) {
            sim->nodes[sim_leader(sim)].paused_until = sim->now + 2;
            day_run(sim, 12.0 + 0.3 * i);
        }
        assert_int_equal(token_of(sim), token);
        unsigned long withdrawn = 0;
        for (int i = 0; i < sim->n_nodes; i++)
            withdrawn += sim->nodes[i].node->standby.n_withdrawn;
        assert_at_least(withdrawn, 4); /* it was suspected, each time */
        day_end(sim);
    }
}

/* The old leader goes on where it was, in the middle of sending starts, after 1, 5 and 30 s. */
static void paused_leader_is_harmless(void **state) {
    static const double pauses[] = {1, 5, 30};
    (void)state;
    for (unsigned long seed = 30; seed < 36; seed++) {
        struct sim *sim = busy_world(seed, 3);
        double pause_s = pauses[seed % 3];
        int leader = sim_leader(sim);
        uint64_t token = token_of(sim);
        for (int i = 0; i < 10; i++)
            sim_submit(sim, sim->now + 0.1, "sweep", 12, 1, 3, 0);
        day_run(sim, 0.3 + 0.07 * (double)(seed % 5));
        sim->nodes[leader].paused_until = sim->now + pause_s;
        day_run(sim, 4.5);
        assert_true(pause_s > 2 ? takeovers(sim) == 1 : token_of(sim) == token);
        day_run(sim, pause_s);
        assert_true(pause_s < 2 || sim->nodes[leader].node->state == RP_NODE_FOLLOWING);
        day_end(sim);
    }
}

/* A leader that keeps its workers, and loses the key-value store and the others, while jobs are
 * cancelled through the next one. */
static void partitioned_leader_is_fenced(void **state) {
    (void)state;
    for (unsigned long seed = 40; seed < 46; seed++) {
        struct sim *sim = busy_world(seed, seed % 2 ? 3 : 5);
        int leader = sim_leader(sim);
        sim->nodes[leader].partitioned_until = sim->now + 15 + 5 * (double)(seed % 4);
        day_run(sim, 2);
        for (int i = 0; i < 30; i += 3)
            sim->jobs[i].cancel_at = sim->now + 0.2 * i;
        day_run(sim, 10);
        assert_true(takeovers(sim) >= 1 && sim_leader(sim) >= 0);
        day_end(sim);
    }
}

/* Nodes that hear nobody are rather cut off themselves: nobody is deposed for it. */
static void peer_partition_keeps_the_leader(void **state) {
    (void)state;
    struct sim *sim = busy_world(50, 3);
    uint64_t token = token_of(sim);
    sim->peer_partition_until = sim->now + 25;
    day_run(sim, 27);
    assert_int_equal(token_of(sim), token);
    assert_int_equal(takeovers(sim), 0);
    day_end(sim);
}

/* Without the key-value store nobody else leads, and the leader goes on for as long as its lease
 * allows; here the others miss it, too. */
static void outage_lets_nobody_take_over(void **state) {
    (void)state;
    struct sim *sim = busy_world(51, 3);
    uint64_t token = token_of(sim);
    int leader = sim_leader(sim);
    sim->store_outage_until = sim->now + 7;
    sim->nodes[leader].paused_until = sim->now + 4.5;
    day_run(sim, 6.5);
    assert_int_equal(takeovers(sim), 0);
    assert_int_equal(sim->nodes[leader].node->election.fencing_token, token);
    assert_true(rp_election_is_valid(&sim->nodes[leader].node->election,
                                     rp_loop_now(&sim->nodes[leader].loop)));
    day_end(sim);
}

/* All who follow claim at the same instant, from a leader that is well. */
static void claims_at_once_leave_one_leader(void **state) {
    (void)state;
    for (unsigned long seed = 60; seed < 64; seed++) {
        struct sim *sim = busy_world(seed, 5);
        int leader = sim_leader(sim);
        int claims = 0;
        int holders = 0;
        for (int i = 0; i < sim->n_nodes; i++)
            claims += i != leader && rp_election_fence_leader(&sim->nodes[i].node->election);
        assert_at_least(claims, 2);
        day_run(sim, 3);
        for (int i = 0; i < sim->n_nodes; i++)
            holders += sim->nodes[i].node->election.state == RP_ELECTION_HOLDING_KEY;
        assert_int_equal(holders, 1);
        assert_true(sim_leader(sim) != leader);
        day_end(sim);
    }
}

/* The standby's process ends at each stage of its claim while the leader only stands still; nobody
 * may lead beside the leader when it goes on. */
static void standby_ends_while_claiming(void **state) {
    static const enum rp_election_state stages[] = {
        RP_ELECTION_OVERWRITING_KEY, RP_ELECTION_REVOKING_LEASE, RP_ELECTION_ACQUIRING_LEASE,
        RP_ELECTION_CLAIMING_KEY};
    (void)state;
    for (unsigned long seed = 70; seed < 78; seed++) {
        struct sim *sim = busy_world(seed, 3);
        enum rp_election_state stage = stages[seed % 4];
        int leader = sim_leader(sim);
        int ended = -1;
        sim->nodes[leader].paused_until = sim->now + 4 + (double)(seed % 3) * 3;
        for (int i = 0; i < 400 && ended < 0; i++) {
            day_run(sim, 0.02);
            for (int k = 0; k < sim->n_nodes; k++)
                if (sim->nodes[k].alive && sim->nodes[k].node->election.state == stage)
                    ended = k;
        }
        assert_at_least(ended, 0);
        sim_crash(sim, ended, seed < 74 ? 0.1 : 30);
        day_run(sim, 20);
        assert_at_least(sim_leader(sim), 0);
        day_end(sim);
    }
}

static void leader_and_standby_end_together(void **state) {
    (void)state;
    for (unsigned long seed = 80; seed < 84; seed++) {
        struct sim *sim = busy_world(seed, 5);
        uint64_t token = token_of(sim);
        int leader = sim_leader(sim);
        sim_crash(sim, leader, 20);
        sim_crash(sim, leader ? 0 : 1, 20); /* the first in rank */
        assert_at_most(until_started(sim, token, 20), TAKEOVER_MOST_S);
        day_end(sim);
    }
}

static void submit_for_guests(struct sim *sim, double submit_at, unsigned tasks, double run_s) {
    sim_set_field(sim, sim_submit(sim, submit_at, "sweep", tasks, 1, run_s, 0), "crew",
                  json_string("guests"));
}

/* Machines that hang can't be shown the token: what may run there isn't started elsewhere before
 * their lease is over, but jobs that come later, of a team without a limit, begin at once. */
static void unreachable_machines_delay_only_their_work(void **state) {
    (void)state;
    for (unsigned long seed = 90; seed < 96; seed++) {
        struct sim *sim = day_new(seed, 3);
        for (int i = 0; i < 30; i++)
            submit_for_guests(sim, 1 + i, 6, 6);
        day_run(sim, 31);
        uint64_t token = token_of(sim);
        int hung = 0;
        for (int i = 0; i < sim->size.n_workers && hung < 3; i++)
            if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0) {
                sim->workers[i].paused_until = sim->now + (seed % 2 ? 12 : 40);
                hung++;
            }
        assert_true(hung == 3);
        sim_crash(sim, sim_leader(sim), 20);
        for (int i = 0; i < 10; i++)
            submit_for_guests(sim, sim->now + 3 + 0.2 * i, 3, 4);
        assert_at_most(until_started(sim, token, 30), TAKEOVER_MOST_S);
        assert_false(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
        day_end(sim);
    }
}

/* ---- the earlier leader goes on behind a cut ---- */

/* A zone is cut off with the leader in it, which has lost the key-value store and the other nodes,
 * and goes on answering the zone's workers for as long as it trusts its lease. */
static struct sim *world_with_leader_behind_cut(unsigned long seed) {
    struct sim *sim = day_new(seed, 3);
    sim_submit(sim, 1, "sweep", 40, 1, 70, 0);
    sim_submit(sim, 1, "sweep", 20, 1, 70, 0);
    day_run(sim, 25 + 0.37 * (double)(seed % 8));
    int leader = sim_leader(sim);
    int behind = 0;
    assert_at_least(leader, 0);
    for (int i = 0; i < sim->size.n_workers; i++)
        behind += sim->workers[i].used && sim->workers[i].zone == 0 && sim->workers[i].n_tasks > 0;
    assert_more_than(behind, 0);
    sim->partitioned_zone = 1;
    sim->node_in_partition = leader + 1;
    sim->nodes[leader].partitioned_until = sim->now + 50;
    return sim;
}

/* The node that has taken over, once it has. */
static int taken_over(struct sim *sim, int from) {
    for (int i = 0; i < 60; i++) {
        day_run(sim, 0.1);
        for (int k = 0; k < sim->n_nodes; k++)
            if (k != from && sim->nodes[k].alive && sim->nodes[k].node->state == RP_NODE_LEADING)
                return k;
    }
    fail_msg("nobody has taken over");
    return -1;
}

static void end_cut(struct sim *sim) {
    day_run(sim, 50);
    sim->partitioned_zone = sim->node_in_partition = 0;
    day_end(sim);
}

/* What may run behind the cut is started elsewhere only when no answer of the earlier leader can
 * have renewed its lease. */
static void tasks_behind_cut_run_once(void **state) {
    (void)state;
    for (unsigned long seed = 200; seed < 206; seed++) {
        struct sim *sim = world_with_leader_behind_cut(seed);
        taken_over(sim, sim_leader(sim));
        end_cut(sim);
    }
}

/* The same where the next leader gives the key up at once: a third one must not take it for free.
 */
static void resigning_early_frees_no_key(void **state) {
    (void)state;
    for (unsigned long seed = 210; seed < 216; seed++) {
        struct sim *sim = world_with_leader_behind_cut(seed);
        int next = taken_over(sim, sim_leader(sim));
        rp_election_resign(&sim->nodes[next].node->election, 12);
        end_cut(sim);
    }
}

/* And where the next leader's process ends and is back at once, and claims over its own name. */
static void restarted_standby_remembers_whom_it_fenced(void **state) {
    (void)state;
    for (unsigned long seed = 220; seed < 226; seed++) {
        struct sim *sim = world_with_leader_behind_cut(seed);
        sim_crash(sim, taken_over(sim, sim_leader(sim)), 0.1);
        end_cut(sim);
    }
}

/* A leader that still hears what users submit, and reaches machines that the next one doesn't: it
 * must hear of the failover before it hears of any job that the next one takes for its own. */
static void young_jobs_belong_to_the_next_leader(void **state) {
    (void)state;
    for (unsigned long seed = 230; seed < 246; seed++) {
        struct sim *sim = day_new(seed, 3);
        for (int i = 0; i < 30; i++)
            submit_for_guests(sim, 1 + i, 6, 5);
        day_run(sim, 31 + 0.1 * (double)(seed % 10));
        int leader = sim_leader(sim);
        sim->partitioned_zone = 1;
        sim->node_in_partition = leader + 1;
        for (int i = 0; i < 60; i++)
            submit_for_guests(sim, sim->now + 0.02 * i, 2, 8);
        assert_true(rp_election_fence_leader(&sim->nodes[leader ? 0 : 1].node->election));
        taken_over(sim, leader);
        day_run(sim, 20);
        sim->partitioned_zone = sim->node_in_partition = 0;
        day_end(sim);
    }
}

/* The leader ends right after it has asked the cloud to take a machine back: that nobody knows of
 * its end delays nothing. */
static void returns_go_on(void **state) {
    (void)state;
    for (unsigned long seed = 250; seed < 256; seed++) {
        struct sim *sim = busy_world(seed, 3);
        uint64_t token = token_of(sim);
        int leader = sim_leader(sim);
        struct rp_node *node = sim->nodes[leader].node;
        assert_non_null(node->cluster.first);
        node->fleet.release.delete_in_flight = true; /* the request will go, but hasn't gone yet */
        rp_fleet_scale_in(&node->fleet, node->cluster.first, "for the test");
        day_run(sim, 0.5);
        sim_crash(sim, leader, 20);
        assert_at_most(until_started(sim, token, 20), TAKEOVER_MOST_S);
        day_run(sim, 1);
        assert_int_equal(sim->nodes[sim_leader(sim)].node->fleet.release.n_released, 1);
        day_end(sim);
    }
}

/* The leader ends when the cloud has taken a machine back and the record still names it. */
static void returned_machines_delay_nothing(void **state) {
    (void)state;
    for (unsigned long seed = 260; seed < 270; seed++) {
        struct sim *sim = busy_world(seed, 3);
        uint64_t token = token_of(sim);
        int leader = sim_leader(sim);
        struct rp_node *node = sim->nodes[leader].node;
        assert_non_null(node->cluster.first);
        char name[RP_TEXT_MAX];
        strcpy(name, node->cluster.first->name);
        for (struct rp_provision_request *request = node->fleet.provisioning.requests.first;
             request; request = request->next)
            request->retry_at =
                rp_ts_after(rp_loop_now(node->loop), 60); /* no record is written any more */
        rp_fleet_scale_in(&node->fleet, node->cluster.first, "for the test");
        day_run(sim, 1);
        assert_null(rp_machine_find(&node->cluster, name));
        /* Standbys that have begun since then hear of it by their first snapshot. */
        for (int i = 0; i < sim->n_nodes && seed % 2; i++)
            if (i != leader)
                sim_crash(sim, i, 0.1);
        day_run(sim, 3);
        sim_crash(sim, leader, 20);
        assert_at_most(until_started(sim, token, 20), TAKEOVER_MOST_S);
        day_end(sim);
    }
}

/* A failover whose transactions and answers get lost or come late, in every kind of fault. */
static void failovers_under_all_faults(void **state) {
    static const struct sim_faults bad = {.drop = 0.02,
                                          .delay = 0.02,
                                          .duplicate = 0.03,
                                          .node_pause_s = 9,
                                          .crash_s = 25,
                                          .delayed_write = 0.05,
                                          .dropped_answer = 0.05,
                                          .late_duplicate = 0.05,
                                          .partitioned_node_s = 40,
                                          .fast_restart_s = 40,
                                          .pause_s = 20,
                                          .store_refusal_s = 40};
    unsigned long n = 0;
    (void)state;
    for (unsigned long seed = 100; seed < 116; seed++) {
        struct sim *sim = sim_new(seed, &bad, SIM_NO_BREAKAGE, seed % 2 ? 3 : 5);
        sim_submit(sim, 1, "sweep", 30, 1, 25, 0);
        sim_submit(sim, 2, "ensemble", 3, 4, 20, 0);
        for (int i = 0; i < 50; i++)
            sim_submit(sim, 5 + 2 * i, i % 9 ? "sweep" : "ensemble", 3, 1, 4,
                       i % 5 ? 0 : 8 + 2 * i);
        for (int i = 0; i < 24; i++) {
            day_run(sim, 5);
            n += takeovers(sim);
        }
        day_end(sim);
    }
    assert_more_than(n, 0);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(killed_leader_is_replaced),
                                       cmocka_unit_test(short_stalls_cost_no_term),
                                       cmocka_unit_test(paused_leader_is_harmless),
                                       cmocka_unit_test(partitioned_leader_is_fenced),
                                       cmocka_unit_test(peer_partition_keeps_the_leader),
                                       cmocka_unit_test(outage_lets_nobody_take_over),
                                       cmocka_unit_test(claims_at_once_leave_one_leader),
                                       cmocka_unit_test(standby_ends_while_claiming),
                                       cmocka_unit_test(leader_and_standby_end_together),
                                       cmocka_unit_test(unreachable_machines_delay_only_their_work),
                                       cmocka_unit_test(tasks_behind_cut_run_once),
                                       cmocka_unit_test(resigning_early_frees_no_key),
                                       cmocka_unit_test(restarted_standby_remembers_whom_it_fenced),
                                       cmocka_unit_test(young_jobs_belong_to_the_next_leader),
                                       cmocka_unit_test(returns_go_on),
                                       cmocka_unit_test(returned_machines_delay_nothing),
                                       cmocka_unit_test(failovers_under_all_faults),
                                       cmocka_unit_test(disabled_means_none)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    sim_standby = true;
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
