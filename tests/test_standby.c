/* Takeovers by a standby, in the simulated world. The rules are checked after each step
 * (sim_check.c); each test shows besides that its trouble came about. */
#include "test.h"

#include "base/log.h"
#include "sim.h"

#define REST_S 250
#define TAKEOVER_MOST_S                                                                            \
    5.0 /* from a leader's end to the first start under the next one's token                       \
         */

static const struct sim_faults none = {0};

static void run(struct sim *s, double seconds) {
    sim_run(s, seconds);
    if (s->broken[0])
        fail_msg("%s", s->broken);
}

/* Ends all troubles, and lets everything that was accepted come to its end. */
static void rest(struct sim *s) {
    sim_calm(s);
    sim_run(s, REST_S);
    sim_check_served(s);
    if (s->broken[0])
        fail_msg("%s", s->broken);
    assert_true(sim_all_over(s));
    sim_free(s);
}

/* A world in the middle of work of every kind, with more of it coming every second. */
static struct sim *busy_world(unsigned long seed, int n_nodes) {
    struct sim *s = sim_new(seed, &none, SIM_SOUND, n_nodes);
    sim_submit(s, 1, "sweep", 30, 1, 25, 0);
    sim_submit(s, 1, "sweep", 40, 1, 8, 0);
    sim_submit(s, 2, "ensemble", 3, 4, 20, 0);
    sim_submit(s, 3, "ensemble", 2, 6, 12, 0);
    for (int i = 0; i < 60; i++)
        sim_submit(s, 10 + i, "sweep", 3, 1, 2, i % 5 == 4 ? 12 + i : 0);
    run(s, 30 + (double)(seed % 7));
    assert_true(sim_leader(s) >= 0);
    return s;
}

static uint64_t token_of(const struct sim *s) {
    return s->nodes[sim_leader(s)].node->election.token;
}

static unsigned long takeovers(const struct sim *s) {
    unsigned long n = 0;
    for (int i = 0; i < s->n_nodes; i++)
        if (s->nodes[i].alive)
            n += s->nodes[i].node->standby.n_takeovers;
    return n;
}

static double until_started(struct sim *s, uint64_t token, double most_s) {
    double since = s->now;
    while (s->started_token <= token && s->now < since + most_s)
        run(s, 0.1);
    return s->started_token > token ? s->started_at - since : most_s;
}

static void killed_leader_is_replaced(void **state) {
    (void)state;
    for (unsigned long seed = 1; seed <= 12; seed++) {
        struct sim *s = busy_world(seed, seed % 2 ? 3 : 5);
        uint64_t token = token_of(s);
        sim_crash(s, sim_leader(s), 20);
        double took_s = until_started(s, token, 20);
        if (took_s > TAKEOVER_MOST_S)
            fail_msg("seed %lu: first start after %.2f s", seed, took_s);
        assert_true(takeovers(s) >= 1);
        rest(s);
    }
}

/* Without the setting nothing of this happens. */
static void disabled_means_none(void **state) {
    (void)state;
    sim_standby = false;
    struct sim *s = busy_world(1, 3);
    uint64_t token = token_of(s);
    sim_crash(s, sim_leader(s), 20);
    assert_true(until_started(s, token, 20) > 7);
    assert_int_equal(takeovers(s), 0);
    assert_null(sim_stored(s, RP_KEY_FENCE));
    rest(s);
}

static void short_stalls_cost_no_term(void **state) {
    (void)state;
    for (unsigned long seed = 20; seed < 24; seed++) {
        struct sim *s = busy_world(seed, 3);
        uint64_t token = token_of(s);
        for (int i = 0; i < 4; i++) {
            s->nodes[sim_leader(s)].stalled_until = s->now + 2;
            run(s, 12.0 + 0.3 * i);
        }
        assert_int_equal(token_of(s), token);
        unsigned long withdrawn = 0;
        for (int i = 0; i < s->n_nodes; i++)
            withdrawn += s->nodes[i].node->standby.n_withdrawn;
        assert_true(withdrawn >= 4); /* it was suspected, each time */
        rest(s);
    }
}

/* The old leader goes on where it was, in the middle of sending starts, after 1, 5 and 30 s. */
static void paused_leader_is_harmless(void **state) {
    static const double pauses[] = {1, 5, 30};
    (void)state;
    for (unsigned long seed = 30; seed < 36; seed++) {
        struct sim *s = busy_world(seed, 3);
        double pause_s = pauses[seed % 3];
        int leader = sim_leader(s);
        uint64_t token = token_of(s);
        for (int i = 0; i < 10; i++)
            sim_submit(s, s->now + 0.1, "sweep", 12, 1, 3, 0);
        run(s, 0.3 + 0.07 * (double)(seed % 5));
        s->nodes[leader].stalled_until = s->now + pause_s;
        run(s, 4.5);
        assert_true(pause_s > 2 ? takeovers(s) == 1 : token_of(s) == token);
        run(s, pause_s);
        assert_true(pause_s < 2 || s->nodes[leader].node->at == RP_NODE_FOLLOWING);
        rest(s);
    }
}

/* A leader that keeps its workers, and loses the state service and the others, while jobs are
 * cancelled through the next one. */
static void lonely_leader_is_deposed(void **state) {
    (void)state;
    for (unsigned long seed = 40; seed < 46; seed++) {
        struct sim *s = busy_world(seed, seed % 2 ? 3 : 5);
        int leader = sim_leader(s);
        s->nodes[leader].alone_until = s->now + 15 + 5 * (double)(seed % 4);
        run(s, 2);
        for (int i = 0; i < 30; i += 3)
            s->jobs[i].cancel_at = s->now + 0.2 * i;
        run(s, 10);
        assert_true(takeovers(s) >= 1 && sim_leader(s) >= 0);
        rest(s);
    }
}

/* Nodes that hear nobody are rather cut off themselves: nobody is deposed for it. */
static void nodes_apart_keep_their_leader(void **state) {
    (void)state;
    struct sim *s = busy_world(50, 3);
    uint64_t token = token_of(s);
    s->apart_until = s->now + 25;
    run(s, 27);
    assert_int_equal(token_of(s), token);
    assert_int_equal(takeovers(s), 0);
    rest(s);
}

/* Without the state service nobody takes over, and the leader goes on for as long as its lease
 * allows; here the others miss it, too. */
static void outage_lets_nobody_take_over(void **state) {
    (void)state;
    struct sim *s = busy_world(51, 3);
    uint64_t token = token_of(s);
    int leader = sim_leader(s);
    s->outage_until = s->now + 7;
    s->nodes[leader].stalled_until = s->now + 4.5;
    run(s, 6.5);
    assert_int_equal(takeovers(s), 0);
    assert_int_equal(s->nodes[leader].node->election.token, token);
    assert_true(
        rp_election_valid(&s->nodes[leader].node->election, rp_loop_now(&s->nodes[leader].loop)));
    rest(s);
}

/* All who follow claim at the same instant, from a leader that is well. */
static void claims_at_once_leave_one_leader(void **state) {
    (void)state;
    for (unsigned long seed = 60; seed < 64; seed++) {
        struct sim *s = busy_world(seed, 5);
        int leader = sim_leader(s), claims = 0, holders = 0;
        for (int i = 0; i < s->n_nodes; i++)
            claims += i != leader && rp_election_depose(&s->nodes[i].node->election);
        assert_true(claims >= 2);
        run(s, 3);
        for (int i = 0; i < s->n_nodes; i++)
            holders += s->nodes[i].node->election.at == RP_HOLDING;
        assert_int_equal(holders, 1);
        assert_true(sim_leader(s) != leader);
        rest(s);
    }
}

/* The standby's process ends at each stage of its claim while the leader only stands still; nobody
 * may lead beside the leader when it goes on. */
static void standby_ends_while_claiming(void **state) {
    static const enum rp_election_state stages[] = {RP_DEPOSING, RP_FENCING, RP_LEASING,
                                                    RP_CLAIMING};
    (void)state;
    for (unsigned long seed = 70; seed < 78; seed++) {
        struct sim *s = busy_world(seed, 3);
        enum rp_election_state stage = stages[seed % 4];
        int leader = sim_leader(s), ended = -1;
        s->nodes[leader].stalled_until = s->now + 4 + (double)(seed % 3) * 3;
        for (int i = 0; i < 400 && ended < 0; i++) {
            run(s, 0.02);
            for (int k = 0; k < s->n_nodes; k++)
                if (s->nodes[k].alive && s->nodes[k].node->election.at == stage)
                    ended = k;
        }
        assert_true(ended >= 0);
        sim_crash(s, ended, seed < 74 ? 0.1 : 30);
        run(s, 20);
        assert_true(sim_leader(s) >= 0);
        rest(s);
    }
}

static void leader_and_standby_end_together(void **state) {
    (void)state;
    for (unsigned long seed = 80; seed < 84; seed++) {
        struct sim *s = busy_world(seed, 5);
        uint64_t token = token_of(s);
        int leader = sim_leader(s);
        sim_crash(s, leader, 20);
        sim_crash(s, leader ? 0 : 1, 20); /* the first in rank */
        assert_true(until_started(s, token, 20) <= TAKEOVER_MOST_S);
        rest(s);
    }
}

static void submit_for_guests(struct sim *s, double at, unsigned tasks, double run_s) {
    sim_change(s, sim_submit(s, at, "sweep", tasks, 1, run_s, 0), "crew", json_string("guests"));
}

/* Machines that hang can't be shown the token: what may run there isn't started elsewhere before
 * their lease is over, but jobs that come later, of a team without a limit, begin at once. */
static void unreachable_machines_delay_only_their_work(void **state) {
    (void)state;
    for (unsigned long seed = 90; seed < 96; seed++) {
        struct sim *s = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 30; i++)
            submit_for_guests(s, 1 + i, 6, 6);
        run(s, 31);
        uint64_t token = token_of(s);
        int hung = 0;
        for (int i = 0; i < s->size.workers && hung < 3; i++)
            if (s->workers[i].used && s->workers[i].up && s->workers[i].n_tasks > 0) {
                s->workers[i].hung_until = s->now + (seed % 2 ? 12 : 40);
                hung++;
            }
        assert_true(hung == 3);
        sim_crash(s, sim_leader(s), 20);
        for (int i = 0; i < 10; i++)
            submit_for_guests(s, s->now + 3 + 0.2 * i, 3, 4);
        assert_true(until_started(s, token, 30) <= TAKEOVER_MOST_S);
        assert_false(rp_cluster_settled(&s->nodes[sim_leader(s)].node->cluster));
        rest(s);
    }
}

/* ---- the earlier leader goes on behind a cut ---- */

/* A zone is cut off with the leader in it, which has lost the state service and the other nodes,
 * and goes on answering the zone's workers for as long as it trusts its lease. */
static struct sim *world_with_leader_behind_cut(unsigned long seed) {
    struct sim *s = sim_new(seed, &none, SIM_SOUND, 3);
    sim_submit(s, 1, "sweep", 40, 1, 70, 0);
    sim_submit(s, 1, "sweep", 20, 1, 70, 0);
    run(s, 25 + 0.37 * (double)(seed % 8));
    int leader = sim_leader(s), behind = 0;
    assert_true(leader >= 0);
    for (int i = 0; i < s->size.workers; i++)
        behind += s->workers[i].used && s->workers[i].zone == 0 && s->workers[i].n_tasks > 0;
    assert_true(behind > 0);
    s->cut_zone = 1;
    s->cut_node = leader + 1;
    s->nodes[leader].alone_until = s->now + 50;
    return s;
}

/* The node that has taken over, once it has. */
static int taken_over(struct sim *s, int from) {
    for (int i = 0; i < 60; i++) {
        run(s, 0.1);
        for (int k = 0; k < s->n_nodes; k++)
            if (k != from && s->nodes[k].alive && s->nodes[k].node->at == RP_NODE_LEADING)
                return k;
    }
    fail_msg("nobody has taken over");
    return -1;
}

static void end_cut(struct sim *s) {
    run(s, 50);
    s->cut_zone = s->cut_node = 0;
    rest(s);
}

/* What may run behind the cut is started elsewhere only when no answer of the earlier leader can
 * have renewed its lease. */
static void tasks_behind_cut_run_once(void **state) {
    (void)state;
    for (unsigned long seed = 200; seed < 206; seed++) {
        struct sim *s = world_with_leader_behind_cut(seed);
        taken_over(s, sim_leader(s));
        end_cut(s);
    }
}

/* The same where the next leader gives the key up at once: a third one must not take it for free.
 */
static void resigning_early_frees_no_key(void **state) {
    (void)state;
    for (unsigned long seed = 210; seed < 216; seed++) {
        struct sim *s = world_with_leader_behind_cut(seed);
        int next = taken_over(s, sim_leader(s));
        rp_election_resign(&s->nodes[next].node->election, 12);
        end_cut(s);
    }
}

/* And where the next leader's process ends and is back at once, and claims over its own name. */
static void returning_standby_remembers_whom_it_deposed(void **state) {
    (void)state;
    for (unsigned long seed = 220; seed < 226; seed++) {
        struct sim *s = world_with_leader_behind_cut(seed);
        sim_crash(s, taken_over(s, sim_leader(s)), 0.1);
        end_cut(s);
    }
}

/* A leader that still hears what users submit, and reaches machines that the next one doesn't: it
 * must hear of the takeover before it hears of any job that the next one takes for its own. */
static void young_jobs_belong_to_the_next_leader(void **state) {
    (void)state;
    for (unsigned long seed = 230; seed < 246; seed++) {
        struct sim *s = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 30; i++)
            submit_for_guests(s, 1 + i, 6, 5);
        run(s, 31 + 0.1 * (double)(seed % 10));
        int leader = sim_leader(s);
        s->cut_zone = 1;
        s->cut_node = leader + 1;
        for (int i = 0; i < 60; i++)
            submit_for_guests(s, s->now + 0.02 * i, 2, 8);
        assert_true(rp_election_depose(&s->nodes[leader ? 0 : 1].node->election));
        taken_over(s, leader);
        run(s, 20);
        s->cut_zone = s->cut_node = 0;
        rest(s);
    }
}

/* The leader ends right after it has asked the cloud to take a machine back: that nobody knows of
 * its end delays nothing. */
static void returns_go_on(void **state) {
    (void)state;
    for (unsigned long seed = 250; seed < 256; seed++) {
        struct sim *s = busy_world(seed, 3);
        uint64_t token = token_of(s);
        int leader = sim_leader(s);
        struct rp_node *n = s->nodes[leader].node;
        assert_non_null(n->cluster.first);
        n->fleet.deleting = true; /* the request will go, but hasn't gone yet */
        rp_fleet_return(&n->fleet, n->cluster.first, "for the test");
        run(s, 0.5);
        sim_crash(s, leader, 20);
        assert_true(until_started(s, token, 20) <= TAKEOVER_MOST_S);
        run(s, 1);
        assert_int_equal(s->nodes[sim_leader(s)].node->fleet.n_returned, 1);
        rest(s);
    }
}

/* The leader ends when the cloud has taken a machine back and the record still names it. */
static void returned_machines_delay_nothing(void **state) {
    (void)state;
    for (unsigned long seed = 260; seed < 270; seed++) {
        struct sim *s = busy_world(seed, 3);
        uint64_t token = token_of(s);
        int leader = sim_leader(s);
        struct rp_node *n = s->nodes[leader].node;
        assert_non_null(n->cluster.first);
        char name[RP_TEXT_MAX];
        strcpy(name, n->cluster.first->name);
        for (struct rp_rental *r = n->fleet.rentals; r; r = r->next)
            r->retry = rp_ts_after(rp_loop_now(n->loop), 60); /* no record is written any more */
        rp_fleet_return(&n->fleet, n->cluster.first, "for the test");
        run(s, 1);
        assert_null(rp_machine_find(&n->cluster, name));
        /* Standbys that have begun since then hear of it by their first snapshot. */
        for (int i = 0; i < s->n_nodes && seed % 2; i++)
            if (i != leader)
                sim_crash(s, i, 0.1);
        run(s, 3);
        sim_crash(s, leader, 20);
        assert_true(until_started(s, token, 20) <= TAKEOVER_MOST_S);
        rest(s);
    }
}

/* A takeover whose transactions and answers get lost or come late, in every kind of trouble. */
static void takeovers_in_bad_weather(void **state) {
    static const struct sim_faults bad = {.lose = 0.02,
                                          .late = 0.02,
                                          .repeat = 0.03,
                                          .stall_s = 9,
                                          .crash_s = 25,
                                          .late_write = 0.05,
                                          .lost_answer = 0.05,
                                          .copies = 0.05,
                                          .alone_s = 40,
                                          .blink_s = 40,
                                          .hang_s = 20,
                                          .refused_s = 40};
    unsigned long n = 0;
    (void)state;
    for (unsigned long seed = 100; seed < 116; seed++) {
        struct sim *s = sim_new(seed, &bad, SIM_SOUND, seed % 2 ? 3 : 5);
        sim_submit(s, 1, "sweep", 30, 1, 25, 0);
        sim_submit(s, 2, "ensemble", 3, 4, 20, 0);
        for (int i = 0; i < 50; i++)
            sim_submit(s, 5 + 2 * i, i % 9 ? "sweep" : "ensemble", 3, 1, 4, i % 5 ? 0 : 8 + 2 * i);
        for (int i = 0; i < 24; i++) {
            run(s, 5);
            n += takeovers(s);
        }
        rest(s);
    }
    assert_true(n > 0);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(killed_leader_is_replaced),
        cmocka_unit_test(short_stalls_cost_no_term),
        cmocka_unit_test(paused_leader_is_harmless),
        cmocka_unit_test(lonely_leader_is_deposed),
        cmocka_unit_test(nodes_apart_keep_their_leader),
        cmocka_unit_test(outage_lets_nobody_take_over),
        cmocka_unit_test(claims_at_once_leave_one_leader),
        cmocka_unit_test(standby_ends_while_claiming),
        cmocka_unit_test(leader_and_standby_end_together),
        cmocka_unit_test(unreachable_machines_delay_only_their_work),
        cmocka_unit_test(tasks_behind_cut_run_once),
        cmocka_unit_test(resigning_early_frees_no_key),
        cmocka_unit_test(returning_standby_remembers_whom_it_deposed),
        cmocka_unit_test(young_jobs_belong_to_the_next_leader),
        cmocka_unit_test(returns_go_on),
        cmocka_unit_test(returned_machines_delay_nothing),
        cmocka_unit_test(takeovers_in_bad_weather),
        cmocka_unit_test(disabled_means_none)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    sim_standby = true;
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
