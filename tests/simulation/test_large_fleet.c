/* Fleets of 1,300 and 4,000 machines: what changes of the leader and mass losses cost there. */
#include "test.h"

#include "base/log.h"
#include "day.h"

static const struct sim_size large = {1400, 163, 4, 22, 47, 800, 80, 10};

static int machines_in(const struct sim *sim, enum rp_machine_state state) {
    int n = 0;
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        n += machine->state == state;
    return n;
}

/* A world in which 1,304 machines are up and busy. */
static struct sim *large_fleet(unsigned long seed, double run_s) {
    struct sim *sim = sim_new_sized(seed, &day_no_faults, SIM_NO_BREAKAGE, 5, &large);
    day_remove_team_limit(sim);
    day_submit_arrays(sim, 120, 1, 0.05, 40, 8, run_s);
    sim_run(sim, 45);
    assert_string_equal(sim->violation, "");
    assert_at_least(machines_in(sim, RP_MACHINE_UP), 1290);
    return sim;
}

static int n_first_incarnations(const struct sim *sim) {
    int n = 0;
    for (int i = 0; i < sim->size.n_workers; i++)
        n += sim->workers[i].used && sim->workers[i].up && sim->workers[i].incarnation == 1;
    return n;
}

/* Heartbeats 4 s apart made every second machine pass for one that gets no answers, and what one
 * freed was started with the next one, 4 s later: here both show as time without work. And what
 * users' questions cost: one read a question about a job that is open. */
static void large_fleet_is_used(void **state) {
    (void)state;
    struct sim *sim = large_fleet(31, 10);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    unsigned long reads = sim->n_state_reads;
    unsigned long polls = sim->n_polls;
    unsigned long probes = node->scheduler.n_machines_examined;
    unsigned long cycles = node->scheduler.n_cycles;
    sim_run(sim, 8);
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        assert_false(rp_machine_is_one_way_partitioned(machine));
    assert_at_least(sim->n_idle_periods, 500);
    /* A task's exit is reported after up to 0.5 s and what follows it starts with the answer. */
    assert_less_than(sim->idle_s / (double)sim->n_idle_periods, 1.5);
    assert_more_than(sim->n_polls, polls);
    /* Two for a job that is over; and each node's look at the leader's key, twice a second. */
    assert_at_most(sim->n_state_reads - reads, 2 * (sim->n_polls - polls) + 5 * 2 * 8 + 10);
    /* Each heuristic may look at each machine a few times, not once for every group. */
    cycles = node->scheduler.n_cycles - cycles;
    assert_more_than(cycles, 0);
    assert_less_than(node->scheduler.n_machines_examined - probes, 6 * 1304 * cycles);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The leader's process ends: its workers all come to the next one, which reads every record once.
 * No machine's lease may end, nothing be rented or given back for it. */
static void large_fleet_failover(void **state) {
    (void)state;
    struct sim *sim = large_fleet(32, 150);
    int leader = sim_leader(sim);
    int first_incarnations = n_first_incarnations(sim);
    int rented = sim->next_machine;
    int before = machines_in(sim, RP_MACHINE_UP);
    unsigned long lists = sim->n_state_lists;
    unsigned long rows = sim->n_rows_read;
    sim_crash(sim, leader, 0.2); /* back within a split second */
    sim_run(sim, 8);
    assert_at_least(sim_leader(sim), 0);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    unsigned long records = node->jobs.table.n_jobs;
    for (const struct rp_provision_request *request = node->fleet.provisioning.requests.first;
         request; request = request->next)
        records++;
    assert_at_most(sim->n_state_lists - lists, 3); /* jobs, progress, rentals: a page each */
    assert_at_most(sim->n_rows_read - rows, 2 * records);
    sim_run(sim, 6);
    assert_true(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
    assert_int_equal(n_first_incarnations(sim), first_incarnations);
    assert_at_least(machines_in(sim, RP_MACHINE_UP), before - 5);
    assert_at_most(sim->next_machine, rented + 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The leader stands still for longer than its lease while its clocks run on, then goes on with
 * hundreds of heartbeats waiting: another leads by then, and answers them all. */
static void large_fleet_frozen_leader(void **state) {
    (void)state;
    struct sim *sim = large_fleet(33, 150);
    int leader = sim_leader(sim);
    int first_incarnations = n_first_incarnations(sim);
    int rented = sim->next_machine;
    sim->nodes[leader].paused_until = sim->now + 24;
    sim_run(sim, 23);
    assert_at_least(sim_leader(sim), 0);
    sim_run(sim, 9);
    assert_int_equal(sim->nodes[leader].node->state, RP_NODE_FOLLOWING);
    assert_at_least(n_first_incarnations(sim), first_incarnations - first_incarnations / 20);
    assert_at_most(sim->next_machine, rented + 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* 150 machines hang for longer than their lease, 60 die: what hangs is waited for, what has died is
 * replaced, and no more. Before, whatever was silent for 16 s beyond its lease went back. */
static void large_fleet_mass_loss(void **state) {
    (void)state;
    struct sim *sim = large_fleet(34, 150);
    int rented = sim->next_machine;
    int hung = 0;
    int kept = 0;
    for (int i = 0; i < sim->size.n_workers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (!worker->used || !worker->up)
            continue;
        if (i % 21 == 0)
            worker->alive = false;
        else if (i % 9 == 0)
            worker->paused_until = sim->now + 42;
        hung += worker->alive && i % 9 == 0;
    }
    assert_at_least(hung, 100);
    sim_run(sim, 50);
    for (int i = 0; i < sim->size.n_workers; i++)
        kept += sim->workers[i].used && sim->workers[i].paused_until > 0;
    assert_at_least(kept, hung - hung / 20);
    assert_at_most(sim->next_machine - rented, 90);
    assert_at_most(machines_in(sim, RP_MACHINE_LOST), 5);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The users' fleet: no fixed limit may stand below it. With load and an end of the leader, which
 * has to be replaced by another node, every machine is known, used and kept, and the rules hold. */
static void users_fleet_failover(void **state) {
    static const struct sim_size users_fleet = {4200, 500, 4, 22, 47, 2400, 240, 30};
    (void)state;
    struct sim *sim = sim_new_sized(36, &day_no_faults, SIM_NO_BREAKAGE, 5, &users_fleet);
    day_remove_team_limit(sim);
    day_submit_arrays(sim, 320, 1, 0.02, 40, 8, 60);
    for (int i = 0; i < 20; i++)
        sim_submit(sim, 40 + i * 0.5, i % 2 ? "ensemble" : "sweep", 4, 8, 10, 0);
    sim_run(sim, 60);
    assert_string_equal(sim->violation, "");
    assert_at_least(machines_in(sim, RP_MACHINE_UP), 3950);
    int leader = sim_leader(sim);
    int first_incarnations = n_first_incarnations(sim);
    int rented = sim->next_machine;
    assert_int_equal(sim->nodes[leader].node->scheduler.n_over_bounds, 0);
    sim_crash(sim, leader, 60);
    sim_run(sim, 24);
    assert_string_equal(sim->violation, "");
    assert_true(sim_leader(sim) >= 0 && sim_leader(sim) != leader);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(rp_cluster_is_reconciled(&node->cluster));
    assert_at_least(node->cluster.n_machines, 3950);
    assert_at_least(n_first_incarnations(sim), first_incarnations - first_incarnations / 100);
    assert_at_most(sim->next_machine, rented + 40);
    assert_more_than(node->workers.context.counters.n_starts, 2000);
    unsigned long done = sim->n_done_jobs;
    sim_run(sim, 10);
    assert_more_than(sim->n_done_jobs, done + 50);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_fleet_is_used), cmocka_unit_test(large_fleet_failover),
        cmocka_unit_test(large_fleet_frozen_leader), cmocka_unit_test(large_fleet_mass_loss),
        cmocka_unit_test(users_fleet_failover)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
