/* Failovers to a standby, in the simulation. After each step rules.c checks the safety rules of
 * PROTOCOL, such as: no task runs on two machines, no task of a cancelled job runs more than
 * cancel_s after the confirmation, no job is forgotten. Each test also asserts that its fault has
 * occurred. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

/* Maximum number of seconds from a leader's crash to the first start of a task under the next
 * leader's fencing token. */
#define FAILOVER_MAX_S 5.0

/* A simulation with arrays and gangs running and more arrays submitted every second. Every fifth of
 * these is cancelled. */
static struct sim *sim_with_work(unsigned long seed, int n_nodes) {
    struct sim *sim = scenario_new(seed, n_nodes);
    sim_submit(sim, 1, "sweep", 30, 1, 25, 0);
    sim_submit(sim, 1, "sweep", 40, 1, 8, 0);
    sim_submit(sim, 2, "ensemble", 3, 4, 20, 0);
    sim_submit(sim, 3, "ensemble", 2, 6, 12, 0);
    for (int i = 0; i < 60; i++)
        sim_submit(sim, 10 + i, "sweep", 3, 1, 2, i % 5 == 4 ? 12 + i : 0);
    scenario_run(sim, 30 + (double)(seed % 7));
    assert_at_least(sim_leader(sim), 0);
    return sim;
}

static uint64_t token_of(const struct sim *sim) {
    return sim->nodes[sim_leader(sim)].node->election.fencing_token;
}

static unsigned long count_failovers(const struct sim *sim) {
    unsigned long n = 0;
    for (int i = 0; i < sim->n_nodes; i++)
        if (sim->nodes[i].alive)
            n += sim->nodes[i].node->standby.n_failovers;
    return n;
}

static double seconds_until_start(struct sim *sim, uint64_t token, double max_s) {
    double since = sim->now;
    while (sim->started_token <= token && sim->now < since + max_s)
        scenario_run(sim, 0.1);
    return sim->started_token > token ? sim->started_at - since : max_s;
}

static void killed_leader_is_replaced(void **state) {
    (void)state;
    for (unsigned long seed = 1; seed <= 12; seed++) {
        struct sim *sim = sim_with_work(seed, seed % 2 ? 3 : 5);
        uint64_t token = token_of(sim);
        sim_crash(sim, sim_leader(sim), 20);
        double took_s = seconds_until_start(sim, token, 20);
        if (took_s > FAILOVER_MAX_S)
            fail_msg("seed %lu: expected the first start within 5 s, not after %.2f s", seed,
                     took_s);
        assert_at_least(count_failovers(sim), 1);
        scenario_end(sim);
    }
}

/* Without the setting `standby` there is no failover to a standby and no fence record: the next
 * leader has to wait until the earlier leader's lease has expired. */
static void disabled_standby_causes_no_failover(void **state) {
    (void)state;
    sim_standby = false;
    struct sim *sim = sim_with_work(1, 3);
    uint64_t token = token_of(sim);
    sim_crash(sim, sim_leader(sim), 20);
    assert_more_than(seconds_until_start(sim, token, 20), 7);
    assert_int_equal(count_failovers(sim), 0);
    assert_null(sim_find_record(sim, RP_KEY_FENCE));
    scenario_end(sim);
}

static void short_stalls_keep_the_leader(void **state) {
    (void)state;
    for (unsigned long seed = 20; seed < 24; seed++) {
        struct sim *sim = sim_with_work(seed, 3);
        uint64_t token = token_of(sim);
        for (int i = 0; i < 4; i++) {
            sim->nodes[sim_leader(sim)].paused_until = sim->now + 2;
            scenario_run(sim, 12.0 + 0.3 * i);
        }
        assert_int_equal(token_of(sim), token);
        unsigned long n_withdrawn = 0;
        for (int i = 0; i < sim->n_nodes; i++)
            n_withdrawn += sim->nodes[i].node->standby.n_withdrawn;
        assert_at_least(n_withdrawn, 4); /* each stall made the others suspect the leader */
        scenario_end(sim);
    }
}

/* The leader is paused in the middle of sending starts, and resumes after 1, 5 or 30 s. The
 * shortest pause causes no failover. After the longer pauses the earlier leader must follow the
 * next leader. */
static void resumed_leader_follows_after_failover(void **state) {
    static const double pauses[] = {1, 5, 30};
    (void)state;
    for (unsigned long seed = 30; seed < 36; seed++) {
        struct sim *sim = sim_with_work(seed, 3);
        double pause_s = pauses[seed % 3];
        int leader = sim_leader(sim);
        uint64_t token = token_of(sim);
        for (int i = 0; i < 10; i++)
            sim_submit(sim, sim->now + 0.1, "sweep", 12, 1, 3, 0);
        scenario_run(sim, 0.3 + 0.07 * (double)(seed % 5));
        sim->nodes[leader].paused_until = sim->now + pause_s;
        scenario_run(sim, 4.5);
        assert_true(pause_s > 2 ? count_failovers(sim) == 1 : token_of(sim) == token);
        scenario_run(sim, pause_s);
        assert_true(pause_s < 2 || sim->nodes[leader].node->state == RP_NODE_FOLLOWING);
        scenario_end(sim);
    }
}

/* The leader still reaches its workers, but neither the key-value store nor the other nodes, while
 * jobs are cancelled through the next leader. Within 12 s a failover must have occurred. */
static void partitioned_leader_is_fenced(void **state) {
    (void)state;
    for (unsigned long seed = 40; seed < 46; seed++) {
        struct sim *sim = sim_with_work(seed, seed % 2 ? 3 : 5);
        int leader = sim_leader(sim);
        sim->nodes[leader].partitioned_until = sim->now + 15 + 5 * (double)(seed % 4);
        scenario_run(sim, 2);
        for (int i = 0; i < 30; i += 3)
            sim->jobs[i].cancel_at = sim->now + 0.2 * i;
        scenario_run(sim, 10);
        assert_true(count_failovers(sim) >= 1 && sim_leader(sim) >= 0);
        scenario_end(sim);
    }
}

/* A node that receives no response from any other node is more likely partitioned itself. In a
 * partition of all nodes from one another, the leader must therefore not be replaced. */
static void peer_partition_keeps_the_leader(void **state) {
    (void)state;
    struct sim *sim = sim_with_work(50, 3);
    uint64_t token = token_of(sim);
    sim->peer_partition_until = sim->now + 25;
    scenario_run(sim, 27);
    assert_int_equal(token_of(sim), token);
    assert_int_equal(count_failovers(sim), 0);
    scenario_end(sim);
}

/* During an outage of the key-value store no other node can lead, and the leader keeps leading
 * until its lease expires. In this test the leader is also paused, so that the other nodes suspect
 * a crash. */
static void store_outage_prevents_failover(void **state) {
    (void)state;
    struct sim *sim = sim_with_work(51, 3);
    uint64_t token = token_of(sim);
    int leader = sim_leader(sim);
    sim->store_outage_until = sim->now + 7;
    sim->nodes[leader].paused_until = sim->now + 4.5;
    scenario_run(sim, 6.5);
    assert_int_equal(count_failovers(sim), 0);
    assert_int_equal(sim->nodes[leader].node->election.fencing_token, token);
    assert_true(rp_election_is_valid(&sim->nodes[leader].node->election,
                                     rp_loop_now(&sim->nodes[leader].loop)));
    scenario_end(sim);
}

/* All followers claim the leader's key at the same instant, although the leader is healthy. One
 * leader must remain. */
static void concurrent_claims_leave_one_leader(void **state) {
    (void)state;
    for (unsigned long seed = 60; seed < 64; seed++) {
        struct sim *sim = sim_with_work(seed, 5);
        int leader = sim_leader(sim);
        int n_claims = 0;
        int n_holders = 0;
        for (int i = 0; i < sim->n_nodes; i++)
            n_claims += i != leader && rp_election_fence_leader(&sim->nodes[i].node->election);
        assert_at_least(n_claims, 2);
        scenario_run(sim, 3);
        for (int i = 0; i < sim->n_nodes; i++)
            n_holders += sim->nodes[i].node->election.state == RP_ELECTION_HOLDING_KEY;
        assert_int_equal(n_holders, 1);
        assert_true(sim_leader(sim) != leader);
        scenario_end(sim);
    }
}

/* The standby's process crashes at each stage of its claim while the leader is only paused. No node
 * may lead beside the leader when the leader resumes. */
static void standby_crash_while_claiming_keeps_one_leader(void **state) {
    static const enum rp_election_state stages[] = {
        RP_ELECTION_OVERWRITING_KEY, RP_ELECTION_REVOKING_LEASE, RP_ELECTION_ACQUIRING_LEASE,
        RP_ELECTION_CLAIMING_KEY};
    (void)state;
    for (unsigned long seed = 70; seed < 78; seed++) {
        struct sim *sim = sim_with_work(seed, 3);
        enum rp_election_state stage = stages[seed % 4];
        int leader = sim_leader(sim);
        int crashed = -1;
        sim->nodes[leader].paused_until = sim->now + 4 + (double)(seed % 3) * 3;
        for (int i = 0; i < 400 && crashed < 0; i++) {
            scenario_run(sim, 0.02);
            for (int k = 0; k < sim->n_nodes; k++)
                if (sim->nodes[k].alive && sim->nodes[k].node->election.state == stage)
                    crashed = k;
        }
        assert_at_least(crashed, 0);
        sim_crash(sim, crashed, seed < 74 ? 0.1 : 30);
        scenario_run(sim, 20);
        assert_at_least(sim_leader(sim), 0);
        scenario_end(sim);
    }
}

static void crash_of_leader_and_standby_is_failed_over(void **state) {
    (void)state;
    for (unsigned long seed = 80; seed < 84; seed++) {
        struct sim *sim = sim_with_work(seed, 5);
        uint64_t token = token_of(sim);
        int leader = sim_leader(sim);
        sim_crash(sim, leader, 20);
        sim_crash(sim, leader ? 0 : 1, 20); /* the follower of the first rank */
        assert_at_most(seconds_until_start(sim, token, 20), FAILOVER_MAX_S);
        scenario_end(sim);
    }
}

static void submit_for_guests(struct sim *sim, double submit_at, unsigned tasks, double run_s) {
    sim_set_field(sim, sim_submit(sim, submit_at, "sweep", tasks, 1, run_s, 0), "crew",
                  json_string("guests"));
}

/* Machines that hang cannot receive the next leader's fencing token: tasks that may run there must
 * not be started elsewhere before the machines' leases have expired. Jobs submitted later, of a
 * team without a limit, start at once. */
static void unreachable_machines_delay_only_their_tasks(void **state) {
    (void)state;
    for (unsigned long seed = 90; seed < 96; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        for (int i = 0; i < 30; i++)
            submit_for_guests(sim, 1 + i, 6, 6);
        scenario_run(sim, 31);
        uint64_t token = token_of(sim);
        int n_hung = 0;
        for (int i = 0; i < sim->size.n_workers && n_hung < 3; i++)
            if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0) {
                sim->workers[i].paused_until = sim->now + (seed % 2 ? 12 : 40);
                n_hung++;
            }
        assert_true(n_hung == 3);
        sim_crash(sim, sim_leader(sim), 20);
        for (int i = 0; i < 10; i++)
            submit_for_guests(sim, sim->now + 3 + 0.2 * i, 3, 4);
        assert_at_most(seconds_until_start(sim, token, 30), FAILOVER_MAX_S);
        assert_false(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
        scenario_end(sim);
    }
}

/* ---- the earlier leader keeps acting inside a partition ---- */

/* A simulation in which a zone is partitioned together with the leader. The leader reaches neither
 * the key-value store nor the other nodes, but responds to the zone's workers for as long as its
 * lease is valid. */
static struct sim *sim_with_partitioned_leader(unsigned long seed) {
    struct sim *sim = scenario_new(seed, 3);
    sim_submit(sim, 1, "sweep", 40, 1, 70, 0);
    sim_submit(sim, 1, "sweep", 20, 1, 70, 0);
    scenario_run(sim, 25 + 0.37 * (double)(seed % 8));
    int leader = sim_leader(sim);
    int n_machines_inside = 0;
    assert_at_least(leader, 0);
    for (int i = 0; i < sim->size.n_workers; i++)
        n_machines_inside +=
            sim->workers[i].used && sim->workers[i].zone == 0 && sim->workers[i].n_tasks > 0;
    assert_more_than(n_machines_inside, 0);
    sim->partitioned_zone = 1;
    sim->node_in_partition = leader + 1;
    sim->nodes[leader].partitioned_until = sim->now + 50;
    return sim;
}

/* Runs the simulation until another node than `from` leads, and returns that node. */
static int await_next_leader(struct sim *sim, int from) {
    for (int i = 0; i < 60; i++) {
        scenario_run(sim, 0.1);
        for (int k = 0; k < sim->n_nodes; k++)
            if (k != from && sim->nodes[k].alive && sim->nodes[k].node->state == RP_NODE_LEADING)
                return k;
    }
    fail_msg("expected another node to lead within 6 s");
    return -1;
}

static void end_partition(struct sim *sim) {
    scenario_run(sim, 50);
    sim->partitioned_zone = sim->node_in_partition = 0;
    scenario_end(sim);
}

/* Tasks that may run inside the partition are started elsewhere only when no response of the
 * earlier leader can have renewed their machines' leases. */
static void tasks_in_partition_run_once(void **state) {
    (void)state;
    for (unsigned long seed = 200; seed < 206; seed++) {
        struct sim *sim = sim_with_partitioned_leader(seed);
        await_next_leader(sim, sim_leader(sim));
        end_partition(sim);
    }
}

/* The next leader gives up the leader's key at once, while the leader that it fenced may still act.
 * A third node must not treat the key as free. */
static void early_resignation_does_not_free_the_key(void **state) {
    (void)state;
    for (unsigned long seed = 210; seed < 216; seed++) {
        struct sim *sim = sim_with_partitioned_leader(seed);
        int next = await_next_leader(sim, sim_leader(sim));
        rp_election_resign(&sim->nodes[next].node->election, 12);
        end_partition(sim);
    }
}

/* The next leader's process crashes and restarts at once, and claims the key that names its own
 * node. The leader that this node's earlier process fenced may still act. */
static void restarted_standby_keeps_the_fenced_lease(void **state) {
    (void)state;
    for (unsigned long seed = 220; seed < 226; seed++) {
        struct sim *sim = sim_with_partitioned_leader(seed);
        sim_crash(sim, await_next_leader(sim, sim_leader(sim)), 0.1);
        end_partition(sim);
    }
}

/* The earlier leader still receives submissions and reaches machines that the next leader does not
 * reach. The notice of the failover must reach the earlier leader before any job that the next
 * leader treats as its own. */
static void recent_jobs_belong_to_the_next_leader(void **state) {
    (void)state;
    for (unsigned long seed = 230; seed < 246; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        for (int i = 0; i < 30; i++)
            submit_for_guests(sim, 1 + i, 6, 5);
        scenario_run(sim, 31 + 0.1 * (double)(seed % 10));
        int leader = sim_leader(sim);
        sim->partitioned_zone = 1;
        sim->node_in_partition = leader + 1;
        for (int i = 0; i < 60; i++)
            submit_for_guests(sim, sim->now + 0.02 * i, 2, 8);
        assert_true(rp_election_fence_leader(&sim->nodes[leader ? 0 : 1].node->election));
        await_next_leader(sim, leader);
        scenario_run(sim, 20);
        sim->partitioned_zone = sim->node_in_partition = 0;
        scenario_end(sim);
    }
}

/* The leader crashes right after it has begun to release a machine, before the request is sent to
 * the cloud. The next leader releases the machine, and a machine that no node can confirm as
 * terminated does not delay the failover. */
static void release_continues_after_failover(void **state) {
    (void)state;
    for (unsigned long seed = 250; seed < 256; seed++) {
        struct sim *sim = sim_with_work(seed, 3);
        uint64_t token = token_of(sim);
        int leader = sim_leader(sim);
        struct rp_node *node = sim->nodes[leader].node;
        assert_non_null(node->cluster.first);
        node->fleet.release.delete_in_flight = true; /* keeps the release from being sent */
        rp_fleet_scale_in(&node->fleet, node->cluster.first, "for the test");
        scenario_run(sim, 0.5);
        sim_crash(sim, leader, 20);
        assert_at_most(seconds_until_start(sim, token, 20), FAILOVER_MAX_S);
        scenario_run(sim, 1);
        assert_int_equal(sim->nodes[sim_leader(sim)].node->fleet.release.n_released, 1);
        scenario_end(sim);
    }
}

/* The leader crashes after the cloud has released a machine whose stored record still exists. The
 * first start under the next leader must follow within FAILOVER_MAX_S. */
static void released_machines_do_not_delay_failover(void **state) {
    (void)state;
    for (unsigned long seed = 260; seed < 270; seed++) {
        struct sim *sim = sim_with_work(seed, 3);
        uint64_t token = token_of(sim);
        int leader = sim_leader(sim);
        struct rp_node *node = sim->nodes[leader].node;
        assert_non_null(node->cluster.first);
        char name[RP_TEXT_MAX];
        strcpy(name, node->cluster.first->name);
        for (struct rp_provision_request *request = node->fleet.provisioning.requests.first;
             request; request = request->next)
            request->retry_at =
                rp_ts_after(rp_loop_now(node->loop), 60); /* no record is written from now on */
        rp_fleet_scale_in(&node->fleet, node->cluster.first, "for the test");
        scenario_run(sim, 1);
        assert_null(rp_machine_find(&node->cluster, name));
        /* Standbys that restart after the release receive it with their first snapshot. */
        for (int i = 0; i < sim->n_nodes && seed % 2; i++)
            if (i != leader)
                sim_crash(sim, i, 0.1);
        scenario_run(sim, 3);
        sim_crash(sim, leader, 20);
        assert_at_most(seconds_until_start(sim, token, 20), FAILOVER_MAX_S);
        scenario_end(sim);
    }
}

/* Failovers whose transactions and responses are lost or arrive late, under all kinds of faults. No
 * rule may be broken. */
static void failovers_under_all_faults_keep_the_rules(void **state) {
    static const struct sim_faults faults = {.drop = 0.02,
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
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, seed % 2 ? 3 : 5);
        sim_submit(sim, 1, "sweep", 30, 1, 25, 0);
        sim_submit(sim, 2, "ensemble", 3, 4, 20, 0);
        for (int i = 0; i < 50; i++)
            sim_submit(sim, 5 + 2 * i, i % 9 ? "sweep" : "ensemble", 3, 1, 4,
                       i % 5 ? 0 : 8 + 2 * i);
        for (int i = 0; i < 24; i++) {
            scenario_run(sim, 5);
            n += count_failovers(sim);
        }
        scenario_end(sim);
    }
    assert_more_than(n, 0);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(killed_leader_is_replaced),
        cmocka_unit_test(short_stalls_keep_the_leader),
        cmocka_unit_test(resumed_leader_follows_after_failover),
        cmocka_unit_test(partitioned_leader_is_fenced),
        cmocka_unit_test(peer_partition_keeps_the_leader),
        cmocka_unit_test(store_outage_prevents_failover),
        cmocka_unit_test(concurrent_claims_leave_one_leader),
        cmocka_unit_test(standby_crash_while_claiming_keeps_one_leader),
        cmocka_unit_test(crash_of_leader_and_standby_is_failed_over),
        cmocka_unit_test(unreachable_machines_delay_only_their_tasks),
        cmocka_unit_test(tasks_in_partition_run_once),
        cmocka_unit_test(early_resignation_does_not_free_the_key),
        cmocka_unit_test(restarted_standby_keeps_the_fenced_lease),
        cmocka_unit_test(recent_jobs_belong_to_the_next_leader),
        cmocka_unit_test(release_continues_after_failover),
        cmocka_unit_test(released_machines_do_not_delay_failover),
        cmocka_unit_test(failovers_under_all_faults_keep_the_rules),
        cmocka_unit_test(disabled_standby_causes_no_failover)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    sim_standby = true;
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
