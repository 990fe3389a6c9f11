/* What a change of the leader, or a node that is cut off, may cost: leases, gangs and images are
 * kept, and nobody is sent to a node that can't answer. */
#include "test.h"

#include "base/log.h"
#include "day.h"

/* A node that alone gets no answer from the key-value store leaves the load balancer, and comes
 * back; in an outage, when all of them get none, all stay. */
static void refused_node_steps_aside(void **state) {
    struct sim *sim = day_new(5, 3);
    (void)state;
    sim_run(sim, 5);
    sim->nodes[1].store_refusal_until = sim->now + 8;
    sim_run(sim, 4);
    assert_true(rp_node_is_healthy(sim->nodes[0].node));
    assert_false(rp_node_is_healthy(sim->nodes[1].node));
    sim_run(sim, 8);
    assert_true(rp_node_is_healthy(sim->nodes[1].node));
    sim->store_outage_until = sim->now + 10;
    sim_run(sim, 6);
    for (int i = 0; i < sim->n_nodes; i++)
        assert_true(rp_node_is_healthy(sim->nodes[i].node));
    sim_free(sim);
}

/* Incident c8a9: a leader that reached the key-value store but no worker kept the key for 50 s, and
 * returned every machine. */
static void isolated_leader_gives_way(void **state) {
    struct sim *sim = day_new(6, 3);
    (void)state;
    day_submit_arrays(sim, 6, 1, 0, 30, 1, 60);
    sim_run(sim, 60);
    int leader = sim_leader(sim);
    unsigned long returned = sim->nodes[leader].node->fleet.release.n_released;
    assert_at_least(sim->nodes[leader].node->cluster.n_machines, 4);
    sim->node_without_heartbeats = leader + 1;
    sim_run(sim, 11);
    assert_true(sim_leader(sim) >= 0 && sim_leader(sim) != leader);
    assert_int_equal(sim->nodes[sim_leader(sim)].node->fleet.release.n_released, 0);
    assert_at_most(sim->nodes[leader].node->fleet.release.n_released, returned + 1);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The leader loses the key-value store and the other nodes, but not its workers: it lets them go
 * well within their lease, and no task dies. */
static void partitioned_leader_lets_workers_go(void **state) {
    struct sim *sim = day_new(10, 5);
    uint64_t incarnations[SIM_WORKERS] = {0};
    int kept = 0;
    int all = 0;
    (void)state;
    day_submit_arrays(sim, 6, 1, 0, 30, 1, 60);
    sim_run(sim, 40);
    int leader = sim_leader(sim);
    for (int i = 0; i < sim->size.n_workers; i++)
        incarnations[i] =
            sim->workers[i].used && sim->workers[i].up ? sim->workers[i].incarnation : 0;
    sim->nodes[leader].partitioned_until = sim->now + 40;
    sim_run(sim, 6);
    assert_false(rp_node_is_healthy(sim->nodes[leader].node));
    sim_run(sim, 20);
    assert_true(sim_leader(sim) >= 0 && sim_leader(sim) != leader);
    for (int i = 0; i < sim->size.n_workers; i++)
        if (incarnations[i] && sim->workers[i].used) {
            all++;
            kept += sim->workers[i].incarnation == incarnations[i];
        }
    assert_at_least(all, 4);
    assert_int_equal(kept, all);
    sim_run(sim, 30);
    assert_true(rp_node_is_healthy(sim->nodes[leader].node));
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* How many of the machines that are up 24 s after the fault have kept their lease through it. */
static void leases_outlive(int nodes, unsigned long first, int days,
                           void (*begin_fault)(struct sim *sim)) {
    int kept = 0;
    int all = 0;
    for (unsigned long seed = first; seed < first + (unsigned long)days; seed++) {
        struct sim *sim = day_new(seed, nodes);
        day_remove_team_limit(sim);
        day_submit_arrays(sim, 12, 1, 0, 40, 1, 120);
        sim_run(sim, 40);
        begin_fault(sim);
        sim_run(sim, 24);
        assert_at_least(sim_leader(sim), 0);
        for (int i = 0; i < sim->size.n_workers; i++)
            if (sim->workers[i].used && sim->workers[i].up) {
                all++;
                kept += sim->workers[i].incarnation == 1;
            }
        assert_string_equal(sim->violation, "");
        sim_free(sim);
    }
    assert_at_least(all, 10 * days);
    if (kept < all - all / 10)
        fail_msg("machines that kept their lease: %d of %d", kept, all);
}

static void freeze_leader(struct sim *sim) {
    sim->nodes[sim_leader(sim)].paused_until = sim->now + 25;
}

/* A leader that stands still keeps its key until the lease ends: the others went on naming it, and
 * workers that were sent back to it lost their leases before they found the next one. */
static void frozen_leader_is_not_named(void **state) {
    (void)state;
    leases_outlive(5, 20, 6, freeze_leader);
}

static void freeze_two_leaders(struct sim *sim) {
    sim->nodes[sim_leader(sim)].paused_until = sim->now + 300;
    sim_run(sim, 35);
    assert_at_least(sim_leader(sim), 0);
    freeze_leader(sim);
}

/* Of three nodes one answers nobody for minutes, and then the next leader stands still, too: a
 * worker that the third one sent away was back there only after ten seconds, having waited at both
 * others, and lost its lease (incident 1096). */
static void frozen_leader_while_another_is_silent(void **state) {
    (void)state;
    leases_outlive(3, 40, 4, freeze_two_leaders);
}

static void end_leader_apart(struct sim *sim) {
    sim->peer_partition_until = sim->now + 60;
    sim_run(sim, 5);
    sim_crash(sim, sim_leader(sim), 40);
}

static void end_all_without_the_cloud(struct sim *sim) {
    sim->cloud_outage_until = sim->now + 60;
    for (int i = 0; i < sim->n_nodes; i++)
        sim_crash(sim, i, 3);
    int job = sim_submit(sim, sim->now + 6, "sweep", 2, 1, 20, 0);
    sim_run(sim, 10);
    assert_at_least(sim_leader(sim), 0);
    assert_true(sim->jobs[job].accepted);
}

/* Without the machine types, which the cloud tells, a node takes part in no election and accepts
 * nothing: processes that came back while the cloud was out waited for its return, and workers
 * lost their leases meanwhile. */
static void restart_while_the_cloud_is_out(void **state) {
    (void)state;
    leases_outlive(3, 70, 3, end_all_without_the_cloud);
}

/* Nodes that can't connect to one another still know who leads, by the key: a refused connection
 * says nothing of the leader, and workers are named the next one. */
static void failover_under_peer_partition(void **state) {
    (void)state;
    leases_outlive(5, 26, 4, end_leader_apart);
}

/* Every failover stopped every gang of several tasks, since not all of them had been heard of yet.
 */
static void failover_keeps_gangs(void **state) {
    struct sim *sim = day_new(11, 3);
    (void)state;
    int gang = sim_submit(sim, 1, "ensemble", 4, 8, 60, 0);
    sim_run(sim, 30);
    assert_true(sim->jobs[gang].has_started);
    unsigned long starts = sim->n_starts;
    sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 70);
    assert_true(sim->jobs[gang].reported_done);
    assert_int_equal(sim->n_starts, starts);
    sim_free(sim);
}

/* A new leader knew only of the images of tasks that ran, and sent work, replicas above all, to
 * machines that had to fetch: the others remember for it, and tell one that was away. */
static void failover_keeps_images(void **state) {
    struct sim *sim = day_new(16, 3);
    size_t with_image = 0;
    size_t still = 0;
    (void)state;
    sim_submit(sim, 1, "sweep", 40, 1, 8, 0);
    sim_submit(sim, 22, "service", 2, 1, 0, 100);
    sim_run(sim, 32);
    for (const struct rp_machine *machine = sim->nodes[sim_leader(sim)].node->cluster.first;
         machine; machine = machine->next)
        with_image += machine->n_images > 0;
    assert_at_least(with_image, 3);
    sim_crash(sim, sim_leader(sim), 0.3);
    sim_run(sim, 2);
    for (const struct rp_machine *machine = sim->nodes[sim_leader(sim)].node->cluster.first;
         machine; machine = machine->next)
        still += machine->n_images > 0;
    assert_int_equal(still, with_image);
    sim_free(sim);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(refused_node_steps_aside),
                                       cmocka_unit_test(isolated_leader_gives_way),
                                       cmocka_unit_test(partitioned_leader_lets_workers_go),
                                       cmocka_unit_test(frozen_leader_is_not_named),
                                       cmocka_unit_test(frozen_leader_while_another_is_silent),
                                       cmocka_unit_test(restart_while_the_cloud_is_out),
                                       cmocka_unit_test(failover_under_peer_partition),
                                       cmocka_unit_test(failover_keeps_gangs),
                                       cmocka_unit_test(failover_keeps_images)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
