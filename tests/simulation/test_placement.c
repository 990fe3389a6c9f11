/* Which jobs are placed, and when: gangs and tasks of whole machines on a full fleet, guaranteed
 * quotas, and teams without a guaranteed quota. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

#define COMPLETION_S 250 /* simulated seconds from the end of the faults to the final checks */

/* A gang of several tasks loses a machine before it has begun, and there is no other machine.
 * Fault: no plan contained the missing task, so no machine was provisioned for it, and the other
 * tasks of the gang waited for ever. */
static void gang_starts_after_losing_a_machine(void **state) {
    int n_failed = 0;
    (void)state;
    for (unsigned long seed = 80; seed < 83; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        int gang = sim_submit(sim, 1, "ensemble", 3, 8, 20, 0);
        for (int step = 0; step < 1500 && !n_failed; step++) {
            sim_run(sim, 0.02);
            for (int i = 0; i < sim->size.n_workers && !n_failed; i++)
                if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0 &&
                    sim->workers[i].tasks[0].state == RP_TASK_FETCHING) {
                    sim->workers[i].alive = false;
                    n_failed++;
                }
        }
        assert_int_equal(n_failed, 1);
        assert_false(sim->jobs[gang].has_started);
        sim_run(sim, 180);
        assert_string_equal(sim->violation, "");
        assert_true(sim->jobs[gang].reported_done);
        sim_free(sim);
        n_failed = 0;
    }
}

/* Fault: gangs whose tasks need whole machines starved on a full fleet, where smaller tasks took
 * all capacity that became free. Machines must be reserved for such a gang until it has enough
 * machines. A cloud that has no more machines must not receive requests all the time: fewer than 60
 * are refused. */
static void large_gang_starts_on_full_fleet(void **state) {
    struct sim *sim = scenario_new(12, 3);
    (void)state;
    scenario_remove_team_limit(sim);
    scenario_submit_arrays(sim, 40, 1, 2, 40, 2, 20);
    sim_run(sim, 40);
    int gang = sim_submit(sim, sim->now, "ensemble", 4, 24, 20, 0);
    sim_run(sim, 60);
    assert_true(sim->jobs[gang].has_started);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(node->fleet.provisioning.refusals.n_refused > 0 &&
                node->fleet.provisioning.refusals.n_refused < 60);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Machines reserved for a gang are idle until the last of them is free. Fault: such machines were
 * released at the end of their billing unit, provisioned again and booted, for minutes, so that the
 * gang never had all of them at the same time. */
static void machines_reserved_for_gang_are_not_released(void **state) {
    struct sim *sim = scenario_new(17, 3);
    int n_idle_reserved = 0;
    (void)state;
    scenario_remove_team_limit(sim);
    for (int i = 0; i < 14; i++)
        sim_submit(sim, 1 + i * 2, "sweep", 40, 2, 30 + 5 * (i % 5), 0);
    sim_run(sim, 45);
    for (int i = 0; i < 4; i++)
        sim_submit(sim, sim->now + i, "ensemble:low", 6, 24, 20, 0);
    for (int i = 0; i < 1500; i++) {
        sim_run(sim, 0.1);
        const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
        for (const struct rp_machine *machine = node->cluster.first; machine;
             machine = machine->next) {
            const struct rp_job *job = *machine->reservation.job_id
                                           ? rp_jobs_find(&node->jobs, machine->reservation.job_id)
                                           : NULL;
            if (!job || job->state != RP_JOB_OPEN || job->n_allocated > 0 ||
                machine->health.quarantined || machine->spot_notice.received ||
                rp_ts_is_reached(rp_loop_now(node->loop), machine->reservation.until))
                continue;
            n_idle_reserved += machine->n_allocations == 0;
            assert_int_equal(machine->state, RP_MACHINE_UP);
        }
    }
    assert_more_than(n_idle_reserved, 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Incident f8f1: gangs of one task that needs a whole machine waited for seven minutes behind small
 * tasks of the same priority, which took all capacity that became free. */
static void whole_machine_tasks_start_on_full_fleet(void **state) {
    struct sim *sim = scenario_new(15, 3);
    int gangs[3];
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++) {
        struct rp_settings *settings = &sim->settings[i];
        settings->teams[0].cpus_max = 1e6;
        settings->objectives = calloc(1, sizeof *settings->objectives);
        assert_non_null(settings->objectives);
        settings->n_objectives = 1;
        /* With this objective the arrays come first in every order of the jobs. */
        settings->objectives[0] =
            (struct rp_objective){.kind = RP_OBJECTIVE_FINISHED, .within_s = 90};
        strcpy(settings->objectives[0].class_name, "a");
    }
    scenario_submit_arrays(sim, 90, 1, 2, 40, 2, 20);
    sim_run(sim, 40);
    for (int i = 0; i < 3; i++)
        gangs[i] = sim_submit(sim, sim->now, "ensemble:low", 1, 24, 20, 0);
    sim_run(sim, 100);
    for (int i = 0; i < 3; i++)
        assert_true(sim->jobs[gangs[i]].has_started);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* A team with a guaranteed quota must get it: other teams' work beyond their own guarantees is
 * preempted, whatever its priority. The other teams get the capacity that the guarantee does not
 * cover. */
static void guaranteed_quota_preempts_other_teams(void **state) {
    (void)state;
    for (unsigned long seed = 90; seed < 93; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        int guest_jobs[2];
        for (int i = 0; i < sim->n_nodes; i++) {
            sim->settings[i].teams[0].cpus_max = 1e6;
            sim->settings[i].teams[1].cpus = 24;
        }
        scenario_submit_arrays(sim, 14, 1, 0, 40, 4, 150);
        sim_run(sim, 60);
        for (int i = 0; i < 2; i++) {
            guest_jobs[i] = sim_submit(sim, 60, "sweep", 24, 1, 20, 0);
            sim_set_field(sim, guest_jobs[i], "crew", json_string("guests"));
            sim_set_field(sim, guest_jobs[i], "precedence", json_string("low"));
        }
        sim_run(sim, 55);
        assert_true(sim->jobs[guest_jobs[0]].reported_done);
        /* The second job exceeds the guarantee until the first job has ended. */
        assert_true(sim->jobs[guest_jobs[1]].has_started);
        sim_run(sim, 30);
        assert_true(sim->jobs[guest_jobs[1]].reported_done);
        sim_end_faults(sim);
        sim_run(sim, 600);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        assert_true(sim_all_terminal(sim));
        sim_free(sim);
    }
}

/* Submits more work of another team than all machines can hold, and the jobs of the team "guests"
 * among it. */
static void submit_overload_with_guests(struct sim *sim) {
    for (int i = 0; i < 30; i++)
        sim_submit(sim, 1 + i * 4, i % 6 ? "sweep" : "ensemble", i % 6 ? 20 : 3, i % 6 ? 1 : 4, 12,
                   0);
    for (int i = 0; i < 80; i++) {
        int job = i < 4 ? sim_submit(sim, 20, "sweep", 40, 2, 60, 0)
                        : sim_submit(sim, 30 + i, "sweep", 1, 1, 5, 0);
        sim_set_field(sim, job, "crew", json_string("guests"));
    }
}

/* A team without a guaranteed quota submits large arrays (a batch meant for idle times, a huge
 * array) and many jobs of a single task, while another team has submitted more work than all
 * machines can hold. The team's jobs must begin within four minutes, at least half of them must be
 * done at the end (rules.c), and no job may wait while there is free capacity for it. */
static void team_without_guarantee_is_served_on_full_fleet(void **state) {
    static const struct sim_faults faults = {.crash_s = 80, .spot_notice_s = 30};
    (void)state;
    for (unsigned long seed = 50; seed < 53; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        int n_begun = 0;
        int n_single_tasks_done = 0;
        submit_overload_with_guests(sim);
        sim_run(sim, 150);
        for (int i = 0; i < sim->n_jobs; i++) {
            bool is_guest = strcmp(sim->jobs[i].spec.team, "guests") == 0;
            n_begun += is_guest && sim->jobs[i].has_started;
            n_single_tasks_done +=
                is_guest && sim->jobs[i].reported_done && sim->jobs[i].spec.n_tasks == 1;
        }
        assert_at_least(n_begun, 70);
        assert_at_least(n_single_tasks_done, 60);
        sim_end_faults(sim);
        sim_run(sim, COMPLETION_S);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        sim_free(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(gang_starts_after_losing_a_machine),
        cmocka_unit_test(large_gang_starts_on_full_fleet),
        cmocka_unit_test(machines_reserved_for_gang_are_not_released),
        cmocka_unit_test(whole_machine_tasks_start_on_full_fleet),
        cmocka_unit_test(team_without_guarantee_is_served_on_full_fleet),
        cmocka_unit_test(guaranteed_quota_preempts_other_teams)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
