/* Fleets of 1,300 and 4,000 machines: the cost of a change of the leader and of the loss of many
 * machines. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

static const struct sim_size large_fleet_size = {1400, 163, 4, 22, 47, 800, 80, 10};

static int n_machines_in(const struct sim *sim, enum rp_machine_state state) {
    int n = 0;
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        n += machine->state == state;
    return n;
}

/* Makes a simulated cluster in which 1,304 machines are up and busy. */
static struct sim *new_busy_fleet(unsigned long seed, double run_s) {
    struct sim *sim =
        sim_new_sized(seed, &scenario_no_faults, SIM_NO_BREAKAGE, 5, &large_fleet_size);
    scenario_remove_team_limit(sim);
    scenario_submit_arrays(sim, 120, 1, 0.05, 40, 8, run_s);
    sim_run(sim, 45);
    assert_string_equal(sim->violation, "");
    assert_at_least(n_machines_in(sim, RP_MACHINE_UP), 1290);
    return sim;
}

static int n_first_incarnations(const struct sim *sim) {
    int n = 0;
    for (int i = 0; i < sim->size.n_workers; i++)
        n += sim->workers[i].used && sim->workers[i].up && sim->workers[i].incarnation == 1;
    return n;
}

/* Two faults left machines of a large fleet without work. With heartbeats 4 s apart, every second
 * machine was treated as one that receives no responses. Capacity that a heartbeat reported as free
 * was used only with the next heartbeat, 4 s later. Both faults lengthen the time without work
 * between two tasks. The test also bounds the cost of users' queries, one read for each query about
 * an open job, and of scheduling. */
static void large_fleet_idles_briefly_and_reads_little(void **state) {
    (void)state;
    struct sim *sim = new_busy_fleet(31, 10);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    unsigned long n_reads = sim->n_state_reads;
    unsigned long n_polls = sim->n_polls;
    unsigned long n_examined = node->scheduler.n_machines_examined;
    unsigned long n_cycles = node->scheduler.n_cycles;
    sim_run(sim, 8);
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        assert_false(rp_machine_is_one_way_partitioned(machine));
    assert_at_least(sim->n_idle_periods, 500);
    /* A worker reports the exit of a task after up to 0.5 s, and the next task starts with the
     * response to that report. */
    assert_less_than(sim->idle_s / (double)sim->n_idle_periods, 1.5);
    assert_more_than(sim->n_polls, n_polls);
    /* A query about a job that has ended costs two reads. In addition each of the five nodes reads
     * the leader's key twice a second, for 8 s. */
    assert_at_most(sim->n_state_reads - n_reads, 2 * (sim->n_polls - n_polls) + 5 * 2 * 8 + 10);
    /* Each heuristic may examine each machine a few times, but not once for each group of tasks. */
    n_cycles = node->scheduler.n_cycles - n_cycles;
    assert_more_than(n_cycles, 0);
    assert_less_than(node->scheduler.n_machines_examined - n_examined, 6 * 1304 * n_cycles);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The leader's process crashes. All its workers send their heartbeats to the next leader, which
 * reads every record once. No machine's lease may expire because of the crash, and no machine may
 * be provisioned or released. */
static void failover_of_large_fleet_ends_no_lease(void **state) {
    (void)state;
    struct sim *sim = new_busy_fleet(32, 150);
    int leader = sim_leader(sim);
    int n_first_incarnations_before = n_first_incarnations(sim);
    int n_provisioned = sim->next_machine;
    int n_up = n_machines_in(sim, RP_MACHINE_UP);
    unsigned long n_lists = sim->n_state_lists;
    unsigned long n_rows = sim->n_rows_read;
    sim_crash(sim, leader, 0.2); /* its process restarts after 0.2 s */
    sim_run(sim, 8);
    assert_at_least(sim_leader(sim), 0);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    unsigned long n_records = node->jobs.table.n_jobs;
    for (const struct rp_provision_request *request = node->fleet.provisioning.requests.first;
         request; request = request->next)
        n_records++;
    /* The new leader lists one page each of jobs, progress and provision requests. */
    assert_at_most(sim->n_state_lists - n_lists, 3);
    assert_at_most(sim->n_rows_read - n_rows, 2 * n_records);
    sim_run(sim, 6);
    assert_true(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
    assert_int_equal(n_first_incarnations(sim), n_first_incarnations_before);
    assert_at_least(n_machines_in(sim, RP_MACHINE_UP), n_up - 5);
    assert_at_most(sim->next_machine, n_provisioned + 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The leader's process is paused for longer than its lease, while its clocks continue to run, and
 * then resumes with hundreds of heartbeats waiting. By then another node leads and responds to all
 * heartbeats, and the old leader must follow. */
static void paused_leader_of_large_fleet_costs_few_leases(void **state) {
    (void)state;
    struct sim *sim = new_busy_fleet(33, 150);
    int leader = sim_leader(sim);
    int n_first_incarnations_before = n_first_incarnations(sim);
    int n_provisioned = sim->next_machine;
    sim->nodes[leader].paused_until = sim->now + 24;
    sim_run(sim, 23);
    assert_at_least(sim_leader(sim), 0);
    sim_run(sim, 9);
    assert_int_equal(sim->nodes[leader].node->state, RP_NODE_FOLLOWING);
    assert_at_least(n_first_incarnations(sim),
                    n_first_incarnations_before - n_first_incarnations_before / 20);
    assert_at_most(sim->next_machine, n_provisioned + 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* 150 machines hang for longer than their lease, and 60 fail. The leader must wait for the hung
 * machines and replace only the failed ones. Fault: every machine that was silent for 16 s beyond
 * its lease was released. */
static void mass_loss_replaces_only_failed_machines(void **state) {
    (void)state;
    struct sim *sim = new_busy_fleet(34, 150);
    int n_provisioned = sim->next_machine;
    int n_hung = 0;
    int n_kept = 0;
    for (int i = 0; i < sim->size.n_workers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (!worker->used || !worker->up)
            continue;
        if (i % 21 == 0)
            worker->alive = false;
        else if (i % 9 == 0)
            worker->paused_until = sim->now + 42;
        n_hung += worker->alive && i % 9 == 0;
    }
    assert_at_least(n_hung, 100);
    sim_run(sim, 50);
    for (int i = 0; i < sim->size.n_workers; i++)
        n_kept += sim->workers[i].used && sim->workers[i].paused_until > 0;
    assert_at_least(n_kept, n_hung - n_hung / 20);
    assert_at_most(sim->next_machine - n_provisioned, 90);
    assert_at_most(n_machines_in(sim, RP_MACHINE_LOST), 5);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The fleet that the users have, of up to 4,200 machines: no fixed limit of the program may be
 * below that size. The leader crashes under load, and another node has to replace it. Every machine
 * must remain recorded, used and kept, and the rules (rules.c) must hold. */
static void failover_of_4000_machines_keeps_and_uses_them(void **state) {
    static const struct sim_size users_fleet = {4200, 500, 4, 22, 47, 2400, 240, 30};
    (void)state;
    struct sim *sim = sim_new_sized(36, &scenario_no_faults, SIM_NO_BREAKAGE, 5, &users_fleet);
    scenario_remove_team_limit(sim);
    scenario_submit_arrays(sim, 320, 1, 0.02, 40, 8, 60);
    for (int i = 0; i < 20; i++)
        sim_submit(sim, 40 + i * 0.5, i % 2 ? "ensemble" : "sweep", 4, 8, 10, 0);
    sim_run(sim, 60);
    assert_string_equal(sim->violation, "");
    assert_at_least(n_machines_in(sim, RP_MACHINE_UP), 3950);
    int leader = sim_leader(sim);
    int n_first_incarnations_before = n_first_incarnations(sim);
    int n_provisioned = sim->next_machine;
    assert_int_equal(sim->nodes[leader].node->scheduler.n_over_bounds, 0);
    sim_crash(sim, leader, 60);
    sim_run(sim, 24);
    assert_string_equal(sim->violation, "");
    assert_true(sim_leader(sim) >= 0 && sim_leader(sim) != leader);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(rp_cluster_is_reconciled(&node->cluster));
    assert_at_least(node->cluster.n_machines, 3950);
    assert_at_least(n_first_incarnations(sim),
                    n_first_incarnations_before - n_first_incarnations_before / 100);
    assert_at_most(sim->next_machine, n_provisioned + 40);
    assert_more_than(node->workers.context.counters.n_starts, 2000);
    unsigned long n_done = sim->n_done_jobs;
    sim_run(sim, 10);
    assert_more_than(sim->n_done_jobs, n_done + 50);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_fleet_idles_briefly_and_reads_little),
        cmocka_unit_test(failover_of_large_fleet_ends_no_lease),
        cmocka_unit_test(paused_leader_of_large_fleet_costs_few_leases),
        cmocka_unit_test(mass_loss_replaces_only_failed_machines),
        cmocka_unit_test(failover_of_4000_machines_keeps_and_uses_them)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
