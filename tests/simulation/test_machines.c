/* Machines that go wrong are found, released and replaced; machines that are only out of reach are
 * kept. */
#include "test.h"

#include <math.h>
#include "base/log.h"
#include "day.h"

#define REST_S 250

static struct sim_worker *busiest_worker(struct sim *sim) {
    struct sim_worker *best = NULL;
    for (int i = 0; i < sim->size.n_workers; i++)
        if (sim->workers[i].used && sim->workers[i].up &&
            (!best || sim->workers[i].n_tasks > best->n_tasks))
            best = &sim->workers[i];
    return best;
}

/* A machine whose heartbeats arrive but that gets no answers looked like a good one for ever:
 * starts went to it again and again. It gets no more work, and goes back. */
static void one_way_partitioned_machine_is_released(void **state) {
    struct sim *sim = day_new(7, 3);
    char name[RP_TEXT_MAX];
    (void)state;
    day_submit_arrays(sim, 6, 1, 0, 40, 1, 12);
    sim_run(sim, 25);
    struct sim_worker *worker = busiest_worker(sim);
    worker->one_way_partition_until = sim->now + 1000;
    strcpy(name, worker->name);
    sim_run(sim, 35);
    struct rp_cluster *cluster = &sim->nodes[sim_leader(sim)].node->cluster;
    const struct rp_machine *machine = rp_machine_find(cluster, name);
    assert_true(!machine || !rp_machine_is_usable(machine));
    assert_true(!machine || machine->n_allocations == 0);
    sim_run(sim, 40);
    assert_null(rp_machine_find(cluster, name));
    sim_run(sim, 100);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* After a failover such a machine shows no token: it kept all work of before from being started,
 * for as long as its heartbeats were answered. */
static void one_way_partition_at_failover(void **state) {
    struct sim *sim = day_new(8, 3);
    (void)state;
    day_submit_arrays(sim, 4, 1, 0, 40, 1, 20);
    sim_run(sim, 25);
    struct sim_worker *worker = busiest_worker(sim);
    worker->one_way_partition_until = sim->now + 1000;
    sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 45);
    assert_true(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
    sim_run(sim, 120);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* A late copy of a heartbeat by a terminated machine, read by a leader who never knew it, made a
 * machine that plans counted on. */
static void ghost_is_no_machine(void **state) {
    static const char text[] =
        "{\"sheave\":\"vm-ghost\",\"address\":\"vm-ghost\",\"frame\":\"wide\",\"yard\":\"a\","
        "\"loaners\":false,\"stint\":3,\"tick\":50,\"warrant\":0,\"recall_s\":null,\"lifts\":[]}";
    struct sim *sim = day_new(9, 3);
    (void)state;
    sim_run(sim, 10);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    struct day_answer answer = {.req = {.method = "POST",
                                        .target = "/checkin",
                                        .body = text,
                                        .len = strlen(text),
                                        .respond = day_keep_answer}};
    rp_node_client_request(node, &answer.req);
    assert_int_equal(answer.status, 200); /* if it is there, it learns the token and comes again */
    assert_null(rp_machine_find(&node->cluster, "vm-ghost"));
    sim_free(sim);
}

/* Incident 4d52: jobs that fail wherever they are started had every third good machine that they
 * met given back, with its images; and all their tasks were started again and again. */
static void bad_jobs_condemn_no_machine(void **state) {
    struct sim *sim = day_new(18, 3);
    (void)state;
    day_remove_team_limit(sim);
    day_submit_arrays(sim, 12, 1, 6, 40, 2, 12);
    for (int i = 0; i < 5; i++) {
        int bad = sim_submit(sim, 20 + i * 5, "sweep", 40, 1, 1, 100);
        sim->jobs[bad].fails_always = true;
    }
    for (int i = 0; i < 800; i++) {
        sim_run(sim, 0.1);
        for (int k = 0; sim_leader(sim) >= 0 && k < sim->size.n_workers; k++) {
            const struct rp_machine *machine =
                rp_machine_find(&sim->nodes[sim_leader(sim)].node->cluster, sim->workers[k].name);
            assert_true(!machine || !machine->health.quarantined);
        }
    }
    assert_at_least(sim->n_task_errors, 20);
    assert_at_most(sim->n_task_errors, 5 * 40 + 5 * 30); /* all once, then a few at a time */
    sim_run(sim, 150);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Machines that never come up are told from slow ones, given back and replaced: they hold no work
 * for ever, and cost a bounded time. */
static void machines_that_never_come_up(void **state) {
    static const struct sim_faults faults = {.boot_failure = 0.4};
    int never = 0;
    (void)state;
    for (unsigned long seed = 40; seed < 44; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        double longest = 0;
        day_submit_mixed_work(sim, seed);
        for (int i = 0; i < 150; i++) {
            sim_run(sim, 1);
            if (i == 40)
                sim_crash(sim, sim_leader(sim), 3);
            for (int k = 0; k < sim->size.n_workers; k++)
                if (sim->workers[k].used && sim->workers[k].boots_at > 1e8) {
                    longest = fmax(longest, sim->now - sim->workers[k].provisioned_at);
                    never += sim->now - sim->workers[k].provisioned_at < 1;
                }
        }
        /* The slowest type boots in 12 s; a new leader reckons anew here, where no time of day is.
         */
        assert_true(longest > 10 && longest < 12 * sim->settings[0].tuning.boot_patience * 2 + 20);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        assert_true(sim_all_terminal(sim));
        sim_free(sim);
    }
    assert_at_least(never, 8);
}

/* A machine that fails everything has free capacity all the time, and draws work: it is found, also
 * when there are jobs about that fail everywhere. */
static void bad_machines_are_found(void **state) {
    struct sim *sim = day_new(19, 3);
    int bad = 0;
    int left = 0;
    (void)state;
    day_submit_arrays(sim, 12, 1, 4, 20, 1, 8);
    int job = sim_submit(sim, 15, "sweep", 10, 1, 1, 60);
    sim->jobs[job].fails_always = true;
    sim_run(sim, 20);
    for (int i = 0; i < sim->size.n_workers && bad < 2; i++)
        if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0) {
            sim->workers[i].fails_tasks = true;
            bad++;
        }
    assert_int_equal(bad, 2);
    sim_run(sim, 40);
    for (int i = 0; i < sim->size.n_workers; i++)
        left += sim->workers[i].used && sim->workers[i].fails_tasks;
    assert_int_equal(left, 0);
    assert_at_most(sim->n_task_errors, 120);
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* A cut that held packets back delivered heartbeats of incarnations that had ended: their tasks,
 * which ran elsewhere by then, were taken to be on the old machines as well. */
static void delayed_heartbeats_bring_nothing_back(void **state) {
    struct sim *sim = day_new(13, 3);
    (void)state;
    day_submit_arrays(sim, 4, 1, 0, 40, 1, 30);
    sim_run(sim, 25);
    struct sim_worker *worker = busiest_worker(sim);
    sim->delayed_worker = (int)(worker - sim->workers) + 1;
    sim->delayed_until = sim->now + 20;
    sim_run(sim, 19.9);
    int leader = sim_leader(sim);
    const struct rp_node *node = sim->nodes[leader].node;
    const struct rp_machine *machine = rp_machine_find(&node->cluster, worker->name);
    assert_true(machine && machine->state == RP_MACHINE_LOST);
    for (int i = 0; i < 20; i++) {
        sim_run(sim, 0.02);
        assert_int_equal(sim_leader(sim), leader);
        for (const struct rp_job *job = node->jobs.table.first; job; job = job->next)
            for (uint32_t t = 0; t < job->spec.n_tasks; t++)
                assert_true(rp_job_n_task_allocations(job, t) <= 1);
    }
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* Incident 592a: the machines of a zone that was cut off for 35 s were all given back, the last of
 * them when the first had come back, and rented anew, with a boot and every image to fetch. And if
 * the leader changed meanwhile, their heartbeats were taken for those of the lost incarnation, and
 * refused until they had gone back. */
static void cut_zone(bool has_failover) {
    struct sim *sim = day_new(14, 3);
    int in_zone = 0;
    int before = 0;
    day_remove_team_limit(sim);
    day_submit_arrays(sim, 40, 1, 2, 40, 2, 40);
    sim_run(sim, 45);
    for (int i = 0; i < sim->size.n_workers; i++)
        before += sim->workers[i].used && sim->workers[i].up && sim->workers[i].zone == 0;
    assert_at_least(before, 4);
    sim->partitioned_zone = 1;
    sim_run(sim, 5);
    if (has_failover)
        sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 30);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(rp_fleet_is_zone_silent(&node->fleet, 0));
    int lost = 0;
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        lost += machine->zone == 0 && machine->state == RP_MACHINE_LOST;
    assert_int_equal(lost, before);
    sim->partitioned_zone = 0;
    sim_run(sim, 14);
    assert_false(rp_fleet_is_zone_silent(&node->fleet, 0));
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        in_zone += machine->zone == 0 && machine->state == RP_MACHINE_UP &&
                   machine->contact.incarnation > 1;
    assert_int_equal(in_zone, before);
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

static void silent_zone_keeps_its_machines(void **state) {
    (void)state;
    cut_zone(false);
    cut_zone(true);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(one_way_partitioned_machine_is_released),
                                       cmocka_unit_test(one_way_partition_at_failover),
                                       cmocka_unit_test(ghost_is_no_machine),
                                       cmocka_unit_test(bad_jobs_condemn_no_machine),
                                       cmocka_unit_test(bad_machines_are_found),
                                       cmocka_unit_test(machines_that_never_come_up),
                                       cmocka_unit_test(delayed_heartbeats_bring_nothing_back),
                                       cmocka_unit_test(silent_zone_keeps_its_machines)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
