/* Faulty machines are detected, released and replaced. Machines that are only unreachable for a
 * while are kept. */
#include "test.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include "base/log.h"
#include "scenario.h"

#define COMPLETION_S 250 /* simulated seconds after the faults, within which all jobs must end */

static struct sim_worker *busiest_worker(struct sim *sim) {
    struct sim_worker *busiest = NULL;
    for (int i = 0; i < sim->size.n_workers; i++)
        if (sim->workers[i].used && sim->workers[i].up &&
            (!busiest || sim->workers[i].n_tasks > busiest->n_tasks))
            busiest = &sim->workers[i];
    return busiest;
}

/* Fault: a machine whose heartbeats arrive, but which receives no responses, was treated as a
 * healthy machine for ever, and tasks were started on it again and again. It must receive no more
 * work and be released. */
static void one_way_partitioned_machine_is_released(void **state) {
    struct sim *sim = scenario_new(7, 3);
    char name[RP_TEXT_MAX];
    (void)state;
    scenario_submit_arrays(sim, 6, 1, 0, 40, 1, 12);
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

/* After a failover, a machine that receives no responses never reports the new leader's fencing
 * token. Fault: for as long as its heartbeats got responses, it kept all work from before the
 * failover from being started. */
static void failover_completes_despite_one_way_partition(void **state) {
    struct sim *sim = scenario_new(8, 3);
    (void)state;
    scenario_submit_arrays(sim, 4, 1, 0, 40, 1, 20);
    sim_run(sim, 25);
    struct sim_worker *worker = busiest_worker(sim);
    worker->one_way_partition_until = sim->now + 1000;
    sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 45);
    /* The machine is lost by now, and released soon: that must not keep back the work again. */
    for (int i = 0; i < 1000; i++) {
        assert_true(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
        sim_run(sim, 0.02);
    }
    sim_run(sim, 100);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* Fault: a late copy of a heartbeat of a terminated machine reached a leader that had never had a
 * record of the machine. The leader added it to the cluster, and plans counted on its capacity. */
static void heartbeat_of_terminated_machine_adds_no_machine(void **state) {
    static const char heartbeat[] =
        "{\"sheave\":\"vm-ghost\",\"address\":\"vm-ghost\",\"frame\":\"wide\",\"yard\":\"a\","
        "\"loaners\":false,\"stint\":3,\"tick\":50,\"warrant\":0,\"recall_s\":null,\"lifts\":[]}";
    struct sim *sim = scenario_new(9, 3);
    (void)state;
    sim_run(sim, 10);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    struct scenario_answer answer = {.req = {.method = "POST",
                                             .target = "/checkin",
                                             .body = heartbeat,
                                             .len = strlen(heartbeat),
                                             .respond = scenario_keep_answer}};
    rp_node_client_request(node, &answer.req);
    /* An existing machine receives the fencing token with this response and sends another
     * heartbeat. */
    assert_int_equal(answer.status, 200);
    assert_null(rp_machine_find(&node->cluster, "vm-ghost"));
    sim_free(sim);
}

/* Sends the report of a new machine to the leader; `tick` is 1 for the first one, which shows no
 * token. */
static void report_new_machine(const struct sim *sim, struct scenario_answer *answer,
                               const char *name, int tick) {
    struct rp_node *node = scenario_leader(sim);
    char body[256];
    snprintf(body, sizeof body,
             "{\"sheave\":\"%s\",\"address\":\"%s\",\"frame\":\"wide\",\"yard\":\"a\","
             "\"loaners\":false,\"stint\":1,\"tick\":%d,\"warrant\":%lu,\"lifts\":[]}",
             name, name, tick, tick > 1 ? (unsigned long)node->election.fencing_token : 0);
    answer->req = (struct rp_request){.method = "POST",
                                      .target = "/checkin",
                                      .body = body,
                                      .len = strlen(body),
                                      .respond = scenario_keep_answer};
    rp_node_client_request(node, &answer->req);
}

/* Fault: a worker that was answered before its machine was known showed the token with its next
 * heartbeat. Until that one was answered, with the next cycle, the leader reckoned that its lease
 * had ended: it took the machine for lost, and started the tasks elsewhere that it had just started
 * there directly (ran_twice, seed 20090 of test_soak). */
static void machines_answered_before_they_were_known_are_not_lost(void **state) {
    enum { N_MACHINES = 30 };
    static struct scenario_answer answers[N_MACHINES][2];
    struct sim *sim = scenario_new(19, 3);
    (void)state;
    scenario_submit_arrays(sim, 8, 1, 1, 40, 1, 12);
    sim_run(sim, 10);
    for (int i = 0; i < N_MACHINES; i++) {
        char name[RP_TEXT_MAX];
        snprintf(name, sizeof name, "vm-new-%d", i);
        for (int k = 0; k < 2; k++)
            report_new_machine(sim, &answers[i][k], name, k + 1);
        for (double end = sim->now + 0.6; sim->now < end;) {
            sim_run(sim, 0.02);
            const struct rp_machine *machine =
                rp_machine_find(&scenario_leader(sim)->cluster, name);
            assert_true(machine && machine->state != RP_MACHINE_LOST);
        }
    }
    sim_free(sim);
}

/* Incident 4d52: because of jobs that fail on every machine, every third healthy machine on which
 * they were started was released, with its images, and all their tasks were started again and
 * again. */
static void failing_jobs_quarantine_no_machine(void **state) {
    struct sim *sim = scenario_new(18, 3);
    (void)state;
    scenario_remove_team_limit(sim);
    scenario_submit_arrays(sim, 12, 1, 6, 40, 2, 12);
    for (int i = 0; i < 5; i++) {
        int failing_job = sim_submit(sim, 20 + i * 5, "sweep", 40, 1, 1, 100);
        sim->jobs[failing_job].fails_always = true;
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
    /* Every task of the five jobs may fail once, then a few tasks at a time. */
    assert_at_most(sim->n_task_errors, 5 * 40 + 5 * 30);
    sim_run(sim, 150);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Machines that never finish booting must be distinguished from machines that boot slowly, released
 * and replaced. Otherwise work waits for them for ever and they are charged for without a bound. */
static void machines_that_never_boot_are_released(void **state) {
    static const struct sim_faults faults = {.boot_failure = 0.4};
    int n_never_booted = 0;
    (void)state;
    for (unsigned long seed = 40; seed < 44; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        double longest_boot_s = 0;
        scenario_submit_mixed_work(sim, seed);
        for (int i = 0; i < 150; i++) {
            sim_run(sim, 1);
            if (i == 40)
                sim_crash(sim, sim_leader(sim), 3);
            for (int k = 0; k < sim->size.n_workers; k++)
                if (sim->workers[k].used && sim->workers[k].boots_at > 1e8) {
                    longest_boot_s =
                        fmax(longest_boot_s, sim->now - sim->workers[k].provisioned_at);
                    n_never_booted += sim->now - sim->workers[k].provisioned_at < 1;
                }
        }
        /* The slowest type boots in 12 s. In the simulation a new leader measures the boot time
         * anew, since the simulated clocks have no time of day. */
        assert_true(longest_boot_s > 10 &&
                    longest_boot_s < 12 * sim->settings[0].tuning.boot_patience * 2 + 20);
        sim_end_faults(sim);
        sim_run(sim, COMPLETION_S);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        assert_true(sim_all_terminal(sim));
        sim_free(sim);
    }
    assert_at_least(n_never_booted, 8);
}

/* A machine on which every task fails has free capacity all the time and therefore receives more
 * and more work. It must be detected and released, even while there is a job that fails on every
 * machine. */
static void failing_machines_are_released(void **state) {
    struct sim *sim = scenario_new(19, 3);
    int n_failing = 0;
    int n_left = 0;
    (void)state;
    scenario_submit_arrays(sim, 12, 1, 4, 20, 1, 8);
    int job = sim_submit(sim, 15, "sweep", 10, 1, 1, 60);
    sim->jobs[job].fails_always = true;
    sim_run(sim, 20);
    for (int i = 0; i < sim->size.n_workers && n_failing < 2; i++)
        if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0) {
            sim->workers[i].fails_tasks = true;
            n_failing++;
        }
    assert_int_equal(n_failing, 2);
    sim_run(sim, 40);
    for (int i = 0; i < sim->size.n_workers; i++)
        n_left += sim->workers[i].used && sim->workers[i].fails_tasks;
    assert_int_equal(n_left, 0);
    assert_at_most(sim->n_task_errors, 120);
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* Fault: a network partition that delayed packets delivered heartbeats of incarnations that had
 * ended. The tasks of these incarnations, which ran on other machines by then, were recorded on the
 * old machines as well. */
static void heartbeats_of_ended_incarnations_add_no_allocation(void **state) {
    struct sim *sim = scenario_new(13, 3);
    (void)state;
    scenario_submit_arrays(sim, 4, 1, 0, 40, 1, 30);
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

/* Incident 592a: the machines of a zone that was partitioned for 35 s were all released, the last
 * of them when the first were already reachable again, and were provisioned anew, which cost a boot
 * and the fetch of every image. If the leader changed meanwhile, the machines' heartbeats were
 * treated as those of the lost incarnation and refused until the machines had been released. All
 * machines of the zone must be kept, with and without a failover. */
static void run_zone_partition(bool has_failover) {
    struct sim *sim = scenario_new(14, 3);
    int n_kept = 0;
    int n_up = 0;
    scenario_remove_team_limit(sim);
    scenario_submit_arrays(sim, 40, 1, 2, 40, 2, 40);
    sim_run(sim, 45);
    for (int i = 0; i < sim->size.n_workers; i++)
        n_up += sim->workers[i].used && sim->workers[i].up && sim->workers[i].zone == 0;
    assert_at_least(n_up, 4);
    sim->partitioned_zone = 1;
    sim_run(sim, 5);
    if (has_failover)
        sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 30);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(rp_fleet_is_zone_silent(&node->fleet, 0));
    int n_lost = 0;
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        n_lost += machine->zone == 0 && machine->state == RP_MACHINE_LOST;
    assert_int_equal(n_lost, n_up);
    sim->partitioned_zone = 0;
    sim_run(sim, 14);
    assert_false(rp_fleet_is_zone_silent(&node->fleet, 0));
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        n_kept += machine->zone == 0 && machine->state == RP_MACHINE_UP &&
                  machine->contact.incarnation > 1;
    assert_int_equal(n_kept, n_up);
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

static void machines_of_partitioned_zone_are_kept(void **state) {
    (void)state;
    run_zone_partition(false);
    run_zone_partition(true);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_way_partitioned_machine_is_released),
        cmocka_unit_test(failover_completes_despite_one_way_partition),
        cmocka_unit_test(heartbeat_of_terminated_machine_adds_no_machine),
        cmocka_unit_test(machines_answered_before_they_were_known_are_not_lost),
        cmocka_unit_test(failing_jobs_quarantine_no_machine),
        cmocka_unit_test(failing_machines_are_released),
        cmocka_unit_test(machines_that_never_boot_are_released),
        cmocka_unit_test(heartbeats_of_ended_incarnations_add_no_allocation),
        cmocka_unit_test(machines_of_partitioned_zone_are_kept)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
